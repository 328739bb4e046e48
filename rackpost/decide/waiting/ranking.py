"""Who is admitted next where kinds or organisations compete.

Requests that can be in time are ahead of late ones; among either, a more
urgent request is always ahead of a less urgent one.  Among those of one
priority, ones whose prompt is prefilled are first, then organisations below
their max-min share, then the earliest deadline.  Late requests of a kind that
is served too seldom are lifted among those in time.

Pure: times are readings of the queue's clock, in seconds.
"""

import abc
from typing import Mapping
from typing import Sequence

from rackpost.decide import queue_order
from rackpost.decide.waiting import contender
from rackpost.decide.waiting import peer_reports
from rackpost.decide.waiting import standings as standings_mod
from rackpost import types

_Waiting = Sequence[queue_order.WaitingRequest]


class Ranking(abc.ABC):
    """Orders waiting requests, here and against those elsewhere."""

    @abc.abstractmethod
    def arrange(
        self, waiting: _Waiting, now: float, owed: Mapping[int, int]
    ) -> list[queue_order.WaitingRequest]:
        """Return the waiting requests, the first to be admitted first.

        `owed` is how many requests of each priority are to be lifted.
        """

    @abc.abstractmethod
    def ahead_elsewhere(
        self, request: queue_order.WaitingRequest, now: float
    ) -> list[contender.Contender]:
        """Return the requests at other gateways that are ahead."""

    @abc.abstractmethod
    def contender(
        self, request: queue_order.WaitingRequest, now: float
    ) -> contender.Contender:
        """Return a request as it is reported."""


class DeadlineRanking(Ranking):
    """The rank by priority and deadline, as of services without contention."""

    def __init__(
        self, *, peers: peer_reports.PeerReports, vm: types.VmId
    ) -> None:
        self._peers = peers
        self._vm = vm

    def arrange(
        self, waiting: _Waiting, now: float, owed: Mapping[int, int]
    ) -> list[queue_order.WaitingRequest]:
        """Return the requests by rank; none is lifted."""
        return sorted(waiting, key=lambda item: queue_order.rank_of(item, now))

    def ahead_elsewhere(
        self, request: queue_order.WaitingRequest, now: float
    ) -> list[contender.Contender]:
        """Return the requests at other gateways with a lower rank."""
        own = queue_order.summarize(request, now).rank(0.0)
        return [
            other
            for sender, age_s, other in self._peers.waiting(now)
            if queue_order.is_ahead(
                other.deadline_rank(age_s), sender, own, self._vm
            )
        ]

    def contender(
        self, request: queue_order.WaitingRequest, now: float
    ) -> contender.Contender:
        """Return a request as it is reported."""
        return contender.contender(request, now)


class ContentionRanking(Ranking):
    """Keeps the urgent ahead, shares fairly, serves late ones last."""

    def __init__(
        self,
        *,
        peers: peer_reports.PeerReports,
        standings: standings_mod.Standings,
        vm: types.VmId,
    ) -> None:
        self._peers = peers
        self._standings = standings
        self._vm = vm
        # Requests that are lifted, by identity, since the last arrangement.
        self._lifted: set[int] = set()

    def arrange(
        self, waiting: _Waiting, now: float, owed: Mapping[int, int]
    ) -> list[queue_order.WaitingRequest]:
        """Return the requests by rank."""
        self._standings.compare(waiting, now)
        self._lifted = set()
        arranged = self._sorted(waiting, now)
        if owed:
            self._lift(arranged, now, owed)
            arranged = self._sorted(arranged, now)
        return arranged

    def _sorted(
        self, waiting: _Waiting, now: float
    ) -> list[queue_order.WaitingRequest]:
        return sorted(
            waiting, key=lambda item: self.contender(item, now).rank()
        )

    def _lift(
        self, arranged: _Waiting, now: float, owed: Mapping[int, int]
    ) -> None:
        """Lift the first late requests of each priority that is owed some.

        All gateways lift as many together, as each counts those that are
        ahead elsewhere.
        """
        lifted = dict.fromkeys(owed, 0)
        for item in arranged:
            priority = item.priority
            if priority not in owed or contender.slack_s(item, now) >= 0.0:
                continue
            ahead = lifted[priority] + self._late_ahead(item, now)
            if ahead < owed[priority]:
                lifted[priority] += 1
                self._lifted.add(id(item))

    def _late_ahead(
        self, request: queue_order.WaitingRequest, now: float
    ) -> int:
        """Return how many late ones of its priority are ahead elsewhere."""
        own = self.contender(request, now).rank()
        return sum(
            contender.is_ahead(
                other.rank(age_s)._replace(is_late=True), sender, own, self._vm
            )
            for sender, age_s, other in self._peers.waiting(now)
            if other.priority == request.priority
            and other.slack_ms < 1000.0 * age_s
        )

    def ahead_elsewhere(
        self, request: queue_order.WaitingRequest, now: float
    ) -> list[contender.Contender]:
        """Return the requests at other gateways with a lower rank."""
        own = self.contender(request, now).rank()
        found = []
        for sender, age_s, other in self._peers.waiting(now):
            # The first two parts of the rank usually decide.
            first = other.is_late_after(age_s), other.priority
            if first < own[:2] or (
                first == own[:2]
                and contender.is_ahead(
                    other.rank(age_s), sender, own, self._vm
                )
            ):
                found.append(other)
        return found

    def contender(
        self, request: queue_order.WaitingRequest, now: float
    ) -> contender.Contender:
        """Return a request as it is reported."""
        standing = self._standings.of(request)
        marks = 0
        if standing.over_share:
            marks |= contender.OVER_SHARE
        if id(request) in self._lifted:
            marks |= contender.LIFTED
        return contender.contender(
            request, now, marks=marks, position=standing.position
        )
