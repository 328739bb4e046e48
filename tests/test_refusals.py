"""Who is refused before its time is up, in a burst."""

import asyncio
import enum
import random

import msgspec
import pytest

from rackpost.decide import kv_forecast
from rackpost.decide.waiting import decisions
from rackpost.decide.waiting import orders as orders_mod
from rackpost.gateway import reservation as reservation_mod
from rackpost.testing import virtual
from tests import test_admission_queue as queues

_ENDPOINTS = 5
_GENERATION_S = 1.0
# Twice what 30 slots serve, for 4.5 s.
_BURST_S = 4.5
_PER_S = 2.0 * _ENDPOINTS * queues.SLOTS / _GENERATION_S
# Of three kinds: time to the first token that is wanted, and the client's
# patience, in seconds.
_TARGETS_S = (0.8, 1.0, 2.0)
_PATIENCE_S = (2.4, 3.0, 6.0)


class _End(enum.Enum):
    """What became of a request."""

    SERVED = "served"
    REFUSED_AT_ONCE = "refused-at-once"
    REFUSED_IN_THE_END = "refused-in-the-end"


def _request(rng: random.Random) -> reservation_mod.ReservationRequest:
    now = asyncio.get_running_loop().time()
    priority = rng.choices((0, 1, 2), (5.24, 7.07, 9.42))[0]
    usual = queues.reservation_request(now, _TARGETS_S[priority])
    claim = msgspec.structs.replace(
        usual.waiting_request,
        priority=priority,
        start_by=now + _PATIENCE_S[priority],
        deadline=now + 14.0,
        generation_s=_GENERATION_S,
        refused_before=False,
        arrived_at=now,
    )
    # Decode takes 0.03 s a token.
    run = kv_forecast.Run(
        held_tokens=1000, remaining_tokens=int(_GENERATION_S / 0.03)
    )
    return msgspec.structs.replace(usual, run=run, waiting_request=claim)


async def _burst(
    seed: int, chosen: frozenset[decisions.Decision]
) -> dict[int, _End]:
    """Return what became of each request, by number of arrival."""
    loop = asyncio.get_running_loop()
    rng = random.Random(seed)
    gateway = queues.Gateway(
        number=1, orders=orders_mod.Orders(decisions_of=lambda _: chosen)
    )
    for number in range(_ENDPOINTS):
        gateway.add_endpoint(number)
    timing = gateway.queue._token_timing
    timing.record_prefill(1000, 0.01)
    ends: dict[int, _End] = {}
    # Answers are up to twice and down to half as long as estimated.
    lengths = [rng.uniform(0.5, 2.0) for _ in range(1000)]

    async def serve(number: int) -> None:
        began = loop.time()
        found = await gateway.queue.reserve(_request(random.Random(number)))
        if isinstance(found, reservation_mod.NoCapacity):
            at_once = loop.time() == began
            ends[number] = (
                _End.REFUSED_AT_ONCE if at_once else _End.REFUSED_IN_THE_END
            )
            return
        ends[number] = _End.SERVED
        await asyncio.sleep(0.01)
        found.record_prefilled()
        await asyncio.sleep(0.75 * _GENERATION_S * lengths[number])
        found.release()

    run = asyncio.create_task(gateway.queue.run())
    async with asyncio.TaskGroup() as group:
        number = 0
        while loop.time() < _BURST_S:
            group.create_task(serve(number))
            number += 1
            await asyncio.sleep(rng.expovariate(_PER_S))
    run.cancel()
    return ends


@pytest.mark.parametrize("seed", range(4))
def test_nobody_is_refused_at_once_who_would_have_been_served(
    seed: int,
) -> None:
    """Twice what can be served for 4.5 s, by the standing order and by ours.

    The standing order refuses by the expected wait; many of these would have
    been served, had they waited.
    """
    standing = virtual.run(_burst(seed, frozenset()))
    sure = virtual.run(_burst(seed, frozenset({decisions.Decision.REFUSAL})))
    assert len(standing) == len(sure) > 200
    assert _End.REFUSED_IN_THE_END in sure.values()
    wrongly = [
        number
        for number, end in sure.items()
        if end is _End.REFUSED_AT_ONCE and standing[number] is _End.SERVED
    ]
    assert not wrongly
    counts = [
        sum(end is _End.SERVED for end in ends.values())
        for ends in (standing, sure)
    ]
    assert counts[1] >= counts[0]


@pytest.mark.parametrize("seed", range(4))
def test_all_decisions_refuse_no_more_than_the_standing_order(
    seed: int,
) -> None:
    """Capacity that is kept does not cost requests that would be served."""
    standing = virtual.run(_burst(seed, frozenset()))
    ours = virtual.run(_burst(seed, decisions.ALL))
    counts = [
        sum(end is _End.SERVED for end in ends.values())
        for ends in (standing, ours)
    ]
    assert counts[1] >= 0.97 * counts[0]
