"""A scheduler while gateways restart or it does not answer itself."""

import asyncio

from rackpost.decide.waiting import leases
from rackpost.gateway import reservation as reservation_mod
from rackpost.scheduler import client
from rackpost.scheduler import pool
from rackpost.testing import virtual
from tests import scheduler_world

Reservation = reservation_mod.DecodeReservation
SERVICE = scheduler_world.SERVICE
_now = scheduler_world.now
_reserve = scheduler_world.reserve
_pool = scheduler_world.pool_of


def test_a_gateway_without_the_document_does_not_stop_the_grants() -> None:
    """It uses no scheduler; what it takes itself is known and not granted."""

    async def main() -> None:
        world = scheduler_world.World(gateways=2, decodes=2)
        world.gateways[1].is_scheduled = False
        world.link_all()
        async with world.running():
            (await _reserve(world.gateways[0])).release()
            assert not world.gateways[0].metrics.totals("scheduler_fallback")
            ready = _pool(world.scheduler).leases.readiness
            assert ready is leases.Readiness.READY
            own = await _reserve(world.gateways[1])
            await asyncio.sleep(0.01)
            held = _pool(world.scheduler).leases.leases.values()
            assert [item.endpoint for item in held] == [own.endpoint.id]
            found = await _reserve(world.gateways[0])
            assert found.endpoint.id != own.endpoint.id
            found.release()
            own.release()

    virtual.run(main())


def test_grants_go_on_while_all_gateways_restart_in_turn() -> None:
    """One each 2 s, without a document for 0.6 s; others wait for nobody.

    Two requests a gateway each second, at endpoints with room for them.
    """

    async def main() -> None:
        world = scheduler_world.World(gateways=6, coordinators=3, decodes=8)
        world.link_all()
        waits: list[float] = []

        async def ask(number: int) -> None:
            gateway = world.gateways[number]
            began = _now()
            found = await _reserve(gateway)
            waits.append(_now() - began)
            assert max(world.running_runs().values()) == 1
            await asyncio.sleep(0.3)
            found.release()

        async with world.running():
            (await _reserve(world.gateways[0])).release()
            began = _now()
            async with asyncio.TaskGroup() as group:
                for number in range(6):
                    group.create_task(world.restart(number, down_s=0.6))
                    end = began + 2.0 * (number + 1)
                    while _now() < end:
                        # The one that restarts takes no requests.
                        for other in range(6):
                            if other != number:
                                group.create_task(ask(other))
                        await asyncio.sleep(0.5)
            scheduler = world.scheduler.metrics
            assert not scheduler.counted("scheduler", pool.Event.DECLINED)
            assert len(waits) == 6 * 4 * 5
            assert max(waits) <= 0.02
            for gateway in world.gateways:
                assert not gateway.metrics.totals("scheduler_fallback")

    virtual.run(main())


def test_a_gateway_that_has_not_reported_waits_alone() -> None:
    """Its first report would not hold what it is granted before."""

    async def main() -> None:
        world = scheduler_world.World(gateways=2, decodes=2)
        world.link_all()
        async with world.running():
            held = await _reserve(world.gateways[0])
            scheduler = _pool(world.scheduler)
            late = world.gateways[1]
            scheduler.link(late.vm)
            # The query is lost at a gateway that has just started.
            late.client._on_query = lambda host, msg: None
            began = _now()
            mine = asyncio.create_task(_reserve(late))
            other = await _reserve(world.gateways[0])
            assert _now() - began <= 0.01
            await asyncio.sleep(0.02)
            assert not mine.done()
            other.release()
            (await mine).release()
            assert late.count(client.Fallback.DECLINED) == 1
            held.release()

    virtual.run(main())


def test_other_schedulers_are_told_of_what_one_grants() -> None:
    """One that gateways have left for another is up to date if it dies."""

    async def main() -> None:
        world = scheduler_world.World(gateways=2, coordinators=2, decodes=2)
        world.link_all()
        async with world.running():
            (await _reserve(world.gateways[0])).release()
            other = next(
                item
                for item in world.coordinators
                if item is not world.scheduler
            )
            begun = other.host._begin(SERVICE)
            await asyncio.sleep(0.01)
            found = await _reserve(world.gateways[1])
            await asyncio.sleep(0.006)
            held = [item.endpoint for item in begun.leases.leases.values()]
            assert held == [found.endpoint.id]
            found.release()
            await asyncio.sleep(0.006)
            assert not begun.leases.leases
            assert begun.leases.readiness is leases.Readiness.NOT_CHOSEN

    virtual.run(main())


def test_a_scheduler_frozen_for_0_4_s_is_used_again() -> None:
    """Gateways decide themselves meanwhile; no endpoint gets too much."""

    async def main() -> None:
        world = scheduler_world.World(gateways=4, decodes=4)
        world.link_all()
        async with world.running():
            first = await _reserve(world.gateways[0])
            coordinator = world.scheduler
            coordinator.frozen = True
            asks = []
            for gateway in world.gateways[1:]:
                asks.append(asyncio.create_task(_reserve(gateway)))
                # As long as reports of load travel.
                await asyncio.sleep(0.02)
            await asyncio.sleep(0.34)
            assert all(task.done() for task in asks)
            assert max(world.running_runs().values()) == 1
            coordinator.thaw()
            for task in asks:
                task.result().release()
            first.release()
            await asyncio.sleep(0.6)
            assert not _pool(coordinator).leases.leases
            began = _now()
            found = await _reserve(world.gateways[1])
            assert _now() - began <= 0.01
            assert world.gateways[1].count(client.Outcome.GRANTED) == 1
            found.release()

    virtual.run(main())
