"""What only the site may set never reaches an endpoint from a client."""

import asyncio
import pathlib

import pytest

from rackpost.http1 import message
from rackpost.platform import headers
from tests import platform_site
from tests import test_gateway
from tests import test_gateway_streams

# All fields by which an endpoint is told how to run a request, with a value
# as a client would smuggle it in.
ONLY_THE_SITE_SETS = {
    b"x-deadline-ms": b"999999",
    b"x-expect-instance": b"somebody",
    b"x-serving-stage": b"decode",
    b"x-kv-source": b"a:1/h",
    b"x-request-priority": b"7",
    b"x-expect-version": b"77",
    b"x-kv-backup": b"10.0.0.1:1",
    b"x-kv-hold": b"hold-1",
    b"x-pin-ms": b"4000",
    b"kv-fetch": b"10.0.0.1:2",
}


def smuggled() -> str:
    """Those fields as a client sends them."""
    lines = ONLY_THE_SITE_SETS.items()
    return "".join(
        f"{name.decode().title()}: {value.decode()}\r\n"
        for name, value in lines
    )


def assert_nothing_smuggled(site: platform_site.Site, most: int) -> None:
    """No endpoint saw a client's value; at least `most` requests came."""
    seen = [req for one in site.endpoints for req in one.requests]
    assert len(seen) >= most
    for req in seen:
        for name, value in ONLY_THE_SITE_SETS.items():
            got = [item[1] for item in req.headers if item[0] == name]
            assert value not in got, name
            assert len(got) <= 1, name


def test_the_list_of_what_only_the_site_sets_is_whole() -> None:
    assert headers.GATEWAY_ONLY == frozenset(ONLY_THE_SITE_SETS)


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/gen/x", "/res/x"])
def test_what_only_the_site_sets_is_taken_from_clients(
    tmp_path: pathlib.Path, path: str
) -> None:
    """On plain requests, and on both halves of generations."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            got = await site.raw(
                test_gateway.generation(path, more=smuggled())
            )
            assert test_gateway.status(got) == 200
            assert_nothing_smuggled(site, 1)

    asyncio.run(main())


def test_what_only_the_site_sets_is_taken_from_second_attempts(
    tmp_path: pathlib.Path,
) -> None:
    """After a rejection, in place, and where a stream goes on elsewhere."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            for one in [site.prefill, *site.plain]:
                one.answer = test_gateway.shed
            broken = test_gateway_streams.all_break_off(site)
            got = await site.raw(
                test_gateway.generation("/res/x", more=smuggled())
            )
            assert test_gateway.status(got) == 200
            assert len(broken) == 1
            await site.raw(test_gateway.request("/safe/x", more=smuggled()))
            # Two plain sends, a prefill and both halves of the stream.
            assert_nothing_smuggled(site, 5)

    asyncio.run(main())


def test_a_prefills_source_is_the_sites_own(tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            got = await site.raw(test_gateway.generation(more=smuggled()))
            assert test_gateway.status(got) == 200
            run = [req for one in site.decode for req in one.requests]
            assert len(run) == 1
            assert message.find(run[0].headers, b"x-serving-stage") is None
            source = message.find(run[0].headers, b"x-kv-source") or b""
            assert source == f"{site.prefill.address}/h1".encode()

    asyncio.run(main())
