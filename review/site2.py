"""A small site of separate processes on loopback addresses.

Starts the project's own programs with the commands of the deploy file, and
stand-ins for replicas, clients and the operator.  `record.txt` of a case
holds what was sent, answered and run.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
REPLICA = pathlib.Path(__file__).resolve().parent / "replica2.py"
HELD, BROKEN, NOT_RUN = 0, 1, 2
ZONE = "hall-nord"
BEAT_S = 1.2
# Below the ephemeral ports; each loopback address of a site uses these.
_PORTS = 13
_BOUNDS = {
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


class CannotRun(Exception):
    """The case could not be played."""


def trouble():
    """Whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def now():
    """The steady clock of all processes of the machine."""
    return time.monotonic()


def _commands():
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return {key: item["run"].split() for key, item in deploy["roles"].items()}


class Site:
    """The processes of one small site."""

    def __init__(self, case, *, cores=5, gateways=3):
        self.case = pathlib.Path(case)
        self.record_file = open(self.case / "record.txt", "w")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="site-"))
        self.began = now()
        # A loopback network of its own for each site.
        net = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        self.core_ips = [f"{net}.{11 + n}" for n in range(cores)]
        self.edge_ips = [f"{net}.{31 + n}" for n in range(gateways)]
        self.replica_ip = f"{net}.101"
        self.base = self._free_base()
        self.processes = {}
        self.version = 0
        self.replica_log = self.folder / "replicas.jsonl"
        self.replica_log.touch()
        self.next_port = self.base + _PORTS

    def record(self, text):
        """Write a line to record.txt."""
        self.record_file.write(f"{now() - self.began:8.3f} {text}\n")
        self.record_file.flush()

    def _free_base(self):
        bases = list(range(10_000, 30_000, 100))
        random.shuffle(bases)
        for base in bases:
            if all(
                self._is_free(ip, port)
                for ip in [self.replica_ip, *self.core_ips, *self.edge_ips]
                for port in range(base, base + 40)
            ):
                return base
        raise CannotRun("no free ports")

    @staticmethod
    def _is_free(ip, port):
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((ip, port))
            except OSError:
                return False
        return True

    def free_address(self):
        """An address for a replica or a proxy."""
        self.next_port += 1
        return f"{self.replica_ip}:{self.next_port}"

    @property
    def control(self):
        return [f"{ip}:{self.base + 12}" for ip in self.core_ips]

    def fronts(self):
        """The addresses of all gateways."""
        return [(ip, self.base + 10) for ip in self.edge_ips]

    # The project's programs.

    def _start_program(self, role, ip, first, **more):
        kind = "core" if role == "coordinator" else "edge"
        name = f"{kind}-{ip.rsplit('.', 1)[1]}"
        folder = self.folder / name
        folder.mkdir(exist_ok=True)
        raw = {
            "node": name,
            "role": role,
            "instanceClass": kind,
            "serves": ["control" if kind == "core" else "edge"],
            "ip": ip,
            "zone": ZONE,
            "region": "vestland",
            "zones": {ZONE: "vestland"},
            "listen": (
                {"control": f"{ip}:{self.base + 12}"}
                if kind == "core"
                else {
                    "front": f"{ip}:{self.base + 10}",
                    "ready": f"{ip}:{self.base + 11}",
                }
            ),
            "internalPorts": [self.base, self.base + 9],
            "seeds": self.control[:3],
            "bootstrap": first,
            "countsAsLoss": kind == "core",
            "limits": {
                "cpuShare": 0.86,
                "cores": 1,
                "memoryMb": 296 if kind == "core" else 150,
                "maxFds": 4096,
                "linkMbps": 1000.0,
                "diskMb": 128 if kind == "core" else 0,
            },
            "dataDir": str(folder / "data") if kind == "core" else None,
            "discovery": "registration",
            "entry": "vip",
            "heartbeatMs": int(BEAT_S * 1000),
            "contracts": ["base", "drain", "config", "cost", "retry",
                          "recover", "split", "stream", "engine"],
            "faultTolerance": {
                "machines": (len(self.core_ips) - 1) // 2,
                "zones": 0,
                "regions": 0,
            },
            "bounds": _BOUNDS,
            "configMode": "highest",
        }
        raw.update(more)
        (folder / "data").mkdir(exist_ok=True)
        path = folder / "node.json"
        path.write_text(json.dumps(raw))
        env = {
            "PATH": os.environ["PATH"],
            "HOME": str(folder),
            "RACKPOST_BOOT": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with open(folder / "log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                _commands()[role], cwd=ROOT, env=env, stdout=log,
                stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL,
            )
        self.record(f"starts {name}")

    def start_core(self, number, first=False, **more):
        self._start_program("coordinator", self.core_ips[number], first, **more)

    def start_gateway(self, number, first=False, **more):
        self._start_program("gateway", self.edge_ips[number], first, **more)

    def core_name(self, number):
        return f"core-{self.core_ips[number].rsplit('.', 1)[1]}"

    def gateway_name(self, number):
        return f"edge-{self.edge_ips[number].rsplit('.', 1)[1]}"

    def signal(self, name, number):
        """Send a signal to a process that this site started."""
        self.processes[name].send_signal(number)
        self.record(f"{signal.Signals(number).name} to {name}")

    async def ended(self, name):
        """Wait until a process has ended."""
        while self.processes[name].poll() is None:
            await asyncio.sleep(0.005)

    async def kill(self, name):
        """Kill a process and wait for its end."""
        self.signal(name, signal.SIGKILL)
        await self.ended(name)

    async def start(self, document):
        """Start all programs and send the first configuration."""
        for number in range(len(self.core_ips)):
            self.start_core(number, first=True)
        for number in range(len(self.edge_ips)):
            self.start_gateway(number, first=True)
        await self.put(document, wait_s=20.0)

    # The operator.

    async def put(self, document, wait_s=8.0, node=None):
        """Send a configuration, also again, until it is acknowledged."""
        text = json.dumps(document).encode()
        until = now() + wait_s
        number = 0 if node is None else node
        while now() < until:
            at = self.control[number % len(self.control)]
            status, _ = await call(at, "PUT", "/v1/config", text, 1.0)
            if status == 200:
                self.record(f"version {document['version']} acknowledged")
                return True
            number += 1
            await asyncio.sleep(0.1)
        return False

    # Replicas.

    def start_replica(self, ident, service, listen, address=None, **more):
        """Start a replica that tells `address` as its own."""
        conf = {
            "id": ident,
            "service": service,
            "listen": listen,
            "address": address or listen,
            "zone": ZONE,
            "control": random.sample(self.control, len(self.control)),
            "beat_s": BEAT_S,
            "log": str(self.replica_log),
        }
        conf.update(more)
        with open(self.folder / "replicas.log", "ab") as log:
            self.processes[ident] = subprocess.Popen(
                ["python3", "-S", str(REPLICA), json.dumps(conf)],
                stdout=log, stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )
        self.record(f"starts replica {ident} {more.get('version', 'v1')}")

    def replica_lines(self):
        """What the replicas have written so far."""
        text = self.replica_log.read_text()
        found = []
        for line in text.split("\n")[:-1]:
            found.append(json.loads(line))
        return found

    async def until(self, what, wait_s, why):
        """Wait for a condition; the case can't run without it."""
        limit = now() + wait_s
        while True:
            found = what()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return
            if now() > limit:
                raise CannotRun(why)
            await asyncio.sleep(0.05)

    def log_lines(self, name, text):
        """Lines of a program's log that contain a text."""
        path = self.folder / name / "log"
        found = []
        for line in path.read_text(errors="replace").splitlines():
            if text in line:
                found.append(line)
        return found

    def close(self):
        """End all processes that this site has started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for line in self.replica_lines():
            if line["ev"] != "beat":
                at = line.pop("t") - self.began
                self.record_file.write(f"{at:8.3f} replica {json.dumps(line)}\n")
        self.record_file.close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def call(at, method, path, body=b"", wait_s=1.0):
    """Call the control interface; return status and body, (0, b"") if none."""
    host, _, port = at.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: control\r\n"
                "Content-Type: application/json\r\nConnection: close\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode() + body
            )
            text = await reader.read()
    except (OSError, TimeoutError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()
    head, _, rest = text.partition(b"\r\n\r\n")
    words = head.split(b" ", 2)
    return (int(words[1]) if len(words) > 1 else 0), rest


def route(name, service, **own):
    """One route of a configuration."""
    found = {
        "name": name,
        "hostname": "site.example",
        "pathPrefix": f"/{name}/",
        "kind": "safe",
        "timeoutMs": 3000,
        "targetLatencyMs": 400,
        "priority": 2,
        "service": service,
        "maxAttempts": 2,
        "sticky": False,
        "resumable": False,
    }
    found.update(own)
    return found


def document(version=1, **more):
    """A configuration with a plain and a model service."""
    found = {
        "version": version,
        "routes": [
            route("safe", "plain"),
            route("unsafe", "plain", kind="unsafe", maxAttempts=1),
            route("res", "model", kind="streaming", resumable=True,
                  timeoutMs=14000, targetLatencyMs=900, targetGapMs=300,
                  priority=1, sticky=True),
        ],
        "services": [
            {"name": "plain", "healthPath": "/health", "maxConnections": 110,
             "protocol": "h1", "tls": False},
            {"name": "model", "healthPath": "/health", "maxConnections": 370,
             "protocol": "h1", "tls": False,
             "engine": {"slots": 64, "kvCapacityTokens": 89659,
                        "kvBytes": 18432, "linkMbps": 1000000.0,
                        "moves": True, "backups": True, "stride": 1,
                        "most": 12, "handleTtlS": 0.5, "stageSwitchS": 6.0,
                        "pinMs": 4000.0, "holdMs": 2000.0,
                        "models": [{"name": "m"}]}},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    }
    found.update(more)
    return found


class Answer:
    """What a client has got for one attempt."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False
        # Events of a stream: number and software version.
        self.events = []


async def attempt(at, method, path, headers, body=b"", *, wait_s=5.0,
                  silence_s=None):
    """Send one client attempt on a new connection and read its answer.

    A client leaves after a silence of `silence_s` in a stream.
    """
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(*at)
            lines = [f"{method} {path} HTTP/1.1", "Host: site.example"]
            lines += [f"{key}: {value}" for key, value in headers.items()]
            lines += [f"Content-Length: {len(body)}", "Connection: close"]
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await _read(reader, answer, silence_s)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


async def _read(reader, answer, silence_s):
    async with asyncio.timeout(silence_s):
        line = await reader.readline()
        answer.status = int(line.split(b" ")[1])
        while (line := await reader.readline()) not in (b"\r\n", b""):
            key, _, value = line.decode("latin-1").partition(":")
            answer.headers[key.strip().lower()] = value.strip()
    if "chunked" not in answer.headers.get("transfer-encoding", ""):
        size = int(answer.headers.get("content-length", 0))
        answer.body = await reader.readexactly(size)
        answer.complete = True
        return
    text = b""
    while True:
        async with asyncio.timeout(silence_s):
            size = int(await reader.readline(), 16)
            chunk = await reader.readexactly(size + 2)
        if size == 0:
            answer.complete = True
            return
        text += chunk[:-2].replace(b"\r\n", b"\n")
        while b"\n\n" in text:
            event, _, text = text.partition(b"\n\n")
            number, data = event.split(b"\n")
            answer.events.append(
                (int(number.split(b":")[1]), data.split(b" ")[1].decode())
            )


class Link:
    """A proxy that stands for the network of one machine.

    `dark`: what is sent either way is dropped, and nothing says so.
    """

    def __init__(self, address, target):
        self.address = address
        self.target = target
        self.is_dark = False
        self._lives = 0
        self._tasks = set()
        self._server = None

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def go_dark(self):
        """Drop all; connections that are open now stay silent for good."""
        self.is_dark = True
        self._lives += 1

    def come_back(self):
        """Let new connections through."""
        self.is_dark = False

    async def _serve(self, reader, writer):
        try:
            await self._serve_one(reader, writer)
        except asyncio.CancelledError:
            # At the end of the case.
            writer.close()

    async def _serve_one(self, reader, writer):
        life = self._lives
        if self.is_dark:
            await self._swallow(reader, writer)
            return
        host, _, port = self.target.rpartition(":")
        try:
            other, sink = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        one = asyncio.create_task(self._pass(reader, sink, life))
        two = asyncio.create_task(self._pass(other, writer, life))
        await asyncio.wait([one, two])
        if life != self._lives:
            sink.transport.abort()
            await self._swallow(reader, writer)

    async def _pass(self, reader, writer, life):
        try:
            while data := await reader.read(65536):
                if life != self._lives:
                    return
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        if life == self._lives:
            writer.close()

    async def _swallow(self, reader, writer):
        """Read and drop until the caller closes."""
        try:
            while await reader.read(65536):
                pass
        except OSError:
            pass
        writer.close()


def play(case_file, main, **sizes):
    """Play a case; exits with 1 if a rule was broken, 2 if it can't run."""
    site = None
    status = NOT_RUN
    try:
        site = Site(pathlib.Path(case_file).resolve().parent, **sizes)
        site.record(f"trouble: {'yes' if trouble() else 'no'}")

        async def run():
            async with asyncio.timeout(110):
                return await main(site)

        status = asyncio.run(run())
    except (CannotRun, TimeoutError) as exc:
        print(f"can't run: {exc!r}")
        if site is not None:
            site.record(f"can't run: {exc!r}")
    finally:
        if site is not None:
            site.record(f"status {status}")
            site.close()
    sys.exit(status)
