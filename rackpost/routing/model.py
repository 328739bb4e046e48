"""The routing document: routes, services, limits and organisations.

Operators replace the whole document; the highest version counts.  Times are
in seconds.
"""

import enum
from typing import NamedTuple

import msgspec

from rackpost import types

# Range of the integers in a document, apart from its version, which has no
# limit.  MessagePack, in which gateways receive changes, has no larger ones.
MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**63 - 1


class RouteKind(enum.Enum):
    """How requests of a route may be repeated and are answered."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """A service that receives a share of a route's requests."""

    service: types.ServiceName
    weight: float


class RouteKey(NamedTuple):
    """Unique key of a route; `host` is in lower case."""

    host: str
    prefix: str


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Requests to one host under one path prefix.

    Attributes:
        timeout_s: deadline of a request.
        target_s: target latency of an answer; of the first event of a stream.
        gap_s: target pause between two events of a stream.
        silence_s: clients give a stream up after a pause of this length, also
            before its first event; 0 if they wait until the deadline.
        priority: 0 has precedence.
        max_attempts: number of endpoints that one request may be sent to.
        resumable: a broken stream may be resumed at another endpoint.
        public: requests without a key are served too.
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
        """The route's unique key."""
        return RouteKey(self.host.lower(), self.prefix)

    @property
    def services(self) -> set[types.ServiceName]:
        """The services that requests may go to."""
        return {item.service for item in self.targets if item.weight > 0.0}

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE


class Engine(msgspec.Struct, frozen=True, kw_only=True):
    """Capacity of the endpoints of a model service.

    Attributes:
        slots: requests that run at once.
        memory_tokens: size of the KV cache, in tokens.
        event_tokens: tokens in one event of a stream.
        handle_ttl_s: how long a prefill result is kept for decode.
        hold_s: longest time for which capacity can be set aside at an
            endpoint; 0 if it can't.
    """

    slots: int
    memory_tokens: int
    event_tokens: int
    handle_ttl_s: float
    hold_s: float = 0.0


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A group of equal endpoints; `engine` is None for a plain service."""

    name: types.ServiceName
    max_connections: int
    engine: Engine | None = None


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on clients' requests and connections."""

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_s: float = 3.0
    idle_s: float = 15.0


class Quota(msgspec.Struct, frozen=True, kw_only=True):
    """Rate limit of an organisation, over all gateways together.

    Attributes:
        rate_per_s: units a second, above 0.
        burst: additional units at once.
        by_tokens: a request costs the tokens of its prompt and of its longest
            answer; `plain_units` if it names no sizes or if this is False.
    """

    rate_per_s: float
    burst: float = 0.0
    by_tokens: bool = False
    plain_units: int = 1


class Organisation(msgspec.Struct, frozen=True, kw_only=True):
    """A group of callers, identified by the digests of its keys.

    Attributes:
        priority: overrides that of the route; None leaves it to the route.
        quota: None is no limit.
    """

    name: types.OrganisationName
    keys: tuple[types.KeyDigest, ...]
    priority: int | None = None
    quota: Quota | None = None


class Document(msgspec.Struct, frozen=True, kw_only=True):
    """One version of all routes and of the organisations that may use them.

    Without `keys_required` every caller may use them, and there are no
    organisations.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits
    keys_required: bool = False
    organisations: tuple[Organisation, ...] = ()
