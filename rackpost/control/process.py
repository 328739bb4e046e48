"""The process of a control replica, with its disk, peers and clients."""

import asyncio
import contextlib
import pathlib
import random
from typing import AsyncIterator
from typing import Union

import msgspec

from rackpost import config
from rackpost.consensus import messages as consensus
from rackpost.consensus import storage
from rackpost.control import messages
from rackpost.control import node as node_mod
from rackpost.control import operators
from rackpost.control import platform
from rackpost.control import service
from rackpost import exceptions
from rackpost import http_server
from rackpost.link import websocket
from rackpost import logs
from rackpost import metrics as metrics_mod
from rackpost import types

_RELINK_PAUSE_S = 0.2
_FromAny = Union[messages.FromClient, messages.FromReplica]


class Ports(msgspec.Struct, frozen=True, kw_only=True):
    """The ports on which the replica listens."""

    links: int
    operators: int


def create(
    opts: config.ControlOptions, *, replica: str, first: list[str]
) -> None:
    """Create the data folder of a new replica.

    `first` are the voters of a new site, including this replica, or empty if
    the replica joins a site.
    """
    if first and replica not in first:
        raise exceptions.ConfigError(
            "the first voters must include this replica"
        )
    voters = tuple(consensus.ReplicaId(item) for item in first)
    storage.create(
        pathlib.Path(opts.data),
        replica=consensus.ReplicaId(replica),
        config=consensus.Config(voters=voters),
    )


class ControlProcess:
    """A running control replica."""

    def __init__(self, *, opts: config.ControlOptions) -> None:
        self.opts = opts
        self.metrics = metrics_mod.Metrics()
        self._security = opts.security()
        self._disk = storage.FileDisk(folder=pathlib.Path(opts.data))
        loaded = self._disk.load()
        if loaded.torn_bytes:
            logs.say(
                logs.Part.CONTROL,
                "Cut a torn frame off the log.",
                bytes=loaded.torn_bytes,
            )
        self.node = node_mod.Node(
            loaded=loaded, disk=self._disk, rng=random.Random()
        )
        self.service = service.Service(node=self.node, metrics=self.metrics)

    async def _accept(self, conn: websocket.WebSocketChannel) -> None:
        first: asyncio.Future[msgspec.Struct] = (
            asyncio.get_running_loop().create_future()
        )

        def receive(msg: msgspec.Struct) -> None:
            if not first.done():
                first.set_result(msg)
                self._on_first_message(conn, msg)

        conn.attach(receive=receive, closed=lambda: None)
        await conn.run()

    def _on_first_message(
        self, conn: websocket.WebSocketChannel, msg: msgspec.Struct
    ) -> None:
        if isinstance(msg, messages.ReplicaHello):
            self.node.connect(msg.replica, conn)
            return
        self.service.connect(conn)
        conn._deliver(msg)

    def _on_refused(self, why: str) -> None:
        self.metrics.count("refused_peer", types.Refusal.NOT_OF_THE_SITE)
        logs.say(logs.Part.CONTROL, "Refused a peer.", why=why)

    async def _link_to(self, peer: str, address: str) -> None:
        # Of two replicas the one with the lower id opens the link.
        while True:
            with contextlib.suppress(exceptions.LinkError):
                async with websocket.connected(
                    address,
                    security=self._security,
                    kinds=messages.FromReplica,
                ) as conn:
                    conn.send(messages.ReplicaHello(replica=self.node.me))
                    self.node.connect(consensus.ReplicaId(peer), conn)
                    await conn.ended()
            await asyncio.sleep(_RELINK_PAUSE_S)

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncIterator[Ports]:
        """Serve replicas, processes and operators; yield the ports.

        If the disk fails, the replica stops and `failed` is set.
        """
        self.failed: asyncio.Event = asyncio.Event()
        host, port = self.opts.bind()
        op_host, op_port = config.address(self.opts.operators, "--operators")
        app = operators.OperatorApp(
            node=self.node,
            metrics=self.metrics,
            key=self.opts.operator_key(),
        )
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._disk.close)
            links = await stack.enter_async_context(
                websocket.serving(
                    host,
                    port,
                    security=self._security,
                    kinds=_FromAny,
                    accept=self._accept,
                    refused=self._on_refused,
                )
            )
            operators_port = await stack.enter_async_context(
                http_server.serving(app.app, host=op_host, port=op_port)
            )
            tasks = [
                asyncio.create_task(self._run_node()),
                asyncio.create_task(self.service.run()),
            ]
            if self.opts.platform_list:
                hints = platform.LeavingVmOrders(
                    node=self.node,
                    platform=platform.HttpList(url=self.opts.platform_list),
                )
                tasks.append(asyncio.create_task(hints.run()))
            for peer, address in self.opts.peer_addresses().items():
                if self.node.me < peer:
                    tasks.append(
                        asyncio.create_task(self._link_to(peer, address))
                    )
            logs.say(logs.Part.CONTROL, "Serving.", links=links)
            try:
                yield Ports(links=links, operators=operators_port)
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.wait(tasks)

    async def _run_node(self) -> None:
        try:
            await self.node.run()
        except exceptions.RackpostError as exc:
            logs.say(logs.Part.CONTROL, "Replica stopped.", why=str(exc))
            self.failed.set()
