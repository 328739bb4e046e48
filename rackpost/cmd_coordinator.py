"""The program `rackpost-coordinator`."""

if __name__ == "__main__":
    # First, as it ignores SIGHUP until the program handles it.
    from rackpost import start  # noqa: F401

import asyncio
import contextlib
import functools
import os

from rackpost import background
from rackpost.coordinator import disk
from rackpost.coordinator import process
from rackpost.decide import features
from rackpost import exceptions
from rackpost.gateway import policy
from rackpost import logs
from rackpost.platform import settings
from rackpost import site_program


async def serve(
    parts: features.Overrides,
    host: settings.HostSettings,
    signals: site_program.Signals,
) -> None:
    """Run a coordinator until a stop signal or a vital failure."""
    opened = await background.unless_set(
        signals.stop, process.wait_for_disk(host)
    )
    if opened is None:
        return
    # Also where the coordinator can't be made: it is made again soon.
    with contextlib.closing(opened.disk):
        await _serve_from(opened, parts, host, signals)


async def _serve_from(
    opened: disk.OpenDisk,
    parts: features.Overrides,
    host: settings.HostSettings,
    signals: site_program.Signals,
) -> None:
    coordinator = process.Coordinator(host=host, opened=opened, parts=parts)
    async with coordinator.serving():
        coordinator.tasks.keep(
            functools.partial(signals.watch, coordinator.reload)
        )
        await _wait_for_any(signals.stop, coordinator.tasks.vital_failed)
        logs.say(logs.Part.COORDINATOR, "Stopping.")
        if coordinator.tasks.vital_failed.is_set():
            # The state in memory is unreliable; the next run reads the disk.
            raise exceptions.StorageError("the replica has failed")
        await coordinator.hand_over()


async def _wait_for_any(*events: asyncio.Event) -> None:
    """Wait until one of the events is set."""
    waits = [asyncio.create_task(event.wait()) for event in events]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()


def main() -> None:
    """Run the program."""
    parts = site_program.read_or_exit(
        lambda: policy.part_overrides(os.environ)
    )
    site_program.run(
        logs.Part.COORDINATOR,
        functools.partial(serve, parts),
        check=settings.check_coordinator,
    )


if __name__ == "__main__":
    main()
