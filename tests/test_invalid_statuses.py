"""An answer with a status that HTTP does not have is no answer."""

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

_INVALID = ("000", "001", "099", "101", "150", "199", "600", "666", "999")
# The client's deadline is 3 s; an answer that is awaited until then is late.
_SOON_S = 1.5
_OWN_ANSWER = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok"


def _status_lines() -> list[bytes]:
    lines = [b"HTTP/1.1 %b Odd" % status.encode() for status in _INVALID]
    return [*lines, b"HTTP/0.9 200 OK", b"HTTP/2.0 200 OK", b"HTTP/1.1 20 OK"]


async def _exchange(*received: bytes, kept: bool = False) -> bytes:
    """Return the body of the answer to r1 on one connection.

    With `kept`, a request r0 was answered on it before.
    """
    conn = client.ClientConnection(
        id_header=b"x-id",
        on_closed=lambda closed: None,
        answers=buffer_budget.BufferBudget(max_bytes=1 << 20),
    )
    conn.connection_made(test_http1_client._Transport())
    if kept:
        conn._sent_ids.add(hash(b"r0"))

    async def own() -> bytes:
        head = await conn.request(head=b"-", body=b"", request_id=b"r1")
        assert head.status == 200
        return await conn.read_whole(1000)

    task = asyncio.create_task(own())
    await asyncio.sleep(0)
    for data in received:
        conn.data_received(data)
    async with asyncio.timeout(1.0):
        return await task


_BODIES = {
    "with a body": b"Content-Length: 3\r\n\r\nodd",
    "in chunks": b"Transfer-Encoding: chunked\r\n\r\n1\r\no\r\n",
    "empty": b"Content-Length: 0\r\n\r\n",
    "without a length": b"\r\n",
}


def _cases() -> list[tuple[bytes, str]]:
    return [
        (line, body)
        for line in _status_lines()
        for body in _BODIES
        # Interim answers of a class that clients have to know.
        if body != "without a length" or line.split()[1][:1] != b"1"
    ]


@pytest.mark.parametrize("ident", [b"", b"X-Id: r1\r\n"])
@pytest.mark.parametrize("line, body", _cases())
def test_a_status_line_that_http_does_not_have_breaks_the_exchange(
    line: bytes, body: str, ident: bytes
) -> None:
    """The request waited for another answer until its deadline."""
    end = _BODIES[body]
    with pytest.raises(exceptions.ExchangeError):
        asyncio.run(_exchange(line + b"\r\n" + ident + end))


@pytest.mark.parametrize("status", [100, 102, 103, 104, 199])
def test_an_interim_answer_without_a_body_is_passed_over(status: int) -> None:
    interim = b"HTTP/1.1 %d -\r\nLink: x\r\n\r\n" % status
    assert asyncio.run(_exchange(interim, _OWN_ANSWER)) == b"ok"
    assert asyncio.run(_exchange(interim + interim + _OWN_ANSWER)) == b"ok"


@pytest.mark.parametrize("status", [b"000", b"199", b"999"])
def test_a_late_answer_with_such_a_status_does_not_break_the_next(
    status: bytes,
) -> None:
    late = b"HTTP/1.1 %b -\r\nX-Id: r0\r\nContent-Length: 2\r\n\r\nno"
    late %= status
    assert asyncio.run(_exchange(late, _OWN_ANSWER, kept=True)) == b"ok"


def _with_status(status: str, kind: bytes) -> platform_site.Answer:
    async def answer(
        req: message.Request, responder: server.Responder
    ) -> None:
        lines = platform_site.vouching_headers(req)
        lines += [(b"content-type", kind), (b"content-length", b"3")]
        text = b"".join(b"%b: %b\r\n" % item for item in lines)
        head = b"HTTP/1.1 %b Odd\r\n%b\r\nodd" % (status.encode(), text)
        responder._conn._transport.write(head)
        # The endpoint keeps the connection open.
        await asyncio.sleep(10)

    return answer


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/gen/x", "/res/x"])
@pytest.mark.parametrize("status", _INVALID)
def test_clients_get_no_status_that_http_does_not_have(
    status: str, path: str, tmp_path: pathlib.Path
) -> None:
    """It was passed on signed, or awaited until the deadline (504)."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            kind = b"text/event-stream" if "e" not in path[:3] else b"text/x"
            for one in [*site.plain, *site.decode, site.prefill]:
                one.answer = _with_status(status, kind)
            data = test_gateway.request(path, b"x")
            if path in ("/gen/x", "/res/x"):
                data = test_gateway.generation(path)
            async with asyncio.timeout(_SOON_S):
                got = await site.raw(data)
            assert test_gateway.status(got) in (502, 503)
            assert b"seal" not in got
            if path == "/unsafe/x":
                # It may have run.
                assert test_gateway.status(got) == 502
                sent = sum(len(one.requests) for one in site.plain)
                assert sent == 1

    asyncio.run(main())


@pytest.mark.parametrize("status", _INVALID)
def test_a_safe_request_is_sent_again_after_such_a_status(
    status: str, tmp_path: pathlib.Path
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            faulty: list[bytes] = []
            fault = _with_status(status, b"text/plain")

            async def answer(
                req: message.Request, responder: server.Responder
            ) -> None:
                # The endpoint that is chosen first stays the faulty one.
                ident = message.find(req.headers, b"x-expect-instance") or b""
                if not faulty:
                    faulty.append(ident)
                if ident != faulty[0]:
                    lines = platform_site.vouching_headers(req)
                    responder.send(200, lines, b"sound")
                    return
                await fault(req, responder)

            test_gateway.all_answer(site, answer)
            for number in range(4):
                data = test_gateway.request("/safe/x", b"x", f"r{number}")
                async with asyncio.timeout(_SOON_S):
                    got = await site.raw(data)
                assert test_gateway.status(got) == 200
                assert got.endswith(b"sound")
            counts = {
                one.ident.encode(): len(one.requests) for one in site.plain
            }
            # It counts against the endpoint.
            assert 1 <= counts[faulty[0]] < 4

    asyncio.run(main())
