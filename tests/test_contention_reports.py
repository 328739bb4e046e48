"""What gateways tell each other of a service with a contention order."""

from rackpost.coordinator import messages
from rackpost.decide import queue_order
from rackpost.decide.waiting import arrival_rates
from rackpost.decide.waiting import contender
from rackpost.decide.waiting import contention
from rackpost.decide.waiting import outgoing
from rackpost.link import codec
from rackpost import types
from tests import test_contention_order as contention_tests

_SERVICE = types.ServiceName("model")
# Load reports of a gateway in a burst, and their interval in seconds.
_REPORTS = 80
_INTERVAL_S = 0.0125


def _size(
    contention_reports: dict[types.ServiceName, contender.ContentionReport],
    waiting: tuple[queue_order.WaitingSummary, ...] = (),
) -> int:
    """Return the bytes of a load report without loads."""
    return len(
        codec.encode(
            messages.GatewayLoad(
                vm=types.VmId("g1"),
                load_address="10.0.0.1:8709",
                incarnation=1,
                sequence=1,
                loads={},
                waiting=waiting,
                contention=contention_reports,
            )
        )
    )


def test_reports_are_no_larger_than_those_of_the_deadline_order() -> None:
    """A second of a burst: twelve organisations, eight requests wait.

    One is replaced with each fourth report.
    """
    found = contention.ContentionOrder()
    waiting = []
    for number in range(60):
        item = contention_tests.request(
            number % 3, organisation=f"org{number % 12}", target=2.0
        )
        found.record_arrival(item, 0.01 * number)
        found.record_admitted(item, 0.01 * number)
        waiting = [*waiting, item][-8:]
    before = after = 0
    for step in range(_REPORTS):
        now = 0.6 + step * _INTERVAL_S
        if step % 4 == 0:
            item = contention_tests.request(1, organisation="org1")
            waiting = [*waiting[1:], item]
        report = found.report(found.arrange(waiting, now), now)
        after += _size({} if report is None else {_SERVICE: report})
        before += _size(
            {},
            tuple(queue_order.summarize(item, now) for item in waiting[:6]),
        )
    assert after < 0.75 * before


def test_a_report_is_left_out_until_something_changes() -> None:
    """Or until others would forget it."""
    here = contention.ContentionOrder(vm=types.VmId("g1"))
    there = contention.ContentionOrder(vm=types.VmId("g2"))
    waiting = [contention_tests.request(1)]
    here.record_arrival(waiting[0], 0.0)
    first = here.report(waiting, 0.0)
    assert first is not None and first.waiting and first.rates
    there.receive(types.VmId("g1"), first, 0.0)
    assert here.report(waiting, 0.1) is None
    assert there.ahead_elsewhere(contention_tests.request(2), 0.1) == 1
    repeated = here.report(waiting, 0.26)
    assert repeated is not None and repeated.waiting
    assert repeated.rates is None
    # A request that no longer waits is told at once.
    ended = here.report([], 0.3)
    assert ended is not None and ended.waiting == ()
    there.receive(types.VmId("g1"), ended, 0.3)
    assert there.ahead_elsewhere(contention_tests.request(2), 0.3) == 0


def test_parts_that_are_left_out_still_count() -> None:
    """Rates of an earlier report hold while waiting requests change."""
    found = contention.ContentionOrder(vm=types.VmId("g1"))
    rate = arrival_rates.ArrivalRate(priority=0, per_s=10.0, slack_s=0.6)
    sender = types.VmId("g2")
    found.receive(sender, contender.ContentionReport(rates=(rate,)), 0.0)
    found.receive(sender, contender.ContentionReport(waiting=()), 1.0)
    assert found.yields_to_arrivals(contention_tests.request(1), 1.2)
    # They are not renewed by reports without them.
    assert not found.yields_to_arrivals(contention_tests.request(1), 1.4)


def test_outgoing_parts_keep_their_intervals() -> None:
    """Changes wait for the shortest interval, repeats for the longest."""
    told: outgoing.Outgoing[int] = outgoing.Outgoing(
        min_interval_s=0.25, refresh_s=0.5
    )
    assert told.next((), 0.0) is None
    assert told.next((1,), 0.1) == (1,)
    assert told.next((2,), 0.2) is None
    assert told.next((2,), 0.36) == (2,)
    assert told.next((2,), 0.7) is None
    assert told.next((2,), 0.87) == (2,)
    # Nothing is told once, and not repeated.
    assert told.next((), 1.2) == ()
    assert told.next((), 9.0) is None
