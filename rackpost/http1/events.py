"""Server-sent events, cut at their ends.  Pure.

Only whole events are passed on, so that a stream can go on at another
endpoint after its first one broke off within an event.
"""

from typing import NamedTuple

_END = b"\n\n"
_ID = b"id:"


class Event(NamedTuple):
    """A whole event with the empty line that ends it."""

    data: bytes
    id: int | None


class Splitter:
    """Cuts a stream of bytes into events."""

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """The events that are whole now."""
        self.rest += data
        found = []
        while (at := self.rest.find(_END)) >= 0:
            whole = self.rest[: at + len(_END)]
            self.rest = self.rest[at + len(_END) :]
            found.append(Event(whole, _id_of(whole)))
        return found


def _id_of(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            value = line[len(_ID) :].strip()
            return int(value) if value.isdigit() else None
    return None
