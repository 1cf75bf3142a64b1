"""An upstream crashes and is back, as another one, within a second."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standin2"))
import standins as s  # noqa: E402

UPSTREAMS = 8  # one of them at a time: share 0.125
DOWN_S = 0.4
FIRST_HEARTBEAT_S = 0.87  # after the start: heartbeat_s
CRASHES = 8
PAUSE_S = 6


class Fences:
    """For each key, the highest fence with which an upstream had it."""

    def __init__(self, record):
        self.record = record
        self.keys = [(0, "")] * s.KEYS
        self.broken = []  # (upstream, order, fence, former upstream)

    def watch(self, upstream):
        accept = upstream.grant

        def grant(order):
            status = accept(order)
            if status == 200:
                self.check(upstream.id, order)
            return status
        upstream.grant = grant

    def check(self, ident, order):
        span = range(order["from"], order["to"] + 1)
        for key in span:
            fence, holder = self.keys[key]
            if holder not in ("", ident) and order["fence"] <= fence:
                self.broken.append((ident, order, fence, holder))
                self.record("upstream", ident, "takes", order, "but", holder,
                            "had key", key, "with fence", fence)
                break
        for key in span:
            if order["fence"] >= self.keys[key][0]:
                self.keys[key] = (order["fence"], ident)


async def case(folder, record, trouble):
    d = s.Deployment(folder, record, {"drain_s": 2})
    zones = ("llanidloes", "rhayader", "machynlleth")
    fences = Fences(record)
    for i in range(UPSTREAMS):
        d.add("side-%d" % i, zones[i % 3], "patterns", True)
        fences.watch(d.upstreams[-1])
    d.config(1, {"patterns": True},
             [("patterns.example", "/look/", "safe", "patterns", 1)])
    crashes = []
    try:
        await d.start()
        if not await d.wait_ready():
            record.say("the deployment didn't start")
            return None
        await asyncio.sleep(3)
        for n in range(CRASHES):
            upstream = d.upstreams[n % UPSTREAMS]
            if trouble:
                before = len(fences.broken)
                upstream.crash()
                await asyncio.sleep(DOWN_S)
                await upstream.restart(
                    "i-%s-%d" % (upstream.name, upstream.life + 1),
                    FIRST_HEARTBEAT_S)
                await asyncio.sleep(FIRST_HEARTBEAT_S + 1)
                crashes.append(len(fences.broken) > before)
            await asyncio.sleep(PAUSE_S)
    finally:
        d.end()
    record.say(len(crashes), "crashes, after", sum(crashes),
               "of them the new upstream took keys with a fence that isn't",
               "above the former one's; such grants:", len(fences.broken))
    return not fences.broken


s.main(case)
