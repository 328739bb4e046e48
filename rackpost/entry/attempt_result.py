"""How an entry ends a request: whether to try again, and what to tell."""

import asyncio
import random

from rackpost.decide import retry
from rackpost.decide import retry_after
from rackpost.entry import attempt as attempt_mod
from rackpost.entry import crash_tracker
from rackpost.entry import demand_tracker as demand_tracker_mod
from rackpost.entry import open_request
from rackpost.entry import outcome
from rackpost.entry import pool as pool_mod
from rackpost.entry import request
from rackpost import metrics as metrics_mod
from rackpost import types

__all__ = ["AttemptResultHandler"]

# When a refused caller may come back, where nothing better is known.
_DEFAULT_RETRY_AFTER_S = 1.0
# The key's own request may have run, or runs, under another attempt.
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
    """Decides after each attempt, within the services' retry budgets."""

    def __init__(
        self,
        *,
        pool: pool_mod.Pool,
        demand: demand_tracker_mod.DemandTracker,
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
        """A request is served, a share of which may be spent on retries."""
        self._budget(req.service).record_request(req.terms.retry_share)

    def is_quarantined(self, req: request.Request) -> bool:
        """Whether a request is held back, as engines ended under it."""
        return self._crash_tracker.remaining_s(req, self._loop.time()) > 0.0

    def _budget(self, service: types.ServiceName) -> retry.RetryBudget:
        return self._budgets.setdefault(service, retry.RetryBudget())

    async def handle_result(
        self, item: open_request.OpenRequest, att: attempt_mod.Attempt
    ) -> request.End | None:
        """What the caller is told after an attempt; None to try again."""
        result = att.result
        if isinstance(result, outcome.CompletedAttempt):
            self._crash_tracker.record_answer(item.req, self._loop.time())
            self._metrics.count(
                "requests", types.Outcome.ANSWERED, item.req.kind
            )
            return request.End(
                outcome=types.Outcome.ANSWERED, tokens=result.length
            )
        if isinstance(result, outcome.RefusedAttempt):
            return self.refuse_attempt(item, result.reason)
        return await self._handle_failure(item, att, result)

    async def _handle_failure(
        self,
        item: open_request.OpenRequest,
        att: attempt_mod.Attempt,
        broken: outcome.FailedAttempt,
    ) -> request.End | None:
        if broken.agent is not None and broken.reason in _AGENT_FAILURES:
            self._pool.circuit_breakers.of(broken.agent).record_failure(
                self._loop.time()
            )
            att.excluded.add(broken.agent)
        now = self._loop.time()
        self._crash_tracker.record_failure(item.req, broken, now)
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
            reason=broken.reason,
            ran=broken.ran,
            stage=stage,
            attempts=item.attempt_number,
            repeat=item.req.terms.repeat,
            left_s=item.remaining_s(now),
            needed_s=self._needed_s(item, kept=broken.retained_kv is not None),
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
        self._metrics.count("retried", broken.reason, item.req.kind)
        await asyncio.sleep(verdict.pause_s)
        return None

    def _needed_s(
        self, item: open_request.OpenRequest, *, kept: bool
    ) -> float:
        views_ = self._pool.views_of(item.req.service)
        if item.req.plain is not None or not views_:
            return 0.0
        if kept:
            return 0.0
        return min(
            view.prefill_s(item.req.prompt_tokens, item.req.blocks)
            for view in views_
        )

    def refuse_attempt(
        self, item: open_request.OpenRequest, reason: types.Refusal
    ) -> request.End:
        """Tell that no endpoint took it, now or at an earlier attempt."""
        outcome = types.Outcome.NOT_RUN
        if item.handed_over or reason in _CLAIM_REFUSALS:
            # An earlier attempt may have run, whatever became of this.
            outcome = types.Outcome.UNKNOWN
        return self.refuse(item.req, reason, outcome)

    def refuse(
        self,
        req: request.Request,
        reason: types.Refusal,
        outcome: types.Outcome = types.Outcome.NOT_RUN,
    ) -> request.End:
        """Tell that it is refused, and when to come back."""
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
