"""Endpoints that start again with other software, unseen by coordinators.

Guards against streams that hold events of two software versions, because the
last heartbeat of the endpoint before its restart counts.
"""

import asyncio
import contextlib
import json
import pathlib
from typing import AsyncIterator
from typing import NamedTuple

from rackpost.http1 import message
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


class _Dated(_Endpoint):
    """Names its start time in all that it says of itself."""

    born = 1000

    def heartbeat(self, state: str = "ready", **more: object) -> dict:
        return super().heartbeat(state, born=self.born, **more)

    async def _handle(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        if req.path != b"/v1/report":
            await super()._handle(req, responder)
            return
        report = {"stage": self.stage, "born": self.born}
        responder.send(200, [], json.dumps(report).encode())

    async def restart(self, software: str) -> None:
        """Start again, under the same id and with other software."""
        await self.crash()
        self.born += 1
        self.software = software
        await self.listen()


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


class _Begun(NamedTuple):
    """A stream of the old version that has its first event."""

    client: versioned_site.Client
    # The endpoint that began it, and the only other one of its version.
    ran: _Endpoint
    other: _Endpoint


async def _begin(site: versioned_site.Site) -> _Begun:
    """Begin a stream; only endpoints of the old version are left."""
    await site.take_away(*site.new)
    client = await site.open(31, "r1")
    await client.first_event()
    ran, other = sorted(site.old, key=lambda one: not one.streams)
    return _Begun(client, ran, other)


def test_a_stream_does_not_go_on_at_an_endpoint_that_may_have_restarted(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with versioned_site.site(tmp_path, endpoint=_Endpoint) as site:
            client, ran, other = await _begin(site)
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


def test_a_stream_does_not_go_on_at_an_endpoint_that_has_restarted_unseen(
    tmp_path: pathlib.Path,
) -> None:
    """Within one answer; no gateway had met the restart."""

    async def main() -> None:
        async with versioned_site.site(tmp_path, endpoint=_Dated) as site:
            client, ran, other = await _begin(site)
            await other.restart(versioned_site.NEW)
            await ran.crash()
            got = await client.rest()
            assert got.versions == {versioned_site.OLD}
            assert not other.streams
            other.go_on.set()

    asyncio.run(main())


def test_a_gateway_that_is_cut_off_resumes_at_no_endpoint_that_has_restarted(
    tmp_path: pathlib.Path,
) -> None:
    """It knew the endpoints as they were before it lost its links."""

    async def main() -> None:
        async with versioned_site.site(tmp_path, endpoint=_Dated) as site:
            await site.take_away(*site.new)
            for number in range(6):
                begun = await site.begin(31, f"r{number}")
                assert begun.versions == {versioned_site.OLD}
            origins = site.gateways[16].site.origins._table
            await platform_site.until(lambda: len(origins) >= 6)
            for number in site.core:
                await site.stop(number)
            for one in site.old:
                await one.restart(versioned_site.NEW)
                one.go_on.set()
            for number in range(6):
                got = await site.resume(16, f"again{number}", f"r{number}")
                assert versioned_site.NEW not in got.versions
                assert got.status == 503

    asyncio.run(main())


def test_a_stream_goes_on_at_an_endpoint_that_has_not_restarted(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with versioned_site.site(tmp_path, endpoint=_Dated) as site:
            client, ran, _ = await _begin(site)
            for one in site.old:
                one.go_on.set()
            await ran.crash()
            got = await client.rest()
            assert got.versions == {versioned_site.OLD}
            assert got.ids == list(range(1, versioned_site.EVENTS + 1))

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
