"""Keeps a listener open from when its address can be had."""

import asyncio
import contextlib
from typing import Any
from typing import AsyncIterator
from typing import Callable

from rackpost import logs
from rackpost import waiting

__all__ = ["kept"]

_RETRY_PAUSE_S = 0.1

Serve = Callable[[], contextlib.AbstractAsyncContextManager[Any]]


@contextlib.asynccontextmanager
async def kept(
    serve: Serve, *, part: logs.Part, address: str
) -> AsyncIterator[None]:
    """Serve until the block ends; retries while the address is in use.

    The block begins after the first attempt, so that one listener does not
    hold up the others.
    """
    tried = asyncio.Event()
    keeper = asyncio.create_task(_keep(serve, part, address, tried))
    try:
        await tried.wait()
        yield
    finally:
        keeper.cancel()
        await asyncio.wait([keeper])


async def _keep(
    serve: Serve, part: logs.Part, address: str, tried: asyncio.Event
) -> None:
    wait = waiting.Wait(part=part, what=f"address {address}")
    while True:
        try:
            async with serve():
                wait.end()
                tried.set()
                await asyncio.Event().wait()
        except Exception as exc:
            # Also one that no socket can be bound to; other settings come
            # with a restart.
            wait.record(str(exc))
            tried.set()
        await asyncio.sleep(_RETRY_PAUSE_S)
