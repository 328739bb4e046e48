"""Order the generations that wait for decode capacity.

Also decides which of them cannot be served within their time, and when a
refused client should retry.
"""

from typing import NamedTuple

import msgspec

from rackpost import types

# Retries are spread at random over up to this share of the expected wait, so
# that refused clients do not all return at once.
_JITTER_SHARE = 0.5
_MIN_RETRY_AFTER_S = 0.4
# Reports of other gateways' waiting requests are some milliseconds old.  Ranks
# closer than this count as equal, and gateway names decide.
_TIE_S = 0.06


class Rank(NamedTuple):
    """Position of a waiting request; the lowest is served first.

    `at` is a deadline in seconds; ranks to be compared must use the same
    clock.  A request whose prompt is prefilled is ahead of others, since its
    KV cache expires.
    """

    late: bool
    priority: int
    needs_prefill: bool
    at: float


class WaitingRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that waits for decode capacity.

    Attributes:
        priority: 0 is the most urgent.
        target: clock reading until which its first token is in time.
        start_by: clock reading at which its client leaves without a token.
        deadline: clock reading at which its client's time is up.
        start_s: expected time from reservation to first token.
        generation_s: expected time from reservation to its end.
        refused_before: it was refused once; a second refusal is final.
        gateway_stopping: its gateway stops and would cut it at `deadline`.
        organisation: whose request it is, None if callers have no keys.
        arrived_at: clock reading at which it arrived at its gateway.
        peak_tokens: the most KV memory that it is expected to use, in tokens.
        holds_prompt: its prompt is prefilled, and its KV cache will expire.
        admitted_before: it was admitted, but not run to its end.
    """

    priority: int
    target: float
    start_by: float
    deadline: float
    start_s: float
    generation_s: float
    refused_before: bool = False
    gateway_stopping: bool = False
    organisation: types.OrganisationName | None = None
    arrived_at: float = 0.0
    peak_tokens: int = 0
    holds_prompt: bool = False
    admitted_before: bool = False


def is_infeasible(request: WaitingRequest, now: float) -> bool:
    """Whether it is too late to start or to finish the request in time."""
    return (
        now + request.start_s > request.start_by
        or now + request.generation_s > request.deadline
    )


def rank_of(request: WaitingRequest, now: float) -> Rank:
    """Return the rank of a request.

    Requests that can still be in time are ahead of late ones, which lose
    nothing more by waiting.  Among equals those whose prompt is prefilled are
    first, then the earliest deadline.
    """
    late = now + request.start_s > request.target
    at = request.start_by if late else request.target
    return Rank(late, request.priority, not request.holds_prompt, at)


class WaitingSummary(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True
):
    """The rank of a waiting request, as reported to other gateways.

    Times are relative, so gateways need no common clock.

    Attributes:
        slack_s: time until the first token cannot be in time any more.
        start_s: time until the client leaves without a token.
        holds_prompt: its prompt is prefilled.
    """

    priority: int
    slack_s: float
    start_s: float
    holds_prompt: bool = False

    def rank(self, age_s: float) -> Rank:
        """Return the rank, `age_s` seconds after the summary was made."""
        late = self.slack_s < age_s
        at = self.start_s if late else self.slack_s
        return Rank(late, self.priority, not self.holds_prompt, at - age_s)


def is_ahead(
    other: Rank,
    other_name: str,
    own: Rank,
    own_name: str,
) -> bool:
    """Whether another gateway's request is ahead of this gateway's."""
    if other[:3] == own[:3] and abs(other.at - own.at) < _TIE_S:
        return other_name < own_name
    return other < own


def summarize(request: WaitingRequest, now: float) -> WaitingSummary:
    """Return the summary of a request to report to other gateways."""
    return WaitingSummary(
        priority=request.priority,
        slack_s=round(request.target - request.start_s - now, 3),
        start_s=round(request.start_by - now, 3),
        holds_prompt=request.holds_prompt,
    )


def expected_wait_s(*, ahead: int, running: int, run_s: float) -> float:
    """Return the expected wait for capacity by Little's law, in seconds.

    `ahead` requests wait already, and `running` generations hold a
    reservation for `generation_s` seconds each.
    """
    if run_s <= 0.0:
        return 0.0
    if running <= 0:
        return run_s
    return (ahead + 1) * run_s / running


def will_be_infeasible(
    request: WaitingRequest, wait_s: float, now: float
) -> bool:
    """Whether a request will be infeasible after the expected wait.

    A request that would only be late is not: it is better answered late than
    refused.
    """
    return is_infeasible(request, now + wait_s)


def retry_after_s(
    request: WaitingRequest, wait_s: float, now: float, jitter: float
) -> float:
    """Return when a refused client should retry, in seconds.

    `jitter` is a random fraction from 0 to 1.
    """
    delay_s = wait_s * (1.0 + _JITTER_SHARE * jitter) + 0.3 * jitter
    # Clients honour up to a third of their remaining time.  At the end of it
    # a client may still retry at once at another gateway.
    limit_s = max(0.0, (request.deadline - now) / 3.0)
    return min(max(_MIN_RETRY_AFTER_S, delay_s), limit_s)
