"""How a client connection reads an endpoint's answer."""

import asyncio
import contextlib
import itertools

import hypothesis
from hypothesis import strategies
import pytest

from rackpost.decide import buffer_budget
from rackpost import exceptions
from rackpost.http1 import client
from rackpost.http1 import message
from rackpost.http1 import pool as pool_mod

ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nok\r\n0\r\nX-Late: 1\r\n\r\n"
)


def test_trailers_of_an_answer_are_not_headers() -> None:
    """Trailers were forwarded to the client as headers of the endpoint."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(ANSWER)

    async def exchange(conn: client.ClientConnection) -> message.Head:
        head = await conn.request(
            head=b"GET / HTTP/1.1\r\nX-Id: r1\r\n\r\n",
            body=b"",
            request_id=b"r1",
        )
        assert await conn.read_whole(100) == b"ok"
        return head

    async def main() -> None:
        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        pool = pool_mod.Pool(id_header=b"x-id")
        async with listener:
            address = f"127.0.0.1:{port}"
            async with pool.connection(address, limit=1) as conn:
                head = await exchange(conn)
            assert message.find(head.headers, b"x-late") is None
            pool.close()

    asyncio.run(main())


_CALL = b"GET / HTTP/1.1\r\n\r\n"
_OWN_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"


@pytest.mark.parametrize(
    "before, expected",
    [
        (b"HTTP/1.1 503 -\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n", b"own"),
        # An endpoint that makes an id up for a call without one.
        (b"HTTP/1.1 200 -\r\nX-Id: e7\r\nContent-Length: 2\r\n\r\nok", b"ok"),
    ],
)
def test_a_call_without_an_id_skips_answers_to_earlier_requests(
    before: bytes, expected: bytes
) -> None:
    """A late answer to a request was taken for that of the next call."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            b"HTTP/1.1 200 -\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n"
        )
        await reader.readuntil(b"\r\n\r\n")
        writer.write(before + _OWN_ANSWER)

    async def main() -> None:
        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        pool = pool_mod.Pool(id_header=b"x-id")
        address = f"127.0.0.1:{port}"
        async with listener:
            async with pool.connection(address, limit=1) as conn:
                await conn.request(head=_CALL, body=b"", request_id=b"r1")
                assert await conn.read_whole(100) == b""
            async with pool.connection(address, limit=1) as conn:
                await conn.request(head=_CALL, body=b"", request_id=None)
                assert await conn.read_whole(100) == expected
            pool.close()

    asyncio.run(main())


async def _exchange_whole(sent: list[bytes]) -> tuple[bytes | None, bool]:
    """Let an endpoint send `sent` for one request with the id r1.

    Returns the body, None if there was no whole answer, and whether the
    connection was kept.
    """

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        for item in sent:
            writer.write(item)
            await writer.drain()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    pool = pool_mod.Pool(id_header=b"x-id")
    body = None
    async with listener:
        with contextlib.suppress(exceptions.ExchangeError):
            async with pool.connection(f"127.0.0.1:{port}", limit=1) as conn:
                await conn.request(head=_CALL, body=b"", request_id=b"r1")
                body = await conn.read_whole(1 << 20)
        kept = conn.is_open
        pool.close()
    return body, kept


_LATE = b"HTTP/1.1 503 -\r\nX-Id: r0\r\nContent-Length: 4\r\n\r\nlate"
_OWN_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
)
_OWN_BODY = b"3\r\nown\r\n0\r\n\r\n"


@pytest.mark.parametrize(
    "sent, body, kept",
    [
        ([_LATE + _OWN_HEAD + _OWN_BODY], b"own", True),
        ([_LATE[:9], _LATE[9:] + _OWN_HEAD, _OWN_BODY], b"own", True),
        ([_OWN_HEAD + _OWN_BODY + _LATE], b"own", False),
        ([_OWN_HEAD + _LATE + _OWN_BODY], None, False),
    ],
    ids=["before", "in parts", "behind", "between head and body"],
)
def test_a_late_answer_in_the_same_segment_is_no_part_of_the_answer(
    sent: list[bytes], body: bytes | None, kept: bool
) -> None:
    """Another request's bytes would be passed on as the answer."""
    assert asyncio.run(_exchange_whole(sent)) == (body, kept)


class _Transport(asyncio.Transport):
    """Takes what is written, and records what is done to it."""

    def __init__(self) -> None:
        super().__init__()
        self.is_paused = False
        self.is_aborted = False

    def write(self, data: object) -> None:
        pass

    def abort(self) -> None:
        self.is_aborted = True

    def get_write_buffer_size(self) -> int:
        return 0

    def pause_reading(self) -> None:
        self.is_paused = True

    def resume_reading(self) -> None:
        self.is_paused = False


def _connect(transport: _Transport) -> client.ClientConnection:
    conn = client.ClientConnection(
        id_header=b"x-id",
        on_closed=lambda closed: None,
        answers=buffer_budget.BufferBudget(max_bytes=1 << 20),
    )
    conn.connection_made(transport)
    return conn


@pytest.mark.parametrize("reads", [False, True], ids=["unread", "too long"])
def test_a_connection_with_unread_bytes_is_not_kept(reads: bool) -> None:
    """Its reading stayed paused, so that the next answer never arrived."""

    async def main() -> None:
        transport = _Transport()
        conn = _connect(transport)
        exchange = asyncio.create_task(
            conn.request(head=_CALL, body=b"", request_id=b"r1")
        )
        await asyncio.sleep(0)
        # The whole answer in one segment, larger than what is buffered.
        conn.data_received(_answer(200, b"r1", b"x" * 300_000, False))
        await exchange
        assert transport.is_paused
        if reads:
            with pytest.raises(exceptions.ExchangeError):
                await conn.read_whole(1000)
        assert not conn.release()
        assert not conn.is_open and transport.is_aborted

    asyncio.run(main())


def _answer(status: int, ident: bytes, body: bytes, chunked: bool) -> bytes:
    """Return an answer; one without an id if that is empty."""
    lines = [b"HTTP/1.1 %d -" % status]
    if ident:
        lines.append(b"X-Id: " + ident)
    if chunked:
        lines.append(b"Transfer-Encoding: chunked")
        pieces = [body[at : at + 3] for at in range(0, len(body), 3)]
        body = b"".join(b"%x\r\n%b\r\n" % (len(one), one) for one in pieces)
        body += b"0\r\n\r\n"
    else:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


_STATUSES = strategies.sampled_from([200, 404, 421, 500, 503])
_LATE_ANSWERS = strategies.lists(
    strategies.one_of(
        strategies.builds(
            _answer,
            _STATUSES,
            strategies.sampled_from([b"r0", b""]),
            strategies.sampled_from([b"", b"late", b"HTTP/1.1 200 OK\r\n"]),
            strategies.booleans(),
        ),
        strategies.just(b"HTTP/1.1 100 Continue\r\n\r\n"),
    ),
    max_size=4,
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
@hypothesis.given(
    status=_STATUSES,
    chunked=strategies.booleans(),
    before=_LATE_ANSWERS,
    behind=_LATE_ANSWERS,
    cuts=strategies.sets(strategies.integers(1, 600), max_size=6),
)
def test_only_its_own_answer_reaches_a_request(
    status: int,
    chunked: bool,
    before: list[bytes],
    behind: list[bytes],
    cuts: set[int],
) -> None:
    """Whatever comes late before it or behind it, and however it is cut."""
    own = _answer(status, b"r1", b"own body", chunked)
    sent = b"".join([*before, own, *behind])
    inner = sorted(at for at in cuts if at < len(sent))
    bounds = [0, *inner, len(sent)]

    async def main() -> None:
        conn = _connect(_Transport())
        for ident, segments in (
            (b"r0", [_answer(200, b"r0", b"", False)]),
            (b"r1", [sent[a:b] for a, b in itertools.pairwise(bounds)]),
        ):
            exchange = asyncio.create_task(_exchange(conn, ident))
            await asyncio.sleep(0)
            for segment in segments:
                conn.data_received(segment)
                await asyncio.sleep(0)
            found = await exchange
            conn.release()
        assert found == (status, b"own body")
        # What came behind it can't meet the next request.
        assert conn.is_open is not any(behind)

    asyncio.run(main())


async def _exchange(
    conn: client.ClientConnection, ident: bytes
) -> tuple[int, bytes]:
    head = await conn.request(head=_CALL, body=b"", request_id=ident)
    return head.status, await conn.read_whole(1000)
