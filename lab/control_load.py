"""Measures the throughput of control replicas: python -m lab.control_load.

Replicas with real disks and links, watchers and claimers share this process,
so the throughputs are lower bounds.
"""

import asyncio
import contextlib
import pathlib
import random
import secrets
import tempfile
import time
from typing import AsyncIterator

import uvloop

from rackpost.consensus import storage
from rackpost.control import client as client_mod
from rackpost.control import messages
from rackpost.control import process as control_process
from rackpost.entry import claims as claims_mod
from rackpost.entry import control_claims
from rackpost.link import websocket
from rackpost.state import commands
from rackpost.testing import demo_site
from rackpost import types

_CLAIMERS = 8
_CLAIM_S = 3.0
_CHANGES = 300


def _client(
    site: demo_site.DemoSite, name: str, **more: object
) -> client_mod.ControlClient:
    security = websocket.Security(key=site.key_file.read_bytes().strip())
    return client_mod.ControlClient(
        name=name,
        incarnation=types.Incarnation(1),
        addresses=site._control.split(","),
        connect=lambda where: websocket.connected(
            where, security=security, kinds=messages.FromControl
        ),
        rng=random.Random(name),
        **more,  # type: ignore[arg-type]
    )


@contextlib.asynccontextmanager
async def _running(
    clients: list[client_mod.ControlClient],
) -> AsyncIterator[None]:
    tasks = [asyncio.create_task(item.run()) for item in clients]
    try:
        for item in clients:
            await item.ready.wait()
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)


async def _leader(
    site: demo_site.DemoSite,
) -> control_process.ControlProcess:
    while True:
        for item in site.controls:
            if item.node.is_leader:
                return item
        await asyncio.sleep(0.05)


def _write(number: int, based_on: int) -> commands.Write:
    return commands.Write(
        op=types.OperationId(secrets.token_hex(8)),
        who="load",
        at=time.time(),
        path=f"n{number}",
        based_on=types.Revision(based_on),
        values={"weight": 2.0},
    )


async def changes(site: demo_site.DemoSite) -> None:
    """Print changes a second: sequential, and sixteen concurrent."""
    node = (await _leader(site)).node
    began = time.perf_counter()
    for number in range(_CHANGES):
        await node.commit(_write(number, 0))
    one = _CHANGES / (time.perf_counter() - began)
    began = time.perf_counter()
    for base in range(1000, 1000 + 4 * _CHANGES, 16):
        await asyncio.gather(
            *(node.commit(_write(base + idx, 0)) for idx in range(16))
        )
    many = 4 * _CHANGES / (time.perf_counter() - began)
    print(f"  changes a second: {one:.0f} alone, {many:.0f} sixteen at once")


async def claims(site: demo_site.DemoSite) -> None:
    """Print claims a second, each settled, from several entries."""
    clients = [_client(site, f"claimer{idx}") for idx in range(_CLAIMERS)]
    async with _running(clients):
        claim_clients = [
            control_claims.ControlClaims(client=item, now=time.time)
            for item in clients
        ]
        tasks = [asyncio.create_task(item.run()) for item in claim_clients]
        stop = time.perf_counter() + _CLAIM_S
        times: list[float] = []

        async def caller(idx: int) -> None:
            claim_client = claim_clients[idx % _CLAIMERS]
            turn = 0
            while time.perf_counter() < stop:
                turn += 1
                holder = claims_mod.Holder(
                    types.AgentId("a"),
                    types.Incarnation(1),
                    types.RequestId(f"{idx}-{turn}"),
                    types.Attempt(1),
                )
                key = types.ClaimKey(f"{idx}-{turn}")
                began = time.perf_counter()
                reply = await claim_client.claim(key=key, holder=holder)
                assert reply.state is claims_mod.ClaimState.GRANTED
                times.append(time.perf_counter() - began)
                await claim_client.settle(
                    key=key,
                    holder=holder,
                    state=claims_mod.ClaimState.ANSWERED,
                )

        cpu = time.process_time()
        await asyncio.gather(*(caller(idx) for idx in range(400)))
        cpu = time.process_time() - cpu
        for task in tasks:
            task.cancel()
    times.sort()
    print(
        f"  claims a second: {len(times) / _CLAIM_S:.0f}, "
        f"{1e3 * times[len(times) // 2]:.0f} ms median, "
        f"{1e3 * times[int(len(times) * 0.99)]:.0f} ms p99, "
        f"{1e6 * cpu / len(times):.0f} us of processor each (all replicas "
        "and claimers)"
    )


async def in_force(site: demo_site.DemoSite, count: int) -> None:
    """Print the time from acceptance of a change to force at all watchers."""
    changed = asyncio.Event()
    clients = [
        _client(site, f"watcher{idx}", changed=changed.set)
        for idx in range(count)
    ]
    async with _running(clients):
        node = (await _leader(site)).node
        times = []
        base = 10_000 * count
        for number in range(30):
            result = await node.commit(_write(base + number, 0))
            began = time.perf_counter()
            assert isinstance(result, commands.Accepted)
            while any(
                item.in_force.revision < result.revision for item in clients
            ):
                changed.clear()
                await changed.wait()
            times.append(time.perf_counter() - began)
        cpu = time.process_time()
        await asyncio.sleep(5.0)
        cpu = (time.process_time() - cpu) / 5.0
    times.sort()
    print(
        f"  {count} watchers: in force everywhere after "
        f"{1e3 * times[15]:.0f} ms median, {1e3 * times[-1]:.0f} ms at most; "
        f"idle {cpu:.1%} of a core for all"
    )


async def restart(folder: pathlib.Path) -> None:
    """Print the time to load a replica's disk after 10,000 changes."""
    async with demo_site.running(folder) as site:
        await site.start_control(1)
        node = (await _leader(site)).node
        for base in range(0, 10_000, 50):
            await asyncio.gather(
                *(node.commit(_write(base + idx, 0)) for idx in range(50))
            )
        data = folder / "c0"
        size = sum(path.stat().st_size for path in data.iterdir())
    began = time.perf_counter()
    disk = storage.FileDisk(folder=data)
    loaded = disk.load()
    took = time.perf_counter() - began
    disk.close()
    print(
        f"restart after 10,000 changes: {took:.2f} s to read "
        f"{size / 1e6:.1f} MB, {loaded.log.last_index} records"
    )


async def measure() -> None:
    """Run the measurements with three and with five replicas."""
    for replicas in (3, 5):
        with tempfile.TemporaryDirectory() as name:
            async with demo_site.running(pathlib.Path(name)) as site:
                await site.start_control(replicas)
                print(f"{replicas} replicas:")
                await changes(site)
                await claims(site)
                for count in (10, 100, 400):
                    await in_force(site, count)
    with tempfile.TemporaryDirectory() as name:
        await restart(pathlib.Path(name))


if __name__ == "__main__":
    uvloop.run(measure())
