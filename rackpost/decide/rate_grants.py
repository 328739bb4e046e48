"""Who may send a request to an endpoint that names a rate.  Pure.

Such a rate binds all gateways together.  What each kept by itself would be
that many times the rate, and what each hears of the others is some
milliseconds old, in which each would send.  So one gateway owns an
endpoint's rate and grants each request by itself: nothing is sent there
without a grant, so that a lost message costs a request and never lets one
more through.

Owners are found by rendezvous hashing.  While gateways do not agree on one,
each grants the part of the rate of those that it hears.
"""

import random
from typing import Iterable

import msgspec

from rackpost.decide import rendezvous
from rackpost.routing import endpoints
from rackpost import types

# Requests that still go to an endpoint that takes fewer or none, a second:
# its answers are how anybody hears that it takes more again.
MIN_RATE_PER_S = 0.25
# What is not asked for is kept for this long, in seconds of the rate, and one
# request besides.
_KEPT_S = 0.25
# For a more urgent request that was told when to come back, and does not, a
# grant is kept no longer than this, in seconds: it may have ended.
_GRACE_S = 0.25
# Those that were turned away do not all come back in one moment: each within
# the time in which all of them could be served, and this at most, in seconds.
_MOST_SPREAD_S = 4.0


def usable_per_s(per_s: float) -> float:
    """Requests a second that may go to an endpoint that names a rate."""
    return max(per_s, MIN_RATE_PER_S)


def owner(
    endpoint: types.EndpointId, gateways: Iterable[types.VmId]
) -> types.VmId:
    """The gateway that grants requests to an endpoint."""
    return max(gateways, key=lambda vm: rendezvous.rank(vm, endpoint))


class GrantApplicant(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True
):
    """What a gateway asks for: to send one request.

    Attributes:
        priority: of the request, 0 goes first.
        is_waiting: whether it waits, since no other endpoint is left for it.
    """

    vm: types.VmId
    priority: int
    is_waiting: bool = False


class GrantDecision(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True
):
    """What the owner answers.

    Attributes:
        granted: the request may be sent, soon.
        wait_s: if not, after how long another may be asked for, in seconds.
        contenders: how many gateways wait for a grant there, this one
            included.
    """

    granted: bool
    wait_s: float = 0.0
    contenders: int = 1


class _TurnedAway(msgspec.Struct, frozen=True, kw_only=True):
    """A gateway that was turned away, and until when it may come back."""

    priority: int
    waits: bool
    until: float


class _Bucket:
    """What may be granted for one life of an endpoint."""

    def __init__(self, *, now: float) -> None:
        # What was sent there before is not known: what is free comes from
        # then on.
        self._level = 0.0
        self._per_s = 0.0
        self.at = now
        self._turned_away: dict[types.VmId, _TurnedAway] = {}

    def fill(self, per_s: float, now: float) -> None:
        """Add what has come since it was last asked for anything."""
        passed_s = max(0.0, now - self.at)
        self.at = now
        self._per_s = per_s
        self._level = min(self._level + per_s * passed_s, self._most)

    @property
    def _most(self) -> float:
        return 1.0 + _KEPT_S * self._per_s

    def decide(
        self, wish: GrantApplicant, now: float, rng: random.Random
    ) -> GrantDecision:
        """Grant one request, or tell when to ask again."""
        self._forget(now)
        self._turned_away.pop(wish.vm, None)
        kept = 1.0 + self._more_urgent(wish)
        if self._level >= kept:
            self._level -= 1.0
            return GrantDecision(granted=True, contenders=self._waiting + 1)
        wait_s = (kept - self._level) / self._per_s
        wait_s += self._spread_s(wish) * rng.random()
        self._turned_away[wish.vm] = _TurnedAway(
            priority=wish.priority,
            waits=wish.is_waiting,
            until=now + wait_s + _GRACE_S,
        )
        contenders = max(1, self._waiting)
        return GrantDecision(
            granted=False, wait_s=wait_s, contenders=contenders
        )

    def give_back(self) -> None:
        """A request that was granted has not been sent."""
        self._level = min(self._level + 1.0, self._most)

    @property
    def _waiting(self) -> int:
        """How many gateways wait."""
        return sum(item.waits for item in self._turned_away.values())

    def _forget(self, now: float) -> None:
        """Drop those that could have come back, and have not."""
        for vm, item in list(self._turned_away.items()):
            if item.until < now:
                del self._turned_away[vm]

    def _more_urgent(self, wish: GrantApplicant) -> int:
        """How many wait for which something is kept."""
        return sum(
            item.waits and item.priority < wish.priority
            for item in self._turned_away.values()
        )

    def _spread_s(self, wish: GrantApplicant) -> float:
        """Within how long those that are as urgent are to come back."""
        alike = sum(
            item.priority <= wish.priority
            for item in self._turned_away.values()
        )
        return min(alike / self._per_s, _MOST_SPREAD_S)


class GrantLedger:
    """Grants of one gateway for the endpoints whose rates it owns."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._buckets: dict[endpoints.Incarnation, _Bucket] = {}

    def decide(
        self,
        key: endpoints.Incarnation,
        wish: GrantApplicant,
        *,
        per_s: float,
        since: float,
        share: float,
        now: float,
    ) -> GrantDecision:
        """Whether a gateway may send one request to an endpoint.

        `per_s` is the rate that the endpoint names, `since` when it was first
        known here to name one, `share` the part of all gateways that are
        heard here.
        """
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = _Bucket(now=since)
        bucket.fill(usable_per_s(per_s) * share, now)
        return bucket.decide(wish, now, self._rng)

    def release(self, key: endpoints.Incarnation) -> None:
        """A request that was granted has not been sent."""
        bucket = self._buckets.get(key)
        if bucket is not None:
            bucket.give_back()

    def forget(self, before: float) -> None:
        """Drop what was last asked for before a clock reading."""
        for key, bucket in list(self._buckets.items()):
            if bucket.at < before:
                del self._buckets[key]
