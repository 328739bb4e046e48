"""Decide whether a plain request can be answered before its target."""

import msgspec

# Share of the target that the expected answer time may take; the rest allows
# for variation in service time and for the network.
_TARGET_SHARE = 0.85
# The same for a request that was refused before.  Its target counts from its
# first attempt, so it is admitted only where it delays no request that can
# still be in time.  Admitted after any wait, such requests fill the queue: at
# 1.6 times an endpoint's capacity 31 in 100 requests were in time instead of
# 68 (tests/test_plain_overload.py).
_REFUSED_BEFORE_SHARE = 0.6
_MIN_RETRY_AFTER_S = 0.3
_MAX_JITTER_S = 0.6
# Clients honour a Retry-After of up to this share of their remaining time.
_MAX_SHARE_OF_REMAINING = 1.0 / 3.0


class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """A new plain request and the endpoint with the shortest wait for it.

    Attributes:
        ahead: requests in flight at the endpoint.
        slots: requests that the endpoint serves concurrently.
        work_s: observed service time of one request; 0 if unknown.
        target_s: time until the answer is late; 0 without a target.
        remaining_s: time until the client's timeout.
        refused_before: an earlier attempt of the client was refused.
    """

    ahead: int
    slots: int
    work_s: float
    target_s: float
    remaining_s: float
    refused_before: bool


def expected_s(arrival: Arrival) -> float:
    """Return the expected time until the request is answered, in seconds."""
    rounds = (arrival.ahead + 1) / max(1, arrival.slots)
    return arrival.work_s * max(1.0, rounds)


def should_refuse(arrival: Arrival) -> bool:
    """Whether to refuse the request now, since its answer would be late.

    Never true while the endpoint has a free slot.
    """
    if arrival.target_s <= 0.0 or arrival.ahead < arrival.slots:
        return False
    share = _REFUSED_BEFORE_SHARE if arrival.refused_before else _TARGET_SHARE
    return expected_s(arrival) > share * arrival.target_s


def retry_after_s(arrival: Arrival, jitter: float) -> float:
    """Return when a refused client should retry, in seconds.

    `jitter` is a random fraction from 0 to 1.
    """
    excess_s = expected_s(arrival) - arrival.target_s
    delay_s = max(_MIN_RETRY_AFTER_S, excess_s) + _MAX_JITTER_S * jitter
    return min(delay_s, _MAX_SHARE_OF_REMAINING * arrival.remaining_s)
