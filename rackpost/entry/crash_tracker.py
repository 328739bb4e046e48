"""Quarantine of requests that crash engines, within one entry.

Entries do not share what they learn, so each quarantines a request, or a part
of prompts, only after the crashes that it saw itself.
"""

from rackpost import crash_tracker
from rackpost.decide import fingerprint
from rackpost.entry import outcome
from rackpost.entry import request
from rackpost import logs
from rackpost.routing import endpoints
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
    """The crashes that one entry saw, by request and part of prompts."""

    def __init__(self) -> None:
        # Agents report no heartbeats of their engines.
        self._tracker = crash_tracker.CrashTracker(
            table=endpoints.EndpointTable(), part=logs.Part.ENTRY
        )

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
        engine = endpoints.Endpoint(
            id=types.EndpointId(failure.agent), born=int(now)
        )
        self._tracker.recheck(now)
        self._tracker.record_broken(_subjects(req), engine, ran_s=0.0, now=now)

    def record_answer(
        self, req: request.Request, *, began_at: float, now: float
    ) -> None:
        """Record a whole answer to a request that began at `began_at`.

        It clears the request, and the parts of its prompt of crashes before.
        """
        self._tracker.record_served(_subjects(req), began_at=began_at, now=now)

    def remaining_s(self, req: request.Request, now: float) -> float:
        """Return how long a request stays quarantined, in seconds."""
        if not self._tracker.quarantine.may_hold_any():
            return 0.0
        found = self._tracker.quarantined(_subjects(req), now)
        return 0.0 if found is None else found.remaining_s


def _subjects(req: request.Request) -> crash_tracker.Subjects:
    return crash_tracker.Subjects(request=_fingerprint(req), parts=req.parts)


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
