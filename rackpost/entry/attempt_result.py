"""Turns the result of an attempt into a retry or the request's end."""

import asyncio
import random

from rackpost.decide import retry
from rackpost.decide import retry_after
from rackpost.entry import attempt as attempt_mod
from rackpost.entry import crash_tracker
from rackpost.entry import demand_tracker
from rackpost.entry import open_request
from rackpost.entry import outcome
from rackpost.entry import pool as pool_mod
from rackpost.entry import request
from rackpost import metrics as metrics_mod
from rackpost import types

__all__ = ["AttemptResultHandler"]

# Retry-After of requests that failed and are not retried by the entry.
_DEFAULT_RETRY_AFTER_S = 1.0
# Refusals of a request whose key another attempt holds.
_CLAIM_REFUSALS = frozenset(
    {
        types.Refusal.CLAIM_UNKNOWN,
        types.Refusal.CLAIM_RUNNING,
        types.Refusal.CLAIM_ANSWERED,
    }
)
_AGENT_FAILURES = frozenset(
    {
        types.Failure.AGENT,
        types.Failure.ENGINE,
        types.Failure.ENGINE_STALLED,
        types.Failure.TRANSFER,
        types.Failure.LINK_LOST,
    }
)


class AttemptResultHandler:
    """Decides on each result, within the retry budgets of the services."""

    def __init__(
        self,
        *,
        pool: pool_mod.Pool,
        demand: demand_tracker.DemandTracker,
        metrics: metrics_mod.Metrics,
        rng: random.Random,
    ) -> None:
        self._pool = pool
        self._demand = demand
        self._metrics = metrics
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._crash_tracker = crash_tracker.CrashTracker()
        self._budgets: dict[types.ServiceName, retry.RetryBudget] = {}

    def record_request(self, req: request.Request) -> None:
        """Add a request's share to the retry budget of its service."""
        self._budget(req.service).record_request(req.terms.retry_share)

    def is_quarantined(self, req: request.Request) -> bool:
        """Whether a request is quarantined, as engines crashed under it."""
        return self._crash_tracker.remaining_s(req, self._loop.time()) > 0.0

    def _budget(self, service: types.ServiceName) -> retry.RetryBudget:
        return self._budgets.setdefault(service, retry.RetryBudget())

    async def handle_result(
        self, item: open_request.OpenRequest, attempt: attempt_mod.Attempt
    ) -> request.End | None:
        """Return the end of the request; None if it is to be retried.

        Before a retry the back-off is waited for.
        """
        result = attempt.result
        if isinstance(result, outcome.CompletedAttempt):
            self._crash_tracker.record_answer(
                item.req, began_at=item.started_at, now=self._loop.time()
            )
            self._metrics.count(
                "requests", types.Outcome.ANSWERED, item.req.kind
            )
            return request.End(
                outcome=types.Outcome.ANSWERED, tokens=result.length
            )
        if isinstance(result, outcome.RefusedAttempt):
            return self.refuse_attempt(item, result.reason)
        return await self._handle_failure(item, attempt, result)

    async def _handle_failure(
        self,
        item: open_request.OpenRequest,
        attempt: attempt_mod.Attempt,
        failure: outcome.FailedAttempt,
    ) -> request.End | None:
        if failure.agent is not None and failure.reason in _AGENT_FAILURES:
            self._pool.circuit_breakers.of(failure.agent).record_failure(
                self._loop.time()
            )
            attempt.excluded.add(failure.agent)
        now = self._loop.time()
        self._crash_tracker.record_failure(item.req, failure, now)
        if self._crash_tracker.remaining_s(item.req, now) > 0.0:
            return self.refuse(
                item.req, types.Refusal.ENDS_ENGINES, types.Outcome.UNKNOWN
            )
        stage = retry.Stage.NOT_HANDED_OVER
        if item.delivered:
            stage = retry.Stage.STREAMING
        elif item.handed_over:
            stage = retry.Stage.HANDED_OVER
        verdict = retry.after_failure(
            reason=failure.reason,
            ran=failure.ran,
            stage=stage,
            attempts=item.attempt_number,
            repeat=item.req.terms.repeat,
            left_s=item.remaining_s(now),
            needed_s=self._needed_s(
                item, prefilled=failure.retained_kv is not None
            ),
            budget=self._budget(item.req.service),
            rng=self._rng,
        )
        if isinstance(verdict, retry.GiveUp):
            self._metrics.count("broken", verdict.reason, item.req.kind)
            self._metrics.count("requests", verdict.outcome, item.req.kind)
            return request.End(
                outcome=verdict.outcome,
                reason=verdict.reason,
                retry_in_s=_DEFAULT_RETRY_AFTER_S,
                tokens=item.delivered,
            )
        self._metrics.count("retried", failure.reason, item.req.kind)
        await asyncio.sleep(verdict.pause_s)
        return None

    def _needed_s(
        self, item: open_request.OpenRequest, *, prefilled: bool
    ) -> float:
        views = self._pool.views_of(item.req.service)
        if item.req.plain is not None or not views:
            return 0.0
        if prefilled:
            return 0.0
        return min(
            view.prefill_s(item.req.prompt_tokens, item.req.blocks)
            for view in views
        )

    def refuse_attempt(
        self, item: open_request.OpenRequest, reason: types.Refusal
    ) -> request.End:
        """Refuse a request whose latest attempt was refused."""
        outcome = types.Outcome.NOT_RUN
        if item.handed_over or reason in _CLAIM_REFUSALS:
            # Another attempt may have run.
            outcome = types.Outcome.UNKNOWN
        return self.refuse(item.req, reason, outcome)

    def refuse(
        self,
        req: request.Request,
        reason: types.Refusal,
        outcome: types.Outcome = types.Outcome.NOT_RUN,
    ) -> request.End:
        """Return the end of a refused request, with its retry delay."""
        self._metrics.count("refused", reason, req.kind)
        self._metrics.count("requests", outcome, req.kind)
        return request.End(
            outcome=outcome,
            reason=reason,
            retry_in_s=self._retry_after_s(req, reason),
        )

    def _retry_after_s(
        self, req: request.Request, reason: types.Refusal
    ) -> float:
        now = self._loop.time()
        if reason is types.Refusal.ENDS_ENGINES:
            return self._crash_tracker.remaining_s(req, now)
        backlogs = [
            view.backlog_s(now)
            for view in self._pool.views_of(req.service)
            if view.load.role is types.Role.PREFILL
        ]
        return retry_after.delay_s(
            reason,
            backlog_s=min(backlogs, default=0.0),
            higher_density_load=self._demand.last_higher_density_load(
                req.service
            ),
        )
