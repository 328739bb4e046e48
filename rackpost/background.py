"""Background tasks of a process."""

import asyncio
import contextlib
from typing import Any
from typing import Callable
from typing import Coroutine
from typing import TypeVar

from rackpost import logs

__all__ = ["Tasks", "unless_set"]

T = TypeVar("T")

# Delay before a failed task restarts; bounds the rate of its log lines.
_RESTART_DELAY_S = 0.2


class Tasks:
    """A set of tasks, referenced until they end, whose errors are logged."""

    def __init__(self, *, part: logs.Part) -> None:
        self._part = part
        self._tasks: set[asyncio.Task[Any]] = set()
        # Set when a task failed that the process can't work without.
        self.vital_failed = asyncio.Event()

    def spawn(
        self, coro: Coroutine[Any, Any, Any], *, vital: bool = False
    ) -> None:
        """Run a coroutine in the background."""
        name = getattr(coro, "__qualname__", "")
        task = asyncio.get_running_loop().create_task(coro, name=name)
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._on_done(done, vital))

    def keep(self, factory: Callable[[], Coroutine[Any, Any, Any]]) -> None:
        """Run a task for as long as the process; restart it after an error."""
        self.spawn(self._run_forever(factory))

    async def _run_forever(
        self, factory: Callable[[], Coroutine[Any, Any, Any]]
    ) -> None:
        name = getattr(factory, "__qualname__", repr(factory))
        while True:
            try:
                await factory()
                return
            except Exception as exc:
                # One bad item must not stop the processing of the others.
                logs.say(
                    self._part,
                    "A task began again.",
                    task=name,
                    why=repr(exc),
                )
            await asyncio.sleep(_RESTART_DELAY_S)

    def _on_done(self, task: asyncio.Task[Any], vital: bool) -> None:
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
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        for task in tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task


async def unless_set(
    event: asyncio.Event, coro: Coroutine[Any, Any, T]
) -> T | None:
    """Return the result of a coroutine; None if an event is set before."""
    work = asyncio.create_task(coro)
    stop = asyncio.create_task(event.wait())
    try:
        await asyncio.wait((work, stop), return_when=asyncio.FIRST_COMPLETED)
        return work.result() if work.done() else None
    finally:
        work.cancel()
        stop.cancel()
