"""An event loop whose time passes only when nothing else is left to do."""

import asyncio
import selectors
from typing import Any
from typing import Coroutine
from typing import TypeVar

T = TypeVar("T")


class Deadlock(RuntimeError):
    """Every task waits, and no timer is set."""


class _TimeSelector(selectors.SelectSelector):
    """Lets virtual time pass in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Move the time on by `timeout`; no file is ever ready."""
        if timeout is None:
            raise Deadlock("all tasks wait for each other")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop in virtual time: the same tasks give the same run."""

    def __init__(self) -> None:
        self._times = _TimeSelector()
        super().__init__(self._times)

    def time(self) -> float:
        """Virtual seconds since the loop was made."""
        return self._times.now


def run(main: Coroutine[Any, Any, T]) -> T:
    """Run `main` to its end in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
