"""When capacity is set aside at a decode endpoint, how much, how long."""

import msgspec
import pytest

from rackpost.decide import endpoint_health
from rackpost.decide import holds
from rackpost.decide import kv_forecast
from rackpost import exceptions
from rackpost.platform import holds as wire
from rackpost.testing import fleet
from rackpost.testing import fleet_load
from rackpost.testing import virtual
from rackpost import types

_MEMORY = 10_000


def _run(prompt: int, out: int = 0) -> kv_forecast.Run:
    return kv_forecast.Run(held_tokens=prompt, remaining_tokens=out)


def test_capacity_is_set_aside_where_an_endpoint_is_mostly_reserved() -> None:
    few = [_run(1000, 500)] * 3
    many = [_run(1000, 500)] * 5
    assert not holds.is_due(few, _MEMORY, rejected_lately=False)
    assert holds.is_due(many, _MEMORY, rejected_lately=False)


def test_capacity_is_set_aside_after_a_rejection() -> None:
    """The forecast has proved wrong there."""
    assert holds.is_due([_run(100)], _MEMORY, rejected_lately=True)


def test_prompt_and_a_part_of_the_answer_are_set_aside() -> None:
    found = holds.terms(
        _run(3000, 1000),
        memory_tokens=_MEMORY,
        prefill_timeout_s=0.4,
        max_ttl_s=2.0,
    )
    assert found.tokens == 3500
    assert 0.4 < found.ttl_s <= 2.0


def test_terms_stay_within_the_endpoint_and_its_longest_lease() -> None:
    found = holds.terms(
        _run(9900, 5000),
        memory_tokens=_MEMORY,
        prefill_timeout_s=9.0,
        max_ttl_s=2.0,
    )
    assert found.tokens == _MEMORY
    assert found.ttl_s == 2.0


def test_a_lease_is_lapsing_before_its_end() -> None:
    """The request takes some time to the endpoint."""
    terms = holds.HoldTerms(tokens=1, ttl_s=1.0)
    assert not holds.is_lapsing(terms, 10.0, 10.8)
    assert holds.is_lapsing(terms, 10.0, 10.95)


def test_the_call_takes_a_small_share_of_the_target() -> None:
    assert 0.0 < holds.max_wait_s(0.0) <= 0.02
    assert holds.max_wait_s(0.8) <= 0.1 * 0.8
    assert holds.max_wait_s(60.0) <= 0.25


def test_services_and_endpoints_are_asked_again_after_a_while() -> None:
    pauses = holds.Pauses()
    pauses.record("s", "e1", holds.HoldEnd.SLOW, 0.0)
    assert not pauses.may_ask("s", "e1", 0.2)
    assert pauses.may_ask("s", "e2", 0.2)
    assert pauses.may_ask("s", "e1", 1.5)
    pauses.record("s", "e1", holds.HoldEnd.UNKNOWN, 2.0)
    assert not pauses.may_ask("s", "e2", 20.0)
    assert pauses.may_ask("other", "e3", 20.0)
    assert pauses.may_ask("s", "e2", 40.0)


@pytest.mark.parametrize("end", [holds.HoldEnd.TAKEN, holds.HoldEnd.NO_ROOM])
def test_an_endpoint_that_answers_is_asked_again(end: holds.HoldEnd) -> None:
    pauses = holds.Pauses()
    pauses.record("s", "e", end, 0.0)
    assert pauses.may_ask("s", "e", 0.0)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'{"hold":7}',
        b'{"hold":""}',
        b'{"hold":"a\\r\\nx: y"}',
        b'{"hold":"\\u00e9"}',
        b'{"hold":"%s"}' % (b"a" * 200),
    ],
)
def test_an_id_that_no_header_can_carry_is_refused(body: bytes) -> None:
    with pytest.raises(exceptions.CodecError):
        wire.decode(body)


def test_the_path_that_frees_capacity_holds_the_id_alone() -> None:
    assert wire.decode(b'{"hold":"h-1","more":2}') == "h-1"
    assert wire.release_path("a/../b?c") == b"/v1/hold-drop/a%2F..%2Fb%3Fc"


def test_an_endpoint_without_room_is_full_for_a_short_time() -> None:
    """Nothing was lost, so that the time does not grow with each one.

    Other gateways may have smaller requests, and are not told.
    """
    health = endpoint_health.HealthTracker()
    key = types.EndpointId("e")
    for now in (0.0, 0.3, 0.6):
        health.record_no_room(key, now)
    assert health.is_full(key, 0.8)
    assert health.rejected_since(key, 0.5)
    assert health.full_endpoints(0.8) == ()
    assert not health.is_full(key, 0.9)


# Three kinds of streams at 18 decode endpoints of 48,649 tokens: 32 requests
# a second, and 2.3 times as many for 4 s, at 30 gateways.
_BURST = fleet_load.Spec(
    gateways=30,
    prefills=10,
    decodes=18,
    memory_tokens=48649,
    slots=64,
    event_tokens=14,
    token_s=0.0031,
    token_each_s=0.0000165,
    prompt=5200,
    prompt_spread=0.6,
    max_prompt=20000,
    answer=900,
    answer_spread=0.8,
    max_answer=4000,
    rate=32.0,
    surge_at=2.0,
    surge_s=4.0,
    seconds=7.0,
    returns=1,
    kinds=(
        fleet_load.Kind(name="a", priority=0, target_s=0.8, weight=0.23),
        fleet_load.Kind(name="b", priority=1, target_s=1.0, weight=0.3),
        fleet_load.Kind(name="c", priority=2, target_s=2.0, weight=0.47),
    ),
)


def test_a_burst_is_not_prefilled_for_endpoints_without_room() -> None:
    """Gateways reserve by reports that are some milliseconds old."""
    before = virtual.run(fleet.serve(_BURST, seed=1))
    with_holds = msgspec.structs.replace(_BURST, holds_above=0.6)
    after = virtual.run(fleet.serve(with_holds, seed=1))
    assert before.rejected >= 5
    assert after.holds_refused >= 5
    assert after.rejected <= 1
    assert after.wasted < before.wasted / 2
