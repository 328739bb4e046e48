"""Load reports of a gateway that serves most requests of a site.

Guards against reports that fill the gateway's own link: their number and
their size both grow with its requests, and they go to all other gateways.
"""

import asyncio
import contextlib
import pathlib
from typing import AsyncIterator

from rackpost.coordinator import messages
from rackpost.decide import kv_forecast
from rackpost.decide import load_sync
from rackpost import types
from tests import platform_site
from tests import test_gateway

_LINK_MBPS = 5.0
_LINK_BYTES_PER_S = _LINK_MBPS * 125_000.0
_PEERS = 29
# Generations in flight.
_RUNS = 60
_REQUESTS = 400
_WORKERS = 4
# Complete reports go out once a second whatever the budget is.
_SLACK_S = 1.0


class _Sink(asyncio.DatagramProtocol):
    """Receives reports on behalf of all other gateways."""


@contextlib.asynccontextmanager
async def _peers(site: platform_site.Site) -> AsyncIterator[None]:
    """Keep other gateways known to the gateway."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        _Sink, local_addr=("127.0.0.1", 0)
    )
    port = transport.get_extra_info("sockname")[1]

    async def add() -> None:
        while True:
            for number in range(_PEERS):
                site.gateway.site.add_gateway(
                    messages.GatewayAddress(
                        vm=types.VmId(f"peer-{number}"),
                        load_address=f"127.0.0.1:{port}",
                    )
                )
            await asyncio.sleep(0.2)

    task = asyncio.create_task(add())
    try:
        yield
    finally:
        task.cancel()
        transport.close()


async def _send_all(site: platform_site.Site) -> None:
    numbers = iter(range(_REQUESTS))

    async def worker() -> None:
        for number in numbers:
            answer = await site.raw(
                test_gateway.request("/safe/x", b"quick", f"r{number}")
            )
            assert test_gateway.status(answer) == 200

    await asyncio.gather(*(worker() for _ in range(_WORKERS)))


def _report_bytes(site: platform_site.Site) -> int:
    return sum(site.gateway.site.metrics.totals("load_report_bytes").values())


def test_load_reports_take_a_share_of_the_link(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(
            tmp_path, link_mbps=_LINK_MBPS
        ) as site:
            gateway = site.gateway.site
            for number in range(_RUNS):
                gateway.loads.add_request(
                    types.EndpointId(f"dec{number % 2}"),
                    run=kv_forecast.Run(
                        held_tokens=1000 + number, remaining_tokens=500
                    ),
                )
            async with _peers(site):
                await asyncio.sleep(0.1)
                loop = asyncio.get_running_loop()
                began, before = loop.time(), _report_bytes(site)
                await _send_all(site)
                took_s = loop.time() - began
                sent = _report_bytes(site) - before
            allowed = load_sync.LINK_SHARE * _LINK_BYTES_PER_S
            assert sent <= allowed * (took_s + _SLACK_S)

    asyncio.run(main())
