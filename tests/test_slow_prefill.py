"""Prefills that are slow: waited for, given up, or not begun at all."""

import asyncio

import msgspec
import pytest

from rackpost.decide import queue_order
from rackpost.decide import slow_prefill
from rackpost.testing import virtual

_SLOW = slow_prefill.SlowPrefill(
    present_s=0.5, other_s=0.6, target_in_s=1.0, seems_dead=False
)


def _slow(**more: object) -> slow_prefill.SlowPrefill:
    return msgspec.structs.replace(_SLOW, **more)


def test_a_prefill_is_waited_for_where_no_other_endpoint_is_sooner() -> None:
    assert slow_prefill.further_wait_s(_SLOW) >= 0.5
    assert slow_prefill.further_wait_s(_slow(other_s=None)) >= 0.5


def test_a_prefill_is_given_up_for_one_that_is_sooner_and_in_time() -> None:
    assert slow_prefill.further_wait_s(_slow(other_s=0.2)) == 0.0


@pytest.mark.parametrize("target_in_s", [0.1, -3.0])
def test_a_prefill_is_not_given_up_for_one_that_is_late(
    target_in_s: float,
) -> None:
    slow = _slow(other_s=0.2, target_in_s=target_in_s)
    assert slow_prefill.further_wait_s(slow) > 0.0


def test_a_prefill_at_an_endpoint_that_seems_dead_is_given_up() -> None:
    slow = _slow(other_s=None, seems_dead=True)
    assert slow_prefill.further_wait_s(slow) == 0.0


def _request(**more: object) -> queue_order.WaitingRequest:
    found = queue_order.WaitingRequest(
        priority=1,
        target=1.0,
        start_by=3.0,
        deadline=14.0,
        start_s=0.5,
        generation_s=4.0,
    )
    return msgspec.structs.replace(found, **more)


def test_no_prefill_begins_after_which_the_client_has_left() -> None:
    request = _request()
    pointless = slow_prefill.has_become_pointless
    assert not pointless(request, 0.0, request, 2.0)
    assert pointless(request, 0.0, request, 2.6)


def test_no_prefill_begins_that_a_planned_stop_interrupts() -> None:
    stopping = _request(deadline=3.0, gateway_stopping=True)
    assert slow_prefill.has_become_pointless(_request(), 0.0, stopping, 0.1)


def test_a_request_that_checks_an_estimate_is_prefilled() -> None:
    """It seemed too late when its capacity was reserved, already."""
    request = _request(start_s=9.0)
    assert not slow_prefill.has_become_pointless(request, 0.0, request, 0.1)


_PROMPT_S = 0.1
_TIMEOUT_S = 0.4


class _Pool:
    """Prefill endpoints, of which each prompt takes the next one in turn."""

    def __init__(self, *, decides: bool) -> None:
        self._decides = decides
        self._free_at = [0.0, 0.0]
        self.prefilled = 0
        self.started_at: list[float] = []

    def _begin(self, number: int, now: float) -> float:
        self.prefilled += 1
        ends_at = max(now, self._free_at[number]) + _PROMPT_S
        self._free_at[number] = ends_at
        return ends_at

    async def prefill(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        ends_at = self._begin(number, loop.time())
        wait_s = _TIMEOUT_S
        if ends_at > loop.time() + wait_s and self._decides:
            wait_s += self._further_s(number, loop.time() + wait_s)
        if ends_at > loop.time() + wait_s:
            await asyncio.sleep(wait_s)
            ends_at = self._begin(1 - number, loop.time())
        await asyncio.sleep(ends_at - loop.time())
        self.started_at.append(loop.time())

    def _further_s(self, number: int, now: float) -> float:
        other_s = self._free_at[1 - number] - now + _PROMPT_S
        return slow_prefill.further_wait_s(
            slow_prefill.SlowPrefill(
                present_s=self._free_at[number] - now,
                other_s=other_s,
                target_in_s=1.0 - now,
                seems_dead=False,
            )
        )


def _burst(decides: bool) -> _Pool:
    """24 prompts of 0.1 s arrive at once at two endpoints."""

    async def main() -> _Pool:
        pool = _Pool(decides=decides)
        async with asyncio.TaskGroup() as group:
            for index in range(24):
                group.create_task(pool.prefill(index % 2))
        return pool

    return virtual.run(main())


def test_a_burst_of_prompts_is_prefilled_once() -> None:
    """All queues are long, so that no other endpoint is sooner."""
    before, after = _burst(False), _burst(True)
    assert before.prefilled > 24
    assert after.prefilled == 24
    assert sum(after.started_at) <= sum(before.started_at)
    assert max(after.started_at) < max(before.started_at)
