"""One end of a message link between two processes, for any transport."""

import abc
import asyncio
import collections
from typing import Callable

import msgspec

Receive = Callable[[msgspec.Struct], None]
Closed = Callable[[], None]


class Channel(abc.ABC):
    """One end of an ordered, bidirectional link of typed messages.

    Received messages go to the callback given to `attach`.  When the link
    closes, `closed` is called once and no more messages are delivered.
    """

    def __init__(self) -> None:
        self._receive: Receive | None = None
        self._closed: Closed | None = None

    def attach(self, *, receive: Receive, closed: Closed) -> None:
        """Set the callbacks for received messages and for the closing."""
        self._receive = receive
        self._closed = closed

    @abc.abstractmethod
    def send(self, msg: msgspec.Struct) -> None:
        """Send a message; dropped if the link is closed."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close the link from this side."""

    def _deliver(self, msg: msgspec.Struct) -> None:
        if self._receive is not None:
            self._receive(msg)

    def _end(self) -> None:
        closed = self._closed
        self._receive = None
        self._closed = None
        if closed is not None:
            closed()


class LocalChannel(Channel):
    """A link within one event loop, with a one-way delay in seconds."""

    def __init__(self, *, delay_s: float) -> None:
        super().__init__()
        self._delay_s = delay_s
        self._peer: LocalChannel | None = None
        self._in_flight: collections.deque[msgspec.Struct | None] = (
            collections.deque()
        )
        self._open = True
        # While set, messages and the close are silently dropped.
        self.cut = False

    def send(self, msg: msgspec.Struct) -> None:
        """Send a message; it arrives after the delay."""
        if self._open:
            self._enqueue(msg)

    def close(self) -> None:
        """Close the link; the other end is notified after the delay."""
        if self._open:
            self._open = False
            self._enqueue(None)
            self._end()

    def _enqueue(self, item: msgspec.Struct | None) -> None:
        # Timers with equal times may fire in any order, so each timer
        # delivers the oldest message in flight.
        self._in_flight.append(item)
        loop = asyncio.get_running_loop()
        loop.call_later(self._delay_s, self._arrive)

    def _arrive(self) -> None:
        item = self._in_flight.popleft()
        peer = self._peer
        if peer is None or not peer._open or self.cut:
            return
        if item is None:
            peer._open = False
            peer._end()
        else:
            peer._deliver(item)


def local_pair(*, delay_s: float) -> tuple[LocalChannel, LocalChannel]:
    """Return both ends of a new link within one event loop."""
    first = LocalChannel(delay_s=delay_s)
    second = LocalChannel(delay_s=delay_s)
    first._peer = second
    second._peer = first
    return first, second
