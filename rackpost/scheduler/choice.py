"""Choose the coordinator that schedules a model service.

Gateways that are linked to the same coordinators choose the same one.  A
coordinator that has just been linked is not chosen at once, since others may
not be linked to it yet; unless it asks for holdings, as another gateway then
uses it.

Pure: times are readings of the gateway's clock, in seconds.
"""

from rackpost.decide import rendezvous
from rackpost import types

# Gateways link to a coordinator that comes up within a second of each other
# (`coordinator/links.py`).
SETTLE_S = 2.0
# After a scheduler did not answer in time it is not asked for this long, in
# seconds, so that few requests wait for a silent one.
_SUSPECT_S = 0.5


class SchedulerChoices:
    """The coordinators that are linked, and what is known of them."""

    def __init__(self) -> None:
        self._linked_at: dict[str, float] = {}
        self._queried: set[tuple[str, types.ServiceName]] = set()
        self._suspect_until: dict[str, float] = {}

    def link(self, host: str, now: float) -> None:
        """Record a new link to a coordinator."""
        self.unlink(host)
        self._linked_at[host] = now

    def unlink(self, host: str) -> None:
        """Record that a link is lost."""
        self._linked_at.pop(host, None)
        self._suspect_until.pop(host, None)
        self._queried = {item for item in self._queried if item[0] != host}

    def record_query(
        self, host: str, service: types.ServiceName, active: bool
    ) -> None:
        """Record that a coordinator schedules a service, or has stopped."""
        if active:
            self._queried.add((host, service))
        else:
            self._queried.discard((host, service))

    def record_answer(self, host: str) -> None:
        """Record that a coordinator answers."""
        self._suspect_until.pop(host, None)

    def record_silence(self, host: str, now: float) -> None:
        """Record that a coordinator did not answer in time."""
        self._suspect_until[host] = now + _SUSPECT_S

    def is_suspect(self, host: str, now: float) -> bool:
        """Whether a coordinator has just failed to answer."""
        return now < self._suspect_until.get(host, now)

    def subscribers(self, service: types.ServiceName) -> list[str]:
        """Return the coordinators that asked for holdings of a service."""
        return [host for host, name in self._queried if name == service]

    def best(self, service: types.ServiceName, now: float) -> str | None:
        """Return the coordinator to use for a service, if any."""
        usable = [
            host
            for host, at in self._linked_at.items()
            if now >= at + SETTLE_S or (host, service) in self._queried
        ]
        return max(
            usable,
            key=lambda host: rendezvous.rank(host, service),
            default=None,
        )
