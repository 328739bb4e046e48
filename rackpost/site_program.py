"""What gateway and coordinator programs share: start, reload and stop.

Their settings come from the platform's file, so that no command line has
to be parsed; what they import decides how soon they are back.
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

# Settings may change without a signal: how often the file is looked at.
_LOOK_S = 1.0
BAD_USE = 2

T = TypeVar("T")

Reload = Callable[[settings.HostSettings], None]


class Signals:
    """A planned stop, and changes of the settings file."""

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
                async with asyncio.timeout(_LOOK_S):
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
        # It is being replaced: looked at again in a moment.
        return (0.0, 0)
    return (found.st_mtime, found.st_size)


def read_or_exit(read: Callable[[], T]) -> T:
    """Settings that were read; a bad one ends with one clear line."""
    try:
        return read()
    except exceptions.ConfigError as exc:
        print(f"rackpost: {exc}", file=sys.stderr)
        sys.exit(BAD_USE)


def run(
    part: logs.Part,
    main: Callable[[settings.HostSettings, Signals], Awaitable[None]],
) -> None:
    """Run a program to its end; a bad setting gives one clear line."""
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
        # All that must last is synced; a thread that hangs on a stalled
        # disk would hold up the end beyond the grace time.
        os._exit(0)

    try:
        clock.run(start())
    except (exceptions.RackpostError, OSError) as exc:
        logs.say(part, "Ended by an error.", why=str(exc))
        output.flush()
        sys.exit(1)
