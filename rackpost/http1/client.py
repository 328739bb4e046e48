"""An HTTP/1.1 client connection that carries one request at a time.

Endpoints echo the request id: an answer with another id, or with none, is
skipped.  An endpoint may send an answer a second time, late, so that no id is
sent twice on one connection.  A connection that receives unsolicited bytes is
not reused.
"""

import asyncio
import collections
import enum
from typing import Callable
from typing import cast

import httptools

from rackpost import exceptions
from rackpost.http1 import message

# Reading pauses while more of an answer than this is unread.
_MAX_BUFFERED_BYTES = 256 << 10
# Requests after which a connection is closed; bounds the ids it remembers.
MAX_REQUESTS = 256
# Idle time of a connection whose endpoint sends no Keep-Alive timeout.
_DEFAULT_IDLE_S = 0.8
# Fraction of a Keep-Alive timeout that is used, so that this side closes
# first.
_IDLE_FRACTION = 0.6


class SkipReason(enum.Enum):
    """Why an answer was skipped."""

    OTHER_ID = "other-id"
    NO_ID = "no-id"


class ClientConnection(asyncio.Protocol):
    """A connection to an endpoint, used by one request at a time."""

    def __init__(
        self,
        *,
        id_header: bytes,
        on_closed: Callable[["ClientConnection"], None],
    ) -> None:
        """`on_closed` is called once the connection is closed."""
        self._loop = asyncio.get_running_loop()
        self._id_header = id_header
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._busy = False
        self._reusable = True
        self._open = False
        self._paused = False
        # The port by which both ends' logs identify the connection.
        self.local_port = 0
        self.opened_at = self._loop.time()
        # When bytes arrived last.
        self.received_at = self.opened_at
        # Hashes of the ids that were sent: ids may be as long as a header.
        self._sent_ids: set[int] = set()
        self.idle_until = 0.0
        self.requests = 0
        self._start_exchange(None, False)

    def _start_exchange(self, request_id: bytes | None, is_head: bool) -> None:
        self._request_id = request_id
        self._is_head = is_head
        self._headers: list[message.Header] = []
        self._has_headers = False
        self._head: message.Head | None = None
        self._skip = False
        # Answers skipped in the present exchange, and the last one's status.
        self.skipped: collections.Counter[SkipReason] = collections.Counter()
        self.skipped_status = 0
        self._chunks: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._done = False
        self._error: str | None = None
        self._wake: asyncio.Future[None] | None = None

    # For the user of the connection.

    @property
    def is_open(self) -> bool:
        """Whether a request can be sent on this connection."""
        return self._open and self._reusable and not self._busy

    def may_send(self, request_id: bytes | None) -> bool:
        """Whether a request's answer could be told from earlier ones."""
        return request_id is None or hash(request_id) not in self._sent_ids

    async def request(
        self,
        *,
        head: bytes,
        body: bytes,
        request_id: bytes | None,
        is_head: bool = False,
    ) -> message.Head:
        """Send a request and return the head of its answer.

        Raises ExchangeError, with `sent` false if nothing was written.
        """
        if not self.is_open or self._transport is None:
            raise exceptions.ExchangeError("closed before use", sent=False)
        if not self.may_send(request_id):
            raise exceptions.ExchangeError(
                "its id was sent before", sent=False
            )
        if request_id is not None:
            self._sent_ids.add(hash(request_id))
        self._start_exchange(request_id, is_head)
        self._busy = True
        self.requests += 1
        self._transport.write(head + body)
        while self._head is None:
            self._raise_error()
            await self._wait()
        return self._head

    async def read(self) -> bytes:
        """Return the next bytes of the body, b"" at its end."""
        while not self._chunks:
            if self._done:
                return b""
            self._raise_error()
            await self._wait()
        chunk = self._chunks.popleft()
        self._buffered_bytes -= len(chunk)
        if self._paused and self._buffered_bytes < _MAX_BUFFERED_BYTES // 2:
            self._resume()
        return chunk

    async def read_whole(self, limit: int) -> bytes:
        """Return the whole body; ExchangeError if it is cut or too long."""
        chunks = []
        size = 0
        while chunk := await self.read():
            chunks.append(chunk)
            size += len(chunk)
            if size > limit:
                raise exceptions.ExchangeError("the answer is too long")
        return b"".join(chunks)

    def release(self) -> bool:
        """End an exchange; return whether the connection can be reused."""
        if not self._done or not self._can_reuse():
            self.abort()
            return False
        self._busy = False
        return True

    def abort(self) -> None:
        """Close at once; the endpoint is expected to cancel the request."""
        self._reusable = False
        if self._transport is not None:
            self._transport.abort()

    def _can_reuse(self) -> bool:
        if not self._open or not self._reusable or self._transport is None:
            return False
        # Reading may be paused while bytes are unread.
        if self._chunks or self.requests >= MAX_REQUESTS:
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

    def _fail(self, reason: str) -> None:
        self._reusable = False
        if not self._done and self._error is None:
            self._error = reason
        self._notify()

    def _resume(self) -> None:
        self._paused = False
        if self._transport is not None and self._open:
            self._transport.resume_reading()

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record the open transport."""
        self._transport = cast(asyncio.Transport, transport)
        self._open = True
        sockname = transport.get_extra_info("sockname")
        if sockname is not None:
            self.local_port = sockname[1]

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        self.received_at = self._loop.time()
        if not self._busy or self._done:
            # Unsolicited bytes.
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
        """Handle the end of the stream; it ends a body without a length."""
        head = self._head
        if head is not None and head.framing is message.Framing.CLOSE:
            self._done = True
        self._fail("ended before the answer was whole")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail a running exchange."""
        self._open = False
        self._fail(f"connection lost: {exc or 'closed'}")
        self._on_closed(self)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Reset the headers for a new answer."""
        if self._done:
            self._reusable = False
        self._headers = []
        self._has_headers = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are dropped."""
        if not self._has_headers:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Accept the answer unless it is interim or of another request."""
        self._has_headers = True
        if self._done:
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._skip = True
            return
        reason = self._skip_reason()
        if reason is not None:
            self._skip = True
            self.skipped[reason] += 1
            self.skipped_status = status
            return
        self._skip = False
        self._accept_head(status)

    def _skip_reason(self) -> SkipReason | None:
        """Return why the answer is not the request's; None if it is."""
        echoed = message.find(self._headers, self._id_header)
        if self._request_id is None:
            # An endpoint may make an id up for a call without one.
            is_earlier = not self.may_send(echoed)
            return SkipReason.OTHER_ID if is_earlier else None
        if echoed is None:
            return SkipReason.NO_ID
        return None if echoed == self._request_id else SkipReason.OTHER_ID

    def _accept_head(self, status: int) -> None:
        headers = self._headers
        framing = _framing(status, headers)
        if self._is_head:
            framing = message.Framing.NONE
            self._reusable = False
            self._done = True
        self._head = message.Head(status, headers, framing)
        if not self._parser.should_keep_alive():
            self._reusable = False
        self.idle_until = self._loop.time() + _idle_s(headers)
        self._notify()

    def on_body(self, data: bytes) -> None:
        """Buffer a chunk of the body; pauses reading at the limit."""
        if self._skip or self._done:
            return
        self._chunks.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes > _MAX_BUFFERED_BYTES and not self._paused:
            if self._transport is not None:
                self._paused = True
                self._transport.pause_reading()
        self._notify()

    def on_message_complete(self) -> None:
        """Mark the answer as complete."""
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
    keep_alive = message.find(headers, b"keep-alive")
    if keep_alive is not None:
        for item in keep_alive.split(b","):
            key, _, value = item.strip().partition(b"=")
            if key.lower() == b"timeout" and value.isdigit():
                return int(value) * _IDLE_FRACTION
    return _DEFAULT_IDLE_S
