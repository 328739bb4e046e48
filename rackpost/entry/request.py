"""A caller's request, and the events of its answer."""

from typing import Union

import msgspec

from rackpost.state import terms as terms_mod
from rackpost import types


class PlainCall(msgspec.Struct, frozen=True, kw_only=True):
    """The parts of a call that a plain service receives, but its body."""

    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """A request, validated, with the terms of its kind.

    Attributes:
        body: what the endpoint receives.
        claim: claim key of a request that may not be freely repeated.
        plain: the call, for a plain service; None for a model.
        parts: digests of the parts of the prompt that others may share.
    """

    req: types.RequestId
    caller: types.CallerId
    service: types.ServiceName
    kind: types.KindName
    terms: terms_mod.Terms
    body: bytes
    prompt_tokens: int = 0
    max_tokens: int = 0
    blocks: tuple[types.BlockHash, ...] = ()
    kv_bytes: int = 0
    claim: types.ClaimKey | None = None
    plain: PlainCall | None = None
    parts: tuple[types.Fingerprint, ...] = ()


class TextChunk(msgspec.Struct, frozen=True, kw_only=True):
    """The text of the next token of a model's answer."""

    text: str


class PlainHead(msgspec.Struct, frozen=True, kw_only=True):
    """The status and headers of a plain service's answer."""

    status: int
    headers: tuple[tuple[str, str], ...]


class PlainChunk(msgspec.Struct, frozen=True, kw_only=True):
    """The next chunk of a plain service's answer body."""

    data: bytes


class End(msgspec.Struct, frozen=True, kw_only=True):
    """The last event of every request.

    `retry_in_s` is sent to the caller as Retry-After.
    """

    outcome: types.Outcome
    reason: types.Refusal | types.Failure | None = None
    retry_in_s: float | None = None
    tokens: int = 0


Event = Union[TextChunk, PlainHead, PlainChunk, End]
