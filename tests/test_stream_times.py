"""Whether a stream was in time: its first event, and its pauses."""

import msgspec

from rackpost.gateway import stream_times
from rackpost.routing import model

ROUTE = model.Route(
    name="r",
    host="h",
    prefix="/",
    kind=model.RouteKind.STREAM,
    timeout_s=14.0,
    targets=(),
    target_s=0.9,
    gap_s=0.3,
)


def stream_with_events(*at: float) -> stream_times.StreamTimes:
    found = stream_times.StreamTimes(began=0.0)
    for reading in at:
        found.record_event(reading)
    return found


def test_a_long_stream_in_time_is_not_late() -> None:
    """The target of the first event does not limit the whole stream."""
    found = stream_with_events(0.5, 0.75, 1.0, 1.25)
    assert not found.is_late(ROUTE)
    assert found.first_s == 0.5 and found.longest_pause_s == 0.25


def test_a_late_first_event_or_a_long_pause_is_late() -> None:
    assert stream_with_events(0.95, 1.0).is_late(ROUTE)
    assert stream_with_events(0.5, 0.85).is_late(ROUTE)
    # A route without targets is never late.
    free = msgspec.structs.replace(ROUTE, target_s=0.0, gap_s=0.0)
    assert not stream_with_events(5.0, 9.0).is_late(free)
    assert not stream_with_events().is_late(ROUTE)
