"""Connections to endpoints, kept for reuse."""

import asyncio
import collections
import contextlib
import socket
from typing import AsyncIterator

from rackpost import exceptions
from rackpost.http1 import address as address_mod
from rackpost.http1 import client

# An endpoint that takes no connection for this long is left alone; the
# first retransmission of an opening packet comes after a second.
_CONNECT_S = 0.6
# Where all that may be open are in use, one is waited for so long, in
# seconds: some three usual plain requests.  Refused at once, fourteen callers
# of one site were told that there is no endpoint just as power came back.
_PLACE_S = 0.25


class Pool:
    """Connections by address; at most `limit` open to one address."""

    def __init__(self, *, id_header: bytes) -> None:
        self._loop = asyncio.get_running_loop()
        self._id_header = id_header
        self._idle: dict[str, list[client.ClientConnection]] = {}
        self._open: dict[str, int] = {}
        self._waiting: dict[str, collections.deque[asyncio.Future[None]]] = {}
        self.opened = 0

    @contextlib.asynccontextmanager
    async def connection(
        self, address: str, *, limit: int, fresh: bool = False
    ) -> AsyncIterator[client.ClientConnection]:
        """A connection for one exchange, which is kept if that went well.

        With `fresh`, none that was used before.  Raises ExchangeError,
        with `sent` false, where none can be had.
        """
        await self._enter(address, limit)
        try:
            conn = None if fresh else self._take_idle(address)
            if conn is None:
                conn = await self._connect(address)
            try:
                yield conn
            finally:
                if conn.release():
                    self._idle.setdefault(address, []).append(conn)
        finally:
            self._leave(address)

    async def _enter(self, address: str, most: int) -> None:
        """Count one more as open, or wait for one that another leaves."""
        if self._open.get(address, 0) < most:
            self._open[address] = self._open.get(address, 0) + 1
            return
        waiter: asyncio.Future[None] = self._loop.create_future()
        self._waiting.setdefault(address, collections.deque()).append(waiter)
        try:
            async with asyncio.timeout(_PLACE_S):
                await waiter
        except (TimeoutError, asyncio.CancelledError) as exc:
            if not waiter.cancelled():
                # It was left to this one just when it gave up.
                self._leave(address)
            if isinstance(exc, TimeoutError):
                raise exceptions.ConnectionLimitReached from exc
            raise

    def _leave(self, address: str) -> None:
        """One is open no more, or goes to who has waited longest."""
        waiting = self._waiting.get(address)
        while waiting:
            waiter = waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self._waiting.pop(address, None)
        self._open[address] -= 1

    def _take_idle(self, address: str) -> client.ClientConnection | None:
        idle = self._idle.get(address, [])
        now = self._loop.time()
        while idle:
            conn = idle.pop()
            if conn.is_open and conn.idle_until > now:
                return conn
            conn.abort()
        return None

    async def _connect(self, address: str) -> client.ClientConnection:
        try:
            at = address_mod.split(address)
            async with asyncio.timeout(_CONNECT_S):
                transport, conn = await self._loop.create_connection(
                    lambda: client.ClientConnection(id_header=self._id_header),
                    at.host,
                    at.port,
                )
        except TimeoutError as exc:
            raise exceptions.ExchangeError(
                "no connection in time", sent=False
            ) from exc
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
        """Close idle connections that are past their time."""
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
