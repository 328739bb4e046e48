"""An attempt at its agent, and the record of how attempts ended."""

import asyncio
import collections
import enum
from typing import Any
from typing import NamedTuple
from typing import Union

from rackpost.decide import slots
from rackpost.link import messages

# How long ended attempts are remembered; longer than a claim runs.
RETENTION_S = 900.0

Run = Union[messages.RunPrefill, messages.RunDecode, messages.RunCall]


class State(enum.Enum):
    """State of an attempt at its agent."""

    RESERVED = "reserved"
    READY = "ready"
    RUNNING = "running"
    ENDED = "ended"


class Attempt:
    """An attempt that has a reservation or runs.

    `spent_s` is the time of its prefill chunks so far, `taken` the bytes
    of its answer that the caller has received.  `turn` is set when a
    prefill may run its next chunk, `credited` when `taken` grows.
    """

    def __init__(
        self,
        *,
        key: slots.AttemptKey,
        reserve_msg: messages.Reserve,
        session: Any,
    ) -> None:
        self.key = key
        self.reserve_msg = reserve_msg
        self.session = session
        self.state = State.RESERVED
        self.run: Run | None = None
        self.task: asyncio.Task[None] | None = None
        self.lease: asyncio.TimerHandle | None = None
        self.spent_s = 0.0
        self.reuse_tokens = 0
        self.taken = 0
        self.turn = asyncio.Event()
        self.collected: Any = None
        self.credited = asyncio.Event()

    def set_run(self, run: Run) -> None:
        """Store the input of the reserved work, which ends the lease."""
        self.run = run
        self.state = State.READY
        if self.lease is not None:
            self.lease.cancel()


class Ending(enum.Enum):
    """How an attempt ended at its agent."""

    NEVER_RAN = "never-ran"
    RAN = "ran"
    COMPLETED = "completed"


class _EndedAttempt(NamedTuple):
    """How an attempt ended, and when."""

    ending: Ending
    at: float


class EndedAttempts:
    """How recent attempts ended; none of them is ever run again."""

    def __init__(self) -> None:
        self._ended: collections.OrderedDict[
            slots.AttemptKey, _EndedAttempt
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._ended)

    def add(self, key: slots.AttemptKey, ending: Ending, now: float) -> None:
        """Record an ending; the first one of an attempt stays."""
        self._ended.setdefault(key, _EndedAttempt(ending, now))
        while next(iter(self._ended.values())).at < now - RETENTION_S:
            self._ended.popitem(last=False)

    def ending(self, key: slots.AttemptKey) -> Ending | None:
        """Return how the attempt ended; None if unknown or not ended."""
        found = self._ended.get(key)
        return found.ending if found is not None else None
