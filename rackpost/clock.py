"""The programs' event loop, whose clock includes time spent suspended.

CLOCK_MONOTONIC stops while a VM is suspended, so that leases, quota windows
and deadlines would seem too fresh after it resumes.  The loop's clock is
CLOCK_BOOTTIME, which counts that time and never goes back.

Timers of the loop still run on CLOCK_MONOTONIC: one may fire late after the
VM has resumed, but the time that its callback reads is right.
"""

import asyncio
import time
from typing import Any
from typing import Coroutine

import uvloop

from rackpost import logs

# How often suspensions are checked for, and the shortest one that is logged.
_CHECK_INTERVAL_S = 0.5
_MIN_LOGGED_S = 0.1


class Loop(uvloop.Loop):
    """An event loop whose clock includes time spent suspended."""

    def time(self) -> float:
        """Return the seconds since the VM was booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a program to its end."""
    uvloop.run(main, loop_factory=Loop)


class SuspendWatch:
    """Logs how long the VM was suspended, after it has resumed."""

    def __init__(self, *, part: logs.Part) -> None:
        self._part = part
        self._last = _suspended_s()

    def look(self) -> float:
        """Return the seconds of suspension since the last call."""
        now = _suspended_s()
        suspended_s = now - self._last
        self._last = now
        if suspended_s >= _MIN_LOGGED_S:
            logs.say(
                self._part,
                "Was suspended.",
                suspended_s=round(suspended_s, 2),
            )
        return suspended_s

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self.look()


def _suspended_s() -> float:
    """Return the seconds of suspension since boot."""
    monotonic = time.clock_gettime(time.CLOCK_MONOTONIC)
    return time.clock_gettime(time.CLOCK_BOOTTIME) - monotonic
