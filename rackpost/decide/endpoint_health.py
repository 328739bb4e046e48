"""Track failures, rejections and answer times of endpoints."""

import math

from rackpost import types

# An endpoint is avoided this long after a failure, doubled with each further
# failure in a row.
_MIN_AVOID_S = 0.4
_MAX_AVOID_S = 3.0
# An endpoint that rejected a request counts as full this long, doubled with
# each further rejection in a row.
_MIN_FULL_S = 0.25
_MAX_FULL_S = 2.0
# How long another gateway's report of a back-off counts; it is repeated at
# least each second.
_REPORT_LIFETIME_S = 1.5
# Weight of the newest answer in the running averages.
_EWMA_WEIGHT = 0.15
# The mean answer time of an endpoint counts until it has not answered for this
# long, in seconds, so that an endpoint that was slow is tried again.  It
# counts twice as long each time that it was tried again and still slow.
_MIN_VALID_S = 5.0
_MAX_VALID_S = 40.0
# An endpoint counts as at most this much faster than usual.
_MIN_RATIO = 0.25
# An answer that takes this many times the usual time is slow.
_SLOW_RATIO = 1.5
# Slowness added to an endpoint that fails all requests.
_FAILURE_PENALTY = 8.0


class _EndpointHealth:
    """Health of one endpoint."""

    def __init__(self) -> None:
        self.failures_in_row = 0
        self.avoid_until = 0.0
        # The same after failures that other gateways reported.  They are not
        # reported again, or gateways would extend each other's reports.
        self.reported_avoid_until = 0.0
        # Running average of failures, from 0 to 1.
        self.failure_rate = 0.0
        self.answer_s: float | None = None
        self.answered_at = -math.inf
        # The answer time that it was last compared with; 0 if unknown.
        self.usual_s = 0.0
        self.valid_s = _MIN_VALID_S
        self.work_s = 0.0
        self.rejections_in_row = 0
        self.full_until = 0.0
        self.reported_full_until = 0.0
        # End of a back-off that another gateway reported.
        self.reported_backoff_until = 0.0
        # Last rejection, here or at another gateway.
        self.rejected_at = -math.inf

    def is_outdated(self, now: float) -> bool:
        """Whether the mean answer time does not count any more."""
        return now - self.answered_at > self.valid_s


class HealthTracker:
    """Health of each endpoint, as one gateway knows it."""

    def __init__(self) -> None:
        self._records: dict[types.EndpointId, _EndpointHealth] = {}

    def _record(self, endpoint: types.EndpointId) -> _EndpointHealth:
        return self._records.setdefault(endpoint, _EndpointHealth())

    def record_answer(
        self, endpoint: types.EndpointId, took_s: float | None, now: float
    ) -> None:
        """Record a complete answer that is not the endpoint's own failure.

        `took_s` is None where the time says nothing of the endpoint.
        """
        record = self._record(endpoint)
        record.failures_in_row = 0
        record.avoid_until = 0.0
        record.reported_avoid_until = 0.0
        record.rejections_in_row = 0
        record.failure_rate *= 1.0 - _EWMA_WEIGHT
        if took_s is not None:
            self._record_time(record, took_s, now)

    def _record_time(
        self, record: _EndpointHealth, took_s: float, now: float
    ) -> None:
        if record.is_outdated(now):
            record.answer_s = None
            self._update_validity(record, took_s)
        record.answered_at = now
        if record.answer_s is None:
            record.answer_s = took_s
        record.answer_s += _EWMA_WEIGHT * (took_s - record.answer_s)

    def _update_validity(self, record: _EndpointHealth, took_s: float) -> None:
        """Set how long an answer time counts that follows a long pause."""
        is_slow = 0.0 < _SLOW_RATIO * record.usual_s < took_s
        record.valid_s = (
            min(2.0 * record.valid_s, _MAX_VALID_S)
            if is_slow
            else _MIN_VALID_S
        )

    def record_work(
        self, endpoint: types.EndpointId, took_s: float, rounds: float
    ) -> None:
        """Record an answer time that includes `rounds` service times."""
        record = self._record(endpoint)
        work_s = took_s / max(1.0, rounds)
        record.work_s = record.work_s or work_s
        record.work_s += _EWMA_WEIGHT * (work_s - record.work_s)

    def work_s(self, endpoint: types.EndpointId) -> float:
        """Return the mean service time, in seconds; 0 if unknown."""
        record = self._records.get(endpoint)
        return 0.0 if record is None else record.work_s

    def record_error(self, endpoint: types.EndpointId) -> None:
        """Record an answer that is the endpoint's own failure."""
        record = self._record(endpoint)
        record.failure_rate += _EWMA_WEIGHT * (1.0 - record.failure_rate)

    def record_failure(self, endpoint: types.EndpointId, now: float) -> bool:
        """Record a failed connection or an invalid answer.

        Return whether it is the first failure in a row.
        """
        record = self._record(endpoint)
        record.failure_rate += _EWMA_WEIGHT * (1.0 - record.failure_rate)
        record.failures_in_row += 1
        avoid_s = _MIN_AVOID_S * 2 ** (record.failures_in_row - 1)
        record.avoid_until = now + min(avoid_s, _MAX_AVOID_S)
        return record.failures_in_row == 1

    def record_rejection(self, endpoint: types.EndpointId, now: float) -> None:
        """Record that the endpoint rejected a request for lack of capacity."""
        record = self._record(endpoint)
        record.rejections_in_row += 1
        record.rejected_at = now
        full_s = _MIN_FULL_S * 2 ** (record.rejections_in_row - 1)
        record.full_until = now + min(full_s, _MAX_FULL_S)

    def record_no_room(self, endpoint: types.EndpointId, now: float) -> None:
        """Record that the endpoint could not set capacity aside.

        Nothing was prefilled for it, so that it may be asked again soon, and
        other gateways are not told: a smaller request may have room.
        """
        record = self._record(endpoint)
        record.rejected_at = now
        record.full_until = max(record.full_until, now + _MIN_FULL_S)

    def record_reported_full(
        self, endpoint: types.EndpointId, now: float
    ) -> None:
        """Record a rejection that another gateway reported."""
        record = self._record(endpoint)
        record.rejected_at = now
        record.reported_full_until = now + _MIN_FULL_S

    def record_reported_backoff(
        self, endpoint: types.EndpointId, remaining_s: float, now: float
    ) -> None:
        """Record a back-off of another gateway, with `remaining_s` to go.

        It does not bind this gateway, which prefers other endpoints while
        the report is repeated.
        """
        record = self._record(endpoint)
        record.reported_backoff_until = now + min(
            remaining_s, _REPORT_LIFETIME_S
        )

    def has_reported_backoff(
        self, endpoint: types.EndpointId, now: float
    ) -> bool:
        """Whether another gateway reports a back-off for the endpoint."""
        record = self._records.get(endpoint)
        return record is not None and now < record.reported_backoff_until

    def is_full(self, endpoint: types.EndpointId, now: float) -> bool:
        """Whether the endpoint has just rejected a request."""
        record = self._records.get(endpoint)
        return record is not None and now < max(
            record.full_until, record.reported_full_until
        )

    def rejected_since(self, endpoint: types.EndpointId, since: float) -> bool:
        """Whether the endpoint rejected a request of any gateway since."""
        record = self._records.get(endpoint)
        return record is not None and record.rejected_at > since

    def full_endpoints(self, now: float) -> tuple[types.EndpointId, ...]:
        """Return the endpoints that have just rejected this gateway."""
        return tuple(
            key
            for key, record in self._records.items()
            if record.rejections_in_row and now < record.full_until
        )

    def record_reported_failure(
        self, endpoint: types.EndpointId, now: float
    ) -> None:
        """Record a failure that another gateway reported."""
        record = self._record(endpoint)
        record.reported_avoid_until = now + _MIN_AVOID_S

    def failed_endpoints(self, now: float) -> tuple[types.EndpointId, ...]:
        """Return the endpoints that have just failed for this gateway."""
        return tuple(
            key
            for key, record in self._records.items()
            if record.failures_in_row and now < record.avoid_until
        )

    def is_avoided(self, endpoint: types.EndpointId, now: float) -> bool:
        """Whether the endpoint is avoided after a recent failure."""
        record = self._records.get(endpoint)
        return record is not None and now < max(
            record.avoid_until, record.reported_avoid_until
        )

    def slowness(
        self, endpoint: types.EndpointId, usual_s: float, now: float
    ) -> float:
        """Return the answer time relative to `usual_s`.

        It is 1 where no answer came for long; failures increase it.
        """
        record = self._records.get(endpoint)
        if record is None:
            return 1.0
        record.usual_s = usual_s
        ratio = 1.0
        if (
            record.answer_s is not None
            and usual_s > 0
            and not record.is_outdated(now)
        ):
            ratio = max(_MIN_RATIO, record.answer_s / usual_s)
        return ratio * (1.0 + _FAILURE_PENALTY * record.failure_rate)

    def mean_answer_s(self, endpoint: types.EndpointId) -> float | None:
        """Return the mean answer time, in seconds; None if unknown."""
        record = self._records.get(endpoint)
        return None if record is None else record.answer_s

    def forget(self, endpoint: types.EndpointId) -> None:
        """Drop the record of an endpoint that has ended."""
        self._records.pop(endpoint, None)
