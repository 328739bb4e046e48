"""Logs: short sentences, with a fixed prefix for each part."""

import asyncio
import collections
import enum
import os
import sys
from typing import Any
from typing import TextIO

import eliot
import msgspec

# Lines that wait for a slow reader of the log; more are dropped, counted.
MAX_WAITING = 4000
_FLUSH_S = 0.05
# Most that is written at once, so that the event loop goes on soon.
_MAX_WRITE = 64 << 10


class Part(enum.Enum):
    """The parts that write logs; the value is the prefix."""

    ENTRY = "entry"
    AGENT = "agent"
    CONTROL = "control"
    GATEWAY = "gateway"
    COORDINATOR = "coordinator"
    LINK = "link"


class BoundedOutput:
    """Log lines on their way to a file descriptor, never waited for.

    A reader that stalls costs lines, which are counted, and no time.
    """

    def __init__(self, *, fd: int, most: int = MAX_WAITING) -> None:
        self._fd = fd
        self._most = most
        self._lines: collections.deque[bytes] = collections.deque()
        self._rest = b""
        self._timer: asyncio.TimerHandle | None = None
        self.dropped = 0
        os.set_blocking(fd, False)

    def __call__(self, record: dict[str, Any]) -> None:
        """Take a record; write it soon."""
        if len(self._lines) >= self._most:
            self.dropped += 1
            return
        data = msgspec.json.encode(record, enc_hook=str)
        self._lines.append(data + b"\n")
        self._arm()

    def _arm(self) -> None:
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._timer = loop.call_later(_FLUSH_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.flush()
        if self._lines or self._rest:
            self._arm()

    def flush(self) -> None:
        """Write what the reader takes at once."""
        while self._lines or self._rest:
            parts = [self._rest]
            size = len(self._rest)
            while self._lines and size < _MAX_WRITE:
                line = self._lines.popleft()
                parts.append(line)
                size += len(line)
            self._rest = b"".join(parts)
            try:
                done = os.write(self._fd, self._rest)
            except OSError:
                # Full, or gone: there is no other place to tell it.
                return
            self._rest = self._rest[done:]


class SubjectRateLimiter:
    """Lets a line on the same subject pass once in a while.

    Whatever a peer sends again and again would else fill the log; at most
    so many subjects are remembered, and of more than these none is logged.
    """

    def __init__(self, *, pause_s: float, most: int = 256) -> None:
        """`pause_s` is how long one subject rests, in seconds."""
        self._pause_s = pause_s
        self._most = most
        self._until: dict[str, float] = {}

    def is_due(self, subject: str, now: float) -> bool:
        """Whether a line on a subject may be logged now."""
        for known, until in list(self._until.items()):
            if until > now:
                break
            del self._until[known]
        if subject in self._until or len(self._until) >= self._most:
            return False
        self._until[subject] = now + self._pause_s
        return True


class LineRateLimiter:
    """Lets a line pass once in a while, and counts those that did not.

    For lines that any client can bring about as often as it likes.
    """

    def __init__(self, *, pause_s: float) -> None:
        """`pause_s` is between two lines, in seconds."""
        self._pause_s = pause_s
        self._until = -pause_s
        self._more = 0

    def allow(self, now: float) -> int | None:
        """How many lines were left out before this; None to leave it out."""
        if now < self._until:
            self._more += 1
            return None
        self._until = now + self._pause_s
        more, self._more = self._more, 0
        return more


def to_stream(stream: TextIO | None = None) -> None:
    """Write logs as lines of JSON, to standard error by default."""
    eliot.to_file(stream or sys.stderr)


def to_stdout(**common: str) -> BoundedOutput:
    """Write logs to standard output, bounded; `common` is on each line."""
    output = BoundedOutput(fd=1)
    eliot.add_global_fields(**common)
    eliot.add_destinations(output)
    return output


def say(part: Part, sentence: str, **fields: Any) -> None:
    """Log a sentence, with its facts as fields."""
    eliot.log_message(
        message_type=f"rackpost:{part.value}",
        text=f"{part.value}: {sentence}",
        **fields,
    )
