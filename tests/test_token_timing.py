"""Estimates of prefill and decode time per token.

Guards against delayed first samples that make all later requests infeasible.
"""

import asyncio

import msgspec

from rackpost.decide import token_timing
from rackpost.gateway import reservation as reservation_mod
from rackpost.testing import virtual
from tests import test_admission_queue

# A usual sample, and one delayed by a suspension of the gateway.
_TOKENS = 5000
_USUAL_S = 0.1
_DELAYED_S = 3.6


def test_a_delayed_prefill_does_not_distort_the_estimate() -> None:
    timing = token_timing.TokenTiming()
    timing.record_prefill(_TOKENS, _DELAYED_S)
    for _ in range(3):
        timing.record_prefill(_TOKENS, _USUAL_S)
    assert timing.prefill_s(_TOKENS) < 2.0 * _USUAL_S


def test_a_delayed_decode_does_not_distort_the_estimate() -> None:
    timing = token_timing.TokenTiming()
    timing.record_decode(1000, _DELAYED_S)
    for _ in range(3):
        timing.record_decode(1000, _USUAL_S)
    assert timing.decode_s(1000) < 2.0 * _USUAL_S
    assert timing.generation_s < 12.0 * _USUAL_S


def test_one_slow_prefill_changes_the_estimate_little() -> None:
    timing = token_timing.TokenTiming()
    for _ in range(20):
        timing.record_prefill(_TOKENS, _USUAL_S)
    timing.record_prefill(_TOKENS, _DELAYED_S)
    assert timing.prefill_s(_TOKENS) < 2.5 * _USUAL_S


def _reservation_request(now: float) -> reservation_mod.ReservationRequest:
    """A generation whose client leaves after a second without a token."""
    found = test_admission_queue.reservation_request(now, 0.5)
    waiting = msgspec.structs.replace(
        found.waiting_request, start_by=now + 1.0, start_s=_DELAYED_S
    )
    return msgspec.structs.replace(found, waiting_request=waiting)


def test_some_requests_are_admitted_until_the_timing_is_known() -> None:
    """Refused requests give no samples that could correct the estimate."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        group = test_admission_queue.Group(count=1)
        gateway = group.gateways[0]
        gateway.add_endpoint(0)
        await asyncio.sleep(2.0)
        admitted = 0
        for _ in range(60):
            await asyncio.sleep(0.1)
            reservation = await group.generate(
                gateway, _reservation_request(loop.time())
            )
            if isinstance(reservation, reservation_mod.DecodeReservation):
                reservation.release()
                admitted += 1
        # A few at a time, until the timing is known.
        assert 3 <= admitted <= 10
        group.close()

    virtual.run(main())


# Tokens of a long generation and the time in which it is to end, in seconds.
_LONG_TOKENS = 10_000
_LONG_S = 14.0
_USUAL_TOKEN_S = 0.001
_SLOW_TOKEN_S = 0.0029
# Long generations have to be admitted again within this time, in seconds.
_MAX_RECOVERY_S = 6.0


def _long_generation(
    now: float, timing: token_timing.TokenTiming
) -> reservation_mod.ReservationRequest:
    found = test_admission_queue.reservation_request(now, 1.0)
    waiting = msgspec.structs.replace(
        found.waiting_request,
        start_by=now + _LONG_S,
        deadline=now + _LONG_S,
        generation_s=timing.decode_s(_LONG_TOKENS),
    )
    return msgspec.structs.replace(found, waiting_request=waiting)


# Guards against a started gateway that refuses generations for long since its
# first ones were slow: refused requests give no samples.
def test_generations_are_admitted_soon_after_a_slow_time() -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        group = test_admission_queue.Group(count=1)
        gateway = group.gateways[0]
        gateway.add_endpoint(0)
        timing = gateway.token_timing
        for _ in range(50):
            timing.record_decode(_LONG_TOKENS, _LONG_TOKENS * _SLOW_TOKEN_S)
        admitted_in_a_row = 0
        while admitted_in_a_row < 10:
            await asyncio.sleep(0.1)
            assert loop.time() < _MAX_RECOVERY_S
            reservation = await group.generate(
                gateway, _long_generation(loop.time(), timing)
            )
            if isinstance(reservation, reservation_mod.DecodeReservation):
                reservation.release()
                timing.record_decode(
                    _LONG_TOKENS, _LONG_TOKENS * _USUAL_TOKEN_S
                )
                admitted_in_a_row += 1
            else:
                admitted_in_a_row = 0
        group.close()

    virtual.run(main())
