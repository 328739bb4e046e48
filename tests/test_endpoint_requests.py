"""Gateways that send requests to endpoints whose answers ask for none.

Guards against requests to an endpoint that leaves or wants a back-off.
"""

import asyncio
import pathlib

import pytest

from rackpost.http1 import message
from rackpost.http1 import server
from tests import platform_site
from tests import test_backoff
from tests import test_gateway

# Requests that may reach an endpoint from half a second after it asked for a
# time without any until the end of that time.
_MAX_DURING_BACKOFF = 2
_GRACE_S = 0.5


def _request(path: str, number: int) -> bytes:
    make = test_gateway.request
    if path.startswith("/gen"):
        make = test_gateway.generation
    return make(path, ident=f"r{number}")


@pytest.mark.parametrize("path", ["/safe/x", "/gen/x"])
def test_a_gateway_without_coordinators_keeps_off_a_leaving_endpoint(
    tmp_path: pathlib.Path, path: str
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            group = site.plain if path == "/safe/x" else site.decode
            leaving = group[0]
            leaving.extra_headers = test_backoff.LEAVING
            # The gateway's links are lost; it serves on by what it knows.
            site.gateway._links.close()
            number = 0
            while not leaving.requests:
                number += 1
                got = await site.raw(_request(path, number))
                assert test_gateway.status(got) == 200
            before = len(leaving.requests)
            for more in range(20):
                got = await site.raw(_request(path, 100 + more))
                assert test_gateway.status(got) == 200
            assert len(leaving.requests) == before

    asyncio.run(main())


@pytest.mark.parametrize("retry_after", [b"2", b"1.5"])
@pytest.mark.parametrize("path", ["/safe/x", "/gen/x"])
def test_an_endpoint_that_asks_for_time_gets_few_requests(
    tmp_path: pathlib.Path, path: str, retry_after: bytes
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            loop = asyncio.get_running_loop()
            group = site.plain if path == "/safe/x" else site.decode
            busy = group[0]
            refused_at: list[float] = []
            arrived_at: list[float] = []

            async def refuse_once(
                req: message.Request, responder: server.Responder
            ) -> None:
                arrived_at.append(loop.time())
                if refused_at:
                    await busy.default_answer(req, responder)
                    return
                refused_at.append(loop.time())
                lines = [(b"x-not-executed", b"1")]
                lines.append((b"retry-after", retry_after))
                responder.send(503, lines, b"")

            busy.answer = refuse_once
            number = 0
            ends_at = loop.time() + 30.0
            while loop.time() < ends_at:
                number += 1
                await site.raw(_request(path, number))
                await asyncio.sleep(0)
                if refused_at:
                    ends_at = refused_at[0] + float(retry_after)
            during = [
                at
                for at in arrived_at
                if refused_at[0] + _GRACE_S <= at < ends_at
            ]
            assert refused_at and len(during) <= _MAX_DURING_BACKOFF

    asyncio.run(main())
