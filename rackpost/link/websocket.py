"""Links between processes: typed messages, CBOR over WebSocket.

A link may run over TLS with the site's own certificates; at the least
both ends prove that they know the site's key before any message counts.
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

# A peer that takes nothing is cut off when this much waits for it.
MAX_WAITING = 16 << 20
_HANDSHAKE_S = 3.0
# A kind of message that can't be taken is logged once in this, in seconds.
_FAULT_S = 1.0

_Conn = websockets.asyncio.connection.Connection


class Security(msgspec.Struct, frozen=True, kw_only=True):
    """The site's key, and TLS contexts where links run over TLS."""

    key: bytes
    client_tls: ssl.SSLContext | None = None
    server_tls: ssl.SSLContext | None = None


class Timeouts(msgspec.Struct, frozen=True, kw_only=True):
    """How long a link waits for a silent peer, in seconds.

    It is given up `ping_s` + `ping_timeout_s` after it fell silent.  The
    defaults suit links whose messages notice it sooner: on idle links a
    shorter time costs more than all else.
    """

    ping_s: float = 5.0
    ping_timeout_s: float = 3.0
    open_s: float = _HANDSHAKE_S
    close_s: float = 10.0


_USUAL = Timeouts()


class WebSocketChannel(channel.Channel):
    """One end of a link over a WebSocket that is up and proved."""

    def __init__(self, *, conn: _Conn, decoder: codec.Decoder) -> None:
        super().__init__()
        self._conn = conn
        self._decoder = decoder
        self._waiting: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._size = 0
        self._open = True
        self.bad_frames = 0
        self.left_out = 0
        self._loop = asyncio.get_running_loop()
        self._faults = logs.SubjectRateLimiter(pause_s=_FAULT_S)
        # Why the link has ended, for the log.
        self.end_reason = "closed here"
        self._ended = asyncio.Event()

    def send(self, msg: msgspec.Struct) -> None:
        """Queue a message; a peer that takes none is cut off."""
        if not self._open:
            return
        data = codec.encode(msg)
        self._size += len(data)
        if self._size > MAX_WAITING:
            self.end_reason = f"{self._size} bytes wait for the peer"
            self.close()
            return
        self._waiting.put_nowait(data)

    def close(self) -> None:
        """End the link."""
        if self._open:
            self._open = False
            self._waiting.put_nowait(None)
            self._end()

    async def run(self) -> None:
        """Move messages until the link ends."""
        writer = asyncio.create_task(self._write())
        try:
            await self._read()
        finally:
            self.close()
            writer.cancel()
            await asyncio.wait([writer])
            await self._conn.close()
            self._ended.set()

    async def ended(self) -> None:
        """Wait until the link has ended."""
        await self._ended.wait()

    async def _read(self) -> None:
        try:
            async for data in self._conn:
                if not isinstance(data, bytes):
                    raise exceptions.CodecError("a frame of text")
                self._take(self._decoder.decode(data))
        except exceptions.CodecError as exc:
            # A peer that does not speak the protocol is not listened to.
            self.bad_frames += 1
            self.end_reason = str(exc)
        except websockets.exceptions.ConnectionClosed as exc:
            if self._open:
                self.end_reason = str(exc)

    def _take(self, msg: msgspec.Struct) -> None:
        """Hand a message on; one that can't be taken is left out.

        The peer would send it again on the next link, and to every other
        process: none of them would keep a link.
        """
        try:
            self._deliver(msg)
        except Exception as exc:
            self.left_out += 1
            if self._faults.is_due(type(msg).__name__, self._loop.time()):
                logs.say(
                    logs.Part.LINK,
                    "Message left out.",
                    kind=type(msg).__name__,
                    why=repr(exc),
                    left_out=self.left_out,
                )

    async def _write(self) -> None:
        while True:
            data = await self._waiting.get()
            if data is None:
                # The reader sees the closing and ends `run`.
                await self._conn.close()
                return
            self._size -= len(data)
            try:
                await self._conn.send(data)
            except websockets.exceptions.ConnectionClosed:
                return


async def _prove(conn: _Conn, key: bytes, *, side: str, other: str) -> None:
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
        why = str(exc) or f"nothing for {_HANDSHAKE_S} s"
        raise exceptions.LinkError(f"the peer gave no proof: {why}") from exc


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
    timeouts: Timeouts = _USUAL,
) -> AsyncIterator[WebSocketChannel]:
    """A link to `host:port`; its messages are of the types `kinds`.

    Messages move from the first moment at which the caller waits.

    Raises LinkError where the peer is not there or proves nothing.
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
    pump: asyncio.Task[None] | None = None
    try:
        await _prove(conn, security.key, side="client", other="server")
        link = WebSocketChannel(conn=conn, decoder=codec.Decoder(kinds=kinds))
        pump = asyncio.create_task(link.run())
        yield link
    finally:
        if pump is not None:
            pump.cancel()
            await asyncio.wait([pump])
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
    timeouts: Timeouts = _USUAL,
) -> AsyncIterator[int]:
    """Serve links; yields the port.

    `accept` is run for each peer that has proved itself, until it ends;
    `refused` is told why of each that did not.  `pages` are plain GETs,
    such as /metrics: a status and a text each.
    """

    async def handle(conn: websockets.asyncio.server.ServerConnection) -> None:
        try:
            await _prove(conn, security.key, side="server", other="client")
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
