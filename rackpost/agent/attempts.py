"""One attempt as its agent sees it, and the memory of ended ones."""

import asyncio
import collections
import enum
from typing import Any
from typing import Union

from rackpost.decide import slots
from rackpost.link import messages

# Ended attempts are remembered, oldest dropped first; at 100 attempts a
# second this covers ten minutes, longer than a claim lives.
_REMEMBERED = 65536

Run = Union[messages.RunPrefill, messages.RunDecode, messages.RunCall]


class State(enum.Enum):
    """How far an attempt has come at its agent."""

    PROMISED = "promised"
    READY = "ready"
    RUNNING = "running"
    ENDED = "ended"


class Attempt:
    """An attempt that is promised or runs here."""

    def __init__(
        self, *, key: slots.Key, asked: messages.Reserve, session: Any
    ) -> None:
        self.key = key
        self.asked = asked
        self.session = session
        self.state = State.PROMISED
        self.run: Run | None = None
        self.task: asyncio.Task[None] | None = None
        self.lease: asyncio.TimerHandle | None = None
        self.spent_s = 0.0
        self.reuse_tokens = 0
        self.taken = 0
        self.turn = asyncio.Event()
        self.credited = asyncio.Event()

    def take(self, run: Run) -> None:
        """The entry has sent what the promised part needs."""
        self.run = run
        self.state = State.READY
        if self.lease is not None:
            self.lease.cancel()


class SealMemory:
    """Which ended attempts the endpoint had, and which it never will."""

    def __init__(self) -> None:
        self._ran: collections.OrderedDict[slots.Key, bool] = (
            collections.OrderedDict()
        )

    def add(self, key: slots.Key, *, ran: bool) -> None:
        """The attempt is over; one that ran stays one that ran."""
        self._ran[key] = ran or self._ran.get(key, False)
        while len(self._ran) > _REMEMBERED:
            self._ran.popitem(last=False)

    def has(self, key: slots.Key) -> bool:
        """Whether the attempt is over."""
        return key in self._ran

    def ran(self, key: slots.Key) -> bool:
        """Whether the endpoint had the attempt."""
        return self._ran.get(key, False)
