"""Where a gateway has prompts read, and where it gives up."""

import asyncio
import pathlib

from rackpost.http1 import message
from rackpost import types
from tests import platform_site
from tests import test_gateway


def test_a_prompt_is_not_read_without_room_to_decode(
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


def test_a_prompt_is_read_in_place_when_no_prefill_endpoint_answers(
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


def test_prompts_that_prefill_endpoints_fail_take_turns_in_place(
    tmp_path: pathlib.Path,
) -> None:
    """They were all read at once where others made their tokens."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            site.prefill.answer = test_gateway.cut
            go_on = asyncio.Event()
            for one in site.decode:
                one.answer = test_gateway.usual_after(go_on, one)
            calls = [
                asyncio.create_task(
                    site.raw(test_gateway.generation(ident=f"r{number}"))
                )
                for number in range(6)
            ]
            await platform_site.until(
                lambda: all(one.requests for one in site.decode)
            )
            # All have been tried at the prefill endpoint by now or wait.
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
            # Nothing is remembered of the rejections but the budget.
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


def test_a_first_reading_needs_no_repeat_while_none_is_turned_away(
    tmp_path: pathlib.Path,
) -> None:
    """Of many gateways each has two repeats in ten seconds.

    With those used up each prompt was read where tokens are made, which
    made all that ran there pause.
    """

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            gateway = site.gateway.site
            budget = gateway.retry_budget(types.ServiceName("model"))

            async def reads(ident: str) -> int:
                now = gateway.loop_time()
                while budget.remaining(now, 1) >= 0.5:
                    budget.record_retry(now)
                got = await site.raw(test_gateway.generation(ident=ident))
                assert test_gateway.status(got) == 200
                return sum(
                    req.method == b"POST" for req in site.prefill.requests
                )

            assert await reads("r1") == 1
            assert await reads("r2") == 2
            # Another gateway was turned away: it may be so for all.
            key = types.EndpointId(site.prefill.ident)
            gateway.health.record_reported_full(key, gateway.loop_time() - 1.0)
            assert await reads("r3") == 2

    asyncio.run(main())


def test_few_first_readings_are_unsettled_at_a_time(
    tmp_path: pathlib.Path,
) -> None:
    """Nobody knows yet whether the endpoint takes them."""

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
