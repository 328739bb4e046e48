"""Times of a stream's first event and of its longest pause."""

from rackpost.routing import model


class StreamTimes:
    """Times of a stream as sent to its client."""

    def __init__(self, *, began: float) -> None:
        """`began` is the clock reading at the request's arrival."""
        self._began = began
        self._last = began
        self.first_s: float | None = None
        self.longest_pause_s = 0.0

    def record_event(self, now: float) -> None:
        """Record an event that is sent to the client."""
        if self.first_s is None:
            self.first_s = now - self._began
        else:
            pause_s = now - self._last
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last = now

    def is_late(self, route: model.Route) -> bool:
        """Whether the first event or a pause exceeded the route's target."""
        if self.first_s is None:
            return False
        first_late = 0.0 < route.target_s < self.first_s
        return first_late or 0.0 < route.gap_s < self.longest_pause_s

    def log_fields(self) -> dict[str, float]:
        """Return the fields for the log; none without an event."""
        if self.first_s is None:
            return {}
        return {
            "first_s": round(self.first_s, 4),
            "longest_pause_s": round(self.longest_pause_s, 4),
        }
