"""Requests whose prompt is prefilled while no decode endpoint runs them."""

import asyncio

import msgspec
import pytest

from rackpost.decide import queue_order
from rackpost.decide.waiting import contention
from rackpost.decide.waiting import decisions
from rackpost.decide.waiting import order as order_mod
from rackpost.decide.waiting import orders as orders_mod
from rackpost.gateway import reservation as reservation_mod
from rackpost.testing import virtual
from rackpost import types
from tests import test_admission_queue as queues
from tests import test_contention_order as contention_tests

# How long a prefilled prompt can be fetched, and the time between two
# generations that end, in seconds.
_FETCHABLE_S = 0.35
_RELEASE_INTERVAL_S = 0.05


def test_a_held_prompt_is_first_among_its_rank() -> None:
    """In both orders: its KV cache expires within half a second."""
    usual = contention_tests.request(1, target=1.0)
    held = contention_tests.request(1, target=1.5, holds_prompt=True)
    urgent = contention_tests.request(0, target=2.0)
    late_held = contention_tests.request(0, target=0.1, holds_prompt=True)
    expected = [urgent, held, usual, late_held]
    waiting = [late_held, usual, held, urgent]
    for found in (order_mod.DeadlineOrder(), contention.ContentionOrder()):
        assert found.arrange(waiting, 0.0) == expected


def test_a_held_prompt_is_first_among_gateways_too() -> None:
    """Its summary tells it, and so does its rank in the report."""
    usual = contention_tests.request(1, target=1.0)
    held = contention_tests.request(1, target=1.5, holds_prompt=True)
    summary = queue_order.summarize(held, 0.0)
    own = queue_order.rank_of(usual, 0.0)
    assert queue_order.is_ahead(summary.rank(0.01), "h2", own, "h1")
    here = contention.ContentionOrder(vm=types.VmId("h1"))
    there = contention.ContentionOrder(vm=types.VmId("h2"))
    report = there.report([held], 0.0)
    assert report is not None
    here.receive(types.VmId("h2"), report, 0.0)
    assert here.ahead_elsewhere(usual, 0.01) == 1
    assert here.ahead_elsewhere(held, 0.01) == 0


def test_a_held_prompt_needs_no_prefill_endpoint() -> None:
    """All prefill slots are taken; it waited for one in vain."""

    async def main() -> None:
        gateway = queues.Gateway(number=1)
        gateway.add_endpoint(0)
        now = asyncio.get_running_loop().time()
        usual = queues.reservation_request(now, 1.0)
        prefill = types.EndpointId("p")
        for _ in range(queues.SLOTS):
            gateway.loads.add_request(prefill, prompt=1000)
        waiting = asyncio.create_task(gateway.queue.reserve(usual))
        claim = msgspec.structs.replace(
            usual.waiting_request, holds_prompt=True
        )
        held = msgspec.structs.replace(usual, waiting_request=claim)
        found = await gateway.queue.reserve(held)
        assert isinstance(found, reservation_mod.DecodeReservation)
        assert found.prefill_endpoint is None
        # Nothing is counted as to be prefilled.
        assert not gateway.loads.own[found.endpoint.id].prompt_tokens
        assert gateway.loads.own[prefill].requests == queues.SLOTS
        assert not waiting.done()
        waiting.cancel()

    virtual.run(main())


async def _readmitted_in_time(
    *, holds_prompt: bool, chosen: frozenset[decisions.Decision]
) -> int:
    """Return how many of six rejected requests run before they expire."""
    loop = asyncio.get_running_loop()
    gateway = queues.Gateway(
        number=1,
        orders=orders_mod.Orders(decisions_of=lambda _: chosen),
    )
    for number in range(2):
        gateway.add_endpoint(number)
    running = []
    for _ in range(2 * queues.SLOTS):
        usual = queues.reservation_request(loop.time(), 1.0)
        found = await gateway.queue.reserve(usual)
        assert isinstance(found, reservation_mod.DecodeReservation)
        found.record_prefilled()
        running.append(found)
    began = loop.time()
    admitted_at: list[float] = []

    async def reserve(left_s: float, *, held: bool) -> None:
        asked = queues.reservation_request(began, left_s)
        claim = msgspec.structs.replace(
            asked.waiting_request, holds_prompt=held and holds_prompt
        )
        found = await gateway.queue.reserve(
            msgspec.structs.replace(asked, waiting_request=claim)
        )
        assert isinstance(found, reservation_mod.DecodeReservation)
        found.record_prefilled()
        if held:
            admitted_at.append(loop.time() - began)

    tasks = [asyncio.create_task(reserve(2.0, held=False)) for _ in range(8)]
    tasks += [asyncio.create_task(reserve(2.5, held=True)) for _ in range(6)]
    run = asyncio.create_task(gateway.queue.run())
    for reservation in running:
        await asyncio.sleep(_RELEASE_INTERVAL_S)
        reservation.release()
    await asyncio.sleep(1.0)
    for task in [run, *tasks]:
        task.cancel()
    return sum(at < _FETCHABLE_S for at in admitted_at)


@pytest.mark.parametrize("chosen", [frozenset(), decisions.ALL])
def test_a_burst_of_rejections(chosen: frozenset[decisions.Decision]) -> None:
    """Two endpoints reject six requests; eight with less time left wait.

    One generation ends each 50 ms.  The prompts of all six expired.
    """

    def readmitted(holds_prompt: bool) -> int:
        return virtual.run(
            _readmitted_in_time(holds_prompt=holds_prompt, chosen=chosen)
        )

    assert readmitted(False) == 0
    assert readmitted(True) == 6
