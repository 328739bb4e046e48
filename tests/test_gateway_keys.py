"""Callers' keys at a gateway: who is served, and which headers pass."""

import asyncio
import pathlib

import pytest

from rackpost.gateway import call
from rackpost.http1 import message
from rackpost.http1 import server
from rackpost import logs
from tests import platform_site
from tests import test_gateway
from tests import test_keys

_PUBLIC_PATH = "/public/x"


def document(version: int, *organisations: dict) -> dict:
    """Return the default document with organisations and a public route."""
    doc = platform_site.document(version)
    public = dict(
        doc["routes"][0], name="public", pathPrefix="/public/", public=True
    )
    doc["routes"].append(public)
    doc["tenants"] = list(organisations)
    return doc


async def set_document(site: platform_site.Site, doc: dict) -> None:
    await site.operator.put_until_accepted(11, doc)
    version = doc["version"]
    await platform_site.until(lambda: site.gateway.site.version == version)


def key(value: str) -> str:
    return f"Authorization: Bearer {value}\r\n"


def kept_open(path: str, shown: str) -> bytes:
    """Return a request with a key that keeps its connection open."""
    data = test_gateway.request(path, more=key(shown))
    return data.replace(b"Connection: close\r\n", b"")


def requests_seen(site: platform_site.Site) -> list[message.Request]:
    return [req for one in site.endpoints for req in one.requests]


def test_non_public_routes_need_a_known_key(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            doc = document(2, test_keys.organisation("nord", "k1", "k2"))
            await set_document(site, doc)
            for path, more, expected_status in (
                ("/safe/x", "", 401),
                ("/safe/x", key("k3"), 401),
                ("/safe/x", key("k1") + key("k2"), 401),
                ("/nowhere/x", "", 404),
            ):
                got = await site.raw(test_gateway.request(path, more=more))
                assert test_gateway.status(got) == expected_status
            assert not requests_seen(site)
            for path, more in (
                ("/safe/x", key("k1")),
                ("/gen/x", key("k2")),
                (_PUBLIC_PATH, ""),
                (_PUBLIC_PATH, key("k3")),
            ):
                got = await site.raw(test_gateway.request(path, more=more))
                assert test_gateway.status(got) == 200

    asyncio.run(main())


@pytest.mark.parametrize("figure", ["ratePerS", "burst"])
def test_an_organisation_with_the_largest_quota_is_served(
    figure: str, tmp_path: pathlib.Path
) -> None:
    """Its document was acknowledged, and each request failed with 502."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            large = test_keys.organisation("nord", "k1", ratePerS=1000)
            large[figure] = 1.7e308
            await set_document(site, document(2, large))
            for path in ("/safe/x", "/gen/x"):
                got = await site.raw(
                    test_gateway.request(path, more=key("k1"))
                )
                assert test_gateway.status(got) == 200

    asyncio.run(main())


def test_endpoints_get_the_organisation_and_never_the_key(
    tmp_path: pathlib.Path,
) -> None:
    """In plain requests, prefills and decodes, whatever the client sends."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            doc = document(2, test_keys.organisation("nord", "k1", priority=4))
            await set_document(site, doc)
            more = key("k1") + "X-Tenant-Id: other\r\n"
            await site.raw(test_gateway.request("/safe/x", more=more))
            await site.raw(test_gateway.generation(more=more))
            assert len(requests_seen(site)) == 3
            for req in requests_seen(site):
                names = [item for item, _ in req.headers]
                assert b"authorization" not in names
                assert names.count(b"x-tenant-id") == 1
                assert message.find(req.headers, b"x-tenant-id") == b"nord"
                rank = message.find(req.headers, b"x-request-priority")
                assert rank == b"4"
            for one in site.endpoints:
                one.requests.clear()
            more = key("k3") + "X-Tenant-Id: other\r\n"
            await site.raw(test_gateway.request(_PUBLIC_PATH, more=more))
            (req,) = requests_seen(site)
            assert message.find(req.headers, b"x-tenant-id") is None
            assert message.find(req.headers, b"authorization") is None

    asyncio.run(main())


def test_a_revoked_key_is_refused_on_an_open_connection(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            organisation = test_keys.organisation("nord", "k1", "k2")
            await set_document(site, document(2, organisation))
            reader, writer = await asyncio.open_connection(
                *site.plan.front(31)
            )
            data = kept_open("/safe/x", "k1")
            writer.write(data)
            assert b" 200 " in await reader.readuntil(b"\r\n")
            organisation = test_keys.organisation("nord", "k2")
            await set_document(site, document(3, organisation))
            await reader.readuntil(b"from ")
            writer.write(data)
            assert b" 401 " in await reader.readuntil(b"\r\n")
            writer.close()

    asyncio.run(main())


def test_a_request_with_a_revoked_key_is_not_retried(
    tmp_path: pathlib.Path,
) -> None:
    """Its first attempt was not run; a retry would use a revoked key."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            organisation = test_keys.organisation("nord", "k1")
            await set_document(site, document(2, organisation))
            arrived = asyncio.Event()
            go_on = asyncio.Event()

            async def delayed_refusal(
                req: message.Request, responder: server.Responder
            ) -> None:
                arrived.set()
                await go_on.wait()
                await test_gateway.shed(req, responder)

            test_gateway.all_answer(site, delayed_refusal)
            data = test_gateway.request("/unsafe/x", more=key("k1"))
            pending = asyncio.create_task(site.raw(data))
            await arrived.wait()
            await set_document(site, document(3))
            go_on.set()
            assert test_gateway.status(await pending) == 401
            assert len(requests_seen(site)) == 1

    asyncio.run(main())


def test_without_organisations_key_headers_pass_unchanged(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            more = key("k1") + "X-Tenant-Id: other\r\n"
            await site.raw(test_gateway.request("/safe/x", more=more))
            (req,) = requests_seen(site)
            assert message.find(req.headers, b"x-tenant-id") == b"other"
            assert message.find(req.headers, b"authorization") == b"Bearer k1"

    asyncio.run(main())


def test_many_bad_keys_are_logged_once_a_second_and_counted() -> None:
    storm = logs.LineRateLimiter(pause_s=1.0)
    passed = [storm.allow(0.001 * at) for at in range(3000)]
    counts = [more for more in passed if more is not None]
    assert len(counts) == 3
    assert counts[0] == 0
    assert sum(counts) + len(counts) > 1990


def test_bad_keys_keep_the_connection_and_reach_no_endpoint(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            organisation = test_keys.organisation("nord", "k1")
            await set_document(site, document(2, organisation))
            reader, writer = await asyncio.open_connection(
                *site.plan.front(31)
            )
            for number in range(50):
                writer.write(kept_open("/safe/x", str(number)))
                assert b" 401 " in await reader.readuntil(b"\r\n\r\n")
            writer.close()
            assert not requests_seen(site)
            reason = call.Reason.NO_KEY
            metrics = site.gateway.site.metrics
            assert metrics.counted("own_answers", reason) == 50

    asyncio.run(main())
