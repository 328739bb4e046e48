"""Changes of a gateway's load that the other gateways were not told yet.

Pure: no input or output.
"""

import enum

from rackpost import types


class Urgency(enum.IntEnum):
    """How soon the other gateways have to know of a change."""

    # With the next report.
    NONE = 0
    # Plain requests: endpoints have queues for them.
    PLAIN = 1
    # Capacity is free again, or a request waits.
    RELEASE = 2
    # Capacity is in use that other gateways may reserve as well.
    RESERVATION = 3


class LoadChanges:
    """The endpoints whose load has changed, with the highest urgency."""

    def __init__(self) -> None:
        self._changed: dict[types.EndpointId, Urgency] = {}

    def record(self, endpoint: types.EndpointId, urgency: Urgency) -> None:
        """Record that the own load of an endpoint has changed."""
        self._changed[endpoint] = max(
            urgency, self._changed.get(endpoint, urgency)
        )

    def take(self) -> dict[types.EndpointId, Urgency]:
        """Return the changes since the last call."""
        found = self._changed
        self._changed = {}
        return found
