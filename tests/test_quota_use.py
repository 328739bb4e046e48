"""Quota use as shown to operators: bounded, and without keys."""

import asyncio
import json
import pathlib

import pytest

from rackpost import cmd_operator
from rackpost.coordinator import links
from rackpost.decide import quota_use
from rackpost import types
from tests import platform_site
from tests import test_gateway
from tests import test_gateway_keys
from tests import test_keys


def name(text: str) -> types.OrganisationName:
    return types.OrganisationName(text)


def test_use_covers_the_last_window() -> None:
    tracker = quota_use.QuotaUseTracker(window_s=8.0)
    tracker.record_admitted(name("a"), 300, 1.0)
    tracker.record_admitted(name("b"), 200, 2.0)
    tracker.record_refused(name("b"), 2.0)
    assert tracker.recent(3.0) == (
        quota_use.QuotaUse(name("a"), 300, 0),
        quota_use.QuotaUse(name("b"), 200, 1),
    )
    assert tracker.recent(9.5) == (quota_use.QuotaUse(name("b"), 200, 1),)
    assert tracker.recent(10.1) == ()


def test_only_the_largest_organisations_are_reported() -> None:
    """The size of a report does not grow with the organisations."""
    tracker = quota_use.QuotaUseTracker(window_s=8.0)
    for number in range(630):
        tracker.record_admitted(name(f"o{number}"), number, 1.0)
    reported = tracker.recent(2.0)
    assert len(reported) == 21
    assert reported[0] == quota_use.QuotaUse(name("o629"), 629, 0)
    assert reported[-1].organisation == quota_use.OTHERS
    assert sum(item.units for item in reported) == sum(range(630))
    # The sum over gateways keeps the others last.
    assert quota_use.largest(reported * 2)[-1].organisation == quota_use.OTHERS


def test_requests_over_quota_are_refused_and_shown(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """The burst is 500 units, and each request counts 200."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            organisation = test_keys.organisation(
                "nord", "secret-key", ratePerS=10
            )
            doc = test_gateway_keys.document(2, organisation)
            await test_gateway_keys.set_document(site, doc)
            # As if it had run for long: no spending is forgotten.
            site.gateway.site.quotas.started_at -= 100.0
            data = test_gateway.request(
                "/safe/x", more=test_gateway_keys.key("secret-key")
            )
            answers = [await site.raw(data) for _ in range(6)]
            statuses = [test_gateway.status(item) for item in answers]
            assert statuses.count(200) >= 1
            assert statuses[-1] == 429
            assert b"retry-after" in answers[-1]
            assert len(
                test_gateway_keys.requests_seen(site)
            ) == statuses.count(200)
            await platform_site.until(
                lambda: any(site.coordinator.directory.quotas.values())
            )
            port = site.plan.base + links.METRICS_PORT
            where = f"{site.plan.ip(11)}:{port}"
            args = ["site", "quotas", "--coordinators", where]
            await asyncio.to_thread(cmd_operator.main, args)
            shown = capsys.readouterr().out
            header, row = [line.split() for line in shown.splitlines()]
            assert row[:3] == ["nord", "10", "500"]
            assert row[-1].startswith("edge-31:")
            assert "secret" not in shown

    asyncio.run(main())


def test_a_document_is_checked_with_its_organisations(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    doc = test_gateway_keys.document(2, test_keys.organisation("a", "1", "2"))
    file = tmp_path / "doc.json"
    file.write_text(json.dumps(doc))
    cmd_operator.main(["check-config", str(file)])
    assert "1 organisations with 2 keys" in capsys.readouterr().out
    doc["tenants"].append(test_keys.organisation("b", "1"))
    file.write_text(json.dumps(doc))
    with pytest.raises(SystemExit):
        cmd_operator.main(["check-config", str(file)])
    assert "a and b: a key stands twice" in capsys.readouterr().err
