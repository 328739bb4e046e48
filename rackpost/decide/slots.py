"""Decode slots and KV memory of one endpoint: used, reserved, forecast.

Each agent has one ledger, the only one that grants its endpoint's slots.
A reservation has a deadline, so an urgent request can get the next free
slot while one with more time left waits for a later one.

Pure: times are readings of the caller's clock, in seconds.
"""

import bisect
import math
from typing import NamedTuple

from rackpost.decide import length_histogram
from rackpost import types

# Resolution of the forecast of when streams end, and how far it reaches.
_GRID_S = 0.05
HORIZON_S = 2.0
# Slots are kept for the requests of higher value density that are expected
# within this time.
_KEPT_S = 0.05
# Standard deviations that are subtracted from the expected number of free
# slots.
_CAUTION_SIGMAS = 0.0


class AttemptKey(NamedTuple):
    """Identifies one attempt at a request."""

    req: types.RequestId
    attempt: types.Attempt


class _Stream:
    """A stream that has a slot, or has one reserved by `deadline`."""

    def __init__(
        self,
        *,
        lengths: length_histogram.LengthHistogram,
        limit: int,
        memory: int,
        deadline: float,
    ) -> None:
        self.lengths = lengths
        self.limit = limit
        self.memory = memory
        self.deadline = deadline
        self.done = 0


class SlotLedger:
    """The decode slots and KV memory of one endpoint.

    `slots` is the number of requests that the engine decodes at once,
    `memory_tokens` the number of tokens that its KV cache holds.
    """

    def __init__(self, *, slots: int, memory_tokens: int) -> None:
        self.slots = slots
        self.memory_tokens = memory_tokens
        self._running: dict[AttemptKey, _Stream] = {}
        self._reserved: dict[AttemptKey, _Stream] = {}
        self._deadlines: list[float] = []
        self._memory = 0

    @property
    def used(self) -> int:
        """Number of slots that are occupied or reserved."""
        return len(self._running) + len(self._reserved)

    @property
    def running(self) -> int:
        """Number of slots that are occupied."""
        return len(self._running)

    def available_in_s(self, *, step_s: float, now: float) -> float:
        """Return the seconds until an urgent request could get a slot.

        HORIZON_S where no slot is expected before.
        """
        if self.used < self.slots:
            return 0.0
        low, high = 0, int(HORIZON_S / _GRID_S)
        while high - low > 1:
            mid = (low + high) // 2
            after = mid * _GRID_S
            due = bisect.bisect_right(self._deadlines, now + after)
            if self._free_after(after, step_s) >= due + 1:
                high = mid
            else:
                low = mid
        return high * _GRID_S

    def _wait_of(self, rank: int, step_s: float) -> float:
        """Return the seconds until the reservation of this rank is served."""
        if self.slots - len(self._running) >= rank:
            return 0.0
        low, high = 0, int(HORIZON_S / _GRID_S)
        while high - low > 1:
            mid = (low + high) // 2
            if self._free_after(mid * _GRID_S, step_s) >= rank:
                high = mid
            else:
                low = mid
        return high * _GRID_S

    def _free_after(self, after_s: float, step_s: float) -> float:
        """Return the expected number of free slots after `after_s`.

        Reserved slots count as free.
        """
        free = self.slots - len(self._running)
        if after_s <= 0.0:
            return free
        more = int(min(after_s, HORIZON_S) / step_s)
        mean = 0.0
        var = 0.0
        for strm in self._running.values():
            probability = strm.lengths.ends_within(
                done=strm.done, more=more, limit=strm.limit
            )
            mean += probability
            var += probability * (1.0 - probability)
        return free + mean - _CAUTION_SIGMAS * math.sqrt(var)

    def reserve(
        self,
        *,
        key: AttemptKey,
        lengths: length_histogram.LengthHistogram,
        limit: int,
        memory: int,
        within_s: float,
        step_s: float,
        urgent_rate: float,
        denser_rate: float,
        now: float,
    ) -> float | types.Refusal:
        """Reserve a slot; return the seconds until it is expected free.

        `urgent_rate` is the expected number of requests a second of higher
        value density with shorter targets, which get slots before this
        one.  `denser_rate` is that of those with targets no shorter: slots
        for the next of them are kept free.
        """
        if self._memory + memory > self.memory_tokens:
            return types.Refusal.MEMORY_FULL
        if within_s < 0.0:
            return types.Refusal.SLOTS_FULL
        strm = _Stream(
            lengths=lengths,
            limit=limit,
            memory=memory,
            deadline=now + within_s,
        )
        if self.used >= self.slots:
            if not self._all_in_time(strm.deadline, step_s, now):
                return types.Refusal.SLOTS_FULL
        due = bisect.bisect_right(self._deadlines, strm.deadline) + 1
        denser = urgent_rate * min(within_s, HORIZON_S)
        denser += denser_rate * _KEPT_S
        if due + denser > self._free_after(within_s, step_s):
            if denser and self.used + denser >= self.slots:
                return types.Refusal.SLOTS_KEPT
        wait = self._wait_of(due, step_s)
        self._reserved[key] = strm
        bisect.insort(self._deadlines, strm.deadline)
        self._memory += memory
        return min(wait, within_s)

    def _all_in_time(self, new: float, step_s: float, now: float) -> bool:
        """Whether the new reservation and all later ones meet deadlines."""
        pos = bisect.bisect_right(self._deadlines, new)
        later = [new, *self._deadlines[pos:]]
        checked = -1
        for idx, deadline in enumerate(later):
            after = deadline - now
            grid = int(after / _GRID_S)
            last = idx + 1 == len(later)
            # Of the deadlines in one grid cell only the last is checked.
            if not last and int((later[idx + 1] - now) / _GRID_S) == grid:
                continue
            if grid == checked:
                continue
            checked = grid
            if self._free_after(after, step_s) < pos + idx + 1:
                return False
        return True

    def reserved(self) -> list[AttemptKey]:
        """Return the attempts that have a reservation and no slot yet."""
        return list(self._reserved)

    def may_start(self) -> bool:
        """Whether a reserved stream can be sent to the engine now."""
        return len(self._running) < self.slots

    def start(self, key: AttemptKey) -> None:
        """Record that a reserved stream was sent to the engine."""
        strm = self._reserved.pop(key)
        self._deadlines.remove(strm.deadline)
        self._running[key] = strm

    def record_progress(self, key: AttemptKey, done: int) -> None:
        """Record that a running stream has generated `done` tokens."""
        strm = self._running.get(key)
        if strm is not None:
            strm.done = done

    def release(self, key: AttemptKey, *, completed: bool) -> None:
        """Release a slot or a reservation; ignores unknown keys.

        Only completed answers are recorded in the length histogram.
        """
        strm = self._running.pop(key, None)
        if strm is not None and completed:
            strm.lengths.record(tokens=strm.done, limit=strm.limit)
        if strm is None:
            strm = self._reserved.pop(key, None)
            if strm is not None:
                self._deadlines.remove(strm.deadline)
        if strm is not None:
            self._memory -= strm.memory
