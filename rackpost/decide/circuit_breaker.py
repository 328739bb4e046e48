"""Which endpoints to avoid, from what their own streams show.

Pure: times are readings of the entry's clock, in seconds.
"""

import enum
import random

from rackpost import types

_FIRST_S = 1.0
_LONGEST_S = 30.0
# An endpoint is taken as slow when its answers take this many times what
# was predicted, averaged over about the last ten.
_SLOW_RATIO = 3.0
_NEW = 0.2


class State(enum.Enum):
    """How an entry treats an endpoint."""

    CLOSED = "good"
    OPEN = "avoided"
    HALF_OPEN = "trial"


class CircuitBreaker:
    """What one entry has seen of one endpoint."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._state = State.CLOSED
        self._until = 0.0
        self._pause_s = _FIRST_S
        self._ratio = 1.0
        # Until then it wants no requests, as it said itself.
        self._quiet_until = 0.0

    def record_backoff(self, backoff_s: float, now: float) -> None:
        """It asked for so many seconds without requests."""
        self._quiet_until = max(self._quiet_until, now + backoff_s)

    def in_backoff(self, now: float) -> bool:
        """Whether it wants no requests now: no fault of its own."""
        return now < self._quiet_until

    def state(self, now: float) -> State:
        """Whether the endpoint may be chosen.

        In TRIAL it may be given one request, which then decides.
        """
        if self.in_backoff(now):
            return State.OPEN
        if self._state is State.OPEN and now >= self._until:
            return State.HALF_OPEN
        return self._state

    def record_attempt(self, now: float) -> None:
        """The trial request was sent; no other until it has ended."""
        if self.state(now) is State.HALF_OPEN:
            self._until = now + self._pause_s

    def record_failure(self, now: float) -> None:
        """An attempt broke through the endpoint's own fault."""
        again = self._state is State.OPEN
        if again and now < self._until - self._pause_s * 0.5:
            # Streams that broke together count as one failure.
            return
        if again:
            self._pause_s = min(_LONGEST_S, self._pause_s * 2)
        self._avoid(now)

    def _avoid(self, now: float) -> None:
        self._state = State.OPEN
        self._until = now + self._pause_s * (0.75 + 0.5 * self._rng.random())

    def record_success(
        self, *, took_s: float, predicted_s: float, now: float
    ) -> None:
        """A part was done; `predicted_s` is what had been expected."""
        ratio = took_s / max(predicted_s, 0.001)
        self._ratio += _NEW * (min(ratio, 10.0) - self._ratio)
        if self._ratio > _SLOW_RATIO:
            self._ratio = 1.0
            self.record_failure(now)
            return
        self._state = State.CLOSED
        self._pause_s = _FIRST_S


class CircuitBreakers:
    """The health of every endpoint that an entry knows."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._all: dict[types.AgentId, CircuitBreaker] = {}

    def of(self, agent: types.AgentId) -> CircuitBreaker:
        """The health of one endpoint."""
        found = self._all.get(agent)
        if found is None:
            found = CircuitBreaker(rng=self._rng)
            self._all[agent] = found
        return found

    def forget(self, agent: types.AgentId) -> None:
        """The endpoint is no longer a member."""
        self._all.pop(agent, None)
