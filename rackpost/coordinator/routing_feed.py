"""What gateways are sent of the routing document: changes, in parts.

A gateway asks for one part at a time, so that its link carries at most one
for it and never more than what it has taken.  What it is sent is fixed when
its transfer begins; a document that comes meanwhile is a further change.
"""

import collections
from typing import NamedTuple
import zlib

from rackpost.coordinator import messages
from rackpost.routing import changes
from rackpost.routing import model
from rackpost import types

# Bytes of one part: 26 ms of a gateway's link of 5 Mbit/s, for which
# keepalives and requests wait behind it.
CHUNK_BYTES = 16 << 10
# Changes are remembered for gateways that are some versions behind: at most
# so many, with so many routes in all (some 700 bytes of memory each).
_MAX_STEPS = 64
_MAX_ROUTES = 8000
# Encoded changes that are kept for transfers under way, and for gateways
# that are as far behind as others: at most so many bytes.
_MAX_KEPT = 8 << 20


class _Encoded(NamedTuple):
    """A change as it is sent; `digest` tells it from any other."""

    base: int
    version: int
    digest: int
    data: bytes


class RoutingFeed:
    """The newest document, the last changes to it, and their bytes."""

    def __init__(self) -> None:
        self._doc: model.Document | None = None
        self._steps: collections.deque[changes.Change] = collections.deque()
        self._routes = 0
        self._kept: collections.OrderedDict[int, _Encoded] = (
            collections.OrderedDict()
        )
        self._kept_bytes = 0
        # What leads from these versions to the newest one.
        self._digests: dict[int, int] = {}

    @property
    def version(self) -> int:
        """Version of the newest document, 0 if there is none."""
        return 0 if self._doc is None else self._doc.version

    @property
    def services(self) -> frozenset[types.ServiceName]:
        """The services of the newest document; none without one."""
        if self._doc is None:
            return frozenset()
        return frozenset(item.name for item in self._doc.services)

    def publish(self, doc: model.Document) -> None:
        """A newer document is in force."""
        if self._doc is not None:
            step = changes.diff(self._doc, doc)
            self._steps.append(step)
            self._routes += step.size
        self._doc = doc
        self._digests.clear()
        while self._routes > _MAX_ROUTES or len(self._steps) > _MAX_STEPS:
            self._routes -= self._steps.popleft().size

    def chunk(
        self, asked: messages.FetchRouting
    ) -> messages.RoutingChunk | None:
        """The part that a gateway asked for; None if there is nothing new.

        A transfer that another coordinator began goes on where it was; one
        that is not known here any more is followed by another.
        """
        encoded = self._kept.get(asked.digest)
        if encoded is None:
            if self._doc is None or asked.held_version >= self._doc.version:
                return None
            encoded = self._encoded(asked.held_version, self._doc)
        offset = asked.offset if asked.digest == encoded.digest else 0
        self._kept.move_to_end(encoded.digest)
        return messages.RoutingChunk(
            base=encoded.base,
            version=encoded.version,
            digest=encoded.digest,
            offset=offset,
            size=len(encoded.data),
            data=encoded.data[offset : offset + CHUNK_BYTES],
        )

    def _encoded(self, have: int, doc: model.Document) -> _Encoded:
        """The change from version `have` to the newest document."""
        found = self._find(have)
        if found is None:
            change = self._change(have, doc)
            found = self._find(change.base) or self._encode(change)
            self._digests[have] = self._digests[change.base] = found.digest
        return found

    def _find(self, base: int) -> _Encoded | None:
        digest = self._digests.get(base)
        return None if digest is None else self._kept.get(digest)

    def _change(self, have: int, doc: model.Document) -> changes.Change:
        steps = list(self._steps)
        while steps and steps[0].base != have:
            del steps[0]
        if not steps:
            return changes.from_empty(doc)
        change = changes.merge(steps)
        if change.size >= len(doc.routes) + len(doc.organisations):
            return changes.from_empty(doc)
        return change

    def _encode(self, change: changes.Change) -> _Encoded:
        data = changes.encode(change)
        # 0 stands for no transfer.
        digest = zlib.crc32(data) or 1
        found = _Encoded(change.base, change.version, digest, data)
        self._kept[digest] = found
        self._kept_bytes += len(data)
        while self._kept_bytes > _MAX_KEPT and len(self._kept) > 1:
            _, oldest = self._kept.popitem(last=False)
            self._kept_bytes -= len(oldest.data)
        return found
