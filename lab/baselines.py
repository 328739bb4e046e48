"""The policies that the product is compared with.

Each is set up as an operator would: the queue in front of an engine is
bounded at the length that gave it the most goodput at load 1.3 (see
docs/MEASUREMENTS.md), and it gets the entry's own retries, avoidance of
broken endpoints and checks of answers.
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
    """Takes any work at once and leaves the queueing to the engine.

    Work is refused only when the queue at the engine is longer than
    `queue_limit` requests.
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
        """Take the work unless the queue is full."""
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
        """Hand it over at once."""
        if key in self._cost:
            self._ready.append(key)

    def next_start(self, now: float) -> slots.AttemptKey | None:
        """The oldest that is ready."""
        while self._ready:
            key = self._ready.pop(0)
            if key in self._cost:
                return key
        return None

    def record_progress(
        self, key: slots.AttemptKey, done: int, step_s: float, now: float
    ) -> None:
        """Follow the time between tokens."""
        if done > 1:
            self._step_s += 0.02 * (step_s - self._step_s)

    def record_prefill(self, key: slots.AttemptKey, took_s: float) -> None:
        """Nothing is learned."""

    def release(
        self, key: slots.AttemptKey, now: float, *, completed: bool
    ) -> None:
        """The attempt is over."""
        self._cost.pop(key, None)

    def engine_queue_s(self, now: float) -> float:
        """The engine queues whatever it was given."""
        if self.role is types.Role.PREFILL:
            return sum(self._cost.values())
        # A slot frees when an answer of common length has ended.
        waiting = max(0, len(self._cost) - self.spec.slots)
        return 10.0 if waiting else 0.0

    def load(self, now: float) -> messages.Load:
        """What is outstanding at the engine."""
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
    """Chooses the two halves one after the other."""

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
        ask: endpoint_view.Requirements,
        pool: list[endpoint_view.EndpointView],
        now: float,
    ) -> endpoint_view.EndpointView:
        raise NotImplementedError

    def _decode(
        self, pool: list[endpoint_view.EndpointView]
    ) -> endpoint_view.EndpointView:
        return min(pool, key=lambda view: view.load.used + view.sent_slots)


class RoundRobin(_IndependentPolicy):
    """Each endpoint in its turn."""

    def __init__(self) -> None:
        self._turn = 0

    def _prefill(
        self,
        ask: endpoint_view.Requirements,
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
    """The least work outstanding."""

    def _prefill(
        self,
        ask: endpoint_view.Requirements,
        pool: list[endpoint_view.EndpointView],
        now: float,
    ) -> endpoint_view.EndpointView:
        return min(pool, key=lambda view: view.backlog_s(now))


class PrefixCost(_IndependentPolicy):
    """The paper's cost: uncached prefill, transfer and queue (PAPER)."""

    def _prefill(
        self,
        ask: endpoint_view.Requirements,
        pool: list[endpoint_view.EndpointView],
        now: float,
    ) -> endpoint_view.EndpointView:
        def cost(view: endpoint_view.EndpointView) -> float:
            cached = view.prefix_hints.match(ask.blocks) * prefix.BLOCK_TOKENS
            rest = max(1, ask.prompt_tokens - cached)
            queue = view.backlog_s(now)
            transfer = ask.kv_bytes / view.load.link_bytes_s
            return rest / view.load.prefill_tokens_s + transfer + queue

        return min(pool, key=cost)
