"""Decide what a gateway does after an attempt without a complete answer."""

import enum

import msgspec

# No retry is started with less time left than this.
MIN_TIME_S = 0.03


class AttemptEnd(enum.Enum):
    """How an attempt ended."""

    NOT_SENT = "not-sent"
    NOT_RUN = "not-run"
    BROKEN = "broken"
    FAILED = "failed"


class NextStep(enum.Enum):
    """What to do next."""

    RETRY = "again"
    REFUSE = "refuse"
    FAIL = "fail"
    PASS_ON = "pass"


class Situation(msgspec.Struct, frozen=True, kw_only=True):
    """What the decision depends on.

    Attributes:
        repeatable: the request may run more than once.
        may_have_run: an earlier attempt may have run.
        attempts_left: attempts that are still allowed.
        budget_allows: the retry budget allows one more attempt.
        time_left_s: time until the request's deadline.
    """

    repeatable: bool
    may_have_run: bool
    attempts_left: int
    budget_allows: bool
    time_left_s: float


def next_step(end: AttemptEnd, situation: Situation) -> NextStep:
    """Return what to do after an attempt ended in a certain way."""
    if end is AttemptEnd.NOT_SENT:
        # Nothing reached the endpoint: this counts neither as an attempt nor
        # as a retry.
        if situation.time_left_s > MIN_TIME_S:
            return NextStep.RETRY
        return _give_up(situation)
    if end is AttemptEnd.NOT_RUN:
        if _may_retry(situation) and (
            situation.repeatable or not situation.may_have_run
        ):
            return NextStep.RETRY
        return _give_up(situation)
    if situation.repeatable and _may_retry(situation):
        return NextStep.RETRY
    return NextStep.PASS_ON if end is AttemptEnd.FAILED else NextStep.FAIL


def _may_retry(situation: Situation) -> bool:
    return (
        situation.attempts_left > 0
        and situation.budget_allows
        and situation.time_left_s > MIN_TIME_S
    )


def _give_up(situation: Situation) -> NextStep:
    return NextStep.FAIL if situation.may_have_run else NextStep.REFUSE
