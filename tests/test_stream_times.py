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


def test_a_late_stream_says_when_stages_were_reached_and_why_it_paused() -> (
    None
):
    found = stream_times.StreamTimes(began=1.0)
    found.record_stage(stream_times.Stage.RESERVED, 1.25)
    found.record_stage(stream_times.Stage.PREFILLED, 1.5)
    assert not found.log_fields()
    found.record_event(2.0)
    # A stage after the first event is that of a resumed stream.
    found.record_stage(stream_times.Stage.RESERVED, 3.0)
    found.pause_fields = {"pause_cause": "preemption"}
    fields = found.log_fields()
    assert fields["reserved_s"] == 0.25 and fields["prefilled_s"] == 0.5
    assert fields["pause_cause"] == "preemption"
