"""Callers' keys: what they are known by past the adapter."""

import hashlib

from rackpost import types

# Bytes of a SHA-256 that are kept: as many as a key has at most in
# randomness, and half of what a change of 630 organisations would carry.
_BYTES = 16


def digest(key: bytes) -> types.KeyDigest:
    """What a key is known by; b"" for an empty one, which is no key."""
    if not key:
        return types.KeyDigest(b"")
    return types.KeyDigest(hashlib.sha256(key).digest()[:_BYTES])
