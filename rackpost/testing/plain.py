"""A simulated plain service, whose answers are derived from the call."""

import asyncio
import hashlib
from typing import Any
from typing import AsyncGenerator

from rackpost.agent import engine
from rackpost.decide import slots
from rackpost import exceptions
from rackpost.testing import engine as engine_testing

# Concurrent calls, and the duration of each.
SLOTS = 16
CALL_S = 0.01


def answer_to(method: str, path: str, query: str, body: bytes) -> bytes:
    """Return the response body for a call."""
    text = f"{method} {path}?{query} ".encode() + body
    return hashlib.blake2b(text, digest_size=16).hexdigest().encode()


class StandInPlain(engine.Engine):
    """A plain service within this event loop."""

    def __init__(self, *, ledger: engine_testing.Ledger) -> None:
        self.ledger = ledger
        self.dead = False
        self.slowness = 1.0
        self._capacity = asyncio.Semaphore(SLOTS)

    async def prefill(
        self, *, key: slots.AttemptKey, body: bytes, priority: int
    ) -> engine.PrefillResult:
        """A plain service has no prefill."""
        raise exceptions.EngineError("not a model engine", ran=False)

    async def warm(
        self, *, key: slots.AttemptKey, body: bytes, priority: int
    ) -> None:
        """A plain service has no prompts."""
        raise exceptions.EngineError("not a model engine", ran=False)

    async def decode(self, **_: Any) -> AsyncGenerator[str, None]:
        """A plain service does not decode."""
        raise exceptions.EngineError("not a model engine", ran=False)
        yield ""  # This makes the function a generator.

    async def abort(self, *, key: slots.AttemptKey) -> None:
        """Do nothing: no state outlives a call."""

    async def events(self) -> engine.CacheEvents:
        """A plain service caches no prompts."""
        return engine.CacheEvents()

    async def call(
        self,
        *,
        key: slots.AttemptKey,
        method: str,
        path: str,
        query: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> AsyncGenerator[engine.CallHead | bytes, None]:
        """Wait for the duration of a call, then answer."""
        if self.dead:
            raise exceptions.EngineError("service is down", ran=False)
        async with self._capacity:
            self.ledger.runs[key.req] += 1
            await asyncio.sleep(CALL_S * self.slowness)
        if self.dead:
            raise exceptions.EngineError("service died")
        kind = ("content-type", "text/plain")
        yield engine.CallHead(status=200, headers=(kind,))
        yield answer_to(method, path, query, body)
