"""How fast tokens are read and made, and what rests on it.

Seen: a gateway that stood still for 3.5 s soon after its start refused each
generation that came to it for the rest of the day, 84 of them within a
millisecond, while under half of the places were taken and the three other
gateways served all of theirs.  Its first readings had been held up by the time
in which it stood still, and were the pace from then on: each generation looked
hopeless, and nothing that is refused shows that it was not.  Shown by the day
played again on the mended code, served 0.970 in place of 0.764.
"""

import asyncio

import msgspec

from rackpost.decide import token_timing as token_timing_mod
from rackpost.gateway import reservation as reservation_mod
from rackpost.testing import virtual
from tests import test_admission_queue

# A usual reading, and the same with the gateway suspended in between.
_TOKENS = 5000
_USUAL_S = 0.1
_HELD_UP_S = 3.6


def test_a_reading_that_was_held_up_does_not_stay_the_pace() -> None:
    pace = token_timing_mod.TokenTiming()
    pace.record_prefill(_TOKENS, _HELD_UP_S)
    for _ in range(3):
        pace.record_prefill(_TOKENS, _USUAL_S)
    assert pace.prefill_s(_TOKENS) < 2.0 * _USUAL_S


def test_neither_does_a_stream() -> None:
    pace = token_timing_mod.TokenTiming()
    pace.record_decode(1000, _HELD_UP_S)
    for _ in range(3):
        pace.record_decode(1000, _USUAL_S)
    assert pace.decode_s(1000) < 2.0 * _USUAL_S
    assert pace.run_s < 12.0 * _USUAL_S


def test_one_slow_reading_changes_a_known_pace_by_little() -> None:
    pace = token_timing_mod.TokenTiming()
    for _ in range(20):
        pace.record_prefill(_TOKENS, _USUAL_S)
    pace.record_prefill(_TOKENS, _HELD_UP_S)
    assert pace.prefill_s(_TOKENS) < 2.5 * _USUAL_S


def _wanted(now: float) -> reservation_mod.ReservationRequest:
    """A generation whose caller leaves after a second without an event."""
    found = test_admission_queue.reservation_request(now, 0.5)
    claim = msgspec.structs.replace(
        found.claim, start_by=now + 1.0, start_s=_HELD_UP_S
    )
    return msgspec.structs.replace(found, claim=claim)


def test_who_refuses_by_what_was_learned_hears_when_it_is_wrong() -> None:
    """Nothing that is refused teaches anything."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        group = test_admission_queue.Group(count=1)
        gateway = group.gateways[0]
        gateway.add_endpoint(0)
        await asyncio.sleep(2.0)
        placed = 0
        for _ in range(60):
            await asyncio.sleep(0.1)
            place = await group.generate(gateway, _wanted(loop.time()))
            if isinstance(place, reservation_mod.DecodeReservation):
                place.release()
                placed += 1
        # One at a time, some each few seconds, until the pace is known.
        assert 3 <= placed <= 10
        group.close()

    virtual.run(main())
