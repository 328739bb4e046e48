"""When the events of one stream came: its first, and its longest pause."""

from rackpost.routing import model


class StreamTimes:
    """Times of a stream as its client sees them, but for the way to it."""

    def __init__(self, *, began: float) -> None:
        """`began` is the clock reading at the request's arrival."""
        self._began = began
        self._last = began
        self.first_s: float | None = None
        self.longest_pause_s = 0.0

    def note_event(self, now: float) -> None:
        """An event is passed on to the client."""
        if self.first_s is None:
            self.first_s = now - self._began
        else:
            pause_s = now - self._last
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last = now

    def is_late(self, route: model.Route) -> bool:
        """Whether the first event or any other came too late."""
        if self.first_s is None:
            return False
        first_late = 0.0 < route.target_s < self.first_s
        return first_late or 0.0 < route.gap_s < self.longest_pause_s

    def facts(self) -> dict[str, float]:
        """Fields for the log; none where there was no event."""
        if self.first_s is None:
            return {}
        return {
            "first_s": round(self.first_s, 4),
            "longest_pause_s": round(self.longest_pause_s, 4),
        }
