"""Identify a request that is repeated under another id."""

import hashlib

from rackpost import types

# Long enough that a caller cannot forge a request with the digest of
# another, which would be quarantined with it.
_DIGEST_BYTES = 16
# Keeps these digests apart from other digests of the same bytes.
_PURPOSE = b"rackpost request"


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
