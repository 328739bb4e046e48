"""Measure what the newest requests demand of each role of endpoint.

Gateways report the work of their newest requests and the token times that
they observe; a coordinator adds the reports up.  Token times are a quantile
over the gateways, so a gateway that has none yet counts from its first
request, and one that saw only slow starts does not distort the sum.

Pure: times are readings of the owner's clock, in seconds.
"""

import collections
import math
import statistics
from typing import NamedTuple
from typing import Sequence

import msgspec

# Time over which a gateway sums its newest requests: shorter than a burst.
RECENT_S = 2.0
# Peaks are those of the mean demand over this time: generations take seconds,
# so that few long ones in a moment do not fill the pool.
_MEAN_S = 2.0
# Fewest requests that show a mix.
MIN_REQUESTS = 10
# Demands over less than this are of the first requests: they are no peak that
# lasts, since their level and their token times are inaccurate.
_MIN_PEAK_S = 0.9 * RECENT_S
# Shortest time over which a rate is computed.
_MIN_COUNTED_S = 0.5
# Peaks fall to 1/e in this time: they outlast a mix that takes turns with
# another one, and a mix that has ended is forgotten within some minutes.
_PEAK_DECAY_S = 45.0


class RecentWork(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The work of a gateway's requests of the last `RECENT_S`.

    Attributes:
        decode_tokens: tokens to generate, each times the share of an endpoint
            that its request occupies.
        oldest_s: age of the oldest of these requests.
        prefill_token_s: observed prefill time of a token; 0 if unknown.
        decode_token_s: observed decode time of a token; 0 if unknown.
    """

    requests: int
    prompt_tokens: int
    decode_tokens: float
    oldest_s: float = 0.0
    prefill_token_s: float = 0.0
    decode_token_s: float = 0.0


class WorkReport(NamedTuple):
    """The work that a gateway reported at time `at`."""

    at: float
    work: RecentWork


class PoolDemand(NamedTuple):
    """Demand in endpoints that it keeps busy, from a number of requests."""

    prefill: float
    decode: float
    requests: int = 0


NO_DEMAND = PoolDemand(0.0, 0.0)


def _token_times(reports: Sequence[WorkReport]) -> tuple[float, float] | None:
    """Return the token times; None if no gateway knows both.

    Most gateways have seen only a few prefills at first, and delays only ever
    make one too slow: the prefill time is the lower quartile.
    """
    known = [
        item.work
        for item in reports
        if item.work.prefill_token_s > 0.0 and item.work.decode_token_s > 0.0
    ]
    if not known:
        return None
    prefills = sorted(item.prefill_token_s for item in known)
    return (
        prefills[len(prefills) // 4],
        statistics.median(item.decode_token_s for item in known),
    )


def _counted_s(now: float, reports: Sequence[WorkReport]) -> float:
    """Return the time in which the reported requests came.

    It is the whole window unless requests began a moment ago.  Then those
    that are not reported yet count as none: a peak that is too high would
    last.
    """
    oldest_at = min(
        item.at - item.work.oldest_s for item in reports if item.work.requests
    )
    return min(RECENT_S, max(_MIN_COUNTED_S, now - oldest_at))


class DemandHistory:
    """The demand of the newest requests at all gateways, and its peaks."""

    def __init__(self) -> None:
        self.current = NO_DEMAND
        # Decaying maximum of each pool's demand; `requests` is the largest
        # number of requests from which a demand was computed.
        self.peak = NO_DEMAND
        # The part of it that lasts.
        self._lasting = NO_DEMAND
        # Whether the last demand recorded is over long enough for it.
        self._lasts = False
        self._recorded_at: float | None = None
        # The demands recorded within `_MEAN_S`.
        self._newest: collections.deque[tuple[float, PoolDemand]] = (
            collections.deque()
        )

    def record(self, now: float, reports: Sequence[WorkReport]) -> None:
        """Add up the latest report of each gateway."""
        requests = sum(item.work.requests for item in reports)
        times = _token_times(reports)
        self.current = NO_DEMAND
        counted_s = 0.0
        if times is not None and requests >= MIN_REQUESTS:
            counted_s = _counted_s(now, reports)
            tokens = sum(item.work.prompt_tokens for item in reports)
            made = sum(item.work.decode_tokens for item in reports)
            self.current = PoolDemand(
                prefill=tokens * times[0] / counted_s,
                decode=made * times[1] / counted_s,
                requests=requests,
            )
        self._update_peak(now, lasts=counted_s >= _MIN_PEAK_S)

    def _update_peak(self, now: float, *, lasts: bool) -> None:
        passed_s = 0.0
        if self._recorded_at is not None:
            passed_s = now - self._recorded_at
        kept = math.exp(-passed_s / _PEAK_DECAY_S)
        self._recorded_at = now
        if lasts and not self._lasts:
            self._newest.clear()
        self._lasts = lasts
        mean = self._mean(now)
        kept_peak = PoolDemand(
            prefill=kept * self._lasting.prefill,
            decode=kept * self._lasting.decode,
            requests=self._lasting.requests,
        )
        self.peak = PoolDemand(
            prefill=max(mean.prefill, kept_peak.prefill),
            decode=max(mean.decode, kept_peak.decode),
            requests=max(self.current.requests, kept_peak.requests),
        )
        self._lasting = self.peak if lasts else kept_peak

    def _mean(self, now: float) -> PoolDemand:
        """Return the mean of the newest demands that show a mix."""
        if self.current.requests:
            self._newest.append((now, self.current))
        while self._newest and self._newest[0][0] <= now - _MEAN_S:
            self._newest.popleft()
        if not self._newest:
            return NO_DEMAND
        demands = [demand for _, demand in self._newest]
        return PoolDemand(
            prefill=statistics.fmean(item.prefill for item in demands),
            decode=statistics.fmean(item.decode for item in demands),
        )
