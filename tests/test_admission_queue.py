"""Many gateways compete for the same decode capacity."""

import asyncio
import random

from rackpost.decide import candidates
from rackpost.decide import eligibility
from rackpost.decide import endpoint_choice
from rackpost.decide import endpoint_health
from rackpost.decide import endpoint_load
from rackpost.decide import kv_forecast
from rackpost.decide import queue_order
from rackpost.decide import token_timing
from rackpost.decide.waiting import orders as orders_mod
from rackpost.gateway import admission_queue
from rackpost.gateway import reservation as reservation_mod
from rackpost import metrics as metrics_mod
from rackpost.routing import endpoints
from rackpost.testing import virtual
from rackpost import types

SERVICE = types.ServiceName("model")
SLOTS = 6
_REPORT_DELAY_S = 0.03
# How long a prefill takes, in seconds.
_PREFILL_S = 0.05


class Gateway:
    """The admission queue of one gateway and its state."""

    def __init__(
        self, *, number: int, orders: orders_mod.Orders | None = None
    ) -> None:
        self.metrics = metrics_mod.Metrics()
        self.vm = types.VmId(f"g{number}")
        self.publish_due = asyncio.Event()
        self.changed = asyncio.Event()
        self.table = endpoints.EndpointTable()
        self.loads = endpoint_load.LoadTable(on_change=self.publish_due.set)
        self.health = endpoint_health.HealthTracker()
        self.report_count = 0
        rng = random.Random(number)
        self.eligible = eligibility.Eligibility(
            table=self.table, rng=random.Random(1)
        )
        self.token_timing = timing = token_timing.TokenTiming()
        timing.record_decode(100, 3.0)
        self.queue = admission_queue.AdmissionQueue(
            chooser=endpoint_choice.Chooser(
                candidates=candidates.Candidates(
                    table=self.table,
                    eligible=self.eligible,
                    silent_after_s=1e9,
                    health=self.health,
                ),
                loads=self.loads,
                health=self.health,
                data_centre=types.DataCentre("here"),
                rng=rng,
            ),
            loads=self.loads,
            token_timing=timing,
            rng=rng,
            vm=self.vm,
            capacity_changed=self.changed,
            on_waiters_changed=self.publish_due.set,
            orders=orders,
            metrics=self.metrics,
        )

    def add_endpoint(self, number: int) -> None:
        self.table.update(
            endpoints.Endpoint(
                id=types.EndpointId(f"d{number}"),
                service=SERVICE,
                address=f"h{number}:1",
                data_centre=types.DataCentre("here"),
                role=types.Role.DECODE,
                slots=SLOTS,
                sequence=1,
            ),
            0.0,
        )
        # A prefill endpoint, so that prompts are not prefilled in place.
        self.table.update(
            endpoints.Endpoint(
                id=types.EndpointId("p"),
                service=SERVICE,
                address="p:1",
                role=types.Role.PREFILL,
                slots=SLOTS,
                sequence=1,
            ),
            0.0,
        )
        self.changed.set()


class Group:
    """Gateways that exchange load reports with a delay."""

    def __init__(self, *, count: int) -> None:
        self.gateways = [Gateway(number=number) for number in range(count)]
        self.tasks = []
        for gateway in self.gateways:
            self.tasks.append(asyncio.create_task(gateway.queue.run()))
            self.tasks.append(asyncio.create_task(self._publish(gateway)))

    async def _publish(self, gateway: Gateway) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await gateway.publish_due.wait()
            await asyncio.sleep(_REPORT_DELAY_S)
            gateway.publish_due.clear()
            gateway.report_count += 1
            now = loop.time()
            uses = {
                key: endpoint_load.EndpointLoad(
                    requests=use.requests,
                    prompt_tokens=use.prompt_tokens,
                    runs=list(use.runs),
                )
                for key, use in gateway.loads.own.items()
            }
            for other in self.gateways:
                if other is not gateway:
                    other.loads.receive(
                        gateway.vm,
                        1,
                        gateway.report_count,
                        uses,
                        now,
                        waiting=gateway.queue.most_urgent_waiters(now),
                    )
                    other.changed.set()

    async def generate(
        self, gateway: Gateway, request: reservation_mod.ReservationRequest
    ) -> reservation_mod.DecodeReservation | reservation_mod.NoCapacity:
        """Wait for a reservation and prefill the prompt, as a request does."""
        reservation = await gateway.queue.reserve(request)
        if isinstance(reservation, reservation_mod.DecodeReservation):
            await asyncio.sleep(_PREFILL_S)
            gateway.queue._token_timing.record_prefill(
                request.run.held_tokens, _PREFILL_S
            )
            reservation.record_prefilled()
        return reservation

    def requests_at(self, number: int) -> int:
        key = types.EndpointId(f"d{number}")
        return sum(
            gateway.loads.own.get(key, endpoint_load.EndpointLoad()).requests
            for gateway in self.gateways
        )

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()


def reservation_request(
    now: float, left_s: float
) -> reservation_mod.ReservationRequest:
    return reservation_mod.ReservationRequest(
        service=SERVICE,
        memory_tokens=100_000,
        run=kv_forecast.Run(held_tokens=1000, remaining_tokens=1000),
        exclude=(),
        waiting_request=queue_order.WaitingRequest(
            priority=1,
            target=now + left_s,
            start_by=now + 60.0,
            deadline=now + 120.0,
            start_s=0.1,
            generation_s=3.0,
            refused_before=True,
        ),
    )


def test_free_capacity_is_not_reserved_by_all_gateways() -> None:
    """Thirty gateways must not overload an endpoint of six slots."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        group = Group(count=30)
        await asyncio.sleep(0.1)
        tasks = [
            asyncio.create_task(
                group.generate(
                    gateway, reservation_request(loop.time(), 0.5 + 0.01 * at)
                )
            )
            for at, gateway in enumerate(group.gateways * 2)
        ]
        await asyncio.sleep(0.5)
        assert not any(task.done() for task in tasks)
        max_requests = 0
        for gateway in group.gateways:
            gateway.add_endpoint(0)
        for _ in range(300):
            await asyncio.sleep(0.01)
            max_requests = max(max_requests, group.requests_at(0))
        assert SLOTS - 1 <= max_requests <= SLOTS + 2
        admitted = [task for task in tasks if task.done()]
        for task in admitted:
            reservation = task.result()
            assert isinstance(reservation, reservation_mod.DecodeReservation)
            reservation.release()
        # Released capacity goes to others, again to few at a time.
        for _ in range(300):
            await asyncio.sleep(0.01)
            max_requests = max(max_requests, group.requests_at(0))
        assert max_requests <= SLOTS + 2
        assert sum(task.done() for task in tasks) >= 2 * SLOTS - 2
        group.close()
        for task in tasks:
            task.cancel()

    virtual.run(main())
