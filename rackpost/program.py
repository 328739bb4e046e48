"""Start-up shared by the command-line programs."""

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

# Exit code for invalid settings or arguments.
BAD_USE = 2


def parse(command: type[T], argv: list[str] | None = None) -> T:
    """Parse the command line; exits if it is not valid."""
    return cappa.parse(command, argv=argv, version=VERSION)


def run(main: Callable[[], Awaitable[Any]]) -> None:
    """Run a program; expected errors end it with a one-line message."""
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
    """Exit with one line on standard error."""
    print(f"rackpost: {text}", file=sys.stderr)
    sys.exit(code)


@contextlib.contextmanager
def stop_signals() -> Iterator[asyncio.Event]:
    """Yield an event that SIGTERM and SIGINT set."""
    loop = asyncio.get_running_loop()
    event = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, event.set)
    try:
        yield event
    finally:
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.remove_signal_handler(number)
