"""One end of a link between two processes, whatever carries it."""

import abc
import asyncio
import collections
from typing import Callable

import msgspec

Receive = Callable[[msgspec.Struct], None]
Closed = Callable[[], None]


class Channel(abc.ABC):
    """One end of an ordered, typed, two-way link.

    Messages arrive through the function given to `attach`; after the end,
    `closed` is called once and nothing more arrives.
    """

    def __init__(self) -> None:
        self._receive: Receive | None = None
        self._closed: Closed | None = None

    def attach(self, *, receive: Receive, closed: Closed) -> None:
        """Say who is given the messages, and told of the end."""
        self._receive = receive
        self._closed = closed

    @abc.abstractmethod
    def send(self, msg: msgspec.Struct) -> None:
        """Send a message; one sent after the end is dropped."""

    @abc.abstractmethod
    def close(self) -> None:
        """End the link from this side."""

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
        self._flight: collections.deque[msgspec.Struct | None] = (
            collections.deque()
        )
        self._open = True
        # Messages are held, not lost, while the link is cut in silence.
        self.cut = False

    def send(self, msg: msgspec.Struct) -> None:
        """Send a message to the other end."""
        if self._open:
            self._put(msg)

    def close(self) -> None:
        """End the link; the other end sees it after the delay."""
        if self._open:
            self._open = False
            self._put(None)
            self._end()

    def _put(self, item: msgspec.Struct | None) -> None:
        # Timers of equal time may fire in any order, so the timer only
        # says that the oldest message in flight is due.
        self._flight.append(item)
        loop = asyncio.get_running_loop()
        loop.call_later(self._delay_s, self._arrive)

    def _arrive(self) -> None:
        item = self._flight.popleft()
        peer = self._peer
        if peer is None or not peer._open or self.cut:
            return
        if item is None:
            peer._open = False
            peer._end()
        else:
            peer._deliver(item)


def local_pair(*, delay_s: float) -> tuple[LocalChannel, LocalChannel]:
    """Both ends of a new link within one event loop."""
    one = LocalChannel(delay_s=delay_s)
    two = LocalChannel(delay_s=delay_s)
    one._peer = two
    two._peer = one
    return one, two
