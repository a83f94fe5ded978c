"""REFUSED: a late extra answer ends another attempt of the same request."""

import asyncio
import collections
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))

from standins import (Programs, Record, Server, Store, answer, config,  # noqa
                      read_answer, until_ready)

TROUBLE = os.environ.get("TROUBLE") != "0"
# Part of the server's answers that are followed by a second copy.
EXTRA_SHARE = 0.03 if TROUBLE else 0.0
# Part of the requests that it rejects although it has room.
SHED_SHARE = 0.4 if TROUBLE else 0.0
ENTRIES = 3
SLOTS = 8
QUEUE = 4
MEAN_WORK_S = 0.03
REQUESTS_PER_S = 40
TRAFFIC_S = 77
# Both come for 5 s at a time, with 2 s between.
TROUBLE_S = 5.0
TROUBLE_EACH_S = 7.0
DEADLINE_MS = 1500
GOAL_MS = 500
REFUSALS = (408, 421, 429, 503)


class Desk(Server):
    """A server that queues a few requests and rejects more.

    With EXTRA_SHARE, an answer goes out a second time on its connection, at
    the point where the next answer is expected.
    """

    def __init__(self, ip, name, store, record, rng):
        super().__init__(ip)
        self.name = name
        self.store = store
        self.record = record
        self.rng = rng
        self.beats = 0
        self.present = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.runs = collections.Counter()
        self.rejected = 0
        self.extras = 0

    def has_trouble(self):
        return self.record.now() % TROUBLE_EACH_S < TROUBLE_S

    def beat(self):
        self.beats += 1
        self.store.put("servers", self.name, {
            "service": "billing-desk", "address": self.address,
            "zone": "zg-borongaj", "version": "v1", "slots": SLOTS,
            "state": "ready", "cold_remaining_ms": 0, "seq": self.beats})

    async def keep_beating(self):
        while True:
            self.beat()
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        writer.is_left = reader.at_eof
        writer.extra = None
        await super().serve(reader, writer)

    async def run(self, sent, writer):
        self.present += 1
        try:
            async with self.slots:
                # A request whose caller has closed meanwhile is dropped.
                if writer.is_left():
                    self.record.write("desk: drops " + sent)
                    raise ConnectionResetError
                self.runs[sent] += 1
                self.record.write("desk: runs " + sent)
                await asyncio.sleep(MEAN_WORK_S * self.rng.uniform(0.5, 1.5))
        finally:
            self.present -= 1

    async def handle(self, request, writer):
        if request.path == "/health":
            return answer(200, b"", [("X-Hawthornroad-Instance-Id", self.name)])
        sent = request.headers.get("x-hawthornroad-request-id", "")
        expected = request.headers.get("x-hawthornroad-expect-instance")
        if expected not in (None, self.name):
            return answer(421, b"", [("X-Hawthornroad-Instance-Id", self.name)])
        if writer.extra is not None:
            self.extras += 1
            self.record.write("desk: second answer to %s, before that to %s"
                              % (writer.extra[0], sent))
            writer.write(writer.extra[1])
            writer.extra = None
        is_full = self.present >= SLOTS + QUEUE
        is_shed = self.has_trouble() and self.rng.random() < SHED_SHARE
        if is_full or is_shed:
            self.rejected += 1
            self.record.write("desk: rejects " + sent)
            reply = answer(503, b"", [("X-Hawthornroad-Request-Id", sent),
                                      ("X-Hawthornroad-Not-Executed", "1")])
        else:
            await self.run(sent, writer)
            reply = answer(200, b"done " + sent.encode(), [
                ("X-Hawthornroad-Request-Id", sent),
                ("X-Hawthornroad-Server-Stamp", "stamp-" + sent)])
        if self.has_trouble() and self.rng.random() < EXTRA_SHARE:
            writer.extra = (sent, reply)
        return reply


class Client:
    """Sends requests on kept connections, each once."""

    def __init__(self, address):
        self.address = address
        self.free = []

    async def connection(self):
        while self.free:
            reader, writer = self.free.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
        ip, port = self.address.rsplit(":", 1)
        return await asyncio.open_connection(ip, int(port))

    async def post(self, sent):
        reader, writer = await self.connection()
        writer.write((
            "POST /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\n"
            "X-Hawthornroad-Request-Id: %s\r\n"
            "X-Hawthornroad-Deadline-Ms: %d\r\nContent-Length: 2\r\n\r\nhi"
            % (sent, DEADLINE_MS)).encode())
        try:
            status, fields, _, _ = await asyncio.wait_for(
                read_answer(reader), DEADLINE_MS / 1000 + 1)
        except (OSError, EOFError, asyncio.TimeoutError) as e:
            writer.close()
            return type(e).__name__
        if fields.get("connection") == "close":
            writer.close()
        else:
            self.free.append((reader, writer))
        return status


def declared():
    return config(
        [{"name": "billing-desk", "health_path": "/health", "max_conns": 48,
          "protocol": "h1", "tls": False}],
        [{"name": "r-invoice", "host": "jepu9.example", "prefix": "/lepu270/",
          "kind": "non_idempotent", "timeout_ms": DEADLINE_MS,
          "latency_goal_ms": GOAL_MS, "priority": 2, "service": "billing-desk",
          "max_attempts": 2, "public": True}])


async def send_all(clients, rng, record):
    answers = {}
    open_calls = set()

    async def one(sent):
        answers[sent] = await rng.choice(clients).post(sent)
        record.write("client: %s is answered %s" % (sent, answers[sent]))

    at = time.monotonic()
    end = at + TRAFFIC_S
    while at < end:
        at += rng.expovariate(REQUESTS_PER_S)
        await asyncio.sleep(max(0, at - time.monotonic()))
        call = asyncio.ensure_future(one("%016x" % rng.getrandbits(64)))
        open_calls.add(call)
        call.add_done_callback(open_calls.discard)
    if open_calls:
        await asyncio.wait(open_calls, timeout=DEADLINE_MS / 1000 + 2)
    return answers


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    rng = random.Random()
    store = Store("127.0.0.1")
    await store.start()
    desk = Desk("127.0.0.1", "i-7f3a91c2", store, record, rng)
    await desk.start()
    store.put("op", "config", declared())
    beats = asyncio.ensure_future(desk.keep_beating())
    programs = Programs(record, store)
    try:
        clients = []
        for number in range(ENTRIES):
            _, settings = programs.entry("front-zg-borongaj-%d" % (number + 1),
                                         "127.0.0.%d" % (number + 10))
            if not await until_ready(settings):
                record.write("an entry does not become ready")
                return 2
            clients.append(Client(settings["caller_listen"]))
        answers = await send_all(clients, rng, record)
    finally:
        beats.cancel()
        programs.stop()
    refused = [each for each in desk.runs if answers.get(each) in REFUSALS]
    twice = [each for each, runs in desk.runs.items() if runs > 1]
    counts = collections.Counter(str(each) for each in answers.values())
    lines = ["sent %d; answered %s" % (len(answers), dict(counts)),
             "the server ran %d, rejected %d, sent %d second answers" % (
                 sum(desk.runs.values()), desk.rejected, desk.extras)]
    lines += ["REFUSED broken: %s is answered %s and has run" % (
        each, answers[each]) for each in refused]
    lines += ["TWICE broken: %s has run %d times" % (each, desk.runs[each])
              for each in twice]
    for line in lines:
        record.write(line)
        print(line)
    if counts.get("200", 0) == 0:
        return 2
    return 1 if refused or twice else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
