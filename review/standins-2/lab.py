"""Stand-ins for a small deployment: the store, servers, clients and a runner.

They follow the pages: the store keeps rows and serves rows-get, rows-feed and
rows-tx; servers register themselves under servers/ID; clients send one request
at a time and record what they get. All addresses are loopback addresses.
"""
import asyncio
import base64
import hashlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
ENTRY = "target/hawthornroad-store-entry"
AGENT = "target/hawthornroad-store-agent"
LIMIT_S = 112.0   # for a whole run; a case has 120 s with its start and end
H = "X-Hawthornroad-"
REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 429: "Too Many Requests",
           500: "Internal Server Error", 503: "Service Unavailable"}


class Record:
    """Writes one JSON line for each event to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return round(time.monotonic() - self.start, 3)

    def __call__(self, what, **fields):
        self.file.write(json.dumps({"t": self.now(), "what": what, **fields}) + "\n")
        self.file.flush()


# Each run has loopback addresses of its own, so that runs beside it share no port.
NET = f"127.{random.SystemRandom().randint(2, 250)}"
TAKEN = set()


def ip(group, number):
    """A loopback address of this run."""
    return f"{NET}.{group}.{number}"


def free_port():
    """A free port; each call gives another one, so that no two processes share one."""
    while True:
        with socket.socket() as s:
            s.bind((ip(1, 1), 0))
            port = s.getsockname()[1]
        if port not in TAKEN:
            TAKEN.add(port)
            return port


class Head:
    def __init__(self, first, fields, body):
        self.first, self.fields, self.body = first, fields, body

    def get(self, name, default=None):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default

    def words(self):
        return self.first.split(" ", 2)


async def read_head(reader):
    text = await reader.readuntil(b"\r\n\r\n")
    lines = text.decode("latin-1").split("\r\n")
    fields = [tuple(p.strip() for p in line.split(":", 1)) for line in lines[1:] if line]
    return Head(lines[0], fields, b"")


async def read_body(reader, head, is_answer):
    if (head.get("Transfer-Encoding") or "").lower() == "chunked":
        out = b""
        while True:
            line = await reader.readuntil(b"\r\n")
            size = int(line.split(b";")[0], 16)
            if size == 0:
                await reader.readline()
                return out
            out += await reader.readexactly(size)
            await reader.readexactly(2)
    if head.get("Content-Length") is not None:
        return await reader.readexactly(int(head.get("Content-Length")))
    return await reader.read() if is_answer else b""


def answer_text(status, fields=(), body=b"", close=False):
    text = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
    for key, value in fields:
        text += f"{key}: {value}\r\n"
    if close:
        text += "Connection: close\r\n"
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class HttpServer:
    """Serves one request at a time on each connection."""

    def __init__(self, at=None, port=0):
        self.ip, self.port, self.server, self.writers = at or ip(4, 1), port, None, set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                head.body = await read_body(reader, head, False)
                if not await self.handle(head, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass  # the connection or the run ended
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, head, writer):
        """Answers; false closes the connection."""
        raise NotImplementedError


class Store(HttpServer):
    """The platform's store: rows of tables, with one version counter."""

    def __init__(self, record):
        super().__init__()
        self.record, self.rows, self.ver = record, {}, 0
        self.log, self.changed, self.begun = [], asyncio.Event(), time.monotonic()

    def put(self, table, key, value, part=""):
        if not isinstance(value, (bytes, str)):
            value = json.dumps(value)
        raw = value.encode() if isinstance(value, str) else value
        self.apply([(table, part, key, base64.b64encode(raw).decode())], [])
        return self.ver

    def remove(self, table, key, part=""):
        self.apply([], [(table, part, key)])

    def apply(self, puts, removes):
        self.ver += 1
        for table, part, key, value in puts:
            row = {"table": table, "part": part, "key": key, "value": value, "ver": self.ver}
            self.rows[(table, part, key)] = row
            self.log.append(row)
        for table, part, key in removes:
            if self.rows.pop((table, part, key), None) is not None:
                self.log.append({"table": table, "part": part, "key": key, "value": "",
                                 "ver": self.ver, "removed": True})
        self.changed.set()
        self.changed = asyncio.Event()

    def reply(self, writer, status, body):
        body = {"ver": self.ver, "now_ms": int((time.monotonic() - self.begun) * 1000), **body}
        writer.write(answer_text(status, [("Content-Type", "application/json")],
                                 json.dumps(body).encode()))

    def since(self, table, after):
        """The newest state of each row that changed, in order of its version."""
        last = {}
        for row in self.log:
            if row["table"] == table and row["ver"] > after:
                last[(row["part"], row["key"])] = row
        return sorted(last.values(), key=lambda row: row["ver"])

    async def handle(self, head, writer):
        await asyncio.sleep(0.004)
        method, target, _ = head.words()
        url = urllib.parse.urlsplit(target)
        q = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/-/rows-get":
            rows = [r for (t, p, k), r in sorted(self.rows.items())
                    if t == q["table"] and p == q.get("part", "") and k >= q.get("from", "")
                    and ("to" not in q or k < q["to"])]
            limit = min(500, int(q.get("limit", 500)))
            self.reply(writer, 200, {"rows": rows[:limit], "has_more": len(rows) > limit})
        elif url.path == "/-/rows-feed":
            end = time.monotonic() + min(30000, int(q.get("wait_ms", 0))) / 1000
            while True:
                event, rows = self.changed, self.since(q["table"], int(q["after"]))
                left = end - time.monotonic()
                if rows or left <= 0:
                    break
                try:
                    await asyncio.wait_for(event.wait(), left)
                except asyncio.TimeoutError:
                    pass
            self.reply(writer, 200, {"rows": rows, "has_more": False})
        elif url.path == "/-/rows-tx" and method == "POST":
            call = json.loads(head.body)
            wrong = [e for e in call.get("expected", []) if self.rows.get(
                (e["table"], e.get("part", ""), e["key"]), {"ver": 0})["ver"] != e["ver"]]
            if wrong:
                found = [self.rows[k] for e in wrong
                         if (k := (e["table"], e.get("part", ""), e["key"])) in self.rows]
                self.reply(writer, 412, {"rows": found})
            else:
                self.apply([(p["table"], p.get("part", ""), p["key"], p["value"])
                            for p in call.get("puts", [])],
                           [(p["table"], p.get("part", ""), p["key"])
                            for p in call.get("remove", [])])
                self.reply(writer, 200, {})
        else:
            self.reply(writer, 404, {})
        await writer.drain()
        return True


class Server(HttpServer):
    """A server of a plain service. It runs a request and answers 200."""

    def __init__(self, record, store, service, zone, name, at=None, slots=6, work_s=0.03):
        super().__init__(at)
        self.record, self.store, self.service, self.zone = record, store, service, zone
        self.id, self.slots, self.work_s, self.running = name, slots, work_s, 0
        self.state = "ready"

    def row(self):
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state,
                "cold_remaining_ms": 0, "seq": 1}

    def register(self):
        self.store.put("servers", self.id, self.row())

    async def start(self):
        await super().start()
        self.register()
        return self

    def load_header(self):
        return [(H + "Server-Load", f"{self.running},0,{self.slots}")]

    async def handle(self, head, writer):
        method, target, _ = head.words()
        if method == "GET" and target == "/health":
            writer.write(answer_text(200, [(H + "Instance-Id", self.id)] + self.load_header()))
            return True
        expected = head.get(H + "Expect-Instance")
        if expected is not None and expected != self.id:
            writer.write(answer_text(421, [(H + "Instance-Id", self.id)]))
            return True
        return await self.run(head, writer)

    def signature(self, head):
        return [(H + "Request-Id", head.get(H + "Request-Id", "")),
                (H + "Server-Stamp", f"{self.id}.1")] + self.load_header()

    async def run(self, head, writer):
        request = head.get(H + "Request-Id", "")
        self.running += 1
        self.record("run", request=request, server=self.id, service=self.service,
                    method=head.words()[0], target=head.words()[1],
                    job=head.body.decode("latin-1"))
        await asyncio.sleep(self.work_s)
        self.running -= 1
        return await self.finish(head, writer, request)

    async def finish(self, head, writer, request):
        writer.write(answer_text(200, self.signature(head), b"done " + request.encode()))
        await writer.drain()
        return True


def piece_bytes(model, version, num, size):
    """The bytes of a piece: the same at each call, different for each version."""
    seed = hashlib.sha256(f"{model}/{version}/{num}".encode()).digest()
    return (seed * (size // len(seed) + 1))[:size]


class Origin(HttpServer):
    """The origin of weights: digests and pieces, over one narrow link."""

    def __init__(self, record, model, at, pieces=96, size=24576, mbps=7.3):
        super().__init__(at)
        self.record, self.model, self.pieces, self.size = record, model, pieces, size
        self.bytes_per_s, self.free_at = mbps * 1e6 / 8, 0.0

    async def send(self, writer, status, body):
        now = time.monotonic()
        self.free_at = max(now, self.free_at) + len(body) / self.bytes_per_s
        await asyncio.sleep(self.free_at - now)
        writer.write(answer_text(status, [], body))
        await writer.drain()

    async def handle(self, head, writer):
        url = urllib.parse.urlsplit(head.words()[1])
        q = dict(urllib.parse.parse_qsl(url.query))
        version = int(q.get("version", 1))
        if url.path == "/-/manifest/" + self.model:
            digests = [hashlib.sha256(piece_bytes(self.model, version, n, self.size)).hexdigest()
                       for n in range(self.pieces)]
            body = {"model": self.model, "version": version, "chunk_bytes": self.size,
                    "layers": 16, "digests": digests}
            await self.send(writer, 200, json.dumps(body).encode())
        elif url.path == "/-/piece/" + self.model:
            await self.send(writer, 200,
                            piece_bytes(self.model, version, int(q["num"]), self.size))
        else:
            await self.send(writer, 404, b"")
        return True


class Engine(Server):
    """A model server: staged pieces, load orders, event streams."""

    def __init__(self, record, store, service, zone, name, model, at, pieces=96, size=24576):
        super().__init__(record, store, service, zone, name, at, slots=16)
        self.model, self.pieces, self.size = model, pieces, size
        self.version, self.busy, self.seq, self.events = 1, False, 0, 12
        self.staged = {n: piece_bytes(model, 1, n, size) for n in range(pieces)}

    def models(self):
        return [{"name": self.model, "version": self.version, "adapters": []}]

    def row(self):
        return {**super().row(), "stage": "both", "models": self.models()}

    def whole_version(self):
        """The version of which all staged pieces are; none if there is none."""
        for version in range(1, 64):
            if all(self.staged.get(n) == piece_bytes(self.model, version, n, self.size)
                   for n in range(self.pieces)):
                return version
        return None

    async def load(self, version):
        staged = self.whole_version()
        self.record("load", server=self.id, version=version, staged=staged)
        await asyncio.sleep(0.3)
        self.version, self.busy = version, False
        self.register()

    async def handle(self, head, writer):
        method, target, _ = head.words()
        url = urllib.parse.urlsplit(target)
        q = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/-/report":
            body = {"stage": "both", "models": self.models(), "busy": self.busy,
                    "seq": self.seq, "queued": 0, "running": self.running, "kv_used": 0,
                    "kv_total": 1640000, "handles": 0}
            writer.write(answer_text(200, [("Content-Type", "application/json")],
                                     json.dumps(body).encode()))
        elif url.path == "/-/order":
            call = json.loads(head.body)
            if call.get("expected", self.seq) != self.seq or self.busy:
                writer.write(answer_text(409))
            elif call["version"] == self.version:
                writer.write(answer_text(200))
            else:
                self.seq, self.busy = self.seq + 1, True
                asyncio.ensure_future(self.load(call["version"]))
                writer.write(answer_text(202))
        elif url.path == "/-/stage-put/" + self.model:
            self.staged[int(q["num"])] = head.body
            writer.write(answer_text(200))
        elif url.path == "/-/stage-get/" + self.model:
            if "num" not in q:
                writer.write(answer_text(200, [], json.dumps({"held": sorted(self.staged)}).encode()))
            elif int(q["num"]) in self.staged:
                writer.write(answer_text(200, [], self.staged[int(q["num"])]))
            else:
                writer.write(answer_text(404))
        else:
            return await super().handle(head, writer)
        await writer.drain()
        return True


class Process:
    """A program of the project, with settings as its template gives them."""

    def __init__(self, lab, name, program, settings):
        self.lab, self.name, self.program, self.settings = lab, name, program, settings
        self.process = None
        self.path = os.path.join(lab.folder, name + ".jsonc")

    async def start(self):
        with open(self.path, "w", encoding="utf-8") as out:
            json.dump(self.settings, out)
        self.log = open(os.path.join(self.lab.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            self.program, "--settings", self.path, cwd=ROOT, stdout=self.log,
            stderr=self.log, stdin=asyncio.subprocess.DEVNULL)
        self.lab.record("start", process=self.name)
        return self

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    def ended(self):
        return self.process is not None and self.process.returncode is not None

    async def stop(self):
        if self.process is None or self.ended():
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()


class Lab:
    """A small deployment; ends all that it started."""

    def __init__(self, folder):
        self.out = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temp = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self.temp.name
        self.processes, self.servers = [], []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.number = 0

    async def __aenter__(self):
        for each in (ENTRY, AGENT):
            if not os.access(os.path.join(ROOT, each), os.X_OK):
                print("not built: " + each)
                raise SystemExit(2)
        self.store = await Store(self.record).start()
        self.servers.append(self.store)
        return self

    async def __aexit__(self, *_):
        for each in self.processes:
            await each.stop()
        for each in self.servers:
            await each.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for name in os.listdir(self.folder):
                if name.endswith(".log"):
                    with open(os.path.join(self.folder, name), "rb") as src, \
                         open(os.path.join(keep, name), "wb") as dst:
                        dst.write(src.read())
        self.temp.cleanup()

    async def add(self, server):
        self.servers.append(await server.start())
        return server

    def next_id(self):
        self.number += 1
        return f"{os.getpid():08x}{self.number:08x}"

    REGIONS = {"zone-a": "region-a", "zone-b": "region-b", "zone-c": "region-c"}

    async def entry(self, name, zone, at, agent_port, **more):
        ports = [free_port() for _ in range(3)]
        settings = {"process": name, "zone": zone, "store": self.store.address,
                    "caller_listen": f"{at}:{ports[0]}", "ready_listen": f"{at}:{ports[1]}",
                    "agent_port": agent_port, "peer_listen": f"{at}:{agent_port}",
                    "link_mbps": 1000.0, "revoke_bound_ms": 5000, "apply_bound_ms": 2000,
                    "drain_bound_ms": 2000, "version_bound_ms": 8000, "memory_mb": 260,
                    "regions": self.REGIONS, "stop_bound_s": 8, "repeat_ratio": 0.2,
                    "repeat_window_s": 10, "repeat_slack": 102,
                    "metrics_listen": f"{at}:{ports[2]}", **more}
        process = Process(self, name, ENTRY, settings)
        process.front, process.ready = settings["caller_listen"], settings["ready_listen"]
        self.processes.append(await process.start())
        return process

    async def agent(self, name, zone, engine, agent_port, **more):
        at = engine.ip
        settings = {"process": name, "zone": zone, "store": self.store.address,
                    "engine_address": engine.address, "service": engine.service,
                    "peer_listen": f"{at}:{agent_port}", "link_mbps": 7.3,
                    "apply_bound_ms": 2000, "drain_bound_ms": 2000, "version_bound_ms": 8000,
                    "memory_mb": 128, "regions": self.REGIONS, "stop_bound_s": 8,
                    "first_start": True, "metrics_listen": f"{at}:{free_port()}", **more}
        process = Process(self, name, AGENT, settings)
        self.processes.append(await process.start())
        return process

    async def until_ready(self, entries, limit=20.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            states = [await self.is_ready(each) for each in entries]
            if all(states):
                return
            await asyncio.sleep(0.1)
        print("the entries did not become ready")
        raise SystemExit(2)

    async def is_ready(self, entry):
        try:
            head = await call(entry.ready, "GET", "/-/readyz", [], b"", 1.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        return head.first.split(" ")[1] == "200"


async def call(address, method, target, fields, body, limit):
    """One request on a new connection; the answer's head with its body."""

    async def exchange():
        ip, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 20)
        try:
            text = f"{method} {target} HTTP/1.1\r\n"
            names = [key.lower() for key, _ in fields]
            if "host" not in names:
                text += f"Host: {address}\r\n"
            for key, value in fields:
                text += f"{key}: {value}\r\n"
            if body or method in ("POST", "PUT"):
                text += f"Content-Length: {len(body)}\r\n"
            writer.write((text + "\r\n").encode() + body)
            head = await read_head(reader)
            head.body = await read_body(reader, head, True)
            return head
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), limit)


def route(name, prefix, kind, service, **more):
    return {"name": name, "host": "shelter.example", "prefix": prefix, "kind": kind,
            "timeout_ms": 1500, "latency_goal_ms": 150, "priority": 1, "service": service,
            "max_attempts": 2, "public": False, **more}


ENGINE = {"slots": 16, "kv_capacity": 1640000, "stride": 6, "step_ms": 6.73,
          "per_seq_ms": 0.0219, "context_per_k": 0.0068, "read_per_s": 30600.0,
          "pairs_per_m": 0.647, "chunk": 2048, "report_lag_ms": 200.0, "layers": 16,
          "usual": {"prompt": 964, "answer": 119}, "chunks": 96, "chunk_bytes": 24576}


def config(version, routes, services, tenants=()):
    return {"version": version, "routes": routes, "services": services,
            "tenants": [{"name": n, "api_keys": k} for n, k in tenants],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def main(case, folder):
    """Runs case(lab) -> bool (the rule held); exits as the issue asks."""

    async def run():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with Lab(folder) as lab:
            return await asyncio.wait_for(case(lab), LIMIT_S)

    try:
        held = asyncio.run(run())
    except SystemExit:
        raise
    except (Exception, asyncio.CancelledError) as error:  # the case could not run
        import traceback
        traceback.print_exc()
        print("could not run:", repr(error))
        sys.exit(2)
    print("held" if held else "broken")
    sys.exit(0 if held else 1)
