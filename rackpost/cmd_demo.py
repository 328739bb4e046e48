"""The program `rackpost-demo`: a site in one process, on loopback."""

import asyncio
import collections
import dataclasses
import hashlib
import pathlib
import random
import sys
import tempfile
import time
from typing import Annotated

import aiohttp
import cappa
import msgspec

from rackpost import logs
from rackpost import program
from rackpost.testing import demo_site
from rackpost.testing import engine
from rackpost.testing import plain
from rackpost.testing import workload
from rackpost import types

_CLIENT_TIMEOUT_S = 60.0


@cappa.command(name="rackpost-demo")
@dataclasses.dataclass(kw_only=True)
class DemoCommand:
    """Run a site with stand-in endpoints and send it a burst."""

    seconds: Annotated[
        float, cappa.Arg(long="--seconds", help="length of the burst")
    ] = 6.0
    rate: Annotated[
        float, cappa.Arg(long="--rate", help="requests a second of each site")
    ] = 8.0
    quiet: Annotated[
        bool, cappa.Arg(long="--quiet", help="do not show the streams")
    ] = False


class _Tally:
    """Counts of request outcomes by kind."""

    def __init__(self) -> None:
        self.kinds: dict[str, collections.Counter[str]] = {}

    def add(self, kind: str, outcome: str) -> None:
        """Count one outcome."""
        self.kinds.setdefault(kind, collections.Counter())[outcome] += 1


class _Burst:
    """Callers that send scheduled requests and check the answers."""

    def __init__(
        self,
        *,
        site: demo_site.DemoSite,
        session: aiohttp.ClientSession,
        show: bool,
    ) -> None:
        self._site = site
        self._session = session
        self._show = show
        self._shown = 0
        self.tally = _Tally()
        self.reached: set[str] = set()

    async def run(
        self, deployment: workload.Deployment, rate: float, seconds: float
    ) -> None:
        """Send a deployment's schedule in real time."""
        offers = workload.schedule(
            deployment, rate=rate, seconds=seconds, seed=1
        )
        began = time.monotonic()
        tasks = []
        for offer in offers:
            await asyncio.sleep(max(0.0, began + offer.at - time.monotonic()))
            tasks.append(asyncio.create_task(self._send(offer)))
        await asyncio.gather(*tasks)

    async def _send(self, offer: workload.Offer) -> None:
        url = random.choice(self._site.entry_urls)
        headers = {
            "Authorization": f"Bearer {demo_site.CALLER_KEY}",
            "X-Rackpost-Kind": offer.kind.name,
        }
        if offer.kind.repeat is not types.RepeatClass.FREE:
            headers["Idempotency-Key"] = f"{offer.kind.name}-{offer.number}"
        if offer.kind.plain:
            await self._call(url, headers, offer)
        else:
            await self._stream(url, headers, offer)

    async def _call(
        self, url: str, headers: dict[str, str], offer: workload.Offer
    ) -> None:
        kind = offer.kind
        path = f"/item/{offer.number}"
        target = f"{url}/services/{kind.service}{path}"
        began = time.monotonic()
        async with self._session.request(
            kind.method, target, headers=headers, data=offer.body
        ) as resp:
            data = await resp.read()
            took = time.monotonic() - began
            if resp.status != 200:
                self._record_error(kind, resp.status, data)
                return
        expected = plain.answer_to(kind.method, path, "", offer.body)
        self._record_answer(kind, data == expected, took <= kind.ttft_s)

    async def _stream(
        self, url: str, headers: dict[str, str], offer: workload.Offer
    ) -> None:
        kind = offer.kind
        body = msgspec.json.decode(offer.body)
        body["stream"] = True
        began = time.monotonic()
        first = last = 0.0
        texts: list[str] = []
        async with self._session.post(
            f"{url}/v1/chat/completions",
            headers=headers,
            data=msgspec.json.encode(body),
        ) as resp:
            if resp.status != 200:
                self._record_error(kind, resp.status, await resp.read())
                return
            async for line in resp.content:
                text = _text_of(line)
                if text:
                    last = time.monotonic()
                    first = first or last
                    texts.append(text)
            self.reached.add(resp.headers["x-request-id"])
        correct = texts == engine.answer_to(offer.body)
        gap = (last - first) / max(1, len(texts) - 1)
        in_time = first - began <= kind.ttft_s and gap <= 0.058
        self._record_answer(kind, correct, in_time)
        self._print_sample(kind.name, first - began, gap, texts)

    def _record_error(
        self, kind: workload.Kind, status: int, data: bytes
    ) -> None:
        problem = msgspec.json.decode(data)
        outcome = f"{problem.get('outcome')}: {problem.get('reason', status)}"
        self.tally.add(kind.name, outcome)

    def _record_answer(
        self, kind: workload.Kind, correct: bool, in_time: bool
    ) -> None:
        outcome = "answered in time" if in_time else "answered late"
        self.tally.add(kind.name, outcome if correct else "WRONG ANSWER")

    def _print_sample(
        self, kind: str, first: float, gap: float, texts: list[str]
    ) -> None:
        self._shown += 1
        if self._show and self._shown % 10 == 1:
            print(
                f"  {kind:<9} first token {1e3 * first:4.0f} ms, then one "
                f"each {1e3 * gap:3.0f} ms: {''.join(texts[:4])}… "
                f"({len(texts)} tokens)",
                flush=True,
            )


def _text_of(line: bytes) -> str:
    if not line.startswith(b"data: {"):
        return ""
    choices = msgspec.json.decode(line[6:]).get("choices") or [{}]
    return choices[0].get("delta", {}).get("content", "")


async def _build(site: demo_site.DemoSite) -> None:
    spec = engine.EngineSpec()
    await site.start_control(3)
    for deployment in workload.DEPLOYMENTS.values():
        roles = [types.Role.PREFILL] * deployment.prefills
        roles += [types.Role.DECODE] * deployment.decodes
        for idx, role in enumerate(roles):
            name = f"{deployment.model}-{idx}"
            await site.add_endpoint(name, deployment.model, role, spec)
        for idx in range(deployment.plains):
            name = f"{deployment.plain}-{idx}"
            await site.add_endpoint(
                name, deployment.plain, types.Role.PLAIN, spec
            )
    for idx in range(2):
        await site.add_entry(f"entry-{idx}")
    values: dict = {}
    for deployment in workload.DEPLOYMENTS.values():
        values.update(demo_site.service_settings(deployment))
    await site.write("", {**values, "max_open": 10_000})
    hashed = hashlib.sha256(demo_site.CALLER_KEY.encode()).hexdigest()
    await site.write("demo/caller", {"caller_key": hashed})
    await _wait_until_up(site)


async def _wait_until_up(site: demo_site.DemoSite) -> None:
    wanted = len(site.agents)
    for _ in range(200):
        linked = [len(list(item.entry.pool.peers())) for item in site.entries]
        callers = [
            item.client.in_force.tree.nodes.get("demo/caller")
            for item in site.entries
        ]
        if all(count == wanted for count in linked) and all(callers):
            return
        await asyncio.sleep(0.05)
    program.die("the site did not come up", code=1)


def _table(burst: _Burst, site: demo_site.DemoSite) -> str:
    rows = []
    good = total = 0
    for kind, counts in sorted(burst.tally.kinds.items()):
        total += sum(counts.values())
        good += counts["answered in time"]
        for outcome, count in sorted(counts.items()):
            rows.append(f"  {kind:<10} {outcome:<40} {count:>5}")
    spent = site.ledger.prefilled
    wasted = sum(
        tokens for key, tokens in spent.items() if key.req not in burst.reached
    )
    share = wasted / max(1, sum(spent.values()))
    rows.append(f"  goodput: {good} of {total} ({good / max(1, total):.1%})")
    rows.append(f"  wasted prefill: {share:.2%} of the tokens prefilled")
    return "\n".join(rows)


async def demo(args: DemoCommand) -> None:
    """Run the demo."""
    timeout = aiohttp.ClientTimeout(total=_CLIENT_TIMEOUT_S)
    with tempfile.TemporaryDirectory() as folder:
        async with demo_site.running(pathlib.Path(folder)) as site:
            print("Starting 3 control replicas, 16 agents, 2 entries …")
            await _build(site)
            print("Sending a burst of both sites' kinds:", flush=True)
            async with aiohttp.ClientSession(
                timeout=timeout,
                connector=aiohttp.TCPConnector(limit=0),
            ) as session:
                burst = _Burst(site=site, session=session, show=not args.quiet)
                await asyncio.gather(
                    *(
                        burst.run(item, args.rate, args.seconds)
                        for item in workload.DEPLOYMENTS.values()
                    )
                )
            print("Outcomes of the requests:")
            print(_table(burst, site), flush=True)


def main() -> None:
    """Run the program."""
    args = program.parse(DemoCommand)
    with open("/dev/null", "w") as quiet:
        logs.to_stream(quiet)
        try:
            asyncio.run(demo(args))
        except KeyboardInterrupt:
            sys.exit(130)
