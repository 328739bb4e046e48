"""The HTTP/1.1 server: trailers, stalled bodies, pipelined requests."""

import asyncio
import contextlib
from typing import AsyncIterator

from rackpost.http1 import message
from rackpost.http1 import server
from rackpost.routing import model
from tests import platform_site

HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n"


class ServerWithClient:
    """A server, the requests it received, and one client connection."""

    def __init__(self) -> None:
        self.requests: list[message.Request] = []
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
        self.requests.append(req)
        await self.answer.wait()
        responder.send(200, [], b"done")


@contextlib.asynccontextmanager
async def running_server() -> AsyncIterator[ServerWithClient]:
    served = ServerWithClient()
    async with served.server.serving("127.0.0.1", 0) as port:
        streams = await asyncio.open_connection("127.0.0.1", port)
        served.reader, served.writer = streams
        try:
            yield served
        finally:
            served.writer.close()


def test_trailers_are_not_headers() -> None:
    """Trailers were forwarded as headers of the client."""

    async def main() -> None:
        async with running_server() as served:
            served.writer.write(
                CHUNKED + b"\r\n1\r\nx\r\n0\r\nX-Late: 1\r\n\r\n"
            )
            assert (await served.reader.readline()).endswith(b"200 OK\r\n")
            assert served.requests[0].body == b"x"
            names = [key for key, _ in served.requests[0].headers]
            assert names == [b"host", b"transfer-encoding"]

    asyncio.run(main())


def test_a_stalled_body_is_timed_out() -> None:
    """A client could hold its connection open without limit."""

    async def main() -> None:
        async with running_server() as served:
            served.server.limits = model.Limits(idle_s=0.3)
            served.writer.write(HEAD + b"Content-Length: 9\r\n\r\nhalf")
            async with asyncio.timeout(platform_site.TIMEOUT_S):
                assert b" 408 " in await served.reader.readline()
            assert not served.requests

    asyncio.run(main())


def test_no_100_continue_is_written_into_an_earlier_answer() -> None:
    async def main() -> None:
        async with running_server() as served:
            served.answer.clear()
            served.writer.write(HEAD + b"Content-Length: 0\r\n\r\n")
            await platform_site.until(lambda: bool(served.requests))
            served.writer.write(
                HEAD + b"Expect: 100-continue\r\nContent-Length: 1\r\n\r\ny"
            )
            await platform_site.until(
                lambda: any(
                    conn._pipelined for conn in served.server.connections
                )
            )
            served.answer.set()
            both = b""
            async with asyncio.timeout(platform_site.TIMEOUT_S):
                while both.count(b"done") < 2:
                    both += await served.reader.read(4096)
            assert b"100 Continue" not in both
            assert [req.body for req in served.requests] == [b"", b"y"]

    asyncio.run(main())
