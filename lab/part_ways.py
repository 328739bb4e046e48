"""Compare ways to recognise what crashes endpoints: python -m lab.part_ways.

Each way is played with the same loads and seeds.
"""

import pathlib
import sys
import tempfile

from rackpost.testing import part_world
from rackpost.testing import virtual

WAYS = {
    "requests": part_world.Way(parts=False),
    "parts, each gateway": part_world.Way(shared=False),
    "parts, all alike": part_world.Way(sound=False),
    "parts, sound ones told apart": part_world.Way(),
}
LOADS = {
    "one in 24 is bad": part_world.Load(bad_per_s=0.3),
    "one in 3 is bad": part_world.Load(bad_per_s=3.5),
    "30 gateways, ten parts": part_world.Load(
        gateways=30,
        endpoints=60,
        sound_per_s=100.0,
        bad_per_s=3.0,
        prompt=10,
        place=4,
    ),
    "a sound part turns bad": part_world.Load(
        bad_per_s=0.5, bad_from_s=10.0, seconds=60.0
    ),
    "endpoints end": part_world.Load(ends_per_s=0.7, seconds=60.0),
    "connections are reset": part_world.Load(
        gateways=30,
        endpoints=60,
        sound_per_s=100.0,
        resets_at_s=(1.0, 8.0, 9.0, 16.0),
    ),
}
SEEDS = 5
# The full load with ten parts a prompt, at two numbers of gateways.
SIZES = {
    f"{gateways} gateways, 1,600 requests/s": part_world.Load(
        gateways=gateways,
        endpoints=600,
        sound_per_s=1600.0,
        bad_per_s=5.0,
        prompt=10,
        place=4,
        organisations=200,
        seconds=8.0,
        heartbeats=False,
    )
    for gateways in (30, 370)
}


def play(
    load: part_world.Load, way: part_world.Way, seed: int
) -> part_world.Result:
    """Play a load with one way and seed."""

    async def main(folder: pathlib.Path) -> part_world.Result:
        world = part_world.World(load=load, way=way, folder=folder, seed=seed)
        return await world.run()

    with tempfile.TemporaryDirectory() as folder:
        return virtual.run(main(pathlib.Path(folder)))


def _main() -> None:
    for load_name, load in LOADS.items():
        _compare(load_name, load, SEEDS)
    for load_name, load in SIZES.items():
        _compare(load_name, load, 1)


def _compare(load_name: str, load: part_world.Load, seeds: int) -> None:
    """Print what a load costs with each way."""
    for way_name, way in WAYS.items():
        found = [play(load, way, seed) for seed in range(seeds)]
        crashes = [item.crashes for item in found]
        sent = sum(item.sound for item in found)
        refused = sum(item.sound_refused for item in found)
        broken = sum(item.sound_broken for item in found)
        kilobytes = sum(item.bytes for item in found) / 1000 / seeds
        count = sum(item.messages for item in found) / seeds
        sys.stdout.write(
            f"{load_name} | {way_name} | crashes {crashes} | sound"
            f" refused {refused} and broken {broken} of {sent + refused}"
            f" | {count:.0f} messages, {kilobytes:.0f} KB\n"
        )
        sys.stdout.flush()


if __name__ == "__main__":
    _main()
