"""What the commands share: bad settings, signals, the event loop."""

import asyncio
import contextlib
import signal
import sys
from typing import Any
from typing import Awaitable
from typing import Callable
from typing import Iterator
from typing import NoReturn
from typing import TypeVar

import cappa
from rackpost import clock
from rackpost import exceptions
from rackpost import logs
from rackpost.version import VERSION

T = TypeVar("T")

# Exit code of a program whose settings or arguments are bad.
BAD_USE = 2


def parse(command: type[T], argv: list[str] | None = None) -> T:
    """The command line as an object; ends the program if it is bad."""
    return cappa.parse(command, argv=argv, version=VERSION)


def run(main: Callable[[], Awaitable[Any]]) -> None:
    """Run a program to its end; a bad setting gives one clear line."""
    logs.to_stream()
    try:
        clock.run(_as_coroutine(main))
    except exceptions.UserError as exc:
        die(str(exc))
    except exceptions.StorageError as exc:
        die(str(exc), code=1)
    except OSError as exc:
        die(f"can't listen: {exc}", code=1)
    except KeyboardInterrupt:
        sys.exit(130)


async def _as_coroutine(main: Callable[[], Awaitable[Any]]) -> None:
    await main()


def die(text: str, *, code: int = BAD_USE) -> NoReturn:
    """End the program with one line on standard error."""
    print(f"rackpost: {text}", file=sys.stderr)
    sys.exit(code)


@contextlib.contextmanager
def stop_signals() -> Iterator[asyncio.Event]:
    """An event that is set by SIGTERM or SIGINT: a planned stop."""
    loop = asyncio.get_running_loop()
    event = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, event.set)
    try:
        yield event
    finally:
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.remove_signal_handler(number)
