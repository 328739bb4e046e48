"""Compares ways of sharing the origins of streams between gateways.

Prints what a stream costs at two sizes of a site, and how many streams are
found at another gateway after faults; the same faults and seeds for each way.
"""

import asyncio
from typing import Awaitable
from typing import Callable
from typing import NamedTuple

from rackpost.testing import origin_world
from rackpost.testing import virtual

# Gateways of a site, and the streams that begin there in a second.
_SIZES = ((30, 22.0), (370, 800.0))
_COORDINATORS = 5
_STREAMS = 40
_SEEDS = 5
# Headers of a message on a link (WebSocket, TCP, IP), in bytes.
_LINK_HEADER = 6 + 40
_SETTLE_S = 0.01


class Way(NamedTuple):
    """How many processes are told of a stream."""

    name: str
    coordinators: int
    gateways: int


_WAYS = (
    Way("all coordinators", 5, 0),
    Way("five other gateways", 0, 5),
    Way("all other gateways", 0, 10_000),
    Way("three coordinators, two gateways", 3, 2),
)


async def _gateway_gone(world: origin_world.World) -> None:
    world.stop_gateway(0)


async def _gateway_restarted(world: origin_world.World) -> None:
    world.start_gateway(0)


async def _two_coordinators_too(world: origin_world.World) -> None:
    world.stop_gateway(0)
    for index in range(2):
        world.restart_coordinator(index)


async def _coordinators_then_gateway(world: origin_world.World) -> None:
    for index in range(_COORDINATORS):
        world.restart_coordinator(index)
    await asyncio.sleep(_SETTLE_S)
    world.stop_gateway(0)


async def _most_gateways(world: origin_world.World) -> None:
    for number in list(world.gateways):
        if number != 1 and number % 5 < 3:
            world.start_gateway(number)


async def _cut_before(world: origin_world.World) -> None:
    world.stop_gateway(0)


async def _cut_from_all(world: origin_world.World) -> None:
    world.cut_gateways.add(0)


class Fault(NamedTuple):
    """What happens after the streams began; `cut` holds while they begin."""

    name: str
    strike: Callable[[origin_world.World], Awaitable[None]]
    cut: bool = False


_FAULTS = (
    Fault("first gateway gone", _gateway_gone),
    Fault("first gateway restarted", _gateway_restarted),
    Fault("gone, two coordinators restarted", _two_coordinators_too),
    Fault("all coordinators restarted, gone", _coordinators_then_gateway),
    Fault("three of five gateways restarted", _most_gateways),
    Fault("cut off from coordinators, gone", _cut_before, cut=True),
    Fault("cut off from all, alive", _cut_from_all, cut=True),
)


def _world(way: Way, gateways: int, seed: int) -> origin_world.World:
    return origin_world.World(
        gateways=gateways,
        copies=way.coordinators,
        gateway_copies=way.gateways,
        loss=0.01,
        seed=seed,
    )


async def _found(way: Way, fault: Fault, seed: int) -> int:
    world = _world(way, _SIZES[0][0], seed)
    if fault.cut:
        world.cut_links(0)
        if fault.strike is _cut_from_all:
            world.cut_gateways.add(0)
    for number in range(_STREAMS):
        world.begin(0, number)
    await asyncio.sleep(_SETTLE_S)
    await fault.strike(world)
    found = [await world.find(1, number) for number in range(_STREAMS)]
    return sum(item == origin_world.ORIGIN for item in found)


async def _cost(way: Way, gateways: int) -> tuple[float, float]:
    """Return the messages and bytes that one stream costs."""
    world = _world(way, gateways, 0)
    for number in range(_STREAMS):
        world.begin(0, number)
    await asyncio.sleep(_SETTLE_S)
    messages = world.sent_messages / _STREAMS
    return messages, world.sent_bytes / _STREAMS + messages * _LINK_HEADER


def main() -> None:
    """Print both tables."""
    for way in _WAYS:
        print(way.name)
        for gateways, per_s in _SIZES:
            messages, size = virtual.run(_cost(way, gateways))
            at_coordinator = way.coordinators / _COORDINATORS * per_s
            print(
                f"  {gateways} gateways, {per_s:.0f} streams/s: "
                f"{messages:.0f} messages, {size:.0f} B a stream; "
                f"{messages * per_s:.0f} messages/s, "
                f"{size * per_s / gateways / 1000:.2f} KB/s a gateway sends; "
                f"{at_coordinator:.0f} messages/s a coordinator receives"
            )
        for fault in _FAULTS:
            found = sum(
                virtual.run(_found(way, fault, seed)) for seed in range(_SEEDS)
            )
            print(f"  {fault.name}: {found} of {_STREAMS * _SEEDS} found")


if __name__ == "__main__":
    main()
