"""A planned stop of a gateway: when it ends, and what it still begins."""

import math


class PlannedStop:
    """Lets all begin at first, later only what surely ends in time.

    Times are readings of the loop's clock, in seconds.
    """

    def __init__(self) -> None:
        # When the stop ends at the latest; never while none is under way.
        self.ends_at = math.inf
        self._is_closed = False

    def begin(self, ends_at: float) -> None:
        """A stop has begun, which ends by then."""
        self.ends_at = ends_at

    @property
    def is_under_way(self) -> bool:
        """Whether a stop has begun."""
        return self.ends_at < math.inf

    def close(self) -> None:
        """Begin no more what might be cut off at the end."""
        self._is_closed = True

    def may_begin(self, until: float) -> bool:
        """Whether a request that ends by `until` is still begun."""
        return not self._is_closed or until <= self.ends_at
