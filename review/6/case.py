"""A planned stop of a machine whose clients' uploads wait for room."""

import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standin2"))
import standins as s  # noqa: E402

GRACE_S = 6
SLOTS = 4
WORK_S = 0.25
SUBMITS_PER_S = 56  # for 3 x 4 slots, which run 48 a second
ROUNDS = 3
UPLOADS = 40  # of a round, at the machine that stops
# After its SIGTERM. Its clients leave it after two missed asks, one a second:
# between 1 and 2 s after it.
UPLOADS_S = (0.7, 1.9)


class Load:
    """The urgent requests, at the machines that stay."""

    def __init__(self, clients, rng):
        self.clients = clients
        self.rng = rng
        self.stopped = False
        self.task = asyncio.ensure_future(self.run())

    async def run(self):
        tasks = []
        n = 0
        while not self.stopped:
            n += 1
            tasks.append(asyncio.ensure_future(self.rng.choice(
                self.clients).send("POST", "submit.example",
                                   "/submit/%d" % n, "s%06x" % n, 4000)))
            await asyncio.sleep(1 / SUBMITS_PER_S)
        await asyncio.gather(*tasks)


async def stop_round(d, number, trouble, record):
    """@return the uploads that got neither an answer nor a refusal"""
    machine, client = d.machines[0], d.clients[0]
    if trouble:
        record("node", machine.name, "gets SIGTERM")
        machine.signal(signal.SIGTERM)
    begin = s.now()
    first, last = UPLOADS_S
    tasks = []
    for n in range(UPLOADS):
        await asyncio.sleep(begin + first + n * (last - first) / UPLOADS
                            - s.now())
        tasks.append(asyncio.ensure_future(client.send(
            "POST", "clip.example", "/clip/%d" % n,
            "u%d-%02d" % (number, n), 8000, body=b"x" * 4000, fresh=True)))
    if trouble:
        while machine.process.poll() is None and s.now() - begin < GRACE_S:
            await asyncio.sleep(0.02)
        record("node", machine.name, "has ended",
               "%.2f s" % (s.now() - begin), "after its SIGTERM, status",
               machine.process.poll())
        machine.end()
        await asyncio.sleep(0.3)
        machine.start(record)
    results = await asyncio.gather(*tasks)
    runs = s.runs_of(d.upstreams)
    lost = [r for r in results
            if r["status"] == 0 and r.get("why") == "closed"
            and r["ended"] - r["sent"] > 0.2]
    for r in lost:
        record("upload", r["id"], "sent %.2f s" % (r["sent"] - begin),
               "after the SIGTERM, closed without an answer at %.2f s;" % (
                   r["ended"] - begin),
               "it ran" if r["id"] in runs else "it ran nowhere")
    return [r for r in lost if r["id"] not in runs]


async def case(folder, record, trouble):
    d = s.Deployment(folder, record, {"grace_s": GRACE_S, "drain_s": 2.5})
    for i, zone in enumerate(("portland", "worcester", "hartford")):
        d.add("side-%d" % i, zone, "exam", False, slots=SLOTS, work_s=WORK_S)
    d.config(1, {"exam": False},
             [("submit.example", "/submit/", "unsafe", "exam", 2, 0),
              ("clip.example", "/clip/", "upload", "exam", 8, 2)])
    lost = []
    try:
        await d.start()
        if not await d.wait_ready():
            record.say("the deployment didn't start")
            return None
        load = Load(d.clients[1:], random.Random(6))
        for number in range(ROUNDS):
            await asyncio.sleep(6)
            lost += await stop_round(d, number, trouble, record)
        load.stopped = True
        await load.task
    finally:
        d.end()
    submits = [r for c in d.clients[1:] for r in c.results]
    uploads = d.clients[0].results
    record.say(len(submits), "submissions,",
               sum(r["status"] == 200 for r in submits), "served;",
               len(uploads), "uploads:",
               sum(r["status"] == 200 for r in uploads), "served,",
               sum(r["status"] in (502, 503, 504) for r in uploads),
               "refused or failed,", len(lost),
               "closed without an answer that had run nowhere")
    if not any(r["status"] == 200 for r in submits):
        return None
    return not lost


s.main(case)
