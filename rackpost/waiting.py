"""Log lines on what a process waits for at its start."""

import asyncio

from rackpost import logs

__all__ = ["Wait"]

# Shortest time between two lines with the same reason.
_LOG_INTERVAL_S = 10.0


class Wait:
    """A wait for something outside the process; logged if it takes a while."""

    def __init__(self, *, part: logs.Part, what: str) -> None:
        self._loop = asyncio.get_running_loop()
        self._part = part
        self._what = what
        self._began = self._loop.time()
        self._logged_at = self._began
        self._why: str | None = None

    def record(self, why: str) -> None:
        """Record why it is still waited for."""
        now = self._loop.time()
        if why == self._why and now - self._logged_at < _LOG_INTERVAL_S:
            return
        self._why = why
        self._logged_at = now
        self._log("Waits.", why=why)

    def end(self) -> None:
        """Record that the process has what it needs."""
        if self._why is not None:
            self._log("Wait is over.")

    def _log(self, text: str, **fields: str) -> None:
        logs.say(
            self._part,
            text,
            what=self._what,
            waited_s=round(self._loop.time() - self._began, 2),
            **fields,
        )
