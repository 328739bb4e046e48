"""How long requests to a service take, for the choice of what to start.

Pure: no input or output.
"""

from rackpost import types

# A maximum covers between one and two of these intervals, in seconds, and
# therefore follows a service that has become slower or faster.
_INTERVAL_S = 60.0


class _RecentMaximum:
    """The maximum of the present and of the previous interval."""

    def __init__(self, *, now: float) -> None:
        self._began = now
        self._present_s: float | None = None
        self._previous_s: float | None = None

    def _advance(self, now: float) -> None:
        passed = now - self._began
        if passed < _INTERVAL_S:
            return
        self._previous_s = (
            self._present_s if passed < 2.0 * _INTERVAL_S else None
        )
        self._present_s = None
        self._began = now

    def record(self, seconds: float, now: float) -> None:
        """Record a value."""
        self._advance(now)
        self._present_s = max(seconds, self._present_s or 0.0)

    def value_s(self, now: float) -> float | None:
        """Return the maximum; None without any recent value."""
        self._advance(now)
        known = [
            seconds
            for seconds in (self._present_s, self._previous_s)
            if seconds is not None
        ]
        return max(known, default=None)


class RequestDurations:
    """The longest recent request of each service.  Times are in seconds."""

    def __init__(self) -> None:
        self._longest: dict[types.ServiceName, _RecentMaximum] = {}

    def record(
        self, service: types.ServiceName, seconds: float, now: float
    ) -> None:
        """Record how long a whole request took."""
        found = self._longest.get(service)
        if found is None:
            found = self._longest[service] = _RecentMaximum(now=now)
        found.record(seconds, now)

    def longest_s(
        self, service: types.ServiceName, now: float
    ) -> float | None:
        """Return the longest recent duration; None if none is known."""
        found = self._longest.get(service)
        return None if found is None else found.value_s(now)
