"""Reservations of one endpoint: slots, memory, prefills and transfers.

The agent consults its ledger before it accepts or starts any work.
Pure: times are readings of the agent's clock, in seconds.
"""

import abc
import heapq
import random
from typing import NamedTuple

from rackpost.decide import circuit_breaker
from rackpost.decide import length_histogram
from rackpost.decide import prefill_queue
from rackpost.decide import prefix
from rackpost.decide import slots
from rackpost.decide import transfer_queue
from rackpost.link import messages
from rackpost import types

# Weight of the newest sample in moving averages.
_EWMA_WEIGHT = 0.1


# Bounds the work lost if the probe after a failure fails too.
_MAX_PROBE_TOKENS = 1024


class EndpointSpec(NamedTuple):
    """Capacity of an endpoint, as its operator has configured it.

    The rates are initial estimates, which the ledger corrects from what it
    observes.  `max_prefills` bounds the queue of prefills, `chunk_tokens`
    is the size of the chunks of a long prefill.
    """

    role: types.Role
    slots: int = 20
    memory_tokens: int = 400_000
    max_prefills: int = 64
    prefill_tokens_s: float = 8000.0
    prefill_base_s: float = 0.01
    step_s: float = 0.03
    link_bytes_s: float = 2e9
    cache_blocks: int = 2048
    chunk_tokens: int = 1024


class ReservationTerms(NamedTuple):
    """A granted reservation.

    `ready_in_s` is when the prefill is done or the slot is free,
    `reuse_blocks` the number of prompt blocks that are already cached.
    """

    ready_in_s: float
    reuse_blocks: int


class EndpointLedger(abc.ABC):
    """Decides what an endpoint accepts and when it starts it."""

    def __init__(self, *, spec: EndpointSpec) -> None:
        self.spec = spec
        self.role = spec.role
        self.revision = types.Revision(0)
        self.leaving = False
        self.software = types.SoftwareVersion("")
        self.breaker = circuit_breaker.CircuitBreaker(rng=random.Random(0))

    @abc.abstractmethod
    def reserve(
        self, msg: messages.Reserve, key: slots.AttemptKey, now: float
    ) -> ReservationTerms | types.Refusal:
        """Reserve what `msg` requests, or return why it is refused."""

    @abc.abstractmethod
    def mark_ready(self, key: slots.AttemptKey) -> None:
        """Record that the input of reserved work arrived: it may start."""

    @abc.abstractmethod
    def next_start(self, now: float) -> slots.AttemptKey | None:
        """Take the reserved work that is to be started now, if any."""

    def chunk_tokens(self, key: slots.AttemptKey) -> int | None:
        """Return the tokens of a started prefill to run now; None: all."""
        return None

    def chunk_done(self, key: slots.AttemptKey) -> None:
        """Requeue a prefill after a chunk; `next_start` returns it again."""

    def wake_in_s(self, now: float) -> float | None:
        """Return after how many seconds to call `next_start`, if known."""
        return None

    def infeasible(self, now: float) -> list[slots.AttemptKey]:
        """Return reservations, not started, that can't be honoured."""
        return []

    @abc.abstractmethod
    def record_progress(
        self, key: slots.AttemptKey, done: int, step_s: float, now: float
    ) -> None:
        """Record that a decode has `done` tokens, the last in `step_s`."""

    @abc.abstractmethod
    def record_prefill(self, key: slots.AttemptKey, took_s: float) -> None:
        """Record how long a prefill took."""

    @abc.abstractmethod
    def release(
        self, key: slots.AttemptKey, now: float, *, completed: bool
    ) -> None:
        """Release all that an attempt holds, `completed` or not."""

    def engine_queue_s(self, now: float) -> float:
        """Return the seconds of work that are queued inside the engine."""
        return 0.0

    @abc.abstractmethod
    def load(self, now: float) -> messages.Load:
        """Return the load to report to entries."""


class ReservationLedger(EndpointLedger):
    """Accepts only work that is expected to meet its deadline."""

    def __init__(self, *, spec: EndpointSpec) -> None:
        super().__init__(spec=spec)
        self._slots = slots.SlotLedger(
            slots=spec.slots, memory_tokens=spec.memory_tokens
        )
        self._prefills = prefill_queue.PrefillQueue(max_jobs=spec.max_prefills)
        self._link = transfer_queue.TransferQueue(bytes_s=spec.link_bytes_s)
        self._lengths = length_histogram.LengthHistograms()
        self._cached = prefix.PrefixHints(max_blocks=spec.cache_blocks)
        self._requests: dict[slots.AttemptKey, messages.Reserve] = {}
        self._cost: dict[slots.AttemptKey, float] = {}
        self._ready: list[tuple[float, slots.AttemptKey]] = []
        self._deadlines: dict[slots.AttemptKey, float] = {}
        self._step_s = spec.step_s
        # Moving average of observed over configured prefill time.
        self._slowness = 1.0

    def reserve(
        self, msg: messages.Reserve, key: slots.AttemptKey, now: float
    ) -> ReservationTerms | types.Refusal:
        """Reserve a prefill, a decode slot or a call."""
        if self.leaving:
            return types.Refusal.LEAVING
        if msg.part is not self.role:
            return types.Refusal.WRONG_ROLE
        if not self._breaker_allows(msg, now):
            return types.Refusal.ENDPOINT_AVOIDED
        if key in self._requests:
            return types.Refusal.QUEUE_FULL
        if msg.part is types.Role.PREFILL:
            result = self._reserve_prefill(msg, key, now)
        else:
            result = self._reserve_slot(msg, key, now)
        if isinstance(result, ReservationTerms):
            self.breaker.record_attempt(now)
            self._requests[key] = msg
            self._deadlines[key] = now + msg.within_s
        return result

    def _breaker_allows(self, msg: messages.Reserve, now: float) -> bool:
        state = self.breaker.state(now)
        if state is circuit_breaker.State.HALF_OPEN:
            return msg.prompt_tokens <= _MAX_PROBE_TOKENS
        return state is circuit_breaker.State.CLOSED

    def _reserve_prefill(
        self, msg: messages.Reserve, key: slots.AttemptKey, now: float
    ) -> ReservationTerms | types.Refusal:
        reuse = self._cached.match(msg.blocks)
        uncached = max(1, msg.prompt_tokens - reuse * prefix.BLOCK_TOKENS)
        chunks = self._chunks(uncached)
        cost = self._prefill_cost_s(uncached, chunks)
        result = self._prefills.reserve(
            key=key,
            cost_s=cost,
            within_s=msg.within_s,
            urgent=msg.urgent_higher_density,
            denser=msg.higher_density,
            now=now,
            chunks=chunks,
        )
        if isinstance(result, types.Refusal):
            return result
        self._cost[key] = cost
        return ReservationTerms(result, reuse)

    def _chunks(self, tokens: int) -> int:
        size = self.spec.chunk_tokens
        return max(1, round(tokens / size)) if size else 1

    def _prefill_cost_s(self, tokens: int, chunks: int) -> float:
        spec = self.spec
        cost = chunks * spec.prefill_base_s + tokens / spec.prefill_tokens_s
        return cost * self._slowness

    def _reserve_slot(
        self, msg: messages.Reserve, key: slots.AttemptKey, now: float
    ) -> ReservationTerms | types.Refusal:
        link_wait = 0.0
        transfer = msg.kv_bytes / self.spec.link_bytes_s
        if msg.kv_bytes:
            result = self._link.reserve(
                key=key, size=msg.kv_bytes, within_s=msg.within_s, now=now
            )
            if isinstance(result, types.Refusal):
                return result
            link_wait = result - transfer
        slot_wait = self._slots.reserve(
            key=key,
            lengths=self._lengths.of(msg.service, msg.kind),
            limit=max(1, msg.max_tokens),
            memory=msg.prompt_tokens + msg.max_tokens,
            within_s=msg.within_s - transfer,
            step_s=self._step_s,
            urgent_rate=msg.urgent_higher_density,
            denser_rate=msg.higher_density,
            now=now,
        )
        if isinstance(slot_wait, types.Refusal):
            self._link.release(key)
            return slot_wait
        return ReservationTerms(max(slot_wait, link_wait), 0)

    def mark_ready(self, key: slots.AttemptKey) -> None:
        """Record that the prompt or the KV cache is available."""
        if key not in self._requests:
            return
        if self.role is types.Role.PREFILL:
            self._prefills.mark_ready(key)
        else:
            heapq.heappush(self._ready, (self._deadlines[key], key))

    def next_start(self, now: float) -> slots.AttemptKey | None:
        """Take the next prefill, decode or call to start, if any."""
        if self.role is types.Role.PREFILL:
            return self._next_prefill(now)
        while self._ready:
            key = self._ready[0][1]
            if key not in self._requests:
                heapq.heappop(self._ready)
                continue
            if not self._slots.may_start() or self._link_busy(now):
                return None
            heapq.heappop(self._ready)
            self._slots.start(key)
            self._link.start(key, now)
            return key
        return None

    def _link_busy(self, now: float) -> bool:
        # The first token shows the end of a transfer some steps late, so a
        # transfer that is due is taken as done unless it has stalled.
        return self._link.due_s(now) > 0.0 or self._link.stalled(now)

    def chunk_tokens(self, key: slots.AttemptKey) -> int | None:
        """Return the tokens of the started chunk; None: all that is left."""
        if self.role is types.Role.PREFILL and self._prefills.has_more_chunks(
            key
        ):
            return self.spec.chunk_tokens
        return None

    def chunk_done(self, key: slots.AttemptKey) -> None:
        """Requeue the rest of the prefill."""
        self._prefills.chunk_done(key)

    def _next_prefill(self, now: float) -> slots.AttemptKey | None:
        if self._prefills.running:
            return None
        return self._prefills.next_job(now)

    def wake_in_s(self, now: float) -> float | None:
        """Return when the running transfer is due, if others are ready."""
        busy = self._link.due_s(now)
        return busy if busy > 0.0 and self._ready else None

    def record_progress(
        self, key: slots.AttemptKey, done: int, step_s: float, now: float
    ) -> None:
        """Record a token and the time since the one before it."""
        self._slots.record_progress(key, done)
        if done == 1:
            self._link.release(key)
        elif step_s > 0.0:
            self._step_s += _EWMA_WEIGHT * 0.2 * (step_s - self._step_s)

    def infeasible(self, now: float) -> list[slots.AttemptKey]:
        """Return reservations to fail while another endpoint has time."""
        if self.role is types.Role.PREFILL:
            return self._prefills.infeasible(now)
        if self._link.stalled(now):
            # Includes those whose prefill still runs elsewhere.
            return self._slots.reserved()
        return []

    def record_prefill(self, key: slots.AttemptKey, took_s: float) -> None:
        """Record how long a prefill took and that its blocks are cached."""
        cost = self._cost.get(key)
        msg = self._requests.get(key)
        if cost is None or msg is None:
            return
        observed = self._slowness * took_s / cost
        self._slowness += _EWMA_WEIGHT * (observed - self._slowness)
        self._cached.add(msg.blocks)

    def release(
        self, key: slots.AttemptKey, now: float, *, completed: bool
    ) -> None:
        """Release all that the attempt holds; ignores unknown keys."""
        self._requests.pop(key, None)
        self._deadlines.pop(key, None)
        self._cost.pop(key, None)
        self._link.release(key)
        self._slots.release(key, completed=completed)
        self._prefills.release(key)

    def record_cache_events(
        self,
        stored: tuple[types.BlockHash, ...],
        removed: tuple[types.BlockHash, ...],
    ) -> None:
        """Record the blocks that the endpoint has cached and evicted."""
        self._cached.drop(removed)
        self._cached.add(stored)

    def load(self, now: float) -> messages.Load:
        """Return the endpoint's load, reservations included."""
        spec = self.spec
        slot_wait = self._slots.available_in_s(step_s=self._step_s, now=now)
        return messages.Load(
            role=self.role,
            revision=self.revision,
            leaving=self.leaving,
            avoided=self.breaker.state(now) is circuit_breaker.State.OPEN,
            slots=spec.slots,
            used=self._slots.used,
            free_in_s=slot_wait,
            backlog_s=self._prefills.backlog_s(now),
            link_backlog_s=self._link.backlog_s(now),
            step_s=self._step_s,
            prefill_tokens_s=spec.prefill_tokens_s / self._slowness,
            prefill_base_s=spec.prefill_base_s * self._slowness,
            link_bytes_s=spec.link_bytes_s,
            longest_job_s=self._longest_jobs_s(now),
            software=self.software,
        )

    def _longest_jobs_s(self, now: float) -> tuple[float, ...]:
        longest_job_s = self._link.longest_job_s
        if self.role is types.Role.PREFILL:
            longest_job_s = self._prefills.longest_job_s
        return tuple(longest_job_s(slack, now) for slack in messages.SLACKS_S)
