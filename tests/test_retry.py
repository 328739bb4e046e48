"""Which failed attempts are retried, and the outcome of the others."""

import random

import pytest

from rackpost.decide import retry
from rackpost import types

FREE = types.RepeatClass.FREE
SINGLE = types.RepeatClass.SINGLE
ONCE = types.RepeatClass.ONCE
NOTHING = retry.Stage.NOT_HANDED_OVER
HANDED = retry.Stage.HANDED_OVER
NOT_RUN = types.Outcome.NOT_RUN
UNKNOWN = types.Outcome.UNKNOWN


def decide(
    *,
    ran: bool = True,
    stage: retry.Stage = HANDED,
    repeat: types.RepeatClass = FREE,
    left_s: float = 1.0,
    attempts: int = 1,
    budget: retry.RetryBudget | None = None,
) -> retry.Retry | retry.GiveUp:
    return retry.after_failure(
        reason=types.Failure.ENGINE,
        ran=ran,
        stage=stage,
        attempts=attempts,
        repeat=repeat,
        left_s=left_s,
        needed_s=0.2,
        budget=budget or retry.RetryBudget(),
        rng=random.Random(1),
    )


@pytest.mark.parametrize("repeat", [FREE, SINGLE])
def test_a_repeatable_request_is_retried_while_there_is_time(
    repeat: types.RepeatClass,
) -> None:
    assert isinstance(decide(repeat=repeat), retry.Retry)
    late = decide(repeat=repeat, left_s=0.1)
    assert late == retry.GiveUp(UNKNOWN, types.Failure.ENGINE)
    often = decide(repeat=repeat, attempts=retry.MAX_ATTEMPTS)
    assert isinstance(often, retry.GiveUp)


def test_a_once_request_is_retried_only_if_it_never_ran() -> None:
    assert decide(repeat=ONCE) == retry.GiveUp(UNKNOWN, types.Failure.ENGINE)
    retried = decide(repeat=ONCE, ran=False, stage=NOTHING)
    assert isinstance(retried, retry.Retry)
    # Handed over in an earlier stage: it may have run.
    assert isinstance(decide(repeat=ONCE, ran=False), retry.GiveUp)
    late = decide(repeat=ONCE, ran=False, stage=NOTHING, left_s=0.0)
    assert late == retry.GiveUp(NOT_RUN, types.Failure.ENGINE)


def test_a_third_of_the_endpoints_failing_makes_no_retry_storm() -> None:
    budget = retry.RetryBudget()
    retries = 0
    for number in range(3000):
        budget.record_request(0.1)
        # Every third attempt fails, and so do a third of the retries.
        if number % 3 == 0 and isinstance(decide(budget=budget), retry.Retry):
            retries += 1
    assert retries <= 0.1 * 3000 + 10
    assert retries >= 0.09 * 3000
