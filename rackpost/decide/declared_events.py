"""Declared events: which rates to expect at a moment.

A crowd that comes late, early, twice as large or not at all must do less
harm than one that was not declared: room is kept from a little before
the start, and only on the crowd's own showing after a little while.
Pure: `now` and starts are in seconds since the epoch.
"""

from typing import Iterable
from typing import Mapping
from typing import NamedTuple

from rackpost import types

# Room is kept from this long before the start: about as long as a slot
# or a long prefill that is given away now stays taken.
LEAD_S = 0.5
# A crowd that has not come this long after the start is not waited for.
PATIENCE_S = 1.0
# It has come when this share of the declared rate is seen.
_SHOWN = 0.2


class DeclaredEvent(NamedTuple):
    """An event as far as it matters for admission; rate a second."""

    start: float
    length_s: float
    kinds: tuple[types.KindName, ...]
    rate: float


def expected_rates(
    events: Iterable[DeclaredEvent],
    *,
    seen: Mapping[types.KindName, float],
    now: float,
) -> dict[types.KindName, float]:
    """Requests a second to expect of each kind, of the whole site.

    `seen` is the present rate of each kind, of the whole site.  An
    event's rate is spread evenly over its kinds.
    """
    found: dict[types.KindName, float] = {}
    for event in events:
        if not event.start - LEAD_S <= now < event.start + event.length_s:
            continue
        share = event.rate / max(1, len(event.kinds))
        waited = now > event.start + PATIENCE_S
        for kind in event.kinds:
            if waited and seen.get(kind, 0.0) < _SHOWN * share:
                continue
            found[kind] = max(found.get(kind, 0.0), share)
    return found
