"""Start, reload and stop of the gateway and coordinator programs.

Their settings come from the platform's file.  No command line is parsed,
and imports are few, to keep restarts fast.
"""

import asyncio
import contextlib
import os
import signal
import sys
from typing import Awaitable
from typing import Callable
from typing import TypeVar

from rackpost import clock
from rackpost import exceptions
from rackpost import logs
from rackpost.platform import settings
from rackpost.version import VERSION

# How often the settings file is checked for changes.
_CHECK_INTERVAL_S = 1.0
BAD_USE = 2

T = TypeVar("T")

Reload = Callable[[settings.HostSettings], None]


class Signals:
    """Stop and reload signals, and changes of the settings file."""

    def __init__(self, *, part: logs.Part) -> None:
        self._part = part
        self.stop = asyncio.Event()
        self._reload = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload.set)

    async def watch(self, reload: Reload) -> None:
        """Call `reload` with the new settings whenever they change."""
        path = settings.path()
        seen = _stamp(path)
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_CHECK_INTERVAL_S):
                    await self._reload.wait()
            stamp = _stamp(path)
            if not self._reload.is_set() and stamp == seen:
                continue
            self._reload.clear()
            seen = stamp
            try:
                reload(settings.load())
            except exceptions.ConfigError as exc:
                logs.say(self._part, "Settings not reloaded.", why=str(exc))


def _stamp(path: os.PathLike) -> tuple[float, int]:
    try:
        found = os.stat(path)
    except OSError:
        # The file may be in the middle of a replacement; checked again soon.
        return (0.0, 0)
    return (found.st_mtime, found.st_size)


def read_or_exit(read: Callable[[], T]) -> T:
    """Return what `read` returns; exits with one line on a ConfigError."""
    try:
        return read()
    except exceptions.ConfigError as exc:
        print(f"rackpost: {exc}", file=sys.stderr)
        sys.exit(BAD_USE)


def run(
    part: logs.Part,
    main: Callable[[settings.HostSettings, Signals], Awaitable[None]],
) -> None:
    """Run a program; invalid settings and errors end it with one line."""
    host = read_or_exit(settings.load)
    output = logs.to_stdout(program=part.value, vm=host.vm)

    async def start() -> None:
        logs.say(
            part,
            "Starting.",
            software=VERSION,
            data_centre=host.data_centre,
            seeds=list(host.seeds),
            first_start=host.first_start,
        )
        watch = asyncio.create_task(clock.SuspendWatch(part=part).run())
        await main(host, Signals(part=part))
        watch.cancel()
        logs.say(part, "Ended.", lines_dropped=output.dropped)
        output.flush()
        # Durable state is synced already.  A regular exit would wait for
        # threads that hang on a stalled disk.
        os._exit(0)

    try:
        clock.run(start())
    except (exceptions.RackpostError, OSError) as exc:
        logs.say(part, "Ended by an error.", why=str(exc))
        output.flush()
        sys.exit(1)
