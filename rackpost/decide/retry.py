"""Whether a failed attempt is retried, and the outcome if it is not."""

import enum
import random
from typing import NamedTuple

from rackpost import types

# Retries that may exceed a service's share in a short burst.
_MAX_BURST = 10.0
_MAX_JITTER_S = 0.02
# Attempts of one request, whatever the retry budget allows.
MAX_ATTEMPTS = 3


class Stage(enum.Enum):
    """How far a request had come when its attempt failed."""

    NOT_HANDED_OVER = "not-handed-over"
    HANDED_OVER = "handed-over"
    STREAMING = "streaming"


class Retry(NamedTuple):
    """Retry after a pause in seconds."""

    pause_s: float


class GiveUp(NamedTuple):
    """End the request with this outcome."""

    outcome: types.Outcome
    reason: types.Refusal | types.Failure


class RetryBudget:
    """Token bucket that requests fill and retries drain."""

    def __init__(self, *, burst: float = _MAX_BURST):
        self._burst = burst
        self._level = burst

    def record_request(self, share: float) -> None:
        """Add the share of a retry that a new request allows."""
        self._level = min(self._burst, self._level + share)

    def take(self) -> bool:
        """Take one retry out; False if there is none."""
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
    """Decide what follows the failure of an attempt that was accepted.

    `ran` is False only if the agent has sealed the attempt before it ran.
    `left_s` is the time until the first token is due, or until the whole
    answer is for a stream that has begun; `needed_s` is what a new attempt
    is expected to take.
    """
    may_have_run = ran or stage is not Stage.NOT_HANDED_OVER
    outcome = types.Outcome.UNKNOWN if may_have_run else types.Outcome.NOT_RUN
    if may_have_run and repeat is types.RepeatClass.ONCE:
        return GiveUp(outcome, reason)
    if left_s < needed_s or attempts >= MAX_ATTEMPTS:
        return GiveUp(outcome, reason)
    if not budget.take():
        return GiveUp(outcome, types.Refusal.RETRY_BUDGET)
    return Retry(rng.random() * _MAX_JITTER_S)
