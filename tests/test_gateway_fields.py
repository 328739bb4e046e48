"""Headers that only the site may set never reach an endpoint from a client."""

import asyncio
import pathlib

import pytest

from rackpost.http1 import message
from rackpost.platform import headers
from tests import platform_site
from tests import test_gateway
from tests import test_gateway_streams

# All headers that tell an endpoint how to run a request, with a value that a
# client might send.
RESERVED = {
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


def reserved_lines() -> str:
    """Return those headers as a client would send them."""
    lines = RESERVED.items()
    return "".join(
        f"{name.decode().title()}: {value.decode()}\r\n"
        for name, value in lines
    )


def assert_none_forwarded(site: platform_site.Site, min_requests: int) -> None:
    """Assert that requests came, and none with a client's value."""
    seen = [req for one in site.endpoints for req in one.requests]
    assert len(seen) >= min_requests
    for req in seen:
        for name, value in RESERVED.items():
            got = [item[1] for item in req.headers if item[0] == name]
            assert value not in got, name
            assert len(got) <= 1, name


def test_the_list_of_reserved_headers_is_complete() -> None:
    assert headers.GATEWAY_ONLY == frozenset(RESERVED)


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/gen/x", "/res/x"])
def test_reserved_headers_of_clients_are_removed(
    tmp_path: pathlib.Path, path: str
) -> None:
    """For plain requests, prefills and decodes."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            got = await site.raw(
                test_gateway.generation(path, more=reserved_lines())
            )
            assert test_gateway.status(got) == 200
            assert_none_forwarded(site, 1)

    asyncio.run(main())


def test_reserved_headers_are_removed_from_retries(
    tmp_path: pathlib.Path,
) -> None:
    """After a refusal, in place, and when a stream is resumed elsewhere."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            for one in [site.prefill, *site.plain]:
                one.answer = test_gateway.shed
            broken = test_gateway_streams.all_break_off(site)
            got = await site.raw(
                test_gateway.generation("/res/x", more=reserved_lines())
            )
            assert test_gateway.status(got) == 200
            assert len(broken) == 1
            await site.raw(
                test_gateway.request("/safe/x", more=reserved_lines())
            )
            # Two plain sends, a prefill and both attempts of the stream.
            assert_none_forwarded(site, 5)

    asyncio.run(main())


def test_the_kv_source_is_set_by_the_gateway(tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            got = await site.raw(
                test_gateway.generation(more=reserved_lines())
            )
            assert test_gateway.status(got) == 200
            run = [req for one in site.decode for req in one.requests]
            assert len(run) == 1
            assert message.find(run[0].headers, b"x-serving-stage") is None
            source = message.find(run[0].headers, b"x-kv-source") or b""
            assert source == f"{site.prefill.address}/h1".encode()

    asyncio.run(main())
