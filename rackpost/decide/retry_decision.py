"""What a gateway does after an attempt did not give a whole answer.  Pure."""

import enum

import msgspec

# A repeat that would have less time than this is not begun, in seconds.
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
    """What the decision rests on.

    Attributes:
        repeatable: the request may run more than once.
        may_have_run: an earlier attempt may have run.
        attempts_left: endpoints that may still run it.
        budget_allows: the retry budget allows one more arrival.
        time_left_s: until the request's time is up.
    """

    repeatable: bool
    may_have_run: bool
    attempts_left: int
    budget_allows: bool
    time_left_s: float


def next_step(ended: AttemptEnd, now: Situation) -> NextStep:
    """The next step after an attempt that ended in a certain way."""
    if ended is AttemptEnd.NOT_SENT:
        # Nothing arrived anywhere: neither an attempt nor a repeat.
        if now.time_left_s > MIN_TIME_S:
            return NextStep.RETRY
        return _give_up(now)
    if ended is AttemptEnd.NOT_RUN:
        if _may_go_on(now) and (now.repeatable or not now.may_have_run):
            return NextStep.RETRY
        return _give_up(now)
    if now.repeatable and _may_go_on(now):
        return NextStep.RETRY
    return NextStep.PASS_ON if ended is AttemptEnd.FAILED else NextStep.FAIL


def _may_go_on(now: Situation) -> bool:
    return (
        now.attempts_left > 0
        and now.budget_allows
        and now.time_left_s > MIN_TIME_S
    )


def _give_up(now: Situation) -> NextStep:
    return NextStep.FAIL if now.may_have_run else NextStep.REFUSE
