"""A request that crashes each endpoint that runs it, and its retries.

Each retry has a new id and may come to any gateway; all gateways together must
recognise the request and stop sending it after three crashes.
"""

import asyncio
import pathlib

import msgspec
import pytest

from rackpost.decide import fingerprint
from rackpost.decide import quarantine
from rackpost.http1 import message
from rackpost.http1 import server
from rackpost.testing import virtual
from rackpost import types
from tests import crashing_site
from tests import driver
from tests import platform_site

# Endpoints that may crash under one request, and how often it is sent.
_MAX_CRASHES = 3
_SENDS = 8
# Longer than a stream may be resumed, in seconds.
_LONG_S = 60.0


async def _send_repeatedly(
    site: crashing_site.Site, path: str, body: bytes
) -> list[bytes]:
    """Send a request again and again; return the answers."""
    found = []
    for number in range(_SENDS):
        gateway = crashing_site.GATEWAYS[number % 2]
        found.append(await site.send(gateway, path, body))
        await site.wait_until_known()
    return found


def test_a_generation_that_crashes_endpoints_reaches_three(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with crashing_site.site(tmp_path) as site:
            async with site.powered(first=True):
                answers = await _send_repeatedly(site, "/gen/x", b"crash run")
                assert site.crashes == _MAX_CRASHES
                # Refused at once as not run, with the time to retry.
                assert all(b" 503 " in one for one in answers[3:])
                assert all(b"retry-after" in one for one in answers[3:])
                other = await site.send(31, "/gen/x", b"another")
                assert b" 200 " in other

    asyncio.run(main())


@pytest.mark.parametrize(("path", "crashing"), [("/gen/x", 1), ("/safe/x", 3)])
def test_each_crashing_request_crashes_three_endpoints_at_most(
    tmp_path: pathlib.Path, path: str, crashing: int
) -> None:
    """All other requests are served in between, at every gateway."""

    async def main() -> None:
        async with crashing_site.site(tmp_path) as site:
            async with site.powered(first=True):
                bodies = [
                    b"crash run %d" % number for number in range(crashing)
                ]
                others = []
                for number in range(_SENDS):
                    gateway = crashing_site.GATEWAYS[number % 2]
                    for body in bodies:
                        await site.send(gateway, path, body)
                        await site.wait_until_known()
                    others += [
                        await site.send(gateway, path, b"another %d" % each)
                        for each in range(6)
                    ]
                ended = [site.crashes_by(body) for body in bodies]
                assert ended == [_MAX_CRASHES] * crashing
                assert all(b" 200 " in one for one in others)

    asyncio.run(main())


def test_a_plain_request_that_crashes_endpoints_reaches_three(
    tmp_path: pathlib.Path,
) -> None:
    """Retried by the gateway, where the route allows it, or by its caller."""

    async def main() -> None:
        async with crashing_site.site(tmp_path) as site:
            async with site.powered(first=True):
                await _send_repeatedly(site, "/safe/x", b"crash run")
                assert site.crashes == _MAX_CRASHES
                other = await site.send(31, "/safe/x", b"another")
                assert b" 200 " in other

    asyncio.run(main())


def test_a_prompt_that_crashes_prefill_endpoints_reaches_three(
    tmp_path: pathlib.Path,
) -> None:
    """It is answered nevertheless, after a prefill in place."""

    async def main() -> None:
        async with crashing_site.site(tmp_path) as site:
            async with site.powered(first=True):
                answers = await _send_repeatedly(
                    site, "/gen/x", b"crash reader"
                )
                assert b" 200 " in answers[0]
                assert site.crashes == _MAX_CRASHES

    asyncio.run(main())


def test_a_resumed_stream_is_recognised_as_the_same_request(
    tmp_path: pathlib.Path,
) -> None:
    """A resumed stream names its last event and uses a repeatable route."""

    async def main() -> None:
        async with crashing_site.site(tmp_path) as site:
            async with site.powered(first=True):
                # Clients that name no stream need one version all the while.
                await site.age_versions(_LONG_S)
                for number in range(_SENDS):
                    gateway = crashing_site.GATEWAYS[number % 2]
                    more = f"Last-Event-Id: {number}\r\n"
                    await site.send(gateway, "/res/x", b"crash run", more)
                    await site.wait_until_known()
                assert site.crashes == _MAX_CRASHES

    asyncio.run(main())


def test_requests_that_ran_beside_a_crashing_one_are_served_again(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with crashing_site.site(tmp_path) as site:
            async with site.powered(first=True):
                for number in range(_MAX_CRASHES):
                    gateway = crashing_site.GATEWAYS[number % 2]
                    beside = [
                        asyncio.create_task(
                            site.send(gateway, "/gen/y", b"slow %d" % n)
                        )
                        for n in range(6)
                    ]
                    await site.wait_until_running(len(beside))
                    await site.send(gateway, "/gen/x", b"crash run")
                    for task in beside:
                        task.cancel()
                    await site.wait_until_running(0)
                    await site.wait_until_known()
                assert site.crashes == _MAX_CRASHES
                quarantined = [
                    item.subject
                    for item in site.quarantine_tables()[0].quarantined(
                        site.now()
                    )
                ]
                assert len(quarantined) == 1
                refused = await site.send(31, "/gen/x", b"crash run")
                assert b" 503 " in refused

    asyncio.run(main())


async def _unframed(req: message.Request, responder: server.Responder) -> None:
    """Answer without a length: the answer ends with the connection."""
    responder._conn.closing = True
    responder.send_head(200, platform_site.vouching_headers(req))
    responder._conn.write(b"whole, or not")


@pytest.mark.parametrize("framed", [True, False])
def test_an_answer_that_ends_with_its_connection_clears_nothing(
    tmp_path: pathlib.Path, framed: bool
) -> None:
    """Without a length, a crash looks like the end of the answer."""

    async def main() -> None:
        async with crashing_site.site(tmp_path) as site:
            async with site.powered(first=True):
                if not framed:
                    for endpoint in site.plain:
                        endpoint.answer = _unframed
                assert b" 200 " in await site.send(31, "/safe/x", b"asked")
                fingerprinted = fingerprint.fingerprint(
                    organisation=types.OrganisationName(""),
                    method=b"POST",
                    target=b"/safe/x",
                    body=b"asked",
                )
                tracker = site.gateways[31].site.crash_tracker
                suspicions = [
                    quarantine.Suspicion(
                        subject=fingerprinted,
                        endpoint=types.EndpointId(f"e{number}"),
                    )
                    for number in range(3)
                ]
                tracker.receive(suspicions, site.now())
                is_quarantined = tracker.quarantine.is_quarantined(
                    fingerprinted, site.now()
                )
                assert is_quarantined is not framed

    asyncio.run(main())


def test_an_operator_sees_and_releases_a_quarantined_request(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with crashing_site.site(tmp_path) as site:
            async with site.powered(first=True):
                await _send_repeatedly(site, "/gen/x", b"crash run")
                quarantined = await site.quarantined()
                assert len(quarantined) == 1
                assert await site.release(quarantined[0]) == 200
                assert await site.quarantined() == []
                assert await site.release(quarantined[0]) == 404
                await platform_site.until(
                    lambda: not any(
                        item.site.crash_tracker.quarantine.quarantined(
                            site.now()
                        )
                        for item in site.gateways.values()
                    )
                )
                await site.send(31, "/gen/x", b"crash run")
                assert site.crashes == _MAX_CRASHES + 1

    asyncio.run(main())


def test_the_quarantine_survives_two_lost_disks_and_a_power_loss(
    tmp_path: pathlib.Path,
) -> None:
    """Two disks are lost while all processes stop, gateways too."""

    async def main() -> None:
        core = (11, 12, 13, 14, 15)
        async with crashing_site.site(tmp_path, core=core, lost=2) as site:
            async with site.powered(first=True):
                await _send_repeatedly(site, "/gen/x", b"crash run")
                before = site.crashes
            for number in core[:2]:
                site.lose_disk(number)
            async with site.powered(first=False):
                await _send_repeatedly(site, "/gen/x", b"crash run")
            assert before == site.crashes == _MAX_CRASHES

    asyncio.run(main())


def test_entries_quarantine_requests_that_crash_engines() -> None:
    """Without sockets: engines crash on a request and restart soon."""
    crashes: list[str] = []

    async def main() -> None:
        site = driver.small_site()
        for name, engine in site.engines.items():
            if name.startswith("t"):
                driver.crash_on(engine, b"fatal", crashes)
        entry = site.entries[0]
        await asyncio.sleep(0.1)
        for number in range(_SENDS):
            request = driver.ask("fatal", words=50)
            request = msgspec.structs.replace(
                request, req=types.RequestId(f"r{number}")
            )
            got = await driver.take(entry, request)
            await asyncio.sleep(2.0)
        assert len(crashes) == _MAX_CRASHES
        assert got.end.reason is types.Refusal.ENDS_ENGINES
        assert got.end.outcome is types.Outcome.NOT_RUN
        other = await driver.take(entry, driver.ask("other", words=50))
        assert other.end.outcome is types.Outcome.ANSWERED
        site.close()

    virtual.run(main())
