"""Rendezvous (highest random weight) hashing.

Each process ranks the same names by a hash of name and subject.  Subjects
spread evenly over names, and few move when a name is added or removed.
"""

import hashlib


def rank(name: str, subject: str) -> bytes:
    """Return the rank of a name for a subject, to compare with others."""
    text = f"{name}|{subject}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
