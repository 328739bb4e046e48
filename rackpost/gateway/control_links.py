"""A gateway's links to the coordinators, which send routes and endpoints."""

import asyncio

import msgspec

from rackpost.coordinator import directory
from rackpost.coordinator import links
from rackpost.coordinator import messages
from rackpost.decide import notice_relays
from rackpost.decide import quarantine
from rackpost.decide import role_reports
from rackpost.gateway import routing_updates
from rackpost.gateway import site as site_mod
from rackpost.link import websocket
from rackpost import logs
from rackpost.platform import settings
from rackpost.routing import digests
from rackpost.routing import endpoints
from rackpost.scheduler import messages as scheduler
from rackpost import types

# Endpoints with a heartbeat within this time are reported to a coordinator
# that asks, in seconds; a little more than the heartbeat interval.
_RECENT_HEARTBEAT_S = 1.5


class ControlLinks:
    """Links to all known coordinators.

    The highest version of the routing document and the latest state of each
    endpoint count, whichever coordinator sent them.
    """

    def __init__(self, *, site: site_mod.Site) -> None:
        self._site = site
        self._host = site.host
        self._loop = asyncio.get_running_loop()
        port = self._host.internal_ports[0]
        self._load_address = f"{self._host.ip}:{port + links.LOADS_PORT}"
        self._dialler = links.Dialler(
            part=logs.Part.GATEWAY,
            port=port + links.LINKS_PORT,
            kinds=messages.ToGateway,
            on_link=self._serve_link,
        )
        self._seeds: set[str] = set()
        self._reports: dict[str, messages.Peers] = {}
        self._changing: dict[str, tuple[types.EndpointId, ...]] = {}
        self._updates = routing_updates.RoutingUpdates(site=site)
        self._evidence = role_reports.EvidenceReports()
        # Links on which a coordinator has reported its document version.
        self._linked: set[websocket.WebSocketChannel] = set()
        site.crash_tracker.publish = self._publish_suspicions
        site.overload.round_trip_s = self._round_trip_s
        self.reload(self._host)

    def _round_trip_s(self) -> float | None:
        """Return the latest round trip to the nearest coordinator."""
        found = [conn.round_trip_s for conn in self._linked]
        known = [seconds for seconds in found if seconds is not None]
        return min(known, default=None)

    @property
    def linked_count(self) -> int:
        """How many coordinators are linked."""
        return len(self._linked)

    @property
    def offered_version(self) -> int | None:
        """The newest document version of linked coordinators, if any."""
        return self._updates.newest

    def reload(self, host: settings.HostSettings) -> None:
        """Apply new settings: other seeds."""
        self._seeds = {links.host_of(item) for item in host.seeds}
        self._set_hosts()

    def _on_changing_roles(
        self, host: str, msg: messages.ChangingEndpoints
    ) -> None:
        # Only the leader reports any.  A former leader's report is dropped
        # with its next report or its link.
        self._changing[host] = msg.ids
        self._site.eligibility.set_changing_role(
            key for ids in self._changing.values() for key in ids
        )
        self._site.capacity_changed.set()

    def publish_demands(self) -> None:
        """Report the demand of this gateway's clients to all coordinators."""
        self._evidence.record(
            has_requests=self._site.has_early_requests(),
            knows_times=self._site.token_timing.is_known,
        )
        msg = messages.Demands(
            items=self._site.demands(),
            quotas=self._site.quota_use.recent(self._loop.time()),
            waiting=self._site.waiting_use.groups(self._loop.time()),
        )
        self._send_to_all(msg)

    def publish_new_demands(self) -> None:
        """Report the demand if it shows what the last report lacked."""
        found = self._evidence.due(
            has_requests=self._site.has_early_requests(),
            knows_times=self._site.token_timing.is_known,
        )
        if found is not None:
            self._site.metrics.count("early_demand_reports", found)
            self.publish_demands()

    def _send_to_all(
        self,
        msg: msgspec.Struct,
        exclude: websocket.WebSocketChannel | None = None,
    ) -> None:
        """Send a message to all coordinators but one.

        A link whose queue is full may be closed by the send.
        """
        for conn in list(self._linked):
            if conn is not exclude:
                conn.send(msg)

    def _publish_suspicions(
        self, items: tuple[quarantine.Suspicion, ...]
    ) -> None:
        """Send suspicions against requests to all coordinators."""
        self._send_to_all(messages.Suspicions(items=items))

    def _on_linked(self, host: str, conn: websocket.WebSocketChannel) -> None:
        """Send the known suspicions to a newly linked coordinator."""
        self._linked.add(conn)
        self._site.capacity.link(host, conn)
        self._site.origins.link(conn)
        items = self._site.crash_tracker.quarantine.suspicions(
            1, self._loop.time()
        )
        if items:
            conn.send(messages.Suspicions(items=items))

    def _current_reports(self) -> list[messages.Peers]:
        """Return the reports of linked coordinators, or else all reports."""
        linked = [
            report
            for host, report in self._reports.items()
            if host in self._dialler.linked_hosts
        ]
        return linked or list(self._reports.values())

    def _set_hosts(self) -> None:
        hosts = set(self._seeds)
        for report in self._current_reports():
            hosts.update(report.coordinators)
        self._dialler.set_hosts(hosts)

    async def _serve_link(
        self, host: str, conn: websocket.WebSocketChannel
    ) -> None:
        conn.attach(
            receive=lambda msg: self._on_message(host, conn, msg),
            closed=lambda: self._closed(host, conn),
        )
        conn.send(
            messages.GatewayHello(
                vm=self._host.vm, load_address=self._load_address
            )
        )

    def _closed(self, host: str, conn: websocket.WebSocketChannel) -> None:
        self._linked.discard(conn)
        self._site.origins.unlink(conn)
        self._updates.link_lost(conn)
        self._site.capacity.unlink(host, conn)
        if self._changing.pop(host, None):
            self._on_changing_roles(host, messages.ChangingEndpoints(ids=()))
        # Its report on other hosts is kept: they may still be running.

    def _on_message(
        self,
        host: str,
        conn: websocket.WebSocketChannel,
        msg: msgspec.Struct,
    ) -> None:
        if isinstance(msg, messages.RoutingVersion):
            if conn not in self._linked:
                self._on_linked(host, conn)
            self._updates.record_version(conn, host, msg)
        elif isinstance(msg, messages.RoutingChunk):
            self._updates.receive_chunk(conn, msg)
        elif isinstance(msg, messages.EndpointUpdate):
            self._on_endpoints(host, conn, msg)
        elif isinstance(msg, messages.HeartbeatNotice):
            self._site.table.record_heartbeat_digests(
                msg.digests, self._loop.time()
            )
        elif isinstance(msg, messages.SilenceQuery):
            self._on_silence_query(conn, msg)
        elif isinstance(msg, messages.Suspicions):
            self._site.crash_tracker.receive(msg.items, self._loop.time())
        elif isinstance(msg, messages.OriginAnswer):
            self._site.origins.receive_answer(msg)
        elif isinstance(msg, messages.ChangingEndpoints):
            self._on_changing_roles(host, msg)
        elif isinstance(msg, messages.Peers):
            self._reports[host] = msg
            self._set_hosts()
            self._set_gateways()
        elif isinstance(msg, scheduler.FromScheduler):
            self._site.capacity.receive(host, msg)

    def _on_silence_query(
        self, conn: websocket.WebSocketChannel, msg: messages.SilenceQuery
    ) -> None:
        """Report which endpoints another coordinator has heartbeats of."""
        since = self._loop.time() - _RECENT_HEARTBEAT_S
        known = set(self._site.table.with_heartbeat_since(since))
        found = tuple(key for key in msg.ids if key in known)
        if found:
            conn.send(messages.HeartbeatNotice(digests=digests.pack(found)))

    def _on_endpoints(
        self,
        host: str,
        conn: websocket.WebSocketChannel,
        msg: messages.EndpointUpdate,
    ) -> None:
        table = self._site.table
        before = {item.id: table.alive.get(item.id) for item in msg.alive}
        for item in msg.alive:
            self._site.versions.record_endpoint(item, self._loop.time())
        changed = directory.apply_update(table, msg, self._loop.time())
        if changed:
            self._site.crash_tracker.record_ends(self._loop.time())
        for item in changed:
            old = before.get(item.id)
            if item.state is endpoints.EndpointState.GONE or (
                old is not None and table.has_restarted(old)
            ):
                # The health of an earlier incarnation does not apply.
                self._site.health.forget(item.id)
                self._site.measured_pace.forget(item.id)
            logs.say(
                logs.Part.GATEWAY,
                "Endpoint changed.",
                endpoint=item.id,
                state=item.state.value,
                role=item.role.value,
                sequence=item.sequence,
                born=item.born,
                software=item.software,
                told_by=host,
            )
        if changed:
            self._relay_updates(conn, changed)
            self._site.capacity_changed.set()

    def _relay_updates(
        self,
        source: websocket.WebSocketChannel,
        changed: list[endpoints.Endpoint],
    ) -> None:
        """Relay updates to coordinators that may not reach each other."""
        site = self._site
        for item in changed:
            if not notice_relays.is_relay(
                site.host.vm, site.gateways, item.id
            ):
                continue
            self._send_to_all(directory.update_for(item), exclude=source)

    def _set_gateways(self) -> None:
        self._site.set_gateways(
            [
                item
                for report in self._current_reports()
                for item in report.gateways
            ]
        )

    def close(self) -> None:
        """Close all links."""
        self._updates.close()
        self._dialler.close()
