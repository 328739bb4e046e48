"""Short digests of endpoint ids, for heartbeat notices.

Notices name most endpoints twice a second, and digests keep them small.  A
collision marks both endpoints as alive, which only affects a preference among
endpoints.
"""

from typing import Iterable
from typing import Iterator
import zlib

from rackpost import types

_BYTES = 4


def digest(key: types.EndpointId) -> bytes:
    """Return the digest of an id."""
    return zlib.crc32(key.encode()).to_bytes(_BYTES)


def pack(keys: Iterable[types.EndpointId]) -> bytes:
    """Return the concatenated digests of ids."""
    return b"".join(digest(key) for key in keys)


def unpack(data: bytes) -> Iterator[bytes]:
    """Iterate over packed digests; an incomplete last one is skipped."""
    for at in range(0, len(data) - _BYTES + 1, _BYTES):
        yield data[at : at + _BYTES]
