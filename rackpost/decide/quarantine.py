"""Decide which requests to quarantine because they crash endpoints.

What is blamed is a subject: a request, known by a digest of all of it, or a
part of prompts, which requests that are otherwise different may share.  It may
crash each endpoint that starts it, with all other requests there, and may come
again at any gateway.  A crash is weak evidence against a single subject: a
dozen other requests ran there, connections are reset, and processes end for
other reasons.  So a subject is quarantined only

* once `MIN_ENDED_TO_QUARANTINE` different incarnations of endpoints ended, or
  seem to have ended, while they ran it; more, and not at once, if it is known
  to run well (`part_soundness.py`), and
* together with the parts that also explain these ends, as long as any of
  them may be the cause: requests that have only some of them are served, and
  show which one it is, and
* unless other quarantined subjects explain all but one of these, and
* unless the suspicions were cleared: the request was answered in full, a
  request with the part ran well after the end, an endpoint turned out to be
  alive, or an operator released the subject.

Suspicions are only ever added, and a cleared one stays cleared.  So processes
that received the same suspicions, in any order, quarantine the same subjects.
"""

import dataclasses
import math
from typing import Collection
from typing import Iterable
from typing import NamedTuple

import msgspec

from rackpost.routing import endpoints
from rackpost import types

# Incarnations that end under a subject before it is quarantined.  A request
# that is repeated once by its caller and once by the gateway reaches this
# only if three endpoints end within one deadline.
MIN_ENDED_TO_QUARANTINE = 3
# The same for a subject that is known to run well.  Most of the requests that
# run at an endpoint share such a part, and many endpoints may end at once.
MIN_ENDED_IF_SOUND = 5
# Time from the first of these ends until it is quarantined, in seconds.  A
# request that starts after the end has run well by then, and clears it.
MIN_SUSPECTED_IF_SOUND_S = 2.0
# Its first quarantine, in seconds; each further end doubles it.  While it is
# quarantined no request can clear it.
FIRST_QUARANTINE_IF_SOUND_S = 30.0
# Of these, incarnations whose end no other quarantined subject explains.
_MIN_UNEXPLAINED = 2
# Coordinators store the suspicions of a subject, and send them to all
# gateways, from this many incarnations on.  A gateway then recognises the
# third end before it repeats the request.
MIN_ENDED_TO_REPORT = 2
# Duration of a quarantine after the last end, in seconds; the fault may have
# been mended since.
QUARANTINE_S = 3600.0
# How long a quarantined subject is remembered, in seconds, so that one more
# end quarantines it again.  Others are forgotten after `QUARANTINE_S`.
_MEMORY_S = 24 * QUARANTINE_S
# Bounds memory to some 6 MB.
_MAX_SUBJECTS = 4096
# One in this many subjects, the least suspected, is dropped at the bound.
_DROP_DIVISOR = 8
# Incarnations remembered of one subject, the newest.
_MAX_SUSPICIONS = 16


class Suspicion(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """An incarnation of an endpoint seems to have ended under a subject.

    Attributes:
        born: start time that identifies the incarnation.
        ran_ms: how long a request with the subject had run there at most, in
            milliseconds.
        cleared: the subject is known not to be the cause.
        place: index of the part in its prompt; None for a whole request.
        sound: requests with the subject are known to run well elsewhere.
        age_ms: time since the end, in milliseconds, when this was sent.
    """

    subject: types.Fingerprint
    endpoint: types.EndpointId
    born: int = 0
    ran_ms: int = 0
    cleared: bool = False
    place: int | None = None
    sound: bool = False
    age_ms: int = 0

    @property
    def incarnation(self) -> endpoints.Incarnation:
        """The incarnation that ended."""
        return endpoints.Incarnation(self.endpoint, self.born)

    def merged(self, other: "Suspicion") -> "Suspicion":
        """Return what both say of the same subject and incarnation."""
        return msgspec.structs.replace(
            self,
            ran_ms=max(self.ran_ms, other.ran_ms),
            cleared=self.cleared or other.cleared,
            sound=self.sound or other.sound,
            place=(
                self.place
                if self.place is None or other.place is None
                else min(self.place, other.place)
            ),
        )


class QuarantinedSubject(NamedTuple):
    """A subject in quarantine for another `remaining_s` seconds.

    `place` is the index of a part in its prompt, None for a whole request.
    Only requests that have all of `companions` too are held back.
    """

    subject: types.Fingerprint
    place: int | None
    companions: frozenset[types.Fingerprint]
    incarnations: tuple[endpoints.Incarnation, ...]
    remaining_s: float


class _Known(NamedTuple):
    """A suspicion, and when the incarnation ended."""

    suspicion: Suspicion
    ended_at: float


@dataclasses.dataclass
class _Record:
    """The suspicions against a subject; `at` is when the last one arose."""

    at: float
    known: dict[endpoints.Incarnation, _Known] = dataclasses.field(
        default_factory=dict
    )

    @property
    def uncleared(self) -> list[Suspicion]:
        """The suspicions that are not cleared."""
        return [
            item.suspicion
            for item in self.known.values()
            if not item.suspicion.cleared
        ]

    @property
    def is_sound(self) -> bool:
        """Whether requests with the subject are known to run well."""
        return any(item.suspicion.sound for item in self.known.values())

    @property
    def place(self) -> int | None:
        """Index of the part in its prompt; None for a whole request."""
        return next(iter(self.known.values())).suspicion.place

    @property
    def first_ended_at(self) -> float:
        """When the first incarnation ended whose end is not cleared."""
        return min(
            (
                item.ended_at
                for item in self.known.values()
                if not item.suspicion.cleared
            ),
            default=math.inf,
        )

    def add(self, new: Suspicion, now: float) -> bool:
        """Add a suspicion; return whether it changed anything."""
        ended_at = now - new.age_ms / 1000.0
        new = msgspec.structs.replace(new, age_ms=0)
        old = self.known.get(new.incarnation)
        if old is None:
            if not new.cleared:
                self.at = max(self.at, ended_at)
            self.known[new.incarnation] = _Known(new, ended_at)
            while len(self.known) > _MAX_SUSPICIONS:
                del self.known[next(iter(self.known))]
            return True
        merged = old.suspicion.merged(new)
        self.known[new.incarnation] = _Known(
            merged, min(old.ended_at, ended_at)
        )
        return merged != old.suspicion

    def is_suspect(self) -> bool:
        """Whether enough incarnations ended to blame the subject."""
        needed = (
            MIN_ENDED_IF_SOUND if self.is_sound else MIN_ENDED_TO_QUARANTINE
        )
        return len(self.uncleared) >= needed

    def blamed_from(self) -> float:
        """Return the time from which a suspect may be blamed."""
        if self.is_sound:
            return self.first_ended_at + MIN_SUSPECTED_IF_SOUND_S
        return -math.inf

    @property
    def quarantine_s(self) -> float:
        """Duration of a quarantine after the last end, in seconds."""
        if not self.is_sound:
            return QUARANTINE_S
        doublings = max(0, len(self.uncleared) - MIN_ENDED_IF_SOUND)
        return min(QUARANTINE_S, FIRST_QUARANTINE_IF_SOUND_S * 2**doublings)

    def blame_order(self) -> tuple[float, ...]:
        """Sort key: the likeliest cause first.

        Subjects that are known to run well come last.  Otherwise the most
        incarnations count, then the shortest run: a crash follows soon after
        the start of its cause, while others had run there for any time.  Then
        the most specific, which is a request or the last part.
        """
        found = self.uncleared
        ran_ms = sum(item.ran_ms for item in found) / max(1, len(found))
        generality = -math.inf if self.place is None else -self.place
        if self.is_sound:
            return (1, ran_ms, -len(found), generality)
        return (0, -len(found), ran_ms, generality)


class Quarantine:
    """The suspicions that one process knows, and the quarantined subjects."""

    def __init__(self) -> None:
        self._records: dict[types.Fingerprint, _Record] = {}
        # Subjects with enough incarnations to be quarantined.
        self._suspects: set[types.Fingerprint] = set()
        # Those to blame, each with its companions.
        self._blamed: dict[types.Fingerprint, frozenset[types.Fingerprint]] = (
            {}
        )
        # When `_blamed` changes next, without a further suspicion.
        self._blamed_until = math.inf

    def __len__(self) -> int:
        """Return the number of subjects with suspicions."""
        return len(self._records)

    def __contains__(self, subject: types.Fingerprint) -> bool:
        """Whether there are suspicions against a subject."""
        return subject in self._records

    def add(
        self, items: Iterable[Suspicion], now: float
    ) -> set[types.Fingerprint]:
        """Add suspicions; return the subjects for which something changed."""
        changed = set()
        for item in items:
            record = self._records.get(item.subject)
            if record is None:
                record = _Record(at=now - item.age_ms / 1000.0)
                self._records[item.subject] = record
            if record.add(item, now):
                changed.add(item.subject)
        for subject in changed:
            self._update_suspect(subject)
        if len(self._records) > _MAX_SUBJECTS:
            self._drop_least_suspected()
        return changed

    def _update_suspect(self, subject: types.Fingerprint) -> None:
        is_suspect = self._records[subject].is_suspect()
        if is_suspect or subject in self._suspects:
            self._blamed_until = -math.inf
        if is_suspect:
            self._suspects.add(subject)
        else:
            self._suspects.discard(subject)

    def _drop_least_suspected(self) -> None:
        """Drop subjects with the fewest suspicions, the oldest first."""
        by_weight = sorted(
            self._records.items(),
            key=lambda pair: (len(pair[1].uncleared), pair[1].at),
        )
        for subject, _ in by_weight[: len(by_weight) // _DROP_DIVISOR]:
            self._drop(subject)

    def _drop(self, subject: types.Fingerprint) -> None:
        del self._records[subject]
        if subject in self._suspects:
            self._suspects.discard(subject)
            self._blamed_until = -math.inf

    def _blamed_subjects(
        self, now: float
    ) -> dict[types.Fingerprint, frozenset[types.Fingerprint]]:
        """Return the subjects to blame for ends that others don't explain.

        Each with its companions.
        """
        if now < self._blamed_until:
            return self._blamed
        self._blamed = {}
        explained: set[endpoints.Incarnation] = set()
        self._blamed_until = math.inf
        for subject in sorted(
            self._suspects,
            key=lambda item: (self._records[item].blame_order(), item),
        ):
            record = self._records[subject]
            if now < record.blamed_from():
                self._blamed_until = min(
                    self._blamed_until, record.blamed_from()
                )
                continue
            incarnations = {item.incarnation for item in record.uncleared}
            if len(incarnations - explained) >= _MIN_UNEXPLAINED:
                self._blamed[subject] = self._companions(subject)
                explained |= incarnations
        return self._blamed

    def _companions(
        self, subject: types.Fingerprint
    ) -> frozenset[types.Fingerprint]:
        """Return the other parts that explain all ends under a part but one.

        None for a subject that is a request or known to run well, or under
        which more endpoints have ended than such parts are worth.
        """
        record = self._records[subject]
        incarnations = {item.incarnation for item in record.uncleared}
        if (
            record.place is None
            or record.is_sound
            or len(incarnations) >= MIN_ENDED_IF_SOUND
        ):
            return frozenset()
        return frozenset(
            other
            for other in self._suspects
            if other != subject
            and self._records[other].place is not None
            and not self._records[other].is_sound
            and len(
                incarnations
                - {item.incarnation for item in self._records[other].uncleared}
            )
            < _MIN_UNEXPLAINED
        )

    def may_hold_any(self) -> bool:
        """Whether any subject may be in quarantine; cheap to call."""
        return bool(self._suspects)

    def remaining_s(self, subject: types.Fingerprint, now: float) -> float:
        """Return the rest of a subject's quarantine, in seconds, or 0."""
        if (
            subject not in self._suspects
            or subject not in self._blamed_subjects(now)
        ):
            return 0.0
        record = self._records[subject]
        return max(0.0, record.at + record.quarantine_s - now)

    def holding(
        self, subjects: Collection[types.Fingerprint], now: float
    ) -> types.Fingerprint | None:
        """Return which of a request's subjects holds it back, or None."""
        if not self._suspects:
            return None
        blamed = self._blamed_subjects(now)
        found = [
            subject
            for subject in subjects
            if subject in blamed
            and blamed[subject].issubset(subjects)
            and self.remaining_s(subject, now) > 0.0
        ]
        return max(
            found,
            key=lambda item: self.remaining_s(item, now),
            default=None,
        )

    def is_quarantined(self, subject: types.Fingerprint, now: float) -> bool:
        """Whether a subject is in quarantine."""
        return self.remaining_s(subject, now) > 0.0

    def quarantined(self, now: float) -> list[QuarantinedSubject]:
        """Return all subjects in quarantine, the newest last."""
        found = [
            QuarantinedSubject(
                subject=subject,
                place=self._records[subject].place,
                companions=companions,
                incarnations=tuple(
                    suspicion.incarnation
                    for suspicion in self._records[subject].uncleared
                ),
                remaining_s=self.remaining_s(subject, now),
            )
            for subject, companions in self._blamed_subjects(now).items()
        ]
        found = [item for item in found if item.remaining_s > 0.0]
        return sorted(found, key=lambda item: item.remaining_s)

    def suspicions_of(
        self, subject: types.Fingerprint, now: float
    ) -> tuple[Suspicion, ...]:
        """Return all suspicions against a subject, with their age."""
        record = self._records.get(subject)
        return () if record is None else _with_ages(record, now)

    def ended_endpoints(
        self, subject: types.Fingerprint
    ) -> list[types.EndpointId]:
        """Return the endpoints of uncleared suspicions against a subject."""
        record = self._records.get(subject)
        return (
            []
            if record is None
            else [item.endpoint for item in record.uncleared]
        )

    def place(self, subject: types.Fingerprint) -> int | None:
        """Return a part's index in its prompt; None for a whole request."""
        record = self._records.get(subject)
        return None if record is None else record.place

    def suspicions(self, min_ended: int, now: float) -> tuple[Suspicion, ...]:
        """Return the suspicions of subjects with `min_ended` or more.

        Not of those that are cleared of all.
        """
        return tuple(
            item
            for record in self._records.values()
            if len(record.known) >= min_ended and record.uncleared
            for item in _with_ages(record, now)
        )

    def clearances(
        self, subject: types.Fingerprint, *, ended_before: float = math.inf
    ) -> tuple[Suspicion, ...]:
        """Return what clears a subject of ends when it is added.

        Only of those before `ended_before`.
        """
        record = self._records.get(subject)
        if record is None:
            return ()
        return tuple(
            msgspec.structs.replace(item.suspicion, cleared=True)
            for item in record.known.values()
            if not item.suspicion.cleared and item.ended_at < ended_before
        )

    def is_sound(self, subject: types.Fingerprint) -> bool:
        """Whether requests with the subject are known to run well."""
        record = self._records.get(subject)
        return record is not None and record.is_sound

    def forget(self, now: float) -> None:
        """Drop subjects whose last suspicion is old enough."""
        for subject, record in list(self._records.items()):
            memory_s = _MEMORY_S if subject in self._suspects else QUARANTINE_S
            if now - record.at > memory_s:
                self._drop(subject)


def _with_ages(record: _Record, now: float) -> tuple[Suspicion, ...]:
    return tuple(
        msgspec.structs.replace(
            item.suspicion, age_ms=max(0, int((now - item.ended_at) * 1000))
        )
        for item in record.known.values()
    )
