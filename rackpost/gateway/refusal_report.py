"""Tells operators in one line why a gateway refuses requests."""

import enum

import msgspec

from rackpost.gateway import call as call_mod
from rackpost.gateway import site as site_mod
from rackpost import logs

__all__ = ["Obstacle", "RefusalReport", "Situation", "obstacle"]

# Interval between two lines while requests are refused, in seconds.
_INTERVAL_S = 5.0
# Answers that are right whatever state the gateway is in.
_EXPECTED = (call_mod.Reason.NO_ROUTE, call_mod.Reason.NO_KEY)
# Fewer refusals are no state of the gateway, unless something keeps it from
# serving.
_MIN_REFUSED = 5


class Obstacle(enum.Enum):
    """What keeps a gateway from serving, the first that applies."""

    NO_COORDINATOR = "no coordinator is linked"
    NO_DOCUMENT = "no linked coordinator has a document"
    DOCUMENT_UNDER_WAY = "the document has not arrived yet"
    NO_ENDPOINT = "no endpoint is known"
    OVERLOAD = "the VM is overloaded"
    QUARANTINE = "requests are in quarantine"
    NONE = "none"


class Situation(msgspec.Struct, frozen=True, kw_only=True):
    """What a gateway needs to serve.

    Attributes:
        linked: coordinators that are linked.
        offered_version: newest document of these; None if there is none.
        version: document in force at the gateway; None if there is none.
        endpoints: known endpoints.
        overloaded: whether new connections are closed unread.
        quarantined: subjects in quarantine.
    """

    linked: int
    offered_version: int | None
    version: int | None
    endpoints: int
    overloaded: bool
    quarantined: int


def obstacle(found: Situation) -> Obstacle:
    """Return what keeps a gateway from serving."""
    if found.version is None:
        if not found.linked:
            return Obstacle.NO_COORDINATOR
        if found.offered_version is None:
            return Obstacle.NO_DOCUMENT
        return Obstacle.DOCUMENT_UNDER_WAY
    if not found.endpoints:
        return Obstacle.NO_ENDPOINT
    if found.overloaded:
        return Obstacle.OVERLOAD
    return Obstacle.QUARANTINE if found.quarantined else Obstacle.NONE


class RefusalReport:
    """Logs the refusals of one gateway, at most once in some seconds."""

    def __init__(self, *, site: site_mod.Site) -> None:
        self._site = site
        self._reported: dict[str, int] = {}
        self._next_at = site.loop_time()

    def log_if_due(self, linked: int, offered_version: int | None) -> None:
        """Log what was refused since the last line; call each second."""
        site = self._site
        now = site.loop_time()
        if now < self._next_at:
            return
        totals = site.metrics.totals("own_answers")
        refused = {
            reason: count - self._reported.get(reason, 0)
            for reason, count in totals.items()
            if count > self._reported.get(reason, 0)
        }
        self._reported = totals
        for reason in _EXPECTED:
            refused.pop(reason.value, None)
        if not refused:
            return
        table = site.crash_tracker.quarantine
        found = Situation(
            linked=linked,
            offered_version=offered_version,
            version=site.version,
            endpoints=len(site.table.alive),
            overloaded=site.overload.share < 1.0,
            quarantined=len(table.quarantined(now)),
        )
        why = obstacle(found)
        if why is Obstacle.NONE and sum(refused.values()) < _MIN_REFUSED:
            return
        self._next_at = now + _INTERVAL_S
        logs.say(
            logs.Part.GATEWAY,
            "Requests are refused.",
            refused=refused,
            obstacle=why.value,
            running_s=round(now - site.started_at, 1),
            gateways=site.gateway_count,
            loop_lag_s=round(site.overload.loop_lag_s, 3),
            link_delay_s=round(site.overload.link_delay_s, 3),
            **msgspec.structs.asdict(found),
        )
