"""Measures the overhead of entry and agents: python -m lab.overhead.

Real processes on loopback.  The same requests go to the simulated engines
directly (a prefill, then a decode) and through entry and agents, alternately,
without and with fifty open streams.
"""

import asyncio
import json
import pathlib
import secrets
import statistics
import tempfile
import time
from typing import NamedTuple

import aiohttp

from lab import procs
from rackpost.testing import workload

_OPEN = 50
_ROUNDS = 80
# Answer limits in tokens: of compared requests, and of background streams.
_SHORT = 4
_LONG = 60
_DEPLOYMENT = workload.SHORT_PROMPTS._replace(prefills=2, decodes=4, plains=1)


class Timing(NamedTuple):
    """Seconds to the first token and to the end, and number of tokens."""

    first_s: float
    whole_s: float
    tokens: int


def _body(stream: bool, number: int, tokens: int = _SHORT) -> dict:
    return {
        "model": _DEPLOYMENT.model,
        "prompt": f"{number} {secrets.token_hex(20)}",
        "max_tokens": tokens,
        "stream": stream,
    }


async def _read(resp: aiohttp.ClientResponse, began: float) -> Timing:
    first = 0.0
    tokens = 0
    async for line in resp.content:
        if line.startswith(b"data: {"):
            first = first or time.perf_counter() - began
            tokens += 1
    return Timing(first, time.perf_counter() - began, tokens)


async def through(
    session: aiohttp.ClientSession, url: str, n: int, tokens: int = _SHORT
) -> Timing | None:
    """Send a request through the entry; return None if it is refused."""
    headers = {
        "Authorization": f"Bearer {procs.KEY}",
        "X-Rackpost-Kind": "fast",
    }
    began = time.perf_counter()
    async with session.post(
        f"{url}/v1/completions", json=_body(True, n, tokens), headers=headers
    ) as resp:
        if resp.status != 200:
            return None
        return await _read(resp, began)


async def direct(
    session: aiohttp.ClientSession, pre: str, dec: str, n: int
) -> Timing:
    """Send a request directly to the engines."""
    name = {"X-Request-Id": f"direct-{n}-{secrets.token_hex(4)}.1"}
    body = _body(False, n)
    body["kv_transfer_params"] = {"do_remote_decode": True}
    began = time.perf_counter()
    async with session.post(
        f"{pre}/v1/completions", json=body, headers=name
    ) as resp:
        kv = json.loads(await resp.read())["kv_transfer_params"]
    body["stream"] = True
    body["kv_transfer_params"] = {**kv, "do_remote_prefill": True}
    async with session.post(
        f"{dec}/v1/completions", json=body, headers=name
    ) as resp:
        return await _read(resp, began)


def _quantile(values: list[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(len(values) * share))]


async def _pairs(
    session: aiohttp.ClientSession, url: str, engines: list[str]
) -> tuple[list[float], list[float]]:
    mine, theirs = [], []
    for number in range(_ROUNDS):
        pre = engines[number % _DEPLOYMENT.prefills]
        dec = engines[_DEPLOYMENT.prefills + number % _DEPLOYMENT.decodes]
        theirs.append((await direct(session, pre, dec, number)).first_s)
        took = await through(session, url, number)
        if took is not None:
            mine.append(took.first_s)
    return mine, theirs


async def _background(
    session: aiohttp.ClientSession, url: str, stop: asyncio.Event
) -> int:
    tokens = 0
    while not stop.is_set():
        took = await through(session, url, 0, _LONG)
        if took is None:
            await asyncio.sleep(0.1)
        else:
            tokens += took.tokens
    return tokens


def _report(name: str, mine: list[float], theirs: list[float]) -> None:
    for word, share in (("median", 0.5), ("p99", 0.99)):
        one, two = _quantile(mine, share), _quantile(theirs, share)
        print(
            f"{name}, {word}: {one * 1e3:.1f} ms through, {two * 1e3:.1f} "
            f"ms direct, {1e3 * (one - two):.1f} ms added, x{one / two:.3f}"
        )


def _agents_cpu(site: procs.Site) -> list[float]:
    count = _DEPLOYMENT.prefills + _DEPLOYMENT.decodes
    return [
        site.processes[f"{_DEPLOYMENT.model}-{idx}"].cpu_s()
        for idx in range(count)
    ]


async def measure() -> None:
    """Run the measurements on a new site."""
    with tempfile.TemporaryDirectory() as folder:
        async with procs.running(pathlib.Path(folder)) as site:
            await site.start_control(3)
            await site.start_endpoints(_DEPLOYMENT)
            await site.start_entry("entry-0")
            scope = f"{_DEPLOYMENT.model}/fast"
            await site.configure(_DEPLOYMENT, **{f"{scope}.ttft_s": 10.0})
            await site.wait_until_up()
            engines = [
                args[args.index("--endpoint") + 1]
                for name, args in site.args.items()
                if name.startswith(_DEPLOYMENT.model)
            ]
            await _measure(site, engines)


async def _measure(site: procs.Site, engines: list[str]) -> None:
    await asyncio.sleep(2.0)
    for name in ("entry-0", f"{_DEPLOYMENT.model}-0", "c0"):
        memory = site.processes[name].memory_mb()
        print(f"{name}, idle: {memory:.1f} MB resident")
    idle = {name: process.cpu_s() for name, process in site.processes.items()}
    await asyncio.sleep(5.0)
    for name in ("entry-0", f"{_DEPLOYMENT.model}-0", "c0"):
        used = (site.processes[name].cpu_s() - idle[name]) / 5.0
        print(f"{name}, idle: {used:.2%} of a core")
    url = site.entry_urls["entry-0"]
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        mine, theirs = await _pairs(session, url, engines)
        _report("first token, nothing else open", mine, theirs)
        stop = asyncio.Event()
        others = [
            asyncio.create_task(_background(session, url, stop))
            for _ in range(_OPEN)
        ]
        await asyncio.sleep(2.0)
        entry = site.processes["entry-0"]
        began, cpu = time.perf_counter(), entry.cpu_s()
        agents = _agents_cpu(site)
        mine, theirs = await _pairs(session, url, engines)
        span, used = time.perf_counter() - began, entry.cpu_s() - cpu
        by_agents = [
            now - then for now, then in zip(_agents_cpu(site), agents)
        ]
        stop.set()
        tokens = sum(await asyncio.gather(*others))
        _report(f"first token, {_OPEN} open", mine, theirs)
        rate = tokens / (span + 2.0)
        print(
            f"entry: about {rate:.0f} tokens a second at "
            f"{used / span:.1%} of a core, "
            f"{used / span / rate * 1e6:.0f} us a token, all included"
        )
        decodes = sum(by_agents[_DEPLOYMENT.prefills :]) / span
        prefills = sum(by_agents[: _DEPLOYMENT.prefills]) / span
        print(
            f"agents of the decode engines: {decodes / rate * 1e6:.0f} us a "
            f"token, of the prefill engines: {prefills:.1%} of a core"
        )
        print(f"spread of the added time: {statistics.stdev(mine):.4f} s")


if __name__ == "__main__":
    asyncio.run(measure())
