"""Circuit breakers that stop requests to endpoints that fail or are slow.

Pure: times are readings of the owner's clock, in seconds.
"""

import enum
import random

from rackpost import types

_FIRST_S = 1.0
_MAX_PAUSE_S = 30.0
# An endpoint counts as failed when it takes this many times as long as
# predicted, averaged over about ten answers.
_SLOW_RATIO = 3.0
# Weight of the newest sample in the moving average.
_EWMA_WEIGHT = 0.2


class State(enum.Enum):
    """State of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


class CircuitBreaker:
    """Failures, slowness and requested back-off of one endpoint."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._state = State.CLOSED
        self._until = 0.0
        self._pause_s = _FIRST_S
        self._ratio = 1.0
        self._backoff_until = 0.0

    def record_backoff(self, backoff_s: float, now: float) -> None:
        """Record that the endpoint requested a back-off."""
        self._backoff_until = max(self._backoff_until, now + backoff_s)

    def in_backoff(self, now: float) -> bool:
        """Whether a requested back-off lasts; it is no failure."""
        return now < self._backoff_until

    def state(self, now: float) -> State:
        """Return the state; HALF_OPEN allows one probe."""
        if self.in_backoff(now):
            return State.OPEN
        if self._state is State.OPEN and now >= self._until:
            return State.HALF_OPEN
        return self._state

    def record_attempt(self, now: float) -> None:
        """Record a sent request; if it is the probe, no other may follow."""
        if self.state(now) is State.HALF_OPEN:
            self._until = now + self._pause_s

    def record_failure(self, now: float) -> None:
        """Record an attempt that failed through the endpoint's fault."""
        again = self._state is State.OPEN
        if again and now < self._until - self._pause_s * 0.5:
            # Attempts that fail together count as one failure.
            return
        if again:
            self._pause_s = min(_MAX_PAUSE_S, self._pause_s * 2)
        self._open(now)

    def _open(self, now: float) -> None:
        self._state = State.OPEN
        self._until = now + self._pause_s * (0.75 + 0.5 * self._rng.random())

    def record_success(
        self, *, took_s: float, predicted_s: float, now: float
    ) -> None:
        """Record a success; one that is too slow may open the breaker."""
        ratio = took_s / max(predicted_s, 0.001)
        self._ratio += _EWMA_WEIGHT * (min(ratio, 10.0) - self._ratio)
        if self._ratio > _SLOW_RATIO:
            self._ratio = 1.0
            self.record_failure(now)
            return
        self._state = State.CLOSED
        self._pause_s = _FIRST_S


class CircuitBreakers:
    """The circuit breaker of each endpoint that an entry knows."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._all: dict[types.AgentId, CircuitBreaker] = {}

    def of(self, agent: types.AgentId) -> CircuitBreaker:
        """Return the breaker of an endpoint, creating it on first use."""
        found = self._all.get(agent)
        if found is None:
            found = CircuitBreaker(rng=self._rng)
            self._all[agent] = found
        return found

    def forget(self, agent: types.AgentId) -> None:
        """Drop the breaker of an endpoint that is no longer a member."""
        self._all.pop(agent, None)
