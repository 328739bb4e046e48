"""KV caches are handed on only to endpoints of the same version."""

import asyncio
import pathlib

from rackpost.http1 import message
from rackpost.http1 import server
from tests import platform_site
from tests import versioned_site

_STREAMS = 6


def _sources(one: versioned_site.Endpoint) -> list[str]:
    """Return the addresses from which an endpoint was to fetch KV caches."""
    found = [message.find(req.headers, b"x-kv-source") for req in one.requests]
    return [item.decode().partition("/")[0] for item in found if item]


async def _stream_all(site: versioned_site.Site) -> None:
    """Run streams beside each other, so that all endpoints are used."""
    clients = [await site.open(31, f"r{n}") for n in range(_STREAMS)]
    for client in clients:
        await client.first_event()
        client.close()


def test_a_prompt_is_prefilled_at_the_version_that_decodes(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with versioned_site.site(tmp_path) as site:
            await _stream_all(site)
            versions = {one.address: one.software for one in site.prefill}
            for one in site.decode:
                assert one.requests
                for address in _sources(one):
                    assert versions[address] == one.software
            assert any(_sources(one) for one in site.old)
            assert any(_sources(one) for one in site.new)

    asyncio.run(main())


def test_a_version_without_prefill_endpoints_prefills_in_place(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with versioned_site.site(tmp_path) as site:
            await site.take_away(*site.old)
            await site.take_away(site.prefill[1])
            await _stream_all(site)
            assert all(one.requests for one in site.new)
            assert not any(_sources(one) for one in site.new)

    asyncio.run(main())


def test_a_stream_goes_on_where_its_version_only_decodes(
    tmp_path: pathlib.Path,
) -> None:
    """The prompt of a resumed stream is prefilled in place."""

    async def main() -> None:
        async with versioned_site.site(tmp_path) as site:
            await site.take_away(*site.new)
            await site.begin(31, "r1")
            await site.take_away(site.prefill[0])
            got = await site.resume(16, "again", "r1")
            assert got.ids == [2, 3, 4]
            assert sum(len(_sources(one)) for one in site.old) == 1

    asyncio.run(main())


def test_no_kv_cache_is_fetched_from_an_address_that_was_reused(
    tmp_path: pathlib.Path,
) -> None:
    """The endpoint there may hold another request's KV cache by that name."""

    async def main() -> None:
        async with versioned_site.site(tmp_path) as site:
            await site.take_away(site.prefill[1])
            first = site.prefill[0]

            async def crash_once(
                req: message.Request, responder: server.Responder
            ) -> None:
                """Answer; another endpoint starts at the address."""
                first.answer = first.default_answer
                first.ident = "restarted"
                first.sequence = 0
                await site.operator.send_heartbeat(11, first)
                table = site.gateways[31].site.table
                await platform_site.until(lambda: "restarted" in table.alive)
                await first.default_answer(req, responder)

            first.answer = crash_once
            begun = await site.begin(31, "r1")
            assert begun.ids == [1]
            posts = [req for req in first.requests if req.method == b"POST"]
            fetched = sum(len(_sources(one)) for one in site.decode)
            assert fetched == len(posts) - 1

    asyncio.run(main())
