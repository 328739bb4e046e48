"""What a gateway tells the others of one model service, and how often.

A report is sent with each change of the load.  Most of these change nothing
that matters to others' order, so that parts of a report are left out until
they have changed or others would forget them.

Pure: times are readings of the owner's clock, in seconds.
"""

import math
from typing import Generic
from typing import TypeVar

_Item = TypeVar("_Item")


class Outgoing(Generic[_Item]):
    """One part of the reports of a gateway."""

    def __init__(self, *, min_interval_s: float, refresh_s: float) -> None:
        """Start with no items, which others assume without a report.

        Changes are told at most each `min_interval_s`; the same content is
        repeated each `refresh_s`, since reports may be lost.
        """
        self._min_interval_s = min_interval_s
        self._refresh_s = refresh_s
        self._told: tuple[_Item, ...] = ()
        self._told_at = -math.inf

    def next(
        self,
        content: tuple[_Item, ...],
        now: float,
        *,
        changed: bool | None = None,
    ) -> tuple[_Item, ...] | None:
        """Return the content if it is to be told now, else None.

        `changed` says whether it differs in a way that matters; by default
        any difference does.
        """
        if changed is None:
            changed = content != self._told
        age_s = now - self._told_at
        if not content and not self._told:
            return None
        if age_s < (self._min_interval_s if changed else self._refresh_s):
            return None
        self._told = content
        self._told_at = now
        return content
