"""Exchanges load reports between gateways, by datagrams.

Each report is complete and repeated with each change and at least once a
second, so that a lost datagram does little harm.  Where `LOAD_DELTAS` is on,
or complete reports would take too much of the VM's link, changes go in smaller
reports (`delta_reports.py`).  Grants of endpoints' rates
(`rate_grants.py`) and origins of streams (`origin_exchange.py`) use the same
socket.
"""

import asyncio
import contextlib
import random
from typing import Any
from typing import AsyncIterator
from typing import Collection

import msgspec

from rackpost.coordinator import links
from rackpost.coordinator import messages
from rackpost.decide import load_deltas
from rackpost.decide import load_sync
from rackpost import exceptions
from rackpost.gateway import delta_reports
from rackpost.gateway import site as site_mod
from rackpost.http1 import address
from rackpost.link import codec
from rackpost import logs
from rackpost import types

# Changes are batched for this long, in seconds: a fixed part and one per
# gateway, which bounds the datagrams that a gateway receives.  The delay has
# to stay short, as until the report arrives other gateways may reserve the
# same capacity: in a burst, reports that are 54 ms old lead to twice as many
# preempted runs as reports of 13 ms (rackpost.testing.fleet).
_BATCHING_S = 0.006
_BATCHING_PER_GATEWAY_S = 0.0001
# Longest time between two reports, in seconds.
_MAX_INTERVAL_S = 1.0
# How long changes go in smaller reports after complete ones have taken too
# much of the link, in seconds.
_SMALL_REPORTS_S = 10.0
_INCARNATION_BITS = 48

_DECODER = codec.Decoder(kinds=messages.BetweenGateways)


def batching_delay_s(gateways: int) -> float:
    """Return how long changes are batched before a report, in seconds."""
    return _BATCHING_S + _BATCHING_PER_GATEWAY_S * gateways


class LoadExchange(asyncio.DatagramProtocol):
    """Sends this gateway's load reports and receives those of others."""

    def __init__(self, *, site: site_mod.Site) -> None:
        self._site = site
        self._transport: asyncio.DatagramTransport | None = None
        self._incarnation = random.getrandbits(_INCARNATION_BITS)
        self._sequence = 0
        host = site.host
        port = host.internal_ports[0] + links.LOADS_PORT
        self.address = f"{host.ip}:{port}"
        # What complete reports may use of the link; None if it is unknown.
        self._budget: load_sync.LinkBudget | None = None
        if host.limits.link_mbps > 0.0:
            self._budget = load_sync.LinkBudget(
                bytes_per_s=delta_reports.report_bytes_per_s(host.limits),
                now=site.loop_time(),
            )
        self._small_reports_until = site.loop_time()
        self._deltas = delta_reports.DeltaReports(
            site=site,
            incarnation=self._incarnation,
            next_sequence=self._next_sequence,
            complete_report=self._complete_report,
            send=self._send_to,
        )

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Handle a load report, or a message about grants or origins."""
        try:
            msg = _DECODER.decode(data)
        except exceptions.CodecError as exc:
            logs.say(
                logs.Part.GATEWAY, "Load report is unreadable.", why=str(exc)
            )
            return
        if isinstance(msg, messages.GatewayLoad):
            self._receive_load(msg, self._site.loop_time())
        elif isinstance(msg, messages.LoadDelta):
            self._receive_delta(msg, self._site.loop_time())
        elif isinstance(msg, messages.AboutOrigins):
            sender = address.Address(*addr[:2])
            self._site.origins.receive(msg, sender)
        else:
            self._site.rate_grants.receive(msg, address.Address(*addr[:2]))

    def _receive_load(self, msg: messages.GatewayLoad, now: float) -> None:
        site = self._site
        site.loads.receive(
            msg.vm,
            msg.incarnation,
            msg.sequence,
            msg.loads,
            now,
            waiting=msg.waiting,
            claims=msg.claims,
        )
        site.add_gateway(
            messages.GatewayAddress(vm=msg.vm, load_address=msg.load_address)
        )
        self._receive_other(msg.vm, msg.incarnation, msg, now)
        for endpoint in msg.rejecting:
            site.health.record_reported_full(endpoint, now)
        for endpoint in msg.failed:
            site.health.record_reported_failure(endpoint, now)
        site.measured_pace.receive(msg.paces, now, sender=msg.vm)
        site.capacity_changed.set()

    def _receive_delta(self, msg: messages.LoadDelta, now: float) -> None:
        site = self._site
        id_of = site.table.id_of_digest
        sender = site.loads.receive_changes(
            msg.incarnation,
            msg.sequence,
            load_deltas.unpack_loads(msg.loads, id_of),
            now,
            waiting=load_deltas.unpack_waiting(msg.waiting),
            claims=msg.claims,
        )
        if sender is None:
            return
        self._receive_other(sender, msg.incarnation, msg, now)
        for endpoint in load_deltas.unpack_ids(msg.rejecting, id_of):
            site.health.record_reported_full(endpoint, now)
        for endpoint in load_deltas.unpack_ids(msg.failed, id_of):
            site.health.record_reported_failure(endpoint, now)
        site.capacity_changed.set()

    def _receive_other(
        self,
        sender: types.VmId,
        incarnation: int,
        msg: messages.GatewayLoad | messages.LoadDelta,
        now: float,
    ) -> None:
        """Take in what both forms of reports have."""
        site = self._site
        site.orders.receive(sender, msg.contention, now)
        site.refusals.receive(msg.refused_keys, now)
        if site.quotas.receive(sender, incarnation, msg.quotas, now):
            # The sender lacks recent quota use of this gateway.
            self._deltas.require_complete(sender)
            site.loads_changed.set()
        for endpoint, left_s in msg.backoffs.items():
            site.health.record_reported_backoff(endpoint, left_s, now)
        for update in msg.named_rates:
            site.rate_grants.receive_rate(update, now)

    async def _publish(self) -> None:
        changed = self._site.loads_changed
        while True:
            if self._site.policy.share and self._sends_changes():
                found = [item.vm for item in self._recipients()]
                await self._deltas.wait_and_send(found)
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_MAX_INTERVAL_S):
                    await changed.wait()
                await asyncio.sleep(batching_delay_s(self._site.gateway_count))
            changed.clear()
            self._send()

    def _sends_changes(self) -> bool:
        """Whether changes go in reports of their own."""
        return (
            delta_reports.is_used(self._site)
            or self._site.loop_time() < self._small_reports_until
        )

    def _send(self) -> None:
        self._site.loads.changes.take()
        if not self._site.policy.share:
            return
        now = self._site.loop_time()
        data = codec.encode(self._report(now))
        recipients = [item.vm for item in self._recipients()]
        self._send_to(data, recipients, delta_reports.ReportKind.COMPLETE)
        if self._budget is None:
            return
        size = (len(data) + load_sync.HEADER_BYTES) * len(recipients)
        self._budget.spend(size, now)
        if self._budget.wait_s(0, now, is_urgent=False) > 0.0:
            self._small_reports_until = now + _SMALL_REPORTS_S
            logs.say(
                logs.Part.GATEWAY,
                "Load reports are too large for the link.",
                bytes=size,
                gateways=len(recipients),
                only_changes_s=_SMALL_REPORTS_S,
            )

    def _send_to(
        self,
        data: bytes,
        recipients: Collection[types.VmId],
        kind: delta_reports.ReportKind,
    ) -> None:
        if self._transport is None:
            return
        found = [
            self._site.gateways[vm]
            for vm in recipients
            if vm in self._site.gateways
        ]
        for item in found:
            self._transport.sendto(data, address.split(item.load_address))
        count = self._site.metrics.count
        count("load_reports", kind, by=len(found))
        count("load_report_bytes", kind, by=len(data) * len(found))

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _recipients(self) -> list[messages.GatewayAddress]:
        """Return the other gateways that use the same endpoints."""
        me = self._site.host.vm
        group = self._site.group
        return [
            item
            for item in self._site.gateways.values()
            if item.vm != me and group.contains(item.vm)
        ]

    def _complete_report(self, now: float) -> messages.GatewayLoad:
        """Return a report for gateways of which some may know nothing.

        What is told of a contention order is only in reports to all.
        """
        site = self._site
        return msgspec.structs.replace(
            self._base_report(now),
            quotas=site.quotas.complete_report(now),
            named_rates=site.eligibility.rates.complete_updates(now),
        )

    def _report(self, now: float) -> messages.GatewayLoad:
        """Return a report for gateways that have all earlier ones."""
        site = self._site
        return msgspec.structs.replace(
            self._base_report(now),
            quotas=site.quotas.next_report(now),
            named_rates=site.eligibility.rates.next_updates(now),
            contention=site.admission_queue.contention_reports(now),
        )

    def _base_report(self, now: float) -> messages.GatewayLoad:
        site = self._site
        return messages.GatewayLoad(
            vm=site.host.vm,
            load_address=self.address,
            incarnation=self._incarnation,
            sequence=self._next_sequence(),
            loads=site.loads.own,
            failed=site.health.failed_endpoints(now),
            rejecting=site.health.full_endpoints(now),
            waiting=site.admission_queue.most_urgent_waiters(now),
            claims=site.admission_queue.claims(now),
            refused_keys=site.refusals.recent(now),
            backoffs=site.eligibility.remaining_backoffs(now),
            paces=site.measured_pace.reports(now),
        )

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Send and receive reports until the block ends."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=address.split(self.address)
        )
        try:
            async with self.running_on(transport):
                yield
        finally:
            transport.close()

    @contextlib.asynccontextmanager
    async def running_on(
        self, transport: asyncio.DatagramTransport
    ) -> AsyncIterator[None]:
        """Send and receive reports by `transport` until the block ends."""
        self._transport = transport
        self._site.rate_grants.send = transport.sendto
        self._site.origins.send = transport.sendto
        task = asyncio.create_task(self._publish())
        try:
            yield
        finally:
            task.cancel()
