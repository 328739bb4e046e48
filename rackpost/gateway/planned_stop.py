"""The planned stop of a gateway, and which requests it still starts.

Pure: no input or output.
"""

import math

# Until then the load balancer may send new connections: it probes each second
# and removes a gateway after two failures.  Requests that are sent 3 s after
# the signal or later may not be cut; the rest is for a late signal handler.
_BALANCER_DELAY_S = 2.5
# Time for the way of an answer from its endpoint to the client, and for an
# endpoint that is slower than it has been lately.
_MARGIN_S = 0.5


class PlannedStop:
    """Accepts the requests that are expected to end before the stop does.

    A request that is refused costs its client a retry at another gateway; one
    that is cut off costs its endpoint's work, and may not be repeatable.

    Times are readings of the loop's clock, in seconds.
    """

    def __init__(self) -> None:
        # The latest end of the stop; infinite while no stop has begun.
        self.ends_at = math.inf
        self._balanced_until = math.inf

    def begin(self, *, now: float, ends_at: float) -> None:
        """Begin a stop that ends at `ends_at` at the latest."""
        self.ends_at = ends_at
        self._balanced_until = now + _BALANCER_DELAY_S

    @property
    def has_begun(self) -> bool:
        """Whether a stop has begun."""
        return self.ends_at < math.inf

    def is_restricted(self, now: float) -> bool:
        """Whether the load balancer has had time to remove the gateway."""
        return now >= self._balanced_until

    def has_ended(self, now: float) -> bool:
        """Whether the requests that still run are cut off."""
        return now >= self.ends_at

    def may_start(
        self,
        *,
        deadline: float,
        now: float,
        expected_s: float | None,
        is_repeatable: bool,
    ) -> bool:
        """Whether a request with this deadline is accepted.

        `expected_s` is the longest recent duration of such requests, None if
        there was none; then only a repeatable request is accepted.
        """
        if deadline <= self.ends_at:
            return True
        if self.is_restricted(now):
            return False
        if expected_s is None:
            return is_repeatable
        return now + expected_s + _MARGIN_S <= self.ends_at
