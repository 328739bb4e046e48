"""Replicas ask for a rest, and one answer too many arrives late."""

import asyncio
import json
import pathlib
import random
import re
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import kit  # noqa: E402

CORE = range(5)
EDGE = (5, 6)
REPLICAS = 7
SEEDS = (0, 1, 2)
REQUESTS_PER_S = 12.0
DEADLINE_MS = 3000
LOAD_S = 66.0
# The replicas turn requests away for this long, this often, and ask for this
# rest each time, in seconds.
SHED_S = 1.0
SHED_EVERY_S = 4.0
REST_S = 0.5
# Share of these answers that come a second time: some 8 in 100 of all answers.
AGAIN = 0.4


def document():
    return {
        "version": 1,
        "routes": [
            {
                "name": "addr-lookup",
                "hostname": "site.example",
                "pathPrefix": "/lookup/",
                "kind": "unsafe",
                "timeoutMs": DEADLINE_MS,
                "targetLatencyMs": 400,
                "priority": 2,
                "service": "register",
                "maxAttempts": 2,
            }
        ],
        "services": [
            {
                "name": "register",
                "healthPath": "/health",
                "maxConnections": 110,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


class Clients:
    """Clients of the look-up, each with a request of its own."""

    def __init__(self, site):
        self._site = site
        # Status of each client attempt by its id; 0 without an answer.
        self.answers = {}

    async def load(self, seconds):
        async with asyncio.TaskGroup() as group:
            until = time.monotonic() + seconds
            while time.monotonic() < until:
                group.create_task(self._one())
                await asyncio.sleep(1.0 / REQUESTS_PER_S)

    async def _one(self):
        until = time.monotonic() + DEADLINE_MS / 1000
        # One retry, and after a promise alone: the route is unsafe.
        for _ in range(2):
            left_ms = int((until - time.monotonic()) * 1000)
            if left_ms < 200:
                return
            status, wait_s = await self._attempt(left_ms)
            if status not in (408, 421, 429, 503):
                return
            await asyncio.sleep(min(wait_s, left_ms / 3000))

    async def _attempt(self, left_ms):
        ident = f"{random.getrandbits(64):016x}"
        self.answers[ident] = 0
        sent = self._site.record.now()
        request = (
            "POST /lookup/1 HTTP/1.1\r\nHost: site.example\r\n"
            f"X-Request-Id: {ident}\r\nX-Deadline-Ms: {left_ms}\r\n"
            "Connection: close\r\nContent-Length: 7\r\n\r\naddress"
        )
        host, port = self._site.front(random.choice(EDGE))
        status, wait_s = 0, 0.05
        writer = None
        try:
            async with asyncio.timeout(left_ms / 1000):
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(request.encode())
                head = await reader.readuntil(b"\r\n\r\n")
                status = int(head.split()[1])
                found = re.search(rb"(?i)retry-after: ([0-9.]+)", head)
                wait_s = float(found[1]) if found else wait_s
                await reader.read()
        except (OSError, EOFError, TimeoutError):
            pass
        finally:
            if writer is not None:
                writer.close()
        self.answers[ident] = status
        self._site.record.note(
            f"client: {ident} sent at {sent:.3f} to {host}, answered "
            f"{status or 'not'}"
        )
        return status, wait_s


def play(record, trouble):
    site = kit.Site(record, 8)
    try:
        return asyncio.run(run(site, trouble))
    finally:
        site.close()


async def run(site, trouble):
    say = site.record.say
    for number in CORE:
        site.start("core", number, seeds=SEEDS, first=True)
    for number in EDGE:
        site.start("edge", number, seeds=SEEDS, first=True)
    operator = kit.Operator(site, CORE)
    if not await asyncio.to_thread(operator.put, document(), 20.0):
        raise kit.CannotRun("no configuration")
    log = site.temp / "replicas.log"
    began = time.time() + 6.0
    sheds = []
    at = 2.0
    while at < LOAD_S - 2.0:
        sheds.append([began + at, began + at + SHED_S])
        at += SHED_EVERY_S
    for number in range(3):
        settings = {
            "id": f"register-{number}",
            "service": "register",
            "version": "v1",
            "ip": site.ips[REPLICAS],
            "port": site.base + number,
            "zone": kit.ZONE,
            "slots": 6,
            "controls": [site.control(item) for item in CORE],
            "work_s": 0.09,
            "drain_s": kit.BOUNDS["drainMs"] / 1000,
            "shed_at": sheds,
            "rest_s": REST_S,
            "again": AGAIN if trouble else 0.0,
            "log": str(log),
        }
        path = site.temp / f"replica-{number}.json"
        path.write_text(json.dumps(settings))
        program = str(HERE.parent / "replica.py")
        site.spawn([sys.executable, program, str(path)])
    say(
        f"three replicas; {len(sheds)} times they all turn requests away for "
        f"{SHED_S} s and ask for {REST_S} s of rest; "
        f"{AGAIN if trouble else 'none'} of these answers come a second time"
    )
    await asyncio.sleep(max(0.0, began - time.time()))
    clients = Clients(site)
    await clients.load(LOAD_S)
    await asyncio.sleep(1.0)
    lines = [json.loads(line) for line in log.read_text().splitlines()]
    return judge(site, clients, lines)


def judge(site, clients, lines):
    say = site.record.say
    runs = {}
    for line in lines:
        if line["what"] == "runs":
            runs.setdefault(line["request"], []).append(line)
    twice = [ident for ident, found in runs.items() if len(found) > 1]
    refused = [
        ident
        for ident, status in clients.answers.items()
        if status in (408, 421, 429, 503) and ident in runs
    ]
    unknown = [ident for ident in runs if ident not in clients.answers]
    again = sum(line["what"] == "sends an answer again" for line in lines)
    say(
        f"{len(clients.answers)} client attempts, answers "
        f"{kit.counted(clients.answers.values())}; {len(runs)} ran; "
        f"{again} answers came a second time"
    )
    offset = site.record.now() - time.time()
    for line in lines:
        if line["what"] in ("turns away", "sends an answer again", "runs"):
            site.record.note(
                f"{line['id']}: {line['what']} {line['request']}",
                line["at"] + offset,
            )
    for ident in sorted({*twice, *refused}):
        say(f"{ident}: the client got {clients.answers.get(ident)}")
        for line in lines:
            if line.get("request") == ident and line["what"] != "arrives":
                at = line["at"] + offset
                say(f"    {at:.3f}  {line['id']} {line['what']}")
    served = sum(status == 200 for status in clients.answers.values())
    if served < len(clients.answers) / 4:
        raise kit.CannotRun("too few requests were served")
    say(
        f"TWICE: {len(twice)} requests ran more than once; REFUSED: "
        f"{len(refused)} ran and got a promise; unknown: {len(unknown)}"
    )
    return kit.BROKEN if twice or refused else kit.HELD


if __name__ == "__main__":
    kit.main(HERE, play)
