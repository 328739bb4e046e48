"""How many repeats a service may get, without asking anyone.  Pure.

The site allows ratio x requests + slack repeats in any window, over all
gateways.  Each gateway takes the ratio of its own requests and an even
part of the slack; so the sum holds, whatever the shares of traffic are.
"""

import collections

# Part of the allowance that is used: gateways do not know of each other
# at once when one comes or goes.
_USED = 0.8


class RetryBudget:
    """The repeats to one service."""

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def record_request(self, now: float) -> None:
        """A client's request for the service has come."""
        self._requests.append(now)

    def allows(self, now: float, gateways: int) -> bool:
        """Whether one more repeat may be sent."""
        return self.remaining(now, gateways) >= 1.0

    def remaining(self, now: float, gateways: int) -> float:
        """Repeats that may still be sent now."""
        self._trim(now)
        slack = self._slack / max(1, gateways)
        allowed = _USED * (self._ratio * len(self._requests) + slack)
        return allowed - len(self._repeats)

    def record_retry(self, now: float) -> None:
        """A repeat is sent."""
        self._repeats.append(now)

    def refund(self, at: float) -> None:
        """What was counted as a repeat at a clock reading was none."""
        try:
            self._repeats.remove(at)
        except ValueError:
            # It has left the window since.
            return

    def _trim(self, now: float) -> None:
        before = now - self._window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < before:
                times.popleft()
