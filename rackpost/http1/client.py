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

from rackpost.decide import buffer_budget
from rackpost import exceptions
from rackpost.http1 import message
from rackpost.http1 import parser_feed

# Reading pauses while more of an answer than this is unread; the second where
# the budget for all answers has no room.
_MAX_BUFFERED_BYTES = 256 << 10
_MIN_BUFFERED_BYTES = 16 << 10
# Bytes of heads and trailers in one exchange, of interim and late answers too.
_MAX_HEAD_BYTES = 64 << 10
# Heads in one exchange; those of interim answers may be empty.
_MAX_HEADS = 64
# Bytes of late answers that are skipped in one exchange.
_MAX_SKIPPED_BYTES = 16 << 20
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


class ClientConnection(asyncio.Protocol, buffer_budget.Holder):
    """A connection to an endpoint, used by one request at a time."""

    def __init__(
        self,
        *,
        id_header: bytes,
        on_closed: Callable[["ClientConnection"], None],
        answers: buffer_budget.BufferBudget,
    ) -> None:
        """`on_closed` is called once the connection is closed.

        `answers` bounds what is held of the answers on all connections.
        """
        self._loop = asyncio.get_running_loop()
        self._id_header = id_header
        self._on_closed = on_closed
        self._answers = answers
        self._transport: asyncio.Transport | None = None
        # None once the connection is lost.
        self._parser: httptools.HttpResponseParser | None = (
            httptools.HttpResponseParser(self)
        )
        self._feed = parser_feed.ParserFeed()
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
        self._head_bytes = 0
        self._heads = 0
        self._skipped_bytes = 0
        # What has arrived of the body, and what `read_whole` has taken of it.
        self._buffer = bytearray()
        self._whole = bytearray()
        self._reads_whole = False
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
        """Return the bytes of the body that have arrived, b"" at its end."""
        while not self._buffer:
            if self._done:
                return b""
            self._raise_error()
            await self._wait()
        chunk = bytes(self._buffer)
        self._buffer.clear()
        self._record_held()
        if self._paused:
            self._resume()
        return chunk

    async def read_whole(self, limit: int) -> bytes:
        """Return the whole body; ExchangeError if it is cut or too long."""
        self._reads_whole = True
        while chunk := await self.read():
            self._whole += chunk
            self._record_held()
            if len(self._whole) > limit:
                self._cut("the answer is too long")
                raise exceptions.ExchangeError("the answer is too long")
        whole = bytes(self._whole)
        self._whole.clear()
        self._record_held()
        return whole

    def release(self) -> bool:
        """End an exchange; return whether the connection can be reused."""
        is_reusable = self._done and self._can_reuse()
        self._drop()
        if not is_reusable:
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
        if self._buffer or self.requests >= MAX_REQUESTS:
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

    # What is held of answers.

    @property
    def can_shed(self) -> bool:
        """Whether a head or a whole answer is being read.

        A stream waits at its endpoint instead.
        """
        return self._busy and (self._reads_whole or self._head is None)

    def shed(self) -> None:
        """Break the answer off: others need the memory."""
        # It may have arrived whole and not have been taken yet.
        self._done = False
        self._cut("all answers together are too large")

    def _record_held(self) -> None:
        held_bytes = len(self._buffer) + len(self._whole)
        held_bytes += self._feed.kept_bytes + self._head_bytes
        for holder in self._answers.record(self, held_bytes):
            holder.shed()

    def _cut(self, reason: str) -> None:
        """Break off an answer without end; the endpoint sees a close."""
        if self._done:
            # The answer is whole; what follows belongs to no request.
            self._reusable = False
            return
        self._fail(reason)
        self._drop()
        self.abort()

    def _drop(self) -> None:
        """Release what is held of the answer."""
        self._headers = []
        self._head_bytes = 0
        self._buffer.clear()
        self._whole.clear()
        self._feed.kept_bytes = 0
        self._record_held()

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
        if not self._busy or self._done or self._parser is None:
            # Unsolicited bytes.
            self.abort()
            return
        if self._error is not None:
            return
        try:
            is_bounded = self._feed.feed(
                self._parser,
                data,
                max_kept=_MAX_HEAD_BYTES,
                is_ended=lambda: self._error is not None,
            )
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as exc:
            self._fail(f"not an answer: {exc}")
        else:
            if not is_bounded:
                self._cut("a part of the answer is too long")
        self._record_held()

    def eof_received(self) -> bool:
        """Handle the end of the stream; it ends a body without a length."""
        head = self._head
        if (
            head is not None
            and head.framing is message.Framing.CLOSE
            and self._error is None
        ):
            self._done = True
        self._fail("ended before the answer was whole")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail a running exchange."""
        self._open = False
        self._fail(f"connection lost: {exc or 'closed'}")
        # The parser refers to this object as well: without the cycle the
        # memory of both is free at once.
        self._parser = None
        self._on_closed(self)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Reset the headers for a new answer."""
        self._feed.record_progress()
        if self._done:
            self._reusable = False
        self._headers = []
        self._has_headers = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are dropped."""
        self._feed.record_progress()
        if self._error is not None:
            return
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > _MAX_HEAD_BYTES:
            self._cut("its head is too long")
            return
        if not self._has_headers:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Accept the answer unless it is interim or of another request."""
        self._feed.record_progress()
        self._has_headers = True
        if self._done or self._error is not None or self._parser is None:
            return
        self._heads += 1
        if self._heads > _MAX_HEADS:
            self._cut("too many answers")
            return
        status = self._parser.get_status_code()
        if _is_interim(status, self._headers):
            self._skip = True
            return
        reason = self._skip_reason()
        if reason is not SkipReason.OTHER_ID:
            # A late answer is skipped whatever its status is.
            invalid = _invalid_reason(status, self._parser.get_http_version())
            if invalid:
                self._cut(f"not an answer: {invalid}")
                return
        if reason is not None:
            self._skip = True
            self.skipped[reason] += 1
            self.skipped_status = status
            return
        self._skip = False
        self._accept_head(status, self._parser.should_keep_alive())

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

    def _accept_head(self, status: int, keeps_alive: bool) -> None:
        headers = self._headers
        framing = _framing(status, headers)
        if self._is_head:
            framing = message.Framing.NONE
            self._reusable = False
            self._done = True
        self._head = message.Head(status, headers, framing)
        if not keeps_alive:
            self._reusable = False
        self.idle_until = self._loop.time() + _idle_s(headers)
        self._notify()

    def on_body(self, data: bytes) -> None:
        """Buffer a part of the body; pauses reading at the limit."""
        self._feed.record_progress()
        if self._done or self._error is not None:
            return
        if self._skip:
            self._skipped_bytes += len(data)
            if self._skipped_bytes > _MAX_SKIPPED_BYTES:
                self._cut("a late answer is too long")
            return
        self._buffer += data
        if len(self._buffer) > self._max_buffered() and not self._paused:
            if self._transport is not None:
                self._paused = True
                self._transport.pause_reading()
        self._notify()

    def _max_buffered(self) -> int:
        """Return how much of the body may be unread, in bytes."""
        if self._answers.has_room:
            return _MAX_BUFFERED_BYTES
        return _MIN_BUFFERED_BYTES

    def on_message_complete(self) -> None:
        """Mark the answer as complete."""
        self._feed.record_progress()
        if self._error is not None:
            return
        if self._skip:
            self._skip = False
            return
        self._done = True
        self._notify()


def _is_interim(status: int, headers: list[message.Header]) -> bool:
    """Whether an answer precedes the one to the request.

    These have no body, and 101 is sent only to clients that asked for
    another protocol.
    """
    if not 100 <= status < 200 or status == 101:
        return False
    return (
        message.find(headers, b"content-length") is None
        and message.find(headers, b"transfer-encoding") is None
    )


def _invalid_reason(status: int, version: str) -> str:
    """Return what of a final answer's first line HTTP/1.1 does not have."""
    if not version.startswith("1."):
        return f"HTTP version {version}"
    if not message.is_final_status(status):
        return f"status {status:03d}"
    return ""


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
