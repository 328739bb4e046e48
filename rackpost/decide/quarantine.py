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
  alive (`life_signs.py`), or an operator released the subject.

Suspicions are only ever added, and a cleared one stays cleared.  So processes
that received the same suspicions, in any order, quarantine the same subjects.
"""

import math
from typing import Collection
from typing import Iterable
from typing import Mapping
from typing import NamedTuple

import msgspec

from rackpost.decide import suspicions
from rackpost.routing import endpoints
from rackpost import types

__all__ = [
    "MIN_ENDED_IF_SOUND",
    "MIN_ENDED_TO_QUARANTINE",
    "MIN_ENDED_TO_REPORT",
    "QUARANTINE_S",
    "Quarantine",
    "QuarantinedSubject",
    "Suspicion",
]

Suspicion = suspicions.Suspicion
MIN_ENDED_TO_QUARANTINE = suspicions.MIN_ENDED_TO_QUARANTINE
MIN_ENDED_IF_SOUND = suspicions.MIN_ENDED_IF_SOUND
QUARANTINE_S = suspicions.QUARANTINE_S

# Of the ends under a subject to blame, how many no other one explains.
_MIN_UNEXPLAINED = 2
# Coordinators store the suspicions of a subject, and send them to all
# gateways, from this many incarnations on.  A gateway then recognises the
# third end before it repeats the request.
MIN_ENDED_TO_REPORT = 2
# How long a quarantined subject is remembered, in seconds, so that one more
# end quarantines it again.  Others are forgotten after `QUARANTINE_S`.
_MEMORY_S = 24 * QUARANTINE_S
# Bounds memory to some 6 MB.
_MAX_SUBJECTS = 4096
# One in this many subjects, the least suspected, is dropped at the bound.
_DROP_DIVISOR = 8


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


class Quarantine:
    """The suspicions that one process knows, and the quarantined subjects."""

    def __init__(self) -> None:
        self._records: dict[types.Fingerprint, suspicions.Record] = {}
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
                record = suspicions.Record(at=now - item.age_ms / 1000.0)
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
            incarnations = record.incarnations
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
        incarnations = record.incarnations
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
            and len(incarnations - self._records[other].incarnations)
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
                    item.incarnation
                    for item in self._records[subject].uncleared
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
        return () if record is None else record.with_ages(now)

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
            for item in record.with_ages(now)
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

    def clearances_by_life(
        self, lived_until: Mapping[endpoints.Incarnation, float]
    ) -> tuple[Suspicion, ...]:
        """Return what clears all subjects of ends that were none.

        `lived_until` says up to when incarnations are known to have lived on.
        """
        return tuple(
            msgspec.structs.replace(item.suspicion, cleared=True)
            for record in self._records.values()
            for item in record.known.values()
            if not item.suspicion.cleared
            and item.ended_at
            <= lived_until.get(item.suspicion.incarnation, -math.inf)
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
