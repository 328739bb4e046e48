"""Decide when a gateway reports its demand before its regular report is due.

Pure: times are readings of the owner's clock, in seconds.
"""

import enum

# How often a gateway checks whether it has new evidence.
CHECK_INTERVAL_S = 0.2


class Evidence(enum.Enum):
    """What a report says that the last one did not."""

    FIRST_REQUESTS = "first-requests"
    TOKEN_TIMES = "token-times"


class EvidenceReports:
    """What the last report of one gateway said of its newest requests.

    A report is due at the first requests after none, and once the token times
    are known: coordinators then can tell the mix.  More requests of a mix
    wait for the regular report, so there are at most two more reports in the
    time that the newest requests are counted over.
    """

    def __init__(self) -> None:
        self._had_requests = False
        self._knew_times = False

    def due(self, *, has_requests: bool, knows_times: bool) -> Evidence | None:
        """Return the evidence for which a report is due."""
        if not has_requests:
            return None
        if not self._had_requests:
            return Evidence.FIRST_REQUESTS
        if knows_times and not self._knew_times:
            return Evidence.TOKEN_TIMES
        return None

    def record(self, *, has_requests: bool, knows_times: bool) -> None:
        """Record what a report says."""
        self._had_requests = has_requests
        self._knew_times = knows_times
