"""Large routing documents reach gateways over slow links in time.

Guards against repeated transfers that saturate a link, so that keepalives
time out, the link is closed and the received data is lost.
"""

import asyncio
import contextlib
import json
import pathlib
from typing import AsyncIterator

from rackpost.coordinator import process
from rackpost.testing import virtual
from tests import platform_site
from tests import slow_link

# 5 Mbit/s.
RATE = 5e6 / 8
# Limit until a change is in force; operators are promised 2.5 s after the
# acknowledgement.
IN_FORCE_LIMIT_S = 1.5
# Well below the keepalives' timeout of 0.8 s.
PING_LIMIT_S = 0.3


def source(version: int, routes: int) -> bytes:
    """Return a document with additional routes, some 220 bytes each."""
    doc = platform_site.document(version)
    first = doc["routes"][0]
    for number in range(routes):
        # Pseudo-random names, which compress badly.
        name = f"{number * 2654435761 % 2**32:08x}"
        doc["routes"].append(
            {**first, "name": f"r-{name}", "pathPrefix": f"/{name}/"}
        )
    return json.dumps(doc).encode()


@contextlib.asynccontextmanager
async def site(
    root: pathlib.Path, *, version: int, routes: int
) -> AsyncIterator[tuple[slow_link.SlowLink, list[process.Coordinator]]]:
    """Run five coordinators with a document, and a gateway without one."""
    plan = platform_site.Plan(root=root)
    hosts = [plan.host(11 + idx, kind="core", seeds=()) for idx in range(5)]
    found = [
        process.Coordinator(host=host, opened=process.open_disk(host))
        for host in hosts
    ]
    slow_link.apply_document(found, version, source(version, routes))
    edge = plan.host(31, kind="edge", seeds=())
    link = slow_link.SlowLink(edge=edge, bytes_per_s=RATE)
    link.start(found)
    try:
        yield link, found
    finally:
        await link.stop()
        for one in found:
            one._file_disk.close()


async def wait_in_force(link: slow_link.SlowLink, version: int) -> float:
    """Wait for a version at the gateway; return the time in seconds."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    while (link.site.version or 0) < version and loop.time() - began < 10.0:
        await asyncio.sleep(0.01)
    return loop.time() - began


def test_a_gateway_that_starts_has_a_large_document_soon(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a late first document, as after a loss of all power."""

    async def main() -> None:
        async with site(tmp_path, version=7, routes=4200) as (link, _):
            assert await wait_in_force(link, 7) < IN_FORCE_LIMIT_S
            await asyncio.sleep(5.0)
            assert link.lost == 0
            assert link.longest_ping_s < PING_LIMIT_S

    virtual.run(main())


def test_many_more_routes_and_a_change_behind_them_are_in_force_soon(
    tmp_path: pathlib.Path,
) -> None:
    """The second of two documents 0.1 s apart must not wait for the first."""

    async def main() -> None:
        async with site(tmp_path, version=7, routes=1400) as (link, found):
            await wait_in_force(link, 7)
            await asyncio.sleep(5.0)
            slow_link.apply_document(found, 8, source(8, 2800))
            await asyncio.sleep(0.1)
            slow_link.apply_document(found, 9, source(9, 2801))
            assert await wait_in_force(link, 9) < IN_FORCE_LIMIT_S
            await asyncio.sleep(5.0)
            assert link.lost == 0
            assert link.longest_ping_s < PING_LIMIT_S

    virtual.run(main())


def test_a_small_change_of_a_large_document_moves_little(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against sending the whole document for one changed route."""

    async def main() -> None:
        async with site(tmp_path, version=7, routes=4200) as (link, found):
            await wait_in_force(link, 7)
            await asyncio.sleep(5.0)
            before = link.bytes_down
            slow_link.apply_document(found, 8, source(8, 4201))
            assert await wait_in_force(link, 8) < IN_FORCE_LIMIT_S
            # Includes heartbeats and keepalives of 1.5 s.
            assert link.bytes_down - before < 10_000

    virtual.run(main())


def test_changes_in_quick_succession_are_in_force_soon(
    tmp_path: pathlib.Path,
) -> None:
    """30 documents in 3 s: none of them may starve the transfers."""

    async def main() -> None:
        async with site(tmp_path, version=1, routes=4200) as (link, found):
            await wait_in_force(link, 1)
            before = link.bytes_down
            for version in range(2, 32):
                text = source(version, 4200 + 40 * version)
                slow_link.apply_document(found, version, text)
                await asyncio.sleep(0.1)
                assert link.site.version >= version - 5
            assert await wait_in_force(link, 31) < 0.5
            assert link.lost == 0
            # 1,200 routes with some 16 incompressible bytes each.
            assert link.bytes_down - before < 60_000

    virtual.run(main())


def test_a_coordinator_that_falls_silent_costs_little(
    tmp_path: pathlib.Path,
) -> None:
    """Another coordinator continues the transfer."""

    async def main() -> None:
        async with site(tmp_path, version=7, routes=1400) as (link, found):
            await wait_in_force(link, 7)
            slow_link.apply_document(found, 8, source(8, 5600))
            await asyncio.sleep(0.05)
            link.silence_senders()
            assert await wait_in_force(link, 8) < IN_FORCE_LIMIT_S

    virtual.run(main())
