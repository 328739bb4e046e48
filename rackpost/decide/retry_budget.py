"""Limit the retries to a service without coordination between gateways.

The site allows ratio x requests + slack retries in any window, over all
gateways.  Each gateway uses the ratio of its own requests and an equal share
of the slack, so the limit holds however requests are spread.
"""

import collections

# Share of the allowance that is used: when a gateway starts or ends, the
# others notice it with a delay.
_USED_SHARE = 0.8


class RetryBudget:
    """The retry budget of one service at one gateway."""

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def record_request(self, now: float) -> None:
        """Record a client's request for the service."""
        self._requests.append(now)

    def allows(self, now: float, gateways: int) -> bool:
        """Whether one more retry may be sent."""
        return self.remaining(now, gateways) >= 1.0

    def remaining(self, now: float, gateways: int) -> float:
        """Return the retries that may still be sent now."""
        self._drop_expired(now)
        slack = self._slack / max(1, gateways)
        allowed = _USED_SHARE * (self._ratio * len(self._requests) + slack)
        return allowed - len(self._retries)

    def record_retry(self, now: float) -> None:
        """Record that a retry is sent."""
        self._retries.append(now)

    def refund(self, at: float) -> None:
        """Remove the retry recorded at a clock reading, which was not one."""
        try:
            self._retries.remove(at)
        except ValueError:
            # It has left the window since.
            return

    def _drop_expired(self, now: float) -> None:
        before = now - self._window_s
        for times in (self._requests, self._retries):
            while times and times[0] < before:
                times.popleft()
