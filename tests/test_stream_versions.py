"""Streams must go on only at the software version that began them."""

import asyncio
import contextlib
import pathlib
from typing import AsyncIterator

from tests import crashing_site
from tests import platform_site
from tests import versioned_site

_STREAMS = 4


@contextlib.asynccontextmanager
async def _begun(
    root: pathlib.Path, *, busy_at: int = 16
) -> AsyncIterator[versioned_site.Site]:
    """A site with streams r0, r1, ... that began at the old version.

    They began at gateway 31; endpoints of both versions are there, and those
    of the old one are busy with streams of gateway `busy_at`.
    """
    async with versioned_site.site(root) as site:
        await site.take_away(*site.new)
        for number in range(_STREAMS):
            begun = await site.begin(31, f"r{number}")
            assert begun.versions == {versioned_site.OLD}
        async with site.old_endpoints_busy(busy_at):
            yield site


async def _assert_resumed(site: versioned_site.Site, gateway: int) -> None:
    for number in range(_STREAMS):
        ident = f"again{gateway}-{number}"
        got = await site.resume(gateway, ident, f"r{number}")
        assert got.versions == {versioned_site.OLD}
        assert got.ids == [2, 3, 4]


def test_a_broken_stream_goes_on_at_its_version_within_the_answer(
    tmp_path: pathlib.Path,
) -> None:
    """Events of two software versions in one answer."""

    async def main() -> None:
        async with versioned_site.site(tmp_path) as site:
            await site.take_away(*site.new)
            client = await site.open(31, "r1")
            await client.first_event()
            ran = next(one for one in site.old if one.streams)
            async with site.old_endpoints_busy(16):
                await site.take_away(ran)
                ran.breaks = True
                ran.go_on.set()
                got = await client.rest()
            assert got.versions == {versioned_site.OLD}
            assert got.ids == [1, 2, 3, 4]

    asyncio.run(main())


def test_a_stream_whose_version_is_gone_breaks_off(
    tmp_path: pathlib.Path,
) -> None:
    """Events of two software versions in one answer."""

    async def main() -> None:
        async with versioned_site.site(tmp_path) as site:
            await site.take_away(*site.new)
            client = await site.open(31, "r1")
            await client.first_event()
            await site.bring_back(*site.new)
            await site.take_away(*site.old)
            for one in site.old:
                one.breaks = True
                one.go_on.set()
            got = await client.rest()
            assert got.ids == [1]
            assert not any(one.streams for one in site.new)

    asyncio.run(main())


def test_a_client_resumes_at_its_version_at_any_gateway(
    tmp_path: pathlib.Path,
) -> None:
    """Events of two software versions over a client's requests."""

    async def main() -> None:
        async with _begun(tmp_path) as site:
            for gateway in crashing_site.GATEWAYS:
                await _assert_resumed(site, gateway)

    asyncio.run(main())


def test_a_client_resumes_at_its_version_after_its_gateway_is_gone(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with _begun(tmp_path) as site:
            await site.stop(31)
            await _assert_resumed(site, 16)

    asyncio.run(main())


def test_a_client_resumes_at_its_version_after_its_gateway_has_restarted(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with _begun(tmp_path) as site:
            await site.restart_gateway(31)
            await _assert_resumed(site, 31)

    asyncio.run(main())


def test_a_resumed_stream_whose_version_is_gone_is_refused(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with _begun(tmp_path) as site:
            await site.take_away(*site.old)
            for gateway in crashing_site.GATEWAYS:
                got = await site.resume(gateway, f"again{gateway}", "r1")
                assert got.status == 503
            assert not any(one.streams for one in site.new)

    asyncio.run(main())


def test_a_stream_that_nobody_knows_is_refused(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with versioned_site.site(tmp_path) as site:
            got = await site.resume(31, "again", "unknown")
            assert got.status == 503
            assert not any(one.streams for one in site.decode)

    asyncio.run(main())


# Longer than a client may resume a stream of the test site.
_LONG_S = 60.0


async def _restart_gateways(site: versioned_site.Site) -> None:
    """Restart all gateways at once."""
    for number in crashing_site.GATEWAYS:
        await site.stop(number)
    for number in crashing_site.GATEWAYS:
        await site.start(number)
    await site.wait_until_known()


async def _replace_old_version(site: versioned_site.Site) -> None:
    """Let the new version take the place of the old one, unseen by all."""
    await site.bring_back(*site.new, site.prefill[1])
    await site.take_away(*site.old, site.prefill[0])
    await _restart_gateways(site)


def test_a_client_that_keeps_its_id_resumes_at_its_version(
    tmp_path: pathlib.Path,
) -> None:
    """Events of two software versions, for clients that name no request.

    The version that began the stream has left, and no gateway has been there
    before: each of them knows one version.
    """

    async def main() -> None:
        async with versioned_site.site(tmp_path) as site:
            await site.take_away(*site.new, site.prefill[1])
            for number in range(_STREAMS):
                await site.begin(31, f"r{number}")
            await _replace_old_version(site)
            for number in range(_STREAMS):
                got = await site.resume(16, f"r{number}", None)
                assert got.status == 503
            assert not any(one.streams for one in site.new)
            await site.bring_back(*site.old, site.prefill[0])
            for number in range(_STREAMS):
                got = await site.resume(16, f"r{number}", None)
                assert got.versions == {versioned_site.OLD}
                assert got.ids == [2, 3, 4]

    asyncio.run(main())


def test_a_stream_that_nothing_names_is_refused_by_a_gateway_that_started(
    tmp_path: pathlib.Path,
) -> None:
    """Events of two software versions, for clients that take a new id."""

    async def main() -> None:
        async with versioned_site.site(tmp_path) as site:
            await site.take_away(*site.new, site.prefill[1])
            await site.begin(31, "r1")
            await _replace_old_version(site)
            got = await site.resume(16, "again", None)
            assert got.status == 503
            assert not any(one.streams for one in site.new)

    asyncio.run(main())


def test_a_stream_that_nothing_names_needs_one_version_all_the_while(
    tmp_path: pathlib.Path,
) -> None:
    """Older clients resume streams while no two versions have been there."""

    async def main() -> None:
        async with versioned_site.site(tmp_path) as site:
            await site.take_away(*site.new, site.prefill[1])
            await site.begin(31, "r1")
            await site.age_versions(_LONG_S)
            got = await site.resume(16, "again1", None)
            assert got.status == 503
            await _restart_gateways(site)
            await site.age_versions(_LONG_S)
            got = await site.resume(16, "again2", None)
            assert got.ids == [2, 3, 4]
            await site.bring_back(*site.new)
            got = await site.resume(16, "again3", None)
            assert got.status == 503
            await site.take_away(*site.new)
            got = await site.resume(16, "again4", None)
            assert got.status == 503

    asyncio.run(main())


def test_streams_are_found_at_other_gateways_without_coordinators(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with _begun(tmp_path, busy_at=31) as site:
            await site.restart_gateway(16)
            await site.stop(11)
            await platform_site.until(
                lambda: not site.gateways[16].site.origins.is_linked
            )
            await _assert_resumed(site, 16)

    asyncio.run(main())


def test_streams_that_begin_without_coordinators_outlive_their_gateway(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with versioned_site.site(tmp_path) as site:
            await site.take_away(*site.new)
            await site.stop(11)
            for number in range(_STREAMS):
                await site.begin(31, f"r{number}")
            await site.stop(31)
            await _assert_resumed(site, 16)

    asyncio.run(main())


def test_a_restarted_coordinator_is_told_of_the_streams(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with _begun(tmp_path) as site:
            await site.stop(11)
            await site.start(11)
            await platform_site.until(
                lambda: len(site.coordinators[11].origins) >= _STREAMS
            )
            await site.stop(31)
            await site.stop(16)
            await site.start(16)
            await site.wait_until_known()
            await _assert_resumed(site, 16)

    asyncio.run(main())


def test_a_resumed_stream_stays_at_its_service(
    tmp_path: pathlib.Path,
) -> None:
    """A route may lead to several services, or to another one meanwhile."""

    async def main() -> None:
        async with versioned_site.site(tmp_path) as site:
            await site.begin(31, "r1")
            doc = platform_site.document(version=2)
            for route in doc["routes"]:
                if route["name"] == "res":
                    route["service"] = "plain"
            await site.operator.put_until_accepted(11, doc)
            await platform_site.until(
                lambda: site.gateways[16].site.version == 2
            )
            got = await site.resume(16, "again", "r1")
            assert got.status == 503
            assert not any(one.requests for one in site.plain)

    asyncio.run(main())
