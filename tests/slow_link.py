"""Simulates one gateway's slow link to several coordinators, in virtual time.

Connections share the link packet by packet; within a connection all data,
including keepalives, is sent in order.
"""

import asyncio
import collections
from typing import Any
from typing import Callable

import msgspec

from rackpost.coordinator import links
from rackpost.coordinator import messages
from rackpost.coordinator import process
from rackpost.gateway import control_links
from rackpost.gateway import site as site_mod
from rackpost.link import channel
from rackpost.link import codec
from rackpost.platform import settings
from rackpost.state import commands

# Bytes of a packet and of a keepalive.
_PACKET = 1460
_PING = 6
# One-way delay; the direction towards coordinators is never saturated.
_DELAY_S = 0.001
# Time until a lost connection is up again.
_RELINK_S = 0.2


class _End(channel.Channel):
    """One end of a connection; sent messages are passed to `put`."""

    def __init__(self, *, put: Callable[[Any], None]) -> None:
        super().__init__()
        self._put = put
        self.open = True
        self.why = ""

    def send(self, msg: msgspec.Struct) -> None:
        if self.open:
            self._put(msg)

    def close(self) -> None:
        if self.open:
            self.open = False
            self._end()

    def deliver(self, msg: msgspec.Struct) -> None:
        if self.open:
            self._deliver(msg)

    async def run(self) -> None:
        """Do nothing; messages are delivered by the simulation."""


class _Connection:
    """A link between the gateway and one coordinator."""

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.near = _End(put=self._up)
        self.far = _End(put=self._down)
        # Items in flight to the gateway: remaining bytes, and the content.
        self.queue: collections.deque[list] = collections.deque()
        self.answered = 0
        self.silent = False
        self._decoder = codec.Decoder(kinds=messages.ToGateway)

    @property
    def open(self) -> bool:
        return self.near.open and self.far.open

    def _up(self, msg: msgspec.Struct) -> None:
        self._loop.call_later(_DELAY_S, self.far.deliver, msg)

    def _down(self, msg: msgspec.Struct) -> None:
        data = codec.encode(msg)
        self._queue(len(data), data)

    def _queue(self, size: int, item: bytes | float) -> None:
        if not self.silent:
            self.queue.append([size, item])

    def ping(self, sent_at: float) -> None:
        self._queue(_PING, sent_at)

    def close(self) -> None:
        self.queue.clear()
        self.near.close()
        self.far.close()


class SlowLink:
    """A gateway and its slow link to coordinators."""

    def __init__(
        self, *, edge: settings.HostSettings, bytes_per_s: float
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._rate = bytes_per_s
        self.site = site_mod.Site(host=edge)
        self.links = control_links.ControlLinks(site=self.site)
        self._conns: dict[process.Coordinator, _Connection] = {}
        self._tasks: list[asyncio.Task[None]] = []
        # Bytes sent to the gateway, and the longest delay of a keepalive.
        self.bytes_down = 0
        self.longest_ping_s = 0.0
        self.lost = 0

    def start(self, coordinators: list[process.Coordinator]) -> None:
        """Link the gateway to these coordinators, and keep it linked."""
        self._tasks.append(self._loop.create_task(self._send_packets()))
        for one in coordinators:
            self._tasks.append(self._loop.create_task(self._keep_linked(one)))

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.links.close()
        for conn in self._conns.values():
            conn.close()

    def silence_senders(self) -> None:
        """Stop all traffic from coordinators that are sending a chunk."""
        for conn in self._conns.values():
            if any(
                len(item[1]) > _PACKET
                for item in conn.queue
                if isinstance(item[1], bytes)
            ):
                conn.silent = True
                conn.queue.clear()

    async def _keep_linked(self, one: process.Coordinator) -> None:
        while True:
            conn = _Connection(loop=self._loop)
            self._conns[one] = conn
            await one._accept(conn.far)
            await self.links._serve_link(f"peer-{id(one)}", conn.near)
            await self._ping_until_timeout(conn)
            self.lost += 1
            conn.close()
            await asyncio.sleep(_RELINK_S)

    async def _ping_until_timeout(self, conn: _Connection) -> None:
        """Ping as links do; return when a ping is not answered in time."""
        timeouts = links.TIMEOUTS
        while True:
            await asyncio.sleep(timeouts.ping_s)
            conn.ping(self._loop.time())
            before = conn.answered
            await asyncio.sleep(timeouts.ping_timeout_s)
            if conn.answered == before:
                return

    async def _send_packets(self) -> None:
        """Send packets of all connections in turn at the link's rate."""
        while True:
            busy = [conn for conn in self._conns.values() if conn.queue]
            if not busy:
                await asyncio.sleep(_DELAY_S)
            for conn in busy:
                await self._send_packet(conn)

    async def _send_packet(self, conn: _Connection) -> None:
        if not conn.queue:
            return
        item = conn.queue[0]
        size = min(_PACKET, item[0])
        item[0] -= size
        self.bytes_down += size
        await asyncio.sleep(size / self._rate)
        if item[0] > 0 or not conn.queue:
            return
        conn.queue.popleft()
        if isinstance(item[1], bytes):
            conn.near.deliver(conn._decoder.decode(item[1]))
        else:
            conn.answered += 1
            waited = self._loop.time() - item[1]
            self.longest_ping_s = max(self.longest_ping_s, waited)


def apply_document(
    coordinators: list[process.Coordinator], version: int, source: bytes
) -> None:
    """Apply a document at all coordinators as if it were committed."""
    cmd = commands.SetRouting(version=version, source=source)
    for one in coordinators:
        before = one.node.machine.revision
        one.node.machine.apply(cmd)
        one._on_changes(one.node.machine.changes_after(before))
