"""Serves changes of the routing document to gateways, in chunks.

A gateway requests one chunk at a time, so that at most one is in flight on
its link.  The content of a transfer is fixed when it starts; a newer document
is a further change.
"""

import collections
from typing import NamedTuple
import zlib

from rackpost.coordinator import messages
from rackpost.routing import changes
from rackpost.routing import model
from rackpost import types

# Bounds how long keepalives wait behind a chunk: 26 ms at 5 Mbit/s.
CHUNK_BYTES = 16 << 10
# Bounds on the changes kept for gateways that are some versions behind: their
# number, and their routes in all (some 700 bytes of memory each).
_MAX_CHANGES = 64
_MAX_CHANGE_ROUTES = 8000
# Limit of the cache of encoded changes, which serves running transfers and
# gateways that need the same change.
_MAX_CACHE_BYTES = 8 << 20


class _Encoded(NamedTuple):
    """An encoded change; `digest` identifies it."""

    base: int
    version: int
    digest: int
    data: bytes


def _is_held(request: messages.FetchRouting, doc: model.Document) -> bool:
    """Whether the sender of a request holds this document or a newer one."""
    held = request.held_version
    return held != changes.NO_BASE and held >= doc.version


class RoutingFeed:
    """The newest document, the latest changes to it, and their encodings."""

    def __init__(self) -> None:
        self._doc: model.Document | None = None
        self._steps: collections.deque[changes.Change] = collections.deque()
        self._routes = 0
        self._cache: collections.OrderedDict[int, _Encoded] = (
            collections.OrderedDict()
        )
        self._cache_bytes = 0
        # Digest of the change from each version to the newest one.
        self._digests: dict[int, int] = {}

    @property
    def version(self) -> int | None:
        """Version of the newest document; None if there is none."""
        return None if self._doc is None else self._doc.version

    def announcement(self) -> messages.RoutingVersion:
        """Return the message that announces the newest document."""
        if self._doc is None:
            return messages.RoutingVersion(version=0, has_document=False)
        return messages.RoutingVersion(version=self._doc.version)

    @property
    def services(self) -> frozenset[types.ServiceName]:
        """The services of the newest document; empty without a document."""
        if self._doc is None:
            return frozenset()
        return frozenset(item.name for item in self._doc.services)

    def publish(self, doc: model.Document) -> None:
        """Make a newer document available."""
        if self._doc is not None:
            step = changes.diff(self._doc, doc)
            self._steps.append(step)
            self._routes += step.size
        self._doc = doc
        self._digests.clear()
        while (
            self._routes > _MAX_CHANGE_ROUTES
            or len(self._steps) > _MAX_CHANGES
        ):
            self._routes -= self._steps.popleft().size

    def chunk(
        self, request: messages.FetchRouting
    ) -> messages.RoutingChunk | None:
        """Return the requested chunk; None if there is nothing newer.

        A transfer that another coordinator started is continued; one that is
        no longer cached is replaced by a new transfer from offset 0.
        """
        encoded = self._cache.get(request.digest)
        if encoded is None:
            if self._doc is None or _is_held(request, self._doc):
                return None
            encoded = self._encoded(request.held_version, self._doc)
        offset = request.offset if request.digest == encoded.digest else 0
        self._cache.move_to_end(encoded.digest)
        return messages.RoutingChunk(
            base=encoded.base,
            version=encoded.version,
            digest=encoded.digest,
            offset=offset,
            size=len(encoded.data),
            data=encoded.data[offset : offset + CHUNK_BYTES],
        )

    def _encoded(self, held_version: int, doc: model.Document) -> _Encoded:
        """Return the encoded change from a version to the newest document."""
        found = self._cached(held_version)
        if found is None:
            change = self._change_from(held_version, doc)
            found = self._cached(change.base) or self._encode(change)
            self._digests[held_version] = self._digests[change.base] = (
                found.digest
            )
        return found

    def _cached(self, base: int) -> _Encoded | None:
        digest = self._digests.get(base)
        return None if digest is None else self._cache.get(digest)

    def _change_from(
        self, held_version: int, doc: model.Document
    ) -> changes.Change:
        if held_version == changes.NO_BASE:
            return changes.from_empty(doc)
        steps = list(self._steps)
        while steps and steps[0].base != held_version:
            del steps[0]
        if not steps:
            return changes.from_empty(doc)
        change = changes.merge(steps)
        if change.size >= len(doc.routes) + len(doc.organisations):
            return changes.from_empty(doc)
        return change

    def _encode(self, change: changes.Change) -> _Encoded:
        data = changes.encode(change)
        # 0 means "no transfer" in requests.
        digest = zlib.crc32(data) or 1
        found = _Encoded(change.base, change.version, digest, data)
        self._cache[digest] = found
        self._cache_bytes += len(data)
        while self._cache_bytes > _MAX_CACHE_BYTES and len(self._cache) > 1:
            _, oldest = self._cache.popitem(last=False)
            self._cache_bytes -= len(oldest.data)
        return found
