"""Limits how long a prefill is waited for, by what its request still has."""

import asyncio
import contextlib
import enum
from typing import AsyncIterator
from typing import Callable
from typing import Sequence

from rackpost.decide import queue_order
from rackpost.decide import slow_prefill
from rackpost.gateway import call as call_mod
from rackpost.routing import endpoints
from rackpost import types


class SlowEnd(enum.Enum):
    """What was decided on a slow prefill."""

    WAITED = "waited"
    GIVEN_UP = "given-up"


class Patience:
    """How long one request waits for prefills of its prompt."""

    def __init__(
        self,
        *,
        call: call_mod.Call,
        prompt: int,
        reserved: queue_order.WaitingRequest,
        reserved_at: float,
        present: Callable[[], queue_order.WaitingRequest],
    ) -> None:
        """`prompt` is in tokens.

        `reserved` is the request when its capacity was reserved, at
        `reserved_at`; `present` returns it as it is now.
        """
        self._call = call
        self._prompt = prompt
        self._reserved = reserved
        self._reserved_at = reserved_at
        self._present = present

    def may_begin(self) -> bool:
        """Whether a prefill begun now can still serve its client."""
        call = self._call
        now = call.site.loop_time()
        request = self._present()
        if not slow_prefill.has_become_pointless(
            self._reserved, self._reserved_at, request, now
        ):
            return True
        call.log(
            "Not prefilled.",
            reason="too late",
            start_s=round(request.start_s, 3),
            client_leaves_s=round(request.start_by - now, 3),
            time_left_s=round(request.deadline - now, 3),
        )
        return False

    @contextlib.asynccontextmanager
    async def limit(
        self,
        endpoint: endpoints.Endpoint,
        *,
        timeout_s: float,
        tried: Sequence[types.EndpointId],
    ) -> AsyncIterator[None]:
        """Raise TimeoutError in the block once the prefill is given up.

        First decided after `timeout_s`.  `tried` are the endpoints that the
        prompt was sent to.
        """
        async with asyncio.timeout(None) as limit:
            expiry = asyncio.create_task(
                self._expire(limit, endpoint, timeout_s, tried)
            )
            try:
                yield
            finally:
                expiry.cancel()

    async def _expire(
        self,
        limit: asyncio.Timeout,
        endpoint: endpoints.Endpoint,
        timeout_s: float,
        tried: Sequence[types.EndpointId],
    ) -> None:
        await asyncio.sleep(timeout_s)
        slow = self._slow_prefill(endpoint, timeout_s, tried)
        further_s = slow_prefill.further_wait_s(slow)
        self._record(endpoint, slow, timeout_s, further_s)
        await asyncio.sleep(further_s)
        limit.reschedule(asyncio.get_running_loop().time())

    def _slow_prefill(
        self,
        endpoint: endpoints.Endpoint,
        waited_s: float,
        tried: Sequence[types.EndpointId],
    ) -> slow_prefill.SlowPrefill:
        site = self._call.site
        now = site.loop_time()
        timing = site.token_timing
        other = site.chooser.choose_prefill(
            self._call.service.name, self._prompt, exclude=tried, now=now
        )
        present_tokens = site.loads.total(endpoint.id).prompt_tokens
        return slow_prefill.SlowPrefill(
            present_s=timing.prefill_s(max(self._prompt, present_tokens)),
            other_s=(
                None
                if other is None
                else timing.prefill_s(
                    site.loads.total(other.id).prompt_tokens + self._prompt
                )
            ),
            target_in_s=self._present().target - now,
            seems_dead=site.health.is_avoided(endpoint.id, now)
            or not site.loads.prefilled_within(endpoint.id, waited_s, now),
        )

    def _record(
        self,
        endpoint: endpoints.Endpoint,
        slow: slow_prefill.SlowPrefill,
        waited_s: float,
        further_s: float,
    ) -> None:
        call = self._call
        end = SlowEnd.WAITED if further_s > 0.0 else SlowEnd.GIVEN_UP
        call.site.metrics.count("slow_prefills", end, call.route.name)
        call.log(
            "Prefill is slow.",
            endpoint=endpoint.id,
            waited_s=round(waited_s, 3),
            present_s=round(slow.present_s, 3),
            other_s=None if slow.other_s is None else round(slow.other_s, 3),
            target_in_s=round(slow.target_in_s, 3),
            seems_dead=slow.seems_dead,
            further_s=round(further_s, 3),
        )
