"""Grants of an endpoint's rate: one owner, many gateways, no network.

The pattern: an endpoint names a few requests a second, and gateways, each
with a few requests for it, ask at one moment as soon as one is free.  What
each counts by itself, or hears of the others some milliseconds later, lets
through as many as there are gateways (`lab.rate_ways`).
"""

import random

import pytest

from rackpost.decide import endpoint_rates
from rackpost.decide import rate_gate
from rackpost.decide import rate_grants
from rackpost.routing import endpoints
from rackpost.testing import rate_world
from rackpost import types
from tests import test_eligibility

KEY = endpoints.Incarnation(types.EndpointId("e"), 1)


class Owner:
    """A gateway that owns one rate."""

    def __init__(self, per_s: float = 2.0) -> None:
        self.book = rate_grants.GrantLedger(rng=random.Random(1))
        self.per_s = per_s
        self.share = 1.0
        self.since = 0.0

    def ask(
        self, vm: str, now: float, *, priority: int = 2, waits: bool = False
    ) -> rate_grants.GrantDecision:
        wish = rate_grants.GrantApplicant(
            vm=types.VmId(vm), priority=priority, is_waiting=waits
        )
        return self.book.decide(
            KEY,
            wish,
            per_s=self.per_s,
            since=self.since,
            share=self.share,
            now=now,
        )

    def granted(self, begin: float, end: float) -> int:
        """How many are granted to one that asks all the time."""
        steps = int((end - begin) * 1000)
        return sum(
            self.ask("g", begin + step / 1000).granted for step in range(steps)
        )


def test_the_first_takes_as_long_as_any_other() -> None:
    """What came before the rate was known is on its way."""
    owner = Owner()
    owner.since = 10.0
    assert not owner.ask("a", 10.1).granted
    assert owner.ask("a", 10.5).granted
    assert not owner.ask("a", 10.6).granted


def test_a_new_owner_begins_with_no_more_than_any_may_keep() -> None:
    owner = Owner(per_s=4.0)
    assert [owner.ask("a", 100.0).granted for _ in range(3)] == [
        True,
        True,
        False,
    ]


def test_what_is_not_asked_for_is_kept_for_a_short_while() -> None:
    owner = Owner(per_s=8.0)
    owner.ask("a", 0.0)
    # One, and a quarter of a second's.
    assert [owner.ask("a", 100.0).granted for _ in range(4)] == [
        True,
        True,
        True,
        False,
    ]


def test_a_rate_that_falls_holds_at_once() -> None:
    owner = Owner(per_s=40.0)
    owner.ask("a", 0.0)
    owner.per_s = 1.0
    assert owner.granted(10.0, 14.0) <= 5


def test_few_still_go_to_one_that_wants_none() -> None:
    """Nobody would hear that it takes requests again."""
    owner = Owner(per_s=0.0)
    assert owner.granted(0.0, 20.0) == 4


def test_what_was_not_sent_may_be_granted_again() -> None:
    owner = Owner()
    owner.ask("a", 0.0)
    assert owner.ask("a", 0.5).granted
    assert not owner.ask("b", 0.5).granted
    owner.book.release(KEY)
    assert owner.ask("b", 0.5).granted


def test_who_hears_half_of_the_gateways_grants_half() -> None:
    owner = Owner(per_s=4.0)
    owner.share = 0.5
    assert owner.granted(0.0, 10.0) <= 21


def test_what_is_free_is_kept_for_the_more_urgent_who_wait() -> None:
    owner = Owner()
    owner.ask("late", 0.0, priority=5, waits=True)
    assert not owner.ask("urgent", 0.1, priority=1, waits=True).granted
    # One is free; the less urgent one comes first, and leaves it.
    assert not owner.ask("late", 0.5, priority=5, waits=True).granted
    assert owner.ask("urgent", 0.55, priority=1, waits=True).granted
    assert owner.ask("late", 1.1, priority=5, waits=True).granted


def test_what_is_kept_for_one_that_does_not_come_is_given_on() -> None:
    owner = Owner()
    owner.ask("urgent", 0.0, priority=1, waits=True)
    assert not owner.ask("late", 0.6, priority=5).granted
    assert owner.ask("late", 1.3, priority=5).granted


def test_nothing_is_kept_for_one_that_found_another_endpoint() -> None:
    owner = Owner()
    owner.ask("urgent", 0.0, priority=1)
    assert owner.ask("late", 0.5, priority=5).granted


def test_those_that_were_turned_away_come_back_one_by_one() -> None:
    owner = Owner()
    waits = sorted(owner.ask(f"g{n}", 0.0).wait_s for n in range(8))
    assert waits[0] >= 0.5
    gaps = [b - a for a, b in zip(waits, waits[1:])]
    assert max(gaps) < 2.0 and waits[-1] - waits[0] > 1.0


def test_owners_are_spread_and_few_move_when_one_gateway_goes() -> None:
    gateways = [types.VmId(f"g{n}") for n in range(21)]
    keys = [types.EndpointId(f"e{n}") for n in range(400)]
    before = {key: rate_grants.owner(key, gateways) for key in keys}
    gone = gateways.pop()
    after = {key: rate_grants.owner(key, gateways) for key in keys}
    moved = [key for key in keys if before[key] != after[key]]
    assert all(before[key] == gone for key in moved)
    assert len(set(after.values())) == 20


class Gate:
    """What one gateway knows of an endpoint that names a rate."""

    def __init__(self, per_s: float = 2.0) -> None:
        self.book = endpoint_rates.RateTable()
        self.gate = rate_gate.RateGate(rates=self.book)
        self.one = test_eligibility.endpoint("a", born=1)
        self.book.record_answer(
            self.one, endpoint_rates.AnswerRate(per_s=per_s), 0.0
        )

    def opens(self, now: float) -> bool:
        return self.gate.may_select(self.one, now)


def test_one_request_at_a_time_is_meant_for_it() -> None:
    """It has the least under way, and all would choose it."""
    gate = Gate()
    assert gate.opens(1.0)
    gate.gate.record_selection(gate.one, 1.0)
    assert not gate.opens(1.01)
    gate.gate.record_decision(
        gate.one, rate_grants.GrantDecision(granted=True), 1.02
    )
    assert gate.opens(1.02)
    # One that ended before it asked holds up nobody for long.
    gate.gate.record_selection(gate.one, 2.0)
    assert gate.opens(2.2)


def test_it_is_not_chosen_before_its_owner_said() -> None:
    gate = Gate()
    verdict = rate_grants.GrantDecision(
        granted=False, wait_s=0.7, contenders=4
    )
    gate.gate.record_decision(gate.one, verdict, 1.0)
    assert not gate.opens(1.6)
    assert gate.gate.available_at(gate.one) == 1.7
    assert gate.opens(1.7)
    assert gate.gate.own_rate_per_s(gate.one) == 0.5


def test_an_owner_that_does_not_answer_is_left_alone_for_a_while() -> None:
    gate = Gate()
    gate.gate.record_no_answer(gate.one, 1.0)
    assert not gate.opens(1.1)
    assert gate.opens(1.5)


def test_a_rate_that_has_ended_bars_nobody() -> None:
    gate = Gate()
    gate.gate.record_no_answer(gate.one, 1.0)
    for _ in range(3):
        gate.book.record_answer(gate.one, endpoint_rates.AnswerRate(), 1.1)
    assert gate.opens(1.1)
    assert gate.gate.own_rate_per_s(gate.one) is None


def test_the_rest_of_a_service_is_chosen_from() -> None:
    known = test_eligibility.Known()
    known.eligible.rates.record_answer(
        known.one, endpoint_rates.AnswerRate(per_s=2.0), 1.0
    )
    known.eligible.record_selection(known.one, 1.0)
    assert known.chosen(1.05) == {"b"}
    # A rate is no bar: a request that has its grant is sent.
    assert known.eligible.ineligible_reason(known.one, 1.05) is None


@pytest.mark.parametrize("gateways", [1, 5, 21, 68])
@pytest.mark.parametrize("waits", [True, False])
def test_all_gateways_together_send_what_was_named(
    gateways: int, waits: bool
) -> None:
    spec = rate_world.Spec(gateways=gateways, waits=waits, seconds=12.0)
    world = rate_world.play(spec, 1)
    assert world.over() < 0
    assert 0.8 < world.used <= 1.1


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    "fault",
    [{"loss": 0.3}, {"restart_each": 1.5}, {"cut": (4.0, 9.0)}],
    ids=["lossy", "restarts", "cut"],
)
def test_a_fault_lets_no_more_through(
    fault: dict[str, object], seed: int
) -> None:
    spec = rate_world.Spec(
        gateways=9, waits=True, seconds=14.0, **fault  # type: ignore
    )
    world = rate_world.play(spec, seed)
    assert world.over() < 0
    assert world.used > 0.2


def test_each_gateway_asks_no_more_the_more_there_are() -> None:
    few, many = (
        rate_world.play(rate_world.Spec(gateways=count, seconds=8.0), 1)
        for count in (8, 64)
    )
    assert many.messages / 64 < few.messages / 8
