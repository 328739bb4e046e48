"""The programs' event loop, and the clock that all they decide counts by.

A VM may be suspended for seconds.  The steady clock stands still meanwhile,
and whatever was known seems as fresh as before: a lease that another has
taken over long since, a quorum last heard of, the window of a quota, a
request's deadline.  The loop's clock counts that time, so that each age is
true from the first moment after.  It can't be set, and never goes back.

The loop's timers count by the steady clock: one that was set for a second
may ring a second after the VM has woken.  What it then decides is right.
"""

import asyncio
import time
from typing import Any
from typing import Coroutine

import uvloop

from rackpost import logs

# How often it is looked whether the VM was suspended, in seconds; and from
# how many seconds on that is worth a line.
_LOOK_S = 0.5
_WORTH_S = 0.1


class Loop(uvloop.Loop):
    """An event loop whose clock counts the time of a suspended VM."""

    def time(self) -> float:
        """Seconds since the VM was booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a program to its end."""
    uvloop.run(main, loop_factory=Loop)


class SuspendWatch:
    """Logs how long the VM was suspended, once it has woken."""

    def __init__(self, *, part: logs.Part) -> None:
        self._part = part
        self._before = _not_counted_s()

    def look(self) -> float:
        """Seconds for which it was suspended since the last look."""
        now = _not_counted_s()
        suspended_s = now - self._before
        self._before = now
        if suspended_s >= _WORTH_S:
            logs.say(
                self._part,
                "Was suspended.",
                suspended_s=round(suspended_s, 2),
            )
        return suspended_s

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            await asyncio.sleep(_LOOK_S)
            self.look()


def _not_counted_s() -> float:
    """How far the steady clock has stood still since the start."""
    steady = time.clock_gettime(time.CLOCK_MONOTONIC)
    return time.clock_gettime(time.CLOCK_BOOTTIME) - steady
