"""Demand of requests of higher value density, per endpoint."""

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


def test_only_denser_requests_count_with_urgent_ones_apart() -> None:
    seen = demand.DemandEstimator()
    seen.record_offer(KIND, offer(0.0, 9.0, target=0.2))
    seen.record_offer(KIND, offer(0.0, 8.0, target=0.9))
    seen.record_offer(KIND, offer(0.0, 1.0, target=0.2))
    share = seen.higher_density_than(offer(0.1, 5.0))
    assert share.urgent_rate == 1 / demand.WINDOW_S
    assert share.other_rate == 1 / demand.WINDOW_S
    assert seen.higher_density_than(offer(9.0, 5.0)) == demand.NO_DEMAND


def test_a_declared_kind_counts_until_its_requests_fail_to_come() -> None:
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


class _TwentyEndpoints(core.SettingsSource):
    """A site of twenty endpoints of each role."""

    def member_count(
        self, service: types.ServiceName, role: types.Role
    ) -> int | None:
        return 20


def test_demand_is_shared_by_all_endpoints_not_only_the_linked_ones() -> None:
    # Guards against dividing the site's demand by the linked endpoints,
    # which makes each keep several times too much capacity.
    async def main() -> None:
        site = driver.small_site(prefills=2, decodes=2)
        await asyncio.sleep(0.1)
        entry = site.entries[0]
        linked = entry.pool.views_of(driver.SERVICE)
        entry.demand.record_request(driver.ask("dense", weight=50.0), linked)
        few = entry.demand.record_request(driver.ask("light"), linked)
        entry.demand._members = _TwentyEndpoints().member_count
        many = entry.demand.record_request(driver.ask("light2"), linked)
        assert abs(few.other_rate / many.other_rate - 10.0) < 1e-9
        site.close()

    virtual.run(main())
