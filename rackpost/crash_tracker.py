"""Tracks requests that were in flight when endpoints crashed.

Each broken connection is a suspicion against its request and the parts of its
prompt, and so is each unanswered request at an endpoint that has restarted;
gateways share them through the coordinators.  It is cleared when the request
is answered, the part is known to run well, or the endpoint is found alive.
"""

import math
from typing import Callable
from typing import Iterable
from typing import Mapping
from typing import NamedTuple

import msgspec

from rackpost.decide import life_signs
from rackpost.decide import part_soundness
from rackpost.decide import quarantine
from rackpost.decide import suspicions
from rackpost.decide import unanswered
from rackpost import logs
from rackpost.routing import endpoints
from rackpost import types

# An answer clears its request for this long, in seconds; later the endpoints'
# software may have been replaced.
_CLEARED_S = 30.0
# Bounds the memory for answered requests.
_MAX_SERVED = 1024
# What arrives this long after a connection broke was sent afterwards, in
# seconds.
_MAX_TRANSIT_S = 0.25
# Bounds the broken connections that are remembered; the oldest are dropped.
_MAX_BROKEN = 4096

# Reasons in the log for clearing a subject.
_ANSWERED_IN_FULL = "answered in full"
_RUNS_WELL = "runs well"
_ENDPOINT_ALIVE = "endpoint is alive"

_DEFAULT_HEARTBEAT_S = 1.0
# Requests named in one line of the log.
_MAX_LOGGED = 20

Publish = Callable[[tuple[quarantine.Suspicion, ...]], None]
Subjects = suspicions.Subjects


class QuarantineReason(NamedTuple):
    """Why a request is quarantined, for another `remaining_s` seconds."""

    subject: types.Fingerprint
    remaining_s: float


class LifeSign(NamedTuple):
    """Something that an endpoint sent, on a connection opened at `opened_at`.

    It arrived at `received_at`, and may be handled much later.
    """

    endpoint: endpoints.Endpoint
    opened_at: float
    received_at: float


class CrashTracker:
    """One process's quarantine table, and the suspicions that it adds."""

    def __init__(
        self,
        *,
        table: endpoints.EndpointTable,
        heartbeat_s: float = _DEFAULT_HEARTBEAT_S,
        part: logs.Part = logs.Part.GATEWAY,
    ) -> None:
        """`heartbeat_s` is the interval of the endpoints' heartbeats."""
        self._part = part
        self.quarantine = quarantine.Quarantine()
        # Sends suspicions to the coordinators; set by ControlLinks.
        self.publish: Publish = _publish_nothing
        self._table = table
        self._life_signs = life_signs.LifeSigns()
        self.unanswered = unanswered.UnansweredRequests(
            table=table, heartbeat_s=heartbeat_s
        )
        # When the last connection to an incarnation broke, as far as known.
        self._broke_at: dict[endpoints.Incarnation, float] = {}
        # When a connection to an incarnation was last refused.
        self._refused_at: dict[endpoints.Incarnation, float] = {}
        # Those that this process has reported.
        self._reported: set[endpoints.Incarnation] = set()
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
        self._record_broken_at(endpoint.incarnation, now)
        self._reported.add(endpoint.incarnation)
        self._add(tuple(found), now)

    def record_ends(self, now: float) -> None:
        """Suspect the unanswered requests at endpoints that have crashed.

        Call after each change of the endpoints.
        """
        found = [
            item
            for item in self.unanswered.take_ended(now)
            if not self._was_served_since(item.subjects, item.began_at)
        ]
        if not found:
            return
        logs.say(
            self._part,
            "Endpoints crashed with unanswered requests.",
            endpoints=sorted({item.endpoint.id for item in found}),
            requests=len(found),
            fingerprints=[
                item.subjects.request.hex() for item in found[:_MAX_LOGGED]
            ],
        )
        for item in found:
            self.record_broken(
                item.subjects,
                item.endpoint,
                ran_s=item.until - item.began_at,
                now=now,
                progress=item.progress,
            )

    def _was_served_since(self, subjects: Subjects, began_at: float) -> bool:
        """Whether another attempt of a request was answered in full."""
        return self._served_at.get(subjects.request, -math.inf) >= began_at

    def _record_broken_at(
        self, incarnation: endpoints.Incarnation, at: float
    ) -> None:
        at = max(at, self._broke_at.pop(incarnation, at))
        self._broke_at[incarnation] = at
        while len(self._broke_at) > _MAX_BROKEN:
            oldest = next(iter(self._broke_at))
            del self._broke_at[oldest]
            self._reported.discard(oldest)

    def record_refused(self, endpoint: endpoints.Endpoint, now: float) -> None:
        """Record that an endpoint is not at its address as it is known.

        Nothing listened there, or another incarnation answered.
        """
        self._refused_at[endpoint.incarnation] = now

    def may_have_restarted(self, endpoint: endpoints.Endpoint) -> bool:
        """Whether an endpoint may have ended since its last heartbeats.

        It may run again at its address, under its id, with other software.
        """
        return endpoint.incarnation in self._refused_at

    def record_received(self, sign: LifeSign, now: float) -> None:
        """Record that an endpoint has sent something on a connection.

        It lives if that connection is older than the one that broke.
        """
        incarnation = sign.endpoint.incarnation
        broke_at = self._broke_at.get(incarnation)
        if broke_at is None or not (
            sign.opened_at < broke_at <= sign.received_at - _MAX_TRANSIT_S
        ):
            return
        del self._broke_at[incarnation]
        self._clear(
            self.quarantine.clearances_by_life({incarnation: broke_at}),
            _ENDPOINT_ALIVE,
            now,
        )

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
        items = tuple(items)
        for item in items:
            if not item.cleared:
                self._record_broken_at(
                    item.incarnation, now - item.age_ms / 1000.0
                )
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
        after the connection broke, whichever process has reported that.
        """
        self.quarantine.forget(now)
        self.record_ends(now)
        if not (
            len(self.quarantine)
            or self._refused_at
            or self.unanswered.has_given_up
        ):
            return
        self._life_signs.sample(self._table)
        lived_until = self._life_signs.lived_until()
        self.unanswered.forget(lived_until)
        self._forget_refused(lived_until)
        cleared = self.quarantine.clearances_by_life(lived_until)
        reported = tuple(
            item for item in cleared if item.incarnation in self._reported
        )
        self._clear(reported, _ENDPOINT_ALIVE, now)
        # All processes hear the heartbeats; one report is enough.
        self.quarantine.add(cleared, now)

    def _forget_refused(
        self, lived_until: Mapping[endpoints.Incarnation, float]
    ) -> None:
        """Forget refusals by endpoints that live on, or are gone."""
        current = {item.incarnation for item in self._table.alive.values()}
        self._refused_at = {
            incarnation: at
            for incarnation, at in self._refused_at.items()
            if incarnation in current
            and lived_until.get(incarnation, -math.inf) < at
        }

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
