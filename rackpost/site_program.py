"""Start, reload and stop of the gateway and coordinator programs.

Their settings come from the platform's file.  No command line is parsed,
and imports are few, to keep restarts fast.

A program ends only when it is asked to.  What it lacks at its start is waited
for, and a program that fails starts again in the same process.
"""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
from typing import Awaitable
from typing import Callable
from typing import TypeVar

from rackpost import background
from rackpost import clock
from rackpost import exceptions
from rackpost import logs
from rackpost.platform import settings
from rackpost.version import VERSION
from rackpost import waiting

# How often the settings file is checked for changes.
_CHECK_INTERVAL_S = 1.0
# How often a file that is not usable yet is read again.
_RETRY_INTERVAL_S = 0.1
# Pauses before a program that has failed starts again.
_MIN_RESTART_PAUSE_S = 0.1
_MAX_RESTART_PAUSE_S = 5.0
BAD_USE = 2

T = TypeVar("T")

Reload = Callable[[settings.HostSettings], None]
Check = Callable[[settings.HostSettings], None]


class RestartPause:
    """How long a program that has failed waits before it starts again.

    A single failure costs callers little; one that repeats uses little of
    the processor.
    """

    def __init__(self) -> None:
        self._pause_s = _MIN_RESTART_PAUSE_S

    def next_s(self, ran_s: float) -> float:
        """Return the pause after a run of `ran_s` seconds."""
        if ran_s > _MAX_RESTART_PAUSE_S:
            self._pause_s = _MIN_RESTART_PAUSE_S
        pause_s = self._pause_s
        self._pause_s = min(2.0 * pause_s, _MAX_RESTART_PAUSE_S)
        return pause_s


class SettingsFile:
    """The settings file, and whether it has changed since it was read."""

    def __init__(self, *, check: Check = lambda host: None) -> None:
        """`check` raises ConfigError for settings that can't be used."""
        self._check = check
        self._seen = _stamp(settings.path())

    @property
    def has_changed(self) -> bool:
        """Whether the file is another than the one that was read."""
        return _stamp(settings.path()) != self._seen

    def read(self) -> settings.HostSettings:
        """Return the settings; raises ConfigError."""
        # First, so that a change while the file is read is seen later.
        self._seen = _stamp(settings.path())
        host = settings.load()
        self._check(host)
        return host

    async def wait_until_usable(
        self, part: logs.Part
    ) -> settings.HostSettings:
        """Return the settings once they can be used."""
        wait = waiting.Wait(part=part, what="settings")
        while True:
            try:
                host = self.read()
            except exceptions.ConfigError as exc:
                wait.record(str(exc))
                await asyncio.sleep(_RETRY_INTERVAL_S)
            else:
                wait.end()
                return host


def _stamp(path: pathlib.Path) -> tuple[int, int, int]:
    try:
        found = os.stat(path)
    except OSError:
        # The file may be in the middle of a replacement; checked again soon.
        return (0, 0, 0)
    return (found.st_mtime_ns, found.st_size, found.st_ino)


class Signals:
    """Stop and reload signals, and changes of the settings file."""

    def __init__(
        self, *, part: logs.Part, file: SettingsFile | None = None
    ) -> None:
        self._part = part
        self._file = file or SettingsFile()
        self.stop = asyncio.Event()
        self._reload = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload.set)

    async def watch(self, reload: Reload) -> None:
        """Call `reload` with the new settings whenever they change."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_CHECK_INTERVAL_S):
                    await self._reload.wait()
            if not self._reload.is_set() and not self._file.has_changed:
                continue
            self._reload.clear()
            try:
                reload(self._file.read())
            except exceptions.ConfigError as exc:
                logs.say(self._part, "Settings not reloaded.", why=str(exc))


def read_or_exit(read: Callable[[], T]) -> T:
    """Return what `read` returns; exits with one line on a ConfigError."""
    try:
        return read()
    except exceptions.ConfigError as exc:
        print(f"rackpost: {exc}", file=sys.stderr)
        sys.exit(BAD_USE)


Main = Callable[[settings.HostSettings, Signals], Awaitable[None]]


def run(
    part: logs.Part, main: Main, *, check: Check = lambda host: None
) -> None:
    """Run a program until a stop signal.

    `check` raises ConfigError for settings that `main` can't use.  Exits
    where no settings file is named.
    """
    logs.open_standard_streams()
    read_or_exit(settings.path)
    output = logs.to_stdout(program=part.value)

    async def start() -> None:
        file = SettingsFile(check=check)
        signals = Signals(part=part, file=file)
        watch = asyncio.create_task(clock.SuspendWatch(part=part).run())
        await _serve(part, main, file, signals)
        watch.cancel()
        logs.say(part, "Ended.", lines_dropped=output.dropped)
        output.flush()
        # Durable state is synced already.  A regular exit would wait for
        # threads that hang on a stalled disk.
        os._exit(0)

    clock.run(start())


async def _serve(
    part: logs.Part, main: Main, file: SettingsFile, signals: Signals
) -> None:
    """Run `main` until it returns; start it again after an error."""
    loop = asyncio.get_running_loop()
    pause = RestartPause()
    while True:
        host = await background.unless_set(
            signals.stop, file.wait_until_usable(part)
        )
        if host is None:
            return
        _log_start(part, host)
        began = loop.time()
        try:
            await main(host, signals)
            return
        except Exception as exc:
            pause_s = pause.next_s(loop.time() - began)
            logs.say(
                part,
                "Failed, starts again.",
                why=repr(exc),
                pause_s=pause_s,
            )
        await background.unless_set(signals.stop, asyncio.sleep(pause_s))
        if signals.stop.is_set():
            return


def _log_start(part: logs.Part, host: settings.HostSettings) -> None:
    logs.add_fields(vm=host.vm)
    logs.say(
        part,
        "Starting.",
        software=VERSION,
        data_centre=host.data_centre,
        seeds=list(host.seeds),
        first_start=host.first_start,
    )
