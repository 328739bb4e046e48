"""An event loop in virtual time, which advances only when all tasks wait."""

import asyncio
import selectors
from typing import Any
from typing import Coroutine
from typing import TypeVar

T = TypeVar("T")


class Deadlock(RuntimeError):
    """All tasks wait and no timer is set."""


class _TimeSelector(selectors.SelectSelector):
    """Advances virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Advance the time by `timeout`; no file is ever ready."""
        if timeout is None:
            raise Deadlock("all tasks wait for each other")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time, whose runs are reproducible."""

    def __init__(self) -> None:
        self._times = _TimeSelector()
        super().__init__(self._times)

    def time(self) -> float:
        """Return the virtual seconds since the loop was created."""
        return self._times.now


def run(main: Coroutine[Any, Any, T]) -> T:
    """Run `main` to completion in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
