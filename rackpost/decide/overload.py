"""Decide when a gateway takes fewer new connections than it is offered.

A load balancer may send most new connections of a region to one gateway.  If
that gateway takes them all, each request waits for its processor or its link
until the caller has left, and nothing is served.  A caller whose connection is
closed before its request is read tries another gateway at once.  Connections
are closed only while other gateways have less to do.

Overload is measured by what it does.  The lag of the event loop, how late
timers fire, rises with the use of the processor; the round trip to the nearest
coordinator rises with the use of the VM's link.  Both are short below
saturation.
"""

import collections
from typing import Callable
from typing import Collection

__all__ = ["DEFAULT_MAX_LAG_S", "OverloadGuard", "is_crowded", "max_lag_s"]

# A request waits for the event loop some four times: to be accepted, read,
# sent on, and answered.  The lag may use up this share of the time in which it
# is to be answered.
_LAG_SHARE_OF_TARGET = 0.25
# Bounds on the tolerated lag, in seconds.  Short lags come from large
# documents, long ones are noticed by any caller.
_MIN_MAX_LAG_S = 0.03
DEFAULT_MAX_LAG_S = 0.1
# A round trip of this time, in seconds, is usual if no shorter one was seen.
_MAX_USUAL_ROUND_TRIP_S = 0.15
# Samples in a row that show an overload.  A VM that was suspended, or a long
# callback, delays only one of them.
_OVERLOAD_SAMPLES = 3
# The admitted share of new connections falls with each sample of an overload,
# by a factor in this range that depends on the lag, and rises by this step
# with each sample without one.
_MIN_FACTOR = 0.5
_MAX_FACTOR = 0.9
_INCREASE_STEP = 0.05
# Samples between two decreases, about one round trip of the links.
_DECREASE_SAMPLES = 3
# Callers that reach no other gateway still get in within a few tries.
_MIN_SHARE = 0.25
# The others have less to do where this gateway has this many times their mean
# of requests in flight, and some more.
_CROWDED_RATIO = 2.0
_MIN_CROWD = 8


def max_lag_s(target_s: float | None) -> float:
    """Return the tolerated lag, in seconds.

    `target_s` is the shortest time in which an answer is to begin; None if
    there is none.
    """
    if target_s is None:
        return DEFAULT_MAX_LAG_S
    lag_s = _LAG_SHARE_OF_TARGET * target_s
    return min(max(lag_s, _MIN_MAX_LAG_S), DEFAULT_MAX_LAG_S)


def is_crowded(own: int, others: Collection[int]) -> bool:
    """Whether this gateway has much more to do than the others.

    The numbers are requests in flight: its own, and those of each other one.
    """
    if not others:
        return False
    return own >= _CROWDED_RATIO * sum(others) / len(others) + _MIN_CROWD


def _unknown() -> None:
    """Return no round trip."""


def _always() -> bool:
    """Return that others have less to do."""
    return True


class OverloadGuard:
    """The delays of one process, and the connections that it admits."""

    def __init__(self) -> None:
        self.max_lag_s = DEFAULT_MAX_LAG_S
        # Returns the latest round trip to the nearest coordinator, in seconds;
        # None if it is not known.
        self.round_trip_s: Callable[[], float | None] = _unknown
        # Returns whether the other gateways have less to do.
        self.others_have_room: Callable[[], bool] = _always
        self._usual_round_trip_s = _MAX_USUAL_ROUND_TRIP_S
        # The latest samples, in seconds.
        self.loop_lag_s = 0.0
        self.link_delay_s = 0.0
        # The share of new connections that is admitted.
        self.share = 1.0
        self._lags: collections.deque[float] = collections.deque(
            maxlen=_OVERLOAD_SAMPLES
        )
        self._admitted = _EvenShare()
        self._samples_since_decrease = _DECREASE_SAMPLES

    @property
    def lag_s(self) -> float:
        """The latest delay, in seconds."""
        return self._lags[-1] if self._lags else 0.0

    @property
    def is_overloaded(self) -> bool:
        """Whether the delay has been long for some samples in a row."""
        return (
            len(self._lags) == _OVERLOAD_SAMPLES
            and min(self._lags) > self.max_lag_s
        )

    @property
    def is_delayed(self) -> bool:
        """Whether the delay was long lately.

        Times that were measured meanwhile say more of this process than of
        endpoints.
        """
        return max(self._lags, default=0.0) > self.max_lag_s

    def record_lag(self, lag_s: float) -> None:
        """Record how late a timer fired; call at regular intervals."""
        self.loop_lag_s = lag_s
        self.link_delay_s = self._link_delay_s()
        lag_s = max(lag_s, self.link_delay_s)
        self._lags.append(lag_s)
        self._samples_since_decrease += 1
        if self.is_overloaded and self.others_have_room():
            self._decrease()
        else:
            self.share = min(1.0, self.share + _INCREASE_STEP)

    def _decrease(self) -> None:
        """Admit a smaller share, unless the last decrease is too recent."""
        if self._samples_since_decrease < _DECREASE_SAMPLES:
            return
        self._samples_since_decrease = 0
        factor = min(
            max(self.max_lag_s / self.lag_s, _MIN_FACTOR), _MAX_FACTOR
        )
        self.share = max(_MIN_SHARE, factor * self.share)

    def _link_delay_s(self) -> float:
        """Return by how much the latest round trip was longer than usual."""
        found = self.round_trip_s()
        if found is None:
            return 0.0
        self._usual_round_trip_s = min(self._usual_round_trip_s, found)
        return found - self._usual_round_trip_s

    def admit(self) -> bool:
        """Whether to admit a new connection."""
        return self.share >= 1.0 or self._admitted.take(self.share)


class _EvenShare:
    """Takes a share of a sequence, evenly spread."""

    def __init__(self) -> None:
        self._credit = 1.0

    def take(self, share: float) -> bool:
        """Whether to take the next one."""
        self._credit += share
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True
