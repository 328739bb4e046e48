"""A request as the entry serves it, and what comes out for it."""

from typing import Union

import msgspec

from rackpost.state import terms as terms_mod
from rackpost import types


class PlainCall(msgspec.Struct, frozen=True, kw_only=True):
    """What is passed on to a plain service."""

    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """One request of one caller.

    `plain` is None for a model's request.  `body` is passed on as it is.
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


class TextChunk(msgspec.Struct, frozen=True, kw_only=True):
    """The next piece of a model's answer."""

    text: str


class PlainHead(msgspec.Struct, frozen=True, kw_only=True):
    """The head of a plain service's answer."""

    status: int
    headers: tuple[tuple[str, str], ...]


class PlainChunk(msgspec.Struct, frozen=True, kw_only=True):
    """The next part of a plain service's body."""

    data: bytes


class End(msgspec.Struct, frozen=True, kw_only=True):
    """The last event of every request.

    `retry_in_s` tells the caller when it makes sense to come back.
    """

    outcome: types.Outcome
    reason: types.Refusal | types.Failure | None = None
    retry_in_s: float | None = None
    tokens: int = 0


Event = Union[TextChunk, PlainHead, PlainChunk, End]
