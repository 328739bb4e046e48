"""Fault-injection test with real processes: python -m lab.drill.

Callers send requests that must run at most once, and resend them if an answer
is lost.  Meanwhile processes are killed, restarted, paused and shut down.
Each promise is checked against the endpoints' own records.
"""

import argparse
import asyncio
import collections
import pathlib
import random
import signal
import sys
import tempfile
import time
from typing import NamedTuple

import aiohttp
import msgspec

from lab import procs
from rackpost.testing import engine
from rackpost.testing import plain
from rackpost.testing import workload
from rackpost import types

_DEPLOYMENT = workload.SHORT_PROMPTS
_RATE = 12.0


class SendResult(NamedTuple):
    """The result of sending a request once, as its caller observed it."""

    key: str
    request_id: str
    outcome: str
    whole: bool
    once: bool


class Drill:
    """Runs the load and the faults, and records the results."""

    def __init__(self, *, site: procs.Site, seconds: float) -> None:
        self.site = site
        self.seconds = seconds
        self.results: list[SendResult] = []
        self.faults = 0
        self.late_changes = 0
        self.changes = 0
        self.cut_by_stop = 0
        self.rng = random.Random(7)

    async def run(self) -> None:
        """Run load, faults and changes of settings to completion."""
        timeout = aiohttp.ClientTimeout(total=15.0)
        async with aiohttp.ClientSession(
            timeout=timeout, connector=aiohttp.TCPConnector(limit=0)
        ) as session:
            await asyncio.gather(
                self._load(session), self._inject_faults(), self._change()
            )

    async def _load(self, session: aiohttp.ClientSession) -> None:
        offers = workload.schedule(
            _DEPLOYMENT, rate=_RATE, seconds=self.seconds, seed=3
        )
        began = time.monotonic()
        tasks = []
        for offer in offers:
            await asyncio.sleep(max(0.0, began + offer.at - time.monotonic()))
            tasks.append(asyncio.create_task(self._caller(session, offer)))
        await asyncio.gather(*tasks)

    async def _caller(
        self, session: aiohttp.ClientSession, offer: workload.Offer
    ) -> None:
        key = f"{offer.kind.name}-{offer.number}"
        for _ in range(3):
            url = self.rng.choice(list(self.site.entry_urls.values()))
            seen = await self._send(session, url, offer, key)
            self.results.append(seen)
            if seen.outcome in ("answered", "unknown"):
                return
            await asyncio.sleep(self.rng.uniform(0.2, 0.8))

    async def _send(
        self,
        session: aiohttp.ClientSession,
        url: str,
        offer: workload.Offer,
        key: str,
    ) -> SendResult:
        kind = offer.kind
        once = kind.repeat is types.RepeatClass.ONCE
        headers = {
            "Authorization": f"Bearer {procs.KEY}",
            "X-Rackpost-Kind": kind.name,
            "Idempotency-Key": key,
        }
        request_id = ""
        try:
            if kind.plain:
                target = f"{url}/services/{kind.service}/x"
                method = kind.method
            else:
                target = f"{url}/v1/chat/completions"
                method = "POST"
            async with session.request(
                method, target, data=offer.body, headers=headers
            ) as resp:
                request_id = resp.headers.get("x-request-id", "")
                data = await resp.read()
                if resp.status == 200:
                    whole = _whole(offer, data)
                    return SendResult(key, request_id, "answered", whole, once)
                found = msgspec.json.decode(data)
                word = str(found.get("outcome"))
                return SendResult(key, request_id, word, True, once)
        except (aiohttp.ClientError, TimeoutError):
            # The outcome is unknown: the caller resends with the same key.
            return SendResult(key, request_id, "lost", True, once)

    # Faults.

    async def _inject_faults(self) -> None:
        steps = [
            lambda: self._kill("entry-0"),
            lambda: self._kill_leader(),
            lambda: self._pause("c2", 4.0),
            lambda: self._kill("tolk-0"),
            lambda: self._kill("tolk-4"),
            lambda: self._stop_agent("tolk-1"),
            lambda: self._kill_two(),
            lambda: self._stop_entry("entry-1"),
        ]
        pause = self.seconds / (len(steps) + 2)
        for step in steps:
            await asyncio.sleep(pause * 0.6)
            await step()
            self.faults += 1

    async def _kill(self, name: str) -> None:
        process = self.site.processes[name]
        process.signal(signal.SIGKILL)
        await process.child.wait()
        await asyncio.sleep(0.5)
        await self._restart(name)

    async def _restart(self, name: str) -> None:
        if name.startswith("entry"):
            await self.site.start_entry(name)
        else:
            await self.site.restart(name)

    async def _leader(self) -> str:
        while True:
            status = await self.site.operate("/v1/status", None)
            if status is not None and status["leader"]:
                return str(status["leader"])
            await asyncio.sleep(0.1)

    async def _kill_leader(self) -> None:
        await self._kill(await self._leader())

    async def _kill_two(self) -> None:
        # Lose a second replica right after the first is repaired.
        await self._kill_leader()
        await self._kill_leader()
        self.faults += 1

    async def _pause(self, name: str, seconds: float) -> None:
        process = self.site.processes[name]
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        process.signal(signal.SIGCONT)

    async def _stop_agent(self, name: str) -> None:
        process = self.site.processes[name]
        process.signal(signal.SIGTERM)
        await process.child.wait()
        await self._restart(name)

    async def _stop_entry(self, name: str) -> None:
        """Shut down an entry; its open requests must be answered."""
        url = self.site.entry_urls.pop(name)
        async with aiohttp.ClientSession() as session:
            tasks = [
                asyncio.create_task(self._long(session, url, number))
                for number in range(4)
            ]
            await asyncio.sleep(0.3)
            process = self.site.processes[name]
            process.signal(signal.SIGTERM)
            found = await asyncio.gather(*tasks)
            await process.child.wait()
        self.cut_by_stop += sum(1 for good in found if not good)
        await self.site.start_entry(name)

    async def _long(
        self, session: aiohttp.ClientSession, url: str, number: int
    ) -> bool:
        body = {
            "model": _DEPLOYMENT.model,
            "prompt": f"long {number}",
            "max_tokens": 60,
        }
        headers = {
            "Authorization": f"Bearer {procs.KEY}",
            "X-Rackpost-Kind": "sorting",
            "Idempotency-Key": f"long-{number}",
        }
        try:
            async with session.post(
                f"{url}/v1/completions", json=body, headers=headers
            ) as resp:
                await resp.read()
                # A refusal counts as an answer.
                return True
        except aiohttp.ClientError:
            return False

    async def _change(self) -> None:
        """Change settings repeatedly; count changes that are late."""
        based_on = 0
        began = time.monotonic()
        while time.monotonic() - began < self.seconds - 7.0:
            values = {"weight": 1.0 + self.changes / 100.0}
            result = await self.site.write("district", values, based_on)
            if result.get("type") != "accepted":
                based_on = int(result.get("revision", 0))
                continue
            based_on = int(result["revision"])
            self.changes += 1
            await asyncio.sleep(6.0)
            self.late_changes += await self._behind(based_on)

    async def _behind(self, revision: int) -> int:
        status = await self.site.operate("/v1/status", None)
        if status is None:
            return 0
        return sum(
            1
            for item in status["members"]
            # A process with revision 0 does not serve yet.
            if item["revision"]
            and item["silent_s"] < 2.5
            and item["revision"] < revision
        )

    # Checks.

    async def check(self) -> dict[str, tuple[int, int]]:
        """Return how often each promise was tested and broken."""
        runs, held, spent = await self._read_ledgers()
        by_key: dict[str, list[SendResult]] = collections.defaultdict(list)
        for item in self.results:
            by_key[item.key].append(item)
        # Runs are matched to keys by request id.  A run whose id was lost
        # with its answer cannot be matched.
        answered = [
            item for item in self.results if item.outcome == "answered"
        ]
        not_run = [
            item
            for item in self.results
            if item.outcome == "not-run" and item.request_id
        ]
        ran = [
            item
            for item in not_run
            if runs.get(item.request_id, 0) or spent.get(item.request_id, 0)
        ]
        once = {key for key, items in by_key.items() if items[0].once}
        twice = 0
        for key in once:
            ids = {item.request_id for item in by_key[key]}
            if sum(runs.get(one, 0) for one in ids) > 1:
                twice += 1
        doubled = sum(
            1
            for items in by_key.values()
            if sum(1 for item in items if item.outcome == "answered") > 1
        )
        wrong = sum(1 for item in answered if not item.whole)
        return {
            "no engine memory held once callers are gone": (1, len(held)),
            "nothing answered twice": (len(by_key), doubled),
            "each answer whole and its own": (len(answered), wrong),
            "not-run did not run": (len(not_run), len(ran)),
            "what may not repeat ran at most once": (len(once), twice),
            "a planned stop cuts nothing": (4, self.cut_by_stop),
            "changes in force within seconds": (
                self.changes,
                self.late_changes,
            ),
        }

    async def _read_ledgers(
        self,
    ) -> tuple[dict[str, int], list[str], dict[str, int]]:
        runs: dict[str, int] = {}
        held: list[str] = []
        spent: dict[str, int] = {}
        async with aiohttp.ClientSession() as session:
            for url in self.site.ledger_urls:
                async with session.get(url) as resp:
                    found = await resp.json()
                runs.update(found["runs"])
                held += found["held"]
                spent.update(found["prefilled"])
        return runs, held, spent


def _whole(offer: workload.Offer, data: bytes) -> bool:
    kind = offer.kind
    if kind.plain:
        return data == plain.answer_to(kind.method, "/x", "", offer.body)
    found = msgspec.json.decode(data)
    text = found["choices"][0]["message"]["content"]
    return text == "".join(engine.answer_to(offer.body))


async def drill(seconds: float) -> int:
    """Run the drill; return the number of broken promises."""
    with tempfile.TemporaryDirectory() as folder:
        async with procs.running(pathlib.Path(folder)) as site:
            await site.start_control(3)
            await site.start_endpoints(_DEPLOYMENT)
            for idx in range(2):
                await site.start_entry(f"entry-{idx}")
            # Allows for callers and engines on the same machine.
            await site.configure(_DEPLOYMENT, ttft_s=5.0)
            await site.wait_until_up()
            run = Drill(site=site, seconds=seconds)
            await run.run()
            await asyncio.sleep(1.0)
            found = await run.check()
    broken = 0
    for promise, (tried, failed) in found.items():
        broken += failed
        print(f"{promise}: tried {tried}, broken {failed}")
    counts = collections.Counter(item.outcome for item in run.results)
    print(f"outcomes: {dict(counts)}")
    print(
        f"drill: {run.faults} faults, {len(run.results)} requests, "
        f"{broken} broken promises",
        flush=True,
    )
    return broken


def main() -> None:
    """Run the drill."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    args = parser.parse_args()
    broken = asyncio.run(drill(30.0 if args.quick else 120.0))
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
