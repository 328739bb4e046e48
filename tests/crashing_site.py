"""A site with endpoints that crash under some requests."""

import asyncio
import contextlib
import json
import pathlib
from typing import AsyncIterator
from typing import Callable
from typing import TypeVar

import aiohttp

from rackpost.coordinator import process as coordinator_process
from rackpost.decide import quarantine
from rackpost.gateway import process as gateway_process
from rackpost.http1 import message
from rackpost.http1 import server
from tests import platform_site

GATEWAYS = (31, 16)


# Id of the prompt part that crashes decode endpoints.
BAD_PART = "bad0"


def has_bad_part(req: message.Request) -> bool:
    """Whether a shared part of the prompt crashes decode endpoints."""
    parts = message.find(req.headers, b"x-prompt-prefix") or b""
    return BAD_PART.encode() in [
        item.partition(b":")[0] for item in parts.split(b",")[:-1]
    ]


class Endpoint(platform_site.Endpoint):
    """Crashes, with all that it runs, when it starts a crashing request.

    Some requests crash it in their prefill, and others in their decode, by
    their body or by a part of their prompt.
    """

    def __init__(self, *, ident: str, service: str, stage: str = "") -> None:
        super().__init__(ident=ident, service=service, stage=stage)
        self._name = ident
        self._running: set[server.Responder] = set()
        # Bodies under which it crashed, one for each incarnation.
        self.crashed_bodies: list[bytes] = []
        self.answer = self._run

    @property
    def running_now(self) -> int:
        return len(self._running)

    async def _run(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        is_prefill = message.find(req.headers, b"x-serving-stage") is not None
        if req.body.startswith(
            b"crash reader" if is_prefill else b"crash run"
        ) or (not is_prefill and has_bad_part(req)):
            self._crash(req, responder)
            return
        self._running.add(responder)
        try:
            if req.body.startswith(b"slow") and not is_prefill:
                await asyncio.sleep(platform_site.TIMEOUT_S)
            await self.default_answer(req, responder)
        finally:
            self._running.discard(responder)

    def _crash(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        self.crashed_bodies.append(req.body)
        for one in [responder, *self._running]:
            one.abort()
        # A new process, with a new id, at the same address.
        self.ident = f"{self._name}-{len(self.crashed_bodies)}"
        self.sequence = 0


class Site:
    """Some coordinators, two gateways, and endpoints of each role."""

    def __init__(
        self,
        *,
        plan: platform_site.Plan,
        core: tuple[int, ...],
        lost: int,
        endpoint: type[Endpoint] = Endpoint,
    ) -> None:
        self.plan = plan
        self.core = core
        self.lost = lost
        self.plain = [
            endpoint(ident=f"p{n}", service="plain") for n in range(2)
        ]
        self.prefill = [
            endpoint(ident=f"pre{n}", service="model", stage="prefill")
            for n in range(2)
        ]
        self.decode = [
            endpoint(ident=f"dec{n}", service="model", stage="decode")
            for n in range(4)
        ]
        self.operator: platform_site.Operator
        self.coordinators: dict[int, coordinator_process.Coordinator] = {}
        self.gateways: dict[int, gateway_process.Gateway] = {}
        self._stacks: dict[int, contextlib.AsyncExitStack] = {}
        self._lost_disks = 0
        self._request_count = 0

    @property
    def endpoints(self) -> list[Endpoint]:
        return [*self.plain, *self.prefill, *self.decode]

    @property
    def crashes(self) -> int:
        return sum(len(item.crashed_bodies) for item in self.endpoints)

    @property
    def bad_part_arrivals(self) -> int:
        """How many requests with the bad part reached an endpoint."""
        return sum(
            has_bad_part(req)
            for item in self.endpoints
            for req in item.requests
        )

    def crashes_by(self, body: bytes) -> int:
        """Return how many endpoints crashed under one request."""
        return sum(item.crashed_bodies.count(body) for item in self.endpoints)

    def crashes_by_any(self, start: bytes) -> int:
        """Return how many endpoints crashed under bodies with a start."""
        return sum(
            body.startswith(start)
            for item in self.endpoints
            for body in item.crashed_bodies
        )

    async def start(self, number: int, *, first: bool = False) -> None:
        """Start a coordinator or a gateway."""
        is_core = number in self.core
        host = self.plan.host(
            number,
            kind="core" if is_core else "edge",
            seeds=self.core[:3],
            lost=self.lost,
            first=first,
        )
        stack = self._stacks[number] = contextlib.AsyncExitStack()
        enter = stack.enter_async_context
        if is_core:
            running = await enter(platform_site.coordinator(host))
            self.coordinators[number] = running
        else:
            self.gateways[number] = await enter(platform_site.gateway(host))

    async def stop(self, number: int) -> None:
        """Stop a process abruptly."""
        self.coordinators.pop(number, None)
        self.gateways.pop(number, None)
        await self._stacks.pop(number).aclose()

    def lose_disk(self, number: int) -> None:
        """Lose the disk of a coordinator that is down.

        The folder is renamed, not deleted: a disk thread of the stopped
        process may still write a file, which a real kill would have prevented.
        """
        self._lost_disks += 1
        folder = self.plan.root / f"core-{number}"
        folder.rename(self.plan.root / f"lost-{self._lost_disks}")

    @contextlib.asynccontextmanager
    async def powered(self, *, first: bool) -> AsyncIterator[None]:
        """Run all coordinators and gateways until the block ends."""
        try:
            for number in self.core:
                await self.start(number, first=first)
            await self.operator.put_until_accepted(self.core[-1], _document())
            for number in GATEWAYS:
                await self.start(number)
            await self.wait_until_known()
            yield
        finally:
            for number in list(self._stacks):
                await self.stop(number)

    async def wait_until_all_vote(self) -> None:
        """Wait until every coordinator votes, and all others know it.

        A coordinator that lost its disk has a new id, and its disk counts as
        lost until that id votes.
        """
        await platform_site.until(self._votes_are_known)

    def _votes_are_known(self) -> bool:
        nodes = [item.node for item in self.coordinators.values()]
        present = {node.me for node in nodes}
        return all(
            set(node.config.voters) == present and node.leader is not None
            for node in nodes
        )

    async def age_versions(self, seconds: float) -> None:
        """Let the gateways have known all endpoints for longer."""
        for running in self.gateways.values():
            history = running.site.versions
            await platform_site.until(lambda: history._known_since is not None)
            history._known_since -= seconds

    async def wait_until_known(self) -> None:
        """Wait until every gateway knows every endpoint's incarnation."""
        for endpoint in self.endpoints:
            assert (
                await self.operator.send_heartbeat(self.core[-1], endpoint)
                == 200
            )
        idents = {item.ident for item in self.endpoints}
        for running in self.gateways.values():
            site = running.site
            await platform_site.until(
                lambda: site.version is not None
                and idents == set(site.table.alive)
                and not site.health.failed_endpoints(site.loop_time())
            )

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def quarantine_tables(self) -> list[quarantine.Quarantine]:
        return [one.quarantine.table for one in self.coordinators.values()]

    async def wait_until_running(self, number: int) -> None:
        """Wait until this many requests run at the endpoints."""
        await platform_site.until(
            lambda: sum(item.running_now for item in self.endpoints) == number
        )

    async def quarantined(self) -> list[str]:
        """Return the fingerprints that operators see as quarantined."""
        ip, port = self.plan.ip(self.core[0]), self.plan.base + 2
        async with self.operator.http.get(f"http://{ip}:{port}/status") as got:
            found = json.loads(await got.read())
        return [item["fingerprint"] for item in found["held"]]

    async def release(self, fingerprint: str) -> int:
        url = self.plan.control_url(self.core[0])
        url = f"{url}/quarantine/{fingerprint}"
        async with self.operator.http.delete(url) as got:
            return got.status

    async def send(
        self, number: int, path: str, body: bytes, more: str = ""
    ) -> bytes:
        """Send a request to a gateway, with a new id."""
        self._request_count += 1
        reader, writer = await asyncio.open_connection(
            *self.plan.front(number)
        )
        head = (
            f"POST {path} HTTP/1.1\r\nHost: site.example\r\n"
            f"X-Request-Id: r{self._request_count}\r\nX-Deadline-Ms: 3000\r\n"
            "X-Token-Usage: 100,50\r\nConnection: close\r\n"
            f"{more}Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        try:
            return await reader.read()
        finally:
            writer.close()


_Site = TypeVar("_Site", bound=Site)


def _document() -> dict:
    return platform_site.document()


@contextlib.asynccontextmanager
async def site(
    root: pathlib.Path,
    *,
    core: tuple[int, ...] = (11,),
    lost: int = 0,
    make_site: Callable[..., _Site] = Site,
) -> AsyncIterator[_Site]:
    """A site whose endpoints run; no coordinator or gateway does yet."""
    plan = platform_site.Plan(root=root)
    found = make_site(plan=plan, core=core, lost=lost)
    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        http = await enter(aiohttp.ClientSession())
        found.operator = platform_site.Operator(plan=plan, http=http)
        for endpoint in found.endpoints:
            await enter(endpoint.running())
        yield found
