"""Splitting of a byte stream into server-sent events.

Only complete events are forwarded, so that a stream can resume at another
endpoint after the first one failed within an event.
"""

from typing import NamedTuple

_TERMINATOR = b"\n\n"
_ID_FIELD = b"id:"
# Longest event; one without end would be held for ever.
MAX_EVENT_BYTES = 256 << 10


class Event(NamedTuple):
    """A complete event, including the empty line that terminates it."""

    data: bytes
    id: int | None


class Splitter:
    """Incremental splitter of a byte stream into events."""

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, received: bytes) -> list[Event]:
        """Add bytes; return the events completed by them."""
        # A terminator may have begun with the last byte from before.
        since = max(0, len(self.rest) - 1)
        self.rest += received
        events = []
        while (at := self.rest.find(_TERMINATOR, since)) >= 0:
            since = 0
            data = self.rest[: at + len(_TERMINATOR)]
            self.rest = self.rest[at + len(_TERMINATOR) :]
            events.append(Event(data, _event_id(data)))
        return events


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_ID_FIELD):
            value = line[len(_ID_FIELD) :].strip()
            return int(value) if value.isdigit() else None
    return None
