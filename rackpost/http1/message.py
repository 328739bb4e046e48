"""Parts of HTTP/1.1 messages that client and server share.

`httptools` parses; header names are kept in lower case.
"""

import enum
import http
from typing import Iterable
from typing import NamedTuple
from typing import Sequence

Header = tuple[bytes, bytes]

# Headers that concern one connection only (RFC 9110, section 7.6.1), and
# those that the sender of a message sets for its own framing.
_CONNECTION = frozenset(
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
    """How the end of a body is told."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"
    NONE = "none"


class Request(NamedTuple):
    """A whole request, as a client sent it."""

    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes
    has_body: bool

    @property
    def path(self) -> bytes:
        """The target without its query."""
        return self.target.split(b"?", 1)[0]


class Head(NamedTuple):
    """Status and headers of an answer."""

    status: int
    headers: list[Header]
    framing: Framing


def find(headers: Iterable[Header], name: bytes) -> bytes | None:
    """The first value of a header, by its lower-case name."""
    for key, value in headers:
        if key == name:
            return value
    return None


def end_to_end(headers: Sequence[Header]) -> list[Header]:
    """The headers that are passed on to the next hop."""
    named = set(_CONNECTION)
    for key, value in headers:
        if key == b"connection":
            for item in value.split(b","):
                named.add(item.strip().lower())
    return [item for item in headers if item[0] not in named]


def _lines(headers: Iterable[Header]) -> bytes:
    return b"".join(b"%b: %b\r\n" % item for item in headers)


def request_head(
    method: bytes, target: bytes, headers: Iterable[Header]
) -> bytes:
    """The first part of a request, up to its body."""
    line = b"%b %b HTTP/1.1\r\n" % (method, target)
    return line + _lines(headers) + b"\r\n"


def response_head(status: int, headers: Iterable[Header]) -> bytes:
    """The first part of an answer, up to its body."""
    line = b"HTTP/1.1 %d %b\r\n" % (status, _reason(status))
    return line + _lines(headers) + b"\r\n"


def _reason(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Other"


def has_no_body(status: int) -> bool:
    """Whether answers of a status never carry a body."""
    return status < 200 or status in (204, 304)
