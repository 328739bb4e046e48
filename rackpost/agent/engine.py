"""The interface of an agent to its endpoint, for any protocol."""

import abc
from typing import Any
from typing import AsyncGenerator

import msgspec

from rackpost.decide import slots
from rackpost import exceptions
from rackpost import types


class KvExpired(exceptions.EngineError):
    """The KV cache of the prefill has expired at its engine."""


class TransferFailed(exceptions.EngineError):
    """The KV cache could not be imported."""


class PrefillResult(msgspec.Struct, frozen=True, kw_only=True):
    """The handle of a prefill's KV cache, and the tokens reused for it."""

    kv: dict[str, Any]
    cached_tokens: int


class CacheEvents(msgspec.Struct, frozen=True, kw_only=True):
    """Blocks that were cached or evicted; some events may be missing."""

    stored: tuple[types.BlockHash, ...] = ()
    removed: tuple[types.BlockHash, ...] = ()


class CallHead(msgspec.Struct, frozen=True, kw_only=True):
    """Status and headers of a plain service's answer."""

    status: int
    headers: tuple[tuple[str, str], ...]


class Engine(abc.ABC):
    """A model engine or plain service behind an agent.

    Every method raises EngineError if the endpoint fails; the error's `ran`
    says whether the endpoint may have started the work.
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
        """Prefill a prompt into the prefix cache, without export."""

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
        """Import `kv` and stream the chunks of the answer.

        `offset` is the number of tokens that the caller already has.
        """

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
        """Call a plain service; yields the head, then chunks of the body."""

    async def software(self) -> types.SoftwareVersion:
        """Return the version of the engine's software, "" if not known."""
        return types.SoftwareVersion("")

    @abc.abstractmethod
    async def events(self) -> CacheEvents:
        """Return the cache events since the last call."""

    async def close(self) -> None:
        """Close all connections."""
