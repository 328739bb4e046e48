"""Whether a kind of requests is served less often than a less urgent one.

A kind is what has one priority at a model service.  Gateways count how the
requests of the last seconds ended, and tell each other.  Where a kind is
served less often than a less urgent one, so many of its late requests are
lifted ahead of less urgent ones in time that the shares are equal.

Pure: times are readings of the owner's clock, in seconds.
"""

import collections
import enum
import math
from typing import Mapping

import msgspec

from rackpost import types

# Requests count for this long: a client's usual patience, so that a kind is
# not lifted for a gap that its clients no longer see.
_WINDOW_S = 4.0
_SLOT_S = 0.5
# Counts of another gateway that are older do not count.
_REPORT_LIFETIME_S = 1.3
# Shares of fewer requests than this are not compared.
_MIN_ENDED = 10
# Error of sums of shares.
_ROUNDING = 1e-6


class Outcome(enum.Enum):
    """What became of a request at its admission queue."""

    IN_TIME = "in-time"
    LATE = "late"
    # Late, and admitted ahead of less urgent ones that can be in time.
    LIFTED = "lifted"
    # Refused, or its client left while it waited.
    UNSERVED = "unserved"


class KindOutcomes(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The number of requests of one priority by outcome.

    `unserved` is negative where requests came back that another gateway
    refused.
    """

    priority: int
    in_time: int = 0
    late: int = 0
    unserved: int = 0

    @property
    def served(self) -> int:
        """Requests that were admitted, in time or late."""
        return self.in_time + self.late

    @property
    def ended(self) -> int:
        """All requests that no longer wait."""
        return self.served + max(0, self.unserved)

    @property
    def share(self) -> float:
        """The share of the requests that was served."""
        return self.served / self.ended if self.ended else 1.0

    def __add__(self, other: "KindOutcomes") -> "KindOutcomes":
        return KindOutcomes(
            priority=self.priority,
            in_time=self.in_time + other.in_time,
            late=self.late + other.late,
            unserved=self.unserved + other.unserved,
        )


def owed(outcomes: Mapping[int, KindOutcomes]) -> dict[int, int]:
    """Return how many more requests each priority should have been served.

    With so many more its share would be that of the best served less urgent
    priority.  Those that are owed none are left out.
    """
    found = {}
    for priority, own in outcomes.items():
        best = max(
            (
                other.share
                for level, other in outcomes.items()
                if level > priority and other.ended >= _MIN_ENDED
            ),
            default=0.0,
        )
        missing = (best - own.share) * own.ended - _ROUNDING
        if own.ended >= _MIN_ENDED and missing > 0.0:
            found[priority] = math.ceil(missing)
    return found


class KindGuard:
    """Counts outcomes here, and knows those of the other gateways."""

    def __init__(self) -> None:
        # Counts by slot of time, priority and outcome.
        self._slots: dict[int, collections.Counter[tuple[int, Outcome]]] = {}
        self._reports: dict[
            types.VmId, tuple[float, tuple[KindOutcomes, ...]]
        ] = {}

    def record(
        self, priority: int, outcome: Outcome, now: float, count: int = 1
    ) -> None:
        """Count requests; a negative count takes back earlier ones."""
        slot = int(now // _SLOT_S)
        self._slots.setdefault(slot, collections.Counter())[
            priority, outcome
        ] += count
        self._drop_old(now)

    def outcomes(self, now: float) -> tuple[KindOutcomes, ...]:
        """Return the outcomes here in the last seconds, to report."""
        self._drop_old(now)
        total: collections.Counter[tuple[int, Outcome]] = collections.Counter()
        for counts in self._slots.values():
            for key, count in counts.items():
                total[key] += count
        return tuple(
            KindOutcomes(
                priority=priority,
                in_time=total[priority, Outcome.IN_TIME],
                late=total[priority, Outcome.LATE]
                + total[priority, Outcome.LIFTED],
                unserved=total[priority, Outcome.UNSERVED],
            )
            for priority in sorted({key[0] for key in total})
        )

    def receive(
        self,
        sender: types.VmId,
        outcomes: tuple[KindOutcomes, ...],
        now: float,
    ) -> None:
        """Take in the outcomes at another gateway."""
        self._reports[sender] = now, outcomes

    def owed(self, now: float) -> dict[int, int]:
        """Return how many more requests of each priority are to be served."""
        total: dict[int, KindOutcomes] = {}
        for sender, (at, _) in list(self._reports.items()):
            if now - at > _REPORT_LIFETIME_S:
                del self._reports[sender]
        sources = [item for _, item in self._reports.values()]
        for outcomes in [self.outcomes(now), *sources]:
            for item in outcomes:
                known = total.get(item.priority)
                total[item.priority] = item if known is None else known + item
        return owed(total)

    def _drop_old(self, now: float) -> None:
        first = int((now - _WINDOW_S) // _SLOT_S)
        for slot in [item for item in self._slots if item <= first]:
            del self._slots[slot]
