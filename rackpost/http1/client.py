"""One connection to an endpoint: a request at a time, its own answer.

Answers are told apart by the request id that endpoints echo: one that
belongs to an earlier request is skipped, and a connection on which bytes
arrive that nobody asked for is not used again.
"""

import asyncio
import collections
from typing import cast

import httptools

from rackpost import exceptions
from rackpost.http1 import message

# Reading pauses while this much of an answer waits for its reader.
_MAX_WAITING = 256 << 10
# An endpoint that tells no idle time is taken to keep a connection for
# this long; of a told time, this share is used.
_IDLE_UNTOLD_S = 0.8
_IDLE_SHARE = 0.6


class ClientConnection(asyncio.Protocol):
    """A connection to an endpoint, owned by one request at a time."""

    def __init__(self, *, id_header: bytes) -> None:
        self._loop = asyncio.get_running_loop()
        self._id_header = id_header
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._busy = False
        self._clean = True
        self._open = False
        self._paused = False
        self.idle_until = 0.0
        self.used = 0
        self.skipped = 0
        self._start_exchange(None, False)

    def _start_exchange(self, request_id: bytes | None, is_head: bool) -> None:
        self._request_id = request_id
        self._is_head = is_head
        self._headers: list[message.Header] = []
        self._has_headers = False
        self._head: message.Head | None = None
        self._skip = False
        self._chunks: collections.deque[bytes] = collections.deque()
        self._waiting = 0
        self._done = False
        self._error: str | None = None
        self._wake: asyncio.Future[None] | None = None

    # Commands and queries of the owner.

    @property
    def is_open(self) -> bool:
        """Whether a request can be sent on this connection."""
        return self._open and self._clean and not self._busy

    async def request(
        self,
        *,
        head: bytes,
        body: bytes,
        request_id: bytes | None,
        is_head: bool = False,
    ) -> message.Head:
        """Send a request and wait for the head of its answer.

        Raises ExchangeError; its `sent` is false if nothing went out.
        """
        if not self.is_open or self._transport is None:
            raise exceptions.ExchangeError("closed before use", sent=False)
        self._start_exchange(request_id, is_head)
        self._busy = True
        self.used += 1
        self._transport.write(head + body)
        while self._head is None:
            self._raise_error()
            await self._wait()
        return self._head

    async def read(self) -> bytes:
        """The next bytes of the body, b"" once it is whole."""
        while not self._chunks:
            if self._done:
                return b""
            self._raise_error()
            await self._wait()
        chunk = self._chunks.popleft()
        self._waiting -= len(chunk)
        if self._paused and self._waiting < _MAX_WAITING // 2:
            self._resume()
        return chunk

    async def read_whole(self, limit: int) -> bytes:
        """All of the body; ExchangeError where it is cut or too long."""
        parts = []
        size = 0
        while chunk := await self.read():
            parts.append(chunk)
            size += len(chunk)
            if size > limit:
                raise exceptions.ExchangeError("the answer is too long")
        return b"".join(parts)

    def release(self) -> bool:
        """End an exchange; whether the connection can be used again."""
        if not self._done or not self._can_go_on():
            self.abort()
            return False
        self._busy = False
        return True

    def abort(self) -> None:
        """Close at once; the endpoint drops what it does for us."""
        self._clean = False
        if self._transport is not None:
            self._transport.abort()

    def _can_go_on(self) -> bool:
        if not self._open or not self._clean or self._transport is None:
            return False
        # An endpoint may answer before it has read the whole request.
        return self._transport.get_write_buffer_size() == 0

    # Waiting.

    async def _wait(self) -> None:
        self._wake = self._loop.create_future()
        try:
            await self._wake
        finally:
            self._wake = None

    def _notify(self) -> None:
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)

    def _raise_error(self) -> None:
        if self._error is not None:
            raise exceptions.ExchangeError(self._error)

    def _fail(self, why: str) -> None:
        self._clean = False
        if not self._done and self._error is None:
            self._error = why
        self._notify()

    def _resume(self) -> None:
        self._paused = False
        if self._transport is not None and self._open:
            self._transport.resume_reading()

    # What the transport calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        self._transport = cast(asyncio.Transport, transport)
        self._open = True

    def data_received(self, data: bytes) -> None:
        """Bytes have arrived."""
        if not self._busy or self._done:
            # Nobody asked for these.
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as exc:
            self._fail(f"not an answer: {exc}")

    def eof_received(self) -> bool:
        """The endpoint has ended its side."""
        head = self._head
        if head is not None and head.framing is message.Framing.CLOSE:
            self._done = True
        self._fail("ended before the answer was whole")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone."""
        self._open = False
        self._fail(f"connection lost: {exc or 'closed'}")

    # What the parser calls.

    def on_message_begin(self) -> None:
        """An answer begins."""
        if self._done:
            self._clean = False
        self._headers = []
        self._has_headers = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header of the answer; trailers are none, and are dropped."""
        if not self._has_headers:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """All headers are there: see whose answer it is."""
        self._has_headers = True
        if self._done:
            return
        status = self._parser.get_status_code()
        echoed = message.find(self._headers, self._id_header)
        foreign = echoed is not None and echoed != self._request_id
        if self._request_id is not None and foreign:
            self.skipped += 1
            self._skip = True
            return
        if status < 200:
            self._skip = True
            return
        self._skip = False
        self._take_head(status)

    def _take_head(self, status: int) -> None:
        headers = self._headers
        framing = _framing(status, headers)
        if self._is_head:
            framing = message.Framing.NONE
            self._clean = False
            self._done = True
        self._head = message.Head(status, headers, framing)
        if not self._parser.should_keep_alive():
            self._clean = False
        self.idle_until = self._loop.time() + _idle_s(headers)
        self._notify()

    def on_body(self, data: bytes) -> None:
        """A part of the body."""
        if self._skip or self._done:
            return
        self._chunks.append(data)
        self._waiting += len(data)
        if self._waiting > _MAX_WAITING and not self._paused:
            if self._transport is not None:
                self._paused = True
                self._transport.pause_reading()
        self._notify()

    def on_message_complete(self) -> None:
        """The answer is whole."""
        if self._skip:
            self._skip = False
            return
        self._done = True
        self._notify()


def _framing(status: int, headers: list[message.Header]) -> message.Framing:
    if message.has_no_body(status):
        return message.Framing.NONE
    coding = message.find(headers, b"transfer-encoding")
    if coding is not None and b"chunked" in coding.lower():
        return message.Framing.CHUNKED
    if message.find(headers, b"content-length") is not None:
        return message.Framing.LENGTH
    return message.Framing.CLOSE


def _idle_s(headers: list[message.Header]) -> float:
    told = message.find(headers, b"keep-alive")
    if told is not None:
        for item in told.split(b","):
            key, _, value = item.strip().partition(b"=")
            if key.lower() == b"timeout" and value.isdigit():
                return int(value) * _IDLE_SHARE
    return _IDLE_UNTOLD_S
