"""An endpoint's answer that comes a second time, late, on its connection.

Guards against an unsafe request that runs twice: sent again under its id on
the connection where it was turned away, it is answered by the old answer.
"""

import asyncio
import pathlib

from rackpost.http1 import message
from rackpost.http1 import server
from tests import platform_site
from tests import test_gateway

_REQUESTS = 8
_BACKOFF_S = 0.1


class _Endpoint:
    """Turns each request away once, and says so again where it comes back."""

    def __init__(self, *, site: platform_site.Site) -> None:
        self._site = site
        self._rejected: dict[bytes, set[int]] = {}
        self.runs: list[bytes] = []

    async def answer(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        ident = message.find(req.headers, b"x-request-id") or b""
        conn = responder._conn
        rejected_on = self._rejected.setdefault(ident, set())
        if not rejected_on:
            rejected_on.add(id(conn))
            responder.send(503, self._rejection(req), b"")
            return
        self.runs.append(ident)
        if id(conn) in rejected_on:
            # The answer of before, where the next one is due.
            late = server.Responder(conn=conn, is_http10=False)
            late.send(503, self._rejection(req), b"")
        await self._site.plain[0].default_answer(req, responder)

    def _rejection(self, req: message.Request) -> list[message.Header]:
        return platform_site.vouching_headers(req) + [
            (b"x-not-executed", b"1"),
            (b"retry-after", b"%.2f" % _BACKOFF_S),
        ]


def test_a_request_is_not_sent_twice_on_one_connection(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            endpoints = [_Endpoint(site=site) for _ in site.plain]
            for one, endpoint in zip(endpoints, site.plain, strict=True):
                endpoint.answer = one.answer
            for number in range(_REQUESTS):
                got = await site.raw(
                    test_gateway.request("/unsafe/x", b"b", f"r{number}")
                )
                assert test_gateway.status(got) == 200
            runs = [ident for one in endpoints for ident in one.runs]
            assert sorted(runs) == sorted(set(runs))
            assert len(runs) == _REQUESTS

    asyncio.run(main())
