"""Who waits for endpoints that say when they take requests again.

The patterns: every endpoint of a service names a rate, or asks for the same
back-off, in a crowd.  How many can be served by their time is known at once;
all waited for it, and were refused when it was over.
"""

import asyncio

import msgspec
import pytest

from rackpost.decide import backoff
from rackpost.decide import endpoint_rates
from rackpost.decide import plain_queue
from rackpost.gateway import reservation as reservation_mod
from rackpost.testing import virtual
from tests import test_admission_queue

LATE = plain_queue.Rank(priority=3, deadline=1.0)
URGENT = plain_queue.Rank(priority=1, deadline=2.0)
MORE_URGENT = plain_queue.Rank(priority=1, deadline=1.0)


def wait_s(ahead: int, *, opens_s: float = 0.0, per_s: float | None) -> float:
    return plain_queue.expected_wait_s(
        ahead=ahead,
        count=2,
        answer_s=0.1,
        available_in_s=opens_s,
        rate_per_s=per_s,
    )


def test_at_a_rate_each_waits_for_those_before_it() -> None:
    assert wait_s(0, per_s=4.0) == 0.0
    assert wait_s(8, per_s=4.0) == 2.0
    assert wait_s(8, per_s=None) == 0.0


def test_after_a_back_off_few_go_first() -> None:
    """One to each endpoint, two more for each that was taken."""
    assert wait_s(1, opens_s=3.0, per_s=None) == 3.0
    assert wait_s(2, opens_s=3.0, per_s=None) == pytest.approx(3.1)
    assert wait_s(6, opens_s=3.0, per_s=None) == pytest.approx(3.2)
    # The slow start is over by then, whatever came of it.
    assert backoff.slow_start_s(10_000, 5.0) == 1.0


def test_the_most_urgent_looks_first() -> None:
    line = plain_queue.PlainQueue()
    with line.join(LATE) as late, line.join(URGENT) as urgent:
        assert line.ahead(LATE) == 1 and line.ahead(URGENT) == 0
        assert line.may_check(urgent.rank, 1.0)
        assert not line.may_check(late.rank, 1.0)
        # One that comes new goes by the same order.
        assert line.may_check(MORE_URGENT, 1.0)
        # It has looked, and looks again later: others need not wait for it.
        urgent.next_check_at = 1.2
        assert line.may_check(late.rank, 1.1)
        assert not line.may_check(late.rank, 1.2)
    assert line.may_check(LATE, 1.5)


def test_who_is_refused_comes_back_in_the_order_of_refusal() -> None:
    line = plain_queue.PlainQueue()
    with line.join(URGENT):
        # After the one that waits.
        turns = [line.retry_after_s(1.0, 2.0, 10.0) for _ in range(3)]
    assert turns == [1.5, 2.0, 2.5]
    assert line.retry_after_s(0.0, 2.0, 100.0) == 0.0


def _wanted(now: float, left_s: float) -> reservation_mod.ReservationRequest:
    found = test_admission_queue.reservation_request(now, left_s)
    claim = msgspec.structs.replace(found.claim, start_by=now + left_s)
    return msgspec.structs.replace(found, claim=claim)


async def _crowd(
    group: test_admission_queue.Group, count: int, left_s: float
) -> list[
    asyncio.Task[
        reservation_mod.DecodeReservation | reservation_mod.NoCapacity
    ]
]:
    """Generations that come at one moment to one gateway."""
    now = asyncio.get_running_loop().time()
    gateway = group.gateways[0]
    tasks = [
        asyncio.create_task(group.generate(gateway, _wanted(now, left_s)))
        for _ in range(count)
    ]
    await asyncio.sleep(0.2)
    return tasks


def _refused(
    tasks: list[
        asyncio.Task[
            reservation_mod.DecodeReservation | reservation_mod.NoCapacity
        ]
    ],
) -> list[reservation_mod.NoCapacity]:
    done = [task.result() for task in tasks if task.done()]
    return [
        item for item in done if isinstance(item, reservation_mod.NoCapacity)
    ]


def test_of_a_crowd_at_a_rate_those_past_their_time_are_told_at_once() -> None:
    """Two endpoints take two a second each: 12 begin in three seconds.

    They hold six each, for longer than that.
    """

    async def main() -> None:
        group = test_admission_queue.Group(count=1)
        gateway = group.gateways[0]
        for number in range(2):
            gateway.add_endpoint(number)
            key = f"d{number}"
            named = endpoint_rates.AnswerRate(per_s=2.0)
            gateway.eligible.rates.record_answer(
                gateway.table.alive[key], named, 0.0
            )
            # The owner has said when the next may be asked for.
            gateway.eligible.gate.record_no_answer(
                gateway.table.alive[key], 0.0
            )
        tasks = await _crowd(group, 100, 3.0)
        refused = _refused(tasks)
        assert 85 <= len(refused) <= 90
        assert all(item.expected_wait_s > 2.5 for item in refused)
        group.close()
        for task in tasks:
            task.cancel()

    virtual.run(main())


def test_of_a_crowd_in_a_back_off_those_past_their_time_are_told() -> None:
    """Two endpoints of six slots open in time for those to begin."""

    async def main() -> None:
        group = test_admission_queue.Group(count=1)
        gateway = group.gateways[0]
        for number in range(2):
            gateway.add_endpoint(number)
            endpoint = gateway.table.alive[f"d{number}"]
            gateway.eligible.backoffs.record_backoff(endpoint, 3.0, 0.0)
        tasks = await _crowd(group, 60, 3.45)
        refused = _refused(tasks)
        assert 46 <= len(refused) <= 50
        group.close()
        for task in tasks:
            task.cancel()

    virtual.run(main())
