"""Runs a Powys on loopback, sends requests and reports what was kept."""

import argparse
import sys
import time

import cluster as c

ZONES = ("llanidloes", "rhayader", "machynlleth")
SERVICES = (("patrymau", 4), ("hanes-ffit", 4), ("archebion", 3))


def build_powys(build):
    powys = c.Cluster(build, "examples/powys/state.json", "powys")
    for service, count in SERVICES:
        for number in range(count):
            zone = ZONES[len(powys.instances) % len(ZONES)]
            powys.add_instance(f"{service}-{number + 1}", zone, service)
    return powys


def run(build):
    powys = build_powys(build)
    try:
        powys.start_store()
        powys.start_instances()
        powys.apply()
        entry = powys.instances[0].addresses["http"]
        answered = 0
        for service, _ in SERVICES:
            path = f"/{service}/demo-key"
            c.wait_for(f"{path} is answered",
                       lambda: c.http("GET", entry, path)[0] == 200, 10.0)
            answered += 1
            print(f"{path}: answered")
        return answered == len(SERVICES)
    finally:
        powys.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    started = time.monotonic()
    kept = run(parser.parse_args().build)
    print(f"took {time.monotonic() - started:.1f} s")
    return 0 if kept else 1


if __name__ == "__main__":
    sys.exit(main())
