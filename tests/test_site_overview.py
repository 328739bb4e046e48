"""The operator's commands that show the state of a site."""

import asyncio
import json
import pathlib

import pytest

from rackpost import cmd_operator
from rackpost.coordinator import links
from rackpost.coordinator import messages
from rackpost.decide import quarantine
from rackpost import types
from tests import platform_site


def coordinator_address(site: platform_site.Site) -> str:
    port = site.plan.base + links.METRICS_PORT
    return f"{site.plan.ip(11)}:{port}"


def test_status_routes_and_endpoints_of_a_running_site(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            # An unreachable coordinator is skipped.
            where = f"127.0.0.1:1,{coordinator_address(site)}"

            async def run(*words: str) -> str:
                args = ["site", *words, "--coordinators", where]
                await asyncio.to_thread(cmd_operator.main, args)
                return capsys.readouterr().out

            shown = await run("status")
            assert "hears a quorum" in shown
            assert "as core-11" in shown and "version 1, 4 routes" in shown
            shown = await run("routes")
            assert "site.example/gen/" in shown and "model:1" in shown
            assert len(shown.splitlines()) == 2 + 4
            await site.operator.send_heartbeat(11, site.decode[0], "draining")
            shown = await run("endpoints")
            lines = [row.split() for row in shown.splitlines()]
            states = {row[0]: row[3] for row in lines[1:]}
            assert states["dec0"] == "draining"
            assert states["dec1"] == "ready" and len(states) == 5
            found = json.loads(await run("endpoints", "--json"))
            assert found["vm"] == "core-11" and found["version"] == 1

    asyncio.run(main())


async def _held_table(
    site: platform_site.Site, capsys: pytest.CaptureFixture[str]
) -> list[str]:
    """Return the lines of the table of what is held back."""
    args = ["site", "held", "--coordinators", coordinator_address(site)]
    await asyncio.to_thread(cmd_operator.main, args)
    return capsys.readouterr().out.splitlines()


def test_requests_that_are_held_back_are_shown(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            items = tuple(
                quarantine.Suspicion(
                    subject=types.Fingerprint(b"\xab" * 16),
                    endpoint=types.EndpointId(f"e{number}"),
                )
                for number in range(3)
            )
            now = asyncio.get_running_loop().time
            held_at = now()
            site.coordinator.quarantine.receive(
                messages.Suspicions(items=items)
            )
            row = (await _held_table(site, capsys))[1]
            assert row.split()[0] == "ab" * 16
            assert "e0, e1, e2" in row
            # A busy machine takes longer to show it.
            shown_s = float(row.split()[-1])
            left_s = quarantine.QUARANTINE_S - (now() - held_at)
            assert round(left_s) <= shown_s <= quarantine.QUARANTINE_S

    asyncio.run(main())


def test_prompt_parts_that_are_held_back_are_shown(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Two parts that only came together are held back together."""
    parts = [types.Fingerprint(b"\xab" * 16), types.Fingerprint(b"\xcd" * 16)]

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            items = tuple(
                quarantine.Suspicion(
                    subject=part,
                    endpoint=types.EndpointId(f"e{number}"),
                    place=place,
                )
                for place, part in enumerate(parts)
                for number in range(3)
            )
            site.coordinator.quarantine.receive(
                messages.Suspicions(items=items)
            )
            head, row, *more = await _held_table(site, capsys)
            assert "only together with" in head
            assert row.split()[0] == "cd" * 16
            assert "prompt part 2" in row and "e0, e1, e2" in row
            assert row.split()[-1] == "ab" * 16
            assert not more

    asyncio.run(main())


def test_no_coordinator_is_one_clear_line(
    capsys: pytest.CaptureFixture[str],
) -> None:
    args = ["site", "status", "--coordinators", "127.0.0.1:1"]
    with pytest.raises(SystemExit) as caught:
        cmd_operator.main(args)
    assert caught.value.code == 1
    assert "127.0.0.1:1" in capsys.readouterr().err
    with pytest.raises(SystemExit) as caught:
        cmd_operator.main(["site", "status"])
    assert caught.value.code == 2
