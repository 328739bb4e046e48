"""What a process tells of its own memory, descriptors and age."""

import asyncio
import pathlib

import aiohttp

from rackpost.coordinator import links
from rackpost import logs
from rackpost import process_figures
from tests import platform_site


def test_metrics_tell_memory_descriptors_and_age(
    tmp_path: pathlib.Path,
) -> None:
    """A process that was killed for memory left nothing that showed it."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            for number in (11, 31):
                port = site.plan.base + links.METRICS_PORT
                url = f"http://{site.plan.ip(number)}:{port}/metrics"
                async with aiohttp.ClientSession() as http:
                    async with http.get(url) as resp:
                        text = await resp.text()
                for name in ("peak_bytes", "resident_bytes", "descriptors"):
                    line = f"rackpost_process_{name} "
                    value = text.partition(line)[2].partition("\n")[0]
                    assert float(value) > 0.0

    asyncio.run(main())


def test_a_share_of_the_memory_limit_is_logged_once(monkeypatch) -> None:
    said = []
    monkeypatch.setattr(
        logs, "say", lambda part, text, **fields: said.append(fields)
    )
    used = process_figures.peak_bytes() / (1 << 20)
    watch = process_figures.MemoryWatch(
        part=logs.Part.GATEWAY, limit_mb=used / 0.8
    )
    watch.look()
    watch.look()
    assert [item["passed_share"] for item in said] == [0.75]
