"""Structured logging: a short sentence with a prefix, and fields."""

import asyncio
import collections
import contextlib
import enum
import os
import sys
from typing import Any
from typing import TextIO

import eliot
import msgspec

# Lines buffered for a slow reader of the log; more are dropped and counted.
MAX_BUFFERED_LINES = 4000
_FLUSH_INTERVAL_S = 0.05
# Limit of one write, so that it does not block the event loop for long.
_MAX_WRITE_BYTES = 64 << 10


class Part(enum.Enum):
    """Components that write logs; the value is the prefix."""

    ENTRY = "entry"
    AGENT = "agent"
    CONTROL = "control"
    GATEWAY = "gateway"
    COORDINATOR = "coordinator"
    LINK = "link"


class BoundedOutput:
    """A non-blocking, bounded buffer of log lines for a file descriptor.

    If the reader stalls, lines are dropped and counted.
    """

    def __init__(self, *, fd: int, most: int = MAX_BUFFERED_LINES) -> None:
        self._fd = fd
        self._max_lines = most
        self._lines: collections.deque[bytes] = collections.deque()
        self._partial = b""
        self._timer: asyncio.TimerHandle | None = None
        self.dropped = 0
        with contextlib.suppress(OSError):
            os.set_blocking(fd, False)

    def __call__(self, record: dict[str, Any]) -> None:
        """Buffer a record and schedule a flush."""
        if len(self._lines) >= self._max_lines:
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
        self._timer = loop.call_later(_FLUSH_INTERVAL_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.flush()
        if self._lines or self._partial:
            self._arm()

    def flush(self) -> None:
        """Write as much as the file descriptor accepts without blocking."""
        while self._lines or self._partial:
            chunks = [self._partial]
            size = len(self._partial)
            while self._lines and size < _MAX_WRITE_BYTES:
                line = self._lines.popleft()
                chunks.append(line)
                size += len(line)
            self._partial = b"".join(chunks)
            try:
                written = os.write(self._fd, self._partial)
            except OSError:
                # The pipe is full or closed; there is nowhere to report it.
                return
            self._partial = self._partial[written:]


class SubjectRateLimiter:
    """Limits log lines to one per subject and interval.

    At most `max_subjects` are tracked at once; lines on further subjects
    are suppressed.
    """

    def __init__(self, *, pause_s: float, max_subjects: int = 256) -> None:
        """`pause_s` is the interval in seconds."""
        self._pause_s = pause_s
        self._max_subjects = max_subjects
        self._suppressed_until: dict[str, float] = {}

    def is_due(self, subject: str, now: float) -> bool:
        """Whether a line may be logged now; if so, starts the interval."""
        for tracked, until in list(self._suppressed_until.items()):
            if until > now:
                break
            del self._suppressed_until[tracked]
        if (
            subject in self._suppressed_until
            or len(self._suppressed_until) >= self._max_subjects
        ):
            return False
        self._suppressed_until[subject] = now + self._pause_s
        return True


class LineRateLimiter:
    """Limits a log line to one per interval, and counts suppressed ones.

    For lines that clients can trigger at any rate.
    """

    def __init__(self, *, pause_s: float) -> None:
        """`pause_s` is the interval in seconds."""
        self._pause_s = pause_s
        self._suppressed_until = -pause_s
        self._suppressed = 0

    def allow(self, now: float) -> int | None:
        """Return how many lines were suppressed before; None to suppress."""
        if now < self._suppressed_until:
            self._suppressed += 1
            return None
        self._suppressed_until = now + self._pause_s
        suppressed, self._suppressed = self._suppressed, 0
        return suppressed


def open_standard_streams() -> None:
    """Open the null device in place of closed standard streams.

    The next file or socket would otherwise take the descriptor of the closed
    one, and log lines would be written to it.
    """
    for fd in (0, 1, 2):
        try:
            os.fstat(fd)
        except OSError:
            # The lowest free descriptor, which is this one.
            os.open(os.devnull, os.O_RDWR)


def to_stream(stream: TextIO | None = None) -> None:
    """Write logs as JSON lines, to standard error by default."""
    eliot.to_file(stream or sys.stderr)


def to_stdout(**common: str) -> BoundedOutput:
    """Write logs to standard output; `common` fields are on each line."""
    output = BoundedOutput(fd=1)
    add_fields(**common)
    eliot.add_destinations(output)
    return output


def add_fields(**common: str) -> None:
    """Put further fields on each line."""
    eliot.add_global_fields(**common)


def say(part: Part, sentence: str, **fields: Any) -> None:
    """Log a sentence with fields."""
    eliot.log_message(
        message_type=f"rackpost:{part.value}",
        text=f"{part.value}: {sentence}",
        **fields,
    )
