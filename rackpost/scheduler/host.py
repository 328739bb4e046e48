"""The schedulers that run at one coordinator, by model service.

A scheduler begins when a gateway chooses it for a service, or requests
capacity, and ends without requests.  Its state is in memory only and is
learnt from the gateways.
"""

import asyncio
import random
from typing import Iterable

import msgspec

from rackpost.decide import features
from rackpost.decide import gateway_groups
from rackpost.decide.waiting import decisions as decisions_mod
from rackpost.decide.waiting import leases
from rackpost.link import channel
from rackpost import logs
from rackpost import metrics as metrics_mod
from rackpost.routing import endpoints
from rackpost.routing import model
from rackpost.scheduler import messages
from rackpost.scheduler import own_time
from rackpost.scheduler import pool
from rackpost import types

# How often idle schedulers are looked for, in seconds.
_SWEEP_S = 1.0


class SchedulerHost:
    """Starts, feeds and ends the schedulers of a coordinator."""

    def __init__(
        self,
        *,
        name: types.VmId,
        table: endpoints.EndpointTable,
        silent_after_s: float,
        metrics: metrics_mod.Metrics,
        parts: features.Overrides = features.NO_OVERRIDES,
    ) -> None:
        """Create a host without schedulers.

        `parts` are the parts of load management that a setting switches.
        `table` is the coordinator's; endpoints without a heartbeat for
        `silent_after_s` seconds are used last.
        """
        self._name = name
        self._table = table
        self._silent_after_s = silent_after_s
        self._metrics = metrics
        self._parts = parts
        self._conns: dict[types.VmId, channel.Channel] = {}
        # The services for which the document calls for a scheduler.
        self._services: frozenset[types.ServiceName] = frozenset()
        # The decisions of the contention order by service, and the weights
        # of the organisations.
        self._decisions: dict[
            types.ServiceName, frozenset[decisions_mod.Decision]
        ] = {}
        self._weights: dict[types.OrganisationName, float] = {}
        self._pools: dict[types.ServiceName, pool.PoolScheduler] = {}

    def set_document(self, doc: model.Document) -> None:
        """Take the routing document that is now in force here."""
        profiles = features.profiles(
            doc.routes, doc.services, doc.organisations
        )
        found = {
            service: features.features_for(item, self._parts)
            for service, item in profiles.items()
        }
        self._decisions = {
            service: decisions_mod.of_features(parts)
            for service, parts in found.items()
        }
        self._weights = {
            item.name: item.quota.rate_per_s
            for item in doc.organisations
            if item.quota is not None and item.quota.by_tokens
        }
        self.set_services(
            service
            for service, parts in found.items()
            if features.Feature.POOL_SCHEDULER in parts
        )

    def _weight_of(self, name: types.OrganisationName | None) -> float | None:
        """Return the weight of an organisation's share: its quota."""
        return None if name is None else self._weights.get(name)

    def set_services(self, names: Iterable[types.ServiceName]) -> None:
        """Set the services that schedulers are called for."""
        self._services = frozenset(names)

    def link(self, gateway: types.VmId, conn: channel.Channel) -> None:
        """Record a new link of a gateway, which replaces an earlier one."""
        self._conns[gateway] = conn
        for found in self._pools.values():
            found.link(gateway)

    def unlink(self, gateway: types.VmId, conn: channel.Channel) -> None:
        """Record that a link is lost, unless a newer one exists."""
        if self._conns.get(gateway) is not conn:
            return
        del self._conns[gateway]
        for found in self._pools.values():
            found.unlink(gateway)

    def _send(self, gateway: types.VmId, msg: msgspec.Struct) -> None:
        conn = self._conns.get(gateway)
        if conn is not None:
            conn.send(msg)

    def receive(
        self,
        gateway: types.VmId,
        conn: channel.Channel,
        msg: messages.ToScheduler,
    ) -> None:
        """Handle a message of a linked gateway to a scheduler."""
        if self._conns.get(gateway) is not conn:
            return
        service = msg.service
        found = self._pools.get(service)
        if found is None and _begins(msg):
            if service in self._services and not self._is_divided:
                found = self._begin(service)
            elif isinstance(msg, messages.CapacityRequest):
                self._send(
                    gateway, messages.CapacityDeclined(tickets=(msg.ticket,))
                )
        if found is not None:
            found.receive(gateway, msg)

    @property
    def _is_divided(self) -> bool:
        """Whether gateways use the endpoints of their groups only."""
        return gateway_groups.group_count(len(self._conns)) > 1

    def _begin(self, service: types.ServiceName) -> pool.PoolScheduler:
        logs.say(logs.Part.COORDINATOR, "Scheduler begins.", service=service)
        found = pool.PoolScheduler(
            service=service,
            name=self._name,
            table=self._table,
            silent_after_s=self._silent_after_s,
            send=self._send,
            metrics=self._metrics,
            rng=random.Random(),
            orders=own_time.SchedulerOrders(
                vm=self._name,
                decisions_of=lambda name: self._decisions.get(
                    name, frozenset()
                ),
                weight_of=self._weight_of,
            ),
        )
        self._pools[service] = found
        for gateway in list(self._conns):
            found.link(gateway, awaited=True)
        return found

    def _end(self, service: types.ServiceName) -> None:
        logs.say(logs.Part.COORDINATOR, "Scheduler ends.", service=service)
        self._pools.pop(service).close()
        for gateway in list(self._conns):
            self._send(
                gateway, messages.HoldingsQuery(service=service, active=False)
            )

    def sweep(self) -> None:
        """End schedulers without requests, or which are not called for."""
        for service, found in list(self._pools.items()):
            is_called_for = service in self._services and not self._is_divided
            if found.is_idle or not is_called_for:
                self._end(service)

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await asyncio.sleep(_SWEEP_S)
            self.sweep()

    def close(self) -> None:
        """End all schedulers."""
        for found in self._pools.values():
            found.close()
        self._pools.clear()


def _begins(msg: messages.ToScheduler) -> bool:
    """Whether a scheduler begins with this message."""
    if isinstance(msg, messages.SchedulerChoice):
        return msg.use is leases.Use.THIS
    return isinstance(msg, messages.CapacityRequest)
