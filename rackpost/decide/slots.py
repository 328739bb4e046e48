"""Decode slots: which are taken, which are promised, when others free.

One ledger belongs to one agent, which alone grants its endpoint's slots.
Pure: the caller hands in the reading of its clock, in seconds.
"""

import math
from typing import NamedTuple

from rackpost.decide import lengths
from rackpost import types

# Promises are made for moments on this grid, at most HORIZON_S ahead.
_GRID_S = 0.05
HORIZON_S = 1.2
# Denser requests can wait about this long for a slot.
_NEAR_S = 0.3
# A promise ahead counts on the expected number of ends less this many
# standard deviations.
_CAUTION = 1.0


class Key(NamedTuple):
    """One attempt at one request."""

    req: types.RequestId
    attempt: types.Attempt


class _Stream:
    """A stream that holds a slot."""

    def __init__(
        self, *, model: lengths.LengthModel, limit: int, memory: int
    ) -> None:
        self.model = model
        self.limit = limit
        self.memory = memory
        self.done = 0


class SlotLedger:
    """The decode slots and KV memory of one endpoint.

    `slots` is the number of requests the engine decodes at once,
    `memory_tokens` how many tokens of KV cache fit.
    """

    def __init__(self, *, slots: int, memory_tokens: int) -> None:
        self.slots = slots
        self.memory_tokens = memory_tokens
        self._running: dict[Key, _Stream] = {}
        self._promised: dict[Key, _Stream] = {}
        self._memory = 0

    @property
    def used(self) -> int:
        """Slots that are taken or promised."""
        return len(self._running) + len(self._promised)

    @property
    def running(self) -> int:
        """Slots that are taken."""
        return len(self._running)

    @property
    def memory_used(self) -> int:
        """Tokens of KV memory that are taken or promised."""
        return self._memory

    def free_in(self, *, step_s: float, kept: int = 0) -> float:
        """After how many seconds one more slot can be promised.

        `kept` slots are left out of the count.  `math.inf` where none
        is foreseen within HORIZON_S.
        """
        need = self.used + kept + 1 - self.slots
        if need <= 0:
            return 0.0
        if need > len(self._running):
            return math.inf
        low, high = 0, int(HORIZON_S / _GRID_S)
        if self._ends_by(high * _GRID_S, step_s) < need:
            return math.inf
        while high - low > 1:
            mid = (low + high) // 2
            if self._ends_by(mid * _GRID_S, step_s) >= need:
                high = mid
            else:
                low = mid
        return high * _GRID_S

    def _ends_by(self, horizon: float, step_s: float) -> float:
        more = int(horizon / step_s)
        mean = 0.0
        var = 0.0
        for strm in self._running.values():
            chance = strm.model.ends_within(
                done=strm.done, more=more, limit=strm.limit
            )
            mean += chance
            var += chance * (1.0 - chance)
        return mean - _CAUTION * math.sqrt(var)

    def promise(
        self,
        *,
        key: Key,
        model: lengths.LengthModel,
        limit: int,
        memory: int,
        within_s: float,
        step_s: float,
        denser_rate: float,
    ) -> float | types.Refusal:
        """Promise a slot; after how many seconds it is there, or why not.

        `denser_rate` is how many requests a second that count for more
        are expected: those of the next moments must still find a slot.
        """
        if self._memory + memory > self.memory_tokens:
            return types.Refusal.MEMORY_FULL
        kept = self._kept(denser_rate, step_s)
        wait = self.free_in(step_s=step_s, kept=kept)
        if wait > within_s:
            full = self.free_in(step_s=step_s) > within_s
            if full:
                return types.Refusal.SLOTS_FULL
            return types.Refusal.SLOTS_KEPT
        self._promised[key] = _Stream(model=model, limit=limit, memory=memory)
        self._memory += memory
        return wait

    def _kept(self, denser_rate: float, step_s: float) -> int:
        coming = denser_rate * _NEAR_S
        if coming <= 0.0:
            return 0
        lack = coming + math.sqrt(coming) - self._ends_by(_NEAR_S, step_s)
        return max(0, math.ceil(lack))

    def may_start(self) -> bool:
        """Whether a promised stream can be handed to the engine now."""
        return len(self._running) < self.slots

    def start(self, key: Key) -> None:
        """A promised stream was handed to the engine."""
        self._running[key] = self._promised.pop(key)

    def progress(self, key: Key, done: int) -> None:
        """A running stream has produced `done` tokens."""
        strm = self._running.get(key)
        if strm is not None:
            strm.done = done

    def end(self, key: Key, *, whole: bool) -> None:
        """A stream ended, or its promise was given up.

        Only a `whole` answer teaches the length model.  A key that is not
        held is ignored, so that giving up twice does no harm.
        """
        strm = self._running.pop(key, None)
        if strm is not None and whole:
            strm.model.learn(tokens=strm.done, limit=strm.limit)
        if strm is None:
            strm = self._promised.pop(key, None)
        if strm is not None:
            self._memory -= strm.memory
