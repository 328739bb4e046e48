"""Request rates to expect from events that an operator has declared.

Capacity is kept from shortly before the start of an event.  An event whose
requests do not come soon after its start is ignored, so that a late or
cancelled one does little harm.

Pure: times are in seconds since the epoch.
"""

from typing import Iterable
from typing import Mapping
from typing import NamedTuple

from rackpost import types

# About as long as a slot or a long prefill granted now stays occupied.
LEAD_S = 0.5
# Time after the start in which an event counts before it is observed.
NO_SHOW_AFTER_S = 1.0
# An event is observed at this share of its declared rate.
_MIN_OBSERVED_SHARE = 0.2


class DeclaredEvent(NamedTuple):
    """An event's time, its kinds and their total requests a second."""

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
    """Return the requests a second to expect of each kind, site-wide.

    `seen` has the present site-wide rates.  The rate of an event is split
    evenly among its kinds.
    """
    rates: dict[types.KindName, float] = {}
    for event in events:
        if not event.start - LEAD_S <= now < event.start + event.length_s:
            continue
        share = event.rate / max(1, len(event.kinds))
        overdue = now > event.start + NO_SHOW_AFTER_S
        for kind in event.kinds:
            if overdue and seen.get(kind, 0.0) < _MIN_OBSERVED_SHARE * share:
                continue
            rates[kind] = max(rates.get(kind, 0.0), share)
    return rates
