"""Rendezvous hashing: who is meant, found by each process alone.  Pure.

Each ranks the same names by a hash of name and subject, so that subjects
spread evenly over names and little moves when a name comes or goes.
"""

import hashlib


def rank(name: str, subject: str) -> bytes:
    """The rank of a name for a subject, to be compared with others."""
    text = f"{name}|{subject}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
