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

    GOOD = "good"
    AVOIDED = "avoided"
    TRIAL = "trial"


class Health:
    """What one entry has seen of one endpoint."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._state = State.GOOD
        self._until = 0.0
        self._pause_s = _FIRST_S
        self._ratio = 1.0
        # Until then it wants no requests, as it said itself.
        self._quiet_until = 0.0

    def asked(self, backoff_s: float, now: float) -> None:
        """It asked for so many seconds without requests."""
        self._quiet_until = max(self._quiet_until, now + backoff_s)

    def asks(self, now: float) -> bool:
        """Whether it wants no requests now: no fault of its own."""
        return now < self._quiet_until

    def state(self, now: float) -> State:
        """Whether the endpoint may be chosen.

        In TRIAL it may be given one request, which then decides.
        """
        if self.asks(now):
            return State.AVOIDED
        if self._state is State.AVOIDED and now >= self._until:
            return State.TRIAL
        return self._state

    def tried(self, now: float) -> None:
        """The trial request was sent; no other until it has ended."""
        if self.state(now) is State.TRIAL:
            self._until = now + self._pause_s

    def failed(self, now: float) -> None:
        """An attempt broke through the endpoint's own fault."""
        again = self._state is State.AVOIDED
        if again and now < self._until - self._pause_s * 0.5:
            # Streams that broke together count as one failure.
            return
        if again:
            self._pause_s = min(_LONGEST_S, self._pause_s * 2)
        self._avoid(now)

    def _avoid(self, now: float) -> None:
        self._state = State.AVOIDED
        self._until = now + self._pause_s * (0.75 + 0.5 * self._rng.random())

    def succeeded(
        self, *, took_s: float, predicted_s: float, now: float
    ) -> None:
        """A part was done; `predicted_s` is what had been expected."""
        ratio = took_s / max(predicted_s, 0.001)
        self._ratio += _NEW * (min(ratio, 10.0) - self._ratio)
        if self._ratio > _SLOW_RATIO:
            self._ratio = 1.0
            self.failed(now)
            return
        self._state = State.GOOD
        self._pause_s = _FIRST_S


class HealthMap:
    """The health of every endpoint that an entry knows."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._all: dict[types.AgentId, Health] = {}

    def of(self, agent: types.AgentId) -> Health:
        """The health of one endpoint."""
        found = self._all.get(agent)
        if found is None:
            found = Health(rng=self._rng)
            self._all[agent] = found
        return found

    def forget(self, agent: types.AgentId) -> None:
        """The endpoint is no longer a member."""
        self._all.pop(agent, None)
