"""All promises of one endpoint: slots, memory, prefills and transfers.

The agent asks its book before it does anything; it holds no promises of
its own.  Pure: times are readings of the agent's clock, in seconds.
"""

import abc
import heapq
import random
from typing import NamedTuple

from rackpost.decide import circuit_breaker
from rackpost.decide import lengths
from rackpost.decide import link_budget
from rackpost.decide import prefill_queue
from rackpost.decide import prefix
from rackpost.decide import slots
from rackpost.link import messages
from rackpost import types

# Weight of the newest observation in the moving averages.
_NEW = 0.1


# An endpoint that failed is tried with prompts of at most this length.
_TRIAL_TOKENS = 1024


class EndpointSpec(NamedTuple):
    """What an endpoint can do, as its operator has stated it.

    The rates are only where learning starts: the book follows what it
    sees.
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
    """What was promised: ready in so many seconds, blocks reused."""

    ready_in_s: float
    reuse_blocks: int


class EndpointLedger(abc.ABC):
    """The decisions of an agent about its endpoint."""

    def __init__(self, *, spec: EndpointSpec) -> None:
        self.spec = spec
        self.role = spec.role
        self.revision = types.Revision(0)
        self.leaving = False
        self.health = circuit_breaker.CircuitBreaker(rng=random.Random(0))

    @abc.abstractmethod
    def reserve(
        self, msg: messages.Reserve, key: slots.AttemptKey, now: float
    ) -> ReservationTerms | types.Refusal:
        """Promise the part that `msg` asks for, or say why not."""

    @abc.abstractmethod
    def mark_ready(self, key: slots.AttemptKey) -> None:
        """What the promised part needs has arrived: it may start."""

    @abc.abstractmethod
    def next_start(self, now: float) -> slots.AttemptKey | None:
        """Take the promised part that is to be started now, if any."""

    def chunk_tokens(self, key: slots.AttemptKey) -> int | None:
        """How many tokens of a started prefill to run now; None: all."""
        return None

    def chunk_done(self, key: slots.AttemptKey) -> None:
        """A part of a prefill is done; `next_start` gives it again."""

    def wake_in_s(self, now: float) -> float | None:
        """When `next_start` may have something without any message."""
        return None

    def infeasible(self, now: float) -> list[slots.AttemptKey]:
        """Promised parts, not begun, that can't be kept any more."""
        return []

    @abc.abstractmethod
    def record_progress(
        self, key: slots.AttemptKey, done: int, step_s: float, now: float
    ) -> None:
        """A decode has made `done` tokens, the last in `step_s`."""

    @abc.abstractmethod
    def record_prefill(self, key: slots.AttemptKey, took_s: float) -> None:
        """A prefill took this long."""

    @abc.abstractmethod
    def release(
        self, key: slots.AttemptKey, now: float, *, completed: bool
    ) -> None:
        """The attempt is over here, `completed` or not."""

    def engine_queue_s(self, now: float) -> float:
        """Seconds of work that wait within the engine itself."""
        return 0.0

    @abc.abstractmethod
    def load(self, now: float) -> messages.Load:
        """What to tell entries."""


class ReservationLedger(EndpointLedger):
    """The product's book: no work without a promise it can keep."""

    def __init__(self, *, spec: EndpointSpec) -> None:
        super().__init__(spec=spec)
        self._slots = slots.SlotLedger(
            slots=spec.slots, memory_tokens=spec.memory_tokens
        )
        self._queue = prefill_queue.PrefillQueue(max_jobs=spec.max_prefills)
        self._link = link_budget.LinkBudget(bytes_s=spec.link_bytes_s)
        self._models = lengths.LengthModels()
        self._cached = prefix.PrefixHints(max_blocks=spec.cache_blocks)
        self._asked: dict[slots.AttemptKey, messages.Reserve] = {}
        self._cost: dict[slots.AttemptKey, float] = {}
        self._ready: list[tuple[float, slots.AttemptKey]] = []
        self._due: dict[slots.AttemptKey, float] = {}
        self._step_s = spec.step_s
        # Observed over stated time of prefills; follows a slow engine.
        self._slowness = 1.0

    def reserve(
        self, msg: messages.Reserve, key: slots.AttemptKey, now: float
    ) -> ReservationTerms | types.Refusal:
        """Promise a prefill, a decode slot, or a call."""
        if self.leaving:
            return types.Refusal.LEAVING
        if msg.part is not self.role:
            return types.Refusal.WRONG_ROLE
        if not self._sound_for(msg, now):
            return types.Refusal.ENDPOINT_AVOIDED
        if key in self._asked:
            return types.Refusal.QUEUE_FULL
        if msg.part is types.Role.PREFILL:
            made = self._promise_prefill(msg, key, now)
        else:
            made = self._promise_slot(msg, key, now)
        if isinstance(made, ReservationTerms):
            self.health.record_attempt(now)
            self._asked[key] = msg
            self._due[key] = now + msg.within_s
        return made

    def _sound_for(self, msg: messages.Reserve, now: float) -> bool:
        state = self.health.state(now)
        if state is circuit_breaker.State.HALF_OPEN:
            # A trial that fails costs its prefill: let it be a short one.
            return msg.prompt_tokens <= _TRIAL_TOKENS
        return state is circuit_breaker.State.CLOSED

    def _promise_prefill(
        self, msg: messages.Reserve, key: slots.AttemptKey, now: float
    ) -> ReservationTerms | types.Refusal:
        reuse = self._cached.match(msg.blocks)
        rest = max(1, msg.prompt_tokens - reuse * prefix.BLOCK_TOKENS)
        parts = self._parts(rest)
        cost = self._prefill_cost(rest, parts)
        done = self._queue.promise(
            key=key,
            cost_s=cost,
            within_s=msg.within_s,
            urgent=msg.urgent,
            denser=msg.denser,
            now=now,
            parts=parts,
        )
        if isinstance(done, types.Refusal):
            return done
        self._cost[key] = cost
        return ReservationTerms(done, reuse)

    def _parts(self, tokens: int) -> int:
        segment = self.spec.chunk_tokens
        return max(1, round(tokens / segment)) if segment else 1

    def _prefill_cost(self, tokens: int, parts: int) -> float:
        spec = self.spec
        cost = parts * spec.prefill_base_s + tokens / spec.prefill_tokens_s
        return cost * self._slowness

    def _promise_slot(
        self, msg: messages.Reserve, key: slots.AttemptKey, now: float
    ) -> ReservationTerms | types.Refusal:
        link = 0.0
        transfer = msg.kv_bytes / self.spec.link_bytes_s
        if msg.kv_bytes:
            made = self._link.promise(
                key=key, size=msg.kv_bytes, within_s=msg.within_s, now=now
            )
            if isinstance(made, types.Refusal):
                return made
            link = made - transfer
        wait = self._slots.promise(
            key=key,
            model=self._models.of(msg.service, msg.kind),
            limit=max(1, msg.max_tokens),
            memory=msg.prompt_tokens + msg.max_tokens,
            within_s=msg.within_s - transfer,
            step_s=self._step_s,
            urgent_rate=msg.urgent,
            denser_rate=msg.denser,
            now=now,
        )
        if isinstance(wait, types.Refusal):
            self._link.end(key)
            return wait
        return ReservationTerms(max(wait, link), 0)

    def mark_ready(self, key: slots.AttemptKey) -> None:
        """The prompt, or the KV cache, of a promised part is there."""
        if key not in self._asked:
            return
        if self.role is types.Role.PREFILL:
            self._queue.ready(key)
        else:
            heapq.heappush(self._ready, (self._due[key], key))

    def next_start(self, now: float) -> slots.AttemptKey | None:
        """Take the next prefill, decode or call to hand over, if any."""
        if self.role is types.Role.PREFILL:
            return self._next_prefill(now)
        while self._ready:
            key = self._ready[0][1]
            if key not in self._asked:
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
        # The end of a transfer shows some steps late, in the first token;
        # by then the next one should be moving.
        return self._link.due_s(now) > 0.0 or self._link.stalled(now)

    def chunk_tokens(self, key: slots.AttemptKey) -> int | None:
        """The tokens of the part that was started; None: all the rest."""
        if self.role is types.Role.PREFILL and self._queue.in_part(key):
            return self.spec.chunk_tokens
        return None

    def chunk_done(self, key: slots.AttemptKey) -> None:
        """Put the rest of the prefill back into the queue."""
        self._queue.part_done(key)

    def _next_prefill(self, now: float) -> slots.AttemptKey | None:
        if self._queue.running:
            return None
        return self._queue.next_job(now)

    def wake_in_s(self, now: float) -> float | None:
        """When the transfer that moves should be done, if one waits."""
        busy = self._link.due_s(now)
        return busy if busy > 0.0 and self._ready else None

    def record_progress(
        self, key: slots.AttemptKey, done: int, step_s: float, now: float
    ) -> None:
        """Take in a token and the time since the one before it."""
        self._slots.progress(key, done)
        if done == 1:
            self._link.end(key)
        elif step_s > 0.0:
            self._step_s += _NEW * 0.2 * (step_s - self._step_s)

    def infeasible(self, now: float) -> list[slots.AttemptKey]:
        """Promises to give back while there is time for another try."""
        if self.role is types.Role.PREFILL:
            return self._queue.late(now)
        if self._link.stalled(now):
            # Also those whose prefill still runs: it can be stopped.
            return self._slots.promised()
        return []

    def record_prefill(self, key: slots.AttemptKey, took_s: float) -> None:
        """Take in how long a prefill took."""
        cost = self._cost.get(key)
        msg = self._asked.get(key)
        if cost is None or msg is None:
            return
        seen = self._slowness * took_s / cost
        self._slowness += _NEW * (seen - self._slowness)
        self._cached.add(msg.blocks)

    def release(
        self, key: slots.AttemptKey, now: float, *, completed: bool
    ) -> None:
        """Let go of everything the attempt holds here."""
        self._asked.pop(key, None)
        self._due.pop(key, None)
        self._cost.pop(key, None)
        self._link.end(key)
        self._slots.end(key, whole=completed)
        self._queue.end(key)

    def record_cache_events(
        self,
        stored: tuple[types.BlockHash, ...],
        removed: tuple[types.BlockHash, ...],
    ) -> None:
        """The endpoint says what it cached and dropped, late."""
        self._cached.drop(removed)
        self._cached.add(stored)

    def load(self, now: float) -> messages.Load:
        """The endpoint's load as its promises stand."""
        spec = self.spec
        wait = self._slots.free_in(step_s=self._step_s, now=now)
        return messages.Load(
            role=self.role,
            revision=self.revision,
            leaving=self.leaving,
            avoided=self.health.state(now) is circuit_breaker.State.OPEN,
            slots=spec.slots,
            used=self._slots.used,
            free_in_s=wait,
            backlog_s=self._queue.backlog_s(now),
            link_backlog_s=self._link.backlog_s(now),
            step_s=self._step_s,
            prefill_tokens_s=spec.prefill_tokens_s / self._slowness,
            prefill_base_s=spec.prefill_base_s * self._slowness,
            link_bytes_s=spec.link_bytes_s,
            room_s=self._room_s(now),
        )

    def _room_s(self, now: float) -> tuple[float, ...]:
        room_s = self._link.room_s
        if self.role is types.Role.PREFILL:
            room_s = self._queue.room_s
        return tuple(room_s(slack, now) for slack in messages.ROOM_SLACKS_S)
