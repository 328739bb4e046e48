"""Sends a late read to a second endpoint; the first answer counts."""

import asyncio
import enum
import functools

from rackpost.decide import features
from rackpost.decide.pace import second_reads
from rackpost.decide import retry_decision
from rackpost.gateway import attempt
from rackpost.gateway import call as call_mod
from rackpost.routing import endpoints
from rackpost.routing import model
from rackpost import types


class SecondReadEnd(enum.Enum):
    """How a second read ended."""

    # The second endpoint answered first, the first one did, or neither.
    WON = "won"
    LOST = "lost"
    FAILED = "failed"


def applies(call: call_mod.Call) -> bool:
    """Whether a second read may be sent, if the first one is late.

    Not for a request that counts against a quota: it would count twice.
    """
    return (
        call.route.kind is model.RouteKind.SAFE
        and not call.tried
        and call.charge is None
        and call.site.has_feature(
            call.service.name, features.Feature.SECOND_READS
        )
    )


def record_retry(call: call_mod.Call, now: float) -> None:
    """Record a retry after a failure, which the retry budget must cover."""
    if call.site.has_feature(call.service.name, features.Feature.SECOND_READS):
        reads = call.site.second_reads_of(call.service.name)
        reads.record_failure_retry(now)


async def run(
    call: call_mod.Call, endpoint: endpoints.Endpoint
) -> retry_decision.AttemptEnd | None:
    """Do as `attempt.run`, at a second endpoint as well if it is late."""
    return await _Race(call=call).run(endpoint)


class _Race:
    """The attempts at one read, of which the first answer counts."""

    def __init__(self, *, call: call_mod.Call) -> None:
        self._call = call
        self._reads = call.site.second_reads_of(call.service.name)
        self._attempts: list[
            asyncio.Task[retry_decision.AttemptEnd | None]
        ] = []

    async def run(
        self, endpoint: endpoints.Endpoint
    ) -> retry_decision.AttemptEnd | None:
        """Send the read; return None once the client has its answer."""
        call = self._call
        self._reads.record_read()
        late_after_s = self._reads.late_after_s(_kind(call))
        if late_after_s is None:
            return await self._attempt(endpoint)
        call.on_answer = self._cancel_others
        try:
            self._start(endpoint)
            await asyncio.wait(self._attempts, timeout=late_after_s)
            if not self._attempts[0].done():
                self._start_second(endpoint, late_after_s)
            return await self._first_answer()
        finally:
            call.on_answer = call_mod.ignore
            for item in self._attempts:
                item.cancel()
            await asyncio.gather(*self._attempts, return_exceptions=True)

    def _start(self, endpoint: endpoints.Endpoint) -> None:
        task = asyncio.get_running_loop().create_task(self._attempt(endpoint))
        self._attempts.append(task)

    async def _attempt(
        self, endpoint: endpoints.Endpoint
    ) -> retry_decision.AttemptEnd | None:
        site = self._call.site
        began = site.loop_time()
        with site.loads.request_added(endpoint.id):
            ended = await attempt.run(self._call, endpoint)
        if ended is None:
            self._reads.record_answer(
                _kind(self._call), site.loop_time() - began
            )
        return ended

    def _cancel_others(self) -> None:
        """Cancel the other attempt, as this one has its answer."""
        me = asyncio.current_task()
        for item in self._attempts:
            if item is not me:
                item.cancel()

    def _start_second(
        self, first: endpoints.Endpoint, late_after_s: float
    ) -> None:
        """Send the read to a second endpoint, if that is allowed."""
        call = self._call
        site = call.site
        now = site.loop_time()
        second = self._choose_second(first, now)
        if second is None:
            return
        self._reads.record_second()
        call.retry_budget.record_retry(now)
        call.log(
            "Sent to a second endpoint.",
            endpoint=second.id,
            first=first.id,
            late_after_s=round(late_after_s, 4),
            budget_left=round(
                call.retry_budget.remaining(now, site.gateway_count), 1
            ),
        )
        site.chooser.candidates.record_selection(second, now)
        self._start(second)
        self._attempts[1].add_done_callback(
            functools.partial(self._record_second_end, now)
        )

    def _choose_second(
        self, first: endpoints.Endpoint, now: float
    ) -> endpoints.Endpoint | None:
        call = self._call
        site = call.site
        second = site.chooser.choose_plain(
            call.service.name,
            exclude=[*call.excluded_endpoints, first.id],
            now=now,
        )
        if second is None or site.eligibility.rates.per_s(second) is not None:
            return None
        situation = second_reads.Situation(
            attempts_left=call.route.max_attempts,
            budget_left=call.retry_budget.remaining(now, site.gateway_count),
            in_flight=site.loads.total(second.id).requests,
            slots=second.slots,
            time_left_s=call.deadline - now,
        )
        if not self._reads.may_send(_kind(call), situation, now):
            return None
        return second

    def _record_second_end(
        self,
        sent_at: float,
        task: asyncio.Task[retry_decision.AttemptEnd | None],
    ) -> None:
        call = self._call
        if task.cancelled():
            end = SecondReadEnd.LOST
        elif task.exception() is None and task.result() is None:
            end = SecondReadEnd.WON
        else:
            end = SecondReadEnd.FAILED
            if (
                task.exception() is None
                and task.result() is retry_decision.AttemptEnd.NOT_SENT
            ):
                call.retry_budget.refund(sent_at)
        call.site.metrics.count("second_reads", end, call.route.name)

    async def _first_answer(self) -> retry_decision.AttemptEnd | None:
        """Wait for the first answer; return how the last attempt failed."""
        ends: list[retry_decision.AttemptEnd] = []
        pending = set(self._attempts)
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for item in done:
                if item.cancelled():
                    continue
                ended = item.result()
                if ended is None:
                    return None
                ends.append(ended)
        if any(
            ended
            in (
                retry_decision.AttemptEnd.BROKEN,
                retry_decision.AttemptEnd.FAILED,
            )
            for ended in ends
        ):
            # The other attempt may have recorded that it was not run.
            self._call.may_have_run = True
        return ends[-1]


def _kind(call: call_mod.Call) -> types.KindName:
    return types.KindName(call.route.name)
