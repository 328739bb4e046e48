"""What a gateway does after an attempt did not give a whole answer.  Pure."""

import enum

import msgspec

# A repeat that would have less time than this is not begun, in seconds.
MIN_TIME_S = 0.03


class Ended(enum.Enum):
    """How an attempt ended."""

    NOT_SENT = "not-sent"
    NOT_RUN = "not-run"
    BROKEN = "broken"
    FAILED = "failed"


class Next(enum.Enum):
    """What to do next."""

    AGAIN = "again"
    REFUSE = "refuse"
    FAIL = "fail"
    PASS = "pass"


class Situation(msgspec.Struct, frozen=True, kw_only=True):
    """What the decision rests on.

    Attributes:
        repeatable: the request may run more than once.
        may_have_run: an earlier attempt may have run.
        attempts_left: endpoints that may still run it.
        budget: the retry budget allows one more arrival.
        time_left_s: until the request's time is up.
    """

    repeatable: bool
    may_have_run: bool
    attempts_left: int
    budget: bool
    time_left_s: float


def after(ended: Ended, now: Situation) -> Next:
    """The next step after an attempt that ended in a certain way."""
    if ended is Ended.NOT_SENT:
        # Nothing arrived anywhere: neither an attempt nor a repeat.
        if now.time_left_s > MIN_TIME_S:
            return Next.AGAIN
        return _give_up(now)
    if ended is Ended.NOT_RUN:
        if _may_go_on(now) and (now.repeatable or not now.may_have_run):
            return Next.AGAIN
        return _give_up(now)
    if now.repeatable and _may_go_on(now):
        return Next.AGAIN
    return Next.PASS if ended is Ended.FAILED else Next.FAIL


def _may_go_on(now: Situation) -> bool:
    return (
        now.attempts_left > 0 and now.budget and now.time_left_s > MIN_TIME_S
    )


def _give_up(now: Situation) -> Next:
    return Next.FAIL if now.may_have_run else Next.REFUSE
