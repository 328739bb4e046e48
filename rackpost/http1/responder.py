"""Encodes the answer to one request and writes it to its connection."""

import abc

from rackpost.http1 import message

__all__ = ["Connection", "Responder"]


class Connection(abc.ABC):
    """The connection of a client, as an answer needs it."""

    # Whether the connection is closed after the answer.
    closing: bool

    @abc.abstractmethod
    def write(self, data: bytes) -> None:
        """Write bytes; dropped if the client has disconnected."""

    @abc.abstractmethod
    async def drain(self) -> None:
        """Wait until more may be held for the client."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection at once."""


class Responder:
    """The answer to one request."""

    def __init__(self, *, conn: Connection, is_http10: bool) -> None:
        self._conn = conn
        self._is_http10 = is_http10
        self._chunked = False
        self.started = False
        self.ended = False

    def send(
        self, status: int, headers: list[message.Header], body: bytes
    ) -> None:
        """Send a complete answer."""
        self.started = True
        self.ended = True
        rest = list(headers)
        if not message.has_no_body(status):
            rest.append((b"content-length", b"%d" % len(body)))
        self._conn.write(self._head(status, rest) + body)

    def send_head(self, status: int, headers: list[message.Header]) -> None:
        """Send a head without a body, as for HEAD; headers stay as given."""
        self.started = True
        self.ended = True
        self._conn.write(self._head(status, headers))

    def start(self, status: int, headers: list[message.Header]) -> None:
        """Send the head of an answer whose body follows in chunks."""
        self.started = True
        self._chunked = not self._is_http10
        rest = list(headers)
        if self._chunked:
            rest.append((b"transfer-encoding", b"chunked"))
        else:
            self._conn.closing = True
        self._conn.write(self._head(status, rest))

    async def send_chunk(self, data: bytes) -> None:
        """Send a chunk; returns when the write buffer has room."""
        if not data:
            return
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._conn.write(data)
        await self._conn.drain()

    def finish(self) -> None:
        """End the body."""
        self.ended = True
        if self._chunked:
            self._conn.write(b"0\r\n\r\n")

    def abort(self) -> None:
        """Abort the connection, which marks the answer as incomplete."""
        self.ended = True
        self._conn.abort()

    def _head(self, status: int, headers: list[message.Header]) -> bytes:
        if self._conn.closing:
            headers = [*headers, (b"connection", b"close")]
        return message.response_head(status, headers)
