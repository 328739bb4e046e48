"""Links between processes: CBOR messages over WebSocket, optionally TLS.

Both ends authenticate with the site's key before any message is accepted;
with TLS they also present certificates of the site.
"""

import asyncio
import contextlib
import ssl
from typing import Any
from typing import AsyncIterator
from typing import Awaitable
from typing import Callable

import msgspec
import websockets.asyncio.client
import websockets.asyncio.connection
import websockets.asyncio.server
import websockets.exceptions
import websockets.http11

from rackpost import exceptions
from rackpost.link import auth
from rackpost.link import channel
from rackpost.link import codec
from rackpost import logs

# Bytes queued for a peer that does not read, before the link is closed.
MAX_QUEUED_BYTES = 16 << 20
_HANDSHAKE_S = 3.0
# Shortest time between log lines on the same type of failing message.
_FAULT_LOG_INTERVAL_S = 1.0

_Conn = websockets.asyncio.connection.Connection


class Security(msgspec.Struct, frozen=True, kw_only=True):
    """The site's key, and the TLS contexts if links use TLS."""

    key: bytes
    client_tls: ssl.SSLContext | None = None
    server_tls: ssl.SSLContext | None = None


class Timeouts(msgspec.Struct, frozen=True, kw_only=True):
    """Timeouts of a link, in seconds.

    A peer that is silent for `ping_s` + `ping_timeout_s` is disconnected.
    """

    ping_s: float = 5.0
    ping_timeout_s: float = 3.0
    open_s: float = _HANDSHAKE_S
    close_s: float = 10.0


_DEFAULT_TIMEOUTS = Timeouts()


class WebSocketChannel(channel.Channel):
    """One end of a link over an open, authenticated WebSocket."""

    def __init__(self, *, conn: _Conn, decoder: codec.Decoder) -> None:
        super().__init__()
        self._conn = conn
        self._decoder = decoder
        self._outgoing: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._queued_bytes = 0
        self._open = True
        self.bad_frames = 0
        self.dropped = 0
        self._loop = asyncio.get_running_loop()
        self._fault_log_limit = logs.SubjectRateLimiter(
            pause_s=_FAULT_LOG_INTERVAL_S
        )
        # Why the link closed, for the log.
        self.end_reason = "closed here"
        self._closed_event = asyncio.Event()

    @property
    def round_trip_s(self) -> float | None:
        """The latest round trip of a keepalive; None before the first."""
        return self._conn.latency or None

    def send(self, msg: msgspec.Struct) -> None:
        """Queue a message; closes the link if too much is already queued."""
        if not self._open:
            return
        data = codec.encode(msg)
        self._queued_bytes += len(data)
        if self._queued_bytes > MAX_QUEUED_BYTES:
            self.end_reason = f"{self._queued_bytes} bytes wait for the peer"
            self.close()
            return
        self._outgoing.put_nowait(data)

    def close(self) -> None:
        """Close the link."""
        if self._open:
            self._open = False
            self._outgoing.put_nowait(None)
            self._end()

    async def run(self) -> None:
        """Send and receive messages until the link closes."""
        writer = asyncio.create_task(self._write())
        try:
            await self._read()
        finally:
            self.close()
            writer.cancel()
            await asyncio.wait([writer])
            await self._conn.close()
            self._closed_event.set()

    async def ended(self) -> None:
        """Wait until the link has closed."""
        await self._closed_event.wait()

    async def _read(self) -> None:
        try:
            async for data in self._conn:
                if not isinstance(data, bytes):
                    raise exceptions.CodecError("a frame of text")
                self._dispatch(self._decoder.decode(data))
        except exceptions.CodecError as exc:
            # A protocol error closes the link.
            self.bad_frames += 1
            self.end_reason = str(exc)
        except websockets.exceptions.ConnectionClosed as exc:
            if self._open:
                self.end_reason = str(exc)

    def _dispatch(self, msg: msgspec.Struct) -> None:
        """Deliver a message; one that the receiver fails on is dropped.

        Closing the link instead would repeat the failure on each new link,
        because the peer sends the message again.
        """
        try:
            self._deliver(msg)
        except Exception as exc:
            self.dropped += 1
            if self._fault_log_limit.is_due(
                type(msg).__name__, self._loop.time()
            ):
                logs.say(
                    logs.Part.LINK,
                    "Message left out.",
                    kind=type(msg).__name__,
                    why=repr(exc),
                    left_out=self.dropped,
                )

    async def _write(self) -> None:
        while True:
            data = await self._outgoing.get()
            if data is None:
                # The reader sees the close and ends `run`.
                await self._conn.close()
                return
            self._queued_bytes -= len(data)
            try:
                await self._conn.send(data)
            except websockets.exceptions.ConnectionClosed:
                return


async def _authenticate(
    conn: _Conn, key: bytes, *, side: str, other: str
) -> None:
    mine = auth.challenge()
    try:
        async with asyncio.timeout(_HANDSHAKE_S):
            await conn.send(codec.encode(mine))
            theirs = await _recv(conn, auth.Challenge)
            proof = auth.prove(key, side=side, mine=mine, theirs=theirs)
            await conn.send(codec.encode(proof))
            answer = await _recv(conn, auth.Proof)
            auth.check(key, answer, side=other, mine=mine, theirs=theirs)
    except (TimeoutError, websockets.exceptions.ConnectionClosed) as exc:
        reason = str(exc) or f"nothing for {_HANDSHAKE_S} s"
        raise exceptions.LinkError(
            f"the peer gave no proof: {reason}"
        ) from exc


async def _recv(conn: _Conn, kind: type) -> Any:
    data = await conn.recv()
    if not isinstance(data, bytes):
        raise exceptions.CodecError("a frame of text")
    return codec.Decoder(kinds=kind).decode(data)


@contextlib.asynccontextmanager
async def connected(
    address: str,
    *,
    security: Security,
    kinds: Any,
    timeouts: Timeouts = _DEFAULT_TIMEOUTS,
) -> AsyncIterator[WebSocketChannel]:
    """Open a link to `host:port` that receives messages of types `kinds`.

    No message is delivered before the caller first awaits, so that it can
    attach its callbacks.

    Raises LinkError if the peer is unreachable or fails to authenticate.
    """
    scheme = "wss" if security.client_tls else "ws"
    try:
        conn = await websockets.asyncio.client.connect(
            f"{scheme}://{address}/link",
            ssl=security.client_tls,
            max_size=codec.MAX_FRAME,
            compression=None,
            ping_interval=timeouts.ping_s,
            ping_timeout=timeouts.ping_timeout_s,
            open_timeout=timeouts.open_s,
            close_timeout=timeouts.close_s,
            proxy=None,
        )
    except (
        OSError,
        TimeoutError,
        websockets.exceptions.WebSocketException,
    ) as exc:
        raise exceptions.LinkError(f"{address}: {exc}") from exc
    runner: asyncio.Task[None] | None = None
    try:
        await _authenticate(conn, security.key, side="client", other="server")
        link = WebSocketChannel(conn=conn, decoder=codec.Decoder(kinds=kinds))
        runner = asyncio.create_task(link.run())
        yield link
    finally:
        if runner is not None:
            runner.cancel()
            await asyncio.wait([runner])
        await conn.close()


Page = Callable[[], tuple[int, str]]


@contextlib.asynccontextmanager
async def serving(
    host: str,
    port: int,
    *,
    security: Security,
    kinds: Any,
    accept: Callable[[WebSocketChannel], Awaitable[None]],
    refused: Callable[[str], None],
    pages: dict[str, Page] | None = None,
    timeouts: Timeouts = _DEFAULT_TIMEOUTS,
) -> AsyncIterator[int]:
    """Serve links; yields the port.

    `accept` runs for each authenticated peer until its link closes;
    `refused` is called with the reason for each other peer.  `pages` answer
    plain GETs, such as /metrics, with a status and a text.
    """

    async def handle(conn: websockets.asyncio.server.ServerConnection) -> None:
        try:
            await _authenticate(
                conn, security.key, side="server", other="client"
            )
        except exceptions.LinkError as exc:
            refused(str(exc))
            return
        await accept(
            WebSocketChannel(conn=conn, decoder=codec.Decoder(kinds=kinds))
        )

    def page(
        conn: websockets.asyncio.server.ServerConnection,
        req: websockets.http11.Request,
    ) -> websockets.http11.Response | None:
        found = (pages or {}).get(req.path)
        if found is None:
            return None
        status, text = found()
        return conn.respond(status, text)

    async with websockets.asyncio.server.serve(
        handle,
        host,
        port,
        ssl=security.server_tls,
        max_size=codec.MAX_FRAME,
        compression=None,
        ping_interval=timeouts.ping_s,
        ping_timeout=timeouts.ping_timeout_s,
        close_timeout=timeouts.close_s,
        process_request=page,
    ) as server:
        yield next(iter(server.sockets)).getsockname()[1]
