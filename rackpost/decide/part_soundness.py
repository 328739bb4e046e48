"""Decide which parts of prompts are known to run well.

A part that crashes endpoints does so as soon as one of them begins to write an
answer on it.  So a request whose answer goes on, or is complete, speaks for
all parts of its prompt: for ends of endpoints before the answer began it
clears them, and for later ones more evidence is needed against them.
"""

from collections import OrderedDict
from typing import Iterable

from rackpost import types

# An answer has run well from this many events on: an endpoint that is slow is
# also slow to crash.  They have to span this time, in seconds, as a gateway
# that stood still reads all of them at once.
_MIN_EVENTS = 8
_MIN_SPAN_S = 0.25
# How long a part is known to run well after its last answer, in seconds; the
# endpoints' software may have been replaced.
_MEMORY_S = 600.0
# Bounds memory to some 1 MB.
_MAX_PARTS = 4096


class AnswerProgress:
    """The events of one attempt's answer, by the time of their arrival."""

    def __init__(self) -> None:
        self._count = 0
        self.first_at: float | None = None
        self._last_at = 0.0

    def record_event(self, now: float) -> bool:
        """Record an event; return whether the answer now first runs well."""
        ran_well = self.runs_well
        if self.first_at is None:
            self.first_at = now
        self._last_at = now
        self._count += 1
        return self.runs_well and not ran_well

    @property
    def runs_well(self) -> bool:
        """Whether the endpoint went on after it began the answer."""
        return (
            self.first_at is not None
            and self._count >= _MIN_EVENTS
            and self._last_at - self.first_at >= _MIN_SPAN_S
        )


class SoundParts:
    """The parts whose answers ran well at one gateway."""

    def __init__(self) -> None:
        # When the latest answer that ran well had begun; the part that was
        # used least recently is first.
        self._began_at: OrderedDict[types.Fingerprint, float] = OrderedDict()

    def record(
        self, parts: Iterable[types.Fingerprint], began_at: float
    ) -> None:
        """Record an answer that began at `began_at` and ran well."""
        for part in parts:
            self._began_at[part] = max(
                began_at, self._began_at.get(part, began_at)
            )
            self._began_at.move_to_end(part)
        while len(self._began_at) > _MAX_PARTS:
            self._began_at.popitem(last=False)

    def began_at(self, part: types.Fingerprint, now: float) -> float | None:
        """Return when the part's latest answer began; None if not known."""
        found = self._began_at.get(part)
        if found is None or now - found > _MEMORY_S:
            return None
        return found
