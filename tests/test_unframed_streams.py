"""Streams with neither a length nor chunks, which end with their connection.

Guards against a stream that was broken off and looks complete, and against
one that is complete and looks broken off.
"""

import asyncio
import pathlib

import pytest

from rackpost.http1 import message
from rackpost.http1 import server
from tests import platform_site
from tests import test_gateway

_WHOLE = b"id: 1\ndata: x1\n\nid: 2\ndata: x2\n\n"
_LAST_CHUNK = b"0\r\n\r\n"


def _unframed(body: bytes, *, rest: bytes = b"") -> platform_site.Answer:
    """Return an answer that ends with its connection.

    A request that resumes the stream is answered with `rest`.
    """

    async def answer(
        req: message.Request, responder: server.Responder
    ) -> None:
        resumed = message.find(req.headers, b"last-event-id") is not None
        kind = [(b"content-type", b"text/event-stream")]
        responder._conn.closing = True
        responder.send_head(200, platform_site.vouching_headers(req) + kind)
        responder._conn.write(rest if resumed else body)

    return answer


def _answer_all(
    site: platform_site.Site, answer: platform_site.Answer
) -> None:
    for endpoint in site.decode:
        endpoint.answer = answer


async def _generate(site: platform_site.Site, path: str) -> bytes:
    return await site.raw(test_gateway.generation(path))


def test_an_unframed_stream_that_ends_after_an_event_is_complete(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            _answer_all(site, _unframed(_WHOLE))
            got = await _generate(site, "/gen/x")
            assert test_gateway.status(got) == 200
            assert b"id: 2\ndata: x2\n\n" in got
            assert got.endswith(_LAST_CHUNK)

    asyncio.run(main())


@pytest.mark.parametrize("cut", [4, 20, len(_WHOLE) - 1])
def test_an_unframed_stream_that_ends_inside_an_event_is_broken_off(
    tmp_path: pathlib.Path, cut: int
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            _answer_all(site, _unframed(_WHOLE[:cut]))
            got = await _generate(site, "/gen/x")
            assert not got.endswith(_LAST_CHUNK)

    asyncio.run(main())


# Guards against: an endpoint that crashes before its first event leaves a
# stream that seems complete and empty.
def test_an_unframed_stream_without_an_event_is_broken_off(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            _answer_all(site, _unframed(b""))
            got = await _generate(site, "/gen/x")
            assert not got.endswith(_LAST_CHUNK)

    asyncio.run(main())


@pytest.mark.parametrize("cut", [0, 20])
def test_an_unframed_stream_that_is_broken_off_is_resumed(
    tmp_path: pathlib.Path, cut: int
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            rest = b"id: 2\ndata: x2\n\n" if cut else _WHOLE
            answer = _unframed(_WHOLE[:cut], rest=rest)
            count = 0

            async def once(
                req: message.Request, responder: server.Responder
            ) -> None:
                nonlocal count
                count += 1
                if count == 1:
                    await answer(req, responder)
                else:
                    await _unframed(rest, rest=rest)(req, responder)

            _answer_all(site, once)
            got = await _generate(site, "/res/x")
            for number in (1, 2):
                assert got.count(b"id: %d\n" % number) == 1
            assert got.endswith(_LAST_CHUNK)

    asyncio.run(main())
