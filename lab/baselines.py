"""Baseline policies for the bench.

A baseline bounds the queue at each engine (see docs/MEASUREMENTS.md), and
uses the entry's retries, health tracking and checks of answers.
"""

from typing import Collection
from typing import Sequence

from rackpost.decide import endpoint_view
from rackpost.decide import placement
from rackpost.decide import prefix
from rackpost.decide import reservations
from rackpost.decide import slots
from rackpost.link import messages
from rackpost import types


class EngineQueueLedger(reservations.EndpointLedger):
    """Admits all work immediately and leaves queueing to the engine.

    Refuses work only if the engine's queue has `queue_limit` requests.
    """

    def __init__(
        self, *, spec: reservations.EndpointSpec, queue_limit: int
    ) -> None:
        super().__init__(spec=spec)
        self._limit = queue_limit
        self._cost: dict[slots.AttemptKey, float] = {}
        self._ready: list[slots.AttemptKey] = []
        self._step_s = spec.step_s

    def _capacity(self) -> int:
        if self.role is types.Role.PREFILL:
            return self._limit
        return self.spec.slots + self._limit

    def reserve(
        self, msg: messages.Reserve, key: slots.AttemptKey, now: float
    ) -> reservations.ReservationTerms | types.Refusal:
        """Admit the work unless the queue is full."""
        if self.leaving:
            return types.Refusal.LEAVING
        if msg.part is not self.role:
            return types.Refusal.WRONG_ROLE
        if len(self._cost) >= self._capacity():
            return types.Refusal.QUEUE_FULL
        self._cost[key] = 0.0
        if self.role is types.Role.PREFILL:
            rate = self.spec.prefill_tokens_s
            self._cost[key] = self.spec.prefill_base_s
            self._cost[key] += msg.prompt_tokens / rate
        return reservations.ReservationTerms(0.0, 0)

    def mark_ready(self, key: slots.AttemptKey) -> None:
        """Queue the attempt to start."""
        if key in self._cost:
            self._ready.append(key)

    def next_start(self, now: float) -> slots.AttemptKey | None:
        """Return the attempt that has been ready longest."""
        while self._ready:
            key = self._ready.pop(0)
            if key in self._cost:
                return key
        return None

    def record_progress(
        self, key: slots.AttemptKey, done: int, step_s: float, now: float
    ) -> None:
        """Update the average time between tokens."""
        if done > 1:
            self._step_s += 0.02 * (step_s - self._step_s)

    def record_prefill(self, key: slots.AttemptKey, took_s: float) -> None:
        """Do nothing: this ledger learns no prefill times."""

    def release(
        self, key: slots.AttemptKey, now: float, *, completed: bool
    ) -> None:
        """Remove an ended attempt."""
        self._cost.pop(key, None)

    def engine_queue_s(self, now: float) -> float:
        """Estimate the engine's queueing delay in seconds."""
        if self.role is types.Role.PREFILL:
            return sum(self._cost.values())
        # Roughly the duration of a typical answer.
        waiting = max(0, len(self._cost) - self.spec.slots)
        return 10.0 if waiting else 0.0

    def load(self, now: float) -> messages.Load:
        """Return the work that is outstanding at the engine."""
        return messages.Load(
            role=self.role,
            revision=self.revision,
            leaving=self.leaving,
            slots=self.spec.slots,
            used=len(self._cost),
            backlog_s=sum(self._cost.values()),
            step_s=self._step_s,
            prefill_tokens_s=self.spec.prefill_tokens_s,
            prefill_base_s=self.spec.prefill_base_s,
            link_bytes_s=self.spec.link_bytes_s,
        )


class _IndependentPolicy(placement.Policy):
    """Chooses the prefill and the decode endpoint independently."""

    def place(
        self,
        *,
        requirements: endpoint_view.Requirements,
        pool: Sequence[endpoint_view.EndpointView],
        now: float,
        excluded: Collection[types.AgentId] = (),
    ) -> placement.Placement | types.Refusal:
        """Choose a prefill endpoint, then a decode endpoint."""
        prefills = placement.eligible(pool, types.Role.PREFILL, excluded)
        decodes = placement.eligible(pool, types.Role.DECODE, excluded)
        if not prefills or not decodes:
            return types.Refusal.NO_ENDPOINT
        pre = self._prefill(requirements, prefills, now)
        dec = self._decode(decodes)
        return placement.Placement(pre.agent, dec.agent, 0.0, 0.0)

    def _prefill(
        self,
        requirements: endpoint_view.Requirements,
        pool: list[endpoint_view.EndpointView],
        now: float,
    ) -> endpoint_view.EndpointView:
        raise NotImplementedError

    def _decode(
        self, pool: list[endpoint_view.EndpointView]
    ) -> endpoint_view.EndpointView:
        return min(pool, key=lambda view: view.load.used + view.sent_slots)


class RoundRobin(_IndependentPolicy):
    """Chooses the endpoints in turn."""

    def __init__(self) -> None:
        self._turn = 0

    def _prefill(
        self,
        requirements: endpoint_view.Requirements,
        pool: list[endpoint_view.EndpointView],
        now: float,
    ) -> endpoint_view.EndpointView:
        self._turn += 1
        return pool[self._turn % len(pool)]

    def _decode(
        self, pool: list[endpoint_view.EndpointView]
    ) -> endpoint_view.EndpointView:
        return pool[self._turn % len(pool)]


class LeastLoaded(_IndependentPolicy):
    """Chooses the endpoint with the least outstanding work."""

    def _prefill(
        self,
        requirements: endpoint_view.Requirements,
        pool: list[endpoint_view.EndpointView],
        now: float,
    ) -> endpoint_view.EndpointView:
        return min(pool, key=lambda view: view.backlog_s(now))


class PrefixCost(_IndependentPolicy):
    """Minimises the cost of uncached prefill, transfer and queue."""

    def _prefill(
        self,
        requirements: endpoint_view.Requirements,
        pool: list[endpoint_view.EndpointView],
        now: float,
    ) -> endpoint_view.EndpointView:
        def cost(view: endpoint_view.EndpointView) -> float:
            cached = (
                view.prefix_hints.match(requirements.blocks)
                * prefix.BLOCK_TOKENS
            )
            rest = max(1, requirements.prompt_tokens - cached)
            queue = view.backlog_s(now)
            transfer = requirements.kv_bytes / view.load.link_bytes_s
            return rest / view.load.prefill_tokens_s + transfer + queue

        return min(pool, key=cost)
