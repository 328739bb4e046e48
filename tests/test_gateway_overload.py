"""A gateway whose processor is overloaded.

Guards against requests that wait for it until their callers have left, and
against estimates that take its own delays for delays of endpoints.
"""

import asyncio
import contextlib
import itertools
import pathlib
import time
from typing import AsyncIterator

from rackpost.http1 import message
from rackpost.http1 import server
from rackpost import types
from tests import platform_site
from tests import test_gateway

# The event loop runs for a moment between two long callbacks, in seconds.
_BLOCKED_S = 0.3
_FREE_S = 0.005
# Endpoints have six slots each.
_CROWD = 40
_WORK_S = 0.02
_MAX_TRIES = 100


@contextlib.asynccontextmanager
async def _blocked_loop() -> AsyncIterator[None]:
    """Keep the event loop busy, as other requests would."""

    async def block() -> None:
        while True:
            time.sleep(_BLOCKED_S)
            await asyncio.sleep(_FREE_S)

    task = asyncio.create_task(block())
    try:
        yield
    finally:
        task.cancel()


@contextlib.asynccontextmanager
async def _idle_gateway(site: platform_site.Site) -> AsyncIterator[None]:
    """Let another gateway report that it has nothing to do."""
    loads = site.gateway.site.loads

    async def report() -> None:
        for number in itertools.count():
            now = site.gateway.site.loop_time()
            loads.receive(types.VmId("other"), 1, number, {}, now)
            await asyncio.sleep(0.5)

    task = asyncio.create_task(report())
    try:
        yield
    finally:
        task.cancel()


def _answer_after(site: platform_site.Site, work_s: float) -> None:
    """Let plain endpoints answer after a time."""

    async def answer(
        req: message.Request, responder: server.Responder
    ) -> None:
        await asyncio.sleep(work_s)
        await site.plain[0].default_answer(req, responder)

    for endpoint in site.plain:
        endpoint.answer = answer


async def _send(site: platform_site.Site, number: int) -> bytes:
    """Send a request on a new connection; b"" if it was closed unread."""
    data = test_gateway.request("/safe/x", b"%d" % number, f"r{number}")
    try:
        return await site.raw(data)
    except ConnectionError:
        return b""


async def _send_until_read(site: platform_site.Site, number: int) -> bytes:
    for _ in range(_MAX_TRIES):
        if found := await _send(site, number):
            return found
    raise AssertionError("no connection was taken")


# Guards against a gateway that takes all connections which a load balancer
# sends it, and serves none of their requests in time.
def test_an_overloaded_gateway_closes_connections_unread(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            _answer_after(site, _BLOCKED_S)
            closed_unread = asyncio.Event()

            async def call_again(caller: int) -> None:
                for _ in range(_MAX_TRIES):
                    if closed_unread.is_set():
                        return
                    if not await _send(site, caller):
                        closed_unread.set()

            async with _idle_gateway(site), _blocked_loop():
                # As many callers as make this gateway the busier one.
                await asyncio.gather(*map(call_again, range(_CROWD)))
            assert closed_unread.is_set()
            taken_in_a_row = 0
            while taken_in_a_row < _CROWD:
                found = await _send(site, taken_in_a_row)
                taken_in_a_row = taken_in_a_row + 1 if found else 0
                await asyncio.sleep(0.01)

    asyncio.run(main())


# Callers of the only gateway would only come back.
def test_the_only_gateway_closes_no_connection(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            async with _blocked_loop():
                answers = await asyncio.gather(
                    *(_send(site, number) for number in range(_CROWD))
                )
            assert all(answers)

    asyncio.run(main())


# Guards against plain requests that are refused as late because the gateway
# was late to read earlier answers.
def test_own_delays_are_not_blamed_on_endpoints(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:

            _answer_after(site, _WORK_S)
            async with _blocked_loop():
                # Lets the gateway notice.
                await asyncio.sleep(4 * _BLOCKED_S)
                for number in range(4):
                    await _send_until_read(site, number)
            found = await asyncio.gather(
                *(_send_until_read(site, number) for number in range(_CROWD))
            )
            statuses = [test_gateway.status(item) for item in found]
            assert statuses == [200] * _CROWD

    asyncio.run(main())
