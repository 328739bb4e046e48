"""Whether a broken attempt is tried again, and what the caller is told.

Pure: times are seconds that are left, chances come from the caller's
generator.
"""

import enum
import random
from typing import NamedTuple

from rackpost import types

# A service's retries are a share of its requests, with room for a short
# burst.
_BURST = 10.0
_JITTER_S = 0.02
# Whatever the budget, one request is given to endpoints this often.
MAX_ATTEMPTS = 3


class Stage(enum.Enum):
    """How far a request had come when it broke."""

    NOT_HANDED_OVER = "nothing"
    HANDED_OVER = "handed-over"
    STREAMING = "streaming"


class Retry(NamedTuple):
    """Try again after a pause, in seconds."""

    pause_s: float


class GiveUp(NamedTuple):
    """Tell the caller."""

    outcome: types.Outcome
    reason: types.Refusal | types.Failure


class RetryBudget:
    """A bucket that requests fill and retries empty."""

    def __init__(self, *, burst: float = _BURST):
        self._burst = burst
        self._level = burst

    def record_request(self, share: float) -> None:
        """A request came in, of which `share` may be spent on retries."""
        self._level = min(self._burst, self._level + share)

    def take(self) -> bool:
        """Take one retry out, if there is one."""
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True


def after_failure(
    *,
    reason: types.Failure,
    ran: bool,
    stage: Stage,
    attempts: int,
    repeat: types.RepeatClass,
    left_s: float,
    needed_s: float,
    budget: RetryBudget,
    rng: random.Random,
) -> Retry | GiveUp:
    """Decide after an attempt that had been accepted broke off.

    `ran` is false only where the agent has sealed the attempt unrun;
    `left_s` is what remains until the first token is due, or for a stream
    that had begun until the whole answer is, `needed_s` what a new
    attempt is expected to take.
    """
    touched = ran or stage is not Stage.NOT_HANDED_OVER
    outcome = types.Outcome.UNKNOWN if touched else types.Outcome.NOT_RUN
    if touched and repeat is types.RepeatClass.ONCE:
        return GiveUp(outcome, reason)
    if left_s < needed_s or attempts >= MAX_ATTEMPTS:
        return GiveUp(outcome, reason)
    if not budget.take():
        return GiveUp(outcome, types.Refusal.RETRY_BUDGET)
    return Retry(rng.random() * _JITTER_S)
