"""Grants of an endpoint's rate, without a network.

An endpoint announces a low rate, and many gateways have requests for it.
Without a single owner each gateway would send at the full rate.
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
        self.ledger = rate_grants.GrantLedger(rng=random.Random(1))
        self.per_s = per_s
        self.share = 1.0
        self.since = 0.0

    def request(
        self, vm: str, now: float, *, priority: int = 2, waits: bool = False
    ) -> rate_grants.GrantDecision:
        applicant = rate_grants.GrantApplicant(
            vm=types.VmId(vm), priority=priority, is_waiting=waits
        )
        return self.ledger.decide(
            KEY,
            applicant,
            per_s=self.per_s,
            since=self.since,
            share=self.share,
            now=now,
        )

    def granted(self, begin: float, end: float) -> int:
        """Return the grants to a gateway that requests continuously."""
        steps = int((end - begin) * 1000)
        return sum(
            self.request("g", begin + step / 1000).granted
            for step in range(steps)
        )


def test_the_first_grant_takes_as_long_as_any_other() -> None:
    """Requests from before the rate was known are in flight."""
    owner = Owner()
    owner.since = 10.0
    assert not owner.request("a", 10.1).granted
    assert owner.request("a", 10.5).granted
    assert not owner.request("a", 10.6).granted


def test_a_new_owner_starts_with_at_most_a_burst() -> None:
    owner = Owner(per_s=4.0)
    assert [owner.request("a", 100.0).granted for _ in range(3)] == [
        True,
        True,
        False,
    ]


def test_unused_rate_accumulates_up_to_a_burst() -> None:
    owner = Owner(per_s=8.0)
    owner.request("a", 0.0)
    # One request, and the rate of a quarter of a second.
    assert [owner.request("a", 100.0).granted for _ in range(4)] == [
        True,
        True,
        True,
        False,
    ]


def test_a_lower_rate_applies_at_once() -> None:
    owner = Owner(per_s=40.0)
    owner.request("a", 0.0)
    owner.per_s = 1.0
    assert owner.granted(10.0, 14.0) <= 5


def test_a_few_requests_are_granted_at_rate_0() -> None:
    """Else no answer could announce a higher rate."""
    owner = Owner(per_s=0.0)
    assert owner.granted(0.0, 20.0) == 4


def test_a_released_grant_may_be_granted_again() -> None:
    owner = Owner()
    owner.request("a", 0.0)
    assert owner.request("a", 0.5).granted
    assert not owner.request("b", 0.5).granted
    owner.ledger.release(KEY)
    assert owner.request("b", 0.5).granted


def test_an_owner_that_reaches_half_of_the_gateways_grants_half() -> None:
    owner = Owner(per_s=4.0)
    owner.share = 0.5
    assert owner.granted(0.0, 10.0) <= 21


def test_grants_are_reserved_for_more_urgent_waiting_requests() -> None:
    owner = Owner()
    owner.request("late", 0.0, priority=5, waits=True)
    assert not owner.request("urgent", 0.1, priority=1, waits=True).granted
    # The less urgent request is first, but the grant is reserved.
    assert not owner.request("late", 0.5, priority=5, waits=True).granted
    assert owner.request("urgent", 0.55, priority=1, waits=True).granted
    assert owner.request("late", 1.1, priority=5, waits=True).granted


def test_a_reservation_that_is_not_used_expires() -> None:
    owner = Owner()
    owner.request("urgent", 0.0, priority=1, waits=True)
    assert not owner.request("late", 0.6, priority=5).granted
    assert owner.request("late", 1.3, priority=5).granted


def test_nothing_is_reserved_for_a_request_that_does_not_wait() -> None:
    owner = Owner()
    owner.request("urgent", 0.0, priority=1)
    assert owner.request("late", 0.5, priority=5).granted


def test_denied_gateways_retry_at_different_times() -> None:
    owner = Owner()
    waits = sorted(owner.request(f"g{n}", 0.0).retry_after_s for n in range(8))
    assert waits[0] >= 0.5
    gaps = [b - a for a, b in zip(waits, waits[1:])]
    assert max(gaps) < 2.0 and waits[-1] - waits[0] > 1.0


def test_owners_are_spread_and_few_change_when_a_gateway_ends() -> None:
    gateways = [types.VmId(f"g{n}") for n in range(21)]
    keys = [types.EndpointId(f"e{n}") for n in range(400)]
    before = {key: rate_grants.owner(key, gateways) for key in keys}
    gone = gateways.pop()
    after = {key: rate_grants.owner(key, gateways) for key in keys}
    moved = [key for key in keys if before[key] != after[key]]
    assert all(before[key] == gone for key in moved)
    assert len(set(after.values())) == 20


class GateView:
    """One gateway and an endpoint that announces a rate."""

    def __init__(self, per_s: float = 2.0) -> None:
        self.rates = endpoint_rates.RateTable()
        self.gate = rate_gate.RateGate(rates=self.rates)
        self.one = test_eligibility.endpoint("a", born=1)
        self.rates.record_answer(
            self.one, endpoint_rates.AnswerRate(per_s=per_s), 0.0
        )

    def may_select(self, now: float) -> bool:
        return self.gate.may_select(self.one, now)


def test_one_grant_request_at_a_time_is_pending() -> None:
    """Else all requests choose it, as it has the fewest in flight."""
    gate = GateView()
    assert gate.may_select(1.0)
    gate.gate.record_selection(gate.one, 1.0)
    assert not gate.may_select(1.01)
    gate.gate.record_decision(
        gate.one, rate_grants.GrantDecision(granted=True), 1.02
    )
    assert gate.may_select(1.02)
    # A request that ended before its grant request blocks it briefly.
    gate.gate.record_selection(gate.one, 2.0)
    assert gate.may_select(2.2)


def test_an_endpoint_is_not_selected_before_the_retry_time() -> None:
    gate = GateView()
    decision = rate_grants.GrantDecision(
        granted=False, retry_after_s=0.7, contenders=4
    )
    gate.gate.record_decision(gate.one, decision, 1.0)
    assert not gate.may_select(1.6)
    assert gate.gate.available_at(gate.one) == 1.7
    assert gate.may_select(1.7)
    assert gate.gate.own_rate_per_s(gate.one) == 0.5


def test_a_grant_request_without_an_answer_delays_the_next() -> None:
    gate = GateView()
    gate.gate.record_no_answer(gate.one, 1.0)
    assert not gate.may_select(1.1)
    assert gate.may_select(1.5)


def test_a_rate_that_has_ended_has_no_effect() -> None:
    gate = GateView()
    gate.gate.record_no_answer(gate.one, 1.0)
    for _ in range(3):
        gate.rates.record_answer(gate.one, endpoint_rates.AnswerRate(), 1.1)
    assert gate.may_select(1.1)
    assert gate.gate.own_rate_per_s(gate.one) is None


def test_other_endpoints_of_a_service_remain_candidates() -> None:
    view = test_eligibility.GatewayView()
    view.eligible.rates.record_answer(
        view.one, endpoint_rates.AnswerRate(per_s=2.0), 1.0
    )
    view.eligible.record_selection(view.one, 1.0)
    assert view.candidate_ids(1.05) == {"b"}
    # It stays eligible: a request with a grant is sent.
    assert view.eligible.ineligible_reason(view.one, 1.05) is None


@pytest.mark.parametrize("gateways", [1, 5, 21, 68])
@pytest.mark.parametrize("waits", [True, False])
def test_all_gateways_together_send_at_the_announced_rate(
    gateways: int, waits: bool
) -> None:
    spec = rate_world.Spec(gateways=gateways, waits=waits, seconds=12.0)
    world = rate_world.play(spec, 1)
    assert world.worst_excess() < 0
    assert 0.8 < world.utilization <= 1.1


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    "fault",
    [{"loss": 0.3}, {"restart_each": 1.5}, {"cut": (4.0, 9.0)}],
    ids=["lossy", "restarts", "cut"],
)
def test_faults_do_not_exceed_the_rate(
    fault: dict[str, object], seed: int
) -> None:
    spec = rate_world.Spec(
        gateways=9, waits=True, seconds=14.0, **fault  # type: ignore
    )
    world = rate_world.play(spec, seed)
    assert world.worst_excess() < 0
    assert world.utilization > 0.2


def test_messages_of_a_gateway_do_not_grow_with_the_fleet() -> None:
    few, many = (
        rate_world.play(rate_world.Spec(gateways=count, seconds=8.0), 1)
        for count in (8, 64)
    )
    assert many.messages / 64 < few.messages / 8
