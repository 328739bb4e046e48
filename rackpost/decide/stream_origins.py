"""Which service and software version began a stream.

The events of two software versions do not fit together, so that a stream may
only be resumed at the version that began it.  A client that resumes one names
the request that brought its first event, and may do so at any gateway.

Pure: times are readings of the holder's clock, in seconds; messages carry the
time that is left.
"""

import hashlib
from typing import Iterable

import msgspec

from rackpost.routing import endpoints
from rackpost import types

_KEY_BYTES = 8
# Keeps these digests apart from other digests of the same bytes.
_PURPOSE = b"rackpost stream"
# Bounds the memory for streams; the oldest are dropped.
_MAX_STREAMS = 50_000
# Longest time between two records of the endpoints that are there, and for how
# long one that has left is remembered, in seconds.
_MAX_RECORD_INTERVAL_S = 2.0
_HISTORY_S = 3600.0
# The version of a stream that began at an endpoint which may have restarted
# since its last heartbeat; no endpoint has it.
UNKNOWN_SOFTWARE = types.SoftwareVersion("\0unknown")


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Where a stream began; it can be resumed nowhere else."""

    service: types.ServiceName
    software: types.SoftwareVersion

    def matches(self, endpoint: endpoints.Endpoint) -> bool:
        """Whether an endpoint has the service and version of the stream."""
        return (
            endpoint.service == self.service
            and endpoint.software == self.software
        )


class OriginRecord(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A stream's origin, and for how long a client may resume it.

    In seconds, from when the record is made.
    """

    stream: types.StreamKey
    origin: StreamOrigin
    left_s: float


def stream_key(
    organisation: types.OrganisationName, first_request: bytes
) -> types.StreamKey:
    """Return the key of the stream that a request began.

    Request ids are chosen by callers, and unique within an organisation only.
    """
    found = hashlib.blake2b(digest_size=_KEY_BYTES, person=_PURPOSE)
    name = organisation.encode()
    found.update(b"%d:" % len(name))
    found.update(name)
    found.update(first_request)
    return types.StreamKey(found.digest())


class VersionHistory:
    """Which software versions a service's endpoints have had, and when.

    For clients that do not name the request that began their stream: it
    began at the one version that was there all the while, if that is known.
    """

    def __init__(self) -> None:
        # Since when all endpoints are known; None while they are not.
        self._known_since: float | None = None
        # When each service's versions were there last, in order of time.
        self._last_seen: dict[StreamOrigin, float] = {}

    def record(self, alive: Iterable[endpoints.Endpoint], now: float) -> None:
        """Record the endpoints that are there, which are all of them."""
        if self._known_since is None:
            self._known_since = now
        for item in alive:
            self.record_endpoint(item, now)
        self._forget(now)

    def record_endpoint(self, item: endpoints.Endpoint, now: float) -> None:
        """Record that an endpoint is there."""
        found = StreamOrigin(service=item.service, software=item.software)
        self._last_seen.pop(found, None)
        self._last_seen[found] = now

    def restart(self) -> None:
        """Record that endpoints may come and leave unseen from now on."""
        self._known_since = None

    def sole_origin(
        self, service: types.ServiceName, lifetime_s: float, now: float
    ) -> StreamOrigin | None:
        """Return the origin of all streams that began within a lifetime.

        None if there may have been several.
        """
        since = now - lifetime_s - _MAX_RECORD_INTERVAL_S
        if self._known_since is None or self._known_since > since:
            return None
        found = [
            origin
            for origin, last_at in self._last_seen.items()
            if origin.service == service and last_at >= since
        ]
        return found[0] if len(found) == 1 else None

    def _forget(self, now: float) -> None:
        while self._last_seen:
            origin = next(iter(self._last_seen))
            if self._last_seen[origin] > now - _HISTORY_S:
                return
            del self._last_seen[origin]


class OriginTable:
    """The origins of streams that clients may still resume.

    An origin never changes: it is recorded with the first event.
    """

    def __init__(self) -> None:
        self._streams: dict[types.StreamKey, tuple[StreamOrigin, float]] = {}
        # One copy of each origin, which many streams share.
        self._origins: dict[StreamOrigin, StreamOrigin] = {}

    def __len__(self) -> int:
        return len(self._streams)

    def record(self, item: OriginRecord, now: float) -> bool:
        """Record an origin; return whether the stream is new here."""
        self._forget_expired(now)
        if self.find(item.stream, now) is not None:
            return False
        origin = self._origins.setdefault(item.origin, item.origin)
        self._streams[item.stream] = (origin, now + item.left_s)
        if len(self._streams) > _MAX_STREAMS:
            del self._streams[next(iter(self._streams))]
        return True

    def record_all(self, items: Iterable[OriginRecord], now: float) -> None:
        """Record several origins."""
        for item in items:
            self.record(item, now)

    def find(self, stream: types.StreamKey, now: float) -> StreamOrigin | None:
        """Return a stream's origin, None if it is not known."""
        found = self.find_record(stream, now)
        return None if found is None else found.origin

    def find_record(
        self, stream: types.StreamKey, now: float
    ) -> OriginRecord | None:
        """Return the record of a stream, None if there is none."""
        origin, until = self._streams.get(stream, (None, now))
        if origin is None or until <= now:
            return None
        return OriginRecord(stream=stream, origin=origin, left_s=until - now)

    def records(self, now: float) -> tuple[OriginRecord, ...]:
        """Return the records of all streams that can still be resumed."""
        found = (self.find_record(stream, now) for stream in self._streams)
        return tuple(item for item in found if item is not None)

    def _forget_expired(self, now: float) -> None:
        """Forget the oldest streams whose time is over.

        Lifetimes are much alike, so that those behind an unexpired one are
        forgotten soon after.
        """
        while self._streams:
            stream = next(iter(self._streams))
            if self._streams[stream][1] > now:
                return
            del self._streams[stream]
        self._origins.clear()
