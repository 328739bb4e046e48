"""Proof, at the start of a link, that both ends belong to the site.

Each end sends a random challenge; the other answers with an HMAC of both
under the site's key, which itself is never sent.  Pure.
"""

import hmac
import secrets

import msgspec

from rackpost import exceptions

_SIZE = 16


class Challenge(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A random value to answer."""

    nonce: bytes


class Proof(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The answer to a challenge."""

    mac: bytes


def challenge() -> Challenge:
    """A new challenge."""
    return Challenge(nonce=secrets.token_bytes(_SIZE))


def prove(
    key: bytes, *, side: str, mine: Challenge, theirs: Challenge
) -> Proof:
    """Answer `theirs`; `side` keeps an answer from being sent back."""
    text = side.encode() + b"|" + theirs.nonce + b"|" + mine.nonce
    return Proof(mac=hmac.digest(key, text, "sha256"))


def check(
    key: bytes,
    proof: Proof,
    *,
    side: str,
    mine: Challenge,
    theirs: Challenge,
) -> None:
    """Raise LinkError unless the peer, on `side`, knows the key."""
    want = prove(key, side=side, mine=theirs, theirs=mine)
    if not hmac.compare_digest(want.mac, proof.mac):
        raise exceptions.LinkError("the peer does not know the site's key")
