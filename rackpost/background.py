"""Tasks in the background of a process: kept, and their faults logged."""

import asyncio
import contextlib
from typing import Any
from typing import Callable
from typing import Coroutine

from rackpost import logs

__all__ = ["Tasks"]

# A lasting task that met a fault begins again after this, in seconds: soon
# for its callers, and no line for each turn of the loop.
_BEGIN_AGAIN_S = 0.2


class Tasks:
    """Background tasks: kept from being collected, their faults logged."""

    def __init__(self, *, part: logs.Part) -> None:
        self._part = part
        self._tasks: set[asyncio.Task[Any]] = set()
        # Set when a task has failed without which the process is of no use.
        self.vital_failed = asyncio.Event()

    def spawn(
        self, coro: Coroutine[Any, Any, Any], *, vital: bool = False
    ) -> None:
        """Run a coroutine in the background."""
        name = getattr(coro, "__qualname__", "")
        task = asyncio.get_running_loop().create_task(coro, name=name)
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._ended(done, vital))

    def keep(self, lasting: Callable[[], Coroutine[Any, Any, Any]]) -> None:
        """Run what lasts as long as the process; again after a fault."""
        self.spawn(self._keep(lasting))

    async def _keep(
        self, lasting: Callable[[], Coroutine[Any, Any, Any]]
    ) -> None:
        while True:
            try:
                await lasting()
                return
            except Exception as exc:
                # One item that it can't take must not end it for all others.
                logs.say(
                    self._part,
                    "A task began again.",
                    task=lasting.__qualname__,
                    why=repr(exc),
                )
            await asyncio.sleep(_BEGIN_AGAIN_S)

    def _ended(self, task: asyncio.Task[Any], vital: bool) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        logs.say(
            self._part,
            "A task failed.",
            task=task.get_name(),
            why=repr(task.exception()),
        )
        if vital:
            self.vital_failed.set()

    async def close(self) -> None:
        """Cancel all, and wait for their ends."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        for task in tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
