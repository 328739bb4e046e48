"""Exchanges load reports between gateways, by datagrams.

Each report is complete and repeated with each change and at least once a
second, so that a lost datagram does little harm.  Grants of endpoints' rates
(`rate_grants.py`) use the same socket.
"""

import asyncio
import contextlib
import random
from typing import Any
from typing import AsyncIterator

from rackpost.coordinator import links
from rackpost.coordinator import messages
from rackpost import exceptions
from rackpost.gateway import site as site_mod
from rackpost.http1 import address
from rackpost.link import codec
from rackpost import logs

# Changes are batched for this long, in seconds: a fixed part and one per
# gateway, which bounds the datagrams that a gateway receives.  The delay has
# to stay short, as until the report arrives other gateways may reserve the
# same capacity.
_BATCHING_S = 0.006
_BATCHING_PER_GATEWAY_S = 0.0001
# Longest time between two reports, in seconds.
_MAX_INTERVAL_S = 1.0
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
        self._address = f"{host.ip}:{port}"

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Handle a load report or a message about grants."""
        try:
            msg = _DECODER.decode(data)
        except exceptions.CodecError as exc:
            logs.say(
                logs.Part.GATEWAY, "Load report is unreadable.", why=str(exc)
            )
            return
        if isinstance(msg, messages.GatewayLoad):
            self._receive_load(msg, self._site.loop_time())
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
        site.orders.receive(msg.vm, msg.contention, now)
        site.add_gateway(
            messages.GatewayAddress(vm=msg.vm, load_address=msg.load_address)
        )
        site.refusals.receive(msg.refused_keys, now)
        if site.quotas.receive(msg.vm, msg.incarnation, msg.quotas, now):
            # The sender lacks recent quota use of this gateway.
            site.loads_changed.set()
        for endpoint in msg.rejecting:
            site.health.record_reported_full(endpoint, now)
        for endpoint in msg.failed:
            site.health.record_reported_failure(endpoint, now)
        for endpoint, left_s in msg.backoffs.items():
            site.health.record_reported_backoff(endpoint, left_s, now)
        for update in msg.named_rates:
            site.rate_grants.receive_rate(update, now)
        site.measured_pace.receive(msg.paces, now, sender=msg.vm)
        site.capacity_changed.set()

    async def _publish(self) -> None:
        changed = self._site.loads_changed
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_MAX_INTERVAL_S):
                    await changed.wait()
                await asyncio.sleep(batching_delay_s(self._site.gateway_count))
            changed.clear()
            self._send()

    def _send(self) -> None:
        if not self._site.policy.share:
            return
        self._sequence += 1
        data = codec.encode(self._report(self._site.loop_time()))
        for item in self._recipients():
            if self._transport is not None:
                self._transport.sendto(data, address.split(item.load_address))

    def _recipients(self) -> list[messages.GatewayAddress]:
        """Return the other gateways that use the same endpoints."""
        me = self._site.host.vm
        group = self._site.group
        return [
            item
            for item in self._site.gateways.values()
            if item.vm != me and group.contains(item.vm)
        ]

    def _report(self, now: float) -> messages.GatewayLoad:
        site = self._site
        return messages.GatewayLoad(
            vm=site.host.vm,
            load_address=self._address,
            incarnation=self._incarnation,
            sequence=self._sequence,
            loads=site.loads.own,
            failed=site.health.failed_endpoints(now),
            rejecting=site.health.full_endpoints(now),
            waiting=site.admission_queue.most_urgent_waiters(now),
            claims=site.admission_queue.claims(now),
            refused_keys=site.refusals.recent(now),
            quotas=site.quotas.next_report(now),
            backoffs=site.eligibility.remaining_backoffs(now),
            named_rates=site.eligibility.rates.next_updates(now),
            paces=site.measured_pace.reports(now),
            contention=site.admission_queue.contention_reports(now),
        )

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Send and receive reports until the block ends."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=address.split(self._address)
        )
        self._transport = transport
        self._site.rate_grants.send = transport.sendto
        task = asyncio.create_task(self._publish())
        try:
            yield
        finally:
            task.cancel()
            transport.close()
