"""Quarantine of requests that crash engines, within one entry.

Entries do not share what they learn, so each quarantines a request only
after the crashes that it saw itself.
"""

from rackpost.decide import fingerprint
from rackpost.decide import quarantine
from rackpost.entry import outcome
from rackpost.entry import request
from rackpost import types

# Failures that may be a crash caused by the request, unlike a stall or a
# slow caller.
_CRASH_FAILURES = frozenset(
    {
        types.Failure.AGENT,
        types.Failure.ENGINE,
        types.Failure.LINK_LOST,
    }
)


class CrashTracker:
    """The crashes that one entry saw, by request."""

    def __init__(self) -> None:
        self._quarantine = quarantine.Quarantine()

    def record_failure(
        self, req: request.Request, failure: outcome.FailedAttempt, now: float
    ) -> None:
        """Record a failed attempt, if it may have crashed its engine.

        Agents do not report the incarnation of their engine, so the second
        of the failure stands for it: a restart takes longer than that.
        """
        if not failure.ran or failure.agent is None:
            return
        if failure.reason not in _CRASH_FAILURES:
            return
        suspicion = quarantine.Suspicion(
            subject=_fingerprint(req),
            endpoint=types.EndpointId(failure.agent),
            born=int(now),
        )
        self._quarantine.forget(now)
        self._quarantine.add([suspicion], now)

    def record_answer(self, req: request.Request, now: float) -> None:
        """Record a whole answer, which clears the request of suspicion."""
        if len(self._quarantine):
            self._quarantine.add(
                self._quarantine.clearances(_fingerprint(req)), now
            )

    def remaining_s(self, req: request.Request, now: float) -> float:
        """Return how long a request stays quarantined, in seconds."""
        if not self._quarantine.may_hold_any():
            return 0.0
        return self._quarantine.remaining_s(_fingerprint(req), now)


def _fingerprint(req: request.Request) -> types.Fingerprint:
    plain = req.plain
    target = f"{req.service} {req.kind}"
    if plain is not None:
        target = f"{target} {plain.path}?{plain.query}"
    return fingerprint.fingerprint(
        organisation=types.OrganisationName(req.caller),
        method=b"" if plain is None else plain.method.encode(),
        target=target.encode(),
        body=req.body,
    )
