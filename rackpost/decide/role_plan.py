"""Plan changes of role on first evidence, for the peaks of the demand.

A change takes longer than most bursts last, so the pools are divided for the
mix that the peaks show, before the next one.  Waves and bursts of all kinds
together leave the division as it is: it depends on the ratio of the two
demands, not on their level.

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

# Spread of the work of one request, over its mean.
_WORK_SPREAD = 0.9
# A pool is too busy where a burst of twice the peak would overload it.
_MIN_UTILISATION = 0.45
# From this utilisation on, a pool is overloaded.
_OVERLOAD_UTILISATION = 0.85
# Largest utilisation of the pool that gives endpoints, at the peak.
_MAX_DONOR_UTILISATION = 0.9
# How long an imbalance must last before a change.  The first change follows
# the first evidence; a further one must outlast a burst's first seconds, and
# one in the other direction what a change of role takes, unless the pool is
# overloaded now.
_FIRST_S = 0.4
_FURTHER_S = 2.0
_REVERSAL_S = 6.0
# A change must lower the utilisation of the busier pool by a factor of 1 plus
# this over the number of endpoints.  A reversal must pay for two changes.
_GAIN = 2.0
_GAIN_OVERLOADED = 1.0
_REVERSAL_GAIN = 3.0
# One in this many endpoints may change its role at a time.
_ENDPOINTS_PER_CHANGE = 5
# After a loss or return of more than one in this many endpoints at a time,
# no role is changed for as long as most restarts take.
_ENDPOINTS_PER_LOSS = 10
_SETTLE_S = 6.0


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


class RolePlanner:
    """Plans the changes of role of one model service."""

    def __init__(self) -> None:
        self.history = role_demand.DemandHistory()
        self._imbalance: _Imbalance | None = None
        self._last_role: types.Role | None = None
        # Endpoints at each check of the last seconds.
        self._totals: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def record_order(self, role: types.Role) -> None:
        """Record that endpoints were ordered to take a role."""
        self._last_role = role
        self._imbalance = None

    def forget_orders(self) -> None:
        """Forget orders, as where another coordinator gives them."""
        self._last_role = None
        self._imbalance = None

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
        if self._is_unsettled(now, pools) or not self._has_evidence():
            self._imbalance = None
            return None
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
        return found

    def _has_evidence(self) -> bool:
        return self.history.current.requests > 0

    def _is_unsettled(self, now: float, pools: role_balance.Pools) -> bool:
        """Whether many endpoints were lost or came back a moment ago."""
        total = pools.prefill + pools.decode
        self._totals.append((now, total))
        while self._totals[0][0] < now - _SETTLE_S:
            self._totals.popleft()
        counts = [count for _, count in self._totals]
        allowed = max(1, total // _ENDPOINTS_PER_LOSS)
        return max(counts) - min(counts) > allowed

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
        if self._last_role is role or self._is_overloaded(role, pools):
            return _FURTHER_S
        return _REVERSAL_S

    def _min_gain(
        self,
        role: types.Role,
        pools: role_balance.Pools,
    ) -> float:
        is_reversal = self._last_role not in (None, role)
        if is_reversal and not self._is_overloaded(role, pools):
            gain = _REVERSAL_GAIN
        elif self._is_overloaded(role, pools):
            gain = _GAIN_OVERLOADED
        else:
            gain = _GAIN
        return 1.0 + gain / (pools.prefill + pools.decode)

    def _best_plan(
        self, pools: role_balance.Pools, changing: Sequence[types.Role]
    ) -> Plan | None:
        demand = self.history.peak
        shares = role_balance.utilisations(pools, *demand[:2])
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
        count = self._best_count(pools, role, room)
        if count == 0:
            return None
        planned = max(
            role_balance.utilisations(_moved(pools, role, count), *demand[:2])
        )
        if planned * self._min_gain(role, pools) >= utilisation:
            return None
        return Plan(role, count, demand, utilisation, planned)

    def _best_count(
        self, pools: role_balance.Pools, role: types.Role, room: int
    ) -> int:
        """Return how many endpoints to change; the giving pool keeps room.

        It gives its endpoints at once, the other pool gets them only after
        the change.  Few requests show its demand inaccurately, and the mix
        may change: it keeps at least half of its endpoints.
        """
        demand = self.history.peak
        uncertainty = 1.0 + _WORK_SPREAD / math.sqrt(demand.requests)
        best = max(role_balance.utilisations(pools, *demand[:2]))
        limit = max(_MAX_DONOR_UTILISATION, best / uncertainty)
        donors = pools.prefill if role is types.Role.DECODE else pools.decode
        found = 0
        for count in range(1, min(room, donors // 2) + 1):
            shares = role_balance.utilisations(
                _moved(pools, role, count), *demand[:2]
            )
            donor = shares[0 if role is types.Role.DECODE else 1]
            if max(shares) >= best or donor * uncertainty > limit:
                break
            best, found = max(shares), count
        return found


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
