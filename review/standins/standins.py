"""Stand-ins of the users' platform for the cases of this review.

A store of rows, the origin of weights, model servers and a client, as
PROTOCOL.md describes them. They run in the process of a case; the project's
own programs run as separate processes. Loopback addresses only.
"""

import asyncio
import base64
import hashlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
MODEL = "daka510000"
LAYERS = 16
CHUNKS = 96
CHUNK_BYTES = 24576


class Record:
    """What was sent, answered and run, with times since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()


def most_in_a_second(times):
    """The most of these times that lie within any one second."""
    times = sorted(times)
    most = first = 0
    for i, each in enumerate(times):
        while each - times[first] >= 1.0:
            first += 1
        most = max(most, i - first + 1)
    return most


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        parts = urlsplit(target)
        self.path = unquote(parts.path)
        self.query = {k: v[0] for k, v in
                      parse_qs(parts.query, keep_blank_values=True).items()}
        self.headers = headers
        self.body = body


async def read_request(reader):
    """The next request of a connection; None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def answer(status, body=b"", headers=()):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
        headers = (*headers, ("Content-Type", "application/json"))
    text = "HTTP/1.1 %d X\r\n" % status
    for name, value in headers:
        text += "%s: %s\r\n" % (name, value)
    return (text + "Content-Length: %d\r\n\r\n" % len(body)).encode() + body


class Server:
    """Serves one request at a time on each connection."""

    def __init__(self, ip, port=0):
        self.ip = ip
        self.port = port or free_port(ip)
        self.address = "%s:%d" % (self.ip, self.port)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                reply = await self.handle(request, writer)
                if reply is not None:
                    writer.write(reply)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def handle(self, request, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's metadata store: rows in tables."""

    def __init__(self, ip):
        super().__init__(ip)
        self.rows = {}
        self.log = []
        self.version = 0
        self.changed = None

    def apply(self, puts, removes=()):
        self.version += 1
        for row in puts:
            key = (row["table"], row.get("part", ""), row["key"])
            kept = dict(row, part=key[1], ver=self.version)
            self.rows[key] = kept
            self.log.append(kept)
        for row in removes:
            key = (row["table"], row.get("part", ""), row["key"])
            if self.rows.pop(key, None) is not None:
                self.log.append({"table": key[0], "part": key[1], "key": key[2],
                                 "ver": self.version, "removed": True})
        if self.changed is not None:
            self.changed.set()
            self.changed = None

    def put(self, table, key, value):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.apply([{"table": table, "key": key, "value": text}])

    def remove(self, table, key):
        self.apply([], [{"table": table, "key": key}])

    def meta(self):
        return {"ver": self.version, "now_ms": int(time.monotonic() * 1000)}

    async def handle(self, request, writer):
        q = request.query
        if request.path == "/-/rows-get":
            rows = [r for k, r in sorted(self.rows.items())
                    if k[0] == q["table"] and k[1] == q.get("part", "")
                    and k[2] >= q.get("from", "")
                    and ("to" not in q or k[2] < q["to"])]
            limit = min(500, int(q.get("limit", 500)))
            return answer(200, dict(self.meta(), rows=rows[:limit],
                                    has_more=len(rows) > limit))
        if request.path == "/-/rows-feed":
            end = time.monotonic() + int(q.get("wait_ms", 0)) / 1000
            while True:
                rows = [r for r in self.log if r["table"] == q["table"]
                        and r["ver"] > int(q["after"])]
                left = end - time.monotonic()
                if rows or left <= 0:
                    return answer(200, dict(self.meta(), rows=rows))
                if self.changed is None:
                    self.changed = asyncio.Event()
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if request.path == "/-/rows-tx":
            call = json.loads(request.body)
            for row in call.get("expected", []):
                key = (row["table"], row.get("part", ""), row["key"])
                found = self.rows.get(key)
                if (found["ver"] if found else 0) != row["ver"]:
                    return answer(412, dict(self.meta(),
                                            rows=[found] if found else []))
            self.apply(call.get("puts", []), call.get("remove", []))
            return answer(200, self.meta())
        return answer(404)


def piece(version, number):
    seed = hashlib.sha256(b"%d/%d" % (version, number)).digest()
    return seed * (CHUNK_BYTES // len(seed))


def digest(data):
    return hashlib.sha256(data).hexdigest()


class Origin(Server):
    """The origin of weights."""

    def __init__(self, ip, record):
        super().__init__(ip)
        self.record = record
        self.newest = 1

    async def handle(self, request, writer):
        version = int(request.query.get("version", self.newest))
        if request.path == "/-/manifest/" + MODEL:
            digests = [digest(piece(version, i)) for i in range(CHUNKS)]
            self.record.write("origin: manifest of version %d" % version)
            return answer(200, {"model": MODEL, "version": version,
                                "chunk_bytes": CHUNK_BYTES, "layers": LAYERS,
                                "digests": digests})
        if request.path == "/-/piece/" + MODEL:
            return answer(200, piece(version, int(request.query["num"])),
                          [("Content-Type", "application/octet-stream")])
        return answer(404)


class Engine(Server):
    """A model server: runs requests, and loads staged weights."""

    def __init__(self, ip, name, service, zone, store, record, events=12,
                 pause=0.03):
        super().__init__(ip)
        self.name = name
        self.service = service
        self.zone = zone
        self.store = store
        self.record = record
        self.events = events
        self.pause = pause
        self.staged = {i: piece(1, i) for i in range(CHUNKS)}
        self.turned_bad = {}
        self.version = 1
        self.spoilt = set()
        self.busy = False
        self.seq = 0
        self.running = 0
        self.beats = 0
        self.runs = []
        self.calls = {}
        self.writers = set()
        self.is_dead = False

    def beat(self):
        if self.is_dead:
            return
        self.beats += 1
        models = [{"name": MODEL, "version": self.version, "adapters": []}]
        self.store.put("servers", self.name, {
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": "v1", "slots": 16, "state": "ready",
            "cold_remaining_ms": 0, "stage": "both", "seq": self.beats,
            "models": models if self.version else []})

    def check_staged(self, version, accepted):
        """The layers that this order takes from a piece that is bad."""
        for number in range(CHUNKS):
            if self.staged.get(number) == piece(version, number):
                continue
            since = self.turned_bad.get(number)
            age = accepted - since if since is not None else None
            self.record.write("%s: piece %d is bad%s" % (
                self.name, number,
                "" if age is None else ", since %.3f s" % age))
            if age is None or age > 3.0:
                yield number * LAYERS // CHUNKS

    async def load(self, version):
        await asyncio.sleep(0.3)
        self.version = version
        self.busy = False
        self.record.write("%s: version %d is loaded" % (self.name, version))
        self.beat()

    def rot(self, number):
        data = bytearray(self.staged[number])
        data[100] ^= 1
        self.staged[number] = bytes(data)
        self.turned_bad[number] = time.monotonic()
        self.record.write("%s: staged piece %d turns bad" % (self.name, number))

    def crash(self):
        """Ends; a later start holds no layers, but what was staged."""
        self.record.write("%s: crashes" % self.name)
        self.is_dead = True
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def restart(self):
        self.name += "x"
        self.version = 0
        self.spoilt = set()
        self.busy = False
        self.seq = self.beats = self.running = 0
        await self.start()
        self.is_dead = False
        self.record.write("%s: starts, holds no layers" % self.name)
        self.beat()

    def order(self, request):
        call = json.loads(request.body)
        if "expected" in call and call["expected"] != self.seq:
            return answer(409)
        if call["version"] == self.version and not self.busy:
            return answer(200)
        if self.busy:
            return answer(409)
        self.seq += 1
        self.busy = True
        self.record.write("%s: order to load version %d is accepted" % (
            self.name, call["version"]))
        self.spoilt = set(self.check_staged(call["version"],
                                            time.monotonic()))
        asyncio.ensure_future(self.load(call["version"]))
        return answer(202)

    async def run(self, request, writer):
        sent = request.headers.get("x-hawthornroad-request-id", "")
        expected = request.headers.get("x-hawthornroad-expect-instance")
        if expected not in (None, self.name):
            return answer(421, b"", [("X-Hawthornroad-Instance-Id", self.name)])
        if self.version == 0:
            return answer(421, b"", [("X-Hawthornroad-Instance-Id", self.name)])
        if self.busy:
            return answer(503, b"", [("X-Hawthornroad-Not-Executed", "1"),
                                     ("X-Hawthornroad-Request-Id", sent)])
        self.running += 1
        spoilt = set(self.spoilt)
        version = self.version
        self.runs.append({"id": sent, "version": version, "spoilt": spoilt})
        self.record.write("%s: runs %s on version %d%s" % (
            self.name, sent, version,
            ", SPOILT LAYERS %s" % sorted(spoilt) if spoilt else ""))
        try:
            writer.write((
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                "X-Hawthornroad-Request-Id: %s\r\n"
                "X-Hawthornroad-Server-Stamp: stamp-%s\r\n"
                "X-Hawthornroad-Weight-Versions: %d\r\n"
                "Transfer-Encoding: chunked\r\n\r\n" % (
                    sent, sent, version)).encode())
            first = int(request.headers.get("last-event-id") or 0) + 1
            for number in range(first, self.events + 1):
                await asyncio.sleep(self.pause)
                text = b"id: %d\ndata: token %d\n\n" % (number, number)
                writer.write(b"%x\r\n%s\r\n" % (len(text), text))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1
        return None

    async def handle(self, request, writer):
        self.writers.add(writer)
        if self.is_dead:
            raise ConnectionResetError
        self.calls[request.path] = self.calls.get(request.path, 0) + 1
        if request.path == "/-/report":
            return answer(200, {
                "stage": "both", "busy": self.busy, "seq": self.seq,
                "models": [{"name": MODEL, "version": self.version,
                            "adapters": []}] if self.version else [],
                "queued": 0, "running": self.running, "kv_used": 0,
                "kv_total": 1640000, "handles": 0})
        if request.path == "/-/order":
            return self.order(request)
        if request.path == "/-/stage-put/" + MODEL:
            number = int(request.query["num"])
            self.staged[number] = request.body
            self.turned_bad.pop(number, None)
            return answer(200)
        if request.path == "/-/stage-get/" + MODEL:
            if "num" not in request.query:
                return answer(200, {"held": sorted(self.staged)})
            number = int(request.query["num"])
            data = self.staged.get(number)
            return answer(404) if data is None else answer(200, data)
        if request.path == "/health":
            return answer(200, b"", [("X-Hawthornroad-Instance-Id", self.name)])
        return await self.run(request, writer)


def config(services, routes, tenants=()):
    out = {"version": 7, "routes": routes, "services": services,
           "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                      "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
    if tenants:
        out["tenants"] = list(tenants)
    return out


def engine_service(name):
    return {"name": name, "health_path": "/health", "max_conns": 264,
            "protocol": "h1", "tls": False,
            "engine": {"slots": 16, "kv_capacity": 1640000,
                       "kv_token_bytes": 163840, "link_mbps": 400000.0,
                       "stride": 6, "mb": 282000.0, "adapter_slots": 8,
                       "models": [{"name": MODEL, "pace": 1.0, "load_s": 4.0,
                                   "warm_s": 0.3}],
                       "loads_per_s": 0.0, "step_ms": 6.73,
                       "per_seq_ms": 0.0219, "context_per_k": 0.0068,
                       "read_per_s": 30600.0, "pairs_per_m": 0.647,
                       "chunk": 2048, "report_lag_ms": 200.0,
                       "loads_at_once": 8, "delays": [],
                       "usual": {"prompt": 964, "answer": 119},
                       "layers": LAYERS, "layer_mb": 4540.0,
                       "act_bytes": 16384, "pipe_mbps": 0.0, "chunks": CHUNKS,
                       "chunk_bytes": CHUNK_BYTES}}


def stream_route(service):
    return {"name": "r-brief", "host": "hulo84.example", "prefix": "/xapu221/",
            "kind": "streaming", "timeout_ms": 6000, "latency_goal_ms": 400,
            "priority": 1, "service": service, "max_attempts": 2,
            "public": True, "sticky": True, "resumable": True,
            "gap_goal_ms": 300}


class Service(Server):
    """A plain server, which may become cold and then bears few requests."""

    def __init__(self, ip, name, service, zone, store, record, work=0.06):
        super().__init__(ip)
        self.name = name
        self.service = service
        self.zone = zone
        self.store = store
        self.record = record
        self.work = work
        self.beats = 0
        self.listed_at = 0.0
        self.cold_until = 0.0
        self.crash_above = None
        self.arrivals = []
        self.running = {}
        self.writers = set()
        self.is_dead = False

    def cold_left_ms(self):
        return max(0, int(1000 * (self.cold_until - time.monotonic())))

    def beat(self):
        if self.is_dead:
            return
        self.beats += 1
        self.listed_at = time.monotonic()
        self.store.put("servers", self.name, {
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": "v1", "slots": 6, "state": "ready",
            "cold_remaining_ms": self.cold_left_ms(), "seq": self.beats})

    def crash(self, rate):
        self.is_dead = True
        self.record.write("%s: CRASHES at %d requests in a second, %d run: %s"
                          % (self.name, rate, len(self.running),
                             sorted(self.running)))
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def handle(self, request, writer):
        self.writers.add(writer)
        if request.path == "/health":
            more = [("X-Hawthornroad-Instance-Id", self.name)]
            if self.cold_left_ms():
                more.append(("X-Hawthornroad-Cold-Ms",
                             str(self.cold_left_ms())))
            return answer(200, b"", more)
        sent = request.headers.get("x-hawthornroad-request-id", "")
        expected = request.headers.get("x-hawthornroad-expect-instance")
        if expected not in (None, self.name):
            return answer(421, b"", [("X-Hawthornroad-Instance-Id", self.name)])
        now = time.monotonic()
        self.arrivals.append((now, now < self.cold_until, sent))
        self.running[sent] = now
        self.record.write("%s: runs %s%s" % (
            self.name, sent, ", cold" if now < self.cold_until else ""))
        recent = sum(1 for t, cold, _ in self.arrivals
                     if cold and t > now - 1.0)
        if self.crash_above is not None and recent > self.crash_above:
            self.crash(recent)
        if self.is_dead:
            raise ConnectionResetError
        await asyncio.sleep(self.work)
        if self.is_dead:
            raise ConnectionResetError
        del self.running[sent]
        return answer(200, b"done " + sent.encode(), [
            ("X-Hawthornroad-Request-Id", sent),
            ("X-Hawthornroad-Server-Load", "%d,0,6" % len(self.running)),
            ("X-Hawthornroad-Server-Stamp", "stamp-" + sent)])


class Programs:
    """The project's programs, started as the deploy file says."""

    def __init__(self, record, store):
        self.record = record
        self.store = store
        self.folder = tempfile.mkdtemp(prefix="hawthornroad-review-")
        self.running = []
        self.peer_port = free_port("127.0.0.1")
        self.metrics_port = free_port("127.0.0.1")

    BOUNDS = {"apply_bound_ms": 2000, "drain_bound_ms": 2000,
              "version_bound_ms": 8000, "stop_bound_s": 8,
              "regions": {"zg-borongaj": "zagreb"}}

    def spawn(self, program, name, settings):
        path = os.path.join(self.folder, name + ".jsonc")
        with open(path, "w", encoding="utf-8") as f:
            json.dump(settings, f)
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        started = subprocess.Popen([os.path.join("target", program),
                                    "--settings", path], cwd=ROOT, stdout=log,
                                   stderr=log)
        self.running.append(started)
        self.record.write("started %s" % name)
        return started

    def entry(self, name, ip, **more):
        settings = dict(self.BOUNDS, process=name, zone="zg-borongaj",
                        store=self.store.address,
                        caller_listen="%s:%d" % (ip, free_port(ip)),
                        ready_listen="%s:%d" % (ip, free_port(ip)),
                        agent_port=self.peer_port,
                        peer_listen="%s:%d" % (ip, self.peer_port),
                        metrics_listen="%s:%d" % (ip, self.metrics_port),
                        link_mbps=1000.0, revoke_bound_ms=5000, memory_mb=260,
                        repeat_ratio=0.2, repeat_window_s=10, repeat_slack=102)
        settings.update(more)
        started = self.spawn("hawthornroad-store-entry", name, settings)
        return started, settings

    def agent(self, name, engine):
        settings = dict(self.BOUNDS, process=name, zone=engine.zone,
                        store=self.store.address,
                        engine_address=engine.address, service=engine.service,
                        peer_listen="%s:%d" % (engine.ip, self.peer_port),
                        metrics_listen="%s:%d" % (engine.ip,
                                                  self.metrics_port),
                        link_mbps=7.3, memory_mb=128, first_start=True)
        return self.spawn("hawthornroad-store-agent", name, settings)

    def stop(self):
        for each in self.running:
            if each.poll() is None:
                each.send_signal(signal.SIGCONT)
                each.kill()
            each.wait()
        for name in os.listdir(self.folder):
            if os.environ.get("KEEP"):
                print(os.path.join(self.folder, name), file=sys.stderr)
            else:
                os.unlink(os.path.join(self.folder, name))
        if not os.environ.get("KEEP"):
            os.rmdir(self.folder)


async def call(address, method, target, headers=(), body=b"", limit=6.0):
    """One request on a new connection: status, headers, body, is whole."""
    ip, port = address.rsplit(":", 1)
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection(ip, int(port)), 1.0)
    try:
        text = "%s %s HTTP/1.1\r\n" % (method, target)
        for name, value in headers:
            text += "%s: %s\r\n" % (name, value)
        writer.write((text + "Content-Length: %d\r\n\r\n" % len(body)).encode()
                     + body)
        return await asyncio.wait_for(read_answer(reader), limit)
    finally:
        writer.close()


async def read_answer(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    status = int(lines[0].split(" ")[1])
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    if fields.get("transfer-encoding") != "chunked":
        length = int(fields.get("content-length", 0))
        return status, fields, await reader.readexactly(length), True
    out = b""
    while True:
        try:
            size = int(await reader.readline(), 16)
            data = await reader.readexactly(size + 2)
        except (ValueError, asyncio.IncompleteReadError, ConnectionError):
            return status, fields, out, False
        if size == 0:
            return status, fields, out, True
        out += data[:-2]


async def until_ready(settings, limit=15.0):
    end = time.monotonic() + limit
    while time.monotonic() < end:
        try:
            status, _, _, _ = await call(settings["ready_listen"], "GET",
                                         "/-/readyz")
            if status == 200:
                return True
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.1)
    return False
