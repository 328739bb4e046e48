"""What an agent needs of its endpoint, whatever protocol it speaks."""

import abc
from typing import Any
from typing import AsyncGenerator

import msgspec

from rackpost.decide import slots
from rackpost import exceptions
from rackpost import types


class KvExpired(exceptions.EngineError):
    """The prefill's result was no longer kept when it was asked for."""


class TransferFailed(exceptions.EngineError):
    """The KV cache could not be imported."""


class PrefillResult(msgspec.Struct, frozen=True, kw_only=True):
    """A prefill is done: where its KV cache lies, what was reused."""

    kv: dict[str, Any]
    cached_tokens: int


class CacheEvents(msgspec.Struct, frozen=True, kw_only=True):
    """Blocks that were cached or dropped; events may be missing."""

    stored: tuple[types.BlockHash, ...] = ()
    removed: tuple[types.BlockHash, ...] = ()


class CallHead(msgspec.Struct, frozen=True, kw_only=True):
    """The beginning of a plain service's answer."""

    status: int
    headers: tuple[tuple[str, str], ...]


class Engine(abc.ABC):
    """A model engine or plain service behind an agent.

    Every method raises EngineError where the endpoint fails; its `ran`
    tells whether the endpoint may have started the work.
    """

    @abc.abstractmethod
    async def prefill(
        self, *, key: slots.AttemptKey, body: bytes, priority: int
    ) -> PrefillResult:
        """Run a prefill and keep its KV cache for export."""

    @abc.abstractmethod
    async def warm(
        self, *, key: slots.AttemptKey, body: bytes, priority: int
    ) -> None:
        """Have a prompt's prefix cached; nothing is kept for export."""

    @abc.abstractmethod
    def decode(
        self,
        *,
        key: slots.AttemptKey,
        body: bytes,
        kv: dict[str, Any] | None,
        offset: int,
        priority: int,
    ) -> AsyncGenerator[str, None]:
        """Import `kv` and stream the pieces of the answer."""

    @abc.abstractmethod
    async def abort(self, *, key: slots.AttemptKey) -> None:
        """Stop the work of an attempt and free its memory."""

    @abc.abstractmethod
    def call(
        self,
        *,
        key: slots.AttemptKey,
        method: str,
        path: str,
        query: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> AsyncGenerator[CallHead | bytes, None]:
        """Call a plain service: the head first, then the body's parts."""

    @abc.abstractmethod
    async def events(self) -> CacheEvents:
        """Cache events since the last call."""

    async def close(self) -> None:
        """Let go of connections."""
