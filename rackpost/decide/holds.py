"""Decide whether to set capacity aside at a decode endpoint, and how much.

Capacity is set aside before a prompt is prefilled, as a lease that the
endpoint grants.  Gateways know the endpoint's load from reports and forecasts
alone, so that a prompt could otherwise be prefilled for an endpoint that then
rejects the request.

Pure: times are readings of the caller's clock, in seconds.
"""

import enum
from typing import Hashable

import msgspec

from rackpost.decide import kv_forecast

# Share of an endpoint's KV memory, by forecast, above which capacity is set
# aside.  Below, the errors of forecasts and what other gateways reserve
# within a report's delay still fit.
_MIN_SHARE = 0.6
# Share of the expected answer for which memory is set aside beside the prompt.
# With less, an endpoint preempts a run soon; with more, memory is kept from
# runs that end before the answer needs it.
_ANSWER_SHARE = 0.5
# Time from the end of a prefill until the endpoint has the request, in
# seconds: a round trip and a new connection.
_SEND_S = 0.1
# Share of the target for the first event that the call may take, and its
# bounds in seconds.
_WAIT_SHARE = 0.1
_MIN_WAIT_S = 0.02
_MAX_WAIT_S = 0.25
# How long endpoints of a service that do not know the call are not asked, in
# seconds: a rollout replaces them within minutes.
_UNKNOWN_PAUSE_S = 30.0
# How long an endpoint that did not answer the call is not asked, in seconds.
# Short, as requests may be rejected there meanwhile.
_SILENT_PAUSE_S = 0.3


class HoldEnd(enum.Enum):
    """How a call for capacity ended."""

    TAKEN = "taken"
    # The endpoint has no room.
    NO_ROOM = "no-room"
    # Another endpoint has the address.
    REPLACED = "replaced"
    # The endpoint does not know the call.
    UNKNOWN = "unknown"
    SLOW = "slow"
    FAILED = "failed"


class HoldTerms(msgspec.Struct, frozen=True, kw_only=True):
    """How much capacity to set aside, and for how long."""

    tokens: int
    ttl_s: float


def is_due(
    runs: list[kv_forecast.Run], memory_tokens: int, *, rejected_lately: bool
) -> bool:
    """Whether to set capacity aside at an endpoint.

    Not where plenty is free by the forecast: the call delays the prompt by a
    round trip.  `runs` are those of all gateways, the new one included;
    `rejected_lately` says that the endpoint did not run a request within the
    last seconds, so that the forecast is wrong.
    """
    if rejected_lately:
        return True
    return kv_forecast.peak_tokens(runs) > _MIN_SHARE * memory_tokens


def terms(
    run: kv_forecast.Run,
    *,
    memory_tokens: int,
    prefill_timeout_s: float,
    max_ttl_s: float,
    answer_share: float = _ANSWER_SHARE,
) -> HoldTerms:
    """Return what to set aside for a run whose prompt is to be prefilled.

    `prefill_timeout_s` is the time after which the prefill counts as slow,
    `max_ttl_s` the longest lease that endpoints grant.
    """
    out = int(answer_share * run.remaining_tokens)
    return HoldTerms(
        tokens=min(memory_tokens, run.held_tokens + out),
        ttl_s=min(max_ttl_s, prefill_timeout_s + _SEND_S),
    )


def is_lapsing(granted: HoldTerms, taken_at: float, now: float) -> bool:
    """Whether a lease may lapse before the endpoint has the request."""
    return now > taken_at + granted.ttl_s - _SEND_S


def max_wait_s(target_s: float) -> float:
    """Return how long the call may take, in seconds."""
    return min(_MAX_WAIT_S, max(_MIN_WAIT_S, _WAIT_SHARE * target_s))


class Pauses:
    """Services and endpoints that are not asked for a while."""

    def __init__(self) -> None:
        self._until: dict[Hashable, float] = {}

    def may_ask(
        self, service: Hashable, endpoint: Hashable, now: float
    ) -> bool:
        """Whether the endpoint may be asked to set capacity aside."""
        return now >= max(
            self._until.get(service, now), self._until.get(endpoint, now)
        )

    def record(
        self, service: Hashable, endpoint: Hashable, end: HoldEnd, now: float
    ) -> None:
        """Record how a call to an endpoint of a service ended."""
        if end is HoldEnd.UNKNOWN:
            self._until[service] = now + _UNKNOWN_PAUSE_S
        elif end in (HoldEnd.SLOW, HoldEnd.FAILED):
            self._until[endpoint] = now + _SILENT_PAUSE_S
            self._drop_expired(now)

    def _drop_expired(self, now: float) -> None:
        self._until = {
            key: until for key, until in self._until.items() if until > now
        }
