"""Times the events of one stream and records its endpoint's pace.

Pure: times are readings of the gateway's clock, in seconds.
"""

from rackpost.decide.pace import batch_timing
from rackpost.decide.pace import endpoint_pace
from rackpost.decide.pace import running_streams
from rackpost import types


class StreamClock:
    """The times between events of a stream at one endpoint."""

    def __init__(
        self,
        *,
        endpoint: types.EndpointId,
        pace: endpoint_pace.EndpointPace,
        timing: batch_timing.BatchTiming,
        streams: running_streams.RunningStreams,
    ) -> None:
        """`timing` and `streams` are those of the gateway's service."""
        self._endpoint = endpoint
        self._pace = pace
        self._timing = timing
        self._streams = streams
        # None before the first event.
        self.stream: running_streams.RunningStream | None = None

    def record_event(self, runs: int, now: float) -> None:
        """Record an event in a batch of `runs`."""
        stream = self.stream
        if stream is None:
            self.stream = running_streams.RunningStream(
                endpoint=self._endpoint,
                since=now,
                usual_s=self._timing.interval_s(runs),
            )
            self._streams.add(self.stream)
            return
        seconds = now - stream.since
        if not self._streams.was_preempted(stream, seconds, now):
            self._pace.record_decode(
                self._endpoint,
                seconds=seconds,
                usual_s=stream.usual_s,
                now=now,
            )
            self._timing.record_interval(runs, seconds)
        stream.since = now
        stream.last_s = seconds
        stream.usual_s = self._timing.interval_s(runs)

    def end(self) -> None:
        """Record that the stream has ended here."""
        if self.stream is not None:
            self._streams.remove(self.stream)
