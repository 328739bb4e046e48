"""Count the generations that wait for capacity, for operators.

The figures are shown by `rackpost site waiting`; nothing is decided by them.

Pure: times are readings of the owner's clock, in seconds.
"""

import collections
import contextlib
from typing import Iterable
from typing import Iterator
from typing import NamedTuple

from rackpost import types

# Bounds the size of a report; further groups are left out.
_MAX_REPORTED = 16


class WaitingGroup(NamedTuple):
    """Generations of one kind and organisation that wait at one gateway.

    Attributes:
        kind: the name of their route.
        organisation: whose they are; empty where callers have no keys.
        late: how many of them can't be in time any more.
        oldest_s: how long the first of them has waited, in seconds.
    """

    kind: str
    organisation: types.OrganisationName
    priority: int
    waiting: int
    late: int
    oldest_s: float


class _Waiting(NamedTuple):
    """One generation that waits, and until when it is in time."""

    kind: str
    organisation: types.OrganisationName
    priority: int
    since: float
    target: float


class WaitingTracker:
    """The generations that wait for capacity at one gateway."""

    def __init__(self) -> None:
        self._waiting: dict[object, _Waiting] = {}

    @contextlib.contextmanager
    def waits(
        self,
        *,
        kind: str,
        organisation: types.OrganisationName,
        priority: int,
        since: float,
        target: float,
    ) -> Iterator[None]:
        """Count a generation while the block runs.

        `target` is the clock reading until which it is in time.
        """
        key = object()
        self._waiting[key] = _Waiting(
            kind, organisation, priority, since, target
        )
        try:
            yield
        finally:
            del self._waiting[key]

    def groups(self, now: float) -> tuple[WaitingGroup, ...]:
        """Return the largest groups."""
        return largest(
            WaitingGroup(
                kind=item.kind,
                organisation=item.organisation,
                priority=item.priority,
                waiting=1,
                late=int(now > item.target),
                oldest_s=round(now - item.since, 3),
            )
            for item in self._waiting.values()
        )


def largest(groups: Iterable[WaitingGroup]) -> tuple[WaitingGroup, ...]:
    """Return groups added up by kind and organisation, the largest first."""
    found: dict[tuple[str, str, int], list[WaitingGroup]] = (
        collections.defaultdict(list)
    )
    for item in groups:
        found[item.kind, item.organisation, item.priority].append(item)
    sums = [
        same[0]._replace(
            waiting=sum(item.waiting for item in same),
            late=sum(item.late for item in same),
            oldest_s=max(item.oldest_s for item in same),
        )
        for same in found.values()
    ]
    sums.sort(key=lambda item: (-item.waiting, item.kind, item.organisation))
    return tuple(sums[:_MAX_REPORTED])
