"""Many gateways that compete for few endpoints, with a scheduler.

The load: a surge of more than twice the usual rate, near the capacity of the
endpoints, with 30 % urgent requests.
"""

from rackpost.testing import fleet
from rackpost.testing import virtual

_SEEDS = (1, 2)


def _serve(*, scheduler: bool) -> list[fleet.Outcome]:
    spec = fleet.Spec(
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
