"""Grant requests to endpoints that announce a rate.

An announced rate limits all gateways together.  Independent limits, or limits
based on other gateways' delayed reports, would let each gateway send at the
full rate.  So one gateway owns an endpoint's rate and grants each request;
nothing is sent without a grant.  A lost message therefore delays a request
and never causes an extra one.

Owners are assigned by rendezvous hashing.  While gateways disagree on the
owner, each of them grants the share of the rate of the gateways it reaches.
"""

import random
from typing import Iterable

import msgspec

from rackpost.decide import rendezvous
from rackpost.routing import endpoints
from rackpost import types

# Lowest rate that is granted, in requests a second: without any requests no
# answer could announce a higher rate.
MIN_RATE_PER_S = 0.25
# Unused rate accumulates for this long, in addition to one request.
_BURST_S = 0.25
# How long after its retry time a grant stays reserved for a gateway whose
# more urgent request was denied, in seconds.
_RESERVATION_GRACE_S = 0.25
# Bounds the random delay that spreads the retries of denied gateways over the
# time in which all can be granted.
_MAX_SPREAD_S = 4.0


def usable_per_s(per_s: float) -> float:
    """Return the requests a second that are granted at an announced rate."""
    return max(per_s, MIN_RATE_PER_S)


def owner(
    endpoint: types.EndpointId, gateways: Iterable[types.VmId]
) -> types.VmId:
    """Return the gateway that grants requests to an endpoint."""
    return max(gateways, key=lambda vm: rendezvous.rank(vm, endpoint))


class GrantApplicant(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True
):
    """A gateway that requests a grant to send one request.

    Attributes:
        priority: priority of the request; 0 is the most urgent.
        is_waiting: the request waits, since no other endpoint is available.
    """

    vm: types.VmId
    priority: int
    is_waiting: bool = False


class GrantDecision(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True
):
    """The owner's answer to a grant request.

    Attributes:
        granted: the request may be sent at once.
        retry_after_s: if denied, when to request again, in seconds.
        contenders: gateways that wait for a grant, the applicant included.
    """

    granted: bool
    retry_after_s: float = 0.0
    contenders: int = 1


class _Denied(msgspec.Struct, frozen=True, kw_only=True):
    """A denied gateway, and until when its retry is expected."""

    priority: int
    is_waiting: bool
    until: float


class _Bucket:
    """Token bucket of one incarnation of an endpoint."""

    def __init__(self, *, now: float) -> None:
        # Starts empty, since earlier requests to the endpoint are unknown.
        self._level = 0.0
        self._per_s = 0.0
        self.used_at = now
        self._denied: dict[types.VmId, _Denied] = {}

    def fill(self, per_s: float, now: float) -> None:
        """Add what has accumulated since the last use."""
        passed_s = max(0.0, now - self.used_at)
        self.used_at = now
        self._per_s = per_s
        self._level = min(self._level + per_s * passed_s, self._size)

    @property
    def _size(self) -> float:
        return 1.0 + _BURST_S * self._per_s

    def decide(
        self, applicant: GrantApplicant, now: float, rng: random.Random
    ) -> GrantDecision:
        """Grant one request, or return when to request again."""
        self._drop_overdue(now)
        self._denied.pop(applicant.vm, None)
        needed = 1.0 + self._more_urgent(applicant)
        if self._level >= needed:
            self._level -= 1.0
            return GrantDecision(granted=True, contenders=self._waiting + 1)
        wait_s = (needed - self._level) / self._per_s
        wait_s += self._spread_s(applicant) * rng.random()
        self._denied[applicant.vm] = _Denied(
            priority=applicant.priority,
            is_waiting=applicant.is_waiting,
            until=now + wait_s + _RESERVATION_GRACE_S,
        )
        contenders = max(1, self._waiting)
        return GrantDecision(
            granted=False, retry_after_s=wait_s, contenders=contenders
        )

    def release(self) -> None:
        """Take back a grant whose request was not sent."""
        self._level = min(self._level + 1.0, self._size)

    @property
    def _waiting(self) -> int:
        """The number of denied gateways whose request waits."""
        return sum(item.is_waiting for item in self._denied.values())

    def _drop_overdue(self, now: float) -> None:
        """Drop denied gateways that have not requested again in time."""
        for vm, item in list(self._denied.items()):
            if item.until < now:
                del self._denied[vm]

    def _more_urgent(self, applicant: GrantApplicant) -> int:
        """Return how many more urgent requests have a grant reserved."""
        return sum(
            item.is_waiting and item.priority < applicant.priority
            for item in self._denied.values()
        )

    def _spread_s(self, applicant: GrantApplicant) -> float:
        """Return the time over which equally urgent retries are spread."""
        competing = sum(
            item.priority <= applicant.priority
            for item in self._denied.values()
        )
        return min(competing / self._per_s, _MAX_SPREAD_S)


class GrantLedger:
    """Grants of one gateway for the endpoints whose rates it owns."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._buckets: dict[endpoints.Incarnation, _Bucket] = {}

    def decide(
        self,
        key: endpoints.Incarnation,
        applicant: GrantApplicant,
        *,
        per_s: float,
        since: float,
        share: float,
        now: float,
    ) -> GrantDecision:
        """Decide whether a gateway may send one request to an endpoint.

        `per_s` is the announced rate, `since` the clock reading at which
        this gateway first knew of one, and `share` the share of all gateways
        that this gateway reaches.
        """
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = _Bucket(now=since)
        bucket.fill(usable_per_s(per_s) * share, now)
        return bucket.decide(applicant, now, self._rng)

    def release(self, key: endpoints.Incarnation) -> None:
        """Take back a grant whose request was not sent."""
        bucket = self._buckets.get(key)
        if bucket is not None:
            bucket.release()

    def forget(self, before: float) -> None:
        """Drop buckets that were last used before a clock reading."""
        for key, bucket in list(self._buckets.items()):
            if bucket.used_at < before:
                del self._buckets[key]
