"""A small site over real loopback sockets, with simulated endpoints.

Coordinators and gateways run in one event loop, each on its own loopback
address; endpoints speak the platform's protocol and can be made to fail.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import socket
from typing import AsyncIterator
from typing import Awaitable
from typing import Callable

import aiohttp

from rackpost.coordinator import process as coordinator_process
from rackpost.gateway import policy as policy_mod
from rackpost.gateway import process as gateway_process
from rackpost.http1 import message
from rackpost.http1 import server
from rackpost.platform import settings

DATA_CENTRE = "hall-nord"

# Makes a fault fail a test in place of hanging it.
TIMEOUT_S = 30.0
# Below the ephemeral ports; a site uses 13 ports on each loopback address.
_FIRST_BASE = 10_000
_LAST_BASE = 30_000
_PORTS = 13
_HOST_NUMBERS = (11, 12, 13, 14, 15, 16, 31)


def _is_free(base: int) -> bool:
    for number in _HOST_NUMBERS:
        for port in range(base, base + _PORTS):
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as sock:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    try:
                        sock.bind((f"127.0.0.{number}", port))
                    except OSError:
                        return False
    return True


def free_base() -> int:
    """Return a base port from which all ports of a site are free.

    Each process tries the bases in another order, so that test suites that
    run side by side do not collide.
    """
    bases = list(range(_FIRST_BASE, _LAST_BASE, _PORTS))
    random.Random(os.getpid()).shuffle(bases)
    return next(base for base in bases if _is_free(base))


class Plan:
    """The addresses of one site."""

    def __init__(self, *, root: pathlib.Path) -> None:
        self.root = root
        self.base = free_base()

    def ip(self, number: int) -> str:
        return f"127.0.0.{number}"

    def host(
        self,
        number: int,
        *,
        kind: str,
        seeds: tuple[int, ...] = (11, 12, 13),
        first: bool = True,
        lost: int = 2,
        link_mbps: float = 0.0,
    ) -> settings.HostSettings:
        ip = self.ip(number)
        folder = self.root / f"{kind}-{number}"
        raw = {
            "node": f"{kind}-{number}",
            "ip": ip,
            "zone": DATA_CENTRE,
            "listen": {
                "front": f"{ip}:{self.base + 10}",
                "ready": f"{ip}:{self.base + 11}",
                "control": f"{ip}:{self.base + 12}",
            },
            "internalPorts": [self.base, self.base + 9],
            "seeds": [f"{self.ip(n)}:{self.base + 12}" for n in seeds],
            "bootstrap": first,
            "dataDir": str(folder) if kind == "core" else None,
            "heartbeatMs": 1200,
            "limits": {"linkMbps": link_mbps},
            "faultTolerance": {"machines": lost, "zones": 0, "regions": 0},
            "bounds": {
                "retryBudgetRatio": 0.2,
                "budgetWindowS": 10,
                "budgetSlack": 56,
                "graceS": 8,
                "drainMs": 2000,
                "configApplyMs": 2000,
            },
        }
        return settings.decode(json.dumps(raw).encode())

    def control_url(self, number: int) -> str:
        return f"http://{self.ip(number)}:{self.base + 12}"

    def front(self, number: int) -> tuple[str, int]:
        return self.ip(number), self.base + 10

    def front_url(self, number: int) -> str:
        return f"http://{self.ip(number)}:{self.base + 10}"

    def ready_url(self, number: int) -> str:
        return f"http://{self.ip(number)}:{self.base + 11}/v1/readiness"


@contextlib.asynccontextmanager
async def coordinator(
    host: settings.HostSettings,
) -> AsyncIterator[coordinator_process.Coordinator]:
    running = coordinator_process.Coordinator(
        host=host, opened=coordinator_process.open_disk(host)
    )
    async with running.serving():
        yield running


@contextlib.asynccontextmanager
async def gateway(
    host: settings.HostSettings,
    policy: policy_mod.Policy = policy_mod.Policy(),
) -> AsyncIterator[gateway_process.Gateway]:
    running = gateway_process.Gateway(host=host, policy=policy)
    async with running.serving():
        yield running


# The fields that endpoints always send in a heartbeat.
HEARTBEAT = {
    "service": "plain",
    "address": "10.0.0.1:80",
    "zone": DATA_CENTRE,
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 1,
}

Answer = Callable[[message.Request, server.Responder], Awaitable[None]]


def _echo_id(req: message.Request, responder: server.Responder) -> None:
    """Let each answer echo the request's id, as all endpoints do."""
    ident = message.find(req.headers, b"x-request-id")
    head = responder._head

    def echo(status: int, lines: list[message.Header]) -> bytes:
        if ident and message.find(lines, b"x-request-id") is None:
            lines = [*lines, (b"x-request-id", ident)]
        return head(status, lines)

    responder._head = echo  # type: ignore[method-assign]


def vouching_headers(req: message.Request) -> list[message.Header]:
    """Headers that an endpoint must set on each answer it vouches for."""
    ident = message.find(req.headers, b"x-request-id") or b""
    return [(b"x-request-id", ident), (b"x-response-seal", b"seal")]


class Endpoint:
    """An endpoint whose handler is `answer`."""

    def __init__(self, *, ident: str, service: str, stage: str = "") -> None:
        self.ident = ident
        self.service = service
        self.stage = stage
        self.software = "v1"
        self.sequence = 0
        self.requests: list[message.Request] = []
        self.address = ""
        self.answer: Answer = self.default_answer
        # Calls that set capacity aside or free it, apart from requests.
        self.hold_calls: list[message.Request] = []
        self.answer_hold: Answer = self.grant_hold
        # Additional headers of the default answers.
        self.extra_headers: list[message.Header] = []

    def _headers(self, req: message.Request) -> list[message.Header]:
        return vouching_headers(req) + self.extra_headers

    async def default_answer(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        if message.find(req.headers, b"x-serving-stage") == b"prefill":
            body = b'{"kvHandle":"h1","tokens":10,"version":1}'
            responder.send(200, self._headers(req), body)
        elif self.stage == "decode":
            await self.stream(req, responder, 1, 4)
        else:
            responder.send(200, self._headers(req), b"from " + req.body)

    async def grant_hold(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        """Grant what is asked for; the ids are numbered from 1."""
        number = sum(item.method == b"POST" for item in self.hold_calls)
        responder.send(
            200, [], b'{"hold":"%s-%d"}' % (self.ident.encode(), number)
        )

    async def stream(
        self,
        req: message.Request,
        responder: server.Responder,
        first: int,
        after: int,
    ) -> None:
        kind = [(b"content-type", b"text/event-stream")]
        responder.start(200, self._headers(req) + kind)
        for number in range(first, after):
            await responder.send_chunk(
                b"id: %d\ndata: x%d\n\n" % (number, number)
            )
        responder.finish()

    async def _handle(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        is_hold = req.path.startswith(b"/v1/hold-")
        (self.hold_calls if is_hold else self.requests).append(req)
        _echo_id(req, responder)
        expected = message.find(req.headers, b"x-expect-instance")
        if expected not in (None, self.ident.encode()):
            responder.send(421, [], b"")
            return
        answer = self.answer_hold if is_hold else self.answer
        await answer(req, responder)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator["Endpoint"]:
        listening = server.Server(
            handler=self._handle, failed=lambda req, exc: None
        )
        async with listening.serving("127.0.0.1", 0) as port:
            self.address = f"127.0.0.1:{port}"
            yield self

    def heartbeat(self, state: str = "ready", **more: object) -> dict:
        self.sequence += 1
        found = {
            "service": self.service,
            "address": self.address,
            "zone": DATA_CENTRE,
            "version": self.software,
            "slots": 6,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
        }
        if self.stage:
            found["stage"] = self.stage
        found.update(more)
        return found


def document(version: int = 1, **more: object) -> dict:
    """A document with a route of each kind."""

    def route(name: str, service: str, **own: object) -> dict:
        found = {
            "name": name,
            "hostname": "site.example",
            "pathPrefix": f"/{name}/",
            "kind": "safe",
            "timeoutMs": 3000,
            "targetLatencyMs": 400,
            "priority": 2,
            "service": service,
            "maxAttempts": 2,
        }
        found.update(own)
        return found

    found = {
        "version": version,
        "routes": [
            route("safe", "plain"),
            route("unsafe", "plain", kind="unsafe"),
            route("gen", "model", kind="streaming", maxAttempts=1),
            route("res", "model", kind="streaming", resumable=True),
        ],
        "services": [
            {"name": "plain", "maxConnections": 100},
            {
                "name": "model",
                "maxConnections": 100,
                "engine": {
                    "slots": 64,
                    "kvCapacityTokens": 1000,
                    "handleTtlS": 0.5,
                },
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 65536,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }
    found.update(more)
    return found


class Operator:
    """Sends coordinators the requests of operators and endpoints."""

    def __init__(self, *, plan: Plan, http: aiohttp.ClientSession) -> None:
        self.plan = plan
        self.http = http

    async def put(self, number: int, doc: object) -> int:
        url = self.plan.control_url(number) + "/v1/config"
        async with self.http.put(url, data=json.dumps(doc)) as resp:
            return resp.status

    async def put_until_accepted(self, number: int, doc: object) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while await self.put(number, doc) != 200:
                await asyncio.sleep(0.05)

    async def get(self, number: int) -> tuple[int, dict]:
        url = self.plan.control_url(number) + "/v1/config"
        async with self.http.get(url) as resp:
            return resp.status, json.loads(await resp.read())

    async def send_heartbeat(
        self, number: int, endpoint: Endpoint, state: str = "ready"
    ) -> int:
        url = self.plan.control_url(number)
        url = f"{url}/v1/instances/{endpoint.ident}"
        body = json.dumps(endpoint.heartbeat(state))
        async with self.http.put(url, data=body) as resp:
            return resp.status

    async def leave(self, number: int, endpoint: Endpoint) -> int:
        url = self.plan.control_url(number)
        url = f"{url}/v1/instances/{endpoint.ident}"
        async with self.http.delete(url) as resp:
            return resp.status


async def until(
    what: Callable[[], bool], timeout_s: float = TIMEOUT_S
) -> None:
    """Wait for a condition; fail the test if it is not met in time."""
    async with asyncio.timeout(timeout_s):
        while not what():
            await asyncio.sleep(0.01)


class Site:
    """One coordinator, one gateway and the endpoints of both services."""

    def __init__(self, *, plan: Plan) -> None:
        self.plan = plan
        self.plain = [
            Endpoint(ident=f"p{n}", service="plain") for n in range(2)
        ]
        self.prefill = Endpoint(ident="pre", service="model", stage="prefill")
        self.decode = [
            Endpoint(ident=f"dec{n}", service="model", stage="decode")
            for n in range(2)
        ]
        self.operator: Operator
        self.coordinator: coordinator_process.Coordinator
        self.gateway: gateway_process.Gateway

    @property
    def endpoints(self) -> list[Endpoint]:
        return [*self.plain, self.prefill, *self.decode]

    async def raw(self, data: bytes) -> bytes:
        """Send bytes to the gateway, and read until it closes."""
        reader, writer = await asyncio.open_connection(*self.plan.front(31))
        writer.write(data)
        try:
            return await reader.read()
        finally:
            writer.close()


@contextlib.asynccontextmanager
async def small_site(
    root: pathlib.Path,
    policy: policy_mod.Policy = policy_mod.Policy(),
    link_mbps: float = 0.0,
) -> AsyncIterator[Site]:
    """Run a site with a document and registered endpoints."""
    plan = Plan(root=root)
    site = Site(plan=plan)
    core = plan.host(11, kind="core", seeds=(11,), lost=0)
    edge = plan.host(31, kind="edge", seeds=(11,), link_mbps=link_mbps)
    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        http = await enter(aiohttp.ClientSession())
        site.operator = Operator(plan=plan, http=http)
        for endpoint in site.endpoints:
            await enter(endpoint.running())
        site.coordinator = await enter(coordinator(core))
        site.gateway = await enter(gateway(edge, policy))
        await site.operator.put_until_accepted(11, document())
        for endpoint in site.endpoints:
            assert await site.operator.send_heartbeat(11, endpoint) == 200
        await until(lambda: site.gateway.site.version == 1)
        await until(lambda: len(site.gateway.site.table.alive) == 5)
        yield site


Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@contextlib.asynccontextmanager
async def listening(serve: Serve) -> AsyncIterator[str]:
    """Listen for connections; yields the address."""
    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with listener:
        yield "127.0.0.1:%d" % listener.sockets[0].getsockname()[1]
