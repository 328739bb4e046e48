"""The demand offered to an entry, by density (weight per cost)."""

import asyncio
from typing import Callable
from typing import Sequence

from rackpost.decide import capacity
from rackpost.decide import declared_events as declared_events_mod
from rackpost.decide import demand
from rackpost.decide import endpoint_view
from rackpost.decide import fairness
from rackpost.entry import request
from rackpost import types

DeclaredEvents = Callable[
    [types.ServiceName], Sequence[declared_events_mod.DeclaredEvent]
]
# Returns how many endpoints of a service and role the site has, or None.
MemberCount = Callable[[types.ServiceName, types.Role], int | None]


class _ServiceDemand:
    """The demand for one service."""

    def __init__(self) -> None:
        self.demand = demand.DemandEstimator()
        self.fairness = fairness.FairShareTracker()
        self.last_higher_density = demand.NO_DEMAND


class DemandTracker:
    """Records each request, and estimates the demand of higher density.

    `entries` returns how many entries the site has, and `wall` seconds
    since the epoch, which the times of declared events use.
    """

    def __init__(
        self,
        *,
        entries: Callable[[], int],
        events: DeclaredEvents,
        members: MemberCount,
        wall: Callable[[], float],
    ) -> None:
        self._entries = entries
        self._events = events
        self._members = members
        self._wall = wall
        self._loop = asyncio.get_running_loop()
        self._services: dict[types.ServiceName, _ServiceDemand] = {}

    def record_request(
        self,
        req: request.Request,
        linked: Sequence[endpoint_view.EndpointView],
    ) -> demand.HigherDensityDemand:
        """Record a request, and return the demand of higher density.

        The result is for the whole site, per endpoint.  Other entries are
        assumed to receive as much as this one, as callers are balanced
        evenly over them.
        """
        if req.plain is not None:
            return demand.NO_DEMAND
        service = self._services.setdefault(req.service, _ServiceDemand())
        pool = capacity.of_pool(linked)
        offer = self._offer(req, service, pool)
        service.demand.record_offer(req.kind, offer)
        entries = self._entries()
        self._update_declared_rates(
            req.service, service.demand, offer.at, entries
        )
        prefill_endpoints = self._members(req.service, types.Role.PREFILL)
        decode_endpoints = self._members(req.service, types.Role.DECODE)
        service.last_higher_density = service.demand.higher_density_than(
            offer
        ).scaled(
            entries / max(1, decode_endpoints or pool.decode_endpoints),
            entries / max(1, prefill_endpoints or pool.prefill_endpoints),
        )
        return service.last_higher_density

    def last_higher_density_load(self, service: types.ServiceName) -> float:
        """Return the prefill load above the density of the last request."""
        tracked = self._services.get(service)
        if tracked is None:
            return 0.0
        return (
            tracked.last_higher_density.urgent_load
            + tracked.last_higher_density.other_load
        )

    def _offer(
        self,
        req: request.Request,
        service: _ServiceDemand,
        pool: capacity.PoolCapacity,
    ) -> demand.Offer:
        now = self._loop.time()
        prefill_s = pool.prefill_s(req.prompt_tokens)
        cost = pool.cost(prefill_s, req.max_tokens)
        share = service.fairness.record_request(req.caller, cost, now)
        return demand.Offer(
            at=now,
            density=req.terms.weight * share / cost,
            cost_s=prefill_s,
            target_s=req.terms.ttft_s,
        )

    def _update_declared_rates(
        self,
        service: types.ServiceName,
        estimator: demand.DemandEstimator,
        at: float,
        entries: int,
    ) -> None:
        declared = self._events(service)
        if not declared:
            estimator.set_declared_rates({})
            return
        rates = {
            kind: rate * entries for kind, rate in estimator.rates(at).items()
        }
        expected = declared_events_mod.expected_rates(
            declared, seen=rates, now=self._wall()
        )
        # This entry's share of the rates of the site.
        estimator.set_declared_rates(
            {kind: rate / entries for kind, rate in expected.items()}
        )
