"""The retry budget, the memory of refused requests, and retry decisions."""

import itertools

from rackpost.decide import recent_refusals
from rackpost.decide import retry_budget
from rackpost.decide import retry_decision


def test_another_gateway_knows_a_refused_request() -> None:
    here, there = (
        recent_refusals.RefusalTable(),
        recent_refusals.RefusalTable(),
    )
    key = here.key("r", b"part", b"body")
    assert key != here.key("q", b"part", b"body")
    here.add(key, 1.0)
    there.receive(here.recent(1.1), 1.1)
    assert there.was_refused(key, 2.0)
    # A repeated report does not extend it, and it expires soon.
    there.receive(here.recent(1.9), 1.9)
    assert not there.was_refused(key, 7.2)
    assert here.recent(2.1) == ()
    assert here.was_refused(key, 2.1)
    assert not here.was_refused(key, 8.0)


def test_retries_of_all_gateways_stay_within_the_sites_budget() -> None:
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


def test_a_first_prefill_is_refunded_and_a_refused_one_counts() -> None:
    """Prefills sent at once that are all refused stay within the budget."""
    budget = retry_budget.RetryBudget(ratio=0.0, slack=10, window_s=10)
    sent = 0
    while budget.allows(0.0, 1):
        budget.record_retry(0.0)
        sent += 1
    assert sent == 8
    budget.refund(0.0)
    assert budget.allows(0.0, 1)
    budget.refund(99.0)


def test_the_budget_is_over_a_sliding_window() -> None:
    budget = retry_budget.RetryBudget(ratio=0.0, slack=10, window_s=10)
    while budget.allows(0.0, 1):
        budget.record_retry(0.0)
    assert not budget.allows(9.9, 1)
    assert budget.allows(10.1, 1)


def test_an_unrepeatable_request_is_not_retried_after_it_may_have_run() -> (
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
