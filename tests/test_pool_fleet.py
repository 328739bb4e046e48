"""Many gateways that compete for few endpoints, with a scheduler.

The load: a surge of more than twice the usual rate, near the capacity of the
endpoints, with 30 % urgent requests.
"""

from rackpost.testing import fleet
from rackpost.testing import fleet_load
from rackpost.testing import virtual

_SEEDS = (1, 2)


def _serve(*, scheduler: bool) -> list[fleet_load.Outcome]:
    spec = fleet_load.Spec(
        gateways=30, rate=17.0, urgent_share=0.3, scheduler=scheduler
    )
    return [virtual.run(fleet.serve(spec, seed)) for seed in _SEEDS]


def test_one_queue_serves_more_in_time_than_one_for_each_gateway() -> None:
    """The same endpoints, loads and seeds, and fewer preemptions."""
    apart = _serve(scheduler=False)
    together = _serve(scheduler=True)
    for before, after in zip(apart, together, strict=True):
        assert before.requests == after.requests
        assert before.urgent == after.urgent
    assert sum(item.in_time for item in together) > sum(
        item.in_time for item in apart
    )
    assert sum(item.urgent_in_time for item in together) > sum(
        item.urgent_in_time for item in apart
    )
    assert sum(item.preempted for item in together) < sum(
        item.preempted for item in apart
    )
    # A request, a grant, a release and progress; far from the reports of
    # each gateway to all others.
    for item in together:
        assert item.link_messages < 20 * item.requests


def test_a_burst_at_twice_the_capacity_is_refused_no_more_than_without() -> (
    None
):
    """70 requests a second for 4 s, of which the endpoints serve about 35.

    Of 30 gateways; the same requests and seeds with and without a scheduler.
    """
    found = []
    for scheduler in (False, True):
        spec = fleet_load.Spec(
            gateways=30,
            rate=13.0,
            surge_factor=5.5,
            urgent_share=0.3,
            scheduler=scheduler,
        )
        found.append([virtual.run(fleet.serve(spec, seed)) for seed in _SEEDS])
    apart, together = found
    for before, after in zip(apart, together, strict=True):
        assert before.requests == after.requests
        assert after.refused <= before.refused
        assert after.in_time >= before.in_time
