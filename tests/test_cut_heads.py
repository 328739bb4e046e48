"""Answers that stop within or just after their head do not look whole."""

import asyncio
import pathlib

import pytest

from rackpost.decide import buffer_budget
from rackpost import exceptions
from rackpost.http1 import client
from rackpost.http1 import message
from rackpost.http1 import server
from tests import platform_site
from tests import test_gateway
from tests import test_http1_client

_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Type: text/event-stream\r\n"
    b"Connection: close\r\n\r\n"
)
_INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
_FIRST = b"HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 2\r\n\r\nok"
# What has been received before the head that is cut.
_BEFORE = {
    "nothing": (),
    "an interim answer": (_INTERIM,),
    "an answer to an earlier request": (_FIRST,),
    "both": (_FIRST, _INTERIM),
}


async def _exchange(conn: client.ClientConnection, ident: bytes) -> bytes:
    head = await conn.request(head=b"-", body=b"", request_id=ident)
    assert head.status == 200
    body = await conn.read_whole(1000)
    conn.release()
    return body


@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("before", _BEFORE)
def test_a_head_that_is_cut_at_any_byte_is_no_answer(
    before: str, is_reset: bool
) -> None:
    """Clients got a 200 with an empty body that was framed as whole."""

    async def main(cut: int) -> None:
        conn = client.ClientConnection(
            id_header=b"x-id",
            on_closed=lambda closed: None,
            answers=buffer_budget.BufferBudget(max_bytes=1 << 20),
        )
        conn.connection_made(test_http1_client._Transport())
        received = list(_BEFORE[before])
        if _FIRST in received:
            first = asyncio.create_task(_exchange(conn, b"r0"))
            await asyncio.sleep(0)
            conn.data_received(received.pop(0))
            assert await first == b"ok"
        own = asyncio.create_task(_exchange(conn, b"r1"))
        await asyncio.sleep(0)
        for data in [*received, _HEAD[:cut]]:
            if data:
                conn.data_received(data)
        if not is_reset:
            conn.eof_received()
        conn.connection_lost(None)
        with pytest.raises(exceptions.ExchangeError):
            await own

    for cut in range(len(_HEAD)):
        asyncio.run(main(cut))


def _head_alone(status: int, kind: bytes) -> platform_site.Answer:
    """Return an answer that closes after a head without a length."""

    async def answer(
        req: message.Request, responder: server.Responder
    ) -> None:
        lines = platform_site.vouching_headers(req)
        if kind:
            lines.append((b"content-type", kind))
        responder._conn.closing = True
        responder.send_head(status, lines)

    return answer


def _request(path: str) -> bytes:
    if path.startswith(("/gen", "/res")):
        return test_gateway.generation(path)
    return (
        f"POST {path} HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: q1\r\n"
        "X-Deadline-Ms: 3000\r\nConnection: close\r\n"
        "Content-Length: 1\r\n\r\nx"
    ).encode()


@pytest.mark.parametrize("kind", [b"", b"text/event-stream", b"text/plain"])
@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/gen/x", "/res/x"])
def test_a_success_that_closes_after_its_head_is_not_whole(
    tmp_path: pathlib.Path, path: str, kind: bytes
) -> None:
    """It came to the client as a 200 with Content-Length: 0."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            for one in [*site.plain, *site.decode]:
                one.answer = _head_alone(200, kind)
            got = await site.raw(_request(path))
            if test_gateway.status(got) == 200:
                # A stream that had begun is broken off.
                assert b"content-length" not in got
                assert not got.endswith(b"0\r\n\r\n")
            else:
                assert test_gateway.status(got) in (502, 503, 504)

    asyncio.run(main())


def test_a_safe_request_is_sent_again_after_a_head_alone(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            site.plain[0].answer = _head_alone(200, b"")
            for _ in range(4):
                got = await site.raw(_request("/safe/x"))
                assert test_gateway.status(got) == 200
                assert got.endswith(b"from x")

    asyncio.run(main())


@pytest.mark.parametrize("status", [204, 404, 500])
def test_an_answer_that_needs_no_body_is_passed_on(
    tmp_path: pathlib.Path, status: int
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            for one in site.plain:
                one.answer = _head_alone(status, b"")
            got = await site.raw(_request("/unsafe/x"))
            assert test_gateway.status(got) == status

    asyncio.run(main())


def test_a_prefill_that_closes_after_its_head_is_not_used(
    tmp_path: pathlib.Path,
) -> None:
    """The stream is still answered whole, from a prompt read elsewhere."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            site.prefill.answer = _head_alone(200, b"application/json")
            got = await site.raw(_request("/res/x"))
            assert test_gateway.status(got) == 200
            assert got.count(b"data: ") == 3
            assert got.endswith(b"0\r\n\r\n")
            for one in site.decode:
                for req in one.requests:
                    assert message.find(req.headers, b"x-kv-source") is None

    asyncio.run(main())


def test_a_call_of_a_gateway_that_closes_after_its_head_grants_nothing(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            for one in site.decode:
                one.answer_hold = _head_alone(200, b"")
            got = await site.raw(_request("/res/x"))
            assert test_gateway.status(got) == 200
            for one in site.decode:
                for req in one.requests:
                    assert message.find(req.headers, b"x-kv-hold") is None

    asyncio.run(main())
