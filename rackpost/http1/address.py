"""Addresses as text, `host:port`, and as sockets take them."""

from typing import NamedTuple


class Address(NamedTuple):
    """Where something listens."""

    host: str
    port: int


def split(text: str) -> Address:
    """The parts of `host:port`; ValueError where the port is no number."""
    host, _, port = text.rpartition(":")
    return Address(host=host, port=int(port))
