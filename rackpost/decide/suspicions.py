"""The evidence against one request or part of prompts, and what it is worth.

A subject is a request, known by a digest of all of it, or a part of prompts.
Suspicions are only ever added, and a cleared one stays cleared.
"""

import dataclasses
import math
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
# Duration of a quarantine after the last end, in seconds; the fault may have
# been mended since.
QUARANTINE_S = 3600.0
# Incarnations remembered of one subject, the newest.
_MAX_SUSPICIONS = 16


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


class _Known(NamedTuple):
    """A suspicion, and when the incarnation ended."""

    suspicion: Suspicion
    ended_at: float


@dataclasses.dataclass
class Record:
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
        """Lowest index of the part in a prompt; None for a whole request."""
        places = [item.suspicion.place for item in self.known.values()]
        return min((at for at in places if at is not None), default=None)

    @property
    def incarnations(self) -> set[endpoints.Incarnation]:
        """The incarnations whose end is not cleared."""
        return {item.incarnation for item in self.uncleared}

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

    def with_ages(self, now: float) -> tuple[Suspicion, ...]:
        """Return all suspicions, with their age.

        Each says whether the subject runs well, as the receiver may not know
        the others.
        """
        sound = self.is_sound
        return tuple(
            msgspec.structs.replace(
                item.suspicion,
                sound=sound,
                age_ms=max(0, int((now - item.ended_at) * 1000)),
            )
            for item in self.known.values()
        )
