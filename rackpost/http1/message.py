"""HTTP/1.1 message types and headers shared by client and server.

Header names are in lower case.
"""

import enum
import http
from typing import Iterable
from typing import NamedTuple
from typing import Sequence

Header = tuple[bytes, bytes]

# Hop-by-hop headers (RFC 9110, section 7.6.1), and those that each sender
# sets for its own framing.
_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)


class Framing(enum.Enum):
    """How the end of a body is marked."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"
    NONE = "none"


class Request(NamedTuple):
    """A complete request as received from a client."""

    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes
    has_body: bool

    @property
    def path(self) -> bytes:
        """The target without its query string."""
        return self.target.split(b"?", 1)[0]


class Head(NamedTuple):
    """Status, headers and body framing of an answer."""

    status: int
    headers: list[Header]
    framing: Framing


def find(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of a header, by its lower-case name."""
    for key, value in headers:
        if key == name:
            return value
    return None


def end_to_end(headers: Sequence[Header]) -> list[Header]:
    """Return the headers that are forwarded to the next hop."""
    hop_by_hop = set(_HOP_BY_HOP)
    for key, value in headers:
        if key == b"connection":
            for item in value.split(b","):
                hop_by_hop.add(item.strip().lower())
    return [item for item in headers if item[0] not in hop_by_hop]


def _encode_headers(headers: Iterable[Header]) -> bytes:
    return b"".join(b"%b: %b\r\n" % item for item in headers)


def request_head(
    method: bytes, target: bytes, headers: Iterable[Header]
) -> bytes:
    """Return the encoded request line and headers."""
    line = b"%b %b HTTP/1.1\r\n" % (method, target)
    return line + _encode_headers(headers) + b"\r\n"


def response_head(status: int, headers: Iterable[Header]) -> bytes:
    """Return the encoded status line and headers."""
    line = b"HTTP/1.1 %d %b\r\n" % (status, _reason(status))
    return line + _encode_headers(headers) + b"\r\n"


def _reason(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Other"


def is_final_status(status: int) -> bool:
    """Whether HTTP has a status, and it ends a request (RFC 9110, 15)."""
    return 200 <= status < 600


def has_no_body(status: int) -> bool:
    """Whether answers of a status never carry a body."""
    return status < 200 or status in (204, 304)
