"""The program `rackpost-control`."""

import asyncio
import contextlib
import dataclasses
from typing import Annotated

import cappa

from rackpost import config
from rackpost.control import process
from rackpost import program


@cappa.command(name="init")
@dataclasses.dataclass(kw_only=True)
class Init:
    """Create the data folder of a new replica."""

    data: Annotated[
        str,
        cappa.Arg(
            long="--data",
            default=cappa.Env("RACKPOST_DATA"),
            help="the data folder [RACKPOST_DATA]",
        ),
    ]
    replica: Annotated[str, cappa.Arg(long="--replica", help="its id")]
    first: Annotated[
        str,
        cappa.Arg(
            long="--first",
            help="ids of the first voters of a new site, by commas",
        ),
    ] = ""
    join: Annotated[
        bool, cappa.Arg(long="--join", help="it will be added to a site")
    ] = False


@cappa.command(name="run")
@dataclasses.dataclass(kw_only=True)
class Run(config.ControlOptions):
    """Run a replica."""


@cappa.command(name="rackpost-control")
@dataclasses.dataclass(kw_only=True)
class ControlCommand:
    """Store the site's durable state on replicas."""

    what: cappa.Subcommands[Init | Run]


async def init(args: Init) -> None:
    """Create the data folder of a replica."""
    opts = config.ControlOptions(data=args.data)
    voters = [item for item in args.first.split(",") if item]
    if bool(voters) == args.join:
        program.die("give either --first or --join")
    process.create(opts, replica=args.replica, first=voters)
    print(f"rackpost-control: made replica {args.replica}", flush=True)


async def serve(opts: config.ControlOptions) -> None:
    """Run a replica until SIGTERM or until its disk fails."""
    opts.check()
    running = process.ControlProcess(opts=opts)
    with program.stop_signals() as stop:
        async with running.serving() as ports:
            print(
                f"rackpost-control: links on {ports.links}, "
                f"operators on {ports.operators}",
                flush=True,
            )
            await _wait_for_either(stop, running.failed)
    if running.failed.is_set():
        program.die("the replica ended; see the log", code=1)


async def _wait_for_either(
    first: asyncio.Event, second: asyncio.Event
) -> None:
    tasks = [asyncio.create_task(item.wait()) for item in (first, second)]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


def main() -> None:
    """Run the program."""
    args = program.parse(ControlCommand).what
    if isinstance(args, Init):
        program.run(lambda: init(args))
    else:
        program.run(lambda: serve(args))
