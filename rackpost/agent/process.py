"""The agent process: links to its endpoint, the entries and control."""

import asyncio
import contextlib
import random
import time
from typing import AsyncIterator

from rackpost.agent import core
from rackpost.agent import engine_http
from rackpost.agent import orders
from rackpost import config
from rackpost.control import client as client_mod
from rackpost.control import messages as control_messages
from rackpost.decide import reservations
from rackpost import exceptions
from rackpost.link import messages
from rackpost.link import websocket
from rackpost import logs
from rackpost import metrics as metrics_mod
from rackpost.state import commands
from rackpost import types


class AgentProcess:
    """An agent with its server for entries and its control client."""

    def __init__(self, *, opts: config.AgentOptions) -> None:
        self.opts = opts
        self._security = opts.security()
        self.metrics = metrics_mod.Metrics()
        self.incarnation = types.Incarnation(time.time_ns())
        self._engine = engine_http.HttpEngine(url=opts.endpoint)
        role = opts.parsed_role()
        self.ledger = reservations.ReservationLedger(
            spec=reservations.EndpointSpec(
                role=role,
                slots=opts.slots,
                prefill_tokens_s=opts.prefill_rate,
                step_s=opts.step,
                link_bytes_s=opts.link_rate,
            )
        )
        self.agent = core.Agent(
            cfg=core.AgentConfig(
                agent=types.AgentId(opts.name),
                service=types.ServiceName(opts.service),
                data_centre=types.DataCentre(opts.data_centre),
                incarnation=self.incarnation,
            ),
            engine=self._engine,
            ledger=self.ledger,
            metrics=self.metrics,
            on_peer_revision=self._on_peer_revision,
        )
        self.client: client_mod.ControlClient | None = None
        self.orders: orders.OrderExecutor | None = None

    def _client(self, port: int) -> client_mod.ControlClient:
        opts = self.opts
        host = opts.bind()[0]
        member = commands.MemberInfo(
            name=opts.name,
            vm=types.VmId(opts.vm),
            data_centre=types.DataCentre(opts.data_centre),
            address=opts.advertise or f"{host}:{port}",
            incarnation=self.incarnation,
            service=types.ServiceName(opts.service),
            role=opts.parsed_role(),
        )
        self.orders = orders.OrderExecutor(
            name=opts.name,
            incarnation=self.incarnation,
            agent=self.agent,
            engine=self._engine,
            metrics=self.metrics,
        )
        return client_mod.ControlClient(
            name=opts.name,
            incarnation=self.incarnation,
            addresses=opts.control_addresses(),
            connect=lambda where: websocket.connected(
                where,
                security=self._security,
                kinds=control_messages.FromControl,
            ),
            rng=random.Random(),
            join=member,
            changed=self._changed,
            ordered=self.orders.on_order,
        )

    def _changed(self) -> None:
        assert self.client is not None
        self.ledger.revision = self.client.in_force.revision

    def _on_peer_revision(self, revision: types.Revision) -> None:
        if self.client is not None:
            self.client.fetch_if_behind(revision)

    async def _accept(self, conn: websocket.WebSocketChannel) -> None:
        self.agent.connect(conn)
        await conn.run()
        if conn.bad_frames:
            self.metrics.count("dropped", types.Drop.BAD_FRAME)

    def _refused(self, why: str) -> None:
        self.metrics.count("refused_peer", types.Refusal.NOT_OF_THE_SITE)
        logs.say(logs.Part.AGENT, "Refused a peer.", why=why)

    def _ready(self) -> tuple[int, str]:
        if self.client is not None and self.client.ready.is_set():
            return 200, "ready\n"
        return 503, "no settings yet\n"

    def _metrics(self) -> tuple[int, str]:
        self.metrics.gauge("open_attempts", self.agent.open_attempts)
        return 200, self.metrics.text()

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncIterator[int]:
        """Serve entries; yields the port.  On exit, give up all attempts."""
        host, port = self.opts.bind()
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._engine.close)
            await stack.enter_async_context(core.running(self.agent))
            bound_port = await stack.enter_async_context(
                websocket.serving(
                    host,
                    port,
                    security=self._security,
                    kinds=messages.FromEntry,
                    accept=self._accept,
                    refused=self._refused,
                    pages={
                        "/metrics": self._metrics,
                        "/healthz": lambda: (200, "ok\n"),
                        "/readyz": self._ready,
                    },
                )
            )
            self.client = self._client(bound_port)
            task = asyncio.create_task(self.client.run())
            logs.say(logs.Part.AGENT, "Serving entries.", port=bound_port)
            try:
                yield bound_port
            finally:
                task.cancel()

    async def stop(self) -> None:
        """Refuse new work, wait for what runs, then leave the site."""
        logs.say(logs.Part.AGENT, "Leaving.", open=self.agent.open_attempts)
        self.agent.leave()
        await self.agent.drained()
        if self.client is not None:
            with contextlib.suppress(exceptions.ControlError):
                await self.client.commit(
                    commands.Remove(
                        name=self.opts.name, incarnation=self.incarnation
                    )
                )
