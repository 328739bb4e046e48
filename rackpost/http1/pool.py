"""Pool of reusable client connections, by endpoint address."""

import asyncio
import collections
import contextlib
import socket
from typing import AsyncIterator

from rackpost.decide import buffer_budget
from rackpost import exceptions
from rackpost.http1 import address as address_mod
from rackpost.http1 import client

# Below TCP's first retransmission of a SYN, which comes after a second.
_CONNECT_TIMEOUT_S = 0.6
# Longest wait for a connection while all that may be open are in use;
# covers a short burst.  Refused at once, callers were told that there is no
# endpoint just as power came back.
_SLOT_TIMEOUT_S = 0.25
# Bound of a pool whose owner sets none.
_DEFAULT_ANSWER_BYTES = 16 << 20


class _AddressState:
    """The connections to one address."""

    def __init__(self) -> None:
        # Most connections that may be open, of the latest exchange.
        self.limit = 0
        # Exchanges that have a connection or may open one.
        self.exchanges = 0
        # Connections that are open or being opened, idle ones among them.
        self.open: set[client.ClientConnection] = set()
        # The one that was used last is at the end.
        self.idle: list[client.ClientConnection] = []
        self.waiters: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    @property
    def is_unused(self) -> bool:
        """Whether there is nothing to keep but the limit."""
        return not (self.exchanges or self.open or self.waiters)


class Pool:
    """Connections by address, with a limit of open ones per address."""

    def __init__(
        self,
        *,
        id_header: bytes,
        max_answer_bytes: int = _DEFAULT_ANSWER_BYTES,
    ) -> None:
        """`max_answer_bytes` bounds what is held of all answers."""
        self.answers = buffer_budget.BufferBudget(max_bytes=max_answer_bytes)
        self._loop = asyncio.get_running_loop()
        self._id_header = id_header
        self._addresses: dict[str, _AddressState] = {}
        self.opened = 0

    @property
    def open_count(self) -> int:
        """Connections that are open or being opened, to all addresses."""
        return sum(len(state.open) for state in self._addresses.values())

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
        a new connection is opened and closed afterwards.  The connection has
        not carried `request_id` before.  Raises ExchangeError, with `sent`
        false, if no connection is available.
        """
        state = self._addresses.setdefault(address, _AddressState())
        state.limit = limit
        await self._acquire_slot(state)
        try:
            conn = None if fresh else self._take_idle(state, request_id)
            if conn is None:
                await _make_room(state)
                conn = await self._connect(address)
            try:
                yield conn
            finally:
                _put_back(state, conn, keeps=not fresh)
        finally:
            _release_slot(state)

    async def _acquire_slot(self, state: _AddressState) -> None:
        """Count one more exchange, or wait until one ends."""
        if state.exchanges < state.limit:
            state.exchanges += 1
            return
        waiter: asyncio.Future[None] = self._loop.create_future()
        state.waiters.append(waiter)
        try:
            async with asyncio.timeout(_SLOT_TIMEOUT_S):
                await waiter
        except (TimeoutError, asyncio.CancelledError) as exc:
            if not waiter.cancelled():
                # The slot was handed over just as the wait ended.
                _release_slot(state)
            if isinstance(exc, TimeoutError):
                raise exceptions.ConnectionLimitReached from exc
            raise

    def _take_idle(
        self, state: _AddressState, request_id: bytes | None
    ) -> client.ClientConnection | None:
        """Take the connection that was used last, of those that may be."""
        now = self._loop.time()
        kept = []
        taken = None
        while state.idle and taken is None:
            conn = state.idle.pop()
            if not conn.is_open or conn.idle_until <= now:
                conn.abort()
            elif conn.may_send(request_id):
                taken = conn
            else:
                kept.append(conn)
        state.idle.extend(reversed(kept))
        return taken

    async def _connect(self, address: str) -> client.ClientConnection:
        state = self._addresses[address]
        conn = client.ClientConnection(
            id_header=self._id_header,
            on_closed=state.open.discard,
            answers=self.answers,
        )
        state.open.add(conn)
        try:
            await self._establish(conn, address)
        except BaseException:
            state.open.discard(conn)
            raise
        return conn

    async def _establish(
        self, conn: client.ClientConnection, address: str
    ) -> None:
        try:
            target = address_mod.split(address)
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                transport, _ = await self._loop.create_connection(
                    lambda: conn, target.host, target.port
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

    def sweep(self) -> None:
        """Close expired idle connections; forget addresses without any."""
        now = self._loop.time()
        for address, state in list(self._addresses.items()):
            kept = []
            for conn in state.idle:
                if conn.is_open and conn.idle_until > now:
                    kept.append(conn)
                else:
                    conn.abort()
            state.idle = kept
            if state.is_unused:
                del self._addresses[address]

    def close(self) -> None:
        """Close all idle connections."""
        for state in self._addresses.values():
            for conn in state.idle:
                conn.abort()
            state.idle.clear()


async def _make_room(state: _AddressState) -> None:
    """Close idle connections until one more may be opened.

    Returns once they are closed, so that the endpoint sees that first.
    """
    # Each exchange opens one connection at most, also after the limit fell.
    while len(state.open) >= max(state.limit, state.exchanges):
        if state.idle:
            state.idle.pop(0).abort()
        # An aborted connection is closed in the next turn of the loop.
        await asyncio.sleep(0)


def _put_back(
    state: _AddressState, conn: client.ClientConnection, *, keeps: bool
) -> None:
    """End an exchange; with `keeps`, keep the connection if it is reusable."""
    if not conn.release():
        return
    if keeps and len(state.open) <= state.limit:
        state.idle.append(conn)
    else:
        conn.abort()


def _release_slot(state: _AddressState) -> None:
    """Hand the slot to the longest waiter, or count one exchange less."""
    while state.waiters and state.exchanges <= state.limit:
        waiter = state.waiters.popleft()
        if not waiter.done():
            waiter.set_result(None)
            return
    state.exchanges -= 1
