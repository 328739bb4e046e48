"""Capacity that is kept free for more urgent arrivals.

Pure: times are readings of the queue's clock, in seconds.
"""

from rackpost.decide import queue_order
from rackpost.decide.waiting import arrival_rates
from rackpost.decide.waiting import headroom
from rackpost.decide.waiting import peer_reports


class CapacityKeeper:
    """Keeps capacity for the arrivals of more urgent kinds.

    None is kept for arrivals of a request's own kind, nor while running
    generations end sooner than more urgent requests arrive.
    """

    def __init__(
        self,
        *,
        arrivals: arrival_rates.ArrivalRates,
        peers: peer_reports.PeerReports,
    ) -> None:
        self._arrivals = arrivals
        self._peers = peers

    def has_more_urgent_arrivals(
        self, request: queue_order.WaitingRequest, now: float
    ) -> bool:
        """Whether more urgent requests arrived lately, at any gateway."""
        return bool(self._rates(request, now))

    def is_kept(
        self,
        request: queue_order.WaitingRequest,
        pool: headroom.PoolState,
        now: float,
    ) -> bool:
        """Whether all free capacity is kept for more urgent arrivals."""
        kept = headroom.kept_capacity(
            self._rates(request, now), pool, request.generation_s
        )
        return 0 < kept >= pool.capacity

    def _rates(
        self, request: queue_order.WaitingRequest, now: float
    ) -> list[arrival_rates.ArrivalRate]:
        return [
            item
            for item in self._peers.rates(self._arrivals.rates(now), now)
            if item.priority < request.priority
        ]
