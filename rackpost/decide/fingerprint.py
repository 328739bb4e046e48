"""Identify requests that are repeated, and parts that prompts share."""

import functools
import hashlib

from rackpost import types

# Long enough that a caller cannot forge a request with the digest of
# another, which would be quarantined with it.
_DIGEST_BYTES = 16
# Keeps these digests apart from other digests of the same bytes.
_PURPOSE = b"rackpost request"
_PART_PURPOSE = b"rackpost part"
# Digests of recent parts are cached, as most prompts share some; not those of
# long ones, which would take much memory.
_MAX_CACHED = 4096
_MAX_CACHED_BYTES = 64


def fingerprint(
    *,
    organisation: types.OrganisationName,
    method: bytes,
    target: bytes,
    body: bytes,
) -> types.Fingerprint:
    """Return a digest of a request's organisation and content.

    The organisation is included so that no other organisation can produce
    the same digest.  Headers are left out: a retry has a new request id, and
    one that resumes a stream has an event id.
    """
    found = hashlib.blake2b(digest_size=_DIGEST_BYTES, person=_PURPOSE)
    for field in (organisation.encode(), method, target):
        found.update(b"%d:" % len(field))
        found.update(field)
    found.update(body)
    return types.Fingerprint(found.digest())


def part_fingerprint(
    service: types.ServiceName, part: bytes
) -> types.Fingerprint:
    """Return a digest of a part of prompts to a service.

    `part` is its id or its content.  Organisations may share parts, so that
    theirs is not included.
    """
    if len(part) > _MAX_CACHED_BYTES:
        return _digest_part(service, part)
    return _cached_part(service, part)


def _digest_part(service: types.ServiceName, part: bytes) -> types.Fingerprint:
    found = hashlib.blake2b(digest_size=_DIGEST_BYTES, person=_PART_PURPOSE)
    name = service.encode()
    found.update(b"%d:" % len(name))
    found.update(name)
    found.update(part)
    return types.Fingerprint(found.digest())


_cached_part = functools.lru_cache(maxsize=_MAX_CACHED)(_digest_part)
