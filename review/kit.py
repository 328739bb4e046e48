"""What the scripts of this review share: processes, addresses, the record.

Standard library alone.  The programs of the project run as separate
processes, by the commands of deploy/system.toml, with settings like those of
the deployment adresseverk-rackpost.
"""

import http.client
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2

# The bounds of adresseverk-rackpost.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxSkewMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 56,
    "recoveryS": 12,
    "transitMs": 120,
    "retryAfterS": 3.3,
    "fencingRequired": True,
    "leaseMs": 3000,
    "freezeSlackMs": 300,
}
ZONE = "hall-nord"
TOLERATED = 2
_PORTS = 14


class CannotRun(Exception):
    """The case can't be played on this machine."""


class Record:
    """The file record.txt, with seconds since the start."""

    def __init__(self, folder):
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._began = time.monotonic()
        self._lock = threading.Lock()

    def now(self):
        return time.monotonic() - self._began

    def say(self, text):
        """Write a line, also to standard output."""
        self.note(text)
        print(f"{self.now():8.3f}  {text}", flush=True)

    def note(self, text, at=None):
        """Write a line to the record alone; `at` is a reading of `now`."""
        with self._lock:
            when = self.now() if at is None else at
            print(f"{when:8.3f}  {text}", file=self._file, flush=True)


def _is_free(ips, base):
    for ip in ips:
        for port in range(base, base + _PORTS):
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as sock:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    try:
                        sock.bind((ip, port))
                    except OSError:
                        return False
    return True


class Site:
    """Machines on loopback addresses of their own, and their processes."""

    def __init__(self, record, machines):
        """`machines` is how many addresses are needed."""
        self.record = record
        self.temp = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._children = []
        rng = random.Random()
        for _ in range(200):
            net = f"127.{rng.randint(20, 250)}.{rng.randint(0, 250)}"
            self.ips = [f"{net}.{n}" for n in range(11, 11 + machines)]
            self.base = rng.randrange(20_000, 30_000, _PORTS)
            if _is_free(self.ips, self.base):
                break
        else:
            raise CannotRun("no free ports")
        with open(ROOT / "deploy" / "system.toml", "rb") as stream:
            roles = tomllib.load(stream)["roles"]
        self._runs = {
            item["on"]: shlex.split(item["run"]) for item in roles.values()
        }
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRun("target/deps is missing: run the build first")

    def control(self, number):
        return f"{self.ips[number]}:{self.base + 12}"

    def front(self, number):
        return self.ips[number], self.base + 10

    def status(self, number):
        """The project's own status page; used to log, never to judge."""
        return http_call(
            (self.ips[number], self.base + 2), "GET", "/status", timeout=1.0
        )

    def settings(self, kind, number, *, seeds, first):
        ip = self.ips[number]
        listen = {"control": self.control(number)}
        if kind == "edge":
            listen = {
                "front": f"{ip}:{self.base + 10}",
                "ready": f"{ip}:{self.base + 11}",
            }
        return {
            "node": f"{kind}-{ZONE}-{number + 1}",
            "role": "gateway" if kind == "edge" else "coordinator",
            "instanceClass": kind,
            "serves": ["edge" if kind == "edge" else "control"],
            "ip": ip,
            "zone": ZONE,
            "region": "vestland",
            "zones": {ZONE: "vestland"},
            "listen": listen,
            "internalPorts": [self.base, self.base + 9],
            "seeds": [self.control(item) for item in seeds],
            "bootstrap": first,
            "countsAsLoss": kind == "core",
            "limits": {
                "cpuShare": 0.817 if kind == "edge" else 2.58,
                "cores": 1,
                "memoryMb": 150 if kind == "edge" else 296,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0 if kind == "edge" else 128,
            },
            "dataDir": str(self.disk(number)) if kind == "core" else None,
            "discovery": "registration",
            "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "split",
                "stream",
                "engine",
            ],
            "faultTolerance": {
                "machines": TOLERATED,
                "zones": 0,
                "regions": 0,
            },
            "bounds": BOUNDS,
            "configMode": "highest",
        }

    def disk(self, number):
        return self.temp / f"disk-{number}"

    def start(self, kind, number, *, seeds, first):
        """Start the program of a machine; returns the process."""
        if kind == "core":
            self.disk(number).mkdir(exist_ok=True)
        path = self.temp / f"{kind}-{number}.json"
        found = self.settings(kind, number, seeds=seeds, first=first)
        path.write_text(json.dumps(found))
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "RACKPOST_BOOT": str(path),
        }
        with open(self.temp / f"{kind}-{number}.log", "ab") as log:
            child = subprocess.Popen(
                self._runs[kind], cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self._children.append(child)
        return child

    def spawn(self, words, **more):
        """Start a stand-in as a process of its own."""
        child = subprocess.Popen(words, **more)
        self._children.append(child)
        return child

    def wipe(self, number):
        shutil.rmtree(self.disk(number), ignore_errors=True)

    def close(self):
        for child in self._children:
            if child.poll() is None:
                child.send_signal(signal.SIGKILL)
        for child in self._children:
            child.wait()
        shutil.rmtree(self.temp, ignore_errors=True)


class Answer:
    """An HTTP answer; status 0 where there was none."""

    def __init__(self, status, body=b"", headers=None):
        self.status = status
        self.body = body
        self.headers = headers or {}


def http_call(address, method, path, body=None, headers=None, timeout=1.0):
    """One call; follows no redirect."""
    host, port = address
    conn = http.client.HTTPConnection(host, port, timeout=timeout)
    try:
        conn.request(method, path, body=body, headers=headers or {})
        got = conn.getresponse()
        return Answer(got.status, got.read(), dict(got.getheaders()))
    except (OSError, http.client.HTTPException):
        return Answer(0)
    finally:
        conn.close()


class Operator:
    """The operator of the pages: asks one node after the other."""

    def __init__(self, site, nodes):
        self._site = site
        self.nodes = list(nodes)

    def _call(self, number, method, body=None):
        address = (self._site.ips[number], self._site.base + 12)
        for _ in range(3):
            headers = {"Content-Type": "application/json"} if body else {}
            got = http_call(address, method, "/v1/config", body, headers)
            place = got.headers.get("Location", "")
            if got.status != 307 or "//" not in place:
                self._site.record.note(
                    f"operator: {method} /v1/config at machine {number}: "
                    f"{got.status or 'no answer'}"
                )
                return got
            host, _, port = place.split("/")[2].rpartition(":")
            address = (host, int(port))
        return got

    def put(self, document, seconds):
        """Send a document until it is acknowledged; returns whether it was."""
        say = self._site.record.say
        body = json.dumps(document)
        until = time.monotonic() + seconds
        pause, seen = 0.1, []
        while time.monotonic() < until:
            for number in self.nodes:
                got = self._call(number, "PUT", body)
                seen.append(got.status)
                if got.status == 200:
                    say(f"PUT version {document['version']}: acknowledged")
                    return True
            time.sleep(pause)
            pause = min(1.0, 2 * pause)
        say(
            f"PUT version {document['version']}: not acknowledged in "
            f"{seconds:.0f} s; answers {counted(seen)}"
        )
        return False

    def read(self, number):
        """Returns the status and the version that a node shows."""
        got = self._call(number, "GET")
        if got.status != 200:
            return got.status, None
        return 200, json.loads(got.body)["version"]


def counted(items):
    found = {}
    for item in items:
        found[item] = found.get(item, 0) + 1
    return ", ".join(f"{key}: {found[key]}" for key in sorted(found))


def _stop(number, frame):
    # Raised in the main thread, so that all processes are ended.
    sys.exit(NOT_RUN)


def main(folder, play):
    """Run `play(record, trouble)`; exits with what it returns."""
    signal.signal(signal.SIGTERM, _stop)
    signal.signal(signal.SIGINT, _stop)
    record = Record(pathlib.Path(folder).resolve())
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"trouble: {'yes' if trouble else 'no'}")
    try:
        code = play(record, trouble)
    except CannotRun as exc:
        record.say(f"can't run: {exc}")
        code = NOT_RUN
    record.say({HELD: "HELD", BROKEN: "BROKEN", NOT_RUN: "NOT RUN"}[code])
    sys.exit(code)
