"""Differences between versions of the routing document.

Gateways receive changes, and the whole document only if they have none or if
their version is too old.  Pure: no input or output.
"""

from typing import Hashable
from typing import Iterable
from typing import Sequence
from typing import TypeVar
import zlib

import msgspec

from rackpost import exceptions
from rackpost.routing import model
from rackpost import types

# The base of a change that holds a whole document.
NO_BASE = 0

# The fastest level of zlib: documents compress to a tenth, and 4,200 routes
# take 4 ms of one core.
_COMPRESSION_LEVEL = 1
# Limit of a decompressed change, for hundreds of thousands of routes.
_MAX_DECOMPRESSED_BYTES = 64 << 20

_Key = TypeVar("_Key", bound=Hashable)
_Item = TypeVar("_Item")


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """A change from version `base` to `version`.

    With base `NO_BASE` it holds the whole document, also where a document of
    that version exists.

    `routes` and `organisations` are their numbers in the new version.
    """

    base: int
    version: int
    put: tuple[model.Route, ...]
    removed: tuple[model.RouteKey, ...]
    services: tuple[model.Service, ...]
    limits: model.Limits
    routes: int
    keys_required: bool = False
    put_organisations: tuple[model.Organisation, ...] = ()
    removed_organisations: tuple[types.OrganisationName, ...] = ()
    organisations: int = 0

    @property
    def size(self) -> int:
        """Number of routes and organisations in the change."""
        routes = len(self.put) + len(self.removed)
        put = len(self.put_organisations)
        return routes + put + len(self.removed_organisations)


def _by_key(
    routes: Iterable[model.Route],
) -> dict[model.RouteKey, model.Route]:
    return {route.key: route for route in routes}


def _by_name(
    organisations: Iterable[model.Organisation],
) -> dict[types.OrganisationName, model.Organisation]:
    return {item.name: item for item in organisations}


def from_empty(doc: model.Document) -> Change:
    """Return the change from no document to this one."""
    return Change(
        base=NO_BASE,
        version=doc.version,
        put=doc.routes,
        removed=(),
        services=doc.services,
        limits=doc.limits,
        routes=len(doc.routes),
        keys_required=doc.keys_required,
        put_organisations=doc.organisations,
        organisations=len(doc.organisations),
    )


def diff(old: model.Document, new: model.Document) -> Change:
    """Return the change from one document to another."""
    # Documents decoded one after the other share their equal routes.
    shared = {id(route) for route in old.routes}
    shared.intersection_update(id(route) for route in new.routes)
    before = _by_key(r for r in old.routes if id(r) not in shared)
    after = _by_key(r for r in new.routes if id(r) not in shared)
    put = tuple(r for key, r in after.items() if before.get(key) != r)
    old_organisations = _by_name(old.organisations)
    new_organisations = _by_name(new.organisations)
    return Change(
        base=old.version,
        version=new.version,
        put=put,
        removed=tuple(sorted(set(before).difference(after))),
        services=new.services,
        limits=new.limits,
        routes=len(new.routes),
        keys_required=new.keys_required,
        put_organisations=tuple(
            item
            for name, item in new_organisations.items()
            if old_organisations.get(name) != item
        ),
        removed_organisations=tuple(
            sorted(set(old_organisations).difference(new_organisations))
        ),
        organisations=len(new_organisations),
    )


def merge(steps: Sequence[Change]) -> Change:
    """Merge consecutive changes into one."""
    put: dict[model.RouteKey, model.Route] = {}
    removed: set[model.RouteKey] = set()
    put_organisations: dict[types.OrganisationName, model.Organisation] = {}
    removed_organisations: set[types.OrganisationName] = set()
    for step in steps:
        _merge_step(put, removed, _by_key(step.put), step.removed)
        _merge_step(
            put_organisations,
            removed_organisations,
            _by_name(step.put_organisations),
            step.removed_organisations,
        )
    last = steps[-1]
    return Change(
        base=steps[0].base,
        version=last.version,
        put=tuple(put.values()),
        removed=tuple(sorted(removed)),
        services=last.services,
        limits=last.limits,
        routes=last.routes,
        keys_required=last.keys_required,
        put_organisations=tuple(put_organisations.values()),
        removed_organisations=tuple(sorted(removed_organisations)),
        organisations=last.organisations,
    )


def _merge_step(
    put: dict[_Key, _Item],
    removed: set[_Key],
    step_put: dict[_Key, _Item],
    step_removed: Iterable[_Key],
) -> None:
    """Add one change's items to the merged `put` and `removed`."""
    for key in step_removed:
        put.pop(key, None)
        removed.add(key)
    put.update(step_put)
    removed.difference_update(step_put)


class _WireChange(Change, frozen=True, kw_only=True):
    """A change as it is encoded.

    MessagePack has no integers beyond 64 bits.  Versions, which have no
    limit, are encoded as decimal text where they are larger.
    """

    base: int | str  # type: ignore[assignment]
    version: int | str  # type: ignore[assignment]


_DECODER = msgspec.msgpack.Decoder(_WireChange)


def _version_to_wire(version: int) -> int | str:
    fits = model.MIN_INTEGER <= version <= model.MAX_INTEGER
    return version if fits else str(version)


def encode(change: Change) -> bytes:
    """Encode and compress a change.

    MessagePack in place of the links' CBOR: msgspec decodes it straight into
    structs, which shortens the pause of a gateway's event loop.
    """
    wire = msgspec.structs.replace(
        change,
        base=_version_to_wire(change.base),
        version=_version_to_wire(change.version),
    )
    return zlib.compress(msgspec.msgpack.encode(wire), _COMPRESSION_LEVEL)


def decode(data: bytes) -> Change:
    """Decode a change; raises RoutingError if `data` is malformed."""
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(data, _MAX_DECOMPRESSED_BYTES)
        if not decompressor.eof:
            raise exceptions.RoutingError("change is truncated or too large")
        wire = _DECODER.decode(raw)
        fields = msgspec.structs.asdict(wire)
        fields["base"] = int(wire.base)
        fields["version"] = int(wire.version)
        return Change(**fields)
    except (zlib.error, msgspec.MsgspecError, ValueError) as exc:
        raise exceptions.RoutingError(f"bad change: {exc}") from exc
