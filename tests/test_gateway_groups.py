"""Groups of gateways: what they share, and what figures cost in them."""

import collections
import random

import pytest

from rackpost.decide import candidates
from rackpost.decide import eligibility
from rackpost.decide import endpoint_choice
from rackpost.decide import endpoint_health
from rackpost.decide import endpoint_load
from rackpost.decide import gateway_groups
from rackpost.routing import endpoints
from rackpost import types

_SERVICE = types.ServiceName("tolk")


def names(kind: str, count: int) -> list[str]:
    rng = random.Random(count)
    return [f"{kind}-{rng.getrandbits(40):010x}" for _ in range(count)]


@pytest.mark.parametrize("gateways", [1, 21, 68, 96])
def test_some_gateways_share_all_endpoints(gateways: int) -> None:
    assert gateway_groups.group_count(gateways) == 1


@pytest.mark.parametrize("gateways", [97, 285, 370, 1000])
def test_a_group_has_the_same_size_whatever_their_number(
    gateways: int,
) -> None:
    """So do the messages that a gateway sends and takes."""
    count = gateway_groups.group_count(gateways)
    sizes = collections.Counter(
        gateway_groups.group_of(name, count)
        for name in names("edge", gateways)
    )
    assert len(sizes) == count
    assert max(sizes.values()) <= 90
    assert min(sizes.values()) >= 25


def test_little_moves_when_there_is_one_group_more() -> None:
    found = names("i", 3000)
    moved = sum(
        gateway_groups.group_of(name, 5) != gateway_groups.group_of(name, 6)
        for name in found
    )
    assert moved < 0.25 * len(found)


def endpoint(name: str, role: types.Role) -> endpoints.Endpoint:
    return endpoints.Endpoint(
        id=types.EndpointId(name),
        service=_SERVICE,
        address=name,
        role=role,
        slots=12,
        sequence=1,
    )


def chooser(
    vm: str, gateways: int, found: list[endpoints.Endpoint]
) -> endpoint_choice.Chooser:
    table = endpoints.EndpointTable()
    for item in found:
        table.update(item, 0.0)
    group = gateway_groups.Group(vm=types.VmId(vm))
    group.set_gateways(gateways)
    return endpoint_choice.Chooser(
        candidates=candidates.Candidates(
            table=table,
            eligible=eligibility.Eligibility(
                table=table, rng=random.Random(1)
            ),
            silent_after_s=99.0,
            group=group,
            health=endpoint_health.HealthTracker(),
        ),
        loads=endpoint_load.LoadTable(on_change=lambda: None),
        health=endpoint_health.HealthTracker(),
        data_centre=types.DataCentre("a"),
        rng=random.Random(1),
    )


def chosen_from(
    vm: str, gateways: int, found: list[endpoints.Endpoint], role: types.Role
) -> set[str]:
    one = chooser(vm, gateways, found)
    return {item.id for item in one.candidates.find(_SERVICE, role, now=0.1)}


def test_gateways_of_a_group_choose_from_the_same_endpoints() -> None:
    """And together all groups choose from all."""
    found = [endpoint(n, types.Role.DECODE) for n in names("i", 600)]
    by_group: dict[int, set[str]] = {}
    for vm in names("edge", 285):
        number = gateway_groups.group_of(vm, gateway_groups.group_count(285))
        mine = chosen_from(vm, 285, found, types.Role.DECODE)
        assert by_group.setdefault(number, mine) == mine
        assert 80 < len(mine) < 170
    assert set.union(*by_group.values()) == {item.id for item in found}
    assert sum(len(part) for part in by_group.values()) == len(found)


def test_of_a_few_endpoints_all_choose_among_all() -> None:
    found = [endpoint(n, types.Role.PLAIN) for n in names("p", 8)]
    for vm in names("edge", 20):
        mine = chosen_from(vm, 285, found, types.Role.PLAIN)
        assert mine == {item.id for item in found}


def test_what_was_tried_does_not_change_the_part() -> None:
    """Else a group would use others' endpoints after a failure."""
    found = [endpoint(n, types.Role.DECODE) for n in names("i", 40)]
    one = chooser("edge-1", 285, found)
    mine = one.candidates.find(_SERVICE, types.Role.DECODE, now=0.1)
    but = [item.id for item in mine[:-1]]
    left = one.candidates.find(
        _SERVICE, types.Role.DECODE, exclude=but, now=0.1
    )
    assert left == mine[-1:]
