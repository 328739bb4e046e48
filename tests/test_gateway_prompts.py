"""Where a gateway has prompts prefilled, and when it gives up."""

import asyncio
import pathlib

from rackpost.http1 import message
from rackpost import types
from tests import platform_site
from tests import test_gateway


def test_a_prompt_is_not_prefilled_without_decode_capacity(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            more = "X-Token-Usage: 5000,50\r\n"
            got = await site.raw(
                test_gateway.request("/gen/x", b"p", more=more)
            )
            assert test_gateway.status(got) == 503
            assert b"retry-after" in got
            assert not site.prefill.requests

    asyncio.run(main())


def test_a_prompt_is_prefilled_in_place_when_no_prefill_endpoint_answers(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            site.prefill.answer = test_gateway.cut
            got = await site.raw(test_gateway.generation())
            assert test_gateway.status(got) == 200
            run = [req for one in site.decode for req in one.requests]
            assert message.find(run[0].headers, b"x-kv-source") is None

    asyncio.run(main())


def test_prefills_in_place_take_turns(
    tmp_path: pathlib.Path,
) -> None:
    """Prefills in place must not all run at once beside running streams."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            site.prefill.answer = test_gateway.cut
            go_on = asyncio.Event()
            for one in site.decode:
                one.answer = test_gateway.answer_after(go_on, one)
            calls = [
                asyncio.create_task(
                    site.raw(test_gateway.generation(ident=f"r{number}"))
                )
                for number in range(6)
            ]
            await platform_site.until(
                lambda: all(one.requests for one in site.decode)
            )
            # By now each was tried at the prefill endpoint or waits.
            await asyncio.sleep(0.2)
            assert [len(one.requests) for one in site.decode] == [1, 1]
            go_on.set()
            for answer in await asyncio.gather(*calls):
                assert test_gateway.status(answer) == 200

    asyncio.run(main())


def test_rejected_prefills_stay_within_the_retry_budget(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            site.prefill.answer = test_gateway.shed
            # Only the retry budget remembers the refusals.
            site.gateway.site.health.record_rejection = (  # type: ignore
                lambda endpoint, now: None
            )
            for number in range(80):
                got = await site.raw(
                    test_gateway.generation(ident=f"r{number}")
                )
                assert test_gateway.status(got) == 200
            allowed = 0.2 * 80 + 56
            assert 20 < len(site.prefill.requests) <= allowed
            in_place = sum(len(one.requests) for one in site.decode)
            assert in_place == 80

    asyncio.run(main())


def test_a_first_prefill_needs_no_retry_budget_while_none_is_refused(
    tmp_path: pathlib.Path,
) -> None:
    """A used-up retry budget must not force prefills in place."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            gateway = site.gateway.site
            budget = gateway.retry_budget(types.ServiceName("model"))

            async def prefills_after_one_more(ident: str) -> int:
                now = gateway.loop_time()
                while budget.remaining(now, 1) >= 0.5:
                    budget.record_retry(now)
                got = await site.raw(test_gateway.generation(ident=ident))
                assert test_gateway.status(got) == 200
                return sum(
                    req.method == b"POST" for req in site.prefill.requests
                )

            assert await prefills_after_one_more("r1") == 1
            assert await prefills_after_one_more("r2") == 2
            # Another gateway was refused, so that this one may be refused too.
            key = types.EndpointId(site.prefill.ident)
            gateway.health.record_reported_full(key, gateway.loop_time() - 1.0)
            assert await prefills_after_one_more("r3") == 2

    asyncio.run(main())


def test_unconfirmed_prefills_beyond_the_retry_budget_are_few(
    tmp_path: pathlib.Path,
) -> None:
    """It is not known yet whether the endpoint accepts them."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            gateway = site.gateway.site
            budget = gateway.retry_budget(types.ServiceName("model"))
            now = gateway.loop_time()
            for _ in range(100):
                budget.record_retry(now)
            got = await site.raw(test_gateway.generation())
            assert test_gateway.status(got) == 200
            assert site.prefill.requests == []

    asyncio.run(main())
