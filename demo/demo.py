"""Runs the Powys example on loopback: load, a killed daemon, a zone taken out
and back in, a planned stop. Then prints a verdict on each promise with the
counts behind it."""

import argparse
import sys
import time

import checks
import cluster as c
import session as s


def log(started, text):
    print(f"{time.monotonic() - started:5.1f} s  {text}", flush=True)


def run_steps(session, started):
    cluster = session.cluster
    s.start(cluster)
    log(started, f"{len(cluster.instances)} instances run, revision 1 is in "
                 f"force, every shard has an owner")
    session.owners_before = checks.owners(cluster)
    # Callers switch away from a lost entry; the load generator does not.
    entries = [i.addresses["http"] for i in cluster.instances
               if i.name not in ("patrymau-2", "archebion-3")]
    loads = [
        s.Load(session, "load-patterns", "patrymau", 400, 22, orders=10,
               entries=entries),
        s.Load(session, "load-fittings", "hanes-ffit", 400, 22,
               entries=entries),
        s.Load(session, "load-orders", "archebion", 120, 22, orders=50,
               entries=entries),
    ]
    time.sleep(2)
    s.kill_daemon(session, "patrymau-2")
    log(started, "killed the daemon of patrymau-2")
    s.wait_until_placed(cluster)
    log(started, "its shards have new owners")
    s.restart_daemon(session, "patrymau-2")
    log(started, "restarted patrymau-2")
    s.take_zone_out(session, "rhayader", 6)
    log(started, "the zone rhayader was out for 6 s and is back")
    planned = s.Load(session, "load-planned", "hanes-ffit", 200, 4,
                     entries=[cluster.instance("hanes-ffit-1")
                              .addresses["http"]], during_stop=True)
    time.sleep(1)
    s.stop_instance(session, "archebion-3")
    log(started, "stopped archebion-3 gracefully")
    for load in [planned] + loads:
        load.finish()
    s.wait_until_placed(cluster)
    log(started, "the loads have finished")


def run(build):
    started = time.monotonic()
    cluster = s.powys(build)
    session = checks.Session(cluster)
    try:
        run_steps(session, started)
        verdicts = checks.check_all(session)
    except c.Failure as failure:
        print(f"session failed: {failure}; logs: {cluster.directory}")
        return False
    finally:
        cluster.stop()
    for load in session.loads:
        print(f"load: {load['requests']} requests, "
              f"p50 {load['p50_us'] / 1000:.1f} ms, "
              f"p99 {load['p99_us'] / 1000:.1f} ms, outcomes: "
              f"{load['outcome']}")
    verdicts.print()
    log(started, "every promise kept" if verdicts.kept()
        else f"promises were broken; logs: {cluster.directory}")
    if verdicts.kept():
        cluster.remove()
    return verdicts.kept()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    return 0 if run(parser.parse_args().build) else 1


if __name__ == "__main__":
    sys.exit(main())
