"""Digests of callers' keys; the keys themselves stay in this package."""

import hashlib

from rackpost import types

# Bytes kept of a SHA-256: 128 bits, at half the size on the wire.
_BYTES = 16


def digest(key: bytes) -> types.KeyDigest:
    """Return the digest of a key; b"" for an empty key, which is invalid."""
    if not key:
        return types.KeyDigest(b"")
    return types.KeyDigest(hashlib.sha256(key).digest()[:_BYTES])
