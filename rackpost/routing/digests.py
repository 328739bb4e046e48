"""Short digests of endpoints' ids, for messages that name most of them.

Whose heartbeats came is told twice a second to every gateway; as digests that
is a quarter of the bytes of the ids.  Two ids may have one digest: then both
count as heard, which is a preference and no more.
"""

from typing import Iterable
from typing import Iterator
import zlib

from rackpost import types

_BYTES = 4


def digest(key: types.EndpointId) -> bytes:
    """The digest of one id."""
    return zlib.crc32(key.encode()).to_bytes(_BYTES)


def pack(keys: Iterable[types.EndpointId]) -> bytes:
    """The digests of some ids, one after the other."""
    return b"".join(digest(key) for key in keys)


def unpack(data: bytes) -> Iterator[bytes]:
    """Each digest of a pack; an incomplete one at its end is left out."""
    for at in range(0, len(data) - _BYTES + 1, _BYTES):
        yield data[at : at + _BYTES]
