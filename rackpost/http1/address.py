"""Parsing of `host:port` addresses."""

from typing import NamedTuple


class Address(NamedTuple):
    """Host and port of a socket."""

    host: str
    port: int


def split(text: str) -> Address:
    """Parse `host:port`; ValueError if the port is not a number."""
    host, _, port = text.rpartition(":")
    return Address(host=host, port=int(port))
