"""Endpoints that start again with other software, unseen by coordinators.

Guards against streams that hold events of two software versions, because the
last heartbeat of the endpoint before its restart counts.
"""

import asyncio
import contextlib
import pathlib
from typing import AsyncIterator

from rackpost.http1 import server
from tests import platform_site
from tests import versioned_site


class _Endpoint(versioned_site.Endpoint):
    """Can stop to listen, and start again at its address."""

    def __init__(self, **more: object) -> None:
        super().__init__(**more)
        self._listening = contextlib.AsyncExitStack()
        self._port = 0

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator["_Endpoint"]:
        await self.listen()
        self.address = f"127.0.0.1:{self._port}"
        try:
            yield self
        finally:
            await self.crash()

    async def listen(self) -> None:
        listening = server.Server(
            handler=self._handle, failed=lambda req, exc: None
        )
        self._port = await self._listening.enter_async_context(
            listening.serving("127.0.0.1", self._port)
        )

    async def crash(self) -> None:
        await self._listening.aclose()


async def _until_refused(site: versioned_site.Site, gone: _Endpoint) -> None:
    """Send streams until the gateway has tried an endpoint that is gone."""
    clients = []
    health = site.gateways[31].site.health
    number = 0
    async with asyncio.timeout(platform_site.TIMEOUT_S):
        while gone.ident not in health.failed_endpoints(site.now()):
            number += 1
            clients.append(await site.open(31, f"w{number}", path="/gen/x"))
            await asyncio.sleep(0.05)
    for client in clients:
        client.close()


def test_a_stream_does_not_go_on_at_an_endpoint_that_may_have_restarted(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with versioned_site.site(tmp_path, endpoint=_Endpoint) as site:
            await site.take_away(*site.new)
            client = await site.open(31, "r1")
            await client.first_event()
            ran = next(one for one in site.old if one.streams)
            other = next(one for one in site.old if one is not ran)
            await other.crash()
            await _until_refused(site, other)
            other.software = versioned_site.NEW
            await other.listen()
            health = site.gateways[31].site.health
            await platform_site.until(
                lambda: not health.is_avoided(other.ident, site.now())
            )
            await ran.crash()
            got = await client.rest()
            assert got.versions == {versioned_site.OLD}
            other.go_on.set()

    asyncio.run(main())


# Guards against an endpoint that stays barred although it did not restart.
def test_an_endpoint_counts_again_once_it_is_heard(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with versioned_site.site(tmp_path, endpoint=_Endpoint) as site:
            await site.take_away(*site.new)
            refused = site.old[0]
            await refused.crash()
            await _until_refused(site, refused)
            await refused.listen()
            gateway = site.gateways[31].site
            known = gateway.table.alive[refused.ident]
            assert gateway.crash_tracker.may_have_restarted(known)
            async with asyncio.timeout(platform_site.TIMEOUT_S):
                while gateway.crash_tracker.may_have_restarted(known):
                    await site.operator.send_heartbeat(site.core[-1], refused)
                    await asyncio.sleep(0.3)

    asyncio.run(main())
