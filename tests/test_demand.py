"""Demand of what counts more, for one endpoint of the whole pool."""

import asyncio

from rackpost.decide import declared_events
from rackpost.decide import demand
from rackpost.entry import core
from rackpost.testing import virtual
from rackpost import types
from tests import driver

KIND = types.KindName("note")


def offer(at: float, density: float, target: float = 0.5) -> demand.Offer:
    return demand.Offer(at, density, 0.1, target)


def test_only_denser_work_counts_and_urgent_work_apart() -> None:
    seen = demand.DemandEstimator()
    seen.record_offer(KIND, offer(0.0, 9.0, target=0.2))
    seen.record_offer(KIND, offer(0.0, 8.0, target=0.9))
    seen.record_offer(KIND, offer(0.0, 1.0, target=0.2))
    share = seen.higher_density_than(offer(0.1, 5.0))
    assert share.urgent_rate == 1 / demand.WINDOW_S
    assert share.other_rate == 1 / demand.WINDOW_S
    assert seen.higher_density_than(offer(9.0, 5.0)) == demand.NO_DEMAND


def test_a_declared_kind_counts_until_it_has_not_shown() -> None:
    declared = [declared_events.DeclaredEvent(100.0, 60.0, (KIND,), 30.0)]

    def rate(now: float, seen: float) -> float:
        found = declared_events.expected_rates(
            declared, seen={KIND: seen}, now=now
        )
        return found.get(KIND, 0.0)

    assert rate(90.0, 0.0) == 0.0
    assert rate(99.9, 0.0) == 30.0
    assert rate(100.5, 0.0) == 30.0
    assert rate(110.0, 0.0) == 0.0
    assert rate(110.0, 20.0) == 30.0
    assert rate(161.0, 20.0) == 0.0


class _Known(core.InForce):
    """A site of twenty endpoints of each role."""

    def members(
        self, service: types.ServiceName, role: types.Role
    ) -> int | None:
        return 20


def test_demand_is_shared_by_all_endpoints_not_only_the_linked_ones() -> None:
    # Bug: an entry that is linked to 4 of 20 took the site's demand to
    # fall on those 4, and asked each to keep five times too much room.
    async def main() -> None:
        site = driver.small_site(prefills=2, decodes=2)
        await asyncio.sleep(0.1)
        entry = site.entries[0]
        linked = entry.pool.views_of(driver.SERVICE)
        entry.offers.denser(driver.ask("dense", weight=50.0), linked)
        few = entry.offers.denser(driver.ask("light"), linked)
        entry.offers._members = _Known().members
        many = entry.offers.denser(driver.ask("light2"), linked)
        assert abs(few.other_rate / many.other_rate - 10.0) < 1e-9
        site.close()

    virtual.run(main())
