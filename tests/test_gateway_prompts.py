"""Where a gateway has prompts prefilled, and when it gives up."""

import asyncio
import pathlib

import pytest

from rackpost.decide import features
from rackpost.gateway import reservation as reservation_mod
from rackpost.http1 import message
from rackpost.http1 import server
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


def _vain(site: platform_site.Site) -> dict[str, int]:
    return site.gateway.site.metrics.totals("vain_prefills")


def _prefills(site: platform_site.Site) -> int:
    return sum(req.method == b"POST" for req in site.prefill.requests)


def _decoded(site: platform_site.Site) -> int:
    return sum(len(one.requests) for one in site.decode)


def _reject_once(site: platform_site.Site) -> None:
    """Let the first request at a decode endpoint be rejected."""
    for one in site.decode:

        async def answer(
            req: message.Request,
            responder: server.Responder,
            one: platform_site.Endpoint = one,
        ) -> None:
            first = _decoded(site) == 1
            await (
                test_gateway.shed(req, responder)
                if first
                else one.default_answer(req, responder)
            )

        one.answer = answer


def _reserve_for_large(site: platform_site.Site) -> None:
    site.gateway.site.has_feature = (  # type: ignore[method-assign]
        lambda service, feature: feature is features.Feature.LARGE_RESERVATIONS
    )


def test_a_served_prompt_is_not_counted_as_vain(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            got = await site.raw(test_gateway.generation())
            assert test_gateway.status(got) == 200
            assert _vain(site) == {}

    asyncio.run(main())


def test_a_prompt_rejected_by_a_decode_endpoint_is_counted(
    tmp_path: pathlib.Path,
) -> None:
    """Without large reservations it is prefilled again, as before."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            _reject_once(site)
            got = await site.raw(test_gateway.generation())
            assert test_gateway.status(got) == 200
            assert _prefills(site) == 2
            assert _vain(site) == {"decode-rejected": 1}
            tokens = site.gateway.site.metrics.totals("vain_prefill_tokens")
            assert tokens == {"decode-rejected": 100}

    asyncio.run(main())


def test_a_rejected_prompt_serves_at_another_decode_endpoint(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            _reserve_for_large(site)
            _reject_once(site)
            got = await site.raw(test_gateway.generation())
            assert test_gateway.status(got) == 200
            assert _prefills(site) == 1
            assert _vain(site) == {}

    asyncio.run(main())


def test_a_prompt_is_not_kept_after_two_rejections(
    tmp_path: pathlib.Path,
) -> None:
    """A decode endpoint also rejects a request whose KV cache is gone."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            _reserve_for_large(site)
            for one in site.decode:
                one.answer = test_gateway.shed
            await site.raw(test_gateway.generation())
            assert _vain(site)["decode-rejected"] >= 1
            assert _prefills(site) <= _decoded(site)

    asyncio.run(main())


def test_a_prompt_given_up_as_slow_is_counted(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            site.prefill.answer = test_gateway.answer_after(
                asyncio.Event(), site.prefill
            )
            await site.raw(test_gateway.generation())
            assert _vain(site)["given-up"] == 1

    asyncio.run(main())


def test_a_prompt_of_a_client_that_left_is_counted(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            site.prefill.answer = test_gateway.answer_after(
                asyncio.Event(), site.prefill
            )
            _, writer = await asyncio.open_connection(*site.plan.front(31))
            writer.write(test_gateway.generation())
            await platform_site.until(lambda: _prefills(site) == 1)
            writer.close()
            await platform_site.until(lambda: bool(_vain(site)))
            assert _vain(site) == {"client-left": 1}

    asyncio.run(main())


def _deletes(site: platform_site.Site) -> int:
    return sum(req.method == b"DELETE" for req in site.prefill.requests)


@pytest.mark.parametrize("on", [False, True])
def test_the_prompt_of_a_client_that_left_is_freed(
    tmp_path: pathlib.Path, on: bool
) -> None:
    """Without large reservations its KV cache expires, as before."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            if on:
                _reserve_for_large(site)
            for one in site.decode:
                one.answer = test_gateway.answer_after(asyncio.Event(), one)
            _, writer = await asyncio.open_connection(*site.plan.front(31))
            writer.write(test_gateway.generation())
            await platform_site.until(lambda: _decoded(site) == 1)
            writer.close()
            await platform_site.until(lambda: bool(_vain(site)))
            assert _vain(site) == {"client-left": 1}
            # Later requests show that the first one's task has ended.
            got = await site.raw(test_gateway.request("/safe/x", ident="r2"))
            assert test_gateway.status(got) == 200
            if on:
                await platform_site.until(lambda: _deletes(site) == 1)
            else:
                assert _deletes(site) == 0

    asyncio.run(main())


def _record_reservations(
    site: platform_site.Site, *, delay_s: float = 0.0
) -> list[bool]:
    """Record whether reservations were asked for with a held prompt.

    Those are given `delay_s` seconds late.
    """
    capacity = site.gateway.site.capacity
    reserve = capacity.reserve
    held: list[bool] = []

    async def recorded(
        request: reservation_mod.ReservationRequest,
    ) -> reservation_mod.DecodeReservation | reservation_mod.NoCapacity:
        found = await reserve(request)
        held.append(request.waiting_request.holds_prompt)
        if held[-1]:
            await asyncio.sleep(delay_s)
        return found

    capacity.reserve = recorded  # type: ignore[method-assign]
    return held


def test_a_rejected_request_waits_with_its_prompt(
    tmp_path: pathlib.Path,
) -> None:
    """The queue is told of it, where rejected prompts are kept."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            _reserve_for_large(site)
            _reject_once(site)
            held = _record_reservations(site)
            got = await site.raw(test_gateway.generation())
            assert test_gateway.status(got) == 200
            assert held == [False, True]

    asyncio.run(main())


def test_a_prompt_that_expires_after_the_reservation_is_prefilled_again(
    tmp_path: pathlib.Path,
) -> None:
    """At a prefill endpoint: in place it would stop running streams."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            _reserve_for_large(site)
            _reject_once(site)
            held = _record_reservations(site, delay_s=0.6)
            got = await site.raw(test_gateway.generation())
            assert test_gateway.status(got) == 200
            assert held == [False, True]
            assert _prefills(site) == 2
            last = [req for one in site.decode for req in one.requests][-1]
            assert message.find(last.headers, b"x-kv-source") is not None

    asyncio.run(main())
