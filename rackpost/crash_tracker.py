"""Tracks requests that were in flight when endpoints crashed.

Each broken connection is a suspicion against its request and the parts of its
prompt; gateways share them through the coordinators.  It is cleared when
the request is answered, the part turns out to run well, or the endpoint turns
out to be alive.
"""

from typing import Callable
from typing import Iterable
from typing import NamedTuple

import msgspec

from rackpost.decide import part_soundness
from rackpost.decide import quarantine
from rackpost import logs
from rackpost.routing import endpoints
from rackpost import types

# An answer clears its request for this long, in seconds; later the endpoints'
# software may have been replaced.
_CLEARED_S = 30.0
# Bounds the memory for answered requests.
_MAX_SERVED = 1024
# Heartbeats that arrive sooner than this after a connection broke may have
# been sent before, in seconds.
_MIN_HEARTBEAT_DELAY_S = 2.0
# A second heartbeat has to follow the first one after this long, in seconds,
# as single heartbeats can be delayed on the way.
_MIN_HEARTBEAT_GAP_S = 0.6
# Without heartbeats for this long the endpoint has crashed, in seconds.
_MAX_WATCH_S = 12.0

# Bounds the broken connections that are watched; the oldest are dropped.
_MAX_WATCHED = 4096

# Reasons in the log for clearing a subject.
_ANSWERED_IN_FULL = "answered in full"
_RUNS_WELL = "runs well"
_ENDPOINT_ALIVE = "endpoint is alive"

Publish = Callable[[tuple[quarantine.Suspicion, ...]], None]


class Subjects(NamedTuple):
    """What a request can be recognised by when it comes again.

    `parts` are those of its prompt that other requests may share, in order.
    """

    request: types.Fingerprint
    parts: tuple[types.Fingerprint, ...] = ()

    @property
    def all(self) -> tuple[types.Fingerprint, ...]:
        """The request, and the parts of its prompt."""
        return (self.request, *self.parts)


class QuarantineReason(NamedTuple):
    """Why a request is quarantined, for another `remaining_s` seconds."""

    subject: types.Fingerprint
    remaining_s: float


class _WatchedSuspicion(NamedTuple):
    """Suspicions whose endpoint may turn out to be alive.

    `first_heartbeat_at` is the time of its first heartbeat after the
    connection broke.
    """

    suspicions: tuple[quarantine.Suspicion, ...]
    endpoint: endpoints.Endpoint
    broke_at: float
    first_heartbeat_at: float | None = None


class CrashTracker:
    """One process's quarantine table, and the suspicions that it adds."""

    def __init__(
        self,
        *,
        table: endpoints.EndpointTable,
        part: logs.Part = logs.Part.GATEWAY,
    ) -> None:
        self._part = part
        self.quarantine = quarantine.Quarantine()
        # Sends suspicions to the coordinators; set by ControlLinks.
        self.publish: Publish = _publish_nothing
        self._table = table
        self._watched: list[_WatchedSuspicion] = []
        self._served_at: dict[types.Fingerprint, float] = {}
        self._sound_parts = part_soundness.SoundParts()

    def record_broken(
        self,
        subjects: Subjects,
        endpoint: endpoints.Endpoint,
        *,
        ran_s: float,
        now: float,
        progress: part_soundness.AnswerProgress | None = None,
    ) -> None:
        """Record that a connection broke while an endpoint ran a request.

        Ignored for endpoints that have announced that they leave.  The parts
        of a prompt are not suspected if `progress`, the answer until then,
        ran well.
        """
        if self._table.has_left(endpoint):
            return
        parts = subjects.parts
        if progress is not None and progress.runs_well:
            self.record_running(parts, progress, now)
            parts = ()
        ran_ms = int(ran_s * 1000)
        found = [_suspicion(subjects.request, endpoint, ran_ms=ran_ms)]
        for place, part in enumerate(parts):
            sound = self._sound_parts.began_at(part, now) is not None
            found.append(
                _suspicion(
                    part, endpoint, ran_ms=ran_ms, place=place, sound=sound
                )
            )
        self._watched.append(
            _WatchedSuspicion(
                suspicions=tuple(found), endpoint=endpoint, broke_at=now
            )
        )
        del self._watched[:-_MAX_WATCHED]
        self._add(tuple(found), now)

    def record_running(
        self,
        parts: tuple[types.Fingerprint, ...],
        progress: part_soundness.AnswerProgress,
        now: float,
    ) -> None:
        """Record that an answer runs well."""
        if progress.first_at is not None:
            self._record_sound(parts, progress.first_at, now)

    def record_served(
        self, subjects: Subjects, *, began_at: float, now: float
    ) -> None:
        """Clear a request that was answered in full since `began_at`."""
        request = subjects.request
        self._served_at.pop(request, None)
        self._served_at[request] = now
        while len(self._served_at) > _MAX_SERVED:
            del self._served_at[next(iter(self._served_at))]
        self._clear(
            self.quarantine.clearances(request), _ANSWERED_IN_FULL, now
        )
        self._record_sound(subjects.parts, began_at, now)

    def _record_sound(
        self,
        parts: tuple[types.Fingerprint, ...],
        began_at: float,
        now: float,
    ) -> None:
        self._sound_parts.record(parts, began_at)
        for part in parts:
            if part in self.quarantine:
                self._vouch(part, now)

    def _vouch(self, part: types.Fingerprint, now: float) -> None:
        """Clear a part of ends before its latest answer that ran well."""
        began_at = self._sound_parts.began_at(part, now)
        if began_at is None:
            return
        cleared = self.quarantine.clearances(part, ended_before=began_at)
        if cleared:
            self._clear(
                tuple(
                    msgspec.structs.replace(item, sound=True)
                    for item in cleared
                ),
                _RUNS_WELL,
                now,
            )
        elif not self.quarantine.is_sound(part):
            self._add(
                tuple(
                    msgspec.structs.replace(item, sound=True)
                    for item in self.quarantine.suspicions_of(part, now)[:1]
                ),
                now,
            )

    def receive(
        self, items: Iterable[quarantine.Suspicion], now: float
    ) -> None:
        """Add suspicions that a coordinator has sent."""
        for subject in self.quarantine.add(items, now):
            self._vouch(subject, now)
            served_at = self._served_at.get(subject)
            if served_at is not None and now - served_at < _CLEARED_S:
                self._clear(
                    self.quarantine.clearances(subject), _ANSWERED_IN_FULL, now
                )
            elif self.quarantine.is_quarantined(subject, now):
                self._log_quarantined(subject, now)

    def quarantined(
        self, subjects: Subjects, now: float
    ) -> QuarantineReason | None:
        """Return why a request is quarantined; None if it is not."""
        subject = self.quarantine.holding(subjects.all, now)
        if subject is None:
            return None
        return QuarantineReason(
            subject, self.quarantine.remaining_s(subject, now)
        )

    def recheck(self, now: float) -> None:
        """Clear subjects whose endpoint is alive; call about each second.

        An endpoint is alive if its heartbeats go on in the same incarnation
        after the connection broke.
        """
        self._watched = [
            item
            for item in (self._recheck_one(one, now) for one in self._watched)
            if item is not None
        ]
        self.quarantine.forget(now)

    def _recheck_one(
        self, item: _WatchedSuspicion, now: float
    ) -> _WatchedSuspicion | None:
        if not self._table.is_current(item.endpoint):
            return None
        last_heartbeat_at = self._table.last_heartbeat_at.get(
            item.endpoint.id, item.broke_at
        )
        if last_heartbeat_at < item.broke_at + _MIN_HEARTBEAT_DELAY_S:
            return item if now - item.broke_at < _MAX_WATCH_S else None
        if item.first_heartbeat_at is None:
            return item._replace(first_heartbeat_at=last_heartbeat_at)
        if last_heartbeat_at < item.first_heartbeat_at + _MIN_HEARTBEAT_GAP_S:
            return item
        cleared = tuple(
            msgspec.structs.replace(one, cleared=True)
            for one in item.suspicions
        )
        self._clear(cleared, _ENDPOINT_ALIVE, now)
        return None

    def _clear(
        self,
        items: tuple[quarantine.Suspicion, ...],
        why: str,
        now: float,
    ) -> None:
        """Add suspicions marked as cleared, if there are any."""
        if not items:
            return
        # Each end of an endpoint clears all parts that its requests share.
        if why != _RUNS_WELL or len(items) >= quarantine.MIN_ENDED_TO_REPORT:
            self._log_cleared(items, why)
        self._add(items, now)

    def _log_cleared(
        self, items: tuple[quarantine.Suspicion, ...], why: str
    ) -> None:
        logs.say(
            self._part,
            "Request cleared.",
            fingerprint=items[0].subject.hex(),
            place=items[0].place,
            why=why,
            endpoints=sorted({one.endpoint for one in items}),
            parts=sum(one.place is not None for one in items),
        )

    def _add(
        self, items: tuple[quarantine.Suspicion, ...], now: float
    ) -> None:
        changed = self.quarantine.add(items, now)
        for subject in changed:
            if self.quarantine.is_quarantined(subject, now):
                self._log_quarantined(subject, now)
        new = tuple(item for item in items if item.subject in changed)
        if new:
            self.publish(new)

    def _log_quarantined(self, subject: types.Fingerprint, now: float) -> None:
        logs.say(
            self._part,
            "Request is held back.",
            fingerprint=subject.hex(),
            place=self.quarantine.place(subject),
            endpoints=self.quarantine.ended_endpoints(subject),
            left_s=round(self.quarantine.remaining_s(subject, now)),
        )


def _suspicion(
    subject: types.Fingerprint,
    endpoint: endpoints.Endpoint,
    *,
    ran_ms: int,
    place: int | None = None,
    sound: bool = False,
) -> quarantine.Suspicion:
    return quarantine.Suspicion(
        subject=subject,
        endpoint=endpoint.id,
        born=endpoint.born,
        ran_ms=ran_ms,
        place=place,
        sound=sound,
    )


def _publish_nothing(items: tuple[quarantine.Suspicion, ...]) -> None:
    """Send nothing: no coordinator is linked yet."""
