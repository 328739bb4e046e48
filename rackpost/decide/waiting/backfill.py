"""Reserve decode endpoints for large requests, and backfill the rest.

A request that needs much of an endpoint's KV memory never fits while smaller
ones take each part that is released.  The first large request that waits
claims the endpoint where it will fit soonest.  Other requests are admitted
there only if the claim's request can start no later for it: they end before,
or fit beside it (EASY backfilling).

All generations at an endpoint progress at about the same pace, so times are
in tokens that each of them generates.

Pure: no input or output.
"""

from typing import Collection
from typing import Iterable
from typing import Sequence

import msgspec

from rackpost.decide import kv_forecast
from rackpost.decide import queue_order
from rackpost import types

# A request is large from this share of an endpoint's KV memory.
_LARGE_SHARE = 0.25
# At most this share of the endpoints, but one at least, is claimed at a time.
_MAX_CLAIMED_SHARE = 0.25


class Claim(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """An endpoint that is reserved for a large request that waits.

    Attributes:
        endpoint: the endpoint where it will fit soonest.
        run: the KV memory that the request will use.
        waiting: the rank of the request.
    """

    endpoint: types.EndpointId
    run: kv_forecast.Run
    waiting: queue_order.WaitingSummary


class Candidate(msgspec.Struct, frozen=True, kw_only=True):
    """A decode endpoint and the generations that run there."""

    endpoint: types.EndpointId
    runs: Sequence[kv_forecast.Run]


def is_large(run: kv_forecast.Run, capacity: int) -> bool:
    """Whether a run needs a large share of `capacity` tokens."""
    return kv_forecast.peak_tokens([run]) >= _LARGE_SHARE * capacity


def fits_after_tokens(
    runs: Iterable[kv_forecast.Run], run: kv_forecast.Run, capacity: int
) -> int | None:
    """Return the tokens that runs generate until a further one fits.

    0 if it fits now, None if it is larger than `capacity`.
    """
    left = sorted(runs, key=lambda item: item.remaining_tokens)
    after = 0
    while kv_forecast.peak_tokens([*_advanced(left, after), run]) > capacity:
        if not left:
            return None
        after = left.pop(0).remaining_tokens
    return after


def _advanced(
    runs: Iterable[kv_forecast.Run], tokens: int
) -> list[kv_forecast.Run]:
    """Return the runs as they will be after they generate `tokens` each."""
    if tokens == 0:
        return list(runs)
    return [
        kv_forecast.Run(
            held_tokens=item.held_tokens + tokens,
            remaining_tokens=item.remaining_tokens - tokens,
            error_tokens=item.error_tokens,
        )
        for item in runs
    ]


def may_backfill(
    runs: Sequence[kv_forecast.Run],
    run: kv_forecast.Run,
    claimed: kv_forecast.Run,
    capacity: int,
) -> bool:
    """Whether a run can start without delay to the claim's request."""
    before = fits_after_tokens(runs, claimed, capacity)
    after = fits_after_tokens([*runs, run], claimed, capacity)
    if before is None or after is None:
        # The claim's request does not fit in any case.
        return True
    return after <= before


def choose_claim(
    candidates: Iterable[Candidate],
    run: kv_forecast.Run,
    capacity: int,
    *,
    claimed: Collection[types.EndpointId],
    present: types.EndpointId | None = None,
) -> types.EndpointId | None:
    """Return the endpoint to claim for a large run, None for none.

    `claimed` are the endpoints that other gateways claim.  `present` is
    the endpoint that the run claims already: it stays, so that what was kept
    free there is not lost.
    """
    found = list(candidates)
    if any(item.endpoint == present for item in found):
        return present
    count = sum(item.endpoint in claimed for item in found)
    if count >= max(1, int(_MAX_CLAIMED_SHARE * len(found))):
        return None
    waits = []
    for item in found:
        after = fits_after_tokens(item.runs, run, capacity)
        if after is not None and item.endpoint not in claimed:
            waits.append((after, item.endpoint))
    return min(waits)[1] if waits else None


def is_barred_by(
    claim: Claim,
    age_s: float,
    holder: types.VmId,
    own: queue_order.WaitingSummary,
    own_vm: types.VmId,
    *,
    large: bool,
) -> bool:
    """Whether a claim of another request has precedence over a request.

    A more urgent priority passes claims.  Large requests, which may have
    claims themselves, respect those ahead of them only: two claims at one
    endpoint must not wait for each other.
    """
    if own.priority != claim.waiting.priority:
        return claim.waiting.priority < own.priority
    if not large:
        return True
    return queue_order.is_ahead(
        claim.waiting.rank(age_s), holder, own.rank(0.0), own_vm
    )
