"""Many gateways wait for the same places: who gets them, and how many."""

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
from rackpost.gateway import admission_queue
from rackpost.gateway import reservation as reservation_mod
from rackpost.routing import endpoints
from rackpost.testing import virtual
from rackpost import types

SERVICE = types.ServiceName("model")
SLOTS = 6
_TELL_S = 0.03
# How long a prefill endpoint takes for a prompt, in seconds.
_READ_S = 0.05


class Gateway:
    """The room of one gateway and what it rests on."""

    def __init__(self, *, number: int) -> None:
        self.vm = types.VmId(f"g{number}")
        self.publish_due = asyncio.Event()
        self.changed = asyncio.Event()
        self.table = endpoints.EndpointTable()
        self.loads = endpoint_load.LoadTable(on_change=self.publish_due.set)
        self.health = endpoint_health.HealthTracker()
        self.sent = 0
        rng = random.Random(number)
        self.eligible = eligibility.Eligibility(
            table=self.table, rng=random.Random(1)
        )
        known = token_timing.TokenTiming()
        known.record_decode(100, 3.0)
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
            pace=known,
            rng=rng,
            vm=self.vm,
            capacity_changed=self.changed,
            on_waiters_changed=self.publish_due.set,
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
        # Prompts are read elsewhere.
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
    """Gateways that tell each other their figures, a little late."""

    def __init__(self, *, count: int) -> None:
        self.gateways = [Gateway(number=number) for number in range(count)]
        self.tasks = []
        for gateway in self.gateways:
            self.tasks.append(asyncio.create_task(gateway.queue.run()))
            self.tasks.append(asyncio.create_task(self._tell(gateway)))

    async def _tell(self, gateway: Gateway) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await gateway.publish_due.wait()
            await asyncio.sleep(_TELL_S)
            gateway.publish_due.clear()
            gateway.sent += 1
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
                        gateway.sent,
                        uses,
                        now,
                        waiting=gateway.queue.most_urgent_waiters(now),
                    )
                    other.changed.set()

    async def generate(
        self, gateway: Gateway, needs: reservation_mod.ReservationRequest
    ) -> reservation_mod.DecodeReservation | reservation_mod.NoCapacity:
        """Wait for a place and have the prompt read, as a request does."""
        place = await gateway.queue.reserve(needs)
        if isinstance(place, reservation_mod.DecodeReservation):
            await asyncio.sleep(_READ_S)
            gateway.queue._pace.record_prefill(needs.run.held_tokens, _READ_S)
            place.record_prefilled()
        return place

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
        claim=queue_order.WaitingRequest(
            priority=1,
            target=now + left_s,
            start_by=now + 60.0,
            deadline=now + 120.0,
            start_s=0.1,
            run_s=3.0,
            refused_before=True,
        ),
    )


def test_a_place_that_comes_free_is_not_taken_by_all() -> None:
    """Thirty gateways sent fifty requests to one endpoint of six slots."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        group = Group(count=30)
        await asyncio.sleep(0.1)
        waits = [
            asyncio.create_task(
                group.generate(
                    gateway, reservation_request(loop.time(), 0.5 + 0.01 * at)
                )
            )
            for at, gateway in enumerate(group.gateways * 2)
        ]
        await asyncio.sleep(0.5)
        assert not any(task.done() for task in waits)
        most = 0
        for gateway in group.gateways:
            gateway.add_endpoint(0)
        for _ in range(300):
            await asyncio.sleep(0.01)
            most = max(most, group.requests_at(0))
        assert SLOTS - 1 <= most <= SLOTS + 2
        placed = [task for task in waits if task.done()]
        for task in placed:
            place = task.result()
            assert isinstance(place, reservation_mod.DecodeReservation)
            place.release()
        # What is released is taken by others, again by few at a time.
        for _ in range(300):
            await asyncio.sleep(0.01)
            most = max(most, group.requests_at(0))
        assert most <= SLOTS + 2
        assert sum(task.done() for task in waits) >= 2 * SLOTS - 2
        group.close()
        for task in waits:
            task.cancel()

    virtual.run(main())
