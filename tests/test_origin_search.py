"""Where a gateway finds the origin of a stream that a client resumes."""

import asyncio

import pytest

from rackpost.testing import origin_world
from rackpost.testing import virtual

_GATEWAYS = 30
_STREAMS = 50
# A client leaves a stream after a silence of two seconds.
_MAX_SEARCH_S = 1.0


async def _found(world: origin_world.World, at: int) -> int:
    """Return how many streams are found at a gateway."""
    found = [await world.find(at, number) for number in range(_STREAMS)]
    return sum(item == origin_world.ORIGIN for item in found)


def _begin_all(world: origin_world.World, at: int) -> None:
    for number in range(_STREAMS):
        world.begin(at, number)


def test_a_stream_outlives_its_gateway_and_two_coordinators() -> None:
    async def main() -> None:
        world = origin_world.World(gateways=_GATEWAYS)
        _begin_all(world, 0)
        await asyncio.sleep(0.01)
        world.stop_gateway(0)
        for index in range(2):
            world.restart_coordinator(index)
        assert await _found(world, 1) == _STREAMS

    virtual.run(main())


def test_a_stream_of_a_gateway_without_coordinators_is_found() -> None:
    """It is cut off, and its links seem to be up."""

    async def main() -> None:
        world = origin_world.World(gateways=_GATEWAYS)
        world.cut_links(0)
        _begin_all(world, 0)
        await asyncio.sleep(0.01)
        assert await _found(world, 1) == _STREAMS
        world.start_gateway(0)
        assert await _found(world, 2) == _STREAMS

    virtual.run(main())


def test_all_coordinators_that_restart_are_told_again() -> None:
    async def main() -> None:
        world = origin_world.World(gateways=_GATEWAYS, gateway_copies=0)
        _begin_all(world, 0)
        await asyncio.sleep(0.01)
        for index in range(5):
            world.restart_coordinator(index)
        await asyncio.sleep(0.01)
        world.stop_gateway(0)
        assert await _found(world, 1) == _STREAMS

    virtual.run(main())


@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_a_search_at_a_gateway_without_coordinators_ends_in_time(
    loss: float,
) -> None:
    """Datagrams are lost now and then."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        world = origin_world.World(gateways=_GATEWAYS, loss=loss)
        _begin_all(world, 0)
        await asyncio.sleep(0.01)
        world.cut_links(1)
        assert await _found(world, 1) == _STREAMS
        began = loop.time()
        assert await world.find(1, _STREAMS) is None
        assert loop.time() - began < _MAX_SEARCH_S

    virtual.run(main())


def test_a_search_takes_one_round_trip_to_a_coordinator() -> None:
    """Callers must not wait for the slowest coordinator."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        world = origin_world.World(gateways=_GATEWAYS)
        _begin_all(world, 0)
        await asyncio.sleep(0.01)
        began = loop.time()
        assert await _found(world, 1) == _STREAMS
        assert loop.time() - began < _STREAMS * 0.004

    virtual.run(main())


def test_a_stream_costs_few_messages_however_many_gateways_there_are() -> None:
    """370 gateways begin 800 streams a second."""

    async def main() -> None:
        sent = {}
        for gateways in (30, 370):
            world = origin_world.World(gateways=gateways)
            _begin_all(world, 0)
            await asyncio.sleep(0.01)
            sent[gateways] = world.sent_messages / _STREAMS
        assert sent[30] == sent[370] == 5

    virtual.run(main())
