"""Steps of a session: loads, faults, planned changes."""

import json
import os
import time

import checks
import cluster as c

ZONES = ("llanidloes", "rhayader", "machynlleth")
SERVICES = (("patrymau", 4), ("hanes-ffit", 4), ("archebion", 3))
COLD_START_MS = 3000  # shorter than in production, to keep sessions short
PLACED_TIMEOUT_S = 20.0
LOAD_TIMEOUT_S = 60.0


def boottime_us():
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


def powys(build, latency_us=2000, log_level="info"):
    """The eleven instances of the Saddlers' Order Mesh, not yet started."""
    deployment = c.Cluster(build, "examples/powys/state.json", "powys",
                           log_level, latency_us)
    for service in deployment.state["services"]:
        service["cold_start_ms"] = COLD_START_MS
    for service, count in SERVICES:
        for number in range(count):
            zone = ZONES[len(deployment.instances) % len(ZONES)]
            deployment.add_instance(f"{service}-{number + 1}", zone, service)
    return deployment


def start(deployment):
    """Starts the deployment and waits until every shard has a live owner."""
    deployment.start_store()
    deployment.start_instances()
    deployment.apply()
    wait_until_placed(deployment)


def wait_until_placed(deployment, timeout_s=PLACED_TIMEOUT_S):
    shards = sum(s["shards"] for s in deployment.state["services"])

    def placed():
        rows = checks.owners(deployment)
        live = {i.name for i in deployment.live()}
        return len(rows) == shards and all(
            row["owner"] in live for row in rows.values())

    c.wait_for("every shard has a live owner", placed, timeout_s)


class Load:
    """A load generator that runs during other steps of the session."""

    def __init__(self, session, name, service, rate, seconds, orders=0,
                 entries=None, keys=500, during_stop=False):
        cluster = session.cluster
        self.session = session
        self.during_stop = during_stop
        self.outcome_log = os.path.join(cluster.directory, f"{name}.told")
        self.process = None
        addresses = entries or [i.addresses["http"] for i in cluster.live()]
        self.result_file = os.path.join(cluster.directory, f"{name}.log")
        self.process = c.Process(name, [
            cluster.program("load"), "--entries", ",".join(addresses),
            "--prefix", f"/{service}", "--rate", str(rate),
            "--seconds", str(seconds), "--orders", str(orders),
            "--keys", str(keys), "--zipf", "1.0", "--connections", "24",
            "--told-file", self.outcome_log, "--resends", "10",
            "--seed", str(len(session.outcome_logs) + 1)],
            cluster.directory)
        cluster.load_processes.append(self.process)
        session.outcome_logs.append(self.outcome_log)

    def finish(self):
        """Waits for the end, adds the result to the session and returns it."""
        self.process.wait(LOAD_TIMEOUT_S)
        lines = c.read_file(self.result_file).splitlines()
        results = [line for line in lines if line.startswith("{")]
        if not results:
            raise c.Failure(f"{self.process.name} printed no result: {lines}")
        result = json.loads(results[-1])
        result["during_stop"] = self.during_stop
        self.session.loads.append(result)
        return result


def take_zone_out(session, zone, seconds):
    """Takes a zone out for some time and records the window for the checks."""
    cluster = session.cluster
    cluster.set_zone_out(zone, True)
    from_us = boottime_us()
    time.sleep(seconds)
    until_us = boottime_us()
    cluster.set_zone_out(zone, False)
    session.zones_out.append((zone, from_us, until_us))


def stop_instance(session, name):
    """Stops a daemon gracefully, then its target."""
    instance = session.cluster.instance(name)
    session.leaving.append((name, boottime_us()))
    instance.daemon.send_signal(15)
    status = instance.daemon.wait()
    session.record_target_stats(instance)
    instance.target.send_signal(15)
    if status != 0:
        raise c.Failure(f"{name} stopped with exit code {status}")


def kill_daemon(session, name):
    session.cluster.instance(name).daemon.kill()


def restart_daemon(session, name):
    """Starts the daemon again, with a new target."""
    instance = session.cluster.instance(name)
    session.record_target_stats(instance)
    if instance.target.is_running():
        instance.target.kill()
    instance.start_daemon()
    instance.start_target()
