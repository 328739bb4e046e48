"""A gateway and a coordinator with a scheduler, over sockets."""

import asyncio
import pathlib

import pytest

from rackpost.decide import features
from rackpost.gateway import policy
from rackpost.scheduler import client
from rackpost.scheduler import pool
from tests import platform_site
from tests import test_gateway


def _urgent_document(version: int) -> dict:
    """A document whose streams have two priorities."""
    found = platform_site.document(version)
    found["routes"][2]["priority"] = 1
    return found


async def _put(site: platform_site.Site, doc: dict) -> None:
    await site.operator.put_until_accepted(11, doc)
    version = doc["version"]
    await platform_site.until(lambda: site.gateway.site.version == version)
    await platform_site.until(lambda: site.coordinator.feed.version == version)


def test_a_stream_is_served_with_a_grant_of_the_scheduler(
    tmp_path: pathlib.Path,
) -> None:
    """The lease ends with the stream."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            await _put(site, _urgent_document(2))
            # The link has settled.
            choices = site.gateway.site.capacity._choices
            for host in choices._linked_at:
                choices._linked_at[host] = float("-inf")
            got = await site.raw(test_gateway.generation("/gen/x"))
            assert test_gateway.status(got) == 200
            assert got.endswith(b"0\r\n\r\n")
            counted = site.gateway.site.metrics.counted
            granted = counted("scheduler_outcome", client.Outcome.GRANTED)
            assert granted == 1
            ended = site.coordinator.metrics.counted
            await platform_site.until(
                lambda: ended("scheduler", pool.Event.RETURNED) == 1
            )
            assert not site.gateway.site.loads.own

    asyncio.run(main())


_DISABLED = policy.Policy(
    parts=features.parse(f"-{features.Feature.POOL_SCHEDULER.value}")
)


@pytest.mark.parametrize(
    ("doc", "own_policy"),
    [
        # The document calls for it, the setting switches it off.
        (_urgent_document(2), _DISABLED),
        # The document does not call for it.
        (platform_site.document(2), policy.Policy()),
    ],
)
def test_without_the_feature_the_scheduler_is_not_asked(
    tmp_path: pathlib.Path, doc: dict, own_policy: policy.Policy
) -> None:
    """The gateway decides as before there were schedulers."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path, own_policy) as site:
            await _put(site, doc)
            got = await site.raw(test_gateway.generation("/gen/x"))
            assert test_gateway.status(got) == 200
            metrics = site.gateway.site.metrics
            assert not metrics.totals("scheduler_outcome")
            assert not metrics.totals("scheduler_fallback")
            assert not site.coordinator.schedulers._pools

    asyncio.run(main())
