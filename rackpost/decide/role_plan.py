"""Plan changes of role on first evidence, for the peaks of the demand.

A change takes longer than most bursts last, so the pools are divided before
the next one: for the largest multiple of the demand that both can serve.
Waves and bursts of all kinds together leave the division as it is: it depends
on the ratio of the two demands, not on their level.  A change of an endpoint
whose pool is mostly idle costs callers nothing, so a low level is no reason
to wait.

Pure: times are readings of the owner's clock, in seconds.
"""

import collections
import math
from typing import NamedTuple
from typing import Sequence

from rackpost.decide import role_balance
from rackpost.decide import role_demand
from rackpost.routing import endpoints
from rackpost import types

# Standard deviation of the ratio of prefill to decode work that one request
# shows, over the ratio.  The giving pool's demand counts as higher by this
# over the square root of the number of requests.
_RATIO_SPREAD = 0.5
# Pools that serve four times the peak are left as they are.
_MIN_UTILISATION = 0.25
# From this utilisation on, a pool is overloaded.
_OVERLOAD_UTILISATION = 1.0
# Fewest endpoints that a pool keeps, so that the loss of one leaves another;
# a small service could not follow its demand otherwise.
_MIN_POOL = 2
_ENDPOINTS_FOR_MIN_POOL = 6
# Within this time a pool gives at most half of its endpoints, unless the
# other one is overloaded: the mix may shift back.
_HALVING_S = 60.0
# How long an imbalance must last before a change.  The first change follows
# the first evidence; a further one must outlast a burst's first seconds, and
# one in the other direction what a change of role takes, unless the pool is
# overloaded now.
_FIRST_S = 0.4
_FURTHER_S = 2.0
_REVERSAL_S = 6.0
# Reversals that need no pause before them, and the shortest pause before each
# further one.  It doubles with each reversal within `_RECENT_REVERSALS_S`, up
# to the longest.
_FREE_REVERSALS = 2
_MIN_REVERSAL_PAUSE_S = 60.0
_MAX_REVERSAL_PAUSE_S = 240.0
_RECENT_REVERSALS_S = 600.0
# A change must lower the utilisation of the busier pool by a factor of 1 plus
# this over the number of endpoints.  A reversal must pay for two changes.
_GAIN = 0.8
_REVERSAL_GAIN = 3.0
# Each endpoint must lower it by this times what its own pool loses of its
# capacity, times the share that the loss of one more endpoint would take
# there, times the ratio of the utilisation of that pool to that of the other.
_LOSS_WEIGHT = 1.75
# One in this many endpoints may change its role at a time.
_ENDPOINTS_PER_CHANGE = 5
# Endpoints that are lost count as there for as long as most restarts take.
_RESTART_S = 6.0


class Plan(NamedTuple):
    """Changes to order now, and the figures on which they are based.

    `utilisation` is that of the busier pool at the peak, now and after them.
    """

    role: types.Role
    changes: int
    demand: role_demand.PoolDemand
    utilisation: float
    planned_utilisation: float


class _Imbalance(NamedTuple):
    """A pool's need for endpoints, since a time."""

    role: types.Role
    since: float


def _moved(
    pools: role_balance.Pools, role: types.Role, count: int
) -> role_balance.Pools:
    """Return the pools after `count` endpoints have changed to a role."""
    change = count if role is types.Role.PREFILL else -count
    return role_balance.Pools(
        prefill=pools.prefill + change, decode=pools.decode - change
    )


def _min_pool(pools: role_balance.Pools) -> int:
    """Return how many endpoints each pool keeps."""
    if pools.prefill + pools.decode < _ENDPOINTS_FOR_MIN_POOL:
        return 1
    return _MIN_POOL


def _donors(pools: role_balance.Pools, role: types.Role) -> int:
    """Return the size of the pool that gives endpoints to a role."""
    return pools.prefill if role is types.Role.DECODE else pools.decode


class ReversalLimit:
    """Limits how often the direction of changes reverses."""

    def __init__(self) -> None:
        self._count = 0
        self._recent: collections.deque[float] = collections.deque()

    def record(self, now: float) -> None:
        """Record a reversal."""
        self._count += 1
        self._recent.append(now)

    def allowed_at(self, now: float) -> float:
        """Return the earliest time of the next reversal."""
        if self._count < _FREE_REVERSALS:
            return now
        last = self._recent[-1]
        while len(self._recent) > 1 and (
            self._recent[0] < now - _RECENT_REVERSALS_S
        ):
            self._recent.popleft()
        doublings = max(0, len(self._recent) - _FREE_REVERSALS)
        return last + min(
            _MAX_REVERSAL_PAUSE_S, _MIN_REVERSAL_PAUSE_S * 2.0**doublings
        )


class RolePlanner:
    """Plans the changes of role of one model service."""

    def __init__(self) -> None:
        self.history = role_demand.DemandHistory()
        self._imbalance: _Imbalance | None = None
        self._last_role: types.Role | None = None
        self._reversals = ReversalLimit()
        # The pools at each check of the last `_RESTART_S`, as they would be
        # now with the orders since.
        self._pools: collections.deque[tuple[float, role_balance.Pools]] = (
            collections.deque()
        )
        # Times and roles of the orders of the last `_HALVING_S`, one for each
        # endpoint.
        self._orders: collections.deque[tuple[float, types.Role]] = (
            collections.deque()
        )

    def record_order(
        self, now: float, role: types.Role, changes: int = 1
    ) -> None:
        """Record that endpoints were ordered to take a role."""
        if self._is_reversal(role):
            self._reversals.record(now)
        self._last_role = role
        self._imbalance = None
        self._orders.extend([(now, role)] * changes)
        self._pools = collections.deque(
            (at, _moved(pools, role, changes)) for at, pools in self._pools
        )

    def forget_orders(self) -> None:
        """Forget orders, as where another coordinator gives them."""
        self._last_role = None
        self._imbalance = None
        self._pools.clear()

    def plan(
        self,
        now: float,
        pools: role_balance.Pools,
        changing: Sequence[types.Role] = (),
    ) -> Plan | None:
        """Return the changes to order now.

        `pools` counts the endpoints that are changing as changed; `changing`
        holds the roles that they take.  Both pools must have an endpoint.
        """
        self._record_pools(now, pools)
        found = None
        if self._has_evidence():
            found = self._best_plan(pools, changing)
        if found is None:
            self._imbalance = None
            return None
        if self._imbalance is None or self._imbalance.role is not found.role:
            self._imbalance = _Imbalance(found.role, now)
        if now - self._imbalance.since < self._min_duration_s(
            found.role, pools
        ):
            return None
        if self._is_reversal(found.role) and now < self._reversals.allowed_at(
            now
        ):
            return None
        return found

    def _has_evidence(self) -> bool:
        return self.history.current.requests > 0

    def _is_reversal(self, role: types.Role) -> bool:
        return self._last_role not in (None, role)

    def _record_pools(self, now: float, pools: role_balance.Pools) -> None:
        self._pools.append((now, pools))
        while self._pools[0][0] < now - _RESTART_S:
            self._pools.popleft()
        while self._orders and self._orders[0][0] < now - _HALVING_S:
            self._orders.popleft()

    def _settled_pools(self) -> role_balance.Pools:
        """Return the pools once endpoints that were just lost are back."""
        return role_balance.Pools(
            prefill=max(item.prefill for _, item in self._pools),
            decode=max(item.decode for _, item in self._pools),
        )

    def _most_donors(self, pools: role_balance.Pools, role: types.Role) -> int:
        """Return how many endpoints may be given to a role."""
        donors = _donors(pools, role)
        most = donors - _min_pool(pools)
        if self._is_overloaded(role, pools):
            return most
        given = sum(1 for _, item in self._orders if item is role)
        return min(most, (donors + given) // 2 - given)

    def _is_overloaded(
        self, role: types.Role, pools: role_balance.Pools
    ) -> bool:
        """Whether the pool of a role is overloaded by the current demand."""
        shares = role_balance.utilisations(pools, *self.history.current[:2])
        share = shares[0 if role is types.Role.PREFILL else 1]
        return share >= _OVERLOAD_UTILISATION

    def _min_duration_s(
        self, role: types.Role, pools: role_balance.Pools
    ) -> float:
        if self._last_role is None:
            return _FIRST_S
        if self._is_reversal(role) and not self._is_overloaded(role, pools):
            return _REVERSAL_S
        return _FURTHER_S

    def _min_gain(self, role: types.Role, pools: role_balance.Pools) -> float:
        gain = _GAIN
        if self._is_reversal(role) and not self._is_overloaded(role, pools):
            gain = _REVERSAL_GAIN
        return 1.0 + gain / (pools.prefill + pools.decode)

    def _best_plan(
        self, pools: role_balance.Pools, changing: Sequence[types.Role]
    ) -> Plan | None:
        settled = self._settled_pools()
        demand = self.history.peak
        shares = role_balance.utilisations(settled, *demand[:2])
        utilisation = max(shares)
        if utilisation < _MIN_UTILISATION:
            return None
        role = types.Role.PREFILL
        if shares[0] < shares[1]:
            role = types.Role.DECODE
        undoes = any(item is not role for item in changing)
        if undoes and not self._is_overloaded(role, pools):
            return None
        total = pools.prefill + pools.decode
        room = max(1, total // _ENDPOINTS_PER_CHANGE) - len(changing)
        room = min(room, self._most_donors(pools, role))
        # Both with the endpoints that are there and with those that may come
        # back: these may also have changed their role.
        count = self._best_count(pools, role, room)
        count = self._best_count(settled, role, count)
        if count == 0:
            return None
        *_, planned = self._expected_utilisation(
            _moved(settled, role, count), role
        )
        if planned * self._min_gain(role, pools) >= utilisation:
            return None
        return Plan(role, count, demand, utilisation, planned)

    def _best_count(
        self, pools: role_balance.Pools, role: types.Role, room: int
    ) -> int:
        """Return how many endpoints to change.

        `room` is the largest number.  Of the divisions in reach it is the one
        that serves the largest multiple of the peak, the uncertainty counted
        against the giving pool.  What that pool loses counts too: it gives
        its endpoints at once, the other gets them only after the change.
        """
        best, found = self._expected_utilisation(pools, role)[2], 0
        donors = _donors(pools, role)
        for count in range(1, room + 1):
            donor, taker, busier = self._expected_utilisation(
                _moved(pools, role, count), role
            )
            left = donors - count
            loss = _LOSS_WEIGHT / left**2 * donor / taker
            if busier * (1.0 + loss) >= best:
                break
            if not self._survives_loss(left, role, taker):
                break
            best, found = busier, count
        return found

    def _survives_loss(
        self, left: int, role: types.Role, taker: float
    ) -> bool:
        """Whether what is left of the giving pool can lose an endpoint.

        Its peak then still fits, or is no larger for it than that of the
        other pool, whose utilisation is `taker`.
        """
        peak = self.history.peak
        work = peak.prefill if role is types.Role.DECODE else peak.decode
        return left < _MIN_POOL or work <= max(1.0, taker) * (left - 1)

    def _expected_utilisation(
        self, pools: role_balance.Pools, role: types.Role
    ) -> tuple[float, float, float]:
        """Return the utilisation of giver and taker at the peak, and of both.

        The giver's demand is raised by the uncertainty of few requests.
        """
        demand = self.history.peak
        uncertainty = 1.0 + _RATIO_SPREAD / math.sqrt(max(1, demand.requests))
        donor, taker = role_balance.utilisations(pools, *demand[:2])
        if role is types.Role.PREFILL:
            donor, taker = taker, donor
        donor *= uncertainty
        return donor, taker, max(donor, taker)


def spread(
    candidates: list[endpoints.Endpoint],
) -> list[endpoints.Endpoint]:
    """Return candidates of data centres in turn, the largest groups first."""
    groups: dict[types.DataCentre, list[endpoints.Endpoint]] = (
        collections.defaultdict(list)
    )
    for item in candidates:
        groups[item.data_centre].append(item)
    # Each time, the data centre that has most left gives one.
    ranked = [
        (index - len(group), centre, item)
        for centre, group in groups.items()
        for index, item in enumerate(group)
    ]
    return [item for *_, item in sorted(ranked, key=lambda entry: entry[:2])]
