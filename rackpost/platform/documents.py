"""Decodes the operators' routing document into `routing.model`."""

import functools
import typing

import msgspec

from rackpost import exceptions
from rackpost.platform import keys as keys_mod
from rackpost.routing import check
from rackpost.routing import model
from rackpost import types

_MS = 1000.0
# The platform's kinds; any other kind is treated as unsafe.
_KINDS = {
    "safe": model.RouteKind.SAFE,
    "streaming": model.RouteKind.STREAM,
}


# Clients give a stream up after a pause of the longest of these: a time in
# seconds, and multiples of the route's target latency and target gap.
_SILENCE_S = 2.0
_SILENCE_TARGETS = 4.0
_SILENCE_GAPS = 8.0


class _Target(msgspec.Struct, kw_only=True):
    service: str
    weight: float


class _Route(msgspec.Struct, kw_only=True, rename="camel"):
    name: str
    hostname: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 0.0
    target_gap_ms: float = 0.0
    priority: int = 5
    max_attempts: int = 1
    resumable: bool = False
    public: bool = False
    service: str | None = None
    traffic_split: list[_Target] | None = None


class _Engine(msgspec.Struct, kw_only=True, rename="camel"):
    slots: int = 1
    kv_capacity_tokens: int = 0
    # Tokens in one event of a stream.
    stride: int = 1
    # In seconds.
    handle_ttl_s: float = msgspec.field(default=0.0, name="handleTtlS")
    hold_ms: float = 0.0


class _Service(msgspec.Struct, kw_only=True, rename="camel"):
    name: str
    max_connections: int = 64
    engine: _Engine | None = None


class _Limits(msgspec.Struct, kw_only=True, rename="camel"):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _Organisation(msgspec.Struct, kw_only=True, rename="camel"):
    name: str
    api_keys: list[str]
    priority: int | None = None
    unit: str = ""
    plain_tokens: int = 1
    # Units a second; 0 is no limit.
    rate_per_s: float = 0.0
    burst: float = 0.0


class _Document(msgspec.Struct, kw_only=True):
    version: int
    routes: list[msgspec.Raw]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    organisations: list[msgspec.Raw] | None = msgspec.field(
        default=None, name="tenants"
    )


_Wire = typing.TypeVar("_Wire", bound=msgspec.Struct)


@functools.cache
def _integer_fields(
    kind: type[msgspec.Struct],
) -> tuple[msgspec.structs.FieldInfo, ...]:
    return tuple(
        field
        for field in msgspec.structs.fields(kind)
        if int in (field.type, *typing.get_args(field.type))
    )


class _IntegerRange:
    """Keeps integers within the range that all processes can hold.

    Attributes:
        clamp: integers outside are set to the nearest one in the range;
            otherwise they make a document invalid.
        clamped: whether there was one.
    """

    def __init__(self, *, clamp: bool) -> None:
        self.clamp = clamp
        self.clamped = False

    def apply(self, item: _Wire, owner: str) -> _Wire:
        """Return an item whose integers are all in range.

        Raises RoutingError, which names the field of `owner`.
        """
        found: dict[str, int] = {}
        for field in _integer_fields(type(item)):
            value = getattr(item, field.name)
            if value is None:
                continue
            nearest = max(model.MIN_INTEGER, min(model.MAX_INTEGER, value))
            if nearest == value:
                continue
            if not self.clamp:
                raise exceptions.RoutingError(
                    f"{owner}: {field.encode_name} must be from "
                    f"{model.MIN_INTEGER} to {model.MAX_INTEGER}"
                )
            found[field.name] = nearest
        if not found:
            return item
        self.clamped = True
        return msgspec.structs.replace(item, **found)


_DECODER = msgspec.json.Decoder(_Document)
_ROUTE_DECODER = msgspec.json.Decoder(_Route)
_ORGANISATION_DECODER = msgspec.json.Decoder(_Organisation)
_MAX_UNITS = float(model.MAX_INTEGER)
# Quotas in this unit count tokens; all others count requests.
_TOKENS_UNIT = "token_stream"


class IncrementalDecoder:
    """Decodes a sequence of similar documents.

    Routes and organisations whose text is the same as in the last document
    are reused, so that only the changed ones are decoded.
    """

    def __init__(self) -> None:
        self._known_routes: dict[bytes, model.Route] = {}
        self._known_organisations: dict[bytes, model.Organisation] = {}

    def decode(self, text: bytes) -> model.Document:
        """Decode and validate a document; raises RoutingError."""
        try:
            # The decoder skips the texts of unknown fields unread.
            text.decode("utf-8")
        except UnicodeDecodeError as exc:
            raise exceptions.RoutingError(f"bad document: {exc}") from exc
        return self._decode(text, _IntegerRange(clamp=False))

    def decode_committed(self, text: bytes) -> model.Document:
        """Decode a document that has been acknowledged.

        Releases that have no range for integers accept those outside of it.
        They are clamped, so that the document can be put in force.

        Raises RoutingError.
        """
        return self._decode(text, _IntegerRange(clamp=True))

    def _decode(self, text: bytes, integers: _IntegerRange) -> model.Document:
        try:
            wire = _DECODER.decode(text)
            routes = [
                self._decode_route(bytes(raw), integers) for raw in wire.routes
            ]
            raw_organisations = wire.organisations or []
            organisations = [
                self._decode_organisation(bytes(raw), integers)
                for raw in raw_organisations
            ]
        except exceptions.DECODE_ERRORS as exc:
            raise exceptions.RoutingError(f"bad document: {exc}") from exc
        limits = integers.apply(wire.limits, "limits")
        doc = model.Document(
            version=wire.version,
            routes=tuple(routes),
            services=tuple(_service(item, integers) for item in wire.services),
            limits=model.Limits(
                header_bytes=limits.max_header_bytes,
                body_bytes=limits.max_body_bytes,
                header_s=limits.header_timeout_ms / _MS,
                idle_s=limits.idle_timeout_ms / _MS,
            ),
            keys_required=wire.organisations is not None,
            organisations=tuple(organisations),
        )
        check.check(doc)
        if not integers.clamped:
            # A clamped item must not pass for a valid one later.
            self._known_routes = dict(zip(map(bytes, wire.routes), routes))
            self._known_organisations = dict(
                zip(map(bytes, raw_organisations), organisations)
            )
        return doc

    def _decode_route(
        self, raw: bytes, integers: _IntegerRange
    ) -> model.Route:
        known = self._known_routes.get(raw)
        if known is not None:
            return known
        wire = _ROUTE_DECODER.decode(raw)
        return _route(integers.apply(wire, f"route {wire.name}"))

    def _decode_organisation(
        self, raw: bytes, integers: _IntegerRange
    ) -> model.Organisation:
        known = self._known_organisations.get(raw)
        if known is not None:
            return known
        wire = _ORGANISATION_DECODER.decode(raw)
        return _organisation(integers.apply(wire, f"organisation {wire.name}"))


def decode(text: bytes) -> model.Document:
    """Decode and validate a document; raises RoutingError."""
    return IncrementalDecoder().decode(text)


def _route(wire: _Route) -> model.Route:
    return model.Route(
        name=wire.name,
        host=wire.hostname,
        prefix=wire.path_prefix,
        kind=_KINDS.get(wire.kind, model.RouteKind.UNSAFE),
        timeout_s=wire.timeout_ms / _MS,
        target_s=wire.target_latency_ms / _MS,
        gap_s=wire.target_gap_ms / _MS,
        silence_s=_silence_s(wire),
        priority=wire.priority,
        max_attempts=max(1, wire.max_attempts),
        resumable=wire.resumable,
        public=wire.public,
        targets=_targets(wire),
    )


def _silence_s(wire: _Route) -> float:
    if _KINDS.get(wire.kind) is not model.RouteKind.STREAM:
        return 0.0
    return max(
        _SILENCE_S,
        _SILENCE_TARGETS * wire.target_latency_ms / _MS,
        _SILENCE_GAPS * wire.target_gap_ms / _MS,
    )


def _targets(wire: _Route) -> tuple[model.Target, ...]:
    if wire.traffic_split is not None:
        return tuple(
            model.Target(
                service=types.ServiceName(item.service), weight=item.weight
            )
            for item in wire.traffic_split
        )
    if wire.service is None:
        raise exceptions.RoutingError(f"route {wire.name} names no service")
    target = model.Target(service=types.ServiceName(wire.service), weight=1)
    return (target,)


def _service(wire: _Service, integers: _IntegerRange) -> model.Service:
    owner = f"service {wire.name}"
    wire = integers.apply(wire, owner)
    engine = None
    if wire.engine is not None:
        sizes = integers.apply(wire.engine, owner)
        engine = model.Engine(
            slots=sizes.slots,
            memory_tokens=sizes.kv_capacity_tokens,
            event_tokens=sizes.stride,
            handle_ttl_s=sizes.handle_ttl_s,
            hold_s=sizes.hold_ms / _MS,
        )
    return model.Service(
        name=types.ServiceName(wire.name),
        max_connections=wire.max_connections,
        engine=engine,
    )


def _organisation(wire: _Organisation) -> model.Organisation:
    # An empty key is refused by the validation of the document, whose errors
    # contain no keys.
    return model.Organisation(
        name=types.OrganisationName(wire.name),
        keys=tuple(keys_mod.digest(key.encode()) for key in wire.api_keys),
        priority=wire.priority,
        quota=_quota(wire),
    )


def _quota(wire: _Organisation) -> model.Quota | None:
    if wire.rate_per_s == 0.0:
        return None
    # Larger ones are no limit either, and their sums may not be finite.
    return model.Quota(
        rate_per_s=min(wire.rate_per_s, _MAX_UNITS),
        burst=min(wire.burst, _MAX_UNITS),
        by_tokens=wire.unit == _TOKENS_UNIT,
        plain_units=wire.plain_tokens,
    )
