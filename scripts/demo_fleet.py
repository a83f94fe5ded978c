"""A loopback fleet of an example text: the demo of README.md.

Every process is a real one; the platform, the engines and the plain services
are the stand-ins of docs/STANDINS.md. Exits 0 only when every check printed
at the end holds.
"""
import argparse
import collections
import http.client
import json
import os
import random
import re
import select
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

BUILD = "build"
CHUNK_BYTES = 64 * 1024
WEIGHT_BYTES = 4 * 1024 * 1024
ORIGIN_BYTES_PER_SECOND = 4 * 1024 * 1024
CALLERS = 6
# Share of the customers' declared rates that the callers send.
LOAD = 0.4
SECONDS_TO_READY = 60
SECONDS_TO_ROLL_OUT = 120
ENTRIES_PER_ZONE = 3


class Process:
    """One process of the fleet, its ready line and its log."""

    def __init__(self, name, args, folder):
        self.name = name
        self.log = open(os.path.join(folder, name + ".log"), "wb")
        self.popen = subprocess.Popen(args, stdout=subprocess.PIPE, stderr=self.log)
        readable, _, _ = select.select([self.popen.stdout], [], [], 20)
        line = self.popen.stdout.readline() if readable else b""
        if not line:
            raise SystemExit(f"{name} did not start; its log:\n" + open(self.log.name).read())
        self.ready = json.loads(line)

    def stop(self):
        self.popen.send_signal(signal.SIGTERM)

    def wait(self, seconds):
        try:
            return self.popen.wait(seconds)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return "killed"


def call(address, method, path, body=None, headers=None, timeout=30):
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    finally:
        connection.close()


def get_json(address, path):
    return json.loads(call(address, "GET", path)[2])


def without_comments(text):
    return json.loads(re.sub(r"(?m)//.*$", "", text))


class Fleet:
    def __init__(self, example, folder):
        self.folder = folder
        self.text = without_comments(open(f"examples/{example}.jsonc").read())
        self.processes = []
        self.origin_root = os.path.join(folder, "origin")
        self.engines = {}
        self.agents = {}
        self.entries = []
        self.stopped_badly = []

    def start(self, name, program, *args):
        process = Process(name, [os.path.join(BUILD, program), *args], self.folder)
        self.processes.append(process)
        return process

    def settings(self, name, values):
        path = os.path.join(self.folder, name + ".jsonc")
        with open(path, "w") as out:
            json.dump(values, out, indent=1)
        return path

    def model_service(self):
        return next(n for n, s in self.text["services"].items() if s["kind"] == "model")

    def make_version(self, number):
        """Writes weights and their manifest at the origin; returns (path, digest)."""
        model = self.model_service()
        blob_path = f"/{model}/v{number}/weights.bin"
        manifest_path = f"/{model}/v{number}/manifest.json"
        blob = self.origin_root + blob_path
        os.makedirs(os.path.dirname(blob), exist_ok=True)
        with open(blob, "wb") as out:
            out.write(random.Random(number).randbytes(WEIGHT_BYTES))
        run = subprocess.run(
            [f"{BUILD}/hawthornroadctl", "manifest", "--model", model, "--blob", blob, "--path",
             blob_path, "--chunk-size", str(CHUNK_BYTES), "--out", self.origin_root + manifest_path],
            check=True, capture_output=True, text=True)
        return manifest_path, re.search(r"sha256:[0-9a-f]{64}", run.stdout).group(0)

    def declare(self, version):
        manifest, digest = version
        model = self.text["services"][self.model_service()]["model"]
        model["manifest"] = manifest
        model["version"] = digest
        path = os.path.join(self.folder, "fleet.jsonc")
        with open(path, "w") as out:
            json.dump(self.text, out, indent=1)
        return path

    def ctl(self, *args):
        run = subprocess.run([f"{BUILD}/hawthornroadctl", "--table", self.table, *args],
                             capture_output=True, text=True)
        print("  $ hawthornroadctl", " ".join(args[:1]), "->", run.returncode,
              (run.stdout + run.stderr).strip().splitlines()[:1])
        return run.returncode

    def start_platform(self):
        os.makedirs(self.origin_root)
        self.table = self.start("table", "hawthornroad-fakes", "table").ready["listen"]
        self.objects = self.start("objects", "hawthornroad-fakes", "objects").ready["listen"]
        self.members = self.start("members", "hawthornroad-fakes", "members").ready["listen"]
        self.origin = self.start("origin", "hawthornroad-fakes", "origin", "--root", self.origin_root,
                                 "--rate", str(ORIGIN_BYTES_PER_SECOND)).ready["listen"]

    def common(self, name, zone):
        return {"process": name, "zone": zone, "charts": os.path.abspath("charts"),
                "seeds": self.seeds[-3:],
                "platform": {"table": self.table, "objects": self.objects, "members": self.members}}

    def start_processes(self):
        self.seeds = []
        zones = sorted(self.text["zones"])
        for zone in zones:
            for index in range(ENTRIES_PER_ZONE):
                self.start_entry(f"{zone}-entry-{index + 1}", zone)
        for service, declared in sorted(self.text["services"].items()):
            for index in range(declared["replicas"]):
                self.start_endpoint(service, declared, index, zones[index % len(zones)])

    def start_entry(self, name, zone):
        path = self.settings(name, self.common(name, zone))
        entry = self.start(name, "hawthornroad-entry", "--settings", path)
        self.entries.append(entry)
        self.seeds.append(entry.ready["peers"])

    def start_endpoint(self, service, declared, index, zone):
        vm = f"{service}-{index + 1:02}"
        if declared["kind"] == "model":
            options = ["engine", "--capacity", "16", "--token-ms", "4", "--load-ms", "300"]
            if declared.get("checks_fencing"):
                options.append("--checks-fencing")
        else:
            options = ["service", "--name", service, "--work-ms", "3"]
        endpoint = self.start(vm + "-endpoint", "hawthornroad-fakes", *options)
        if declared["kind"] == "model":
            self.engines[vm] = endpoint.ready["listen"]
        weights = os.path.join(self.folder, vm + "-weights")
        os.makedirs(weights)
        values = self.common(vm, zone)
        values.update({"vm": vm, "endpoint_address": endpoint.ready["listen"],
                       "weights_folder": weights, "origin": self.origin})
        self.agents[vm] = self.start(vm, "hawthornroad-agent", "--settings", self.settings(vm, values))

    def serving(self, digest):
        count = 0
        for engine in self.engines.values():
            model = get_json(engine, "/admin/model")
            count += model["state"] == "ready" and model["version"] == digest
        return count

    def await_ready(self, digest):
        deadline = time.time() + SECONDS_TO_READY
        while time.time() < deadline:
            ready = all(call(e.ready["admin"], "GET", "/readyz")[0] == 200 for e in self.entries)
            if ready and self.serving(digest) == len(self.engines) and self.answers_everywhere():
                return True
            time.sleep(0.2)
        return False

    def answers_everywhere(self):
        """Whether each entry answers for each service; a limit's 429 is an answer of its own."""
        rng = random.Random(1)
        largest = max(self.customers(), key=self.declared_rate)
        return all(caller_request(self, rng, largest, service, entry)[:2] in (("answered", 200), ("not-run", 429))
                   for entry in self.entries for service in self.text["services"])

    def customers(self):
        return sorted(self.text["customers"])

    def declared_rate(self, customer):
        return self.text["customers"][customer]["requests_per_second"]

    def stop(self):
        daemons = self.entries + list(self.agents.values())
        for process in self.entries:
            process.stop()
        for process in self.entries:
            self.note_exit(process, process.wait(30))
        for process in self.agents.values():
            process.stop()
        for process in self.agents.values():
            self.note_exit(process, process.wait(30))
        for process in self.processes:
            if process not in daemons:
                process.stop()
                process.wait(10)

    def note_exit(self, process, status):
        if status != 0:
            self.stopped_badly.append(f"{process.name}: {status}")


def caller_request(fleet, rng, customer, service, entry):
    """One call; returns (outcome, status, version)."""
    headers = {"Hawthornroad-Customer": customer, "Hawthornroad-Deadline-Ms": "20000",
               "Content-Type": "application/json"}
    kind = fleet.text["services"][service]["kind"]
    if kind == "model":
        path = f"/{service}/v1/completions"
        body = json.dumps({"prompt": f"slogan {rng.randrange(1000)}", "max_tokens": 12,
                           "stream": rng.random() < 0.5})
    else:
        rules = fleet.text["services"][service].get("non_repeatable") or [{"path": "/lookup"}]
        path = f"/{service}{rules[0]['path']}"
        headers["Idempotency-Key"] = f"{rng.getrandbits(64):x}"
        body = json.dumps({"amount": rng.randrange(100)})
    try:
        status, got, data = call(entry.ready["callers"], "POST", path, body, headers)
    except (OSError, http.client.HTTPException) as error:
        return f"lost ({type(error).__name__})", 0, ""
    got = {key.lower(): value for key, value in got.items()}
    outcome = got.get("hawthornroad-outcome", "no outcome")
    if "text/event-stream" in got.get("content-type", "") and not data.endswith(b"data: [DONE]\n\n"):
        outcome = "short stream"
    return outcome, status, got.get("hawthornroad-version", "")


def keep_calling(fleet, seed, stop, tally, latencies):
    """Sends its share of the customers' declared rates until told to stop."""
    rng = random.Random(seed)
    rates = [fleet.declared_rate(customer) for customer in fleet.customers()]
    pause = CALLERS / (LOAD * sum(rates))
    while not stop.wait(rng.expovariate(1 / pause)):
        customer = rng.choices(fleet.customers(), rates)[0]
        service = rng.choice(sorted(fleet.text["services"]))
        entry = rng.choice(fleet.entries)
        began = time.time()
        outcome, status, version = caller_request(fleet, rng, customer, service, entry)
        latencies.append(time.time() - began)
        tally[(outcome, status)] += 1
        if version:
            tally[("version", version[:14])] += 1


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] * 1000 if ordered else 0.0


def roll_out(fleet, digest):
    """Watches the push; returns (seconds until N serve, fewest ready seen)."""
    began = time.time()
    fewest = len(fleet.engines)
    while time.time() - began < SECONDS_TO_ROLL_OUT:
        states = [get_json(e, "/admin/model") for e in fleet.engines.values()]
        fewest = min(fewest, sum(s["state"] == "ready" for s in states))
        if all(s["state"] == "ready" and s["version"] == digest for s in states):
            return time.time() - began, fewest
        time.sleep(0.05)
    return None, fewest


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("example", nargs="?", default="stajaliste", choices=["stajaliste", "regatta"])
    parser.add_argument("--keep", action="store_true", help="keep the folder of settings and logs")
    arguments = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="hawthornroad-demo-")
    fleet = Fleet(arguments.example, folder)
    failures = []
    try:
        run(fleet, failures)
    finally:
        fleet.stop()
        if arguments.keep or failures:
            print("settings and logs:", folder)
        else:
            shutil.rmtree(folder)
    if fleet.stopped_badly:
        failures.append("not a clean stop: " + ", ".join(fleet.stopped_badly))
    print("stopped;", "all checks hold" if not failures else "FAILED: " + "; ".join(failures))
    return 1 if failures else 0


def run(fleet, failures):
    began = time.time()
    fleet.start_platform()
    first = fleet.make_version(1)
    second = fleet.make_version(2)
    fleet.start_processes()
    print(f"{len(fleet.processes)} processes: {len(fleet.entries)} entries, {len(fleet.agents)} agents "
          f"in {len(fleet.text['zones'])} zones ({time.time() - began:.1f} s)")
    if fleet.ctl("apply", fleet.declare(first), "--author", "demo", "--reason", "first text") != 0:
        failures.append("apply of the first text")
        return
    if not fleet.await_ready(first[1]):
        failures.append("fleet not ready")
        return
    print(f"every service answers at every entry after {time.time() - began:.1f} s")

    stop = threading.Event()
    tally = collections.Counter()
    latencies = []
    threads = [threading.Thread(target=keep_calling, args=(fleet, seed, stop, tally, latencies))
               for seed in range(CALLERS)]
    for thread in threads:
        thread.start()
    time.sleep(3)
    calm = list(latencies)
    latencies.clear()
    before = get_json(fleet.origin, "/counters")["bytes"]
    if fleet.ctl("apply", fleet.declare(second), "--author", "demo", "--reason", "new version") != 0:
        failures.append("apply of the new version")
    seconds, fewest = roll_out(fleet, second[1])
    during = list(latencies)
    time.sleep(1)
    stop.set()
    for thread in threads:
        thread.join()
    report(fleet, failures, tally, calm, during, seconds, fewest, before)


def report(fleet, failures, tally, calm, during, seconds, fewest, before):
    copies = (get_json(fleet.origin, "/counters")["bytes"] - before) / WEIGHT_BYTES
    total = len(fleet.engines)
    if seconds is None:
        failures.append("the new version did not reach every VM")
    else:
        print(f"new version: {total} replicas serve it after {seconds:.1f} s")
    print(f"origin: {copies:.2f} copies read; fewest endpoints loaded at once: {fewest} of {total}")
    print(f"requests: p50 {percentile(calm, .5):.0f} ms, p99 {percentile(calm, .99):.0f} ms before the push; "
          f"p50 {percentile(during, .5):.0f} ms, p99 {percentile(during, .99):.0f} ms during it")
    for key, count in sorted(tally.items(), key=str):
        print(f"  {count:6}  {key[0]} {key[1]}")
    wrong = sum(count for (outcome, _), count in tally.items()
                if outcome not in ("answered", "not-run", "version"))
    if wrong:
        failures.append(f"{wrong} requests lost, short or unknown")
    budget = fleet.text["services"][fleet.model_service()]["rollout"]["origin_copies"]
    if copies > budget:
        failures.append(f"origin budget of {budget} copies exceeded")


sys.exit(main())
