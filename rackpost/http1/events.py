"""Splitting of a byte stream into server-sent events.

Only complete events are forwarded, so that a stream can resume at another
endpoint after the first one failed within an event.
"""

import re
from typing import NamedTuple

# An event ends with an empty line; a line ends with LF, CR or CR LF.  A CR LF
# is never taken for two ends.
_EMPTY_LINE = re.compile(
    rb"\r\n(?:\r\n|\n|\r)|\n(?:\r\n|\n|\r)|\r(?!\n)(?:\r\n|\r)"
)
_LINE_END = re.compile(rb"\r\n|\n|\r")
# Bytes of the longest end of an event.
_MAX_END_BYTES = 4
_LF_TERMINATOR = b"\n\n"
_ID_FIELD = b"id:"
# Longest event; one without end would be held for ever.
MAX_EVENT_BYTES = 256 << 10


class Event(NamedTuple):
    """A complete event, including the empty line that terminates it."""

    data: bytes
    id: int | None


class Splitter:
    """Incremental splitter of a byte stream into events.

    An event whose last byte so far is a CR is complete at once; an LF that
    follows belongs to its end and comes with the next event.
    """

    def __init__(self) -> None:
        self.rest = b""
        self._ends_with_cr = False

    @property
    def is_between_events(self) -> bool:
        """Whether the bytes in `rest` are no part of an event."""
        return not self.rest or (self._ends_with_cr and self.rest == b"\n")

    def feed(self, received: bytes) -> list[Event]:
        """Add bytes; return the events completed by them."""
        # A terminator may have begun with the last bytes from before.
        since = max(0, len(self.rest) - _MAX_END_BYTES + 1)
        self.rest += received
        events = []
        while (end := self._find_end(since)) > 0:
            data = self.rest[:end]
            self.rest = self.rest[end:]
            self._ends_with_cr = data.endswith(b"\r")
            since = 0
            events.append(Event(data, _event_id(data)))
        return events

    def _find_end(self, since: int) -> int:
        """Return the length of the first event, 0 if it is not complete."""
        if b"\r" not in self.rest and not self._ends_with_cr:
            at = self.rest.find(_LF_TERMINATOR, since)
            return at + len(_LF_TERMINATOR) if at >= 0 else 0
        if self._ends_with_cr and self.rest.startswith(b"\n"):
            # It belongs to the end of the event before.
            since = max(1, since)
        found = _EMPTY_LINE.search(self.rest, since)
        return 0 if found is None else found.end()


def _event_id(event: bytes) -> int | None:
    for line in _LINE_END.split(event):
        if line.startswith(_ID_FIELD):
            value = line[len(_ID_FIELD) :].strip()
            return int(value) if value.isdigit() else None
    return None
