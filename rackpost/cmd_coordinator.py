"""The program `rackpost-coordinator`."""

import asyncio

from rackpost.coordinator import process
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
        await signals.stop.wait()
        logs.say(logs.Part.COORDINATOR, "Stopping.")
        watch.cancel()


def main() -> None:
    """Run the program."""
    site_program.run(logs.Part.COORDINATOR, serve)


if __name__ == "__main__":
    main()
