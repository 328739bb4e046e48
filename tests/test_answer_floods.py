"""Endpoints that send bytes without end: cut off early, within the memory."""

import asyncio
import contextlib
import pathlib

import pytest

from rackpost.decide import buffer_budget
from rackpost import exceptions
from rackpost.http1 import client
from rackpost.http1 import events
from tests import platform_site
from tests import test_http1_client

_BLOCK = b"x" * (64 << 10)
_OK = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Request-Id: r1\r\n"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n"
_OTHER = b"HTTP/1.1 200 OK\r\nX-Id: r0\r\n"
# What is sent first, and then without end.
_HEADS = {
    "header value": (_OK + b"X: ", _BLOCK),
    "header name": (_OK, _BLOCK),
    "header lines": (_OK, b"x: y\r\n" * 10_000),
    "reason phrase": (b"HTTP/1.1 200 ", _BLOCK),
    "line ends": (b"", b"\r\n" * 32_000),
    "interim answers": (b"", b"HTTP/1.1 102 -\r\n\r\n" * 3_000),
    "late answers": (b"", (_OTHER + b"Content-Length: 0\r\n\r\n") * 1_000),
    "late body": (_OTHER + b"\r\n", _BLOCK),
    "late header": (_OTHER + b"X: ", _BLOCK),
    "chunk extension": (_CHUNKED + b"\r\n1;x=", _BLOCK),
    "trailer": (_CHUNKED + b"\r\n0\r\nX: ", _BLOCK),
    "trailer lines": (_CHUNKED + b"\r\n0\r\n", b"x: y\r\n" * 10_000),
}
_BODIES = {
    "body": (_OK + b"\r\n", _BLOCK),
    "body with a length": (
        _OK + b"Content-Length: 4000000000\r\n\r\n",
        _BLOCK,
    ),
    "one-byte chunks": (_CHUNKED + b"\r\n", b"1\r\nx\r\n" * 10_000),
}
_WHOLE_BYTES = 1 << 20
# Answers that are skipped may be as long as any answer.
_MAX_SENT_BYTES = 18 << 20
_MAX_HELD_BYTES = _WHOLE_BYTES + (1 << 20)


class _Transport(test_http1_client._Transport):
    """Records whether the connection was aborted."""

    def __init__(self) -> None:
        super().__init__()
        self.is_open = True
        self.is_paused = False

    def pause_reading(self) -> None:
        self.is_paused = True

    def resume_reading(self) -> None:
        self.is_paused = False

    def abort(self) -> None:
        self.is_open = False


class _Exchange:
    """An exchange with an endpoint that sends without end."""

    def __init__(self, *, budget: buffer_budget.BufferBudget) -> None:
        self.budget = budget
        self.transport = _Transport()
        self.conn = client.ClientConnection(
            id_header=b"x-id", on_closed=lambda conn: None, answers=budget
        )
        self.conn.connection_made(self.transport)
        self.task = asyncio.create_task(self._run())

    async def _run(self) -> str:
        try:
            await self.conn.request(head=b"-", body=b"", request_id=b"r1")
            await self.conn.read_whole(_WHOLE_BYTES)
        except exceptions.ExchangeError as exc:
            return str(exc)
        finally:
            self.conn.release()
        return ""

    async def receive(self, data: bytes) -> None:
        """Receive bytes, and let what waits for them run."""
        self.conn.data_received(data)
        for _ in range(3):
            await asyncio.sleep(0)


@pytest.mark.parametrize("form", [*_HEADS, *_BODIES])
def test_an_answer_without_end_is_cut_off_early(form: str) -> None:
    """It was read until the deadline, or held in memory for ever."""

    async def main() -> None:
        budget = buffer_budget.BufferBudget(max_bytes=64 << 20)
        exchange = _Exchange(budget=budget)
        await asyncio.sleep(0)
        first, block = {**_HEADS, **_BODIES}[form]
        await exchange.receive(first)
        sent = 0
        while exchange.transport.is_open:
            await exchange.receive(block)
            sent += len(block)
            assert sent <= _MAX_SENT_BYTES
            assert budget.held_bytes <= _MAX_HELD_BYTES
        assert await exchange.task
        assert budget.held_bytes == 0

    asyncio.run(main())


def test_all_answers_together_stay_within_their_budget() -> None:
    """Each of them was allowed 16 MB."""

    async def main() -> None:
        budget = buffer_budget.BufferBudget(max_bytes=1 << 20)
        found = [_Exchange(budget=budget) for _ in range(8)]
        await asyncio.sleep(0)
        head = _OK + b"Content-Length: 1000000\r\n\r\n"
        for number, exchange in enumerate(found):
            await exchange.receive(head + b"x" * (50_000 * number))
            assert budget.held_bytes <= 1 << 20
        cut = [one for one in found if not one.transport.is_open]
        assert 0 < len(cut) < 4
        for one in cut:
            assert "together" in await one.task
        assert found[0].transport.is_open
        for one in found:
            one.task.cancel()

    asyncio.run(main())


def test_a_whole_answer_that_is_shed_does_not_look_complete() -> None:
    """It has arrived and not been taken yet, as others fill the memory."""

    async def main() -> None:
        budget = buffer_budget.BufferBudget(max_bytes=1 << 20)
        exchange = _Exchange(budget=budget)
        await asyncio.sleep(0)
        exchange.conn.data_received(
            _OK + b"Content-Length: 5\r\n\r\n" + b"whole"
        )
        exchange.conn.shed()
        assert "together" in await exchange.task

    asyncio.run(main())


def test_streams_wait_at_their_endpoints_beyond_the_memory() -> None:
    """400 clients that stall must not break off each other's streams."""

    async def main() -> None:
        budget = buffer_budget.BufferBudget(max_bytes=1 << 20)
        conns = []
        for number in range(400):
            transport = _Transport()
            conn = client.ClientConnection(
                id_header=b"x-id", on_closed=lambda conn: None, answers=budget
            )
            conn.connection_made(transport)
            own = asyncio.create_task(
                conn.request(head=b"-", body=b"", request_id=b"r1")
            )
            await asyncio.sleep(0)
            conn.data_received(_OK + b"\r\n")
            await own
            while not transport.is_paused:
                conn.data_received(b"x" * 4096)
            conns.append(conn)
            assert transport.is_open
        # Each of them may hold a little beyond the budget.
        assert budget.held_bytes < (1 << 20) + 400 * (24 << 10)
        for conn in conns:
            assert (await conn.read()).strip(b"x") == b""

    asyncio.run(main())


def test_the_end_of_a_connection_completes_no_answer_that_was_cut() -> None:
    """A body without a length ends with its connection."""

    async def main() -> None:
        budget = buffer_budget.BufferBudget(max_bytes=1 << 20)
        exchange = _Exchange(budget=budget)
        await asyncio.sleep(0)
        await exchange.receive(_OK + b"\r\npart")
        exchange.conn.shed()
        exchange.conn.eof_received()
        exchange.conn.connection_lost(None)
        assert "together" in await exchange.task

    asyncio.run(main())


def test_what_follows_a_whole_answer_does_not_spoil_it() -> None:
    async def main() -> None:
        budget = buffer_budget.BufferBudget(max_bytes=64 << 20)
        exchange = _Exchange(budget=budget)
        await asyncio.sleep(0)
        for _, block in _HEADS.values():
            exchange.conn.data_received(
                _OK + b"Content-Length: 5\r\n\r\nwhole" + _OK + block * 4
            )
            assert await exchange.task == ""
            assert not exchange.conn.is_open
            exchange = _Exchange(budget=budget)
            await asyncio.sleep(0)
        exchange.task.cancel()

    asyncio.run(main())


class _Endless:
    """An endpoint that answers each request with bytes without end."""

    def __init__(self, *, first: bytes, block: bytes) -> None:
        self._first = first
        self._block = block
        self.sent_bytes = 0
        self.requests = 0

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            ident = head.partition(b"x-request-id: ")[2].partition(b"\r")[0]
            self.requests += 1
            writer.write(self._first.replace(b"r1", ident))
            while True:
                writer.write(self._block)
                await writer.drain()
                self.sent_bytes += len(self._block)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def running(self) -> contextlib.AbstractAsyncContextManager[str]:
        return platform_site.listening(self._serve)


_STREAM = (
    _CHUNKED
    + b"X-Response-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n"
    + b"7\r\ndata: x\r\n"
)
_EVENT = b"10000\r\n" + b"x" * (1 << 16) + b"\r\n"


@pytest.mark.parametrize(
    "first, block",
    [_HEADS["header value"], _HEADS["interim answers"], (_STREAM, _EVENT)],
    ids=["header value", "interim answers", "event"],
)
def test_a_gateway_cuts_off_an_answer_without_end(
    tmp_path: pathlib.Path, first: bytes, block: bytes
) -> None:
    """Four requests took a gateway to 710 MB more, within 3 s."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            endless = _Endless(first=first, block=block)
            async with endless.running() as address:
                one, other = site.plain
                await site.operator.leave(11, other)
                one.address = address
                await site.operator.send_heartbeat(11, one)
                alive = site.gateway.site.table.alive
                await platform_site.until(
                    lambda: other.ident not in alive
                    and alive[one.ident].address == address
                )
                got = await site.raw(
                    b"GET /safe/x HTTP/1.1\r\nHost: site.example\r\n"
                    b"X-Request-Id: q1\r\nX-Deadline-Ms: 9000\r\n"
                    b"Connection: close\r\n\r\n"
                )
            # What the kernel holds for a connection is more than is read.
            assert endless.sent_bytes <= 32 << 20
            assert endless.requests > 0
            assert b" 502 " in got[:14] or not got.endswith(b"0\r\n\r\n")

    asyncio.run(main())


def test_a_long_event_is_split_in_little_time() -> None:
    """Each part of it was searched from the first byte of the event on."""
    splitter = events.Splitter()
    for _ in range(20_000):
        assert not splitter.feed(b"0123456789")
    assert len(splitter.feed(b"\n\n")) == 1
    assert splitter.feed(b"a\n") == []
    assert len(splitter.feed(b"\nb\n\nc\n\n")) == 3
