"""Decode slots: which are taken, which are promised, when others free.

One ledger belongs to one agent, which alone grants its endpoint's slots.
A promise is kept by a deadline, so that an urgent request may be given
the next free slot while one with time waits for a later one.  Pure: the
caller hands in the reading of its clock, in seconds.
"""

import bisect
import math
from typing import NamedTuple

from rackpost.decide import lengths
from rackpost import types

# Ends of streams are foreseen on this grid, at most HORIZON_S ahead.
_GRID_S = 0.05
HORIZON_S = 2.0
# Room is left for the denser requests of this long, in seconds.
_KEPT_S = 0.05
# A promise ahead counts on the expected number of ends less this many
# standard deviations.
_CAUTION = 0.0


class AttemptKey(NamedTuple):
    """One attempt at one request."""

    req: types.RequestId
    attempt: types.Attempt


class _Stream:
    """A stream that holds a slot, or is promised one by `deadline`."""

    def __init__(
        self,
        *,
        model: lengths.LengthModel,
        limit: int,
        memory: int,
        deadline: float,
    ) -> None:
        self.model = model
        self.limit = limit
        self.memory = memory
        self.deadline = deadline
        self.done = 0


class SlotLedger:
    """The decode slots and KV memory of one endpoint.

    `slots` is the number of requests the engine decodes at once,
    `memory_tokens` how many tokens of KV cache fit.
    """

    def __init__(self, *, slots: int, memory_tokens: int) -> None:
        self.slots = slots
        self.memory_tokens = memory_tokens
        self._running: dict[AttemptKey, _Stream] = {}
        self._promised: dict[AttemptKey, _Stream] = {}
        self._deadlines: list[float] = []
        self._memory = 0

    @property
    def used(self) -> int:
        """Slots that are taken or promised."""
        return len(self._running) + len(self._promised)

    @property
    def running(self) -> int:
        """Slots that are taken."""
        return len(self._running)

    def free_in(self, *, step_s: float, now: float) -> float:
        """After how many seconds an urgent request could have a slot.

        HORIZON_S where none is foreseen before.
        """
        if self.used < self.slots:
            return 0.0
        low, high = 0, int(HORIZON_S / _GRID_S)
        while high - low > 1:
            mid = (low + high) // 2
            after = mid * _GRID_S
            due = bisect.bisect_right(self._deadlines, now + after)
            if self._free_by(after, step_s) >= due + 1:
                high = mid
            else:
                low = mid
        return high * _GRID_S

    def _wait_of(self, rank: int, step_s: float) -> float:
        """When the promise that is served as number `rank` is served."""
        if self.slots - len(self._running) >= rank:
            return 0.0
        low, high = 0, int(HORIZON_S / _GRID_S)
        while high - low > 1:
            mid = (low + high) // 2
            if self._free_by(mid * _GRID_S, step_s) >= rank:
                high = mid
            else:
                low = mid
        return high * _GRID_S

    def _free_by(self, after_s: float, step_s: float) -> float:
        """Slots that are free now or by then, ends being foreseen."""
        free = self.slots - len(self._running)
        if after_s <= 0.0:
            return free
        more = int(min(after_s, HORIZON_S) / step_s)
        mean = 0.0
        var = 0.0
        for strm in self._running.values():
            chance = strm.model.ends_within(
                done=strm.done, more=more, limit=strm.limit
            )
            mean += chance
            var += chance * (1.0 - chance)
        return free + mean - _CAUTION * math.sqrt(var)

    def promise(
        self,
        *,
        key: AttemptKey,
        model: lengths.LengthModel,
        limit: int,
        memory: int,
        within_s: float,
        step_s: float,
        urgent_rate: float,
        denser_rate: float,
        now: float,
    ) -> float | types.Refusal:
        """Promise a slot; after how many seconds it is there, or why not.

        `urgent_rate` is how many requests a second are expected that
        count for more and are more urgent, so find slots before this one
        does; `denser_rate` those that count for more but are not: room
        for the next of them is left.
        """
        if self._memory + memory > self.memory_tokens:
            return types.Refusal.MEMORY_FULL
        if within_s < 0.0:
            return types.Refusal.SLOTS_FULL
        strm = _Stream(
            model=model, limit=limit, memory=memory, deadline=now + within_s
        )
        if self.used >= self.slots:
            if not self._all_in_time(strm.deadline, step_s, now):
                return types.Refusal.SLOTS_FULL
        due = bisect.bisect_right(self._deadlines, strm.deadline) + 1
        denser = urgent_rate * min(within_s, HORIZON_S)
        denser += denser_rate * _KEPT_S
        if due + denser > self._free_by(within_s, step_s):
            if denser and self.used + denser >= self.slots:
                return types.Refusal.SLOTS_KEPT
        wait = self._wait_of(due, step_s)
        self._promised[key] = strm
        bisect.insort(self._deadlines, strm.deadline)
        self._memory += memory
        return min(wait, within_s)

    def _all_in_time(self, new: float, step_s: float, now: float) -> bool:
        """Whether the new promise and all with later deadlines are kept."""
        pos = bisect.bisect_right(self._deadlines, new)
        later = [new, *self._deadlines[pos:]]
        checked = -1
        for idx, deadline in enumerate(later):
            after = deadline - now
            grid = int(after / _GRID_S)
            last = idx + 1 == len(later)
            # Of deadlines in one cell only the last needs the check.
            if not last and int((later[idx + 1] - now) / _GRID_S) == grid:
                continue
            if grid == checked:
                continue
            checked = grid
            if self._free_by(after, step_s) < pos + idx + 1:
                return False
        return True

    def promised(self) -> list[AttemptKey]:
        """What is promised a slot and has not taken it."""
        return list(self._promised)

    def may_start(self) -> bool:
        """Whether a promised stream can be handed to the engine now."""
        return len(self._running) < self.slots

    def start(self, key: AttemptKey) -> None:
        """A promised stream was handed to the engine."""
        strm = self._promised.pop(key)
        self._deadlines.remove(strm.deadline)
        self._running[key] = strm

    def progress(self, key: AttemptKey, done: int) -> None:
        """A running stream has produced `done` tokens."""
        strm = self._running.get(key)
        if strm is not None:
            strm.done = done

    def end(self, key: AttemptKey, *, whole: bool) -> None:
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
                self._deadlines.remove(strm.deadline)
        if strm is not None:
            self._memory -= strm.memory
