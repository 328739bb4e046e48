"""The streams that run at endpoints, and how long each has been silent.

An event that is overdue shows that an endpoint is slow before the event
arrives.

Pure: times are readings of the gateway's clock, in seconds.
"""

import contextlib
from typing import Iterator

import msgspec

from rackpost import types

# An open interval counts once it is this many times the usual one: events
# that travel together arrive one interval late.
_OVERDUE_FACTOR = 1.7
# Share of a pause's length from which another pause is similar.
_SIMILAR_SHARE = 0.5
# Usual intervals below this are not known, in seconds.
_MIN_USUAL_S = 1e-4


class RunningStream(msgspec.Struct, kw_only=True, eq=False):
    """A stream, or a prefill, whose next event is awaited.

    Attributes:
        since: when the last event arrived.
        usual_s: usual time from one event to the next.
        last_s: time between the last two events.
    """

    endpoint: types.EndpointId
    since: float
    usual_s: float
    last_s: float = 0.0


class Overdue(msgspec.Struct, frozen=True, kw_only=True):
    """Sums over the overdue events of an endpoint, in seconds."""

    seconds: float = 0.0
    usual_s: float = 0.0


class RunningStreams:
    """This gateway's running streams, by endpoint."""

    def __init__(self) -> None:
        self._streams: dict[types.EndpointId, list[RunningStream]] = {}

    def add(self, stream: RunningStream) -> None:
        """Add a stream."""
        self._streams.setdefault(stream.endpoint, []).append(stream)

    def remove(self, stream: RunningStream) -> None:
        """Remove a stream; ignores one that is not there."""
        found = self._streams.get(stream.endpoint, [])
        for index, item in enumerate(found):
            if item is stream:
                del found[index]
                break
        if not found:
            self._streams.pop(stream.endpoint, None)

    @contextlib.contextmanager
    def watched(
        self, endpoint: types.EndpointId, usual_s: float, since: float
    ) -> Iterator[None]:
        """Await one result, such as a prefill's, while the block runs."""
        stream = RunningStream(endpoint=endpoint, since=since, usual_s=usual_s)
        self.add(stream)
        try:
            yield
        finally:
            self.remove(stream)

    def others(self, stream: RunningStream) -> list[RunningStream]:
        """Return the other streams at the same endpoint."""
        found = self._streams.get(stream.endpoint, ())
        return [item for item in found if item is not stream]

    def paused_with(
        self, stream: RunningStream, seconds: float, now: float
    ) -> int:
        """Return how many other streams there had a similar pause.

        `stream` has just ended a pause of `seconds`.
        """
        return sum(
            max(now - item.since, item.last_s) >= _SIMILAR_SHARE * seconds
            for item in self.others(stream)
        )

    def was_preempted(
        self, stream: RunningStream, seconds: float, now: float
    ) -> bool:
        """Whether a pause was most likely that of this stream alone."""
        return (
            seconds >= _OVERDUE_FACTOR * stream.usual_s
            and bool(self.others(stream))
            and not self.paused_with(stream, seconds, now)
        )

    def overdue(self, endpoint: types.EndpointId, now: float) -> Overdue:
        """Return how far the endpoint's events are overdue.

        Not at all while one of several streams goes on: a stream that is
        silent beside it was preempted.
        """
        seconds = usual_s = 0.0
        for item in self._streams.get(endpoint, ()):
            elapsed_s = now - item.since
            if item.usual_s < _MIN_USUAL_S:
                continue
            if elapsed_s < _OVERDUE_FACTOR * item.usual_s:
                return Overdue()
            seconds += elapsed_s
            usual_s += item.usual_s
        return Overdue(seconds=seconds, usual_s=usual_s)

    def forget(self, endpoint: types.EndpointId) -> None:
        """Drop the streams of an endpoint that has ended."""
        self._streams.pop(endpoint, None)
