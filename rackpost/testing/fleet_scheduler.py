"""A scheduler for a simulated fleet, with the production code."""

import asyncio
import math
import random

import msgspec

from rackpost.decide import eligibility
from rackpost.decide import endpoint_choice
from rackpost.decide import endpoint_health
from rackpost.decide import endpoint_load
from rackpost.decide import token_timing as token_timing_mod
from rackpost.gateway import capacity_source
from rackpost.link import channel
from rackpost import metrics as metrics_mod
from rackpost.routing import endpoints as endpoints_mod
from rackpost.scheduler import choice
from rackpost.scheduler import client
from rackpost.scheduler import host as host_mod
from rackpost.scheduler import messages
from rackpost import types

_COORDINATOR = "coordinator"


class FleetScheduler:
    """One coordinator's scheduler and the links of the gateways to it."""

    def __init__(
        self,
        *,
        endpoints: list[endpoints_mod.Endpoint],
        service: types.ServiceName,
        delay_s: float,
    ) -> None:
        """`delay_s` is the one-way delay of the links."""
        self._delay_s = delay_s
        self._service = service
        self.metrics = metrics_mod.Metrics()
        self.messages = 0
        table = endpoints_mod.EndpointTable()
        for item in endpoints:
            table.update(item, 0.0)
        self.host = host_mod.SchedulerHost(
            name=types.VmId(_COORDINATOR),
            table=table,
            silent_after_s=math.inf,
            metrics=self.metrics,
        )
        self.host.set_services([service])
        self._clients: list[client.PoolClient] = []

    def client(
        self,
        vm: types.VmId,
        *,
        local: capacity_source.CapacitySource,
        chooser: endpoint_choice.Chooser,
        loads: endpoint_load.LoadTable,
        table: endpoints_mod.EndpointTable,
        health: endpoint_health.HealthTracker,
        token_timing: token_timing_mod.TokenTiming,
        capacity_changed: asyncio.Event,
    ) -> client.PoolClient:
        """Return the client of a gateway, with its link."""
        found = client.PoolClient(
            local=local,
            is_scheduled=lambda service: True,
            chooser=chooser,
            loads=loads,
            table=table,
            eligible=eligibility.Eligibility(
                table=table, rng=random.Random(1)
            ),
            health=health,
            token_timing=token_timing,
            capacity_changed=capacity_changed,
            metrics=self.metrics,
        )
        here, there = channel.local_pair(delay_s=self._delay_s)

        def at_gateway(msg: msgspec.Struct) -> None:
            self.messages += 1
            found.receive(_COORDINATOR, msg)

        def at_scheduler(msg: msgspec.Struct) -> None:
            self.messages += 1
            assert isinstance(msg, messages.ToScheduler)
            self.host.receive(vm, there, msg)

        here.attach(receive=at_gateway, closed=lambda: None)
        there.attach(receive=at_scheduler, closed=lambda: None)
        self.host.link(vm, there)
        found.link(_COORDINATOR, here)
        # The link has been up for some time.
        found._choices.link(_COORDINATOR, -choice.SETTLE_S)
        self._clients.append(found)
        return found

    def start(self) -> list[asyncio.Task[None]]:
        """Return the running tasks of the gateways' clients."""
        return [asyncio.create_task(item.run()) for item in self._clients]

    def close(self) -> None:
        """End the schedulers."""
        self.host.close()
