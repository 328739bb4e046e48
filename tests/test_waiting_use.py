"""The counts of waiting generations that operators see."""

import asyncio
import pathlib

import pytest

from rackpost import cmd_operator
from rackpost.decide.waiting import waiting_use
from rackpost import types
from tests import platform_site
from tests import test_site_overview

_NORD = types.OrganisationName("nord")
_SYD = types.OrganisationName("syd")


def _group(
    kind: str, organisation: types.OrganisationName, waiting: int
) -> waiting_use.WaitingGroup:
    return waiting_use.WaitingGroup(kind, organisation, 1, waiting, 0, 0.5)


def test_waiting_generations_are_counted_by_kind_and_organisation() -> None:
    """Those past their target count as late; nobody is left behind."""
    tracker = waiting_use.WaitingTracker()

    def waits(organisation: types.OrganisationName, since: float) -> object:
        return tracker.waits(
            kind="summary",
            organisation=organisation,
            priority=1,
            since=since,
            target=since + 1.0,
        )

    with waits(_NORD, 0.0), waits(_NORD, 1.5), waits(_SYD, 1.8):
        assert tracker.groups(2.0) == (
            waiting_use.WaitingGroup("summary", _NORD, 1, 2, 1, 2.0),
            waiting_use.WaitingGroup("summary", _SYD, 1, 1, 0, 0.2),
        )
    assert tracker.groups(2.0) == ()


def test_the_largest_groups_are_reported() -> None:
    """A report stays small however many organisations wait."""
    many = [
        _group("summary", types.OrganisationName(f"o{number}"), number + 1)
        for number in range(100)
    ]
    found = waiting_use.largest([*many, _group("summary", _NORD, 500)])
    assert len(found) == 16
    assert found[0].organisation == _NORD
    assert found[1].waiting == 100


def test_the_operator_sees_who_waits(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            # The gateway reports once a second that nobody waits there.
            site.coordinator.directory.waiting |= {
                types.VmId("g1"): (_group("summary", _NORD, 2),),
                types.VmId("g2"): (_group("summary", _NORD, 5),),
            }
            where = test_site_overview.coordinator_address(site)
            args = ["site", "waiting", "--coordinators", where]
            await asyncio.to_thread(cmd_operator.main, args)
            row = capsys.readouterr().out.splitlines()[1].split()
            assert row[:6] == ["summary", "nord", "1", "7", "0", "0.5"]
            assert row[6:] == ["g2:5,", "g1:2"]

    asyncio.run(main())
