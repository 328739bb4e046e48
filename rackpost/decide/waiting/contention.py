"""The order of services whose kinds or organisations compete.

Composes decisions that are each on or off: the rank, the capacity kept for
more urgent arrivals, refusals, and the guard over kinds.  What is off is
decided as for services without contention.

The state is soft: it starts empty, and nothing is kept free until arrivals
are seen.  Pure: times are readings of the queue's clock, in seconds.
"""

import collections
import itertools
from typing import Sequence

from rackpost.decide import queue_order
from rackpost.decide.waiting import arrival_rates
from rackpost.decide.waiting import contender
from rackpost.decide.waiting import decisions as decisions_mod
from rackpost.decide.waiting import headroom
from rackpost.decide.waiting import keeping
from rackpost.decide.waiting import kind_guard
from rackpost.decide.waiting import order
from rackpost.decide.waiting import outgoing
from rackpost.decide.waiting import peer_reports
from rackpost.decide.waiting import ranking
from rackpost.decide.waiting import refusal
from rackpost.decide.waiting import standings
from rackpost import types

# Number of waiting requests in a report.
_MAX_REPORTED = 6
# Shortest time between two changes that are told of rates, shares and
# outcomes, and longest time until they are repeated, in seconds.  They count
# over seconds, and others keep them for `peer_reports.LIFETIME_S`.
_MIN_INTERVAL_S = 0.25
_REFRESH_S = 0.5
# Until waiting requests are repeated, in seconds; changes are told at once.
_WAITING_REFRESH_S = 0.25
# Changes of a rate below this share do not matter.
_RATE_CHANGE = 0.2


class ContentionOrder(order.AdmissionOrder):
    """Composes the decisions on one service's waiting requests."""

    def __init__(
        self,
        *,
        vm: types.VmId = types.VmId(""),
        weight_of: standings.WeightOf = standings.no_weight,
        decisions: frozenset[decisions_mod.Decision] = decisions_mod.ALL,
    ) -> None:
        """Start with an empty state; `decisions` may change later."""
        self.decisions = decisions
        self._arrivals = arrival_rates.ArrivalRates()
        self._peers = peer_reports.PeerReports()
        self._standings = standings.Standings(
            peers=self._peers, weight_of=weight_of
        )
        self._by_contention = ranking.ContentionRanking(
            peers=self._peers, standings=self._standings, vm=vm
        )
        self._by_deadline = ranking.DeadlineRanking(peers=self._peers, vm=vm)
        self._keeper = keeping.CapacityKeeper(
            arrivals=self._arrivals, peers=self._peers
        )
        self._sure = refusal.SureRefusals(peers=self._peers)
        self._expected = refusal.ExpectedRefusals()
        self._guard = kind_guard.KindGuard()
        # The waiting requests as they were last arranged.
        self._arranged: Sequence[queue_order.WaitingRequest] = ()
        self._told_rates: outgoing.Outgoing[arrival_rates.ArrivalRate] = (
            outgoing.Outgoing(
                min_interval_s=_MIN_INTERVAL_S, refresh_s=_REFRESH_S
            )
        )
        self._told_loads: outgoing.Outgoing[contender.OrganisationLoad] = (
            outgoing.Outgoing(
                min_interval_s=_MIN_INTERVAL_S, refresh_s=_REFRESH_S
            )
        )
        self._told_outcomes: outgoing.Outgoing[kind_guard.KindOutcomes] = (
            outgoing.Outgoing(
                min_interval_s=_MIN_INTERVAL_S, refresh_s=_REFRESH_S
            )
        )
        self._told_waiting: outgoing.Outgoing[contender.Contender] = (
            outgoing.Outgoing(min_interval_s=0.0, refresh_s=_WAITING_REFRESH_S)
        )
        # What was told last: rates by priority, and waiting requests.
        self._rates_told: dict[int, float] = {}
        self._waiting_told: tuple[int, ...] = ()

    def _uses(self, decision: decisions_mod.Decision) -> bool:
        return decision in self.decisions

    @property
    def _ranking(self) -> ranking.Ranking:
        if self._uses(decisions_mod.Decision.RANK):
            return self._by_contention
        return self._by_deadline

    @property
    def _refusals(self) -> refusal.RefusalPolicy:
        if self._uses(decisions_mod.Decision.REFUSAL):
            return self._sure
        return self._expected

    def record_arrival(
        self, request: queue_order.WaitingRequest, now: float
    ) -> None:
        """Count the arrival, unless it was counted before."""
        if request.admitted_before:
            return
        if request.refused_before:
            # It is not lost after all.
            self._record(request, kind_guard.Outcome.UNSERVED, now, -1)
            return
        self._arrivals.add(
            request.priority, contender.slack_s(request, now), now
        )

    def record_admitted(
        self, request: queue_order.WaitingRequest, now: float
    ) -> kind_guard.Outcome | None:
        """Count the capacity as used by the organisation."""
        self._standings.record_admitted(request)
        if request.admitted_before:
            return None
        outcome = kind_guard.Outcome.IN_TIME
        if contender.slack_s(request, now) < 0.0:
            outcome = kind_guard.Outcome.LATE
            if self._ranking.contender(request, now).is_lifted:
                outcome = kind_guard.Outcome.LIFTED
        self._record(request, outcome, now)
        return outcome

    def record_released(self, request: queue_order.WaitingRequest) -> None:
        """Count the capacity as no longer used."""
        self._standings.record_released(request)

    def record_unserved(
        self, request: queue_order.WaitingRequest, now: float
    ) -> None:
        """Count a request that was refused, or whose client left."""
        if not request.admitted_before:
            self._record(request, kind_guard.Outcome.UNSERVED, now)

    def _record(
        self,
        request: queue_order.WaitingRequest,
        outcome: kind_guard.Outcome,
        now: float,
        count: int = 1,
    ) -> None:
        self._guard.record(request.priority, outcome, now, count)

    def arrange(
        self, waiting: Sequence[queue_order.WaitingRequest], now: float
    ) -> list[queue_order.WaitingRequest]:
        """Return the requests by rank."""
        owed = {}
        if waiting and self._uses(decisions_mod.Decision.GUARD):
            owed = self._guard.owed(now)
        arranged = self._ranking.arrange(waiting, now, owed)
        self._arranged = arranged
        return arranged

    def kept_for(
        self,
        request: queue_order.WaitingRequest,
        pool: headroom.PoolState,
        now: float,
    ) -> order.Kept | None:
        """Return for whom capacity is kept, None if it may be admitted."""
        if not self._uses(decisions_mod.Decision.KEPT):
            return None
        if not self._keeper.is_kept(request, pool, now):
            return None
        if self._standings.of(request).over_share:
            return order.Kept.SHARE
        return order.Kept.HEADROOM

    def yields_to_arrivals(
        self, request: queue_order.WaitingRequest, now: float
    ) -> bool:
        """Whether requests that go before it arrived lately."""
        return self._uses(
            decisions_mod.Decision.KEPT
        ) and self._keeper.has_more_urgent_arrivals(request, now)

    def ahead_elsewhere(
        self, request: queue_order.WaitingRequest, now: float
    ) -> int:
        """Return how many requests at other gateways are ahead."""
        return len(self._ranking.ahead_elsewhere(request, now))

    def expected_wait_s(
        self,
        request: queue_order.WaitingRequest,
        ahead: int,
        pool: headroom.PoolState,
        now: float,
    ) -> float:
        """Return the wait until releases reach it, in seconds."""
        return self._refusals.expected_wait_s(ahead, pool)

    def is_hopeless(
        self,
        request: queue_order.WaitingRequest,
        wait_s: float,
        pool_of: order.PoolOf,
        now: float,
    ) -> bool:
        """Whether to refuse a request that has just arrived."""
        return self._refusals.is_hopeless(
            request,
            wait_s,
            lambda: (pool_of(), self._ahead(request, now)),
            now,
        )

    def _ahead(
        self, request: queue_order.WaitingRequest, now: float
    ) -> list[contender.Contender]:
        here = itertools.takewhile(
            lambda item: item is not request, self._arranged
        )
        found = [self._ranking.contender(item, now) for item in here]
        return found + self._ranking.ahead_elsewhere(request, now)

    def return_in_s(
        self, wait_s: float, pool: headroom.PoolState, now: float
    ) -> float | None:
        """Take a place in the order of return; return when it is due."""
        return self._refusals.return_in_s(wait_s, pool, now)

    def report(
        self, waiting: Sequence[queue_order.WaitingRequest], now: float
    ) -> contender.ContentionReport | None:
        """Return what has changed of arrivals, use and waiting requests."""
        report = contender.ContentionReport(
            rates=self._next_rates(now),
            loads=self._told_loads.next(self._loads(waiting), now),
            waiting=self._next_waiting(waiting, now),
            outcomes=self._told_outcomes.next(self._guard.outcomes(now), now),
        )
        return None if report == contender.ContentionReport() else report

    def _next_rates(
        self, now: float
    ) -> tuple[arrival_rates.ArrivalRate, ...] | None:
        rates = self._arrivals.rates(now)
        found = {item.priority: item.per_s for item in rates}
        changed = any(
            abs(found.get(key, 0.0) - self._rates_told.get(key, 0.0))
            > _RATE_CHANGE * self._rates_told.get(key, 0.0)
            for key in found.keys() | self._rates_told.keys()
        )
        told = self._told_rates.next(rates, now, changed=changed)
        if told is not None:
            self._rates_told = found
        return told

    def _next_waiting(
        self, waiting: Sequence[queue_order.WaitingRequest], now: float
    ) -> tuple[contender.Contender, ...] | None:
        contenders = {
            id(item): self._ranking.contender(item, now) for item in waiting
        }
        first = sorted(contenders, key=lambda key: contenders[key].rank())
        del first[_MAX_REPORTED:]
        told = self._told_waiting.next(
            tuple(contenders[key] for key in first),
            now,
            changed=tuple(first) != self._waiting_told,
        )
        if told is not None:
            self._waiting_told = tuple(first)
        return told

    def _loads(
        self, waiting: Sequence[queue_order.WaitingRequest]
    ) -> tuple[contender.OrganisationLoad, ...]:
        counts = collections.Counter(
            (item.priority, item.organisation) for item in waiting
        )
        held = self._standings.held
        keys = sorted(
            held.keys() | counts.keys(),
            key=lambda key: (key[0], key[1] or ""),
        )
        return tuple(
            contender.OrganisationLoad(
                priority=key[0],
                organisation=key[1],
                held=held.get(key, 0),
                waiting=counts[key],
            )
            for key in keys
        )

    def receive(
        self,
        sender: types.VmId,
        report: contender.ContentionReport,
        now: float,
    ) -> None:
        """Take in the report of another gateway."""
        self._peers.receive(sender, report, now)
        if report.outcomes is not None:
            self._guard.receive(sender, report.outcomes, now)
