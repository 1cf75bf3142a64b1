"""A session with injected faults: its deployment, loads, freezes and
measurements, and threads that watch and restart its processes."""

import http.client
import json
import os
import signal
import threading
import time

import checks
import cluster as c
import session as s

SERVICES = ("patrymau", "archebion")
COLD_START_MS = 1000
OWNED_WITHIN_S = 3.0  # "after a few seconds"
OWNED_TIMEOUT_S = 20.0
CALL_ERRORS = (OSError, http.client.HTTPException, c.Failure, ValueError)


class Run:
    """A session with additional checks and measurements."""

    def __init__(self, build, latency_us=2000):
        self.cluster = c.Cluster(build, "examples/powys/state.json", "powys",
                                 latency_us=latency_us)
        state = self.cluster.state
        state["services"] = [service for service in state["services"]
                             if service["name"] in SERVICES]
        for service in state["services"]:
            service["cold_start_ms"] = COLD_START_MS
            for number, zone in enumerate(s.ZONES):
                self.cluster.add_instance(f"{service['name']}-{number + 1}",
                                          zone, service["name"])
        self.session = checks.Session(self.cluster)
        self.verdicts = checks.Verdicts()
        self.figures = []

    def start(self):
        s.start(self.cluster)
        self.session.owners_before = checks.owners(self.cluster)

    def loads(self, name, seconds, without=(), during_stop=False):
        """Starts reads and orders to both services, through all entries
        except those of the instances in without."""
        entries = [i.addresses["http"] for i in self.cluster.instances
                   if i.name not in without]
        return [
            s.Load(self.session, f"{name}-patterns", "patrymau", 150,
                   seconds, orders=10, entries=entries,
                   during_stop=during_stop),
            s.Load(self.session, f"{name}-orders", "archebion", 60, seconds,
                   orders=50, entries=entries, during_stop=during_stop)]

    def daemon(self, name):
        return self.cluster.instance(name).daemon

    def wait_for_owners(self, what, gone=(), started=None):
        """Measures and checks the time until every shard has a live owner."""
        started = started or time.monotonic()
        shards = sum(d["shards"] for d in self.cluster.state["services"])
        live = {i.name for i in self.cluster.live()} - set(gone)

        def owned():
            try:
                rows = checks.owners(self.cluster)
            except CALL_ERRORS:
                return False
            return len(rows) == shards and all(
                row["owner"] in live for row in rows.values())

        c.wait_for(f"{what}: every shard has a live owner", owned,
                   OWNED_TIMEOUT_S)
        seconds = time.monotonic() - started
        self.figures.append(f"{what}: all shards owned in {seconds:.2f} s")
        self.verdicts.add(
            f"After {what}, every shard has a live owner after a "
            f"few seconds.", seconds <= OWNED_WITHIN_S,
            f"{seconds:.2f} s, at most {OWNED_WITHIN_S} s")

    def owned_by(self, name):
        rows = checks.owners(self.cluster)
        return [shard for shard, row in rows.items()
                if row["owner"] == name]

    def freeze(self, name, seconds, also_kill=None):
        """Stops a daemon's process by SIGSTOP for some time."""
        session = self.session
        owned = c.wait_for(f"{name} owns shards",
                           lambda: self.owned_by(name), OWNED_TIMEOUT_S)
        started = time.monotonic()
        self.daemon(name).send_signal(signal.SIGSTOP)
        if also_kill:
            s.kill_daemon(session, also_kill)
        try:
            self.wait_for_owners(f"the freeze of {name}", {name}, started)
            time.sleep(max(0, started + seconds - time.monotonic()))
            owners_after = checks.owners(self.cluster)
            session.frozen.append((name, s.boottime_us(), owned, owners_after))
        finally:
            self.daemon(name).send_signal(signal.SIGCONT)

    def store_faults(self, **faults):
        c.http_json("POST", self.cluster.store_address, "/v1/faults", faults)

    def apply_until_done(self, change):
        """Repeats the apply until it succeeds, as an operator does whose
        answers get lost."""
        change(self.cluster.state)
        path = os.path.join(self.cluster.directory, "state.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.cluster.state, file)

        def done():
            return self.cluster.ctl("apply", path, "--wait",
                                    check=False)[0] == 0

        c.wait_for("the state is in force", done, OWNED_TIMEOUT_S)

    def finish(self, loads):
        return [load.finish() for load in loads]


def outcomes(results):
    """Counts the outcomes of all loads other than answered."""
    counts = {}
    for result in results:
        for name, count in result.get("outcome", {}).items():
            if name != "answered":
                counts[name] = counts.get(name, 0) + count
    return counts


class RevisionWatch:
    """Samples the revision in force at each daemon until stopped."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.samples = 0
        self.decreases = 0
        self.newest = {}
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.sample, daemon=True)
        self.thread.start()

    def sample(self):
        while not self.stopping.wait(0.02):
            for instance in self.cluster.live():
                try:
                    revision = instance.get_json("status")["revision"]
                except CALL_ERRORS:
                    continue
                self.samples += 1
                self.decreases += revision < self.newest.get(instance.name, 0)
                self.newest[instance.name] = revision

    def stop(self):
        self.stopping.set()
        self.thread.join()


class Restarter:
    """Restarts crashed targets and counts the crashes."""

    def __init__(self, run):
        self.run = run
        self.crashes = 0
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.watch, daemon=True)
        self.thread.start()

    def watch(self):
        while not self.stopping.wait(0.05):
            for instance in self.run.cluster.instances:
                if not instance.target.is_running():
                    self.crashes += 1
                    instance.start_target()

    def stop(self):
        self.stopping.set()
        self.thread.join()
