"""Measures what idle daemons cost at several numbers of daemons, at the
default intervals, soon after the start and once settled: processor time, memory, bytes between daemons and to the
store, reads of the store. Prints one JSON line for each figure."""

import argparse
import json
import sys
import time

import bench_daemon as b
import cluster as c
import session as s

EARLY_S = 6
SETTLED_S = 15  # after the early figures; gossip and moves of the start end
IDLE_S = 10
SIZES = "6,12,24,48"


class Daemon(c.Instance):
    """An instance whose daemon polls at the default intervals."""

    intervals = {}


def total(rows, words):
    return sum(value for name, value in rows.items()
               if all(word in name for word in words))


def measure_window(cluster, label):
    """Prints what the daemons cost in the next IDLE_S seconds."""
    instances = cluster.instances
    size = len(instances)
    cpu = sum(b.cpu_s(i.daemon) for i in instances)
    before = [b.counters(i) for i in instances]
    time.sleep(IDLE_S)
    cpu = sum(b.cpu_s(i.daemon) for i in instances) - cpu
    after = [b.counters(i) for i in instances]
    memory = max(b.memory_mb(i.daemon) for i in instances)

    def rate(*words):
        change = sum(total(rows, words) for rows in after) \
            - sum(total(rows, words) for rows in before)
        return change / size / IDLE_S

    b.figure(f"{label}_cpu_{size}", cpu / size / IDLE_S * 100, "% of a core",
             b.CORE_GOAL_PERCENT, "lower")
    b.figure(f"{label}_memory_{size}", memory, "MB", b.MEMORY_GOAL_MB,
             "lower")
    b.figure(f"{label}_rpc_bytes_{size}", rate("rpc_", "_bytes"), "B/s",
             7000, "lower")
    b.figure(f"{label}_store_bytes_{size}", rate("store_", "_bytes"), "B/s",
             7000, "lower")
    b.figure(f"{label}_config_polls_{size}", rate("config_polls") * size,
             "reads/s", 200, "lower")


def measure(build, size):
    cluster = c.Cluster(build, "examples/powys/state.json", "powys",
                        "warning")
    try:
        cluster.start_store()
        for number in range(size):
            cluster.instances.append(
                Daemon(cluster, f"patrymau-{number + 1}",
                       s.ZONES[number % len(s.ZONES)], "patrymau"))
        cluster.start_instances()
        cluster.apply()
        time.sleep(EARLY_S)
        measure_window(cluster, "daemon_early")
        time.sleep(SETTLED_S)
        measure_window(cluster, "daemon")
    finally:
        cluster.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--sizes", default=SIZES)
    arguments = parser.parse_args()
    for size in arguments.sizes.split(","):
        measure(arguments.build, int(size))
    return 0


if __name__ == "__main__":
    sys.exit(main())
