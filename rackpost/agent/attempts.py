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


class Ending(enum.Enum):
    """How an attempt ended at its agent."""

    NEVER_RAN = "never-ran"
    RAN = "ran"
    WHOLE = "whole"


class SealMemory:
    """How ended attempts ended; what is here is never handed over."""

    def __init__(self) -> None:
        self._endings: collections.OrderedDict[slots.Key, Ending] = (
            collections.OrderedDict()
        )

    def add(self, key: slots.Key, ending: Ending) -> None:
        """The attempt is over; its first ending stays."""
        self._endings.setdefault(key, ending)
        while len(self._endings) > _REMEMBERED:
            self._endings.popitem(last=False)

    def ending(self, key: slots.Key) -> Ending | None:
        """How the attempt ended; None if it has not, or is forgotten."""
        return self._endings.get(key)
