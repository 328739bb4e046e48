"""What leads from one version of the routing document to another.  Pure.

A change costs what it changes: gateways are sent changes, and whole
documents only where they have none or one that nobody remembers.
"""

from typing import Iterable
from typing import Sequence
import zlib

import msgspec

from rackpost import exceptions
from rackpost.routing import model

# Documents compress to a tenth; the fastest level takes 4 ms of one core
# for 4,200 routes.
_LEVEL = 1
# The longest that an encoded change may become when it is unpacked, in
# bytes: some hundred thousand routes.
_MAX_UNPACKED = 64 << 20


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """From the version `base` to `version`; a base of 0 is no document.

    `routes` is how many routes the document has afterwards.
    """

    base: int
    version: int
    put: tuple[model.Route, ...]
    removed: tuple[model.RouteKey, ...]
    services: tuple[model.Service, ...]
    limits: model.Limits
    routes: int

    @property
    def size(self) -> int:
        """How many routes it names."""
        return len(self.put) + len(self.removed)


def _by_key(
    routes: Iterable[model.Route],
) -> dict[model.RouteKey, model.Route]:
    return {route.key: route for route in routes}


def whole(doc: model.Document) -> Change:
    """From no document to this one."""
    return Change(
        base=0,
        version=doc.version,
        put=doc.routes,
        removed=(),
        services=doc.services,
        limits=doc.limits,
        routes=len(doc.routes),
    )


def between(old: model.Document, new: model.Document) -> Change:
    """From one document to another."""
    # Documents that are read one after the other share what is the same.
    kept = {id(route) for route in old.routes}
    kept.intersection_update(id(route) for route in new.routes)
    before = _by_key(r for r in old.routes if id(r) not in kept)
    after = _by_key(r for r in new.routes if id(r) not in kept)
    put = tuple(r for key, r in after.items() if before.get(key) != r)
    return Change(
        base=old.version,
        version=new.version,
        put=put,
        removed=tuple(sorted(set(before).difference(after))),
        services=new.services,
        limits=new.limits,
        routes=len(new.routes),
    )


def joined(steps: Sequence[Change]) -> Change:
    """One change in place of several, each of which follows the last."""
    put: dict[model.RouteKey, model.Route] = {}
    removed: set[model.RouteKey] = set()
    for step in steps:
        for key in step.removed:
            put.pop(key, None)
            removed.add(key)
        put.update(_by_key(step.put))
        removed.difference_update(route.key for route in step.put)
    last = steps[-1]
    return Change(
        base=steps[0].base,
        version=last.version,
        put=tuple(put.values()),
        removed=tuple(sorted(removed)),
        services=last.services,
        limits=last.limits,
        routes=last.routes,
    )


_DECODER = msgspec.msgpack.Decoder(Change)


def encode(change: Change) -> bytes:
    """The bytes of a change, compressed.

    Not CBOR as on links: a gateway's loop stands still while it decodes,
    and msgspec decodes this straight into its types.
    """
    return zlib.compress(msgspec.msgpack.encode(change), _LEVEL)


def decode(data: bytes) -> Change:
    """The change in `data`; RoutingError where there is none."""
    unpacker = zlib.decompressobj()
    try:
        raw = unpacker.decompress(data, _MAX_UNPACKED)
        if not unpacker.eof:
            raise exceptions.RoutingError("a change that is cut or too long")
        return _DECODER.decode(raw)
    except (zlib.error, msgspec.MsgspecError) as exc:
        raise exceptions.RoutingError(f"not a change: {exc}") from exc
