"""Gateways report their demand on first evidence."""

import asyncio
import pathlib

import msgspec

from rackpost.coordinator import messages
from rackpost.decide import features
from rackpost.decide import role_reports
from rackpost import types
from tests import platform_site
from tests import role_pools

_SERVICE = types.ServiceName("model")
_Evidence = role_reports.Evidence


def test_first_requests_and_token_times_are_reported_once() -> None:
    reports = role_reports.EvidenceReports()
    seen = []
    states = [
        (False, False),
        (True, False),
        (True, False),
        (True, True),
        (True, True),
        # The requests are no longer recent; then others come.
        (False, True),
        (True, True),
        (True, True),
    ]
    for has_requests, knows_times in states:
        found = reports.due(has_requests=has_requests, knows_times=knows_times)
        seen.append(found)
        # A regular report says that there are none.
        if found is not None or not has_requests:
            reports.record(has_requests=has_requests, knows_times=knows_times)
    assert seen == [
        None,
        _Evidence.FIRST_REQUESTS,
        None,
        _Evidence.TOKEN_TIMES,
        None,
        None,
        _Evidence.FIRST_REQUESTS,
        None,
    ]


def test_a_mix_is_known_within_two_seconds_of_traffic() -> None:
    """At 19 requests/s over 21 gateways; with regular reports it took 2.5."""
    for name in ("steady", "wave", "bursts", "wave and bursts"):
        for seed in range(12):
            found = role_pools.play(
                role_pools.LOADS_BY_NAME[name],
                role_pools.PlannedWay(),
                seed=seed,
            )
            assert found.first_at <= 2.0


class _Link:
    """A link that keeps what is sent."""

    def __init__(self) -> None:
        self.sent: list[msgspec.Struct] = []

    def send(self, msg: msgspec.Struct) -> None:
        """Keep a message."""
        self.sent.append(msg)


def test_a_gateway_reports_early_only_where_the_feature_is_on(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as running:
            gateway = running.gateway
            site, links, link = gateway.site, gateway._links, _Link()
            links._linked = {link}
            meter = site.demand_meter(_SERVICE)
            meter.add(site.loop_time(), prompt=100, out=100, share=0.1)
            links.publish_new_demands()
            assert not link.sent
            site._features = {
                _SERVICE: frozenset((features.Feature.EARLY_ROLES,))
            }
            links.publish_new_demands()
            links.publish_new_demands()
            assert len(link.sent) == 1
            site.token_timing = role_pools.known_token_timing()
            links.publish_new_demands()
            links.publish_new_demands()
            assert len(link.sent) == 2
            last = link.sent[-1]
            assert isinstance(last, messages.Demands)
            found = [item for item in last.items if item.service == _SERVICE]
            assert found[0].recent is not None
            assert found[0].recent.decode_token_s > 0.0
            assert site.metrics.totals("early_demand_reports") == {
                "first-requests": 1,
                "token-times": 1,
            }

    asyncio.run(main())
