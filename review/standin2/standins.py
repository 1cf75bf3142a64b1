"""Stand-ins of the platform for the scripts of this review: the store, an
upstream, clients and the daemon processes between them. They follow the users'
pages; where a page is silent they behave like a sound server or client. Python
3, standard library only; all addresses are loopback addresses."""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import unquote

KEYS = 65536


def now():
    return time.monotonic()


class Record:
    """record.txt: what was sent, answered and run, with times in seconds."""

    def __init__(self, folder):
        self.begin = now()
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)

    def __call__(self, *words):
        line = "%8.3f  %s" % (now() - self.begin, " ".join(map(str, words)))
        self.file.write(line + "\n")

    def say(self, *words):
        self(*words)
        print(*words, flush=True)


_held = []
_processes = []  # all that were started


def free_port():
    """A free loopback port, held until release_ports()."""
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    s.bind(("127.0.0.1", 0))
    _held.append(s)
    return s.getsockname()[1]


def release_ports():
    for s in _held:
        s.close()
    _held.clear()


# HTTP/1.1


class Message:
    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers  # lower-case names
        self.body = body

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


class Stream(asyncio.Protocol):
    """A connection with a buffer that several coroutines may wait on."""

    def __init__(self, accepted=None):
        self.accepted = accepted
        self.data = b""
        self.closed = False
        self.reset = False
        self.event = asyncio.Event()
        self.transport = None
        self.on_closed = []

    def connection_made(self, transport):
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.accepted:
            self.task = asyncio.ensure_future(self.accepted(self))

    def data_received(self, data):
        self.data += data
        self.event.set()

    def eof_received(self):
        self.closed = True
        self.event.set()
        return False

    def connection_lost(self, exc):
        self.closed = True
        self.reset = exc is not None
        self.event.set()
        for callback in self.on_closed:
            callback()

    async def more(self):
        if self.closed:
            return False
        self.event.clear()
        await self.event.wait()
        return True

    async def read_message(self, until_close=True):
        """The next message, or None if the connection ends before it."""
        while b"\r\n\r\n" not in self.data:
            had = len(self.data)
            if not await self.more() or (self.closed and
                                         len(self.data) == had and
                                         b"\r\n\r\n" not in self.data):
                return None
        head, rest = self.data.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
        self.data = rest
        body = b""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                while b"\r\n" not in self.data:
                    if not await self.more():
                        return None
                size, self.data = self.data.split(b"\r\n", 1)
                size = int(size.split(b";")[0], 16)
                while len(self.data) < size + 2:
                    if not await self.more():
                        return None
                body += self.data[:size]
                self.data = self.data[size + 2:]
                if size == 0:
                    break
        else:
            length = int(headers.get("content-length", "0"))
            while len(self.data) < length:
                if not await self.more():
                    return None
            body, self.data = self.data[:length], self.data[length:]
        return Message(lines[0], headers, body)

    def write(self, data):
        if not self.transport.is_closing():
            self.transport.write(data)

    def close(self):
        self.transport.close()

    def abort(self):
        """Resets the connection."""
        sock = self.transport.get_extra_info("socket")
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            b"\x01\0\0\0\0\0\0\0")
        except OSError:
            pass
        self.transport.abort()


REASONS = {200: "OK", 400: "Bad Request", 409: "Conflict",
           412: "Precondition Failed", 421: "Misdirected Request",
           429: "Too Many Requests", 500: "Internal Server Error",
           503: "Service Unavailable", 504: "Gateway Timeout", 410: "Gone"}


def answer_bytes(status, headers, body=b""):
    text = "HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, "Status"))
    for name, value in headers:
        text += "%s: %s\r\n" % (name, value)
    text += "Content-Length: %d\r\n\r\n" % len(body)
    return text.encode("latin-1") + body


def request_bytes(method, path, headers, body=b""):
    text = "%s %s HTTP/1.1\r\n" % (method, path)
    for name, value in headers:
        text += "%s: %s\r\n" % (name, value)
    if body or method in ("POST", "PUT"):
        text += "Content-Length: %d\r\n" % len(body)
    return (text + "\r\n").encode("latin-1") + body


async def connect(address, timeout=1.0):
    host, port = address.split(":")
    loop = asyncio.get_running_loop()
    _, stream = await asyncio.wait_for(
        loop.create_connection(Stream, host, int(port)), timeout)
    return stream


# The platform's store


class Store:
    """rows-tx, rows-get and rows-feed of the form "table"."""

    def __init__(self, record):
        self.record = record
        self.port = free_port()
        self.address = "127.0.0.1:%d" % self.port
        self.rows = {}  # (table, key): (value or None, ver)
        self.ver = 1
        self.changed = asyncio.Event()
        self.streams = set()
        self.fault = None  # async (kind, message, stream): True if handled
        self.tx_s = 0.004

    async def start(self):
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: Stream(self.serve), "127.0.0.1", self.port,
            reuse_address=True)

    def put(self, table, key, value):
        """A write of the operator."""
        self.ver += 1
        self.rows[(table, key)] = (value.encode(), self.ver)
        self.notify()

    def drop(self, table, key):
        self.ver += 1
        self.rows[(table, key)] = (None, self.ver)
        self.notify()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def row_json(self, table, key, value, ver):
        row = {"table": table, "part": "", "key": key, "ver": ver}
        if value is None:
            row["removed"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def answer(self, stream, status, document):
        document = dict(document, ver=self.ver, now_s=now())
        stream.write(answer_bytes(status,
                                  [("Content-Type", "application/json")],
                                  json.dumps(document).encode()))

    def commit(self, body):
        """@return (status, document)"""
        current = []
        holds = True
        for e in body.get("expect", []):
            value, ver = self.rows.get((e["table"], e["key"]), (None, 0))
            if value is not None:
                current.append(self.row_json(e["table"], e["key"], value,
                                             ver))
            holds = holds and (ver if value is not None else 0) == e["ver"]
        if not holds:
            return 412, {"rows": current}
        self.ver += 1
        for w in body.get("writes", []):
            self.rows[(w["table"], w["key"])] = (
                base64.b64decode(w["value"]), self.ver)
        for d in body.get("deletes", []):
            self.rows[(d["table"], d["key"])] = (None, self.ver)
        self.notify()
        return 200, {"rows": []}

    async def serve(self, stream):
        self.streams.add(stream)
        while True:
            message = await stream.read_message()
            if message is None:
                break
            method, target, _ = message.first.split(" ")
            path, _, query = target.partition("?")
            kind = path.rsplit("/", 1)[1]
            if self.fault and await self.fault(kind, message, stream):
                continue
            if kind == "rows-tx":
                await asyncio.sleep(self.tx_s)
                self.answer(stream, *self.commit(json.loads(message.body)))
                continue
            await asyncio.sleep(0.002)
            args = dict(p.partition("=")[::2] for p in query.split("&"))
            args = {k: unquote(v) for k, v in args.items()}
            if kind == "rows-get":
                rows = [self.row_json(t, k, v, ver)
                        for (t, k), (v, ver) in sorted(self.rows.items())
                        if t == args["table"] and v is not None
                        and k >= args.get("from", "")
                        and ("to" not in args or k < args["to"])]
                self.answer(stream, 200, {"rows": rows[:500],
                                          "has_more": len(rows) > 500})
            else:
                await self.feed(stream, args)
        self.streams.discard(stream)

    async def feed(self, stream, args):
        after = int(args["after"])
        until = now() + int(args["wait_ms"]) / 1000
        while True:
            rows = sorted((r for r in self.rows.items()
                           if r[0][0] == args["table"] and r[1][1] > after),
                          key=lambda r: r[1][1])
            if rows or now() >= until or stream.closed:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), until - now())
            except asyncio.TimeoutError:
                pass
        self.answer(stream, 200, {"rows": [
            self.row_json(t, k, v, ver) for (t, k), (v, ver) in rows]})


# Upstreams


class Upstream:
    """Runs requests, holds keys and announces itself to its machine's node."""

    def __init__(self, record, name, service, zone, control, keyed,
                 slots=18, work_s=0.1):
        self.record = record
        self.name = name  # of the machine, for the record
        self.service = service
        self.zone = zone
        self.control = control
        self.keyed = keyed
        self.slots = slots
        self.work_s = work_s
        self.port = free_port()
        self.address = "127.0.0.1:%d" % self.port
        self.life = 0
        self.serving = False
        self.streams = set()
        self.arrivals = []  # (time, id, outcome word)
        self.runs = []  # (time, id, path, life)
        self.acks = []  # (time, state, status)
        self.fault = None  # async (upstream, message, stream): True if handled
        self.work = None  # async (upstream, message): overrides the work
        self.answered = None  # (upstream, message, stream, data)
        self.beat_fault = None
        self.begin_life("i-%s-1" % name)

    def begin_life(self, ident):
        self.life += 1
        self.id = ident
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.grants = []  # (first, last, fence, until)
        self.fences = [0] * KEYS
        self.running = {}  # id: key
        self.releases = []

    async def start(self, first_beat_s=0):
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: Stream(self.serve), "127.0.0.1", self.port,
            reuse_address=True)
        self.serving = True
        self.beats = asyncio.ensure_future(self.beat_always(first_beat_s))

    def crash(self):
        """The process is gone: its sockets are closed, as the kernel does."""
        self.record("upstream", self.id, "crashes")
        self.serving = False
        self.beats.cancel()
        self.server.close()
        for stream in list(self.streams):
            stream.abort()
        self.streams.clear()

    async def restart(self, ident, first_beat_s=0):
        self.begin_life(ident)
        self.record("upstream", self.id, "starts, born", self.born)
        await self.start(first_beat_s)

    # Heartbeats

    def beat_body(self, **changes):
        self.seq += 1
        return dict({"service": self.service, "address": self.address,
                     "zone": self.zone, "version": "v1", "slots": self.slots,
                     "state": self.state, "warmup_left_s": 0,
                     "seq": self.seq, "born": self.born}, **changes)

    async def say(self, method, body, ident=None):
        """Sends one announcement. @return its status, 0 without one"""
        path = "/chestnutgap/instances/" + (ident or self.id)
        data = body if isinstance(body, bytes) else (
            json.dumps(body).encode() if body is not None else b"")
        headers = [("Host", self.control)]
        if data:
            headers.append(("Content-Type", "application/json"))
        try:
            stream = await connect(self.control)
        except (OSError, asyncio.TimeoutError):
            return 0
        stream.write(request_bytes(method, path, headers, data))
        try:
            answer = await asyncio.wait_for(stream.read_message(), 1.0)
        except asyncio.TimeoutError:
            answer = None
        stream.close()
        return int(answer.first.split(" ")[1]) if answer else 0

    async def beat(self):
        state = self.state
        body = self.beat_body()
        status = await self.say("PUT", body)
        if status // 100 == 2:
            self.acks.append((now(), state, status))
        if state != "ready" or status != 200:
            self.record("beat of", self.id, "state", state, "seq",
                        body["seq"], "->", status)
        return status

    async def beat_always(self, first_beat_s):
        await asyncio.sleep(first_beat_s)
        while True:
            if not (self.beat_fault and await self.beat_fault(self)):
                await self.beat()
            await asyncio.sleep(0.87)

    # Keys

    def holds(self, key):
        return any(g[0] <= key <= g[1] and now() < g[3] for g in self.grants)

    def grant(self, order):
        first, last, fence = order["from"], order["to"], order["fence"]
        if max(self.fences[first:last + 1]) > fence:
            return 409
        self.fences[first:last + 1] = [fence] * (last - first + 1)
        self.cut_grants(first, last)
        self.grants.append((first, last, fence, now() + order["hold_s"]))
        return 200

    def cut_grants(self, first, last):
        kept = []
        for g in self.grants:
            if g[1] < first or g[0] > last:
                kept.append(g)
                continue
            if g[0] < first:
                kept.append((g[0], first - 1, g[2], g[3]))
            if g[1] > last:
                kept.append((last + 1, g[1], g[2], g[3]))
        self.grants = kept

    async def release(self, order):
        first, last = order["from"], order["to"]
        self.cut_grants(first, last)
        while any(k is not None and first <= k <= last
                  for k in self.running.values()):
            await asyncio.sleep(0.005)

    # Requests

    def load(self):
        return "%d,0,%d" % (len(self.running), self.slots)

    def reply(self, stream, message, status, more=(), body=None):
        """An answer of the upstream's own, signed."""
        ident = message.get("X-Chestnutgap-Request-Id", "")
        body = ("body of %s" % ident).encode() if body is None else body
        data = answer_bytes(status, [
            ("X-Chestnutgap-Request-Id", ident),
            ("X-Chestnutgap-Response-Signature", "signed-" + ident),
            ("X-Chestnutgap-Server-Load", self.load()),
            *more], body)
        self.write_answer(stream, message, data)

    def write_answer(self, stream, message, data):
        stream.write(data)
        if self.answered:
            self.answered(self, message, stream, data)

    def reject(self, stream, message, status=503):
        """Says that the request did not run."""
        ident = message.get("X-Chestnutgap-Request-Id", "")
        data = answer_bytes(status, [
            ("X-Chestnutgap-Request-Id", ident),
            ("X-Chestnutgap-Not-Executed", "1"),
            ("X-Chestnutgap-Instance-Id", self.id),
            ("X-Chestnutgap-Server-Load", self.load())], b"")
        self.arrivals.append((now(), ident, "rejected"))
        self.record("request", ident, "rejected by", self.id, "with", status)
        self.write_answer(stream, message, data)

    async def run(self, stream, message):
        ident = message.get("X-Chestnutgap-Request-Id", "")
        key = message.get("X-Chestnutgap-Shard-Key")
        key = int(key) if key is not None else None
        self.arrivals.append((now(), ident, "run"))
        self.runs.append((now(), ident, message.first.split(" ")[1],
                          self.id))
        self.record("request", ident, "runs at", self.id)
        token = (ident, len(self.runs))
        self.running[token] = key
        life = self.life
        gone = asyncio.Event()
        stream.on_closed = [gone.set]
        try:
            work = (self.work(self, message) if self.work else
                    asyncio.sleep(self.work_s))
            done, pending = await asyncio.wait(
                [asyncio.ensure_future(work),
                 asyncio.ensure_future(gone.wait())],
                return_when=asyncio.FIRST_COMPLETED)
            for task in pending:
                task.cancel()
        finally:
            if life == self.life:
                self.running.pop(token, None)
        if stream.closed:
            self.record("request", ident, "dropped at", self.id)
            return
        self.record("request", ident, "done at", self.id)
        self.reply(stream, message, 200)

    async def serve(self, stream):
        self.streams.add(stream)
        while True:
            message = await stream.read_message()
            if message is None:
                break
            method, target, _ = message.first.split(" ")
            if target == "/health":
                ok = self.state == "ready"
                stream.write(answer_bytes(200 if ok else 503, [
                    ("X-Chestnutgap-Instance-Id", self.id),
                    ("X-Chestnutgap-Server-Load", self.load())]))
            elif target == "/chestnutgap/grant":
                status = self.grant(json.loads(message.body))
                stream.write(answer_bytes(status, []))
            elif target == "/chestnutgap/release":
                await self.release(json.loads(message.body))
                stream.write(answer_bytes(200, [
                    ("X-Chestnutgap-Handover", "h%d" % len(self.runs))]))
            else:
                await self.request(stream, message)
        self.streams.discard(stream)
        if not stream.transport.is_closing():
            stream.close()

    async def request(self, stream, message):
        key = message.get("X-Chestnutgap-Shard-Key")
        ident = message.get("X-Chestnutgap-Request-Id")
        if ident is None:
            self.reject(stream, message, 400)
        elif (message.get("X-Chestnutgap-Target-Instance", self.id) != self.id
              or (self.keyed and not self.holds(int(key or -1)))):
            self.reject(stream, message, 421)
        elif self.fault and await self.fault(self, message, stream):
            pass
        elif len(self.running) >= self.slots:
            self.reject(stream, message, 503)
        else:
            await self.run(stream, message)


# Clients


class Client:
    """Sends requests to the `outbound` address of one machine, each on a
    connection that it keeps for the next ones."""

    def __init__(self, record, outbound, name):
        self.record = record
        self.outbound = outbound
        self.name = name
        self.idle = []
        self.results = []  # dicts

    async def send(self, method, host, path, ident, deadline_ms, key=None,
                   body=b"", fresh=False):
        result = {"id": ident, "sent": now(), "status": 0, "method": method,
                  "at": self.name, "signed": False, "path": path}
        self.results.append(result)
        headers = [("Host", host), ("X-Chestnutgap-Request-Id", ident),
                   ("X-Chestnutgap-Deadline-Ms", str(deadline_ms))]
        if key is not None:
            headers.append(("X-Chestnutgap-Shard-Key", str(key)))
        try:
            stream = None
            while self.idle and stream is None and not fresh:
                stream = self.idle.pop()
                stream = None if stream.closed else stream
            if stream is None:
                stream = await connect(self.outbound)
        except (OSError, asyncio.TimeoutError):
            result["why"] = "no connection"
            return result
        stream.write(request_bytes(method, path, headers, body))
        try:
            answer = await asyncio.wait_for(stream.read_message(),
                                            deadline_ms / 1000)
        except asyncio.TimeoutError:
            result["why"] = "deadline"
            stream.abort()
            self.record("client at", self.name, "gave up on", ident)
            result["ended"] = now()
            return result
        result["ended"] = now()
        if answer is None:
            result["why"] = "closed"
            self.record("client at", self.name, "got no answer to", ident)
            return result
        result["status"] = int(answer.first.split(" ")[1])
        result["signed"] = (answer.get("X-Chestnutgap-Response-Signature")
                            == "signed-" + ident)
        result["body_ok"] = answer.body == ("body of %s" % ident).encode()
        self.record("client at", self.name, "got", result["status"], "to",
                    ident, "" if result["signed"] else "(not the upstream's)")
        if answer.get("Connection", "").lower() == "close" or stream.closed:
            stream.close()
        else:
            self.idle.append(stream)
        return result


# The system


class Machine:
    """A machine: its node's settings and process."""

    def __init__(self, folder, name, zone, service, store):
        self.folder = folder
        self.name = name
        self.zone = zone
        self.service = service
        self.store = store
        self.ports = {k: "127.0.0.1:%d" % free_port() for k in
                      ("callers", "announcements", "readiness", "metrics",
                       "rpc")}
        self.process = None

    def settings(self, target, bounds):
        return dict({"platform": "rows", "memory_mb": 260, "max_fds": 4100,
                     "bootstrap": True, "instance": self.name,
                     "zone": self.zone, "service": self.service,
                     "target": target, "store": self.store,
                     "heartbeat_s": 0.87}, **bounds, **self.ports)

    def write_settings(self, target, bounds):
        path = os.path.join(self.folder, self.name + ".json")
        with open(path, "w") as f:
            json.dump(self.settings(target, bounds), f, indent=1)

    def start(self, record):
        top = os.environ["TOP"]
        env = {"PATH": os.environ["PATH"], "LANG": "C",
               "CHESTNUTGAP_CONFIG": os.path.join(self.folder,
                                                  self.name + ".json")}
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        # As in deploy/system.toml: run = "target/chestnutgapd"
        self.process = subprocess.Popen(["target/chestnutgapd"], cwd=top,
                                        env=env, stdout=log,
                                        stderr=subprocess.STDOUT)
        log.close()
        _processes.append(self.process)
        record("node", self.name, "starts, process", self.process.pid)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            stream = await connect(self.ports["readiness"])
            stream.write(request_bytes("GET", "/chestnutgap/ready",
                                       [("Host", "ready")]))
            answer = await asyncio.wait_for(stream.read_message(), 1.0)
            stream.close()
            return answer is not None and " 200" in answer.first
        except (OSError, asyncio.TimeoutError):
            return False


# Of the sheet of cyfrwy-net.
BOUNDS = {"drain_s": 2, "evacuate_s": 5, "grace_s": 6, "hold_max_s": 10,
          "retry_window_s": 10, "retry_share": 0.2, "retry_reserve": 62}


class Deployment:
    """Machines with upstreams, a store and a configuration."""

    def __init__(self, folder, record, bounds=None):
        self.folder = folder
        self.record = record
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.store = Store(record)
        self.machines = []
        self.upstreams = []
        self.clients = []

    def add(self, name, zone, service, keyed, **more):
        machine = Machine(self.folder, name, zone, service,
                          self.store.address)
        upstream = Upstream(self.record, name, service, zone,
                            machine.ports["announcements"], keyed, **more)
        self.machines.append(machine)
        self.upstreams.append(upstream)
        self.clients.append(Client(self.record, machine.ports["callers"],
                                   name))

    def config(self, version, services, routes):
        """services: name -> keyed; routes: (host, prefix, kind, service,
        timeout_s[, priority])"""
        document = {
            "version": "%08x" % version,
            "services": [dict({"name": n, "health_path": "/health",
                               "max_connections": 130, "protocol": "h1",
                               "tls": False, "warmup_s": 3.0,
                               "warmup_per_s": 25.0},
                              **({"sharded": True, "warm_s": 5.0,
                                  "grants": "unary"} if keyed else {}))
                         for n, keyed in services.items()],
            "limits": {"max_header_bytes": 16384,
                       "max_body_bytes": 67108864, "header_timeout_s": 3,
                       "idle_timeout_s": 15},
            "virtual_hosts": [{"host": host, "paths": [
                {"name": "r-" + prefix.strip("/"), "path_prefix": prefix,
                 "kind": kind, "timeout_s": timeout,
                 "target_latency_s": timeout / 2,
                 "priority": rank[0] if rank else 1,
                 "service": service, "max_attempts": 2}]}
                for host, prefix, kind, service, timeout, *rank in routes]}
        self.store.put("op", "config", json.dumps(document))
        self.record("the operator writes configuration", version)

    async def start(self):
        release_ports()
        await self.store.start()
        for machine, upstream in zip(self.machines, self.upstreams):
            machine.write_settings(upstream.address, self.bounds)
            machine.start(self.record)
            await upstream.start()

    async def wait_ready(self, seconds=15):
        """True once all nodes are ready and all keys are held."""
        until = now() + seconds
        while now() < until:
            ready = [await m.is_ready() for m in self.machines]
            keyed = [u for u in self.upstreams if u.keyed]
            held = all(any(u.holds(k) for u in keyed)
                       for k in range(0, KEYS, 512)) if keyed else True
            if all(ready) and held:
                await asyncio.sleep(1)
                return True
            await asyncio.sleep(0.2)
        return False

    def end(self):
        for machine in self.machines:
            machine.end()


def runs_of(upstreams):
    """id -> list of (time, upstream id)"""
    runs = {}
    for u in upstreams:
        for at, ident, _, life in u.runs:
            runs.setdefault(ident, []).append((at, life))
    return runs


def main(case):
    """Runs the coroutine case(folder, record, trouble) within 110 s; it
    returns True if the rule held, False if not, and None if it couldn't
    run. Ends all processes that were started."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    result = None
    with tempfile.TemporaryDirectory() as temporary:
        loop = asyncio.new_event_loop()
        try:
            result = loop.run_until_complete(asyncio.wait_for(
                case(temporary, record, trouble), 110))
        except asyncio.TimeoutError:
            record.say("the case took too long")
        except Exception as error:  # of the stand-ins, or no daemon to start
            record.say("the case failed:", repr(error))
        finally:
            for process in _processes:
                if process.poll() is None:
                    process.kill()
                    process.wait()
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(temporary, os.environ["KEEP_LOGS"],
                                dirs_exist_ok=True)
    record.say({True: "the rule held", False: "the rule is broken",
                None: "the case couldn't run"}[result])
    # Not by way of the loop's end: tasks that go on would be waited for.
    sys.stdout.flush()
    os._exit({True: 0, False: 1, None: 2}[result])
