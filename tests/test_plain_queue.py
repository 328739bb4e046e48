"""Queues for endpoints that are in a back-off or announce a rate.

Requests that cannot be served in time must be refused at once, and not after
they have waited.
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


def wait_s(
    ahead: int, *, available_in_s: float = 0.0, rate_per_s: float | None
) -> float:
    return plain_queue.expected_wait_s(
        ahead=ahead,
        count=2,
        answer_s=0.1,
        available_in_s=available_in_s,
        rate_per_s=rate_per_s,
    )


def test_at_a_rate_requests_wait_for_those_ahead() -> None:
    assert wait_s(0, rate_per_s=4.0) == 0.0
    assert wait_s(8, rate_per_s=4.0) == 2.0
    assert wait_s(8, rate_per_s=None) == 0.0


def test_the_slow_start_adds_to_the_wait() -> None:
    """One to each endpoint, then two more for each accepted one."""
    assert wait_s(1, available_in_s=3.0, rate_per_s=None) == 3.0
    assert wait_s(2, available_in_s=3.0, rate_per_s=None) == pytest.approx(3.1)
    assert wait_s(6, available_in_s=3.0, rate_per_s=None) == pytest.approx(3.2)
    # Bounded by the duration of the slow start.
    assert backoff.slow_start_s(10_000, 5.0) == 1.0


def test_the_most_urgent_request_checks_first() -> None:
    queue = plain_queue.PlainQueue()
    with queue.join(LATE) as late, queue.join(URGENT) as urgent:
        assert queue.ahead(LATE) == 1 and queue.ahead(URGENT) == 0
        assert queue.may_check(urgent.rank, 1.0)
        assert not queue.may_check(late.rank, 1.0)
        # The same order holds for a new request.
        assert queue.may_check(MORE_URGENT, 1.0)
        # Until the next check of the urgent one, others may check.
        urgent.next_check_at = 1.2
        assert queue.may_check(late.rank, 1.1)
        assert not queue.may_check(late.rank, 1.2)
    assert queue.may_check(LATE, 1.5)


def test_refused_requests_retry_one_after_the_other() -> None:
    queue = plain_queue.PlainQueue()
    with queue.join(URGENT):
        # After the waiting request.
        delays = [queue.retry_after_s(1.0, 2.0, 10.0) for _ in range(3)]
    assert delays == [1.5, 2.0, 2.5]
    assert queue.retry_after_s(0.0, 2.0, 100.0) == 0.0


def _reservation_request(
    now: float, left_s: float
) -> reservation_mod.ReservationRequest:
    found = test_admission_queue.reservation_request(now, left_s)
    waiting = msgspec.structs.replace(
        found.waiting_request, start_by=now + left_s
    )
    return msgspec.structs.replace(found, waiting_request=waiting)


async def _start_generations(
    group: test_admission_queue.Group, count: int, left_s: float
) -> list[
    asyncio.Task[
        reservation_mod.DecodeReservation | reservation_mod.NoCapacity
    ]
]:
    """Start generations at one gateway at once."""
    now = asyncio.get_running_loop().time()
    gateway = group.gateways[0]
    tasks = [
        asyncio.create_task(
            group.generate(gateway, _reservation_request(now, left_s))
        )
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


def test_requests_beyond_a_rate_are_refused_at_once() -> None:
    """Two endpoints accept two a second each: 12 start in three seconds.

    Each has six slots, which stay occupied for longer.
    """

    async def main() -> None:
        group = test_admission_queue.Group(count=1)
        gateway = group.gateways[0]
        for number in range(2):
            gateway.add_endpoint(number)
            key = f"d{number}"
            rate = endpoint_rates.AnswerRate(per_s=2.0)
            gateway.eligible.rates.record_answer(
                gateway.table.alive[key], rate, 0.0
            )
            # No grant is available now.
            gateway.eligible.gate.record_no_answer(
                gateway.table.alive[key], 0.0
            )
        tasks = await _start_generations(group, 100, 3.0)
        refused = _refused(tasks)
        assert 85 <= len(refused) <= 90
        assert all(item.expected_wait_s > 2.5 for item in refused)
        group.close()
        for task in tasks:
            task.cancel()

    virtual.run(main())


def test_requests_beyond_a_back_off_are_refused_at_once() -> None:
    """Two endpoints with six slots each are available in time."""

    async def main() -> None:
        group = test_admission_queue.Group(count=1)
        gateway = group.gateways[0]
        for number in range(2):
            gateway.add_endpoint(number)
            endpoint = gateway.table.alive[f"d{number}"]
            gateway.eligible.backoffs.record_backoff(endpoint, 3.0, 0.0)
        tasks = await _start_generations(group, 60, 3.45)
        refused = _refused(tasks)
        assert 46 <= len(refused) <= 50
        group.close()
        for task in tasks:
            task.cancel()

    virtual.run(main())
