"""Shares the origins of streams, and finds those of resumed ones.

The gateway where a stream begins tells some coordinators and other gateways,
before it sends the first event to the client.  A gateway where the stream is
resumed asks all coordinators, and the other gateways where they do not know.
"""

import asyncio
import collections
import contextlib
import random
from typing import Callable
from typing import Mapping
from typing import TypeVar

from rackpost.coordinator import messages
from rackpost.decide import stream_origins
from rackpost.http1 import address
from rackpost.link import channel
from rackpost.link import codec
from rackpost import types

# Other gateways that are told of a stream, in case it begins while the
# coordinators can't be reached.
_GATEWAY_COPIES = 2
# How long each round of questions waits for an answer, in seconds.  The first
# asks the coordinators alone; the last repeats datagrams that may be lost.
_ROUNDS_S = (0.1, 0.2, 0.4)

_Item = TypeVar("_Item")
_Send = Callable[[bytes, tuple[str, int]], None]


class _Search:
    """The search for the origin of a stream that a client resumes."""

    def __init__(self) -> None:
        self.origin: stream_origins.StreamOrigin | None = None
        # Answers of this round that are still to come.
        self._awaited: int | None = None
        self._ended = asyncio.Event()

    def begin_round(self, awaited: int | None) -> None:
        """Begin a round with `awaited` answers, None if that is not known."""
        self._awaited = awaited
        self._ended.clear()

    def record_answer(self, item: stream_origins.OriginRecord | None) -> None:
        """Record an answer; None if the sender does not know the stream."""
        if item is not None:
            self.origin = item.origin
        if self._awaited is not None:
            self._awaited -= 1
        if item is not None or self._awaited == 0:
            self._ended.set()

    async def wait(self, timeout_s: float) -> None:
        """Wait until the stream is found, or all answers have come."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._ended.wait()


class OriginExchange:
    """The origins of streams that one gateway knows or can find."""

    def __init__(
        self,
        *,
        vm: types.VmId,
        gateways: Mapping[types.VmId, messages.GatewayAddress],
        copies: int,
        gateway_copies: int = _GATEWAY_COPIES,
        rng: random.Random,
    ) -> None:
        """`gateways` are the addresses of all gateways, this one included.

        `copies` is the number of coordinators that are told of a stream,
        `gateway_copies` that of other gateways.
        """
        self._loop = asyncio.get_running_loop()
        self._vm = vm
        self._gateways = gateways
        self._copies = copies
        self._gateway_copies = gateway_copies
        self._rng = rng
        self._table = stream_origins.OriginTable()
        self._coordinators: set[channel.Channel] = set()
        self._searches: dict[types.StreamKey, list[_Search]] = (
            collections.defaultdict(list)
        )
        # Sends a datagram; set by LoadExchange.
        self.send: _Send = _send_nothing

    def link(self, conn: channel.Channel) -> None:
        """Tell a newly linked coordinator what is known here."""
        self._coordinators.add(conn)
        items = self._table.records(self._loop.time())
        if items:
            conn.send(messages.OriginNotice(items=items))

    @property
    def is_linked(self) -> bool:
        """Whether a coordinator is linked."""
        return bool(self._coordinators)

    def unlink(self, conn: channel.Channel) -> None:
        """Record that the link to a coordinator is lost."""
        self._coordinators.discard(conn)

    def record(
        self,
        stream: types.StreamKey,
        origin: stream_origins.StreamOrigin,
        lifetime_s: float,
    ) -> None:
        """Record the origin of a stream that begins here, and tell others."""
        item = stream_origins.OriginRecord(
            stream=stream, origin=origin, left_s=lifetime_s
        )
        self._table.record(item, self._loop.time())
        notice = messages.OriginNotice(items=(item,))
        for conn in self._sample(list(self._coordinators), self._copies):
            conn.send(notice)
        self._send_to_gateways(
            notice, self._sample(self._peers(), self._gateway_copies)
        )

    def _sample(self, items: list[_Item], count: int) -> list[_Item]:
        return self._rng.sample(items, min(count, len(items)))

    async def find(
        self, stream: types.StreamKey
    ) -> stream_origins.StreamOrigin | None:
        """Return a stream's origin; None if no process in reach has it."""
        found = self._table.find(stream, self._loop.time())
        if found is not None:
            return found
        search = _Search()
        self._searches[stream].append(search)
        try:
            return await self._search(stream, search)
        finally:
            self._searches[stream].remove(search)
            if not self._searches[stream]:
                del self._searches[stream]

    async def _search(
        self, stream: types.StreamKey, search: _Search
    ) -> stream_origins.StreamOrigin | None:
        query = messages.OriginQuery(stream=stream)
        for number, wait_s in enumerate(_ROUNDS_S):
            asks_gateways = number > 0 or not self.is_linked
            # Gateways that do not know the stream send no answer.
            search.begin_round(
                None if asks_gateways else len(self._coordinators)
            )
            for conn in list(self._coordinators):
                conn.send(query)
            if asks_gateways:
                self._send_to_gateways(query, self._peers())
            await search.wait(wait_s)
            if search.origin is not None:
                break
        return search.origin

    def receive_answer(self, msg: messages.OriginAnswer) -> None:
        """Handle the answer of a coordinator or of another gateway."""
        if msg.item is not None:
            self._table.record(msg.item, self._loop.time())
        for search in self._searches.get(msg.stream, ()):
            search.record_answer(msg.item)

    def receive(
        self, msg: messages.AboutOrigins, sender: address.Address
    ) -> None:
        """Handle a datagram of another gateway."""
        now = self._loop.time()
        if isinstance(msg, messages.OriginNotice):
            self._table.record_all(msg.items, now)
        elif isinstance(msg, messages.OriginAnswer):
            self.receive_answer(msg)
        else:
            item = self._table.find_record(msg.stream, now)
            if item is not None:
                answer = messages.OriginAnswer(stream=msg.stream, item=item)
                self.send(codec.encode(answer), sender)

    def _peers(self) -> list[messages.GatewayAddress]:
        return [
            item for item in self._gateways.values() if item.vm != self._vm
        ]

    def _send_to_gateways(
        self,
        msg: messages.OriginNotice | messages.OriginQuery,
        recipients: list[messages.GatewayAddress],
    ) -> None:
        data = codec.encode(msg)
        for item in recipients:
            self.send(data, address.split(item.load_address))


def _send_nothing(data: bytes, to: tuple[str, int]) -> None:
    """Send nothing, before there is a socket."""
