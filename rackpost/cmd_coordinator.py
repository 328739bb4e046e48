"""The program `rackpost-coordinator`."""

import asyncio

from rackpost.coordinator import process
from rackpost import exceptions
from rackpost import logs
from rackpost.platform import settings
from rackpost import site_program


async def serve(
    host: settings.HostSettings, signals: site_program.Signals
) -> None:
    """Keep the site's state until a planned stop."""
    coordinator = process.Coordinator(host=host)
    async with coordinator.serving():
        watch = asyncio.create_task(signals.watch(coordinator.reload))
        await _first(signals.stop, coordinator.tasks.vital_failed)
        logs.say(logs.Part.COORDINATOR, "Stopping.")
        watch.cancel()
        if coordinator.tasks.vital_failed.is_set():
            # What it holds in memory is not known: its disk is.
            raise exceptions.StorageError("the replica has failed")


async def _first(*found: asyncio.Event) -> None:
    """Wait until one of these is set."""
    waits = [asyncio.create_task(event.wait()) for event in found]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()


def main() -> None:
    """Run the program."""
    site_program.run(logs.Part.COORDINATOR, serve)


if __name__ == "__main__":
    main()
