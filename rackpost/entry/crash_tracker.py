"""Requests under which engines end, as one entry sees them.

Entries do not tell each other, so that a request may end three engines at
each of them before it is held back there.
"""

from rackpost.decide import fingerprint
from rackpost.decide import quarantine
from rackpost.entry import outcome
from rackpost.entry import request
from rackpost import types

# What ends with its engine; a stall or a slow reader is none of the request's
# doing.
_CRASH_FAILURES = frozenset(
    {
        types.Failure.AGENT,
        types.Failure.ENGINE,
        types.Failure.LINK_LOST,
    }
)


class CrashTracker:
    """The book of one entry."""

    def __init__(self) -> None:
        self._quarantine = quarantine.Quarantine()

    def record_failure(
        self, req: request.Request, broken: outcome.FailedAttempt, now: float
    ) -> None:
        """An attempt broke off; whether it ran is known.

        An agent tells no lives of its engine.  One that ended is away for
        seconds, so that what broke there in another second is another life.
        """
        if not broken.ran or broken.agent is None:
            return
        if broken.reason not in _CRASH_FAILURES:
            return
        found = quarantine.Suspicion(
            request=_fingerprint(req),
            endpoint=types.EndpointId(broken.agent),
            born=int(now),
        )
        self._quarantine.forget(now)
        self._quarantine.add([found], now)

    def record_answer(self, req: request.Request, now: float) -> None:
        """A request was answered in full, so that it ends no engine."""
        if len(self._quarantine):
            self._quarantine.add(
                self._quarantine.clearances(_fingerprint(req)), now
            )

    def remaining_s(self, req: request.Request, now: float) -> float:
        """How much longer a request is held back, in seconds; 0 if not."""
        if not self._quarantine.may_hold_any():
            return 0.0
        return self._quarantine.remaining_s(_fingerprint(req), now)


def _fingerprint(req: request.Request) -> types.Fingerprint:
    plain = req.plain
    asked = f"{req.service} {req.kind}"
    if plain is not None:
        asked = f"{asked} {plain.path}?{plain.query}"
    return fingerprint.fingerprint(
        organisation=types.OrganisationName(req.caller),
        method=b"" if plain is None else plain.method.encode(),
        target=asked.encode(),
        body=req.body,
    )
