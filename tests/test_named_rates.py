"""Endpoints that name how many requests a second they take from all gateways.

Seen: two of three plain endpoints named 3.3 and 2.4 requests a second in all
their answers, and got 35 and 23 in 4 s, which is what they had got before.
Nothing read what they named; and all that gateways keep to is kept by each
alone, so that five of them would have sent five times the rate.  Shown by one
gateway that got no less than two, and by an emulation of 5, 21 and 68
gateways whose requests wait: each alone 45, 125 and 123 over what is allowed
in 4 s, told totals of each other 8 under, 7 and 18 over, grants of one owner
11 under.
"""

import asyncio
import pathlib

from rackpost.http1 import message
from rackpost.http1 import server
from tests import crashing_site
from tests import platform_site
from tests import test_backoff
from tests import test_gateway

# What the users allow: in any window, half as much again and a few more.
WINDOW_S = 4.0
_ALLOWED_X = 1.5
_ALLOWED_MORE = 5
# Far more than that in the time that they take.
MANY = 40
_WAVE = 8


async def waves(
    site: platform_site.Site, path: str = "/safe/x", count: int = MANY
) -> list[bytes]:
    """Send requests, some at a time, so that all endpoints are used."""
    found: list[bytes] = []
    while len(found) < count:
        wave = [test_backoff.ask(site, path, 1) for _ in range(_WAVE)]
        for answers in await asyncio.gather(*wave):
            found += answers
    return found


class Limited:
    """An endpoint that names a rate, and when requests came there since."""

    def __init__(self, one: platform_site.Endpoint, rate: bytes) -> None:
        self.one = one
        self._usual = one.answer
        self.at: list[float] = []
        self._named = False
        self.name(rate)
        one.answer = self._answer

    def name(self, rate: bytes) -> None:
        """It names a rate from now on; what came before counts no more."""
        self.one.extra_headers = [(b"server-limit", rate)]
        self._per_s = float(rate)
        self._named = False
        self.at.clear()

    def name_none(self) -> None:
        """It takes what it gets from now on."""
        self.one.extra_headers = []

    def is_known(self, site: platform_site.Site) -> bool:
        """Whether the gateway knows what it names."""
        known = site.gateway.site.table.alive[self.one.ident]
        named = site.gateway.site.eligible.rates.per_s(known)
        return named == self._per_s

    async def _answer(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        if self._named:
            self.at.append(asyncio.get_running_loop().time())
        await self._usual(req, responder)
        self._named = True

    @property
    def over(self) -> float:
        """By how much the worst window was over what is allowed."""
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
        """What is allowed in as much of a window as has passed."""
        passed = min(WINDOW_S, self.at[-1] - since)
        return _ALLOWED_X * self._per_s * passed + _ALLOWED_MORE


def test_one_of_two_plain_endpoints_gets_no_more_than_it_named(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            limited = Limited(site.plain[0], b"1")
            answers = await waves(site)
            assert test_backoff.statuses(answers) == {200}
            answers = await waves(site, "/unsafe/x")
            assert test_backoff.statuses(answers) == {200}
            assert limited.over <= 0

    asyncio.run(main())


def test_where_all_plain_endpoints_name_a_rate_the_rest_is_refused_at_once(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            limited = [Limited(one, b"0.5") for one in site.plain]
            # Nobody can know it before the first answer.
            await waves(site, count=_WAVE)
            assert all(one.is_known(site) for one in limited)
            for one in limited:
                one.at.clear()
            loop = asyncio.get_running_loop()
            began = loop.time()
            answers = await asyncio.gather(
                *(test_backoff.ask(site, count=1) for _ in range(MANY))
            )
            found = [one[0] for one in answers]
            assert test_backoff.statuses(found) == {200, 503}
            assert all(one.over <= 0 for one in limited)
            refused = [one for one in found if test_gateway.status(one) == 503]
            served = MANY - len(refused)
            passed_s = loop.time() - began
            # Each takes what it named, and one more.
            assert served <= 2 * (0.5 * passed_s + 2)
            # Told when something is free, one after the other.
            times = sorted(test_backoff.come_back_s(one) for one in refused)
            assert times[-1] > 5.0

    asyncio.run(main())


def test_one_of_two_decode_endpoints_gets_no_more_than_it_named(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            limited = Limited(site.decode[0], b"1")
            answers = await waves(site, "/gen/x")
            assert test_backoff.statuses(answers) == {200}
            assert limited.over <= 0

    asyncio.run(main())


def test_where_all_decode_endpoints_name_a_rate_no_prompt_is_read_in_vain(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            limited = [Limited(one, b"2") for one in site.decode]
            await waves(site, "/gen/x", _WAVE)
            assert all(one.is_known(site) for one in limited)
            site.prefill.requests.clear()
            answers = await asyncio.gather(
                *(
                    test_backoff.ask(site, "/gen/x", 1)
                    for _ in range(MANY // 2)
                )
            )
            found = [one[0] for one in answers]
            assert test_backoff.statuses(found) == {200, 503}
            assert all(one.over <= 0 for one in limited)
            served = sum(test_gateway.status(one) == 200 for one in found)
            reads = [
                req
                for req in site.prefill.requests
                if message.find(req.headers, b"x-serving-stage")
            ]
            assert len(reads) == served

    asyncio.run(main())


def test_a_prefill_endpoint_gets_no_more_than_it_named(
    tmp_path: pathlib.Path,
) -> None:
    """The rest is read where it is decoded."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            limited = Limited(site.prefill, b"1")
            answers = await waves(site, "/gen/x")
            assert test_backoff.statuses(answers) == {200}
            assert limited.over <= 0

    asyncio.run(main())


def test_two_gateways_keep_to_one_rate_together(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with crashing_site.site(tmp_path) as site:
            async with site.powered(first=True):
                limited = Limited(site.plain[0], b"2")
                answers = []
                for _ in range(MANY // 4):
                    wave = [
                        site.ask(gateway, "/safe/x", b"")
                        for gateway in crashing_site.GATEWAYS * 4
                    ]
                    answers += await asyncio.gather(*wave)
                assert test_backoff.statuses(answers) == {200}
                assert limited.over <= 0

    asyncio.run(main())


def test_one_that_names_less_than_before_gets_less(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            limited = Limited(site.plain[0], b"100")
            assert test_backoff.statuses(await waves(site)) == {200}
            limited.name(b"1")
            answers = await waves(site)
            assert test_backoff.statuses(answers) == {200}
            assert limited.over <= 0

    asyncio.run(main())


def test_one_that_wants_nothing_gets_next_to_nothing(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            limited = Limited(site.plain[0], b"0")
            while not limited.is_known(site):
                await waves(site, count=_WAVE)
            limited.at.clear()
            answers = await waves(site)
            assert test_backoff.statuses(answers) == {200}
            assert len(limited.at) <= 1

    asyncio.run(main())


def test_one_that_names_no_rate_any_more_is_used_again(
    tmp_path: pathlib.Path,
) -> None:
    """Its end is heard of by the few that still go there."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            limited = Limited(site.plain[0], b"5")
            await waves(site)
            limited.name_none()
            assert limited.is_known(site)
            async with asyncio.timeout(platform_site.TIMEOUT_S):
                while limited.is_known(site):
                    answers = await test_backoff.ask(site, count=1)
                    assert test_backoff.statuses(answers) == {200}
            seen = len(site.plain[0].requests)
            await waves(site)
            assert len(site.plain[0].requests) > seen + 5

    asyncio.run(main())
