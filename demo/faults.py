"""Fault injection: short sessions of real processes under load, each in its
own deployment. Prints one line per check."""

import argparse
import concurrent.futures
import json
import os
import shutil
import signal
import subprocess
import sys
import time

import checks
import cluster as c
import faultrun as f
import session as s

PARALLEL_SESSIONS = 2
OPERATORS = 6
RACE_ROUNDS = 4
CRASHES_MAX = 2
LOAD_MOVE_REASONS = ("overloaded", "receiver asked for its share")
MOVED_SHARE_MAX = 0.1  # more is a mass move of shards
KNOWN_RED = "KNOWN-RED.txt"


def check_all_orders_end(run, results):
    ends = {}
    for result in results:
        for name, count in result.get("orders_end", {}).items():
            ends[name] = ends.get(name, 0) + count
    run.verdicts.add(
        "Every order that is sent again ends with its answer.",
        ends and set(ends) == {"answered"},
        f"final outcomes of orders: {ends}")


def frozen(run):
    run.start()
    loads = run.loads("load", 9, without={"patrymau-1"})
    time.sleep(1)
    run.freeze("patrymau-1", 3)
    run.finish(loads)
    run.wait_for_owners("the return")


def frozen_twice(run):
    run.start()
    loads = run.loads("load", 16, without={"archebion-1", "patrymau-2"})
    time.sleep(1)
    run.freeze("archebion-1", 3, also_kill="patrymau-2")
    run.freeze("archebion-1", 3)
    s.restart_daemon(run.session, "patrymau-2")
    run.finish(loads)
    run.wait_for_owners("the return of both")


def target_lost(run):
    run.start()
    loads = run.loads("load", 10)
    time.sleep(1)
    instance = run.cluster.instance("patrymau-1")
    instance.target.kill()
    time.sleep(1)
    instance.start_target()
    time.sleep(1)
    target = run.cluster.instance("archebion-2").target
    target.send_signal(signal.SIGSTOP)
    time.sleep(2)
    target.send_signal(signal.SIGCONT)
    run.finish(loads)
    run.wait_for_owners("a killed and a frozen target")


def check_outage(run, results):
    """Checks that only orders of durable services need the store."""
    patterns, orders = results
    failed = f.outcomes([patterns])
    ends = orders.get("gets_end", {})
    run.verdicts.add(
        "An outage of the store alone makes nothing unavailable but "
        "orders of durable services.",
        patterns["requests"] > 0 and not failed
        and set(ends) == {"answered"},
        f"8 s; {patterns['requests']} requests to a service that is "
        f"not durable, not answered: {failed or 'none'}; reads of "
        f"the durable one: {ends}; reasons of refusals: "
        f"{patterns.get('reasons', {})} and {orders.get('reasons', {})}")
    ends = orders.get("orders_end", {})
    run.verdicts.add(
        "Orders of a durable service are refused as not run while "
        "the store is down.", set(ends) == {"not-run"}
        and set(f.outcomes([orders])) == {"not-run"},
        f"final outcomes of orders: {ends}")


def store_outage(run):
    run.start()
    run.store_faults(down=True)
    started = time.monotonic()
    results = run.finish(run.loads("outage", 7))
    time.sleep(max(0, started + 8 - time.monotonic()))
    run.store_faults(down=False)
    check_outage(run, results)
    run.wait_for_owners("the outage")
    run.store_faults(down=True)
    loads = run.loads("kill", 8, without={"patrymau-1"})
    time.sleep(1)
    s.kill_daemon(run.session, "patrymau-1")
    time.sleep(3)
    run.store_faults(down=False)
    run.wait_for_owners("the end of an outage with a killed daemon")
    s.restart_daemon(run.session, "patrymau-1")
    run.finish(loads)
    run.wait_for_owners("its restart")


def store_answers_lost(run):
    def set_out(out):
        def change(state):
            for zone in state["zones"]:
                if zone["name"] == "rhayader":
                    zone["out"] = out
        return change

    run.start()
    loads = run.loads("load", 16, without={"archebion-3"})
    run.store_faults(lose_answers_percent=10, lose_write_answers_percent=20,
                     delay_writes_percent=30, delay_writes_ms=300)
    run.apply_until_done(set_out(True))
    from_us = s.boottime_us()
    s.kill_daemon(run.session, "archebion-3")
    s.restart_daemon(run.session, "archebion-3")
    time.sleep(max(0, 5 - (s.boottime_us() - from_us) / 1e6))
    until_us = s.boottime_us()
    run.session.zones_out.append(("rhayader", from_us, until_us))
    run.apply_until_done(set_out(False))
    run.store_faults()
    run.finish(loads)
    run.wait_for_owners("lost answers and late writes")


def apply_at_once(run, base):
    """Runs one round of the race. Returns [(author, exit code, stderr)]."""
    racing = []
    for number in range(OPERATORS):
        path = os.path.join(run.cluster.directory, f"race-{number}.json")
        run.cluster.state["services"][0]["deadline_ms"] = \
            2000 + 10 * base + number
        with open(path, "w", encoding="utf-8") as file:
            json.dump(run.cluster.state, file)
        racing.append((f"operator-{number}", path))
    started = [(author, subprocess.Popen(
        [run.cluster.program("chestnutgapctl"), "--store",
         run.cluster.store_address, "apply", "--base", str(base),
         "--author", author, path], stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE, text=True)) for author, path in racing]
    done = []
    for author, process in started:
        text = process.communicate(timeout=30)[1]
        done.append((author, process.returncode, text))
    return done


def operators_race(run):
    run.start()
    loads = run.loads("load", 6)
    watch = f.RevisionWatch(run.cluster)
    conflict_exit = 3
    winners = 0
    winner_named = 0
    unexpected = []
    for base in range(1, 1 + RACE_ROUNDS):
        done = apply_at_once(run, base)
        won = [author for author, code, _ in done if code == 0]
        winners += len(won) == 1
        for author, code, text in done:
            if code == 0:
                continue
            if code == conflict_exit and won and \
                    f"revision {base + 1} by {won[0]}" in text:
                winner_named += 1
            else:
                unexpected.append((author, code, text.strip()))
    run.verdicts.add(
        "Of operators that race, one wins each revision.",
        winners == RACE_ROUNDS,
        f"{winners} of {RACE_ROUNDS} rounds had one "
        f"winner among {OPERATORS}")
    run.verdicts.add(
        "A conflict names who came first.",
        winner_named == RACE_ROUNDS * (OPERATORS - 1) and not unexpected,
        f"{winner_named} conflicts named the winner; other failures: "
        f"{unexpected or 'none'}")
    run.finish(loads)
    watch.stop()
    run.verdicts.add(
        "A revision in force never goes back.",
        watch.samples > 0 and watch.decreases == 0
        and set(watch.newest.values()) == {RACE_ROUNDS + 1},
        f"{watch.samples} samples, {watch.decreases} decreases, finally "
        f"{sorted(set(watch.newest.values()))}")
    run.wait_for_owners("the race")


def all_restarted(run):
    run.start()
    loads = run.loads("load", 9)
    time.sleep(1)
    before = checks.owners(run.cluster)
    started = time.monotonic()
    for instance in run.cluster.instances:
        instance.daemon.send_signal(signal.SIGKILL)
    for instance in run.cluster.instances:
        instance.daemon.wait()
    with concurrent.futures.ThreadPoolExecutor(
            len(run.cluster.instances)) as pool:
        for done in [pool.submit(i.start_daemon, True)
                     for i in run.cluster.instances]:
            done.result()
    run.wait_for_owners("the restart of all daemons", started=started)
    run.finish(loads)
    check_no_movement(run, before)


def moved_for_load(run):
    """Shards that daemons moved because of load, according to their logs."""
    shards = set()
    for instance in run.cluster.instances:
        for line in c.read_file(instance.path("daemon.log")).splitlines():
            row = json.loads(line)
            if row.get("event") == "moved" and row["why"] in LOAD_MOVE_REASONS:
                shards.add((instance.service, row["shard"]))
    return shards


def check_no_movement(run, before):
    now = checks.owners(run.cluster)
    moved = {shard for shard, row in before.items()
             if now[shard]["owner"] != row["owner"]}
    by_load = moved & moved_for_load(run)
    run.verdicts.add(
        "Restarting all daemons at once moves no shard.",
        len(before) > 0 and moved == by_load
        and len(moved) <= MOVED_SHARE_MAX * len(before),
        f"{len(moved)} of {len(before)} shards have another owner, "
        f"{len(by_load)} of them were moved afterwards to balance "
        f"load (at most {MOVED_SHARE_MAX:.0%})")


def send_crash(run, method, path, headers):
    """Sends a crashing request like a caller that keeps retrying."""
    entries = [i.addresses["http"] for i in run.cluster.instances]
    outcomes = []
    for number in range(6):
        try:
            status, answer, _ = c.http(
                method, entries[number % len(entries)], path,
                b"order" if method == "POST" else None,
                {"Standin-Crash": "1", **headers}, timeout_s=10)
            outcomes.append((status, answer.get("Chestnutgap-Outcome")))
        except f.CALL_ERRORS as error:
            outcomes.append((0, type(error).__name__))
        time.sleep(0.7)
    return outcomes


def check_not_suspected(run):
    """Checks that requests like those in flight in a crash still run."""
    entry = run.cluster.instances[0].addresses["http"]
    refused = 0
    for number in range(200):
        for service in f.SERVICES:
            status, _, body = c.http("GET", entry,
                                     f"/{service}/key-{number}")
            refused += status != 200 and b"suspect" in body
    run.verdicts.add(
        "Requests that were in flight in a crash are not refused "
        "for it.", refused == 0, f"400 repeated, {refused} refused")


def crash_request(run):
    run.start()
    loads = run.loads("load", 14)
    time.sleep(1)
    restarter = f.Restarter(run)
    crash_id = f"{int(time.time() * 1000):013d}-00000000000000ff-1"
    for method, path, headers in (
            ("POST", "/archebion/crash-1", {"Idempotency-Key": crash_id}),
            ("GET", "/patrymau/crash-2", {})):
        before = restarter.crashes
        outcomes = send_crash(run, method, path, headers)
        count = restarter.crashes - before
        run.verdicts.add(
            f"A {method} that stops targets stops at most "
            f"{CRASHES_MAX}.", 1 <= count <= CRASHES_MAX,
            f"sent 6 times, {count} targets stopped, outcomes {outcomes}")
    restarter.stop()
    check_not_suspected(run)
    run.finish(loads)
    run.wait_for_owners("crashes")


def rolling_restart(run):
    run.start()
    names = [i.name for i in run.cluster.instances]
    results = []
    for half in (names[:3], names[3:]):
        loads = run.loads(half[0], 10, without=half, during_stop=True)
        time.sleep(0.5)
        for name in half:
            instance = run.cluster.instance(name)
            instance.daemon.send_signal(signal.SIGTERM)
            run.verdicts.add(
                f"{name} stops as planned.",
                instance.daemon.wait() == 0, "its exit code is 0")
            s.restart_daemon(run.session, name)
            run.wait_for_owners(f"the restart of {name}")
        results += run.finish(loads)
    check_all_orders_end(run, results)


SESSIONS = {
    "frozen": frozen, "frozen-twice": frozen_twice,
    "target-lost": target_lost, "store-outage": store_outage,
    "store-answers-lost": store_answers_lost,
    "operators-race": operators_race, "all-restarted": all_restarted,
    "crash-request": crash_request, "rolling-restart": rolling_restart,
}
LATENCIES_US = {"crash-request": 20000}


def known_red():
    """Broken checks listed in KNOWN-RED.txt, as SESSION: CHECK."""
    return {line.split(":", 1)[1].strip()
            for line in c.read_file(KNOWN_RED).splitlines()
            if line.startswith("test: faults.")}


def describe_load(results):
    outcomes = f.outcomes(results)
    p99 = max((r["p99_us"] for r in results), default=0) / 1000
    count = sum(r["requests"] for r in results)
    return (f"{count} requests, p99 {p99:.1f} ms, not-run "
            f"{outcomes.get('not-run', 0)}, unknown "
            f"{outcomes.get('unknown', 0)}, lost {outcomes.get('lost', 0)}")


def run_session(name, build):
    """Returns (verdicts, figures, directory of the logs)."""
    run = f.Run(build, LATENCIES_US.get(name, 2000))
    try:
        SESSIONS[name](run)
        rows = run.verdicts.rows + checks.check_induced(run.session).rows
    except Exception as error:  # counts as a broken check
        rows = run.verdicts.rows + [
            ("The session ran to its end.", False,
             f"{type(error).__name__}: {error}")]
    finally:
        run.cluster.stop()
    run.figures.append(describe_load(run.session.loads))
    if all(kept for _, kept, _ in rows):
        shutil.rmtree(run.cluster.directory)
    return rows, run.figures, run.cluster.directory


def report(name, rows, figures, directory, known):
    """Prints a session's results. Returns the broken checks, without those
    that are known to be."""
    label = f"faults.{name}"
    broken = []
    for promise, kept, evidence in rows:
        red = not kept and f"{label}: {promise}" in known
        if not kept and not red:
            broken.append(f"{label}: {promise}")
        word = "kept  " if kept else "known " if red else "BROKEN"
        print(f"{word}  {label}: {promise} {evidence}")
    for figure in figures:
        print(f"figure  {label}: {figure}")
    if not all(kept for _, kept, _ in rows):
        print(f"logs    {label}: {directory}")
    sys.stdout.flush()
    return broken


def withheld_s():
    """Processor time that the host has withheld from this machine so far."""
    steal = 8  # field of the line "cpu", see proc(5)
    ticks = c.read_file("/proc/stat").split("\n", 1)[0].split()[steal]
    return int(ticks) / os.sysconf("SC_CLK_TCK")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("sessions", nargs="*", metavar="SESSION",
                        help=f"of {', '.join(SESSIONS)} (default: all)")
    arguments = parser.parse_args()
    names = arguments.sessions or list(SESSIONS)
    unknown = [name for name in names if name not in SESSIONS]
    if unknown:
        parser.error(f"no session {', '.join(unknown)}")
    started = time.monotonic()
    withheld_before_s = withheld_s()
    known = known_red()
    broken = []
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_SESSIONS) as pool:
        running = {pool.submit(run_session, name, arguments.build): name
                   for name in names}
        for done in concurrent.futures.as_completed(running):
            broken += report(running[done], *done.result(), known)
    for check in broken:
        print(f"BROKEN  {check}")
    print(f"{len(names)} sessions in {time.monotonic() - started:.0f} s, "
          f"{withheld_s() - withheld_before_s:.1f} s of processor time "
          f"withheld by the host: {'FAILED' if broken else 'passed'}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
