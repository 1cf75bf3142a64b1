"""Measures the cost of idle daemons for several numbers of daemons at the
default intervals, soon after the start and once settled: CPU time, memory,
bytes between daemons and to the store, reads of the store. Prints one JSON
line per figure."""

import argparse
import json
import sys
import time

import bench_daemon as b
import cluster as c
import session as s

START_UP_S = 6
SETTLE_S = 15  # after the early figures; start-up gossip and moves end
IDLE_S = 10
SIZES = "6,12,24,48"


class IdleInstance(c.Instance):
    """An instance whose daemon polls at the default intervals."""

    intervals = {}


def sum_counters(counters, words):
    return sum(value for name, value in counters.items()
               if all(word in name for word in words))


def measure_window(cluster, label):
    """Prints the cost of the daemons over the next IDLE_S seconds."""
    instances = cluster.instances
    size = len(instances)
    cpu = sum(b.cpu_s(i.daemon) for i in instances)
    before = [b.counters(i) for i in instances]
    time.sleep(IDLE_S)
    cpu = sum(b.cpu_s(i.daemon) for i in instances) - cpu
    after = [b.counters(i) for i in instances]
    memory = max(b.memory_mb(i.daemon) for i in instances)

    def rate(*words):
        increase = sum(sum_counters(rows, words) for rows in after) \
            - sum(sum_counters(rows, words) for rows in before)
        return increase / size / IDLE_S

    b.print_figure(f"{label}_cpu_{size}", cpu / size / IDLE_S * 100,
                   "% of a core", b.CORE_GOAL_PERCENT, "lower")
    b.print_figure(f"{label}_memory_{size}", memory, "MB", b.MEMORY_GOAL_MB,
                   "lower")
    b.print_figure(f"{label}_rpc_bytes_{size}", rate("rpc_", "_bytes"), "B/s",
                   7000, "lower")
    b.print_figure(f"{label}_store_bytes_{size}", rate("store_", "_bytes"),
                   "B/s", 7000, "lower")
    b.print_figure(f"{label}_config_polls_{size}", rate("config_polls") * size,
                   "reads/s", 200, "lower")


def measure(build, size):
    cluster = c.Cluster(build, "examples/powys/state.json", "powys",
                        "warning")
    try:
        cluster.start_store()
        for number in range(size):
            cluster.instances.append(
                IdleInstance(cluster, f"patrymau-{number + 1}",
                       s.ZONES[number % len(s.ZONES)], "patrymau"))
        cluster.start_instances()
        cluster.apply()
        time.sleep(START_UP_S)
        measure_window(cluster, "daemon_early")
        time.sleep(SETTLE_S)
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
