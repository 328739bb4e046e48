"""Large routing documents reach gateways that have slow links.

Seen: after a change to a document of some 2,800 routes requests were
handled by the one before for 4 s and more; with 4,200 routes, and after a
loss of all power, gateways had no document for half a minute.

How: a gateway that waited for a document asked again every 0.25 s, one
coordinator or another, and was sent the whole each time.  Over 5 Mbit/s a
document takes longer than that, so copies queued up, keepalives waited
behind them for longer than the 0.8 s that they have, links were given up
and what had come was thrown away.  Then it began anew, for ever.

Proved by the logs of a site with this load: the same 259 KB came to one
gateway three times, and 65 links ended with "keepalive ping timeout".
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
# The longest that a change may take to be in force, in seconds: what
# operators were promised is 2.5 s after the acknowledgement.
SOON_S = 1.5
# Keepalives have 0.8 s.
PING_S = 0.3


def source(version: int, routes: int) -> bytes:
    """A document with so many routes, some 220 bytes each."""
    doc = platform_site.document(version)
    first = doc["routes"][0]
    for number in range(routes):
        # Names as operators' tools make them: no two alike.
        name = f"{number * 2654435761 % 2**32:08x}"
        doc["routes"].append(
            {**first, "name": f"r-{name}", "pathPrefix": f"/{name}/"}
        )
    return json.dumps(doc).encode()


@contextlib.asynccontextmanager
async def site(
    root: pathlib.Path, *, version: int, routes: int
) -> AsyncIterator[tuple[slow_link.SlowLink, list[process.Coordinator]]]:
    """Five coordinators with a document, and a gateway that has none."""
    plan = platform_site.Plan(root=root)
    hosts = [plan.host(11 + idx, kind="core", seeds=()) for idx in range(5)]
    found = [process.Coordinator(host=host) for host in hosts]
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


async def in_force(link: slow_link.SlowLink, version: int) -> float:
    """Wait for a version at the gateway; the time it took in seconds."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    while link.site.version < version and loop.time() - began < 10.0:
        await asyncio.sleep(0.01)
    return loop.time() - began


def test_a_gateway_that_starts_has_a_large_document_soon(
    tmp_path: pathlib.Path,
) -> None:
    """After a loss of all power no gateway had one for half a minute."""

    async def main() -> None:
        async with site(tmp_path, version=7, routes=4200) as (link, _):
            assert await in_force(link, 7) < SOON_S
            await asyncio.sleep(5.0)
            assert link.lost == 0
            assert link.longest_ping_s < PING_S

    virtual.run(main())


def test_many_more_routes_and_a_change_behind_them_are_in_force_soon(
    tmp_path: pathlib.Path,
) -> None:
    """Two documents 0.1 s apart: the second came seconds too late."""

    async def main() -> None:
        async with site(tmp_path, version=7, routes=1400) as (link, found):
            await in_force(link, 7)
            await asyncio.sleep(5.0)
            slow_link.apply_document(found, 8, source(8, 2800))
            await asyncio.sleep(0.1)
            slow_link.apply_document(found, 9, source(9, 2801))
            assert await in_force(link, 9) < SOON_S
            await asyncio.sleep(5.0)
            assert link.lost == 0
            assert link.longest_ping_s < PING_S

    virtual.run(main())


def test_a_small_change_of_a_large_document_moves_little(
    tmp_path: pathlib.Path,
) -> None:
    """Each change moved the whole: 800 KB for one more route of 4,200."""

    async def main() -> None:
        async with site(tmp_path, version=7, routes=4200) as (link, found):
            await in_force(link, 7)
            await asyncio.sleep(5.0)
            before = link.bytes_down
            slow_link.apply_document(found, 8, source(8, 4201))
            assert await in_force(link, 8) < SOON_S
            # Heartbeats and keepalives of a second and a half included.
            assert link.bytes_down - before < 10_000

    virtual.run(main())


def test_changes_in_quick_succession_are_in_force_soon(
    tmp_path: pathlib.Path,
) -> None:
    """Thirty in three seconds: each ends some transfer, none of them all."""

    async def main() -> None:
        async with site(tmp_path, version=1, routes=4200) as (link, found):
            await in_force(link, 1)
            before = link.bytes_down
            for version in range(2, 32):
                text = source(version, 4200 + 40 * version)
                slow_link.apply_document(found, version, text)
                await asyncio.sleep(0.1)
                assert link.site.version >= version - 5
            assert await in_force(link, 31) < 0.5
            assert link.lost == 0
            # 1,200 routes, some 16 bytes of each that can't be compressed.
            assert link.bytes_down - before < 60_000

    virtual.run(main())


def test_a_coordinator_that_falls_silent_costs_little(
    tmp_path: pathlib.Path,
) -> None:
    """Another sends the rest of what it had begun to send."""

    async def main() -> None:
        async with site(tmp_path, version=7, routes=1400) as (link, found):
            await in_force(link, 7)
            slow_link.apply_document(found, 8, source(8, 5600))
            await asyncio.sleep(0.05)
            link.silence_senders()
            assert await in_force(link, 8) < SOON_S

    virtual.run(main())
