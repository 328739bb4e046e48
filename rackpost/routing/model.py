"""Routes, services and limits: one versioned document.

Operators replace the document whole; of two, the higher version holds.
Times are seconds.
"""

import enum
from typing import NamedTuple

import msgspec

from rackpost import types


class RouteKind(enum.Enum):
    """How a route's requests may be repeated, and how they are answered."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """A service that takes part of a route's requests."""

    service: types.ServiceName
    weight: float


class RouteKey(NamedTuple):
    """What no two routes of a document share; `host` in lower case."""

    host: str
    prefix: str


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one host under one path prefix.

    Attributes:
        timeout_s: the longest that a request may be held.
        target_s: an answer within this time is in time; for a stream, its
            first event.
        gap_s: the longest pause between two events that is in time.
        silence_s: a client leaves a stream that is silent for so long, be
            it before its first event; 0 where it waits to its deadline.
        priority: 0 goes first.
        max_attempts: endpoints that one request may be sent to.
        resumable: a broken stream may go on at another endpoint.
        public: whoever has no key is served as well.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    targets: tuple[Target, ...]
    target_s: float = 0.0
    gap_s: float = 0.0
    silence_s: float = 0.0
    priority: int = 5
    max_attempts: int = 1
    resumable: bool = False
    public: bool = False

    @property
    def key(self) -> RouteKey:
        """Where the route is found."""
        return RouteKey(self.host.lower(), self.prefix)

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE


class Engine(msgspec.Struct, frozen=True, kw_only=True):
    """What the endpoints of a model service can hold.

    Attributes:
        slots: requests that run at once.
        memory_tokens: tokens of KV cache that fit.
        event_tokens: tokens that one event of a stream holds.
        handle_ttl_s: how long a prefill's result is kept for the decode.
    """

    slots: int
    memory_tokens: int
    event_tokens: int
    handle_ttl_s: float


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A group of like endpoints; `engine` is None for a plain service."""

    name: types.ServiceName
    max_connections: int
    engine: Engine | None = None


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """What a client may send, and how long it may take or stay idle."""

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_s: float = 3.0
    idle_s: float = 15.0


class Quota(msgspec.Struct, frozen=True, kw_only=True):
    """How much an organisation may ask for, over all gateways together.

    Attributes:
        rate_per_s: units a second, above 0.
        burst: units on top of that.
        by_tokens: a request counts its prompt and the most that it may
            answer; otherwise, and where it names no sizes, `plain_units`.
    """

    rate_per_s: float
    burst: float = 0.0
    by_tokens: bool = False
    plain_units: int = 1


class Organisation(msgspec.Struct, frozen=True, kw_only=True):
    """Who callers belong to, by the digests of its keys.

    Attributes:
        priority: goes before that of a route; None leaves it to the route.
        quota: None is no limit.
    """

    name: types.OrganisationName
    keys: tuple[types.KeyDigest, ...]
    priority: int | None = None
    quota: Quota | None = None


class Document(msgspec.Struct, frozen=True, kw_only=True):
    """One version of all routes, and of who may use them.

    Without `keys_required` anybody may, and there are no organisations.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits
    keys_required: bool = False
    organisations: tuple[Organisation, ...] = ()
