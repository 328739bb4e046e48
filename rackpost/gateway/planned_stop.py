"""The planned stop of a gateway, and which requests it still starts."""

import math


class PlannedStop:
    """Accepts all requests at first, later those that end in time.

    Times are readings of the loop's clock, in seconds.
    """

    def __init__(self) -> None:
        # The latest end of the stop; infinite while no stop has begun.
        self.ends_at = math.inf
        self._is_restricted = False

    def begin(self, ends_at: float) -> None:
        """Begin a stop that ends at `ends_at` at the latest."""
        self.ends_at = ends_at

    @property
    def has_begun(self) -> bool:
        """Whether a stop has begun."""
        return self.ends_at < math.inf

    def restrict(self) -> None:
        """Accept no more requests that the end might interrupt."""
        self._is_restricted = True

    def may_start(self, deadline: float) -> bool:
        """Whether a request with this deadline is accepted."""
        return not self._is_restricted or deadline <= self.ends_at
