"""Recomputes the tables of CAPACITY.md from the figures of the bench programs.

  capacity.py [FIGURES]          prints the page with recomputed tables
  capacity.py --write [FIGURES]  writes them into the page
  capacity.py --check            fails if page and committed figures differ

FIGURES holds the JSON lines of the bench programs, "-" is the standard input;
by default the committed capacity-figures.jsonl. A table of the page lies
between the lines "<!-- table: NAME -->" and "<!-- end -->"."""

import argparse
import json
import math
import os
import re
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
PAGE = os.path.join(HERE, "CAPACITY.md")
FIGURES = os.path.join(HERE, "capacity-figures.jsonl")

# The size that is planned for.
MEMBERS = 4600
ZONES = 12
REGIONS = 4
KEYS = 4.4e9
REQUESTS = 36e6  # a second
REVISIONS = 3000  # a day
RESTARTS = 245  # a day, with failures
HOT_KEYS = 200
DAY_S = 86400
# Limits.
CPU_MAX = 1.1  # % of a core
MEMORY_MAX = 32  # MB
BYTES_MAX = 7000  # a second and node
WRITES_MAX = 300  # a second, of "several hundred"
READS_MAX = 2000  # a second
SERVED_AGAIN_S = 1
IN_FORCE_S = 4
# Constants of the code.
POLLERS_PER_ZONE = 5  # membership/memberpoll.c
IDLE_POLL_S = 60  # membership/memberpoll.c
POLL_JITTER = 0.95  # mean of the random shortening
POLLS_PER_SECOND = 200  # placement/placetask.c, daemon/configtask.c
SPREAD_BUDGET = 1200  # B/s, spread/spread.h
SHARDS = 262144  # STATE_SHARDS_MAX
PAGE_SHARDS = 64  # placement/shardpage.h
PAGES_BATCH = 256  # rows of a read, placement/placestore.c
MEMBERS_BATCH = 1000  # rows of a read, STORE_SCAN_ROWS_MAX
ACKNOWLEDGEMENT_BYTES = 72  # a member, spread/config.c
RENEWAL_MAX_S = 14400  # default of store_renewal_max_ms
WRITES_TO_JOIN = "member_store_writes_to_join_192"
# Assumptions, named on the page.
HOT_CHANGE_S = 120  # "within minutes"
ZIPF = 1.0
RACK = 20  # instances of a rack
ROW_BYTES = 500  # of a members row, as in bench_store
PAGE_BYTES = 900  # of a page, as in bench_store
ITEM_BYTES = 110  # of an item beside its payload


def load_figures(lines):
    rows = (json.loads(line) for line in lines if line.strip())
    return {row["figure"]: row["value"] for row in rows}


def points(figures, name):
    """Values of NAME_SIZE by size."""
    pattern = re.compile(re.escape(name) + r"_(\d+)$")
    found = ((pattern.match(key), value) for key, value in figures.items())
    return sorted((int(m.group(1)), v) for m, v in found if m)


def line_fit(pairs):
    """Least squares: (a, b) of value = a + b x."""
    count = len(pairs)
    mean_x = sum(x for x, _ in pairs) / count
    mean_y = sum(y for _, y in pairs) / count
    square = sum((x - mean_x) ** 2 for x, _ in pairs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / square
    return mean_y - slope * mean_x, slope


def number(value):
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def table(head, rows):
    lines = ["| " + " | ".join(head) + " |", "|" + "---|" * len(head)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def verdict(value, limit):
    return "fits" if value <= limit else "**does not fit**"


def member_reads(members, zones):
    """Reads of changed members rows a second, of all members."""
    pollers = min(members, POLLERS_PER_ZONE * zones)
    return (pollers + (members - pollers) / IDLE_POLL_S) / POLL_JITTER


def harmonic(count):
    return sum(1 / k for k in range(1, count + 1)) if count < 1e6 \
        else math.log(count) + 0.5772


# A slope: figure, unit, kind of fit, carried by.
SLOPES = (
    ("daemon_cpu", "% of a core", "largest", "timers, no threads"),
    ("daemon_memory", "MB", "line", "tables by members and pages"),
    ("daemon_rpc_bytes", "B/s", "largest",
     "renewals, probes, gossip in its budget"),
    ("daemon_early_rpc_bytes", "B/s", "largest",
     "gossip's budget, sent and received"),
    ("daemon_early_store_bytes", "B/s", "largest", "scans of changes"),
    ("daemon_store_bytes", "B/s", "largest", "periods of the polls"),
    ("daemon_config_polls", "reads/s of all", "polls",
     "each second up to 200 daemons, then longer"),
    ("member_cpu", "% of a core", "largest", "three guardians a member"),
    ("member_store_writes_to_join", "writes", "largest", "own row only"),
    ("member_zone_lost_store_writes_per_lost", "writes", "largest",
     "one fence, two for each ward's holder"),
    ("guardian_most_wards", "wards", "largest", "choice with a bound"),
    ("directory_bytes_per_member", "B", "at size", "packed rows"),
    ("directory_join_cpu", "us", "line", "choice looks at all members once"),
    ("spread_in_force_longest", "s", "log", "push to 2 peers each 0.2 s"),
    ("spread_bytes_per_revision", "B", "log", "pushes: ln(members) + 6"),
    ("spread_cpu_per_revision", "us", "log", "pushes: ln(members) + 6"),
    ("spread_idle", "B/s", "largest", "digest each 2.5 s"),
)


def fit(pairs, kind):
    """(formula, value at MEMBERS)."""
    if kind == "largest":
        value = max(v for _, v in pairs)
        return "constant, the largest point", value
    if kind == "polls":
        return "min(n, 200)", POLLS_PER_SECOND
    if kind == "at size":
        return "measured at the size", dict(pairs)[MEMBERS]
    if kind == "log":
        a, b = line_fit([(math.log(n), v) for n, v in pairs])
        return f"{a:.4g} + {b:.4g} ln n", a + b * math.log(MEMBERS)
    a, b = line_fit(pairs)
    return f"{a:.4g} + {b:.4g} n", a + b * MEMBERS


def slope(figures, name):
    for row in SLOPES:
        if row[0] == name:
            return fit(points(figures, name), row[2])[1]
    raise KeyError(name)


def slopes_table(figures):
    rows = []
    for name, unit, kind, mechanism in SLOPES:
        pairs = points(figures, name)
        formula, value = fit(pairs, kind)
        shown = ", ".join(f"{n}: {number(v)}" for n, v in pairs)
        rows.append([f"{name}, {unit}", shown, formula, number(value),
                     mechanism])
    pairs = points(figures, "member_store_reads")
    shown = ", ".join(f"{n}: {number(v)} ({number(member_reads(n, 3))})"
                      for n, v in pairs)
    rows.append(["member_store_reads, reads/s of all (by the formula)",
                 shown, "(p + (n - p) / 60) / 0.95, p = 5 a zone",
                 number(member_reads(MEMBERS, ZONES)),
                 "five pollers a zone"])
    return table(["figure, unit", "points, n: value", "fit",
                  f"at {MEMBERS:,}", "mechanism"], rows)


def cpu_parts(f):
    revision_s = slope(f, "spread_cpu_per_revision") * REVISIONS / DAY_S
    pages = page_changes() * f["placement_map_apply_page"] / 1e3
    joins = slope(f, "directory_join_cpu") * RESTARTS * 2 / DAY_S
    placement = f["placement_cpu_idle_4600_members_262144_shards"]
    return [("daemon at rest, largest of 6 to 48 daemons",
             slope(f, "daemon_cpu")),
            ("placement at 4,600 members and 262,144 shards",
             placement / 1e4),
            ("spreading of revisions", revision_s / 1e4),
            ("pages put into the map", pages / 1e4),
            ("rows put into the directory", joins / 1e4)]


def memory_parts(f):
    directory = slope(f, "directory_bytes_per_member") * MEMBERS
    rows = MEMBERS * (ROW_BYTES + ITEM_BYTES)
    pages = SHARDS / PAGE_SHARDS * (PAGE_BYTES + ITEM_BYTES)
    return [("daemon under load, 1 member (path)",
             f["path_memory_after_load"]),
            ("directory", directory / 1e6),
            ("map and placement",
             f["placement_memory_4600_members_262144_shards"]),
            ("members rows kept for gossip (computed)", rows / 1e6),
            ("pages kept for gossip (computed)", pages / 1e6),
            ("acknowledgements of revisions (computed)",
             MEMBERS * ACKNOWLEDGEMENT_BYTES / 1e6)]


def page_changes():
    """Page writes a second: restarts on fragmented pages, hot keys."""
    return restart_changes() + 2 * HOT_KEYS / HOT_CHANGE_S


def restart_changes():
    return RESTARTS * 2 * SHARDS / MEMBERS / DAY_S


def byte_parts(f):
    """Sent and received; the model of spreading counts what is sent."""
    read = f["store_read_bytes"]
    revisions = slope(f, "spread_bytes_per_revision") * REVISIONS / DAY_S
    polls = 2 * POLLS_PER_SECOND / MEMBERS + 1 / IDLE_POLL_S
    idle = slope(f, "spread_idle")
    return [("renewals", f["lease_control_bytes"]),
            ("gossip at rest", 2 * idle),
            ("gossip of revisions", 2 * revisions),
            ("polls of the store", polls * read),
            ("gossip of pages, to its budget",
             2 * (SPREAD_BUDGET - idle - revisions)),
            ("pages read by scans", page_changes() * read)]


def parts_table(parts, unit, limit, without=None):
    rows = [[name, number(value)] for name, value in parts]
    total = sum(value for _, value in parts)
    rows.append([f"**sum**, limit {limit:,}",
                 f"{number(total)}: {verdict(total, limit)}"])
    if without:
        less = sum(v for name, v in parts if name not in without)
        rows.append([f"without the last {len(without)}",
                     f"{number(less)}: {verdict(less, limit)}"])
    return table(["part", unit], rows)


def most_wards_bytes(f):
    """More than the mean: renewals of a guardian with the most wards."""
    message = f["lease_renewal_call"] + f["lease_renewal_reply"]
    guardians = 3
    each = f["lease_renewals_sent"] / guardians * message
    return (slope(f, "guardian_most_wards") - guardians) * each


def quiet_bytes(f):
    return sum(value for _, value in byte_parts(f)[:-2])


def roles_table(f):
    wards = slope(f, "guardian_most_wards")
    renewals = f["lease_renewals_sent"]
    memory = dict(memory_parts(f))
    each = REQUESTS / MEMBERS
    spread_cpu = slope(f, "spread_cpu_per_revision") * REVISIONS / DAY_S
    poll = POLLS_PER_SECOND / MEMBERS
    rows = [
        ["entry", "map of shards; targets of un-keyed services; requests in "
         "progress", f"{number(each)} calls/s",
         f"{number(1e6 / f['path_requests_per_core'])} us a request with "
         "the gate (data)", f"{number(f['placement_map_memory'])} MB of map; "
         "connections not measured",
         "entry/choice, placement/shardmap: maps may be stale"],
        ["gate", "limit, queue, remembered ids, suspects",
         f"{number(each)} requests/s to its target",
         f"{number(f['admission_cpu'])} ns an admission, "
         f"{number(f['duplicate_new_id_cpu'])} ns a new id (data)",
         f"{number(f['duplicate_heap_per_id'])} B an id, bound by settings "
         "(data)", "gate/limit, gate/dedup: decides alone"],
        ["member", "own row, directory of all",
         f"{number(renewals)} renewals/s",
         f"{number(slope(f, 'member_cpu'))}% of a core, with its wards",
         f"{number(memory['directory'])} MB",
         "membership/lease: guardians; the store on change only"],
        ["guardian", f"at most {number(wards)} wards",
         f"at most {number(wards * renewals / 3)} replies/s",
         "in the member's", "in the member's",
         "membership/guardianselect: a bound on wards"],
        ["placement", "pages, loads of members heard of lately",
         "2 probes/s sent",
         f"{number(f['placement_cpu_idle_4600_members_262144_shards'] / 1e4)}"
         "% of a core", f"{number(memory['map and placement'])} MB",
         "placement/rebalance: samples of members, one write a move"],
        ["gossip relay", "all items with payloads",
         f"{number(slope(f, 'spread_bytes_per_revision'))} B a revision, "
         f"{number(slope(f, 'spread_idle'))} B/s at rest, sent",
         f"{number(spread_cpu / 1e4)}% of a core (model)",
         number(memory["members rows kept for gossip (computed)"]
                + memory["pages kept for gossip (computed)"])
         + " MB (computed)", "spread: a budget of bytes, pages last"],
        ["config poller", "revision, acknowledgements of all",
         f"{number(poll)} reads/s",
         f"{number(poll * f['store_read_cpu'] / 1e4)}% of a core",
         number(memory["acknowledgements of revisions (computed)"])
         + " MB (computed)", "daemon/configtask: 200 reads/s by all"],
        ["operators' client", "none", "`apply --wait` asks daemons",
         "not measured", "not measured", "ctl/ctlwait"],
        ["store, as used by us", "4,600 members rows, 4,096 pages, "
         "revisions, audit rows (never moved away yet)",
         "see the store below", "not ours",
         f"{number(f['store_scan_members_bytes'])} and "
         f"{number(f['store_scan_shards_bytes'])} MB as read whole",
         "compare-and-swap on versions; periods grow with members"],
    ]
    return table(["role", "state", "messages a node", "processor time",
                  "memory", "carried by"], rows)


def bytes_table(f):
    more = most_wards_bytes(f)
    total = quiet_bytes(f) + more
    extra = table(["the same for a guardian with the most wards", "B/s"],
                  [["more renewals than the mean", number(more)],
                   ["**sum** without pages",
                    f"{number(total)}: {verdict(total, BYTES_MAX)}"]])
    return bytes_of_mean(f) + "\n\n" + extra


def bytes_of_mean(f):
    return parts_table(byte_parts(f), "B/s", BYTES_MAX,
                       ("gossip of pages, to its budget",
                        "pages read by scans"))


def scans_of_start():
    """Reads of a daemon that starts: all members, all pages."""
    return math.ceil(MEMBERS / MEMBERS_BATCH) \
        + math.ceil(SHARDS / PAGE_SHARDS / PAGES_BATCH)


def store_table(f):
    wards = slope(f, "guardian_most_wards")
    per_guardian = f["lease_store_writes_per_lost_guardian"]
    restart = f[WRITES_TO_JOIN] + 1 + per_guardian * wards
    writes = [("members rows, each half store_renewal_max",
               MEMBERS / (RENEWAL_MAX_S / 2)),
              ("restarts: join, leave, guardians of their wards",
               RESTARTS * restart / DAY_S),
              ("pages of restarts, one shard a page", restart_changes()),
              (f"hot keys, {HOT_KEYS} in and out each {HOT_CHANGE_S} s",
               2 * HOT_KEYS / HOT_CHANGE_S),
              ("revisions", REVISIONS / DAY_S)]
    spread_s = slope(f, "spread_in_force_longest")
    start = scans_of_start()
    reads = [("changed members", member_reads(MEMBERS, ZONES)),
             ("changed pages, all members", POLLS_PER_SECOND),
             ("configuration's head, all members", POLLS_PER_SECOND),
             ("pages before moves", page_changes()),
             ("scans of restarted members", RESTARTS * start / DAY_S),
             ("documents, if every member fetches them from the store",
              MEMBERS * REVISIONS / DAY_S)]
    rows = [[f"write: {n}", number(v)] for n, v in writes]
    total = sum(v for _, v in writes)
    rows.append([f"**writes**, limit {WRITES_MAX}",
                 f"{number(total)}: {verdict(total, WRITES_MAX)}"])
    rows += [[f"read: {n}", number(v)] for n, v in reads]
    total = sum(v for _, v in reads)
    rows.append([f"**reads**, limit {READS_MAX:,}",
                 f"{number(total)}: {verdict(total, READS_MAX)}"])
    burst_reads = MEMBERS / spread_s + total
    rows.append(["reads in the 2 to 3 s after a revision, if every member "
                 "fetches it from the store",
                 f"{number(burst_reads)}: {verdict(burst_reads, READS_MAX)}"])
    return table(["operation", "a second, all members"], rows)


def data_table(f):
    each = REQUESTS / MEMBERS
    path = 1e6 / f["path_requests_per_core"]
    forward = 1e6 / f["rpc_forwards_per_core_second"]
    admission = f["admission_cpu"] / 1e3
    cores = each * (path + forward) / 1e6
    mean = REQUESTS / MEMBERS
    hottest = REQUESTS / harmonic(int(KEYS))
    share = harmonic(HOT_KEYS) / harmonic(int(KEYS))
    rows = [["requests a second and node", number(each)],
            ["entry and gate in one daemon, us a request", number(path)],
            ["call between two daemons, both sides, us", number(forward)],
            ["admission alone (in the first of these), us", number(admission)],
            ["lookup in the map at 262,144 shards, ns",
             number(f["placement_map_lookup"])],
            ["cores a node for data", number(cores)],
            ["largest rate that one daemon served, requests/s",
             number(f["path_served_rate"])],
            ["added latency p50 / p99 in that run, ms",
             f"{f['path_added_p50']:.3g} / {f['path_added_p99']:.3g}"],
            ["added latency p50 / p99 in one process, ms",
             f"{f['path_added_p50_us'] / 1e3:.3g} / "
             f"{f['path_added_p99_us'] / 1e3:.3g}"],
            ["hottest key, requests/s (Zipf 1.0 over all keys)",
             f"{number(hottest)}: {number(hottest / mean)} times a "
             "node's mean, **does not fit** one target"],
            ["200 hottest keys, of all requests",
             f"{number(share * 100)}%"],
            ["keys hotter than a node's mean",
             number(hottest / mean)]]
    return table(["figure", "value"], rows)


def burst(name, lost, f, detect_s, note):
    per_lost = slope(f, "member_zone_lost_store_writes_per_lost")
    shards = lost * SHARDS / MEMBERS
    least = lost + math.ceil(shards / PAGE_SHARDS)
    most = lost + shards
    rest = lost * (per_lost - 1)
    need = least / (SERVED_AGAIN_S - detect_s)
    fence_s = detect_s + lost / WRITES_MAX
    least_s = detect_s + least / WRITES_MAX
    return [name, number(lost), f"{number(fence_s)} s",
            f"{number(least_s)} to {number(detect_s + most / WRITES_MAX)} s",
            number(rest),
            "fits if pages are whole" if least_s <= SERVED_AGAIN_S
            else f"**does not fit**: takes {number(need)} writes/s", note]


def losses_table(f):
    detect_s = f["lease_machine_lost_to_fence_p99"] / 1e3
    rows = [burst("one instance", 1, f, detect_s, "measured, small"),
            burst(f"a rack of {RACK}", RACK, f, detect_s, "computed"),
            burst("a zone", math.floor(MEMBERS / ZONES), f, detect_s,
                  "fences measured at 4 to 64 lost")]
    return table(["lost", "instances", "last fence", "last shard placed",
                  "later writes", "served within 1 s", "kind"], rows)


def days_table(f):
    batches = scans_of_start()
    zone = math.floor(MEMBERS / ZONES)
    holders = zone * slope(f, "guardian_most_wards")
    writes = MEMBERS * f[WRITES_TO_JOIN]
    each_mb = f["store_scan_members_bytes"] + f["store_scan_shards_bytes"]
    cpu_ms = f["store_scan_members_cpu"] + f["store_scan_shards_cpu"]
    region = MEMBERS / REGIONS
    rows = [["zone lost: holders that lose a guardian, at most; each reads "
             "the changed rows when it misses it",
             f"{number(holders)}, within a second: "
             f"{verdict(holders, READS_MAX)}"],
            ["region cut off: members on its side", number(region)],
            ["region cut off: shards that no caller of the others reaches",
             number(SHARDS / REGIONS)],
            ["store down: first instance that stops, at the default "
             "store_renewal_max", f"{number(RENEWAL_MAX_S / 120)} min"],
            ["store down: all have stopped",
             f"{number(RENEWAL_MAX_S / 60)} min"],
            ["store down: restarts and failures in an hour",
             number(RESTARTS / 24)],
            ["all restart: writes to join", number(writes)],
            ["all restart: time for these writes",
             f"{number(writes / WRITES_MAX)} s"],
            ["all restart: reads", number(batches * MEMBERS)],
            ["all restart: time for these reads",
             f"{number(batches * MEMBERS / READS_MAX)} s"],
            ["all restart: read by each member, MB", number(each_mb)],
            ["all restart: processor time of each for it, ms",
             number(cpu_ms)]]
    return table(["matter", "value"], rows)


TABLES = {
    "roles": roles_table,
    "slopes": slopes_table,
    "cpu": lambda f: parts_table(cpu_parts(f), "% of a core", CPU_MAX),
    "memory": lambda f: parts_table(memory_parts(f), "MB", MEMORY_MAX),
    "bytes": bytes_table,
    "store": store_table,
    "data": data_table,
    "losses": losses_table,
    "days": days_table,
}


def render(page, figures):
    pattern = re.compile(r"(<!-- table: (\w+) -->\n).*?(<!-- end -->)",
                         re.DOTALL)
    names = [match.group(2) for match in pattern.finditer(page)]
    if sorted(names) != sorted(TABLES):
        raise SystemExit("capacity: the page's tables are not "
                         + ", ".join(TABLES))
    return pattern.sub(
        lambda m: m.group(1) + TABLES[m.group(2)](figures) + "\n"
        + m.group(3), page)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    parser.add_argument("--write", action="store_true")
    parser.add_argument("figures", nargs="?", default=FIGURES)
    arguments = parser.parse_args()
    if arguments.figures == "-":
        figures = load_figures(sys.stdin)
    else:
        with open(arguments.figures, encoding="utf-8") as file:
            figures = load_figures(file)
    with open(PAGE, encoding="utf-8") as file:
        page = file.read()
    made = render(page, figures)
    if arguments.check:
        if made != page:
            print("capacity: docs/CAPACITY.md differs from the figures; "
                  "run docs/capacity.py --write")
            return 1
        return 0
    if arguments.write:
        with open(PAGE, "w", encoding="utf-8") as file:
            file.write(made)
    else:
        sys.stdout.write(made)
    return 0


if __name__ == "__main__":
    sys.exit(main())
