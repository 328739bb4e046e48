"""A site with endpoints that end under some requests, as processes do."""

import asyncio
import contextlib
import pathlib
from typing import AsyncIterator

import aiohttp

from rackpost.gateway import process as gateway_process
from rackpost.http1 import message
from rackpost.http1 import server
from tests import platform_site

GATEWAYS = (31, 16)


class Endpoint(platform_site.Endpoint):
    """Ends, with all that it runs, when it begins a request to crash."""

    def __init__(self, *, ident: str, service: str, stage: str = "") -> None:
        super().__init__(ident=ident, service=service, stage=stage)
        self._name = ident
        self._running: set[server.Responder] = set()
        # Bodies under which it ended, one for each of its lives.
        self.crashed: list[bytes] = []
        self.answer = self._run

    async def _run(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        is_read = message.find(req.headers, b"x-serving-stage") is not None
        if req.body.startswith(b"crash") and not is_read:
            self._crash(req, responder)
            return
        self._running.add(responder)
        try:
            if req.body.startswith(b"slow"):
                await asyncio.sleep(platform_site.MOST_S)
            await self.usual(req, responder)
        finally:
            self._running.discard(responder)

    def _crash(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        self.crashed.append(req.body)
        for one in [responder, *self._running]:
            one.abort()
        # A new process, under a new id, at the same address.
        self.ident = f"{self._name}-{len(self.crashed)}"
        self.sequence = 0


class Site:
    """Some coordinators, two gateways, four model and two plain endpoints."""

    def __init__(
        self, *, plan: platform_site.Plan, core: tuple[int, ...], lost: int
    ) -> None:
        self.plan = plan
        self.core = core
        self.lost = lost
        self.plain = [
            Endpoint(ident=f"p{n}", service="plain") for n in range(2)
        ]
        self.decode = [
            Endpoint(ident=f"dec{n}", service="model", stage="decode")
            for n in range(4)
        ]
        self.operator: platform_site.Operator
        self.gateways: dict[int, gateway_process.Gateway] = {}
        self._asked = 0

    @property
    def endpoints(self) -> list[Endpoint]:
        return [*self.plain, *self.decode]

    @property
    def crashes(self) -> int:
        return sum(len(item.crashed) for item in self.endpoints)

    @contextlib.asynccontextmanager
    async def powered(self, *, first: bool) -> AsyncIterator[None]:
        """All coordinators and gateways, until power goes."""
        plan = self.plan
        async with contextlib.AsyncExitStack() as stack:
            for number in self.core:
                host = plan.host(
                    number,
                    kind="core",
                    seeds=self.core[:3],
                    lost=self.lost,
                    first=first,
                )
                enter = stack.enter_async_context
                await enter(platform_site.coordinator(host))
            await self.operator.put_until_taken(self.core[-1], _document())
            for number in GATEWAYS:
                host = plan.host(number, kind="edge", seeds=self.core[:3])
                self.gateways[number] = await enter(
                    platform_site.gateway(host)
                )
            await self.is_known()
            yield

    async def is_known(self) -> None:
        """Every endpoint, in its present life, at every gateway."""
        for endpoint in self.endpoints:
            assert await self.operator.beat(self.core[-1], endpoint) == 200
        idents = {item.ident for item in self.endpoints}
        for running in self.gateways.values():
            site = running.site
            await platform_site.until(
                lambda: site.version > 0
                and idents == set(site.table.alive)
                and not site.health.broken(site.loop_time())
            )

    async def ask(self, number: int, path: str, body: bytes) -> bytes:
        """Send a request to a gateway, under an id that is new."""
        self._asked += 1
        reader, writer = await asyncio.open_connection(
            *self.plan.front(number)
        )
        head = (
            f"POST {path} HTTP/1.1\r\nHost: site.example\r\n"
            f"X-Request-Id: r{self._asked}\r\nX-Deadline-Ms: 3000\r\n"
            "X-Token-Usage: 100,50\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        try:
            return await reader.read()
        finally:
            writer.close()


def _document() -> dict:
    return platform_site.document()


@contextlib.asynccontextmanager
async def site(
    root: pathlib.Path, *, core: tuple[int, ...] = (11,), lost: int = 0
) -> AsyncIterator[Site]:
    """A site whose endpoints run; power is off."""
    plan = platform_site.Plan(root=root)
    found = Site(plan=plan, core=core, lost=lost)
    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        http = await enter(aiohttp.ClientSession())
        found.operator = platform_site.Operator(plan=plan, http=http)
        for endpoint in found.endpoints:
            await enter(endpoint.running())
        yield found
