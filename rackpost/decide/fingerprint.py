"""What a request is known by when it comes again under another id.  Pure."""

import hashlib

from rackpost import types

# Bytes of the digest.  Who finds a second request with the digest of a given
# one could have that one refused: 2^128 tries, which nobody has.
_BYTES = 16
# Sets these digests apart from all others that are made of the same bytes.
_PURPOSE = b"rackpost request"


def fingerprint(
    *,
    organisation: types.OrganisationName,
    method: bytes,
    target: bytes,
    body: bytes,
) -> types.Fingerprint:
    """The digest of who asks, and of what.

    The organisation is a part of it, so that nobody can bring about a
    digest that another's request has.  Headers are not: a client's id is
    new each time, and one that takes up a broken stream names an event.
    """
    found = hashlib.blake2b(digest_size=_BYTES, person=_PURPOSE)
    for part in (organisation.encode(), method, target):
        found.update(b"%d:" % len(part))
        found.update(part)
    found.update(body)
    return types.Fingerprint(found.digest())
