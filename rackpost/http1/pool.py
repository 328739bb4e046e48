"""Pool of reusable client connections, by endpoint address."""

import asyncio
import collections
import contextlib
import socket
from typing import AsyncIterator

from rackpost import exceptions
from rackpost.http1 import address as address_mod
from rackpost.http1 import client

# Below TCP's first retransmission of a SYN, which comes after a second.
_CONNECT_TIMEOUT_S = 0.6
# Longest wait for a connection while all that may be open are in use;
# covers a short burst.  Refused at once, callers were told that there is no
# endpoint just as power came back.
_SLOT_TIMEOUT_S = 0.25


class Pool:
    """Connections by address, with a limit of open ones per address."""

    def __init__(self, *, id_header: bytes) -> None:
        self._loop = asyncio.get_running_loop()
        self._id_header = id_header
        self._idle: dict[str, list[client.ClientConnection]] = {}
        self._open: dict[str, int] = {}
        self._waiters: dict[str, collections.deque[asyncio.Future[None]]] = {}
        self.opened = 0

    @contextlib.asynccontextmanager
    async def connection(
        self,
        address: str,
        *,
        limit: int,
        fresh: bool = False,
        request_id: bytes | None = None,
    ) -> AsyncIterator[client.ClientConnection]:
        """Yield a connection for one exchange; kept afterwards if reusable.

        At most `limit` connections are open to the address.  With `fresh`,
        a new connection is opened; `request_id` is not sent on one where it
        was rejected.  Raises ExchangeError, with `sent` false, if no
        connection is available.
        """
        await self._acquire_slot(address, limit)
        try:
            conn = None if fresh else self._take_idle(address, request_id)
            if conn is None:
                conn = await self._connect(address)
            try:
                yield conn
            finally:
                if conn.release():
                    self._idle.setdefault(address, []).append(conn)
        finally:
            self._release_slot(address)

    async def _acquire_slot(self, address: str, limit: int) -> None:
        """Count one more open connection, or wait until one is released."""
        if self._open.get(address, 0) < limit:
            self._open[address] = self._open.get(address, 0) + 1
            return
        waiter: asyncio.Future[None] = self._loop.create_future()
        self._waiters.setdefault(address, collections.deque()).append(waiter)
        try:
            async with asyncio.timeout(_SLOT_TIMEOUT_S):
                await waiter
        except (TimeoutError, asyncio.CancelledError) as exc:
            if not waiter.cancelled():
                # The slot was handed over just as the wait ended.
                self._release_slot(address)
            if isinstance(exc, TimeoutError):
                raise exceptions.ConnectionLimitReached from exc
            raise

    def _release_slot(self, address: str) -> None:
        """Hand the slot to the longest waiter, or count one open less."""
        waiters = self._waiters.get(address)
        while waiters:
            waiter = waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self._waiters.pop(address, None)
        self._open[address] -= 1

    def _take_idle(
        self, address: str, request_id: bytes | None
    ) -> client.ClientConnection | None:
        """Take the connection that was used last, of those that may be."""
        idle = self._idle.get(address, [])
        now = self._loop.time()
        kept = []
        found = None
        while idle and found is None:
            conn = idle.pop()
            if not conn.is_open or conn.idle_until <= now:
                conn.abort()
            elif conn.may_send(request_id):
                found = conn
            else:
                kept.append(conn)
        idle.extend(reversed(kept))
        return found

    async def _connect(self, address: str) -> client.ClientConnection:
        try:
            target = address_mod.split(address)
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                transport, conn = await self._loop.create_connection(
                    lambda: client.ClientConnection(id_header=self._id_header),
                    target.host,
                    target.port,
                )
        except TimeoutError as exc:
            raise exceptions.ExchangeError(
                "no connection in time", sent=False
            ) from exc
        except ConnectionRefusedError as exc:
            raise exceptions.NotListening(f"no connection: {exc}") from exc
        except (OSError, ValueError) as exc:
            raise exceptions.ExchangeError(
                f"no connection: {exc}", sent=False
            ) from exc
        self.opened += 1
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return conn

    def sweep(self) -> None:
        """Close idle connections that have expired."""
        now = self._loop.time()
        for address, idle in list(self._idle.items()):
            kept = []
            for conn in idle:
                if conn.is_open and conn.idle_until > now:
                    kept.append(conn)
                else:
                    conn.abort()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for conn in idle:
                conn.abort()
        self._idle.clear()
