"""What a scheduler grants and refuses, and what it knows of."""

import asyncio

import msgspec

from rackpost.gateway import reservation as reservation_mod
from rackpost.routing import endpoints
from rackpost.scheduler import client
from rackpost.testing import virtual
from rackpost import types
from tests import scheduler_world

Reservation = reservation_mod.DecodeReservation
SERVICE = scheduler_world.SERVICE
_now = scheduler_world.now
_reserve = scheduler_world.reserve
_pool = scheduler_world.pool_of


def test_a_grant_of_a_prefill_endpoint_that_failed_is_returned() -> None:
    """Another prefill endpoint is asked for, and the same decode endpoint."""

    async def main() -> None:
        world = scheduler_world.World(gateways=2)
        for table in world._tables():
            for number in range(2):
                table.update(
                    endpoints.Endpoint(
                        id=types.EndpointId(f"p{number}"),
                        service=SERVICE,
                        address=f"p{number}:1",
                        data_centre=types.DataCentre("here"),
                        role=types.Role.PREFILL,
                        slots=4,
                        sequence=1,
                    ),
                    0.0,
                )
        world.link_all()
        async with world.running():
            gateway = world.gateways[0]
            first = await _reserve(gateway, share=0.3)
            assert first.prefill_endpoint is not None
            # Only this gateway knows.
            failing = first.prefill_endpoint.id
            gateway.health.record_reported_failure(failing, _now())
            found = await _reserve(gateway, share=0.3)
            assert found.prefill_endpoint is not None
            assert found.prefill_endpoint.id != failing
            assert found.endpoint.id == first.endpoint.id
            assert not gateway.metrics.totals("scheduler_fallback")
            objections = gateway.metrics.totals("scheduler_objections")
            assert sum(objections.values()) <= 1

    virtual.run(main())


def test_releases_and_prefilled_prompts_are_known_at_once() -> None:
    """A waiting request gets what is released within 10 ms, not 50."""

    async def main() -> None:
        world = scheduler_world.World(gateways=3)
        world.link_all()
        async with world.running():
            for number in range(5):
                held = await _reserve(world.gateways[0])
                waiter = asyncio.create_task(_reserve(world.gateways[1]))
                await asyncio.sleep(0.2)
                # A report was just sent, so that a batch has just begun.
                extra = await _reserve(world.gateways[0], share=0.2)
                extra.release()
                await asyncio.sleep(0.004)
                began = _now()
                held.release()
                (await waiter).release()
                assert _now() - began <= 0.01
                await asyncio.sleep(0.1 * number)

    virtual.run(main())


def test_an_endpoint_that_fails_is_left_out_while_its_gateway_avoids_it() -> (
    None
):
    """For 1.6 s after the third failure in a row, and not longer."""

    async def main() -> None:
        world = scheduler_world.World(gateways=2, decodes=2)
        world.link_all()
        async with world.running():
            (await _reserve(world.gateways[0])).release()
            failing = types.EndpointId("d0")
            began = _now()
            for _ in range(3):
                world.gateways[0].health.record_failure(failing, began)
            await asyncio.sleep(0.01)
            # A report is sent with the next event.
            (await _reserve(world.gateways[0])).release()
            await asyncio.sleep(0.01)
            health = _pool(world.scheduler)._health
            while _now() < began + 1.55:
                assert health.is_avoided(failing, _now())
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.5)
            assert not health.is_avoided(failing, _now())

    virtual.run(main())


def test_nothing_is_refused_that_still_has_time() -> None:
    """Four wait for one place; a wait of 3 s each is expected, but wrong."""

    async def main() -> None:
        world = scheduler_world.World(gateways=5)
        world.link_all()
        async with world.running():
            held = await _reserve(world.gateways[0])
            asks = [
                asyncio.create_task(
                    scheduler_world.hold(gateway, seconds=0.2, left_s=6.0)
                )
                for gateway in world.gateways[1:]
            ]
            await asyncio.sleep(0.5)
            held.release()
            for found in await asyncio.gather(*asks):
                assert isinstance(found, Reservation)

    virtual.run(main())


def test_a_scheduler_with_a_full_queue_leaves_requests_to_gateways() -> None:
    """It refuses none for that; 600 wait for one place."""

    async def main() -> None:
        world = scheduler_world.World(gateways=6)
        world.link_all()
        async with world.running():
            held = await _reserve(world.gateways[0])
            asks = [
                asyncio.create_task(_reserve(gateway, left_s=1e4))
                for gateway in world.gateways
                for _ in range(100)
            ]
            await asyncio.sleep(0.05)
            assert not any(task.done() for task in asks)
            declined = sum(
                item.count(client.Fallback.DECLINED) for item in world.gateways
            )
            assert declined == 600 - 512
            for task in asks:
                task.cancel()
            await asyncio.gather(*asks, return_exceptions=True)
            held.release()

    virtual.run(main())


def test_endpoints_near_the_gateway_are_preferred() -> None:
    """As the gateway prefers them itself, at equal load."""

    async def main() -> None:
        world = scheduler_world.World(gateways=2, decodes=6)
        for table in world._tables():
            for number in (1, 4):
                item = table.alive[types.EndpointId(f"d{number}")]
                far = types.DataCentre("there")
                table.alive[item.id] = msgspec.structs.replace(
                    item, data_centre=far
                )
        world.link_all()
        async with world.running():
            here = [await _reserve(world.gateways[0]) for _ in range(4)]
            near = {item.endpoint.data_centre for item in here}
            assert near == {types.DataCentre("here")}
            found = await _reserve(world.gateways[1])
            assert found.endpoint.data_centre == types.DataCentre("there")

    virtual.run(main())


def test_a_fleet_in_groups_is_not_scheduled() -> None:
    """Gateways of a group use its endpoints only, which one queue can't."""

    async def main(gateways: int) -> scheduler_world.World:
        world = scheduler_world.World(gateways=gateways, decodes=2)
        world.link_all()
        async with world.running():
            (await _reserve(world.gateways[0])).release()
        return world

    undivided = virtual.run(main(96))
    assert undivided.gateways[0].count(client.Outcome.GRANTED) == 1
    divided = virtual.run(main(97))
    assert divided.gateways[0].count(client.Fallback.DECLINED) == 1
    assert not divided.coordinators[0].host._pools


def test_decisions_are_delegated_while_a_scheduler_answers() -> None:
    """Not for a second after a decision of the gateway's own."""

    async def main() -> None:
        world = scheduler_world.World(gateways=2, decodes=4)
        world.link_all()
        gateway = world.gateways[0]
        assert not gateway.client.is_delegated
        async with world.running():
            assert not gateway.client.is_delegated
            (await _reserve(gateway)).release()
            assert gateway.client.is_delegated
            world.scheduler.frozen = True
            (await _reserve(gateway)).release()
            assert not gateway.client.is_delegated
            world.scheduler.thaw()
            await asyncio.sleep(0.9)
            assert not gateway.client.is_delegated
            await asyncio.sleep(0.2)
            assert gateway.client.is_delegated
            world.cut(gateway, world.scheduler)
            assert not gateway.client.is_delegated

    virtual.run(main())


def test_a_prompt_that_is_held_is_not_prefilled_again() -> None:
    """Neither the gateway nor the scheduler counts its prefill."""

    async def main() -> None:
        world = scheduler_world.World(gateways=2)
        world.link_all()
        async with world.running():
            usual = scheduler_world.request()
            waiting = msgspec.structs.replace(
                usual.waiting_request, holds_prompt=True
            )
            found = await world.gateways[0].client.reserve(
                msgspec.structs.replace(usual, waiting_request=waiting)
            )
            assert isinstance(found, Reservation)
            counted = [
                world.gateways[0].loads.own[found.endpoint.id],
                _pool(world.scheduler)._loads.total(found.endpoint.id),
            ]
            for load in counted:
                assert load.prompt_tokens == 0 and len(load.runs) == 1
            found.release()

    virtual.run(main())
