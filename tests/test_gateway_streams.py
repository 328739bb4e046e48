"""Streams that break on their way through a gateway."""

import asyncio
import pathlib

from rackpost.http1 import message
from rackpost.http1 import server
from tests import platform_site
from tests import test_gateway


def breaks_off(
    one: platform_site.Endpoint, broken: list[str]
) -> platform_site.Answer:
    """A stream that breaks in its second event, unless it is taken up."""

    async def stream(
        req: message.Request, responder: server.Responder
    ) -> None:
        last = message.find(req.headers, b"last-event-id")
        if last is not None:
            await one.stream(req, responder, int(last) + 1, 4)
            return
        broken.append(one.ident)
        kind = [(b"content-type", b"text/event-stream")]
        responder.start(200, platform_site.vouching_headers(req) + kind)
        await responder.send_chunk(b"id: 1\ndata: x1\n\nid: 2\nda")
        await asyncio.sleep(0.05)
        responder.abort()

    return stream


def all_break_off(site: platform_site.Site) -> list[str]:
    """Have all streams break once; the endpoints where they did, as told."""
    broken: list[str] = []
    for one in site.decode:
        one.answer = breaks_off(one, broken)
    return broken


def test_a_broken_stream_goes_on_elsewhere_only_if_resumable(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            broken = all_break_off(site)
            got = await site.raw(test_gateway.generation("/res/x"))
            assert test_gateway.status(got) == 200
            for number in (1, 2, 3):
                assert got.count(b"id: %d\n" % number) == 1
            assert got.endswith(b"0\r\n\r\n")
            got = await site.raw(test_gateway.generation("/gen/x"))
            assert b"id: 1\n" in got and not got.endswith(b"0\r\n\r\n")
            assert len(broken) == 2

    asyncio.run(main())


def test_a_broken_stream_goes_on_where_its_kv_cache_is(
    tmp_path: pathlib.Path,
) -> None:
    """The prompt was read again, and moved, for each broken stream."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            broken = all_break_off(site)
            got = await site.raw(test_gateway.generation("/res/x"))
            assert got.endswith(b"0\r\n\r\n")
            ran = [one.ident for one in site.decode for _ in one.requests]
            assert ran == broken * 2
            reads = [
                req for req in site.prefill.requests if req.method == b"POST"
            ]
            assert len(reads) == 1

    asyncio.run(main())


def test_a_broken_stream_goes_on_elsewhere_when_its_endpoint_leaves(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            broken: list[str] = []

            def leaves(one: platform_site.Endpoint) -> platform_site.Answer:
                breaks = breaks_off(one, broken)

                async def stream(
                    req: message.Request, responder: server.Responder
                ) -> None:
                    if message.find(req.headers, b"last-event-id") is None:
                        assert await site.operator.leave(11, one) == 200
                        await platform_site.until(
                            lambda: one.ident
                            not in site.gateway.site.table.alive
                        )
                    await breaks(req, responder)

                return stream

            for one in site.decode:
                one.answer = leaves(one)
            got = await site.raw(test_gateway.generation("/res/x"))
            assert got.endswith(b"0\r\n\r\n")
            assert [len(one.requests) for one in site.decode] == [1, 1]

    asyncio.run(main())
