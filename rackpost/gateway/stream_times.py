"""Times of a stream's first event and of its longest pause."""

import enum

from rackpost.decide.pace import pauses
from rackpost.routing import model


class Stage(enum.Enum):
    """A step on the way to a stream's first event."""

    # A decode endpoint is reserved.
    RESERVED = "reserved"
    # The prompt is prefilled, or is left to the decode endpoint.
    PREFILLED = "prefilled"


class StreamTimes:
    """Times of a stream as sent to its client."""

    def __init__(self, *, began: float) -> None:
        """`began` is the clock reading at the request's arrival."""
        self._began = began
        self.last_at = began
        self.first_s: float | None = None
        self.longest_pause_s = 0.0
        # The likely cause of the longest pause over the target, its fields
        # for the log, and how long the client has accepted no data since the
        # last event.
        self.pause_cause: pauses.PauseCause | None = None
        self.pause_fields: dict[str, object] = {}
        self.client_s = 0.0
        # Readings of the last time that each stage was reached.
        self._stages: dict[Stage, float] = {}

    def record_stage(self, stage: Stage, now: float) -> None:
        """Record that a stage is reached before the first event."""
        if self.first_s is None:
            self._stages[stage] = now

    def record_event(self, now: float) -> None:
        """Record an event that is sent to the client."""
        if self.first_s is None:
            self.first_s = now - self._began
        else:
            pause_s = now - self.last_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_at = now

    def is_late(self, route: model.Route) -> bool:
        """Whether the first event or a pause exceeded the route's target."""
        return self.is_late_first(route) or self._has_long_pause(route)

    def is_late_first(self, route: model.Route) -> bool:
        """Whether the first event exceeded the route's target."""
        return self.first_s is not None and (
            0.0 < route.target_s < self.first_s
        )

    def _has_long_pause(self, route: model.Route) -> bool:
        return 0.0 < route.gap_s < self.longest_pause_s

    def log_fields(self) -> dict[str, object]:
        """Return the fields for the log; none without an event."""
        if self.first_s is None:
            return {}
        return {
            "first_s": round(self.first_s, 4),
            "longest_pause_s": round(self.longest_pause_s, 4),
            **self._stage_fields(),
            **self.pause_fields,
        }

    def _stage_fields(self) -> dict[str, object]:
        """Return when each stage was reached, in seconds after arrival."""
        return {
            f"{stage.value}_s": round(at - self._began, 4)
            for stage, at in self._stages.items()
        }
