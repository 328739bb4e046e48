"""The order of services whose kinds or organisations compete.

Requests that can be in time are ahead of late ones; among either, a more
urgent request is always ahead of a less urgent one.  Among those of one
priority organisations below their max-min share are first, then the earliest
deadline.
Capacity is kept for the more urgent arrivals of the next seconds, and for
those of the same priority where a request is late.

The state is soft: it starts empty, and nothing is kept free until arrivals
are seen.  Pure: times are readings of the queue's clock, in seconds.
"""

import collections
import math
import statistics
from typing import Callable
from typing import Iterable
from typing import Sequence

from rackpost.decide import queue_order
from rackpost.decide.waiting import arrival_rates
from rackpost.decide.waiting import contender
from rackpost.decide.waiting import headroom
from rackpost.decide.waiting import order
from rackpost.decide.waiting import shares
from rackpost import types

# Gateways report at least each second.  Reports count a little longer:
# capacity must not stay free for a gateway that is gone.
_REPORT_LIFETIME_S = 1.3
# Number of waiting requests in a report.
_MAX_REPORTED = 6

_Organisation = types.OrganisationName | None
_Use = dict[tuple[int, _Organisation], int]
# Returns the weight of an organisation's share, None if it has none.
WeightOf = Callable[[_Organisation], float | None]


def _no_weight(organisation: _Organisation) -> None:
    return None


class _Standing:
    """Place of one waiting request against its organisation's share."""

    def __init__(self, *, over_share: bool, position: float) -> None:
        self.over_share = over_share
        self.position = position


class ContentionOrder(order.AdmissionOrder):
    """Keeps the urgent ahead, shares fairly, serves late ones last."""

    def __init__(
        self,
        *,
        vm: types.VmId = types.VmId(""),
        weight_of: WeightOf = _no_weight,
    ) -> None:
        """Start with an empty state.

        An organisation without a weight has the mean of the others.
        """
        self._vm = vm
        self._weight_of = weight_of
        self._arrivals = arrival_rates.ArrivalRates()
        self._held: _Use = collections.Counter()
        self._reports: dict[
            types.VmId, tuple[float, contender.ContentionReport]
        ] = {}
        # Requests over their share, by identity, since the last arrangement.
        self._standings: dict[int, _Standing] = {}
        # Clock reading of the last place in the order of return.
        self._last_return_at = -math.inf

    def record_arrival(
        self, request: queue_order.WaitingRequest, now: float
    ) -> None:
        """Count the arrival, unless it was counted before its refusal."""
        if not request.refused_before:
            self._arrivals.add(
                request.priority, contender.slack_s(request, now), now
            )

    def record_admitted(self, request: queue_order.WaitingRequest) -> None:
        """Count the capacity as used by the organisation."""
        self._held[request.priority, request.organisation] += 1

    def record_released(self, request: queue_order.WaitingRequest) -> None:
        """Count the capacity as no longer used."""
        key = request.priority, request.organisation
        self._held[key] -= 1
        if self._held[key] <= 0:
            del self._held[key]

    def arrange(
        self, waiting: Sequence[queue_order.WaitingRequest], now: float
    ) -> list[queue_order.WaitingRequest]:
        """Return the requests by rank."""
        self._update_standings(waiting, now)
        return sorted(waiting, key=lambda item: self._rank(item, now))

    def _rank(
        self, request: queue_order.WaitingRequest, now: float
    ) -> contender.ContenderRank:
        return self._contender(request, now).rank()

    def _contender(
        self, request: queue_order.WaitingRequest, now: float
    ) -> contender.Contender:
        standing = self._standings.get(id(request))
        return contender.Contender(
            priority=request.priority,
            slack_s=round(contender.slack_s(request, now), 4),
            margin_s=round(contender.margin_s(request), 3),
            leave_s=round(request.start_by - now, 4),
            over_share=standing is not None and standing.over_share,
            position=0.0 if standing is None else round(standing.position, 3),
            returned=request.refused_before,
        )

    def _update_standings(
        self, waiting: Sequence[queue_order.WaitingRequest], now: float
    ) -> None:
        """Compare the organisations of each priority that compete."""
        self._standings = {}
        groups: dict[int, list[queue_order.WaitingRequest]] = {}
        for item in waiting:
            groups.setdefault(item.priority, []).append(item)
        for priority, group in groups.items():
            self._compare_organisations(priority, group, now)

    def _compare_organisations(
        self,
        priority: int,
        group: Sequence[queue_order.WaitingRequest],
        now: float,
    ) -> None:
        held = self._held_by(priority, now)
        demands = self._waiting_by(priority, now)
        for item in group:
            demands[item.organisation] += 1
        if len(held.keys() | demands.keys()) < 2:
            return
        demands.update(held)
        weights = self._weights(demands)
        # The shares of what is used now and of the next capacity.
        level = shares.fair_level(demands, weights, sum(held.values()) + 1)
        by_time = sorted(
            group,
            key=lambda item: (contender.slack_s(item, now) < 0.0, item.target),
        )
        for item in by_time:
            key = item.organisation
            position = held[key] / weights[key]
            held[key] += 1
            self._standings[id(item)] = _Standing(
                over_share=position >= level, position=position
            )

    def _weights(
        self, organisations: Iterable[_Organisation]
    ) -> dict[_Organisation, float]:
        own = {key: self._weight_of(key) for key in organisations}
        known = [weight for weight in own.values() if weight is not None]
        usual = statistics.mean(known) if known else 1.0
        return {
            key: usual if weight is None else weight
            for key, weight in own.items()
        }

    def _held_by(
        self, priority: int, now: float
    ) -> collections.Counter[_Organisation]:
        """Return what each organisation uses of the pool."""
        found: collections.Counter[_Organisation] = collections.Counter()
        for (level, organisation), count in self._held.items():
            if level == priority:
                found[organisation] += count
        for load in self._reported_loads(priority, now):
            found[load.organisation] += load.held
        return found

    def _waiting_by(
        self, priority: int, now: float
    ) -> collections.Counter[_Organisation]:
        """Return what each organisation waits for at other gateways."""
        found: collections.Counter[_Organisation] = collections.Counter()
        for load in self._reported_loads(priority, now):
            found[load.organisation] += load.waiting
        return found

    def _reported_loads(
        self, priority: int, now: float
    ) -> Iterable[contender.OrganisationLoad]:
        return (
            load
            for _, _, report in self._fresh_reports(now)
            for load in report.loads
            if load.priority == priority
        )

    def _fresh_reports(
        self, now: float
    ) -> list[tuple[types.VmId, float, contender.ContentionReport]]:
        """Return sender, age in seconds and content of recent reports."""
        return [
            (sender, now - at, report)
            for sender, (at, report) in self._reports.items()
            if now - at <= _REPORT_LIFETIME_S
        ]

    def _rates(
        self, most_priority: int, now: float
    ) -> list[arrival_rates.ArrivalRate]:
        """Return the rates at all gateways, up to a priority."""
        found: dict[int, arrival_rates.ArrivalRate] = {}
        reported = (item for _, _, item in self._fresh_reports(now))
        sources = [self._arrivals.rates(now)]
        sources += [item.rates for item in reported]
        for rate in (item for rates in sources for item in rates):
            if rate.priority > most_priority:
                continue
            known = found.get(rate.priority)
            found[rate.priority] = arrival_rates.ArrivalRate(
                priority=rate.priority,
                per_s=rate.per_s + (known.per_s if known else 0.0),
                slack_s=min(
                    rate.slack_s, known.slack_s if known else math.inf
                ),
            )
        return list(found.values())

    def kept_for(
        self,
        request: queue_order.WaitingRequest,
        pool: headroom.PoolState,
        now: float,
    ) -> order.Kept | None:
        """Return for whom capacity is kept, None if it may be admitted."""
        rates = self._rates_ahead(request, now)
        kept = headroom.kept_capacity(rates, pool, request.generation_s)
        if kept < pool.capacity:
            return None
        if self._is_over_share(request):
            return order.Kept.SHARE
        if self._yields_to_equals(request, now):
            return order.Kept.LATE
        return order.Kept.HEADROOM

    def yields_to_arrivals(
        self, request: queue_order.WaitingRequest, now: float
    ) -> bool:
        """Whether requests that go before it arrived lately."""
        return bool(self._rates_ahead(request, now))

    def _rates_ahead(
        self, request: queue_order.WaitingRequest, now: float
    ) -> list[arrival_rates.ArrivalRate]:
        """Return the rates of the arrivals for which it has to wait."""
        priority = request.priority
        if not self._yields_to_equals(request, now):
            priority -= 1
        return self._rates(priority, now)

    def _yields_to_equals(
        self, request: queue_order.WaitingRequest, now: float
    ) -> bool:
        """Whether arrivals of its own priority go before it.

        A returned request has its place, ahead of them.
        """
        late = contender.slack_s(request, now) < 0.0
        return late and not request.refused_before

    def _is_over_share(self, request: queue_order.WaitingRequest) -> bool:
        standing = self._standings.get(id(request))
        return standing is not None and standing.over_share

    def ahead_elsewhere(
        self, request: queue_order.WaitingRequest, now: float
    ) -> int:
        """Return how many requests at other gateways are ahead."""
        own = self._rank(request, now)
        return sum(
            contender.is_ahead(other.rank(age_s), sender, own, self._vm)
            for sender, age_s, report in self._fresh_reports(now)
            for other in report.waiting
        )

    def expected_wait_s(
        self,
        request: queue_order.WaitingRequest,
        ahead: int,
        pool: headroom.PoolState,
        now: float,
    ) -> float:
        """Return the wait until releases reach it, in seconds.

        More urgent arrivals go first, and where it is late by then, those
        of its own priority.
        """
        urgent = self._rates(request.priority - 1, now)
        wait_s = headroom.expected_wait_s(ahead, urgent, pool)
        if wait_s <= contender.slack_s(request, now) or request.refused_before:
            return wait_s
        rates = self._rates(request.priority, now)
        return headroom.expected_wait_s(ahead, rates, pool)

    def is_hopeless(
        self,
        request: queue_order.WaitingRequest,
        wait_s: float,
        now: float,
    ) -> bool:
        """Whether to refuse a request that is expected to wait `wait_s`.

        A request that has returned waits as long as it can be served.
        """
        if request.refused_before:
            return queue_order.is_infeasible(request, now)
        return queue_order.will_be_infeasible(request, wait_s, now)

    def return_in_s(
        self, wait_s: float, pool: headroom.PoolState, now: float
    ) -> float:
        """Take a place in the order of return; return when it is due."""
        # All gateways give places of their own, so that each gives few.
        spacing_s = (
            pool.generation_s
            * (1 + len(self._fresh_reports(now)))
            / max(1, len(pool.releases_s))
        )
        at = max(now + wait_s, self._last_return_at + spacing_s)
        self._last_return_at = at
        return at - now

    def report(
        self, waiting: Sequence[queue_order.WaitingRequest], now: float
    ) -> contender.ContentionReport | None:
        """Return the arrivals, use and waiting requests here."""
        rates = self._arrivals.rates(now)
        if not rates and not self._held and not waiting:
            return None
        first = sorted(
            (self._contender(item, now) for item in waiting),
            key=lambda item: item.rank(),
        )
        counts = collections.Counter(
            (item.priority, item.organisation) for item in waiting
        )
        return contender.ContentionReport(
            rates=rates,
            loads=tuple(
                contender.OrganisationLoad(
                    priority=key[0],
                    organisation=key[1],
                    held=self._held.get(key, 0),
                    waiting=counts[key],
                )
                for key in self._held.keys() | counts.keys()
            ),
            waiting=tuple(first[:_MAX_REPORTED]),
        )

    def receive(
        self,
        sender: types.VmId,
        report: contender.ContentionReport,
        now: float,
    ) -> None:
        """Take in the report of another gateway."""
        self._reports[sender] = now, report
        for name, (at, _) in list(self._reports.items()):
            if now - at > _REPORT_LIFETIME_S:
                del self._reports[name]
