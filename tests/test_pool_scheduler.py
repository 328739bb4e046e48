"""The scheduler of a service, and gateways that go on without it."""

import asyncio

from rackpost.decide.waiting import leases
from rackpost.gateway import reservation as reservation_mod
from rackpost.scheduler import choice
from rackpost.scheduler import client
from rackpost.scheduler import messages
from rackpost.scheduler import pool
from rackpost.testing import virtual
from tests import scheduler_world

Reservation = reservation_mod.DecodeReservation
SERVICE = scheduler_world.SERVICE
_now = scheduler_world.now
_reserve = scheduler_world.reserve
_pool = scheduler_world.pool_of


def test_with_the_feature_off_nothing_is_asked_or_told() -> None:
    """The gateway's own queue decides, and no message passes."""

    async def main() -> None:
        world = scheduler_world.World(gateways=2, coordinators=2)
        for gateway in world.gateways:
            gateway.is_scheduled = False
        world.link_all()
        async with world.running():
            found = await _reserve(world.gateways[0])
            await asyncio.sleep(1.0)
            found.release()
            await asyncio.sleep(1.0)
        assert not any(item.received for item in world.coordinators)
        assert not any(item.received for item in world.gateways)
        assert not world.gateways[0].metrics.totals("scheduler_fallback")

    virtual.run(main())


def test_in_calm_a_request_waits_one_round_trip() -> None:
    """The first one also waits for the holdings of all gateways."""

    async def main() -> None:
        world = scheduler_world.World(gateways=3, decodes=3)
        world.link_all()
        async with world.running():
            began = _now()
            found = await _reserve(world.gateways[0])
            first_s = _now() - began
            began = _now()
            other = await _reserve(world.gateways[1])
            second_s = _now() - began
            assert first_s <= 4 * scheduler_world.LINK_DELAY_S + 0.002
            assert second_s <= 2 * scheduler_world.LINK_DELAY_S + 0.001
            assert found.endpoint.id != other.endpoint.id
            found.release()
            other.release()
            await asyncio.sleep(0.2)
            assert not _pool(world.scheduler).leases.leases
            assert not world.running_runs()

    virtual.run(main())


def test_requests_of_all_gateways_share_one_order() -> None:
    """The most urgent is first, whichever gateway has it."""

    async def main() -> None:
        world = scheduler_world.World(gateways=4)
        world.link_all()
        served: list[int] = []

        async def ask(number: int, priority: int) -> None:
            gateway = world.gateways[number]
            found = await _reserve(gateway, priority=priority)
            served.append(priority)
            await asyncio.sleep(0.2)
            found.release()

        async with world.running():
            first = await _reserve(world.gateways[0])
            async with asyncio.TaskGroup() as group:
                for number, priority in ((3, 3), (1, 2), (2, 0), (0, 1)):
                    group.create_task(ask(number, priority))
                    await asyncio.sleep(0.01)
                await asyncio.sleep(0.1)
                first.release()
        assert served == [0, 1, 2, 3]

    virtual.run(main())


def test_a_refusal_of_the_scheduler_reaches_the_caller() -> None:
    """A request that can't be in time is refused and holds nothing."""

    async def main() -> None:
        world = scheduler_world.World(gateways=2)
        world.link_all()
        async with world.running():
            found = await _reserve(world.gateways[0])
            await asyncio.sleep(1.5)
            began = _now()
            refused = await world.gateways[1].client.reserve(
                scheduler_world.request(left_s=0.5, target_s=0.4)
            )
            assert isinstance(refused, reservation_mod.NoCapacity)
            assert _now() - began <= 0.55
            assert world.gateways[1].count(client.Outcome.REFUSED) == 1
            assert len(_pool(world.scheduler).leases.leases) == 1
            found.release()

    virtual.run(main())


def test_a_scheduler_that_dies_with_leases_out_is_replaced() -> None:
    """The next one learns what is held and grants no place twice."""

    async def main() -> None:
        world = scheduler_world.World(gateways=3, coordinators=3)
        world.link_all()
        async with world.running():
            held = await _reserve(world.gateways[0])
            old = world.scheduler
            waiter = asyncio.create_task(_reserve(world.gateways[1]))
            await asyncio.sleep(0.1)
            world.kill(old)
            await asyncio.sleep(1.0)
            assert not waiter.done()
            assert world.scheduler is not old
            new = _pool(world.scheduler)
            assert new.leases.readiness is leases.Readiness.READY
            assert len(new.leases.leases) == 1
            began = _now()
            held.release()
            found = await waiter
            assert _now() - began < 0.1
            assert max(world.running_runs().values()) == 1
            found.release()

    virtual.run(main())


def test_a_frozen_scheduler_holds_requests_up_for_150_ms() -> None:
    """Then the gateway decides itself, and further requests don't wait."""

    async def main() -> None:
        world = scheduler_world.World(gateways=2, decodes=4)
        world.link_all()
        async with world.running():
            (await _reserve(world.gateways[0])).release()
            world.scheduler.frozen = True
            began = _now()
            found = await _reserve(world.gateways[0])
            assert 0.149 <= _now() - began <= 0.152
            began = _now()
            other = await _reserve(world.gateways[0])
            assert _now() == began
            assert world.gateways[0].count(client.Fallback.SILENT) == 1
            assert world.gateways[0].count(client.Fallback.SUSPECT) == 1
            await asyncio.sleep(1.0)
            world.scheduler.thaw()
            await asyncio.sleep(0.3)
            # What was asked before the freeze is not held; what the gateway
            # chose itself is known.
            assert len(_pool(world.scheduler).leases.leases) == 2
            found.release()
            other.release()
            await asyncio.sleep(0.3)
            assert not _pool(world.scheduler).leases.leases

    virtual.run(main())


def test_a_scheduler_that_freezes_while_requests_wait() -> None:
    """They are confirmed until then, and go on 150 ms after."""

    async def main() -> None:
        world = scheduler_world.World(gateways=2, decodes=1)
        world.link_all()
        async with world.running():
            held = await _reserve(world.gateways[0])
            waiter = asyncio.create_task(_reserve(world.gateways[1]))
            await asyncio.sleep(1.0)
            gateway = world.gateways[1]
            assert not waiter.done()
            assert not gateway.metrics.totals("scheduler_fallback")
            coordinator = world.scheduler
            coordinator.frozen = True
            # A frozen process sends nothing either.
            for task in _pool(coordinator)._tasks:
                task.cancel()
            await asyncio.sleep(0.25)
            assert gateway.count(client.Fallback.SILENT) == 1
            held.release()
            found = await asyncio.wait_for(waiter, 0.2)
            found.release()

    virtual.run(main())


def test_a_scheduler_cut_from_half_of_the_gateways_does_not_grant_twice() -> (
    None
):
    """The other half uses another one, which declines while both do."""

    async def main() -> None:
        world = scheduler_world.World(gateways=4, coordinators=2)
        world.link_all()
        async with world.running():
            (await _reserve(world.gateways[0])).release()
            old = world.scheduler
            other = next(c for c in world.coordinators if c is not old)
            for gateway in world.gateways[2:]:
                world.cut(gateway, old)
            await asyncio.sleep(0.1)
            held = await _reserve(world.gateways[0])
            await asyncio.sleep(0.1)
            tries = [
                asyncio.create_task(_reserve(gateway))
                for gateway in world.gateways[1:]
            ]
            await asyncio.sleep(0.5)
            assert max(world.running_runs().values()) == 1
            assert world.gateways[2].count(client.Fallback.DECLINED)
            ready = _pool(other).leases.readiness
            assert ready is leases.Readiness.NOT_CHOSEN
            for gateway in world.gateways[2:]:
                world.link(gateway, old)
            await asyncio.sleep(0.1)
            # The holders are asked at once and use the first one again.
            found = {item.client._chosen[SERVICE] for item in world.gateways}
            assert found == {old.name}
            for task in tries:
                task.cancel()
            await asyncio.gather(*tries, return_exceptions=True)
            held.release()

    virtual.run(main())


def test_a_scheduler_that_comes_back_learns_all_before_it_grants() -> None:
    """It is used once all gateways are likely to be linked again."""

    async def main() -> None:
        world = scheduler_world.World(gateways=3, coordinators=2)
        world.link_all()
        async with world.running():
            held = await _reserve(world.gateways[0])
            old = world.scheduler
            world.kill(old)
            for gateway in world.gateways:
                await asyncio.sleep(0.3)
                world.link(gateway, old)
            waiter = asyncio.create_task(_reserve(world.gateways[2]))
            await asyncio.sleep(0.1)
            assert world.scheduler is not old
            await asyncio.sleep(choice.SETTLE_S + 0.6)
            assert world.scheduler is old
            assert not waiter.done()
            assert len(_pool(old).leases.leases) == 1
            held.release()
            (await waiter).release()
            assert max(world.running_runs().values(), default=0) <= 1

    virtual.run(main())


def test_a_gateway_that_dies_gives_back_by_lease() -> None:
    """Its capacity is granted again once the lease has lapsed."""

    async def main() -> None:
        world = scheduler_world.World(gateways=2)
        world.link_all()
        async with world.running():
            await _reserve(world.gateways[0])
            coordinator = world.scheduler
            # It ends without a word: its client reports no more.
            world.gateways[0].client._conns.clear()
            world.gateways[0].links[coordinator.name].close()
            world.gateways[0].loads.own.clear()
            began = _now()
            found = await _reserve(world.gateways[1])
            waited_s = _now() - began
            assert pool.LEASE_S - 0.6 < waited_s < pool.LEASE_S + 0.2
            found.release()
            counted = coordinator.metrics.counted(
                "scheduler", pool.Event.LAPSED
            )
            assert counted == 1

    virtual.run(main())


def test_a_grant_after_the_client_left_is_given_back_at_once() -> None:
    """The cancellation and the grant cross on the link."""

    async def main() -> None:
        world = scheduler_world.World(gateways=2)
        world.link_all()
        async with world.running():
            (await _reserve(world.gateways[1])).release()
            await asyncio.sleep(0.1)
            task = asyncio.create_task(_reserve(world.gateways[0]))
            await asyncio.sleep(1.5 * scheduler_world.LINK_DELAY_S)
            task.cancel()
            await asyncio.sleep(3 * scheduler_world.LINK_DELAY_S)
            assert world.gateways[0].count(client.Outcome.LATE_GRANT) == 1
            assert not _pool(world.scheduler).leases.leases
            assert not world.gateways[0].loads.own

    virtual.run(main())


def test_a_grant_of_an_endpoint_that_leaves_is_returned() -> None:
    """The gateway knows of it first; the next endpoint is asked for."""

    async def main() -> None:
        world = scheduler_world.World(gateways=2, decodes=2)
        world.link_all()
        async with world.running():
            gateway = world.gateways[0]
            gateway.table.record_leaving(gateway.table.alive["d0"])
            busy = await _reserve(world.gateways[1])
            other = await _reserve(gateway, share=0.3)
            found = await _reserve(gateway, share=0.3)
            assert {other.endpoint.id, found.endpoint.id} == {"d1"}
            await asyncio.sleep(0.2)
            held = _pool(world.scheduler).leases.leases
            assert len(held) == 3
            for item in (busy, other, found):
                item.release()
            await asyncio.sleep(0.2)
            assert not held

    virtual.run(main())


def test_a_coordinator_without_endpoints_declines_at_once() -> None:
    """One that has just started knows too little to refuse anything."""

    async def main() -> None:
        world = scheduler_world.World(gateways=1)
        world.coordinators[0].table.alive.clear()
        world.link_all()
        async with world.running():
            began = _now()
            found = await _reserve(world.gateways[0])
            assert _now() - began <= 0.01
            found.release()
            assert world.gateways[0].count(client.Fallback.DECLINED) == 1

    virtual.run(main())


def test_a_service_without_requests_is_not_scheduled_any_more() -> None:
    """Gateways stop to report what they hold."""

    async def main() -> None:
        world = scheduler_world.World(gateways=2)
        world.link_all()
        async with world.running():
            (await _reserve(world.gateways[0])).release()
            coordinator = world.scheduler
            run = asyncio.create_task(coordinator.host.run())
            await asyncio.sleep(8.0)
            assert not coordinator.host._pools
            coordinator.received.clear()
            await asyncio.sleep(3.0)
            assert not coordinator.received
            (await _reserve(world.gateways[1])).release()
            assert world.gateways[1].count(client.Outcome.GRANTED) == 1
            run.cancel()

    virtual.run(main())


def test_messages_grow_with_requests_and_not_with_pairs_of_gateways() -> None:
    """Each request costs three messages beside the batched progress."""

    async def main(gateways: int) -> int:
        world = scheduler_world.World(gateways=gateways, decodes=12)
        world.link_all()
        async with world.running():
            (await _reserve(world.gateways[0])).release()
            await asyncio.sleep(0.2)
            for item in [*world.gateways, *world.coordinators]:
                item.received.clear()
            for number in range(40):
                found = await _reserve(
                    world.gateways[number % gateways], share=0.2
                )
                found.release()
            return sum(
                not isinstance(msg, messages.CapacityProgress)
                for item in [*world.gateways, *world.coordinators]
                for msg in item.received
            )

    # A request, a grant and a release each.
    for gateways in (5, 10, 40):
        assert virtual.run(main(gateways)) <= 3 * 40

    # A gateway that holds nothing renews its lease twice a second.
    async def idle() -> int:
        world = scheduler_world.World(gateways=5)
        world.link_all()
        async with world.running():
            (await _reserve(world.gateways[0])).release()
            await asyncio.sleep(0.5)
            world.scheduler.received.clear()
            await asyncio.sleep(2.0)
            return len(world.scheduler.received)

    assert virtual.run(idle()) <= 5 * 2 * 2 + 5
