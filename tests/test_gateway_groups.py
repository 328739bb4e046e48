"""Division of gateways and endpoints into groups."""

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
def test_a_small_fleet_is_not_divided(gateways: int) -> None:
    assert gateway_groups.group_count(gateways) == 1


@pytest.mark.parametrize("gateways", [97, 285, 370, 1000])
def test_group_size_does_not_depend_on_the_fleet(
    gateways: int,
) -> None:
    """So neither do the load reports of one gateway."""
    count = gateway_groups.group_count(gateways)
    sizes = collections.Counter(
        gateway_groups.group_of(name, count)
        for name in names("edge", gateways)
    )
    assert len(sizes) == count
    assert max(sizes.values()) <= 90
    assert min(sizes.values()) >= 25


def test_few_names_move_when_a_group_is_added() -> None:
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


def candidate_ids(
    vm: str, gateways: int, found: list[endpoints.Endpoint], role: types.Role
) -> set[str]:
    one = chooser(vm, gateways, found)
    return {item.id for item in one.candidates.find(_SERVICE, role, now=0.1)}


def test_gateways_of_a_group_share_its_endpoints() -> None:
    """All groups together use all endpoints, each endpoint once."""
    found = [endpoint(n, types.Role.DECODE) for n in names("i", 600)]
    by_group: dict[int, set[str]] = {}
    for vm in names("edge", 285):
        number = gateway_groups.group_of(vm, gateway_groups.group_count(285))
        own = candidate_ids(vm, 285, found, types.Role.DECODE)
        assert by_group.setdefault(number, own) == own
        assert 80 < len(own) < 170
    assert set.union(*by_group.values()) == {item.id for item in found}
    assert sum(len(ids) for ids in by_group.values()) == len(found)


def test_few_endpoints_are_shared_by_all_groups() -> None:
    found = [endpoint(n, types.Role.PLAIN) for n in names("p", 8)]
    for vm in names("edge", 20):
        own = candidate_ids(vm, 285, found, types.Role.PLAIN)
        assert own == {item.id for item in found}


def test_exclusions_do_not_widen_the_choice() -> None:
    """Else a group uses endpoints of others after a failure."""
    found = [endpoint(n, types.Role.DECODE) for n in names("i", 40)]
    one = chooser("edge-1", 285, found)
    own = one.candidates.find(_SERVICE, types.Role.DECODE, now=0.1)
    exclude = [item.id for item in own[:-1]]
    left = one.candidates.find(
        _SERVICE, types.Role.DECODE, exclude=exclude, now=0.1
    )
    assert left == own[-1:]
