"""HTTP/1.1 server.

Requests are buffered before they are handled, so that they can be sent to
an endpoint with a length, and resent.  The requests of a connection are
handled one at a time; a disconnect cancels the running handler.
"""

import asyncio
import collections
import contextlib
import socket
from typing import AsyncIterator
from typing import Awaitable
from typing import Callable
from typing import cast

import httptools

from rackpost.decide import buffer_budget
from rackpost.decide import overload
from rackpost.decide import slow_readers
from rackpost.http1 import message
from rackpost.http1 import parser_feed
from rackpost.http1 import responder
from rackpost.routing import model

_BACKLOG = 1024
# How often idle and slow connections are looked for.
_SWEEP_INTERVAL_S = 0.25
# Period of the timer that samples the lag of the event loop.
_LAG_TIMER_S = 0.01
# Pipelined requests that may wait on one connection.
_MAX_PIPELINED = 8
# How long input is discarded after an early error answer; closing at once
# could reset the connection before the client reads the answer.
_LINGER_S = 1.0
# How often is checked whether ended requests have been answered.
_END_POLL_S = 0.01
# Writing pauses while more than this is unsent, unless the budget for all
# clients has room.
_HIGH_WATER_BYTES = 64 << 10
# Budgets of a server whose owner sets none.
_DEFAULT_BUDGET_BYTES = 16 << 20
# Memory of a header besides its bytes.
_HEADER_OVERHEAD_BYTES = 160
# Retry-After of a request that was not read for lack of memory, in seconds.
_NOT_READ_RETRY_AFTER_S = 1


Responder = responder.Responder
Handler = Callable[[message.Request, Responder], Awaitable[None]]


class ServerConnection(
    asyncio.Protocol, buffer_budget.Holder, responder.Connection
):
    """A client's connection; it holds the requests that it has sent."""

    def __init__(self, *, server: "Server") -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        # None once the connection is lost.
        self._parser: httptools.HttpRequestParser | None = (
            httptools.HttpRequestParser(self)
        )
        self._feed = parser_feed.ParserFeed()
        self._pipelined: collections.deque[tuple[message.Request, bool]] = (
            collections.deque()
        )
        self._task: asyncio.Task[None] | None = None
        # Whether the server has ended the request that is being answered.
        self._ending = False
        self._writable: asyncio.Future[None] | None = None
        self._discarding = False
        self.closing = False
        self._written_bytes = 0
        # What the server's total of held bytes includes for this client.
        self._counted_bytes = 0
        # Only while something is held: most connections need none.
        self._read_rate: slow_readers.ReadRate | None = None
        self._latest_req: message.Request | None = None
        # Sizes of the requests that wait, and of the one being answered.
        self._waiting_bytes = 0
        self._served_bytes = 0
        self.idle_since = self._loop.time()
        self._received_at = self.idle_since
        self.head_since: float | None = None
        self._new_request()

    def _new_request(self) -> None:
        self._target = b""
        self._headers: list[message.Header] = []
        self._head_size = 0
        self._body = bytearray()
        self._reading = False
        self._has_head = False

    @property
    def busy(self) -> bool:
        """Whether a request is being read or answered."""
        return self._task is not None or self._reading

    # For the responder.

    def write(self, data: bytes) -> None:
        """Write bytes; dropped if the client has disconnected."""
        if self._transport is not None and not self._transport.is_closing():
            self._written_bytes += len(data)
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait until more may be held for the client."""
        while self._writable is not None and not self._server.has_room(self):
            await self._writable

    def recheck_room(self) -> None:
        """Let `drain` check again whether the budget has room."""
        if self._writable is not None and self._server.has_room(self):
            self._writable.set_result(None)
            self._writable = self._loop.create_future()

    @property
    def held_bytes(self) -> int:
        """How many bytes are held for the client."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def count_held(self) -> int:
        """Return the change of the held bytes since the last call."""
        change = self.held_bytes - self._counted_bytes
        self._counted_bytes += change
        return change

    def sampled_reader(self, now: float) -> slow_readers.Reader | None:
        """Sample how fast the client reads; None if nothing is held."""
        held_bytes = self.held_bytes
        if not held_bytes:
            self._read_rate = None
            return None
        if self._read_rate is None:
            self._read_rate = slow_readers.ReadRate()
        held_s = self._read_rate.sample(
            self._written_bytes - held_bytes, held_bytes, now
        )
        return slow_readers.Reader(
            self, held_bytes, self._read_rate.bytes_per_s, held_s
        )

    def disconnect_slow(self, reader: slow_readers.Reader) -> None:
        """Close the connection of a client that reads too slowly."""
        if self._latest_req is not None:
            self._server.disconnected(self._latest_req, reader)
        self.abort()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection, or close it unread in an overload."""
        self._transport = cast(asyncio.Transport, transport)
        if not self._server.admits():
            self._server.closed_unread += 1
            self._transport.abort()
            return
        self._transport.set_write_buffer_limits(high=_HIGH_WATER_BYTES)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the handler of a client that has disconnected."""
        self._server.connections.discard(self)
        self._server.held_bytes -= self._counted_bytes
        self._counted_bytes = 0
        self.resume_writing()
        self._pipelined.clear()
        self._waiting_bytes = 0
        self._new_request()
        self._record_held()
        # The parser refers to this object as well: without the cycle the
        # memory of both is free at once.
        self._parser = None
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Make `drain` wait."""
        if self._writable is None:
            self._writable = self._loop.create_future()

    def resume_writing(self) -> None:
        """Let `drain` return."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._discarding or self._parser is None:
            return
        self._received_at = self._loop.time()
        try:
            is_bounded = self._feed.feed(
                self._parser,
                data,
                max_kept=self._server.limits.header_bytes,
                is_ended=lambda: self._discarding,
            )
            if not is_bounded:
                self._refuse(431)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self._refuse(400)
        self._record_held()

    def _record_held(self) -> None:
        """Record what is held of requests; shed those beyond the budget."""
        held_bytes = self._waiting_bytes + self._served_bytes
        if self._reading:
            held_bytes += self._feed.kept_bytes + len(self._body)
            held_bytes += self._head_size
            held_bytes += _HEADER_OVERHEAD_BYTES * len(self._headers)
        for holder in self._server.requests.record(self, held_bytes):
            holder.shed()

    @property
    def can_shed(self) -> bool:
        """Whether a request is still being read."""
        return self._reading

    def shed(self) -> None:
        """Refuse the request that is being read; it has not been passed on."""
        self._refuse(503)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._feed.record_progress()
        if self._discarding:
            return
        self._new_request()
        self._reading = True
        self.head_since = self._loop.time()

    def on_url(self, data: bytes) -> None:
        """Collect a part of the target."""
        self._feed.record_progress()
        if self._discarding:
            return
        self._target += data
        self._count_head(len(data))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are dropped."""
        self._feed.record_progress()
        if self._discarding:
            return
        if not self._has_head:
            self._headers.append((name.lower(), value))
        self._count_head(len(name) + len(value))

    def on_headers_complete(self) -> None:
        """Mark the head as complete, and answer Expect: 100-continue."""
        self._feed.record_progress()
        if self._discarding:
            return
        self.head_since = None
        self._has_head = True
        expect = message.find(self._headers, b"expect")
        # During another answer it would be read as part of that answer.
        if self._task is None and _is_continue(expect):
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Collect a chunk of the body; refuses one over the limit."""
        self._feed.record_progress()
        if self._discarding:
            return
        if len(self._body) + len(data) > self._server.limits.body_bytes:
            self._refuse(413)
            return
        self._body += data

    def on_message_complete(self) -> None:
        """Queue the complete request for its handler."""
        self._feed.record_progress()
        if self._discarding or self._parser is None:
            return
        self._reading = False
        headers = self._headers
        req = message.Request(
            method=self._parser.get_method(),
            target=self._target,
            headers=headers,
            body=bytes(self._body),
            has_body=_has_body(headers),
        )
        is_http10 = self._parser.get_http_version() == "1.0"
        if not self._parser.should_keep_alive():
            self.closing = True
        self._pipelined.append((req, is_http10))
        self._waiting_bytes += _size(req)
        self._body = bytearray()
        if len(self._pipelined) > _MAX_PIPELINED:
            self.abort()
        elif self._task is None:
            self._task = self._loop.create_task(self._serve())

    def _count_head(self, size: int) -> None:
        self._head_size += size
        if self._head_size > self._server.limits.header_bytes:
            self._refuse(431)

    # Handling of requests.

    async def _serve(self) -> None:
        try:
            while self._pipelined and not self._is_gone():
                req, is_http10 = self._pipelined.popleft()
                self._served_bytes = _size(req)
                self._waiting_bytes -= self._served_bytes
                await self._serve_one(req, is_http10)
        finally:
            self._task = None
            self._served_bytes = 0
            self._record_held()
            self.idle_since = self._loop.time()

    async def _serve_one(self, req: message.Request, is_http10: bool) -> None:
        answer = Responder(conn=self, is_http10=is_http10)
        self._latest_req = req
        if self._server.stopping:
            self.closing = True
        try:
            await self._server.handler(req, answer)
        except asyncio.CancelledError:
            if not self._ending:
                raise
        except Exception as exc:
            # The client still gets an answer: 502 below.
            self._server.failed(req, exc)
        if not answer.started:
            answer.send(502, [], b"")
        elif not answer.ended:
            answer.abort()
        if self.closing and self._transport is not None:
            self._pipelined.clear()
            self._transport.close()

    def end_request(self) -> None:
        """Cancel the handler of a request and close after its answer."""
        if self._task is not None and not self._is_gone():
            self._ending = True
            self.closing = True
            self._server.ended_requests += 1
            self._task.cancel()

    def _is_gone(self) -> bool:
        return self._transport is None or self._transport.is_closing()

    def _refuse(self, status: int) -> None:
        if self._discarding:
            return
        self._discarding = True
        self.closing = True
        self._reading = False
        self._new_request()
        self._record_held()
        if self._task is not None:
            # The answer to an earlier request comes first.
            return
        lines = []
        if status == 503:
            lines = [(b"retry-after", b"%d" % _NOT_READ_RETRY_AFTER_S)]
        Responder(conn=self, is_http10=False).send(status, lines, b"")
        if self._transport is not None and self._transport.can_write_eof():
            self._transport.write_eof()
        self._loop.call_later(_LINGER_S, self.abort)

    def sweep(self, now: float) -> None:
        """Close the connection if it is idle or its request is too slow."""
        if self._discarding or self._task is not None:
            return
        limits = self._server.limits
        if self.head_since is not None and self._reading:
            if now - self.head_since > limits.header_s:
                self._refuse(408)
        elif self._reading:
            # Slow bodies are allowed, stalled ones are not.
            if now - self._received_at > limits.idle_s:
                self._refuse(408)
        elif now - self.idle_since > limits.idle_s:
            self.close_idle()

    def close_idle(self) -> None:
        """Close if no request is being read or answered."""
        if not self.busy and self._transport is not None:
            self._transport.close()


async def _measure_lag_s() -> float:
    """Return how late a short timer fires, in seconds.

    All that is ready to run at the same time comes before it.
    """
    loop = asyncio.get_running_loop()
    due_at = loop.time() + _LAG_TIMER_S
    await asyncio.sleep(_LAG_TIMER_S)
    return max(0.0, loop.time() - due_at)


def _is_continue(expect: bytes | None) -> bool:
    return expect is not None and expect.lower() == b"100-continue"


def _size(req: message.Request) -> int:
    """Return the memory that a request takes, in bytes."""
    lines = sum(len(key) + len(value) for key, value in req.headers)
    overhead = _HEADER_OVERHEAD_BYTES * len(req.headers)
    return len(req.target) + lines + overhead + len(req.body)


def _has_body(headers: list[message.Header]) -> bool:
    for key, _ in headers:
        if key in (b"content-length", b"transfer-encoding"):
            return True
    return False


class Server:
    """A listening socket and its connections."""

    def __init__(
        self,
        *,
        handler: Handler,
        failed: Callable[[message.Request, Exception], None],
        limits: model.Limits | None = None,
        reader_budget: slow_readers.ReaderBudget | None = None,
        max_request_bytes: int = _DEFAULT_BUDGET_BYTES,
        disconnected: Callable[
            [message.Request, slow_readers.Reader], None
        ] = lambda req, reader: None,
        guard: overload.OverloadGuard | None = None,
    ) -> None:
        """Create a server that does not listen yet.

        `failed` is called for a handler's exception, `disconnected` for a
        client that reads too slowly, with its latest request.
        `max_request_bytes` bounds all requests in memory.  `guard` limits
        new connections in an overload; by default all are taken.
        """
        self.handler = handler
        self.failed = failed
        self.disconnected = disconnected
        self._budget = reader_budget or slow_readers.ReaderBudget(
            max_bytes=_DEFAULT_BUDGET_BYTES
        )
        # What is held of all clients' requests.
        self.requests = buffer_budget.BufferBudget(max_bytes=max_request_bytes)
        # Bytes held for all clients; of each as of its last write or sweep.
        self.held_bytes = 0
        self.limits = limits or model.Limits()
        self.connections: set[ServerConnection] = set()
        self.stopping = False
        self.is_listening = False
        self._guard = guard
        # Connections that were closed before anything was read from them.
        self.closed_unread = 0
        # Requests that `end_requests` has ended.
        self.ended_requests = 0

    def admits(self) -> bool:
        """Whether to take a new connection."""
        return self._guard is None or self._guard.admit()

    @property
    def busy(self) -> int:
        """Number of connections with a request in flight."""
        return sum(1 for conn in self.connections if conn.busy)

    @contextlib.asynccontextmanager
    async def serving(self, host: str, port: int) -> AsyncIterator[int]:
        """Listen; yields the port.  Raises OSError if it can't be bound."""
        loop = asyncio.get_running_loop()
        sock = socket.socket(
            socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
        )
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((host, port))
            listener = await loop.create_server(
                lambda: ServerConnection(server=self),
                sock=sock,
                backlog=_BACKLOG,
            )
        except BaseException:
            sock.close()
            raise
        sweeper = asyncio.create_task(self._sweep())
        self.is_listening = True
        try:
            yield sock.getsockname()[1]
        finally:
            self.is_listening = False
            sweeper.cancel()
            listener.close()
            for conn in list(self.connections):
                conn.abort()

    async def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            if self._guard is not None:
                self._guard.record_lag(await _measure_lag_s())
            now = loop.time()
            for conn in list(self.connections):
                conn.sweep(now)
            self._disconnect_slow(now)

    def has_room(self, conn: ServerConnection) -> bool:
        """Whether more may be held for a client."""
        self.held_bytes += conn.count_held()
        return self._budget.has_room(conn.held_bytes, self.held_bytes)

    def _disconnect_slow(self, now: float) -> None:
        readers = []
        for conn in self.connections:
            self.held_bytes += conn.count_held()
            reader = conn.sampled_reader(now)
            if reader is not None:
                readers.append(reader)
        for reader in self._budget.to_disconnect(readers):
            cast(ServerConnection, reader.key).disconnect_slow(reader)
        for conn in self.connections:
            conn.recheck_room()

    async def end_requests(self, timeout_s: float) -> None:
        """End all running requests with the answers of their handlers.

        A handler may answer when it is cancelled; otherwise the answer is
        502, or a begun answer is broken off.  Waits until all is written, at
        most `timeout_s`.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout_s
        for conn in list(self.connections):
            conn.end_request()
        while self.busy and loop.time() < until:
            await asyncio.sleep(_END_POLL_S)

    def close_idle(self) -> None:
        """Close the connections that have no request in flight."""
        for conn in list(self.connections):
            conn.close_idle()
