"""Simulates a model engine: slots, prefill, KV transfer, prefix cache.

The engine only waits as long as a real one would.  Its answers are derived
from the request, so that mixed-up, duplicated or truncated answers are
detected.  `testing.engine_http` serves it over HTTP.
"""

import asyncio
import collections
import hashlib
import heapq
import random
from typing import Any
from typing import AsyncGenerator

import msgspec

from rackpost.agent import engine
from rackpost.decide import prefix
from rackpost.decide import slots
from rackpost import exceptions
from rackpost import types


class EngineSpec(msgspec.Struct, frozen=True, kw_only=True):
    """The simulated engine's speeds and sizes: seconds, tokens, bytes.

    A decode step takes `step_s`, and `step_stream_s` for each stream.
    """

    slots: int = 20
    step_s: float = 0.018
    step_stream_s: float = 0.0006
    prefill_base_s: float = 0.01
    prefill_tokens_s: float = 8000.0
    kv_keep_s: float = 0.8
    kv_token_bytes: int = 100_000
    link_bytes_s: float = 4e9
    cache_blocks: int = 1024
    event_lag_s: float = 0.5
    event_loss: float = 0.05
    checks_fence: bool = True


class Ledger:
    """Counts the prefilled tokens and the runs of all engines of a test."""

    def __init__(self) -> None:
        self.prefilled: dict[slots.AttemptKey, int] = {}
        self.runs: collections.Counter[types.RequestId] = collections.Counter()

    def prefilled_for(self, req: types.RequestId) -> list[int]:
        """Return the tokens prefilled for a request, one item an attempt."""
        return [
            tokens for key, tokens in self.prefilled.items() if key.req == req
        ]


class _ExportedCache:
    """The KV cache of a prefill, kept until a decode engine imports it."""

    def __init__(self, *, key: slots.AttemptKey, size: int) -> None:
        self.key = key
        self.size = size
        self.expiry: asyncio.TimerHandle | None = None


class _Stream:
    """A request in the batch."""

    def __init__(self, *, key: slots.AttemptKey, tokens: list[str]) -> None:
        self.key = key
        self.tokens = tokens
        self.position = 0
        self.out: asyncio.Queue[str | Exception | None] = asyncio.Queue()


def prompt_of(body: bytes) -> bytes:
    """Return the prompt's text in an OpenAI request body."""
    req = msgspec.json.decode(body)
    if "messages" in req:
        parts = [str(msg.get("content", "")) for msg in req["messages"]]
        return "\n".join(parts).encode()
    return str(req.get("prompt", "")).encode()


def answer_to(body: bytes) -> list[str]:
    """Return the tokens that every engine generates for a request body.

    Their number is between 0.4 and 1 times the requested limit.
    """
    req = msgspec.json.decode(body)
    limit = int(req.get("max_tokens") or req.get("max_completion_tokens", 16))
    digest = hashlib.blake2b(prompt_of(body), digest_size=8).digest()
    share = 0.4 + 0.6 * digest[0] / 255
    count = max(1, min(limit, round(limit * share)))
    word = digest.hex()[:6]
    return [f"{word}.{idx} " for idx in range(count)]


class StandInEngine(engine.Engine):
    """A simulated model engine in this event loop."""

    def __init__(
        self,
        *,
        name: str,
        spec: EngineSpec,
        peers: dict[str, "StandInEngine"],
        rng: random.Random,
        ledger: Ledger | None = None,
    ) -> None:
        self.name = name
        self.spec = spec
        self.ledger = ledger or Ledger()
        self.slowness = 1.0
        self.dead = False
        self.software_version = types.SoftwareVersion("")
        self.fence = types.Fence(0)
        self.orders: list[str] = []
        self.link_free_at = 0.0
        self.link_up = asyncio.Event()
        self.link_up.set()
        self._peers = peers
        peers[name] = self
        self._rng = rng
        self._exported: dict[str, _ExportedCache] = {}
        self._prefills: list[tuple[int, int, slots.AttemptKey]] = []
        self._turns: dict[slots.AttemptKey, asyncio.Event] = {}
        self._prefilling: slots.AttemptKey | None = None
        self._order = 0
        self._waiting: collections.OrderedDict[
            slots.AttemptKey, asyncio.Event
        ] = collections.OrderedDict()
        self._occupied: set[slots.AttemptKey] = set()
        self._active: dict[slots.AttemptKey, _Stream] = {}
        self._stepper: asyncio.Task[None] | None = None
        self._cache = prefix.PrefixHints(max_blocks=spec.cache_blocks)
        self._events: list[tuple[float, tuple[types.BlockHash, ...]]] = []

    # Inspection and faults, for tests and the bench.

    def held(self) -> set[types.RequestId]:
        """Return the requests that occupy any memory."""
        kept = {item.key.req for item in self._exported.values()}
        taken = {key.req for key in self._occupied}
        return kept | taken | {key.req for key in self._turns}

    @property
    def streams_now(self) -> int:
        """The number of answers that are being streamed."""
        return len(self._active)

    def kill(self) -> None:
        """Simulate the engine's death: lose all state and fail all calls."""
        self.dead = True
        error = exceptions.EngineError("engine died")
        for strm in self._active.values():
            strm.out.put_nowait(error)
        self._active.clear()
        self._occupied.clear()
        self._exported.clear()
        for turn in [*self._turns.values(), *self._waiting.values()]:
            turn.set()

    def _check(self, *, ran: bool) -> None:
        if self.dead:
            raise exceptions.EngineError("engine is dead", ran=ran)

    # Prefill.

    async def prefill(
        self, *, key: slots.AttemptKey, body: bytes, priority: int
    ) -> engine.PrefillResult:
        """Wait for the prompt's turn, prefill it and keep its KV cache."""
        tokens, cached = await self._prefill(key, body, priority)
        return self._export(key, tokens, cached)

    async def warm(
        self, *, key: slots.AttemptKey, body: bytes, priority: int
    ) -> None:
        """Prefill a prompt without keeping its KV cache for export."""
        await self._prefill(key, body, priority)

    async def _prefill(
        self, key: slots.AttemptKey, body: bytes, priority: int
    ) -> tuple[int, int]:
        self._check(ran=False)
        prompt = prompt_of(body)
        try:
            await self._wait_for_prefill_turn(key, priority)
            return await self._prefill_now(key, prompt)
        finally:
            self._end_prefill_turn(key)

    async def _wait_for_prefill_turn(
        self, key: slots.AttemptKey, priority: int
    ) -> None:
        turn = asyncio.Event()
        self._turns[key] = turn
        self._order += 1
        heapq.heappush(self._prefills, (priority, self._order, key))
        self._start_next_prefill()
        await turn.wait()

    def _start_next_prefill(self) -> None:
        while self._prefilling is None and self._prefills:
            key = heapq.heappop(self._prefills)[2]
            turn = self._turns.get(key)
            if turn is not None:
                self._prefilling = key
                turn.set()

    def _end_prefill_turn(self, key: slots.AttemptKey) -> None:
        self._turns.pop(key, None)
        if self._prefilling == key:
            self._prefilling = None
        self._start_next_prefill()

    async def _prefill_now(
        self, key: slots.AttemptKey, prompt: bytes
    ) -> tuple[int, int]:
        self._check(ran=False)
        tokens = prefix.count_tokens(prompt)
        blocks = prefix.block_hashes(prompt)
        cached = self._cache.match(blocks) * prefix.BLOCK_TOKENS
        rest = max(1, tokens - cached)
        spent = self.spec.prefill_base_s + rest / self.spec.prefill_tokens_s
        spent_before = self.ledger.prefilled.get(key, 0)
        self.ledger.prefilled[key] = spent_before + rest
        await asyncio.sleep(spent * self.slowness)
        self._check(ran=True)
        self._cache.add(blocks)
        self._queue_event(blocks)
        return tokens, cached

    def _export(
        self, key: slots.AttemptKey, tokens: int, cached: int
    ) -> engine.PrefillResult:
        handle = f"{key.req}.{key.attempt}"
        item = _ExportedCache(key=key, size=tokens * self.spec.kv_token_bytes)
        loop = asyncio.get_running_loop()
        item.expiry = loop.call_later(
            self.spec.kv_keep_s, self._exported.pop, handle, None
        )
        self._exported[handle] = item
        kv = {"remote_engine_id": self.name, "remote_block_ids": [handle]}
        return engine.PrefillResult(kv=kv, cached_tokens=cached)

    def _queue_event(self, blocks: tuple[types.BlockHash, ...]) -> None:
        if self._rng.random() >= self.spec.event_loss:
            due = asyncio.get_running_loop().time() + self.spec.event_lag_s
            self._events.append((due, blocks))

    async def software(self) -> types.SoftwareVersion:
        """Return the version that a test has set."""
        return self.software_version

    async def events(self) -> engine.CacheEvents:
        """Return the cache events that are due; some are lost."""
        now = asyncio.get_running_loop().time()
        due = [blocks for at, blocks in self._events if at <= now]
        self._events = [item for item in self._events if item[0] > now]
        return engine.CacheEvents(stored=tuple(b for bs in due for b in bs))

    # Transfer.

    async def _import(self, kv: dict[str, Any]) -> None:
        peer = self._peers.get(str(kv.get("remote_engine_id")))
        handle = str((kv.get("remote_block_ids") or [""])[0])
        if peer is None or peer.dead:
            raise engine.TransferFailed("exporting engine is gone")
        item = peer._exported.get(handle)
        if item is None:
            raise engine.KvExpired("KV cache is no longer kept")
        if item.expiry is not None:
            item.expiry.cancel()
        try:
            await self._transfer(peer, item.size)
        finally:
            peer._exported.pop(handle, None)
        if peer.dead or self.dead:
            raise engine.TransferFailed("engine died in transfer")

    async def _transfer(self, peer: "StandInEngine", size: int) -> None:
        loop = asyncio.get_running_loop()
        await peer.link_up.wait()
        await self.link_up.wait()
        rate = min(self.spec.link_bytes_s, peer.spec.link_bytes_s)
        free = max(self.link_free_at, peer.link_free_at, loop.time())
        done = free + size / rate
        self.link_free_at = done
        peer.link_free_at = done
        await asyncio.sleep(done - loop.time())

    # Decode.

    async def decode(
        self,
        *,
        key: slots.AttemptKey,
        body: bytes,
        kv: dict[str, Any] | None,
        offset: int,
        priority: int,
    ) -> AsyncGenerator[str, None]:
        """Wait for a slot, import or compute the KV cache, stream tokens."""
        self._check(ran=False)
        self.ledger.runs[key.req] += 1
        strm = _Stream(key=key, tokens=answer_to(body))
        strm.position = offset
        try:
            await self._acquire_slot(key)
            if kv is not None:
                await self._import(kv)
            elif not offset:
                await self._prefill(key, body, priority)
            self._check(ran=True)
            self._add_to_batch(strm)
            while True:
                token = await strm.out.get()
                if token is None:
                    return
                if isinstance(token, Exception):
                    raise token
                yield token
        finally:
            self._release_slot(key)

    async def _acquire_slot(self, key: slots.AttemptKey) -> None:
        if len(self._occupied) >= self.spec.slots:
            turn = asyncio.Event()
            self._waiting[key] = turn
            await turn.wait()
            self._check(ran=True)
        self._occupied.add(key)

    def _release_slot(self, key: slots.AttemptKey) -> None:
        self._active.pop(key, None)
        self._waiting.pop(key, None)
        self._occupied.discard(key)
        free = self.spec.slots - len(self._occupied)
        while self._waiting and free > 0:
            _, turn = self._waiting.popitem(last=False)
            turn.set()
            free -= 1

    def _add_to_batch(self, strm: _Stream) -> None:
        self._active[strm.key] = strm
        if self._stepper is None or self._stepper.done():
            self._stepper = asyncio.create_task(self._steps())

    def step_s(self) -> float:
        """Return the duration of a step of the current batch, in seconds."""
        batch = self.spec.step_stream_s * len(self._active)
        return (self.spec.step_s + batch) * self.slowness

    async def _steps(self) -> None:
        while self._active:
            await asyncio.sleep(self.step_s())
            for strm in list(self._active.values()):
                self._generate_token(strm)

    def _generate_token(self, strm: _Stream) -> None:
        if strm.position < len(strm.tokens):
            strm.out.put_nowait(strm.tokens[strm.position])
            strm.position += 1
        if strm.position >= len(strm.tokens):
            self._active.pop(strm.key, None)
            strm.out.put_nowait(None)

    async def abort(self, *, key: slots.AttemptKey) -> None:
        """Abort a request in any state."""
        self._exported.pop(f"{key.req}.{key.attempt}", None)
        strm = self._active.pop(key, None)
        if strm is not None:
            strm.out.put_nowait(exceptions.EngineError("aborted"))
        self._release_slot(key)

    async def call(
        self, **_: Any
    ) -> AsyncGenerator[engine.CallHead | bytes, None]:
        """A model engine has no plain calls."""
        raise exceptions.EngineError("not a plain service", ran=False)
        yield b""  # This makes the function a generator.

    def order(self, *, fence: types.Fence, what: str) -> bool:
        """Accept an order, or refuse it if its fence is stale and checked."""
        if self.spec.checks_fence and fence < self.fence:
            return False
        self.fence = max(self.fence, fence)
        self.orders.append(what)
        return True
