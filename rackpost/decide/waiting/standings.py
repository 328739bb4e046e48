"""Organisations of one priority that compete, and their shares.

Pure: times are readings of the owner's clock, in seconds.
"""

import collections
import statistics
from typing import Callable
from typing import Iterable
from typing import NamedTuple
from typing import Sequence

from rackpost.decide import queue_order
from rackpost.decide.waiting import contender
from rackpost.decide.waiting import peer_reports
from rackpost.decide.waiting import shares
from rackpost import types

Organisation = types.OrganisationName | None
_Counts = collections.Counter[Organisation]
# Returns the weight of an organisation's share, None if it has none.
WeightOf = Callable[[Organisation], float | None]
# Positions are reported as integers, in these parts of a request.
_POSITION_PARTS = 100


def no_weight(organisation: Organisation) -> None:
    """Return None: organisations have equal weights."""
    return None


class Standing(NamedTuple):
    """Place of a waiting request against its organisation's share."""

    over_share: bool = False
    position: int = 0


class Standings:
    """Compares what organisations use of the pool."""

    def __init__(
        self, *, peers: peer_reports.PeerReports, weight_of: WeightOf
    ) -> None:
        """An organisation without a weight has the mean of the others."""
        self._peers = peers
        self._weight_of = weight_of
        self.held: collections.Counter[tuple[int, Organisation]] = (
            collections.Counter()
        )
        # Requests that compete, by identity, since the last comparison.
        self._found: dict[int, Standing] = {}

    def record_admitted(self, request: queue_order.WaitingRequest) -> None:
        """Count the capacity as used by the organisation."""
        self.held[request.priority, request.organisation] += 1

    def record_released(self, request: queue_order.WaitingRequest) -> None:
        """Count the capacity as no longer used."""
        key = request.priority, request.organisation
        self.held[key] -= 1
        if self.held[key] <= 0:
            del self.held[key]

    def of(self, request: queue_order.WaitingRequest) -> Standing:
        """Return the place of a request since the last comparison."""
        return self._found.get(id(request), Standing())

    def compare(
        self, waiting: Sequence[queue_order.WaitingRequest], now: float
    ) -> None:
        """Compare the organisations of each priority that compete."""
        self._found = {}
        groups: dict[int, list[queue_order.WaitingRequest]] = {}
        for item in waiting:
            groups.setdefault(item.priority, []).append(item)
        for priority, group in groups.items():
            self._compare_group(priority, group, now)

    def _compare_group(
        self,
        priority: int,
        group: Sequence[queue_order.WaitingRequest],
        now: float,
    ) -> None:
        held, demands = self._uses(priority, now)
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
            use = held[key] / weights[key]
            held[key] += 1
            self._found[id(item)] = Standing(
                over_share=use >= level, position=round(_POSITION_PARTS * use)
            )

    def _uses(self, priority: int, now: float) -> tuple[_Counts, _Counts]:
        """Return what organisations hold, and wait for at other gateways."""
        held: _Counts = collections.Counter()
        waiting: _Counts = collections.Counter()
        for (level, organisation), count in self.held.items():
            if level == priority:
                held[organisation] += count
        for load in self._peers.loads(now):
            if load.priority == priority:
                held[load.organisation] += load.held
                waiting[load.organisation] += load.waiting
        return held, waiting

    def _weights(
        self, organisations: Iterable[Organisation]
    ) -> dict[Organisation, float]:
        """Return weights with a mean of 1 of those that are known."""
        own = {key: self._weight_of(key) for key in organisations}
        known = [weight for weight in own.values() if weight is not None]
        usual = statistics.mean(known) if known else 1.0
        return {
            key: 1.0 if weight is None else weight / usual
            for key, weight in own.items()
        }
