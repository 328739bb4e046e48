"""The possible results of an attempt at a request."""

from typing import Any
from typing import NamedTuple

from rackpost import types


class RefusedAttempt(NamedTuple):
    """The attempt was refused before any endpoint received the request."""

    reason: types.Refusal


class RetainedKvCache(NamedTuple):
    """A KV cache that its prefill endpoint still holds for transfer.

    `since` is when the prefill finished, in loop time.
    """

    kv: dict[str, Any]
    since: float


class FailedAttempt(NamedTuple):
    """The attempt failed after its reservations were granted.

    `agent` is the agent that failed, and `ran` as in `messages.Failed`.
    `retained_kv` is set if the prefill finished but decode did not start.
    """

    reason: types.Failure
    ran: bool
    agent: types.AgentId | None
    retained_kv: RetainedKvCache | None = None


class CompletedAttempt(NamedTuple):
    """The attempt gave its whole answer.

    `length` counts from the start of the answer: tokens of a model, bytes
    of a plain service.
    """

    length: int


Result = RefusedAttempt | FailedAttempt | CompletedAttempt
