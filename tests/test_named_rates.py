"""Endpoints that name a rate for the requests of all gateways together.

Gateways must read the rate from the answers and keep to it jointly: if each
kept to it alone, an endpoint would get it once from every gateway.
"""

import asyncio
import pathlib

from rackpost.http1 import message
from rackpost.http1 import server
from tests import crashing_site
from tests import platform_site
from tests import test_backoff
from tests import test_gateway

# Allowed requests in any window: 1.5 times the named rate and a few more.
WINDOW_S = 4.0
_ALLOWED_FACTOR = 1.5
_ALLOWED_MORE = 5
# More requests than the named rates allow in the time they take.
REQUESTS = 40
_BATCH = 8


async def send_batches(
    site: platform_site.Site, path: str = "/safe/x", count: int = REQUESTS
) -> list[bytes]:
    """Send requests in concurrent batches, so that all endpoints are used."""
    found: list[bytes] = []
    while len(found) < count:
        batch = [test_backoff.send(site, path, 1) for _ in range(_BATCH)]
        for answers in await asyncio.gather(*batch):
            found += answers
    return found


class Limited:
    """An endpoint that names a rate, with the times of later requests."""

    def __init__(self, endpoint: platform_site.Endpoint, rate: bytes) -> None:
        self.endpoint = endpoint
        self._usual = endpoint.answer
        self.at: list[float] = []
        self._named = False
        self.name(rate)
        endpoint.answer = self._answer

    def name(self, rate: bytes) -> None:
        """Name a rate from now on; drop the earlier times."""
        self.endpoint.extra_headers = [(b"server-limit", rate)]
        self._per_s = float(rate)
        self._named = False
        self.at.clear()

    def name_none(self) -> None:
        """Name no rate from now on."""
        self.endpoint.extra_headers = []

    def is_known(self, site: platform_site.Site) -> bool:
        """Whether the gateway knows the named rate."""
        endpoint = site.gateway.site.table.alive[self.endpoint.ident]
        rate_per_s = site.gateway.site.eligibility.rates.per_s(endpoint)
        return rate_per_s == self._per_s

    async def _answer(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        if self._named:
            self.at.append(asyncio.get_running_loop().time())
        await self._usual(req, responder)
        self._named = True

    @property
    def over(self) -> float:
        """By how much the worst window exceeded the allowed requests."""
        return max(
            (
                self._in_window(since) - self._allowed(since)
                for since in self.at
            ),
            default=0.0,
        )

    def _in_window(self, since: float) -> int:
        return sum(since <= at < since + WINDOW_S for at in self.at)

    def _allowed(self, since: float) -> float:
        """Return the allowed requests in the part of the window so far."""
        passed = min(WINDOW_S, self.at[-1] - since)
        return _ALLOWED_FACTOR * self._per_s * passed + _ALLOWED_MORE


def test_one_of_two_plain_endpoints_gets_at_most_its_rate(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            limited = Limited(site.plain[0], b"1")
            answers = await send_batches(site)
            assert test_backoff.statuses(answers) == {200}
            answers = await send_batches(site, "/unsafe/x")
            assert test_backoff.statuses(answers) == {200}
            assert limited.over <= 0

    asyncio.run(main())


def test_requests_over_the_rates_of_all_plain_endpoints_are_refused_at_once(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            limited = [Limited(one, b"0.5") for one in site.plain]
            # The rate is unknown before the first answer.
            await send_batches(site, count=_BATCH)
            assert all(one.is_known(site) for one in limited)
            for one in limited:
                one.at.clear()
            loop = asyncio.get_running_loop()
            began = loop.time()
            answers = await asyncio.gather(
                *(test_backoff.send(site, count=1) for _ in range(REQUESTS))
            )
            found = [one[0] for one in answers]
            assert test_backoff.statuses(found) == {200, 503}
            assert all(one.over <= 0 for one in limited)
            refused = [one for one in found if test_gateway.status(one) == 503]
            served = REQUESTS - len(refused)
            passed_s = loop.time() - began
            # Each endpoint serves its rate, and one request more.
            assert served <= 2 * (0.5 * passed_s + 2)
            # The times to retry are spaced one after the other.
            times = sorted(test_backoff.retry_after_s(one) for one in refused)
            assert times[-1] > 5.0

    asyncio.run(main())


def test_one_of_two_decode_endpoints_gets_at_most_its_rate(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            limited = Limited(site.decode[0], b"1")
            answers = await send_batches(site, "/gen/x")
            assert test_backoff.statuses(answers) == {200}
            assert limited.over <= 0

    asyncio.run(main())


def test_no_prompt_is_prefilled_without_a_grant_for_decode(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            limited = [Limited(one, b"2") for one in site.decode]
            await send_batches(site, "/gen/x", _BATCH)
            assert all(one.is_known(site) for one in limited)
            site.prefill.requests.clear()
            answers = await asyncio.gather(
                *(
                    test_backoff.send(site, "/gen/x", 1)
                    for _ in range(REQUESTS // 2)
                )
            )
            found = [one[0] for one in answers]
            assert test_backoff.statuses(found) == {200, 503}
            assert all(one.over <= 0 for one in limited)
            served = sum(test_gateway.status(one) == 200 for one in found)
            prefills = [
                req
                for req in site.prefill.requests
                if message.find(req.headers, b"x-serving-stage")
            ]
            assert len(prefills) == served

    asyncio.run(main())


def test_a_prefill_endpoint_gets_at_most_its_rate(
    tmp_path: pathlib.Path,
) -> None:
    """The other prompts are prefilled in place."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            limited = Limited(site.prefill, b"1")
            answers = await send_batches(site, "/gen/x")
            assert test_backoff.statuses(answers) == {200}
            assert limited.over <= 0

    asyncio.run(main())


def test_two_gateways_keep_to_one_rate_jointly(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with crashing_site.site(tmp_path) as site:
            async with site.powered(first=True):
                limited = Limited(site.plain[0], b"2")
                answers = []
                for _ in range(REQUESTS // 4):
                    batch = [
                        site.send(gateway, "/safe/x", b"")
                        for gateway in crashing_site.GATEWAYS * 4
                    ]
                    answers += await asyncio.gather(*batch)
                assert test_backoff.statuses(answers) == {200}
                assert limited.over <= 0

    asyncio.run(main())


def test_a_lowered_rate_takes_effect(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            limited = Limited(site.plain[0], b"100")
            assert test_backoff.statuses(await send_batches(site)) == {200}
            limited.name(b"1")
            answers = await send_batches(site)
            assert test_backoff.statuses(answers) == {200}
            assert limited.over <= 0

    asyncio.run(main())


def test_an_endpoint_with_a_rate_of_zero_gets_one_request_at_most(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            limited = Limited(site.plain[0], b"0")
            while not limited.is_known(site):
                await send_batches(site, count=_BATCH)
            limited.at.clear()
            answers = await send_batches(site)
            assert test_backoff.statuses(answers) == {200}
            assert len(limited.at) <= 1

    asyncio.run(main())


def test_an_endpoint_that_stops_naming_a_rate_is_used_again(
    tmp_path: pathlib.Path,
) -> None:
    """The few requests that still go there reveal it."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            limited = Limited(site.plain[0], b"5")
            await send_batches(site)
            limited.name_none()
            assert limited.is_known(site)
            async with asyncio.timeout(platform_site.TIMEOUT_S):
                while limited.is_known(site):
                    answers = await test_backoff.send(site, count=1)
                    assert test_backoff.statuses(answers) == {200}
            requests_before = len(site.plain[0].requests)
            await send_batches(site)
            assert len(site.plain[0].requests) > requests_before + 5

    asyncio.run(main())
