"""The program `rackpost-agent`."""

import dataclasses

import cappa

from rackpost.agent import process
from rackpost import config
from rackpost import program


@cappa.command(name="rackpost-agent")
@dataclasses.dataclass(kw_only=True)
class AgentCommand(config.AgentOptions):
    """Manage the capacity of one endpoint and send it its work."""


async def serve(opts: config.AgentOptions) -> None:
    """Run an agent until SIGTERM, then leave gracefully."""
    opts.check()
    running = process.AgentProcess(opts=opts)
    with program.stop_signals() as stop:
        async with running.serving() as port:
            print(f"rackpost-agent: serving entries on {port}", flush=True)
            await stop.wait()
            await running.stop()


def main() -> None:
    """Run the program."""
    opts = program.parse(AgentCommand)
    program.run(lambda: serve(opts))
