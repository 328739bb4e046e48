"""Limits on how long an endpoint may take, so that none is held for ever.

The limits are multiples of what the endpoint said of itself: tight enough
to leave time for another try, wide enough for an ordinary slow moment.
"""

import asyncio
import contextlib
from typing import AsyncGenerator
from typing import Awaitable
from typing import NamedTuple
from typing import TypeVar

from rackpost import exceptions
from rackpost.link import messages

T = TypeVar("T")

_SLOW_FACTOR = 4.0
_GRACE_S = 0.25
_MIN_TOKEN_GAP_S = 1.0


class Stalled(exceptions.EngineError):
    """The endpoint gave nothing for too long."""


class Limits(NamedTuple):
    """Seconds until the first part, and between parts."""

    first_s: float
    next_s: float


# A plain service's own work is not known beforehand.
CALL_LIMITS = Limits(10.0, 10.0)


def prefill_limit(
    asked: messages.Reserve, load: messages.Load, queue_s: float
) -> float:
    """How long a prefill may take, in seconds.

    `queue_s` is the work that waits within the engine before it.
    """
    usual = load.prefill_base_s + asked.prompt_tokens / load.prefill_tokens_s
    return _SLOW_FACTOR * (usual + queue_s) + _GRACE_S


def stream_limits(
    asked: messages.Reserve, load: messages.Load, queue_s: float
) -> Limits:
    """How long a decode may take to its first and to its next token."""
    between = max(_MIN_TOKEN_GAP_S, _SLOW_FACTOR * load.step_s)
    first = _SLOW_FACTOR * (asked.kv_bytes / load.link_bytes_s + load.step_s)
    return Limits(first + _GRACE_S + queue_s, between)


async def within(limit_s: float, work: Awaitable[T]) -> T:
    """The result of `work`; raises Stalled after `limit_s`."""
    try:
        async with asyncio.timeout(limit_s):
            return await work
    except TimeoutError:
        raise Stalled(f"nothing for {limit_s:.3f} s") from None


async def guarded(
    stream: AsyncGenerator[T, None], limits: Limits
) -> AsyncGenerator[T, None]:
    """The parts of `stream`; raises Stalled if one takes too long."""
    loop = asyncio.get_running_loop()
    try:
        async with (
            contextlib.aclosing(stream),
            asyncio.timeout(limits.first_s) as timer,
        ):
            async for part in stream:
                # The consumer's own time does not count.
                timer.reschedule(None)
                yield part
                timer.reschedule(loop.time() + limits.next_s)
    except TimeoutError:
        raise Stalled("nothing for too long") from None
