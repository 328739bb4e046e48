"""Requests that come in parts, with trailers, or not to their end."""

import asyncio
import contextlib
from typing import AsyncIterator

from rackpost.http1 import message
from rackpost.http1 import server
from rackpost.routing import model
from tests import platform_site

HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n"


class Listening:
    """A server, what it was asked, and one client of it."""

    def __init__(self) -> None:
        self.seen: list[message.Request] = []
        self.answer = asyncio.Event()
        self.answer.set()
        self.server = server.Server(
            handler=self._handle, failed=lambda req, exc: None
        )
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def _handle(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        self.seen.append(req)
        await self.answer.wait()
        responder.send(200, [], b"done")


@contextlib.asynccontextmanager
async def listening() -> AsyncIterator[Listening]:
    found = Listening()
    async with found.server.serving("127.0.0.1", 0) as port:
        opened = await asyncio.open_connection("127.0.0.1", port)
        found.reader, found.writer = opened
        try:
            yield found
        finally:
            found.writer.close()


def test_trailers_are_no_headers() -> None:
    """What stood behind a body was passed on as if a client's header."""

    async def main() -> None:
        async with listening() as found:
            found.writer.write(
                CHUNKED + b"\r\n1\r\nx\r\n0\r\nX-Late: 1\r\n\r\n"
            )
            assert (await found.reader.readline()).endswith(b"200 OK\r\n")
            assert found.seen[0].body == b"x"
            names = [key for key, _ in found.seen[0].headers]
            assert names == [b"host", b"transfer-encoding"]

    asyncio.run(main())


def test_a_body_that_stops_coming_is_given_up() -> None:
    """Its connection was held for as long as the client liked."""

    async def main() -> None:
        async with listening() as found:
            found.server.limits = model.Limits(idle_s=0.3)
            found.writer.write(HEAD + b"Content-Length: 9\r\n\r\nhalf")
            async with asyncio.timeout(platform_site.TIMEOUT_S):
                assert b" 408 " in await found.reader.readline()
            assert not found.seen

    asyncio.run(main())


def test_no_word_to_go_on_is_put_into_an_earlier_answer() -> None:
    async def main() -> None:
        async with listening() as found:
            found.answer.clear()
            found.writer.write(HEAD + b"Content-Length: 0\r\n\r\n")
            await platform_site.until(lambda: bool(found.seen))
            found.writer.write(
                HEAD + b"Expect: 100-continue\r\nContent-Length: 1\r\n\r\ny"
            )
            await platform_site.until(
                lambda: any(one._ahead for one in found.server.connections)
            )
            found.answer.set()
            both = b""
            async with asyncio.timeout(platform_site.TIMEOUT_S):
                while both.count(b"done") < 2:
                    both += await found.reader.read(4096)
            assert b"100 Continue" not in both
            assert [req.body for req in found.seen] == [b"", b"y"]

    asyncio.run(main())
