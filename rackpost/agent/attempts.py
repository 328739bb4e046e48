"""One attempt as its agent sees it, and the memory of ended ones."""

import asyncio
import collections
import enum
from typing import Any
from typing import NamedTuple
from typing import Union

from rackpost.decide import slots
from rackpost.link import messages

# Ended attempts are remembered for longer than a claim runs, in seconds.
RETENTION_S = 900.0

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
        self, *, key: slots.AttemptKey, asked: messages.Reserve, session: Any
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
        self.collected: Any = None
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


class _Ended(NamedTuple):
    """How an attempt ended, and when by the agent's clock."""

    ending: Ending
    at: float


class EndedAttempts:
    """How ended attempts ended; what is here is never handed over."""

    def __init__(self) -> None:
        self._ended: collections.OrderedDict[slots.AttemptKey, _Ended] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._ended)

    def add(self, key: slots.AttemptKey, ending: Ending, now: float) -> None:
        """The attempt is over; its first ending stays."""
        self._ended.setdefault(key, _Ended(ending, now))
        while next(iter(self._ended.values())).at < now - RETENTION_S:
            self._ended.popitem(last=False)

    def ending(self, key: slots.AttemptKey) -> Ending | None:
        """How the attempt ended; None if it has not, or is forgotten."""
        found = self._ended.get(key)
        return found.ending if found is not None else None
