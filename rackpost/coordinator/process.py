"""The coordinator as a process: consensus, directory, links and HTTP."""

import asyncio
import contextlib
import functools
import pathlib
import random
from typing import AsyncIterator

import msgspec

from rackpost import background
from rackpost.consensus import messages as consensus
from rackpost.control import messages as control
from rackpost.control import node as node_mod
from rackpost.coordinator import api
from rackpost.coordinator import commit_marks
from rackpost.coordinator import directory as directory_mod
from rackpost.coordinator import disk as disk_mod
from rackpost.coordinator import links
from rackpost.coordinator import members
from rackpost.coordinator import messages
from rackpost.coordinator import origin_store
from rackpost.coordinator import overview
from rackpost.coordinator import peers
from rackpost.coordinator import quarantine_keeper
from rackpost.coordinator import roles
from rackpost.coordinator import routing_feed
from rackpost.decide import features
from rackpost import exceptions
from rackpost.http1 import address
from rackpost.http1 import message
from rackpost.http1 import pages
from rackpost.http1 import server
from rackpost.link import channel
from rackpost.link import websocket
from rackpost import listening
from rackpost import logs
from rackpost import metrics as metrics_mod
from rackpost.platform import documents
from rackpost.platform import settings
from rackpost import process_figures
from rackpost.routing import endpoints
from rackpost.routing import model
from rackpost.scheduler import host as scheduler_host
from rackpost.scheduler import messages as scheduler_messages
from rackpost.state import machine

# Time for a dialled coordinator to send its hello.
_HELLO_TIMEOUT_S = 1.0
# Missed heartbeats after which an endpoint counts in no pool.  Longer than
# most restarts, shorter than a change of role.
_SILENT_HEARTBEATS = 8.0
# Schedulers use an endpoint without this many heartbeats last, as gateways do.
_MAX_MISSED_HEARTBEATS = 3.5
# Share of the VM's memory for calls of operators and endpoints.
_REQUESTS_MEMORY_SHARE = 0.1
# How often received heartbeats are published.
_HEARTBEAT_NOTICE_S = 0.5


def data_folder(host: settings.HostSettings) -> pathlib.Path:
    """Return a coordinator's data folder; raises ConfigError without one."""
    settings.check_coordinator(host)
    assert host.data_dir is not None
    return pathlib.Path(host.data_dir)


def open_disk(host: settings.HostSettings) -> disk_mod.OpenDisk:
    """Open a coordinator's disk; raises OSError if it fails now."""
    first = {links.host_of(item) for item in host.seeds}
    return disk_mod.open_disk(
        data_folder(host),
        host=host.ip,
        first_hosts=tuple(sorted(first)) if host.first_start else (),
    )


async def wait_for_disk(host: settings.HostSettings) -> disk_mod.OpenDisk:
    """Open a coordinator's disk once it can be read and written."""
    return await disk_mod.wait_until_open(
        data_folder(host), functools.partial(open_disk, host)
    )


class Coordinator:
    """A running coordinator."""

    def __init__(
        self,
        *,
        host: settings.HostSettings,
        opened: disk_mod.OpenDisk,
        parts: features.Overrides = features.NO_OVERRIDES,
    ) -> None:
        """The coordinator runs within `serving`, which closes its disk.

        `parts` are the parts of load management that a setting switches.
        """
        self._loop = asyncio.get_running_loop()
        self._host = host
        self.metrics = metrics_mod.Metrics()
        self.tasks = background.Tasks(part=logs.Part.COORDINATOR)
        self._memory = process_figures.MemoryWatch(
            part=logs.Part.COORDINATOR, limit_mb=host.limits.memory_mb
        )
        self._file_disk, loaded = opened
        # A record survives the loss of as many disks as the site tolerates.
        copies = host.tolerance.vms + 1
        self.node = node_mod.Node(
            loaded=loaded,
            disk=disk_mod.RetryingDisk(disk=self._file_disk),
            rng=random.Random(),
            copies=copies,
        )
        self.node.on_other_message = self._on_other
        self.commit_marks = commit_marks.CommitMarks(
            node=self.node, disk=self._file_disk
        )
        self.directory = directory_mod.Directory(
            heartbeat_s=host.heartbeat_ms / 1000.0, rng=random.Random()
        )
        self.quarantine = quarantine_keeper.QuarantineKeeper(
            file=quarantine_keeper.QuarantineFile(folder=data_folder(host)),
            endpoint_table=self.directory.table,
            send_to_gateways=self.directory.send_to_gateways,
            send_to_replicas=self.node.broadcast,
        )
        self.schedulers = scheduler_host.SchedulerHost(
            name=host.vm,
            table=self.directory.table,
            silent_after_s=_MAX_MISSED_HEARTBEATS * host.heartbeat_ms / 1000.0,
            metrics=self.metrics,
            parts=parts,
        )
        self.origins = origin_store.OriginStore()
        self._parts = parts
        self.feed = routing_feed.RoutingFeed()
        self._decoder = documents.IncrementalDecoder()
        self._peers = peers.PeerPublisher(
            directory=self.directory,
            coordinators=lambda: self._members.hosts | {self._host.ip},
        )
        self._port = host.internal_ports[0]
        self._dialler = links.Dialler(
            part=logs.Part.COORDINATOR,
            port=self._port + links.LINKS_PORT,
            kinds=messages.FromAny,
            on_link=self._on_link,
        )
        self._roles = roles.RoleBalancer(
            node=self.node,
            directory=self.directory,
            vm=host.vm,
            lease_s=host.bounds.lease_ms / 1000.0,
            silent_s=_SILENT_HEARTBEATS * host.heartbeat_ms / 1000.0,
            on_changing=self._publish_changing,
        )
        # The document of a loaded snapshot is in force at once.
        self._publish_routing()
        self._members = members.MembershipManager(
            node=self.node,
            dialler=self._dialler,
            ip=host.ip,
            seeds=host.seeds,
            copies=copies,
            on_change=self._peers.publish_soon,
        )

    # Links.

    async def _on_link(
        self, host: str, conn: websocket.WebSocketChannel
    ) -> None:
        hello: asyncio.Future[msgspec.Struct] = self._loop.create_future()

        def first(msg: msgspec.Struct) -> None:
            if not hello.done():
                hello.set_result(msg)

        conn.attach(receive=first, closed=lambda: None)
        conn.send(control.ReplicaHello(replica=self.node.me))
        try:
            async with asyncio.timeout(_HELLO_TIMEOUT_S):
                msg = await hello
        except TimeoutError:
            conn.close()
            return
        if isinstance(msg, control.ReplicaHello):
            self.node.connect(msg.replica, conn)
            conn.send(self.directory.full_update())

    async def _accept(self, conn: websocket.WebSocketChannel) -> None:
        conn.attach(
            receive=lambda msg: self._on_hello(conn, msg),
            closed=lambda: None,
        )
        await conn.run()

    def _on_hello(self, conn: channel.Channel, msg: msgspec.Struct) -> None:
        if isinstance(msg, control.ReplicaHello):
            conn.send(control.ReplicaHello(replica=self.node.me))
            self._members.record_dialling_host(msg.replica)
            self.node.accept(msg.replica, conn)
        elif isinstance(msg, messages.GatewayHello):
            self._accept_gateway(conn, msg)

    def _accept_gateway(
        self, conn: channel.Channel, hello: messages.GatewayHello
    ) -> None:
        self.directory.gateways[conn] = hello
        conn.attach(
            receive=lambda msg: self._on_gateway(conn, msg),
            closed=lambda: self._on_gateway_lost(conn),
        )
        logs.say(logs.Part.COORDINATOR, "Gateway linked.", peer=hello.vm)
        evidence = self.quarantine.initial_evidence()
        if evidence is not None:
            # Before the document, with which the gateway starts to serve.
            conn.send(evidence)
        conn.send(self.feed.announcement())
        conn.send(self.directory.full_update())
        conn.send(messages.ChangingEndpoints(ids=self._roles.changing))
        self._peers.greet_gateway(conn)
        self.schedulers.link(hello.vm, conn)

    def _on_gateway_lost(self, conn: channel.Channel) -> None:
        hello = self.directory.gateways.pop(conn, None)
        if hello is not None:
            self.directory.quotas.pop(hello.vm, None)
            self.directory.waiting.pop(hello.vm, None)
            self.schedulers.unlink(hello.vm, conn)
            logs.say(logs.Part.COORDINATOR, "Gateway lost.", peer=hello.vm)
            self._peers.publish_soon()

    def _on_gateway(self, conn: channel.Channel, msg: msgspec.Struct) -> None:
        if isinstance(msg, messages.EndpointUpdate):
            self._on_endpoint_update(msg)
        elif isinstance(msg, messages.Demands):
            hello = self.directory.gateways[conn]
            self._roles.record_demand(hello.vm, msg.items)
            self.directory.quotas[hello.vm] = msg.quotas
            self.directory.waiting[hello.vm] = msg.waiting
        elif isinstance(msg, messages.HeartbeatNotice):
            self.directory.table.record_heartbeat_digests(
                msg.digests, self._loop.time()
            )
        elif isinstance(msg, messages.Suspicions):
            self.quarantine.receive(msg)
        elif isinstance(msg, messages.OriginNotice | messages.OriginQuery):
            self.origins.receive(conn, msg)
        elif isinstance(msg, messages.FetchRouting):
            chunk = self.feed.chunk(msg)
            if chunk is not None:
                conn.send(chunk)
        elif isinstance(msg, scheduler_messages.ToScheduler):
            hello = self.directory.gateways[conn]
            self.schedulers.receive(hello.vm, conn, msg)

    def _publish_changing(self) -> None:
        self.directory.send_to_gateways(
            messages.ChangingEndpoints(ids=self._roles.changing)
        )

    def _on_other(
        self, peer: consensus.ReplicaId, msg: msgspec.Struct
    ) -> None:
        if isinstance(msg, messages.Join):
            self._members.receive_join(msg)
        elif isinstance(msg, messages.Leave):
            self._members.receive_leave(msg)
        elif isinstance(msg, messages.HeartbeatNotice):
            self.directory.table.record_heartbeat_digests(
                msg.digests, self._loop.time()
            )
        elif isinstance(msg, messages.EndpointUpdate):
            self._on_endpoint_update(msg)
        elif isinstance(msg, messages.Suspicions):
            self.quarantine.receive(msg)

    def _on_endpoint_update(self, msg: messages.EndpointUpdate) -> None:
        changed = directory_mod.apply_update(
            self.directory.table, msg, self._loop.time()
        )
        for item in changed:
            self.directory.send_to_gateways(directory_mod.update_for(item))

    def _send_to_replicas(self, item: endpoints.Endpoint) -> None:
        self.node.broadcast(directory_mod.update_for(item))

    # Routing.

    def _on_changes(self, changes: list[machine.Change] | None) -> None:
        self._publish_routing()
        self.directory.send_to_gateways(self.feed.announcement())

    def _publish_routing(self) -> None:
        """Publish the committed routing document if it is newer."""
        routing = self.node.machine.routing
        if routing is None:
            return
        published = self.feed.version
        if published is not None and routing.version <= published:
            return
        try:
            doc = self._decoder.decode_committed(routing.source)
            self.feed.publish(doc)
        except exceptions.RoutingError as exc:
            # Accepted by a newer release; gateways keep their version.
            logs.say(
                logs.Part.COORDINATOR,
                "Routing document can't be read.",
                version=routing.version,
                why=str(exc),
            )
            return
        self.schedulers.set_document(doc)
        logs.say(
            logs.Part.COORDINATOR,
            "Routing document in force.",
            version=routing.version,
        )
        profiles = features.profiles(
            doc.routes, doc.services, doc.organisations
        )
        self._roles.set_early_services(
            service
            for service, item in profiles.items()
            if features.Feature.EARLY_ROLES
            in features.features_for(item, self._parts)
        )

    def _metrics_page(self) -> tuple[int, str]:
        process_figures.record(self.metrics)
        return 200, self.metrics.text()

    def _status_page(self) -> tuple[int, str]:
        found = overview.overview(
            vm=self._host.vm,
            node=self.node,
            directory=self.directory,
            changing=self._roles.changing,
            quarantine=self.quarantine.table,
            now=self._loop.time(),
        )
        return 200, msgspec.json.encode(found).decode()

    # The process.

    def reload(self, host: settings.HostSettings) -> None:
        """Apply changed settings; only the seeds can change."""
        self._members.set_seeds(host.seeds)
        logs.say(
            logs.Part.COORDINATOR,
            "Settings reloaded.",
            seeds=sorted({links.host_of(item) for item in host.seeds}),
        )

    async def hand_over(self) -> None:
        """Let another coordinator vote in place of this one, if any may."""
        await self._members.hand_over()

    async def _maintain_directory(self) -> None:
        while True:
            await asyncio.sleep(_HEARTBEAT_NOTICE_S)
            notice = self.directory.take_heartbeats()
            if notice is not None:
                self.directory.send_to_gateways(notice)
                self.node.broadcast(notice)
            self.directory.query_silent()
            self.directory.forget_silent()
            self._memory.look()

    def _serving_links(self) -> contextlib.AbstractAsyncContextManager:
        return websocket.serving(
            self._host.ip,
            self._port + links.LINKS_PORT,
            security=links.SECURITY,
            kinds=messages.FromAny,
            accept=self._accept,
            refused=_refused,
            timeouts=links.TIMEOUTS,
        )

    def _serving_pages(self) -> contextlib.AbstractAsyncContextManager:
        return pages.serving(
            {
                b"/metrics": self._metrics_page,
                b"/status": self._status_page,
            },
            host=self._host.ip,
            port=self._port + links.METRICS_PORT,
            failed=_failed,
        )

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncIterator[None]:
        """Serve while the context is open."""
        http_api = api.Api(
            node=self.node,
            directory=self.directory,
            metrics=self.metrics,
            send_to_replicas=self._send_to_replicas,
            decoder=self._decoder,
            services=lambda: self.feed.services,
            quarantine=self.quarantine,
        )
        http = server.Server(
            handler=http_api.handle,
            failed=_failed,
            limits=model.Limits(body_bytes=16 << 20, idle_s=30.0),
            max_request_bytes=self._host.limits.memory_bytes(
                _REQUESTS_MEMORY_SHARE
            ),
        )
        control_at = address.split(self._host.listen.control)
        ip = self._host.ip
        tasks = self.tasks
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._file_disk.close)
            for serve, at in (
                (self._serving_links, f"{ip}:{self._port + links.LINKS_PORT}"),
                (
                    self._serving_pages,
                    f"{ip}:{self._port + links.METRICS_PORT}",
                ),
                (
                    lambda: http.serving(control_at.host, control_at.port),
                    self._host.listen.control,
                ),
            ):
                await stack.enter_async_context(
                    listening.kept(
                        serve, part=logs.Part.COORDINATOR, address=at
                    )
                )
            stack.enter_context(self.node.watched(self._on_changes))
            tasks.spawn(self.node.run(), vital=True)
            tasks.keep(self.commit_marks.run)
            tasks.keep(self.quarantine.run)
            tasks.keep(self.quarantine.watch)
            tasks.keep(self._members.run)
            tasks.keep(self._maintain_directory)
            tasks.keep(self._roles.run)
            tasks.keep(self.schedulers.run)
            try:
                yield
            finally:
                self._peers.close()
                self.schedulers.close()
                self._dialler.close()
                await tasks.close()


def _refused(why: str) -> None:
    logs.say(logs.Part.COORDINATOR, "Refused a peer.", why=why)


def _failed(req: message.Request, exc: Exception) -> None:
    logs.say(
        logs.Part.COORDINATOR,
        "Call failed.",
        path=req.path.decode("latin-1"),
        why=repr(exc),
    )
