"""Callers that send bytes without end."""

import selectors
import socket
import time
from typing import Callable

_HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\n"
_BLOCK_BYTES = 64 << 10

# What a caller sends first, and then without end.
FORMS = {
    "header value": (_HEAD + b"X: ", b"x" * _BLOCK_BYTES),
    "header name": (_HEAD, b"x" * _BLOCK_BYTES),
    "header lines": (_HEAD, b"x: y\r\n" * (_BLOCK_BYTES // 6)),
    "target": (b"GET /", b"x" * _BLOCK_BYTES),
    "line ends": (b"", b"\r\n" * (_BLOCK_BYTES // 2)),
    "one-byte chunks": (
        _HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n" * (_BLOCK_BYTES // 6),
    ),
    "chunk extension": (
        _HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;x=",
        b"x" * _BLOCK_BYTES,
    ),
    "trailer": (
        _HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\nX: ",
        b"x" * _BLOCK_BYTES,
    ),
    "body": (
        _HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"%x\r\n%b\r\n" % (_BLOCK_BYTES, b"x" * _BLOCK_BYTES),
    ),
    "body with a length": (
        _HEAD + b"Content-Length: 4000000\r\n\r\n",
        b"x" * 1000,
    ),
}


class _Caller:
    """One caller; connects again where it is cut off."""

    def __init__(
        self, *, address: tuple[str, int], first: bytes, block: bytes
    ) -> None:
        self._address = address
        self._first = first
        self._block = block
        self.sent_bytes = 0
        self.open()

    def open(self) -> None:
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.connect_ex(self._address)
        self._rest = self._first

    def send(self) -> bool:
        """Send once; return whether the connection still stands."""
        try:
            count = self.sock.send(self._rest)
        except BlockingIOError:
            return True
        except OSError:
            return False
        self.sent_bytes += count
        self._rest = self._rest[count:] or self._block
        return True


def flood(
    address: tuple[str, int],
    form: str,
    *,
    callers: int,
    seconds: float,
    watch: Callable[[], None] = lambda: None,
) -> int:
    """Send a form from several callers; return the bytes that were sent."""
    first, block = FORMS[form]
    found = [
        _Caller(address=address, first=first, block=block)
        for _ in range(callers)
    ]
    until = time.monotonic() + seconds
    with selectors.DefaultSelector() as selector:
        for one in found:
            selector.register(one.sock, selectors.EVENT_WRITE, one)
        while time.monotonic() < until:
            for key, _ in selector.select(0.05):
                one = key.data
                if not one.send():
                    selector.unregister(one.sock)
                    one.sock.close()
                    one.open()
                    selector.register(one.sock, selectors.EVENT_WRITE, one)
            watch()
    for one in found:
        one.sock.close()
    return sum(one.sent_bytes for one in found)
