"""Ways to recognise prompt parts that crash endpoints, under each load.

Guards against crashes without bound, and refused requests that share parts.
"""

import pytest

from lab import part_ways
from rackpost.testing import part_world

# The ways and loads of `lab/part_ways.py`; the standing one knows whole
# requests only.
_STANDING = part_ways.WAYS["requests"]
_ALONE = part_ways.WAYS["parts, each gateway"]
_ALL_ALIKE = part_ways.WAYS["parts, all alike"]
_BUILT = part_ways.WAYS["parts, sound ones told apart"]
_SEEDS = range(2)
# Endpoints that may crash before a part has to be held back, and requests with
# it that may reach endpoints later.
_MAX_CRASHES = 5
_MAX_LATE = 3
# Share of sound requests that may be refused while endpoints end or
# connections are reset.
_MAX_REFUSED = 0.001

_BAD_LOADS = (
    "one in 24 is bad",
    "one in 3 is bad",
    "30 gateways, ten parts",
)
_HARMLESS_LOADS = ("endpoints end", "connections are reset")


def _play(load: str, way: part_world.Way) -> list[part_world.Result]:
    return [
        part_ways.play(part_ways.LOADS[load], way, seed) for seed in _SEEDS
    ]


@pytest.mark.parametrize("load", _BAD_LOADS)
def test_a_bad_part_crashes_few_endpoints(load: str) -> None:
    for found in _play(load, _BUILT):
        assert 0 < found.crashes <= _MAX_CRASHES
        assert found.sound_refused <= _MAX_REFUSED * found.sound


@pytest.mark.parametrize("place", [0, 1, 2])
def test_a_bad_part_at_any_place_crashes_few_endpoints(place: int) -> None:
    load = part_world.Load(bad_per_s=0.5, place=place)
    for seed in _SEEDS:
        found = part_ways.play(load, _BUILT, seed)
        assert 0 < found.crashes <= _MAX_CRASHES
        assert found.sound_refused <= _MAX_REFUSED * found.sound


@pytest.mark.parametrize("way", [_STANDING, _ALONE])
def test_other_ways_crash_more_endpoints(way: part_world.Way) -> None:
    for found in _play("30 gateways, ten parts", way):
        assert found.crashes > _MAX_CRASHES


@pytest.mark.parametrize("load", _HARMLESS_LOADS)
def test_sound_requests_are_served_though_many_break(load: str) -> None:
    for found in _play(load, _BUILT):
        assert found.sound_broken > found.sound / 10
        assert found.sound_refused <= _MAX_REFUSED * found.sound


def test_parts_held_alike_refuse_sound_requests() -> None:
    for found in _play("endpoints end", _ALL_ALIKE):
        assert found.sound_refused > found.sound / 10


def test_a_part_that_ran_well_and_turns_bad_is_held_back() -> None:
    """It takes more ends than a new part, and is tried again sooner."""
    for found in _play("a sound part turns bad", _BUILT):
        assert 0 < found.crashes <= _MAX_CRASHES + _MAX_LATE
        assert found.sound_refused <= _MAX_REFUSED * found.sound
