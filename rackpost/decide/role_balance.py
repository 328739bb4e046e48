"""How many endpoints of a model prefill, and how many decode.  Pure."""

import collections
from typing import NamedTuple

import msgspec

from rackpost import types

# Demand is averaged over this long, in seconds: longer than one burst's
# rise, shorter than a change of role pays for itself.
_WINDOW_S = 6.0
# A role is changed only where the fuller pool is this full, and would be
# less full by a factor.  A change takes one endpoint away for seconds, and a
# small pool waits long before it is full, so that the factor is larger for
# few endpoints (five, two of which prefill, did worse with one; of three,
# one was better).
_FULL = 0.6
_GAIN_OF_ONE = 2.5


class Demand(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Work for a model service, in endpoints that it would keep busy."""

    service: types.ServiceName
    prefill: float
    decode: float


class Pools(msgspec.Struct, frozen=True, kw_only=True):
    """How many endpoints have each role."""

    prefill: int
    decode: int


class _Asked(NamedTuple):
    """What one request asked of each role, in seconds of an endpoint."""

    at: float
    prefill_s: float
    decode_s: float


class DemandMeter:
    """The work that one gateway's clients have asked for lately."""

    def __init__(self) -> None:
        self._items: collections.deque[_Asked] = collections.deque()

    def add(self, now: float, *, prefill_s: float, decode_s: float) -> None:
        """A request needs one endpoint of each role for so long."""
        self._items.append(
            _Asked(at=now, prefill_s=prefill_s, decode_s=decode_s)
        )

    def rate(self, service: types.ServiceName, now: float) -> Demand:
        """The demand over the last seconds."""
        while self._items and self._items[0].at < now - _WINDOW_S:
            self._items.popleft()
        return Demand(
            service=service,
            prefill=sum(item.prefill_s for item in self._items) / _WINDOW_S,
            decode=sum(item.decode_s for item in self._items) / _WINDOW_S,
        )


def _fullness(work: float, endpoints: int) -> float:
    if work <= 0.0:
        return 0.0
    return work / endpoints if endpoints > 0 else float("inf")


def fullest(pools: Pools, demand: Demand) -> float:
    """How full the fuller of the two pools is; 1 is all of it."""
    return max(
        _fullness(demand.prefill, pools.prefill),
        _fullness(demand.decode, pools.decode),
    )


def role_to_add(pools: Pools, demand: Demand) -> types.Role | None:
    """The role that one endpoint of the other should take, if any.

    A step is right if it leads towards the best division, and that is
    better by enough.
    """
    now = fullest(pools, demand)
    if now < _FULL:
        return None
    total = pools.prefill + pools.decode
    best = min(
        range(1, total),
        key=lambda count: fullest(
            Pools(prefill=count, decode=total - count), demand
        ),
        default=pools.prefill,
    )
    after = fullest(Pools(prefill=best, decode=total - best), demand)
    gain = 1.0 + _GAIN_OF_ONE / total
    if after * gain >= now or best == pools.prefill:
        return None
    if best < pools.prefill:
        return types.Role.DECODE
    return types.Role.PREFILL
