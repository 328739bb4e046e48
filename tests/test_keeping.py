"""Capacity that is kept free for more urgent arrivals."""

from rackpost.decide.waiting import arrival_rates
from rackpost.decide.waiting import keeping
from rackpost.decide.waiting import peer_reports
from tests import test_contention_order

_request = test_contention_order.request
_pool = test_contention_order.pool


def _keeper(priority: int) -> keeping.CapacityKeeper:
    """A keeper that saw 20 arrivals of a priority within 2 s."""
    arrivals = arrival_rates.ArrivalRates()
    for number in range(20):
        arrivals.add(priority, 0.3, -2.0 + (number + 0.5) / 10.0)
    return keeping.CapacityKeeper(
        arrivals=arrivals, peers=peer_reports.PeerReports()
    )


def test_the_last_capacity_is_kept_for_steady_urgent_arrivals() -> None:
    """Nothing ends within 3 s; a less urgent one would take their place."""
    keeper = _keeper(0)
    assert keeper.is_kept(_request(1), _pool(3), 0.0)
    assert not keeper.is_kept(_request(0), _pool(3), 0.0)


def test_nothing_is_kept_while_generations_end_sooner() -> None:
    """Sixty generations end within 3 s, thirty urgent ones arrive."""
    assert not _keeper(0).is_kept(_request(1), _pool(3, 60), 0.0)


def test_nothing_is_kept_for_equals_or_after_the_arrivals_stop() -> None:
    """Capacity comes back within the time that arrivals count."""
    assert not _keeper(1).has_more_urgent_arrivals(_request(1), 0.0)
    keeper = _keeper(0)
    assert keeper.has_more_urgent_arrivals(_request(1), 0.0)
    assert not keeper.has_more_urgent_arrivals(_request(1), 2.1)
    assert not keeper.is_kept(_request(1), _pool(3), 2.1)
