"""What gateways send twice, and what they know again: without sockets."""

import itertools

from rackpost.decide import recent_refusals
from rackpost.decide import retry_budget
from rackpost.decide import retry_decision


def test_a_request_is_known_again_at_another_gateway() -> None:
    here, there = (
        recent_refusals.RefusalTable(),
        recent_refusals.RefusalTable(),
    )
    key = here.key("r", b"part", b"body")
    assert key != here.key("q", b"part", b"body")
    here.add(key, 1.0)
    there.receive(here.recent(1.1), 1.1)
    assert there.was_refused(key, 2.0)
    # Told again it still counts from the first time, and soon is no more.
    there.receive(here.recent(1.9), 1.9)
    assert not there.was_refused(key, 7.2)
    assert here.recent(2.1) == ()
    assert here.was_refused(key, 2.1)
    assert not here.was_refused(key, 8.0)


def test_repeats_of_all_gateways_stay_within_the_sites_budget() -> None:
    gateways = 5
    budgets = [
        retry_budget.RetryBudget(ratio=0.2, slack=56, window_s=10)
        for _ in range(gateways)
    ]
    repeats = 0
    requests = 0
    for at in range(1000):
        now = at * 0.01
        for budget in budgets:
            budget.record_request(now)
            requests += 1
            while budget.allows(now, gateways):
                budget.record_retry(now)
                repeats += 1
    assert 0 < repeats <= 0.2 * requests + 56


def test_a_first_reading_is_refunded_and_a_rejected_one_counts() -> None:
    """Many prefills sent at once were all rejected: 205 of 187 allowed."""
    budget = retry_budget.RetryBudget(ratio=0.0, slack=10, window_s=10)
    sent = 0
    while budget.allows(0.0, 1):
        budget.record_retry(0.0)
        sent += 1
    assert sent == 8
    budget.refund(0.0)
    assert budget.allows(0.0, 1)
    budget.refund(99.0)


def test_the_budget_slides() -> None:
    budget = retry_budget.RetryBudget(ratio=0.0, slack=10, window_s=10)
    while budget.allows(0.0, 1):
        budget.record_retry(0.0)
    assert not budget.allows(9.9, 1)
    assert budget.allows(10.1, 1)


def test_what_may_not_repeat_is_never_sent_twice_after_it_may_have_run() -> (
    None
):
    ends = list(retry_decision.AttemptEnd)
    for ended, ran, left, budget, time_s in itertools.product(
        ends, (False, True), (0, 1), (False, True), (0.0, 1.0)
    ):
        step = retry_decision.next_step(
            ended,
            retry_decision.Situation(
                repeatable=False,
                may_have_run=ran,
                attempts_left=left,
                budget_allows=budget,
                time_left_s=time_s,
            ),
        )
        sent = ended in (
            retry_decision.AttemptEnd.BROKEN,
            retry_decision.AttemptEnd.FAILED,
        )
        if sent:
            assert step in (
                retry_decision.NextStep.FAIL,
                retry_decision.NextStep.PASS_ON,
            )
        if step is retry_decision.NextStep.REFUSE:
            assert not ran and not sent
        if ended is retry_decision.AttemptEnd.NOT_RUN and step is (
            retry_decision.NextStep.RETRY
        ):
            assert left and budget and time_s
