"""The program `rackpost-entry`."""

import dataclasses

import cappa

from rackpost import config
from rackpost.entry import process
from rackpost import program


@cappa.command(name="rackpost-entry")
@dataclasses.dataclass(kw_only=True)
class EntryCommand(config.EntryOptions):
    """Serve callers: authenticate, admit, place and stream requests."""


async def serve(opts: config.EntryOptions) -> None:
    """Run an entry until SIGTERM, then stop gracefully."""
    opts.check()
    running = process.EntryProcess(opts=opts)
    with program.stop_signals() as stop:
        async with running.serving() as port:
            print(f"rackpost-entry: serving callers on {port}", flush=True)
            await stop.wait()
            await running.stop()


def main() -> None:
    """Run the program."""
    opts = program.parse(EntryCommand)
    program.run(lambda: serve(opts))
