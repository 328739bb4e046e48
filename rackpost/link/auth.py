"""Mutual authentication of both ends of a link by the site's shared key.

Each end sends a random challenge; the other answers with an HMAC of both
challenges.  The key itself is never sent.  No I/O.
"""

import hmac
import secrets

import msgspec

from rackpost import exceptions

_NONCE_BYTES = 16


class Challenge(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A random nonce that the peer has to authenticate."""

    nonce: bytes


class Proof(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The HMAC that answers a challenge."""

    mac: bytes


def challenge() -> Challenge:
    """Return a challenge with a fresh nonce."""
    return Challenge(nonce=secrets.token_bytes(_NONCE_BYTES))


def prove(
    key: bytes, *, side: str, mine: Challenge, theirs: Challenge
) -> Proof:
    """Return the proof that answers the peer's challenge.

    `side` is part of the HMAC, so that a proof can't be reflected to its
    sender.
    """
    data = side.encode() + b"|" + theirs.nonce + b"|" + mine.nonce
    return Proof(mac=hmac.digest(key, data, "sha256"))


def check(
    key: bytes,
    proof: Proof,
    *,
    side: str,
    mine: Challenge,
    theirs: Challenge,
) -> None:
    """Raise LinkError unless the peer's proof, made as `side`, is valid."""
    expected = prove(key, side=side, mine=theirs, theirs=mine)
    if not hmac.compare_digest(expected.mac, proof.mac):
        raise exceptions.LinkError("the peer does not know the site's key")
