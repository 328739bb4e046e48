"""Gateways and coordinators with schedulers, without a network."""

import asyncio
import contextlib
from typing import AsyncIterator

import msgspec

from rackpost.decide import endpoint_load
from rackpost.decide import kv_forecast
from rackpost.decide import queue_order
from rackpost.gateway import reservation as reservation_mod
from rackpost.link import channel
from rackpost import metrics as metrics_mod
from rackpost.routing import endpoints
from rackpost.scheduler import client
from rackpost.scheduler import host as host_mod
from rackpost.scheduler import messages
from rackpost.scheduler import pool
from rackpost import types
from tests import test_admission_queue

SERVICE = test_admission_queue.SERVICE
LINK_DELAY_S = 0.002
_REPORT_S = 0.01
MEMORY = 1000


class Gateway(test_admission_queue.Gateway):
    """A gateway with a client of schedulers beside its own queue."""

    def __init__(self, *, number: int) -> None:
        super().__init__(number=number)
        self.is_scheduled = True
        self.metrics = metrics_mod.Metrics()
        self.links: dict[str, channel.LocalChannel] = {}
        self.received: list[msgspec.Struct] = []
        self.client = client.PoolClient(
            local=self.queue,
            is_scheduled=lambda service: self.is_scheduled,
            chooser=self.queue._chooser,
            loads=self.loads,
            table=self.table,
            eligible=self.eligible,
            health=self.health,
            token_timing=self.queue._token_timing,
            capacity_changed=self.changed,
            metrics=self.metrics,
            data_centre=types.DataCentre("here"),
        )

    def receive(self, host: str, msg: msgspec.Struct) -> None:
        self.received.append(msg)
        self.client.receive(host, msg)

    def count(self, reason: client.Fallback | client.Outcome) -> int:
        name = (
            "scheduler_fallback"
            if isinstance(reason, client.Fallback)
            else "scheduler_outcome"
        )
        return self.metrics.counted(name, reason)


class Coordinator:
    """A coordinator's schedulers, which may be frozen or killed."""

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.table = endpoints.EndpointTable()
        self.frozen = False
        self._kept: list[tuple[types.VmId, channel.Channel, object]] = []
        self.received: list[msgspec.Struct] = []
        self.metrics = metrics_mod.Metrics()
        self.host = self._new_host()

    def _new_host(self) -> host_mod.SchedulerHost:
        found = host_mod.SchedulerHost(
            name=types.VmId(self.name),
            table=self.table,
            silent_after_s=1e9,
            metrics=self.metrics,
        )
        found.set_services([SERVICE])
        return found

    def restart(self) -> None:
        """Lose all state; the links have to be closed by the caller."""
        self.host.close()
        self.host = self._new_host()

    def receive(
        self, vm: types.VmId, conn: channel.Channel, msg: msgspec.Struct
    ) -> None:
        if self.frozen:
            self._kept.append((vm, conn, msg))
            return
        self.received.append(msg)
        self.host.receive(vm, conn, msg)  # type: ignore[arg-type]

    def thaw(self) -> None:
        """Handle what arrived while frozen."""
        self.frozen = False
        kept, self._kept = self._kept, []
        for vm, conn, msg in kept:
            self.receive(vm, conn, msg)  # type: ignore[arg-type]


class World:
    """Gateways that are linked to coordinators."""

    def __init__(
        self, *, gateways: int, coordinators: int = 1, decodes: int = 1
    ) -> None:
        self.gateways = [Gateway(number=n) for n in range(gateways)]
        self.coordinators = [
            Coordinator(name=f"c{n}") for n in range(coordinators)
        ]
        self._tasks: dict[Gateway, list[asyncio.Task[None]]] = {}
        for table in self._tables():
            for number in range(decodes):
                table.update(_endpoint(number), 0.0)

    def _tables(self) -> list[endpoints.EndpointTable]:
        return [item.table for item in [*self.gateways, *self.coordinators]]

    def link(self, gateway: Gateway, coordinator: Coordinator) -> None:
        here, there = channel.local_pair(delay_s=LINK_DELAY_S)
        name = coordinator.name
        here.attach(
            receive=lambda msg: gateway.receive(name, msg),
            closed=lambda: gateway.client.unlink(name, here),
        )
        there.attach(
            receive=lambda msg: coordinator.receive(gateway.vm, there, msg),
            closed=lambda: coordinator.host.unlink(gateway.vm, there),
        )
        gateway.links[name] = here
        coordinator.host.link(gateway.vm, there)
        gateway.client.link(name, here)

    def link_all(self) -> None:
        for gateway in self.gateways:
            for coordinator in self.coordinators:
                self.link(gateway, coordinator)

    def cut(self, gateway: Gateway, coordinator: Coordinator) -> None:
        """End a link; both ends learn of it."""
        gateway.links.pop(coordinator.name).close()

    def kill(self, coordinator: Coordinator) -> None:
        """End a coordinator, which loses its state."""
        for gateway in self.gateways:
            if coordinator.name in gateway.links:
                self.cut(gateway, coordinator)
        coordinator.restart()

    async def restart(self, number: int, *, down_s: float) -> None:
        """End a gateway's process and start another on its VM.

        The new one makes its links one by one and gets its routing document
        after `down_s` seconds.
        """
        loop = asyncio.get_running_loop()
        old = self.gateways[number]
        for task in self._tasks.pop(old):
            task.cancel()
        for coordinator in self.coordinators:
            if coordinator.name in old.links:
                self.cut(old, coordinator)
        # The endpoints notice that its connections are closed.
        old.loads.own.clear()
        for other in self.gateways:
            other.loads.forget(old.vm)
        new = Gateway(number=number)
        for item in old.table.alive.values():
            new.table.update(item, loop.time())
        new.is_scheduled = False
        self.gateways[number] = new
        self._start(new)
        for coordinator in self.coordinators:
            await asyncio.sleep(0.01)
            self.link(new, coordinator)
        await asyncio.sleep(down_s)
        new.is_scheduled = True

    def _start(self, gateway: Gateway) -> None:
        self._tasks[gateway] = [
            asyncio.create_task(gateway.client.run()),
            asyncio.create_task(gateway.queue.run()),
        ]

    @property
    def scheduler(self) -> Coordinator:
        """The coordinator that the first gateway uses."""
        name = self.gateways[0].client._chosen[SERVICE]
        return next(item for item in self.coordinators if item.name == name)

    def running_runs(self) -> dict[types.EndpointId, int]:
        """Return how many runs gateways have at each endpoint."""
        found: dict[types.EndpointId, int] = {}
        for gateway in self.gateways:
            for key, load in gateway.loads.own.items():
                found[key] = found.get(key, 0) + len(load.runs)
        return found

    async def _exchange_loads(self) -> None:
        """Report the load of each gateway to all others, as datagrams do."""
        sequence = 0
        while True:
            await asyncio.sleep(_REPORT_S)
            sequence += 1
            now = asyncio.get_running_loop().time()
            for gateway in self.gateways:
                for other in self.gateways:
                    if other is not gateway:
                        other.loads.receive(
                            gateway.vm,
                            1,
                            sequence,
                            {
                                key: _copy(load)
                                for key, load in gateway.loads.own.items()
                            },
                            now,
                        )
                        other.changed.set()

    @contextlib.asynccontextmanager
    async def running(self, *, settled: bool = True) -> AsyncIterator[None]:
        """Run the gateways' tasks; wait until the links have settled."""
        for gateway in self.gateways:
            self._start(gateway)
        exchange = asyncio.create_task(self._exchange_loads())
        try:
            if settled:
                await asyncio.sleep(2.1)
            yield
        finally:
            tasks = [exchange]
            for found in self._tasks.values():
                tasks += found
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for item in self.coordinators:
                item.host.close()


def _copy(load: endpoint_load.EndpointLoad) -> endpoint_load.EndpointLoad:
    return endpoint_load.EndpointLoad(
        requests=load.requests,
        prompt_tokens=load.prompt_tokens,
        runs=list(load.runs),
    )


def _endpoint(number: int) -> endpoints.Endpoint:
    return endpoints.Endpoint(
        id=types.EndpointId(f"d{number}"),
        service=SERVICE,
        address=f"h{number}:1",
        data_centre=types.DataCentre("here"),
        role=types.Role.DECODE,
        slots=test_admission_queue.SLOTS,
        sequence=1,
    )


def request(
    *,
    share: float = 0.6,
    left_s: float = 10.0,
    target_s: float = 1.0,
    priority: int = 1,
) -> reservation_mod.ReservationRequest:
    """Return a request that uses a share of an endpoint's memory."""
    now = asyncio.get_running_loop().time()
    return reservation_mod.ReservationRequest(
        service=SERVICE,
        memory_tokens=MEMORY,
        run=kv_forecast.Run(
            held_tokens=int(share * MEMORY) - 100, remaining_tokens=50
        ),
        exclude=(),
        waiting_request=queue_order.WaitingRequest(
            priority=priority,
            target=now + target_s,
            start_by=now + left_s,
            deadline=now + left_s,
            start_s=0.0,
            generation_s=0.1,
        ),
    )


def now() -> float:
    """Return the loop's clock reading."""
    return asyncio.get_running_loop().time()


async def reserve(
    gateway: Gateway, **kind: float
) -> reservation_mod.DecodeReservation:
    """Reserve for a request whose prompt is prefilled at once."""
    found = await gateway.client.reserve(request(**kind))  # type: ignore
    assert isinstance(found, reservation_mod.DecodeReservation)
    found.record_prefilled()
    return found


def pool_of(coordinator: Coordinator) -> pool.PoolScheduler:
    """Return a coordinator's scheduler of the service."""
    return coordinator.host._pools[SERVICE]


async def hold(
    gateway: Gateway, *, seconds: float, **kind: float
) -> reservation_mod.DecodeReservation | reservation_mod.NoCapacity:
    """Reserve and release after a time."""
    found = await gateway.client.reserve(request(**kind))  # type: ignore
    if isinstance(found, reservation_mod.DecodeReservation):
        found.record_prefilled()
        await asyncio.sleep(seconds)
        found.release()
    return found


def kinds(items: list[msgspec.Struct]) -> set[type]:
    """Return the kinds of messages."""
    return {type(item) for item in items}


__all__ = [
    "Coordinator",
    "Gateway",
    "MEMORY",
    "SERVICE",
    "World",
    "hold",
    "kinds",
    "messages",
    "now",
    "pool_of",
    "request",
    "reserve",
]
