"""The last tenant is taken out of the configuration; its client goes on asking."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import lab as L  # noqa: E402

REVOKE_S = 5.0    # revoke_ms 5,000
SECONDS = 22
REVOKED_AT = 4.0


async def case(lab):
    ran = {}

    def note(what, **fields):
        if what == "run":
            ran[fields["request"]] = fields
        lab.record(what, **fields)

    class Server(L.Server):
        async def run(self, head, writer):
            note("headers", request=head.get(L.H + "Request-Id", ""),
                 tenant=head.get(L.H + "Tenant"))
            return await super().run(head, writer)

    zones = ("zone-a", "zone-b", "zone-c")
    for n, zone in enumerate(zones):
        await lab.add(Server(note, lab.store, "panel-api", zone, f"i-panel{n}"))
    routes = [L.route("r-status", "/status/", "non_idempotent", "panel-api")]
    services = [{"name": "panel-api", "health_path": "/health", "max_conns": 100}]
    lab.store.put("op", "config", L.config(7, routes, services, [("city", ["key-1", "key-2"])]))
    port = L.free_port()
    entries = [await lab.entry(f"front-{z}-1", z, L.ip(1, n + 1), port)
               for n, z in enumerate(zones)]
    await lab.until_ready(entries)
    begun, sent, answers = lab.record.now(), {}, {}
    revoked = []

    async def operator():
        await asyncio.sleep(REVOKED_AT)
        if not lab.trouble:
            return
        # The only tenant has left: both of its keys are taken away.
        lab.store.put("op", "config", L.config(9, routes, services, []))
        revoked.append(lab.record.now())
        note("acknowledged", version=9, tenants=[])

    async def client(number):
        while lab.record.now() < begun + SECONDS:
            request = lab.next_id()
            sent[request] = lab.record.now()
            key = f"key-{number % 2 + 1}"
            try:
                head = await L.call(
                    entries[number % 3].front, "POST", "/status/update",
                    [("Host", "shelter.example"), (L.H + "Request-Id", request),
                     (L.H + "Deadline-Ms", "1500"), ("Authorization", "Token " + key)],
                    b"job", 2.5)
                status = int(head.first.split(" ")[1])
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                status = repr(error)
            answers[request] = status
            note("answer", request=request, key=key, status=status)
            await asyncio.sleep(0.5)

    await asyncio.gather(operator(), *(client(n) for n in range(9)))
    taken_away = revoked[0] if revoked else float("inf")
    before = [r for r in ran if sent[r] < taken_away]
    late = [r for r in ran if sent[r] > taken_away + REVOKE_S]
    if not before:
        print("nothing ran before the keys were taken away")
        raise SystemExit(2)
    note("verdict", ran_before=len(before), ran_late=len(late))
    print(f"{len(before)} ran before, {len(late)} were sent over {REVOKE_S} s after both keys "
          "were taken away, and ran")
    return not late


if __name__ == "__main__":
    L.main(case, HERE)
