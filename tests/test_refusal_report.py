"""The line that says why a gateway refuses requests.

Guards against a started gateway whose refusals have no visible cause.
"""

import asyncio
import pathlib
from typing import Any

import eliot
import msgspec
import pytest

from rackpost.gateway import refusal_report
from tests import platform_site
from tests import test_gateway

_SERVING = refusal_report.Situation(
    linked=5,
    offered_version=3,
    version=3,
    endpoints=4,
    overloaded=False,
    quarantined=0,
)


@pytest.mark.parametrize(
    "changed, expected",
    [
        ({}, refusal_report.Obstacle.NONE),
        (
            {"linked": 0, "offered_version": None, "version": None},
            refusal_report.Obstacle.NO_COORDINATOR,
        ),
        (
            {"offered_version": None, "version": None},
            refusal_report.Obstacle.NO_DOCUMENT,
        ),
        ({"version": None}, refusal_report.Obstacle.DOCUMENT_UNDER_WAY),
        (
            {"offered_version": 0, "version": None},
            refusal_report.Obstacle.DOCUMENT_UNDER_WAY,
        ),
        ({"version": 0}, refusal_report.Obstacle.NONE),
        ({"endpoints": 0}, refusal_report.Obstacle.NO_ENDPOINT),
        (
            {"overloaded": True, "quarantined": 1},
            refusal_report.Obstacle.OVERLOAD,
        ),
        ({"quarantined": 1}, refusal_report.Obstacle.QUARANTINE),
        # A gateway that is cut off goes on with what it has.
        (
            {"linked": 0, "offered_version": 0},
            refusal_report.Obstacle.NONE,
        ),
    ],
)
def test_the_first_obstacle_is_named(
    changed: dict[str, Any], expected: refusal_report.Obstacle
) -> None:
    found = msgspec.structs.replace(_SERVING, **changed)
    assert refusal_report.obstacle(found) is expected


def test_a_gateway_without_coordinators_says_so_in_one_line(
    tmp_path: pathlib.Path,
) -> None:
    lines: list[dict[str, Any]] = []

    async def main() -> None:
        plan = platform_site.Plan(root=tmp_path)
        async with platform_site.gateway(plan.host(31, kind="edge")):
            reader, writer = await asyncio.open_connection(*plan.front(31))
            writer.write(test_gateway.request("/safe/x"))
            answer = await reader.read()
            writer.close()
            assert test_gateway.status(answer) == 503
            await platform_site.until(lambda: bool(_reports(lines)))

    eliot.add_destinations(lines.append)
    # The first destination of a process gets what was logged before.
    lines.clear()
    try:
        asyncio.run(main())
    finally:
        eliot.remove_destination(lines.append)
    report = _reports(lines)[0]
    assert report["refused"] == {"no-document": 1}
    assert report["obstacle"] == "no coordinator is linked"


def _reports(lines: list[dict[str, Any]]) -> list[dict[str, Any]]:
    return [
        line
        for line in lines
        if line.get("text") == "gateway: Requests are refused."
    ]
