"""Compares the outcomes reported to callers with the executions of targets,
and checks the state of the daemons and the store: one verdict, with evidence,
for each promise."""

import collections
import json

import cluster as c

SHARDS_PER_PAGE = 64
ZONE_GRACE_US = 3_000_000  # the promise: "no new work after a few seconds"


class Verdicts:
    """Whether each promise was kept, and the counts behind it."""

    def __init__(self):
        self.rows = []

    def add(self, promise, kept, evidence):
        self.rows.append((promise, bool(kept), evidence))

    def kept(self):
        return all(kept for _, kept, _ in self.rows)

    def print(self):
        for promise, kept, evidence in self.rows:
            print(f"{'kept  ' if kept else 'BROKEN'}  {promise}")
            print(f"        {evidence}")


class Session:
    """Record of a run: loads, executions, zones taken out."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.loads = []       # results of finished load programs
        self.outcome_logs = []
        self.zones_out = []   # (zone, from_us, until_us or None), BOOTTIME
        self.leaving = []     # (instance, from_us)
        self.stats = []       # targets' statistics, read before they stop
        self.frozen = []      # (instance, resumed_us, shards it owned
                              # before, owners just before it resumed)
        self.owners_before = {}

    def record_target_stats(self, instance):
        if instance.target is not None and instance.target.is_running():
            self.stats.append(c.http_json("GET", instance.target_address,
                                          "/standin/stats"))

    def executions(self):
        """All executions with their instance, in order of start."""
        rows = []
        for instance in self.cluster.instances:
            for row in instance.ledger():
                if "end_us" not in row:
                    row["instance"] = instance
                    rows.append(row)
        return sorted(rows, key=lambda row: row["start_us"])

    def order_outcomes(self):
        """Returns {order: its last outcome line} and {order: all outcomes}."""
        last = {}
        outcomes = collections.defaultdict(list)
        for name in self.outcome_logs:
            for line in c.read_file(name).splitlines():
                row = json.loads(line)
                last[row["id"]] = row
                outcomes[row["id"]].append(row["told"])
        return last, outcomes


def check_at_most_once(session, verdicts, rows):
    last, outcomes = session.order_outcomes()
    runs = collections.Counter(
        row["id"] for row in rows if row["method"] == "POST")
    run_twice = [i for i, count in runs.items() if count > 1]
    lost = [i for i, row in last.items()
            if row["told"] == "answered" and row["status"] == 200
            and runs[i] == 0]
    verdicts.add(
        "A non-idempotent request runs at most once.",
        not run_twice and not lost,
        f"{len(last)} orders, {sum(runs.values())} executions, "
        f"{len(run_twice)} run twice, {len(lost)} answered but never run; "
        f"final outcomes: "
        f"{dict(collections.Counter(r['told'] for r in last.values()))}")
    wrongly_refused = [i for i, reported in outcomes.items()
                       if set(reported) == {"not-run"} and runs[i] > 0]
    refusals = sum(reported.count("not-run") for reported in outcomes.values())
    verdicts.add(
        'A refusal that says "not run" is true.', not wrongly_refused,
        f"{refusals} refusals of orders as not run, {len(wrongly_refused)} "
        f"orders with no other outcome were run")


def check_one_owner(session, verdicts, rows):
    newest = {}
    late = 0
    keyed = 0
    for row in rows:
        if "shard" not in row:
            continue
        keyed += 1
        shard = (row["instance"].service, row["shard"])
        late += row["epoch"] < newest.get(shard, 0)
        newest[shard] = max(newest.get(shard, 0), row["epoch"])
    holders = collections.defaultdict(set)
    for row in rows:
        if "shard" in row:
            holders[(row["instance"].service, row["shard"],
                     row["epoch"])].add(row["instance"].name)
    shared = [shard for shard, names in holders.items() if len(names) > 1]
    verdicts.add(
        "A key has at most one owner at any time.", not late and not shared,
        f"{keyed} executions for {len(newest)} shards; {late} started under "
        f"an owner after its successor had run one; {len(shared)} epochs "
        f"with two owners")


def check_former_owner(session, verdicts, rows):
    moved = []
    late = 0
    for name, resumed_us, owned, owners_after in session.frozen:
        service = session.cluster.instance(name).service
        moved.append(sum(owners_after[shard]["owner"] != name
                         for shard in owned))
        for row in rows:
            if "shard" not in row or row["instance"].name != name:
                continue
            owner = owners_after[(service, row["shard"])]
            late += (row["start_us"] > resumed_us and owner["owner"] != name
                     and row["epoch"] < owner["epoch"])
    verdicts.add(
        "A daemon that returns from a freeze runs nothing as a former "
        "owner.", min(moved) > 0 and late == 0,
        f"shards taken over during each freeze: {moved}; {late} "
        f"executions as a former owner afterwards")


def check_zones(session, verdicts, rows):
    late = 0
    windows = 0
    for zone, from_us, until_us in session.zones_out:
        windows += 1
        for row in rows:
            inside = row["start_us"] > from_us + ZONE_GRACE_US and (
                until_us is None or row["start_us"] < until_us)
            late += inside and row["instance"].zone == zone
    verdicts.add(
        "An availability zone that was taken out gets no new work after a "
        "few seconds.", windows > 0 and late == 0,
        f"{windows} times a zone was taken out; {late} executions started "
        f"there more than {ZONE_GRACE_US / 1e6:.0f} s after the apply")


def check_leaving(session, verdicts, rows):
    late = 0
    for name, from_us in session.leaving:
        late += sum(row["instance"].name == name
                    and row["start_us"] > from_us + ZONE_GRACE_US
                    for row in rows)
    verdicts.add(
        "A leaving target gets no new work after a few seconds.",
        session.leaving and late == 0,
        f"{len(session.leaving)} instances left; {late} executions started "
        f"there more than {ZONE_GRACE_US / 1e6:.0f} s later")


def check_answers(session, verdicts):
    faults = collections.Counter()
    ends = collections.Counter()
    for load in session.loads:
        faults.update(load.get("faults", {}))
        ends.update(load.get("outcome", {}))
    verdicts.add(
        "A caller gets the whole answer to its own request.",
        sum(ends.values()) > 0 and not faults,
        f"{ends['answered']} answers compared with their requests; "
        f"faults: {dict(faults) or 'none'}")


def check_planned_stops(session, verdicts):
    cut = sum(load.get("outcome", {}).get("lost", 0)
              for load in session.loads if load["during_stop"])
    stops = sum(load["during_stop"] for load in session.loads)
    verdicts.add(
        "Every planned stop is a graceful shutdown that cuts no request.",
        stops > 0 and cut == 0,
        f"{stops} loads ran while an instance was stopped as planned; {cut} "
        f"of their connections were cut")


def check_cold(session, verdicts):
    over_limit = [s for s in session.stats if s["peak_cold"] > s["cold_limit"]]
    peak = max((s["peak_cold"] for s in session.stats), default=0)
    verdicts.add(
        "A target in cold start gets no more than it bears.",
        session.stats and not over_limit,
        f"{len(session.stats)} targets, most requests at once while cold: "
        f"{peak}; above the limit on {len(over_limit)}")


def check_assignments(session, verdicts):
    now = owners(session.cluster)
    before = session.owners_before
    unowned = [s for s in before if s not in now or not now[s]["owner"]]
    lower_epoch = [s for s in before
                   if s in now and now[s]["epoch"] < before[s]["epoch"]]
    live = {i.name for i in session.cluster.live()}
    owner_gone = [s for s, row in now.items() if row["owner"] not in live]
    verdicts.add(
        "An acknowledged assignment survives any tolerated loss.",
        before and not unowned and not lower_epoch and not owner_gone,
        f"{len(before)} shards before, {len(unowned)} without an owner now, "
        f"{len(lower_epoch)} with a lower epoch, {len(owner_gone)} owned by "
        f"an instance that is gone")


def check_configuration(session, verdicts):
    revisions = {}
    for instance in session.cluster.live():
        revisions[instance.name] = instance.get_json("status")["revision"]
    _, text = session.cluster.ctl("--json", "status", check=False)
    head = json.loads(text).get("head") if text else None
    accepted = head["revision"] if head else None
    behind = [n for n, r in revisions.items() if r != accepted]
    verdicts.add(
        "An accepted configuration is in force everywhere and never "
        "reverts.", accepted and not behind,
        f"revision {accepted} is in force on "
        f"{len(revisions) - len(behind)} of {len(revisions)} instances")


def check_invariants(session, verdicts):
    checks = 0
    broken = collections.Counter()
    for instance in session.cluster.live():
        for row in instance.get_json("promises"):
            checks += row["checks"]
            broken[row["name"]] += row["violations"]
    broken = {name: count for name, count in broken.items() if count}
    verdicts.add("The program's own invariants hold.",
                 checks > 0 and not broken,
                 f"{checks} checks by running daemons; broken: "
                 f"{broken or 'none'}")


def owners(cluster):
    """Owner and epoch of each shard according to the store."""
    result = {}
    rows = c.http_json("GET", cluster.store_address,
                       "/v1/rows?table=shards&prefix=")["rows"]
    for row in rows:
        page = row["value"]
        if not page:
            continue
        first = page["page"] * SHARDS_PER_PAGE
        for offset, (owner, epoch, _) in enumerate(page["shards"]):
            result[(page["service"], first + offset)] = {
                "owner": page["owners"][owner],
                "epoch": epoch}
    return result


def check_all(session):
    for instance in session.cluster.instances:
        session.record_target_stats(instance)
    rows = session.executions()
    verdicts = Verdicts()
    check_one_owner(session, verdicts, rows)
    check_assignments(session, verdicts)
    check_cold(session, verdicts)
    check_zones(session, verdicts, rows)
    check_answers(session, verdicts)
    check_planned_stops(session, verdicts)
    check_at_most_once(session, verdicts, rows)
    check_leaving(session, verdicts, rows)
    check_configuration(session, verdicts)
    check_invariants(session, verdicts)
    return verdicts


def check_induced(session):
    """Runs the checks whose preconditions occurred in this session."""
    for instance in session.cluster.instances:
        session.record_target_stats(instance)
    rows = session.executions()
    verdicts = Verdicts()
    check_answers(session, verdicts)
    if any("shard" in row for row in rows):
        check_one_owner(session, verdicts, rows)
    if session.owners_before:
        check_assignments(session, verdicts)
    if session.frozen:
        check_former_owner(session, verdicts, rows)
    if any(stats["peak_cold"] > 0 for stats in session.stats):
        check_cold(session, verdicts)
    if session.zones_out:
        check_zones(session, verdicts, rows)
    if any(load["during_stop"] for load in session.loads):
        check_planned_stops(session, verdicts)
    if any(row["method"] == "POST" for row in rows):
        check_at_most_once(session, verdicts, rows)
    if session.leaving:
        check_leaving(session, verdicts, rows)
    check_configuration(session, verdicts)
    check_invariants(session, verdicts)
    return verdicts
