"""A request under which each endpoint ends that begins it, and its returns.

Seen: two requests went on to one endpoint after the other, ten and eight of
which ended, each with some twelve other runs.  Each return had a new id and
came to any gateway, and a gateway knew the attempts of one call alone, so
that each was sent as if for the first time.  Shown by the digests of what
broke: the youngest run on each endpoint was always one of the same two
requests, on some endpoints the only one.
"""

import asyncio
import pathlib
import shutil

from tests import crashing_site

# Endpoints that may end under one request, and how often it comes.
_MOST_CRASHES = 3
_RETURNS = 8


async def _returns(
    site: crashing_site.Site, path: str, body: bytes
) -> list[bytes]:
    """What a request is answered that comes again and again."""
    found = []
    for number in range(_RETURNS):
        gateway = crashing_site.GATEWAYS[number % 2]
        found.append(await site.ask(gateway, path, body))
        await site.is_known()
    return found


def test_a_generation_that_ends_endpoints_is_sent_to_three(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with crashing_site.site(tmp_path) as site:
            async with site.powered(first=True):
                answers = await _returns(site, "/gen/x", b"crash")
                assert site.crashes == _MOST_CRASHES
                # At once, and truly: it has not run, and when to come back.
                assert all(b" 503 " in one for one in answers[3:])
                assert all(b"retry-after" in one for one in answers[3:])
                other = await site.ask(31, "/gen/x", b"another")
                assert b" 200 " in other

    asyncio.run(main())


def test_a_plain_request_that_ends_endpoints_is_sent_to_three(
    tmp_path: pathlib.Path,
) -> None:
    """Tried again inside, where its route allows it, or by its caller."""

    async def main() -> None:
        async with crashing_site.site(tmp_path) as site:
            async with site.powered(first=True):
                await _returns(site, "/safe/x", b"crash")
                assert site.crashes == _MOST_CRASHES
                other = await site.ask(31, "/safe/x", b"another")
                assert b" 200 " in other

    asyncio.run(main())


def test_it_is_still_known_after_lost_disks_together_with_all_power(
    tmp_path: pathlib.Path,
) -> None:
    """Two disks are lost, and all other processes end, gateways too."""

    async def main() -> None:
        core = (11, 12, 13, 14, 15)
        async with crashing_site.site(tmp_path, core=core, lost=2) as site:
            async with site.powered(first=True):
                await _returns(site, "/gen/x", b"crash")
                before = site.crashes
            for number in core[:2]:
                shutil.rmtree(site.plan.root / f"core-{number}")
            async with site.powered(first=False):
                await _returns(site, "/gen/x", b"crash")
            assert before == site.crashes == _MOST_CRASHES

    asyncio.run(main())
