"""Which endpoints to avoid, from their own answers.  Pure."""

import math

from rackpost import types

# The first pause after a failure, doubled with each further one in a row.
_PAUSE_S = 0.4
_MAX_PAUSE_S = 3.0
# An endpoint without room is asked again after this, doubled each time:
# some hundred ms pass between the ends of two runs there.
_FULL_S = 0.25
_MAX_FULL_S = 2.0
# What another gateway tells of a back-off counts for this long: it tells it
# again at least each second.
_TOLD_S = 1.5
# Weight of the newest answer in the running averages.
_ALPHA = 0.15
# An endpoint whose requests fail always counts as this many times slower.
_FAILING_X = 8.0


class _Record:
    """What one endpoint's answers were like."""

    def __init__(self) -> None:
        self.failed_in_row = 0
        self.avoid_until = 0.0
        self.failing = 0.0
        self.answer_s: float | None = None
        self.work_s = 0.0
        self.full_in_row = 0
        self.full_until = 0.0
        # It has asked another gateway to wait until then.
        self.others_wait_until = 0.0
        # When it turned a request away, here or at another gateway.
        self.full_at = -math.inf


class HealthTracker:
    """Running averages for each endpoint."""

    def __init__(self) -> None:
        self._records: dict[types.EndpointId, _Record] = {}

    def _record(self, endpoint: types.EndpointId) -> _Record:
        return self._records.setdefault(endpoint, _Record())

    def record_answer(self, endpoint: types.EndpointId, took_s: float) -> None:
        """A whole answer came, of whatever status but an own failure."""
        record = self._record(endpoint)
        record.failed_in_row = 0
        record.avoid_until = 0.0
        record.full_in_row = 0
        record.failing *= 1.0 - _ALPHA
        if record.answer_s is None:
            record.answer_s = took_s
        record.answer_s += _ALPHA * (took_s - record.answer_s)

    def record_work(
        self, endpoint: types.EndpointId, took_s: float, rounds: float
    ) -> None:
        """An answer took so long with `rounds` full rounds before its end."""
        record = self._record(endpoint)
        work = took_s / max(1.0, rounds)
        record.work_s = record.work_s or work
        record.work_s += _ALPHA * (work - record.work_s)

    def work_s(self, endpoint: types.EndpointId) -> float:
        """The work of one request there, in seconds; 0 if none was seen."""
        record = self._records.get(endpoint)
        return 0.0 if record is None else record.work_s

    def record_error(self, endpoint: types.EndpointId) -> None:
        """The endpoint answered with a failure of its own."""
        record = self._record(endpoint)
        record.failing += _ALPHA * (1.0 - record.failing)

    def record_failure(self, endpoint: types.EndpointId, now: float) -> bool:
        """No connection, or no sound answer; whether this is news."""
        record = self._record(endpoint)
        record.failing += _ALPHA * (1.0 - record.failing)
        record.failed_in_row += 1
        pause = _PAUSE_S * 2 ** (record.failed_in_row - 1)
        record.avoid_until = now + min(pause, _MAX_PAUSE_S)
        return record.failed_in_row == 1

    def record_rejection(self, endpoint: types.EndpointId, now: float) -> None:
        """It had no room for a request, whatever the figures say."""
        record = self._record(endpoint)
        record.full_in_row += 1
        record.full_at = now
        pause = _FULL_S * 2 ** (record.full_in_row - 1)
        record.full_until = now + min(pause, _MAX_FULL_S)

    def record_reported_full(
        self, endpoint: types.EndpointId, now: float
    ) -> None:
        """Another gateway was turned away there just now."""
        record = self._record(endpoint)
        record.full_at = now
        record.full_until = max(record.full_until, now + _FULL_S)

    def record_reported_backoff(
        self, endpoint: types.EndpointId, left_s: float, now: float
    ) -> None:
        """Another gateway was asked to send it nothing for so long.

        This one was not, and may send where nobody else has room.  What is
        not told again is soon forgotten.
        """
        record = self._record(endpoint)
        record.others_wait_until = now + min(left_s, _TOLD_S)

    def has_reported_backoff(
        self, endpoint: types.EndpointId, now: float
    ) -> bool:
        """Whether another gateway is to send it nothing."""
        record = self._records.get(endpoint)
        return record is not None and now < record.others_wait_until

    def is_full(self, endpoint: types.EndpointId, now: float) -> bool:
        """Whether it has just turned a request away."""
        record = self._records.get(endpoint)
        return record is not None and now < record.full_until

    def rejected_since(self, endpoint: types.EndpointId, since: float) -> bool:
        """Whether any gateway has told of a request that it turned away."""
        record = self._records.get(endpoint)
        return record is not None and record.full_at > since

    def full_endpoints(self, now: float) -> tuple[types.EndpointId, ...]:
        """Endpoints that have just turned this gateway away."""
        return tuple(
            key
            for key, record in self._records.items()
            if record.full_in_row and now < record.full_until
        )

    def record_reported_failure(
        self, endpoint: types.EndpointId, now: float
    ) -> None:
        """Another gateway has seen it fail just now."""
        record = self._record(endpoint)
        record.avoid_until = max(record.avoid_until, now + _PAUSE_S)

    def failed_endpoints(self, now: float) -> tuple[types.EndpointId, ...]:
        """Endpoints whose failure this gateway has just seen itself."""
        return tuple(
            key
            for key, record in self._records.items()
            if record.failed_in_row and now < record.avoid_until
        )

    def is_avoided(self, endpoint: types.EndpointId, now: float) -> bool:
        """Whether it has just failed and is left alone for a while."""
        record = self._records.get(endpoint)
        return record is not None and now < record.avoid_until

    def slowness(self, endpoint: types.EndpointId, usual_s: float) -> float:
        """How many times slower than usual it answers, failures included."""
        record = self._records.get(endpoint)
        if record is None:
            return 1.0
        times = 1.0
        if record.answer_s is not None and usual_s > 0:
            times = max(0.25, record.answer_s / usual_s)
        return times * (1.0 + _FAILING_X * record.failing)

    def mean_answer_s(self, endpoint: types.EndpointId) -> float | None:
        """The running average of its answers' time, in seconds."""
        record = self._records.get(endpoint)
        return None if record is None else record.answer_s

    def forget(self, endpoint: types.EndpointId) -> None:
        """An endpoint has ended."""
        self._records.pop(endpoint, None)
