"""How an attempt at a request ended."""

from typing import Any
from typing import NamedTuple

from rackpost import types


class RefusedAttempt(NamedTuple):
    """The attempt ended before anything was started."""

    reason: types.Refusal


class RetainedKvCache(NamedTuple):
    """A KV cache that its prefill endpoint still keeps for export."""

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
    """The attempt's answer has ended, after so many pieces or bytes."""

    length: int


Result = RefusedAttempt | FailedAttempt | CompletedAttempt
