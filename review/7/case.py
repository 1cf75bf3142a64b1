"""Upstreams that shed some requests, and hand out second answers."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standin2"))
import standins as s  # noqa: E402

SECONDS = 90
PER_S = 180
# srv_grey "shed all", for 8.5 s in every 10: at most x 0.55 at the site.
SHED_S = 8.5
SHED_PERIOD_S = 10
SHED_SHARE = 0.1  # of the requests
# The second answers: garble "extra late", for 5 s in every 7.
GARBLE_S = 5
GARBLE_PERIOD_S = 7
GARBLE_UPSTREAMS = 0.6  # its share
GARBLE_ANSWERS = 0.03  # its x
LATE_S = 0.03  # the second answer comes so long after the first


def make_shed(rng, begin):
    async def shed(upstream, message, stream):
        sheds = (s.now() - begin) % SHED_PERIOD_S < SHED_S
        if not sheds or rng.random() >= SHED_SHARE:
            return False
        upstream.reject(stream, message, 503)
        return True
    return shed


def make_garble(rng, begin):
    def answered(upstream, message, stream, data):
        garbles = (s.now() - begin) % GARBLE_PERIOD_S < GARBLE_S
        if not garbles or rng.random() >= GARBLE_ANSWERS:
            return

        async def second():
            await asyncio.sleep(LATE_S)
            if not stream.closed:
                upstream.record("second answer to",
                                message.get("X-Chestnutgap-Request-Id"))
                stream.write(data)
        asyncio.ensure_future(second())
    return answered


async def case(folder, record, trouble):
    rng = random.Random(6)
    d = s.Deployment(folder, record, {"drain_s": 2.5})
    for i, zone in enumerate(("llanidloes", "rhayader", "machynlleth")):
        d.add("side-%d" % i, zone, "booking", True, work_s=0.15)
    d.config(1, {"booking": True},
             [("book.example", "/book/", "unsafe", "booking", 3)])
    try:
        await d.start()
        if not await d.wait_ready():
            record.say("the deployment didn't start")
            return None
        garbled = d.upstreams[:round(GARBLE_UPSTREAMS * len(d.upstreams))]
        begin = s.now()
        for u in d.upstreams:
            u.fault = make_shed(rng, begin)
            if trouble and u in garbled:
                u.answered = make_garble(rng, begin)
        tasks = []
        for n in range(SECONDS * PER_S):
            client = d.clients[rng.randrange(3)]
            tasks.append(asyncio.ensure_future(client.send(
                "POST", "book.example", "/book/%d" % n, "r%06x" % n, 3000,
                key=rng.randrange(s.KEYS), body=b"x" * 200)))
            await asyncio.sleep(1 / PER_S)
        await asyncio.gather(*tasks)
        await asyncio.sleep(0.5)
    finally:
        d.end()
    runs = s.runs_of(d.upstreams)
    results = [r for c in d.clients for r in c.results]
    twice = [i for i, r in runs.items() if len(r) > 1]
    refused = [r["id"] for r in results
               if r["status"] in (408, 421, 429, 503) and r["id"] in runs]
    served = sum(r["status"] == 200 for r in results)
    record.say(len(results), "requests,", served, "served,",
               sum(r["status"] == 503 for r in results), "answered 503;",
               len(twice), "ran twice,", len(refused),
               "answered as not run although they ran")
    for ident in (twice + refused)[:5]:
        record.say("for example", ident)
    if served == 0:
        return None
    return not twice and not refused


s.main(case)
