"""Time limits on endpoints, so that no attempt hangs for ever.

The limits are multiples of the times that the endpoint's load predicts:
short enough to leave time for a retry, long enough for a slow moment.
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
    """The endpoint sent nothing within the time limit."""


class Limits(NamedTuple):
    """Seconds until the first chunk, and between chunks."""

    first_s: float
    next_s: float


# The duration of a plain service's work can't be predicted.
CALL_LIMITS = Limits(10.0, 10.0)


def prefill_limit(
    msg: messages.Reserve, load: messages.Load, queue_s: float
) -> float:
    """Return the time limit of a prefill in seconds.

    `queue_s` is the work that is ahead of it inside the engine.
    """
    expected = load.prefill_base_s + msg.prompt_tokens / load.prefill_tokens_s
    return _SLOW_FACTOR * (expected + queue_s) + _GRACE_S


def stream_limits(
    msg: messages.Reserve, load: messages.Load, queue_s: float
) -> Limits:
    """Return the time limits of a decode."""
    between = max(_MIN_TOKEN_GAP_S, _SLOW_FACTOR * load.step_s)
    first = _SLOW_FACTOR * (msg.kv_bytes / load.link_bytes_s + load.step_s)
    return Limits(first + _GRACE_S + queue_s, between)


async def with_timeout(limit_s: float, work: Awaitable[T]) -> T:
    """Return the result of `work`; raises Stalled after `limit_s`."""
    try:
        async with asyncio.timeout(limit_s):
            return await work
    except TimeoutError:
        raise Stalled(f"nothing for {limit_s:.3f} s") from None


async def with_stall_limits(
    stream: AsyncGenerator[T, None], limits: Limits
) -> AsyncGenerator[T, None]:
    """Yield the chunks of `stream`; raises Stalled if one takes too long."""
    loop = asyncio.get_running_loop()
    try:
        async with (
            contextlib.aclosing(stream),
            asyncio.timeout(limits.first_s) as timer,
        ):
            async for chunk in stream:
                # The consumer's own time does not count.
                timer.reschedule(None)
                yield chunk
                timer.reschedule(loop.time() + limits.next_s)
    except TimeoutError:
        raise Stalled("nothing for too long") from None
