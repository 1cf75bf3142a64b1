"""Measures the path from a caller to a target: requests per second and core of
the daemon, added latency, and the cost of an idle daemon. Prints one JSON
line per figure."""

import argparse
import json
import os
import subprocess
import sys
import time

import cluster as c
import session as s

DIRECT_LATENCY_US = 200
SLOTS = 128
RATE_STEP_S = 3
RATES = (2000, 4000, 8000, 12000, 16000, 20000, 26000)
ANSWERED_SHARE_MIN = 0.99
IDLE_S = 10
CORE_GOAL_PERCENT = 1.1
MEMORY_GOAL_MB = 32
CONTROL_GOAL_KB = 7


def print_figure(name, value, unit, goal, better, baseline=None,
                 baseline_name=None):
    row = {"figure": name, "value": round(value, 4), "unit": unit,
           "goal": goal, "better": better}
    if baseline_name:
        row["baseline"] = round(baseline, 4)
        row["baseline_name"] = baseline_name
    print(json.dumps(row), flush=True)


def cpu_s(process):
    text = c.read_file(f"/proc/{process.popen.pid}/stat")
    fields = text.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_mb(process):
    for line in c.read_file(f"/proc/{process.popen.pid}/status").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def counters(instance):
    _, _, text = c.http("GET", instance.addresses["http"],
                        "/chestnutgap/counters")
    rows = [line.split() for line in text.decode().splitlines()
            if not line.startswith("#")]
    return {name: int(value) for name, value in rows}


def load(cluster, address, rate):
    completed = subprocess.run(
        [cluster.program("load"), "--entries", address, "--rate", str(rate),
         "--seconds", str(RATE_STEP_S), "--connections", "64", "--prefix",
         "/patrymau", "--keys", "1000"], capture_output=True, text=True,
        timeout=60, check=True)
    return json.loads(completed.stdout.splitlines()[-1])


def measure_path(build):
    cluster = c.Cluster(build, "examples/powys/state.json", "powys",
                        "warning", DIRECT_LATENCY_US)
    for service in cluster.state["services"]:
        service.update(slots=SLOTS, connections=SLOTS + 2, cold_start_ms=0)
    try:
        instance = cluster.add_instance("patrymau-1", "llanidloes",
                                        "patrymau")
        cluster.start_store()
        instance.start_daemon()
        instance.start_target()
        cluster.apply()
        entry = instance.addresses["http"]
        c.wait_for("a key is served",
                   lambda: c.http("GET", entry, "/patrymau/x")[0] == 200, 20)
        load(cluster, entry, RATES[0])
        best_per_core = 0.0
        sustained_rate = 0
        for rate in RATES:
            before = cpu_s(instance.daemon)
            result = load(cluster, entry, rate)
            used_s = cpu_s(instance.daemon) - before
            answered = result["outcome"].get("answered", 0)
            if used_s > 0:
                best_per_core = max(best_per_core, answered / used_s)
            if answered < ANSWERED_SHARE_MIN * result["requests"]:
                break
            sustained_rate = rate
        print_figure("path_requests_per_core", best_per_core, "requests/s",
                     20000, "higher")
        print_figure("path_served_rate", sustained_rate, "requests/s", 20000,
                     "higher")
        half_rate = max(sustained_rate // 2, RATES[0] // 2)
        direct = load(cluster, instance.target_address, half_rate)
        through = load(cluster, entry, half_rate)
        for name, goal_ms in (("p50", 1.0), ("p99", 1.0)):
            added = (through[f"{name}_us"] - direct[f"{name}_us"]) / 1000
            print_figure(f"path_added_{name}", added, "ms", goal_ms, "lower",
                         direct[f"{name}_us"] / 1000, "target_called_directly")
        print_figure("path_memory_after_load", memory_mb(instance.daemon),
                     "MB", MEMORY_GOAL_MB, "lower")
    finally:
        cluster.stop()
        cluster.remove()


def measure_idle(build):
    powys = s.powys(build, log_level="warning")
    try:
        s.start(powys)
        time.sleep(2)
        instance = powys.instances[0]
        cpu_before = cpu_s(instance.daemon)
        before = counters(instance)
        time.sleep(IDLE_S)
        cpu = (cpu_s(instance.daemon) - cpu_before) / IDLE_S * 100
        after = counters(instance)
        names = [n for n in after if "_bytes" in n
                 and n.startswith(("rpc_", "store_"))]
        transferred = sum(after[n] - before.get(n, 0) for n in names)
        print_figure("idle_cpu", cpu, "% of a core", CORE_GOAL_PERCENT,
                     "lower")
        print_figure("idle_memory", memory_mb(instance.daemon), "MB",
                     MEMORY_GOAL_MB, "lower")
        print_figure("idle_control_bytes", transferred / IDLE_S / 1000, "KB/s",
                     CONTROL_GOAL_KB, "lower")
    finally:
        powys.stop()
        powys.remove()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    build = parser.parse_args().build
    measure_path(build)
    measure_idle(build)
    return 0


if __name__ == "__main__":
    sys.exit(main())
