"""Back-offs that endpoints ask for (503 with Retry-After).

Guards against requests and retries sent to an endpoint during its back-off.
"""

import asyncio
import pathlib
from rackpost.http1 import message
from rackpost.http1 import server
from tests import crashing_site
from tests import platform_site
from tests import test_gateway

# Back-off that an endpoint asks for, in seconds.
BACKOFF = b"30"
# Header in the answers of a leaving endpoint.
LEAVING = [(b"server-leaving", b"1")]
# More requests than may be in flight when an endpoint asks for a back-off.
_REQUESTS = 20


async def back_off(req: message.Request, responder: server.Responder) -> None:
    """Refuse a request and ask for a back-off."""
    refusal_headers = [(b"x-not-executed", b"1"), (b"retry-after", BACKOFF)]
    responder.send(503, refusal_headers, b"")


async def send(
    site: platform_site.Site, path: str = "/safe/x", count: int = _REQUESTS
) -> list[bytes]:
    """Send requests one after the other."""
    make = test_gateway.request
    if not path.startswith(("/safe", "/unsafe")):
        make = test_gateway.generation
    return [
        await site.raw(make(path, ident=f"r{number}"))
        for number in range(count)
    ]


def statuses(answers: list[bytes]) -> set[int]:
    return {test_gateway.status(one) for one in answers}


def retry_after_s(answer: bytes) -> float:
    """Return the Retry-After of a refused request, in seconds."""
    head = answer.split(b"\r\n\r\n")[0]
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"retry-after":
            return float(value)
    raise AssertionError("no time to come back")


def test_a_plain_endpoint_in_backoff_gets_no_requests(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            site.plain[0].answer = back_off
            assert statuses(await send(site)) == {200}
            assert len(site.plain[0].requests) <= 1
            assert statuses(await send(site, "/unsafe/x")) == {200}
            assert len(site.plain[0].requests) <= 1

    asyncio.run(main())


def test_callers_are_refused_at_once_while_all_endpoints_back_off(
    tmp_path: pathlib.Path,
) -> None:
    """No caller may spend retries on endpoints known to back off."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            for endpoint in site.plain:
                endpoint.answer = back_off
            answers = await send(site)
            assert statuses(answers) == {503}
            assert [len(one.requests) for one in site.plain] == [1, 1]
            assert all(retry_after_s(one) > 25.0 for one in answers)

    asyncio.run(main())


def test_a_request_that_waits_for_a_connection_respects_the_backoff(
    tmp_path: pathlib.Path,
) -> None:
    """The endpoint was chosen before it asked for the back-off."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            go_on = asyncio.Event()

            async def back_off_later(
                req: message.Request, responder: server.Responder
            ) -> None:
                await go_on.wait()
                await back_off(req, responder)

            # One endpoint and one connection for all requests.
            site.plain[0].answer = back_off_later
            assert await site.operator.leave(11, site.plain[1]) == 200
            table = site.gateway.site.table
            await platform_site.until(lambda: len(table.alive) == 4)
            site.gateway.site.max_connections_to = lambda service: 1
            tasks = [
                asyncio.create_task(site.raw(test_gateway.request("/safe/x")))
                for _ in range(4)
            ]
            await platform_site.until(lambda: len(site.plain[0].requests) == 1)
            loads = site.gateway.site.loads
            key = site.plain[0].ident
            await platform_site.until(
                lambda: loads.total(key).requests == len(tasks)
            )
            go_on.set()
            assert statuses(await asyncio.gather(*tasks)) == {503}
            assert len(site.plain[0].requests) == 1

    asyncio.run(main())


def test_prompts_are_prefilled_in_place_while_all_prefill_endpoints_back_off(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            site.prefill.answer = back_off
            assert statuses(await send(site, "/gen/x", 6)) == {200}
            assert len(site.prefill.requests) == 1

    asyncio.run(main())


def test_generations_are_refused_at_once_while_all_decode_endpoints_back_off(
    tmp_path: pathlib.Path,
) -> None:
    """Requests must not wait until they time out, nor be prefilled."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            for endpoint in site.decode:
                endpoint.answer = back_off
            answers = await send(site, "/gen/x", 6)
            assert statuses(answers) == {503}
            assert [len(one.requests) for one in site.decode] == [1, 1]
            prefills = [
                req
                for req in site.prefill.requests
                if message.find(req.headers, b"x-serving-stage")
            ]
            assert len(prefills) <= 2
            assert all(retry_after_s(one) > 25.0 for one in answers)

    asyncio.run(main())


def test_an_unused_prefill_result_is_not_freed_during_a_backoff(
    tmp_path: pathlib.Path,
) -> None:
    """An unused prefill result expires; no request must be sent to free it."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            has_backed_off = asyncio.Event()

            async def prefill_once(
                req: message.Request, responder: server.Responder
            ) -> None:
                site.prefill.answer = back_off_and_signal
                await site.prefill.default_answer(req, responder)

            async def back_off_and_signal(
                req: message.Request, responder: server.Responder
            ) -> None:
                await back_off(req, responder)
                has_backed_off.set()

            async def back_off_afterwards(
                req: message.Request, responder: server.Responder
            ) -> None:
                await has_backed_off.wait()
                await back_off(req, responder)

            site.prefill.answer = prefill_once
            for endpoint in site.decode:
                endpoint.answer = back_off_afterwards
            first = asyncio.create_task(site.raw(test_gateway.generation()))
            await platform_site.until(
                lambda: any(one.requests for one in site.decode)
            )
            second = await site.raw(test_gateway.generation(ident="r2"))
            assert statuses([await first, second]) == {503}
            # One prefill, one refusal; nothing else after that.
            assert [req.method for req in site.prefill.requests] == [
                b"POST",
                b"POST",
            ]

    asyncio.run(main())


def test_heartbeats_do_not_undo_an_answer_that_announces_leaving(
    tmp_path: pathlib.Path,
) -> None:
    """Later heartbeats with the state ready must not undo it."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            for endpoint in (site.plain[0], site.decode[0]):
                endpoint.extra_headers = LEAVING
            for path, one in (
                ("/safe/x", site.plain[0]),
                ("/gen/x", site.decode[0]),
            ):
                while not one.requests:
                    await send(site, path, 1)
                assert await site.operator.send_heartbeat(11, one) == 200
                table = site.gateway.site.table
                before = table.last_heartbeat_at[one.ident]
                await platform_site.until(
                    lambda: table.last_heartbeat_at[one.ident] > before
                )
                requests_before = len(one.requests)
                assert statuses(await send(site, path)) == {200}
                assert len(one.requests) == requests_before

    asyncio.run(main())


def test_a_leaving_prefill_endpoint_gets_no_prompts(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            site.prefill.extra_headers = LEAVING
            assert statuses(await send(site, "/gen/x", 4)) == {200}
            assert len(site.prefill.requests) == 1

    asyncio.run(main())


def test_a_restarted_endpoint_gets_requests_again(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            one, other = site.plain
            one.answer = back_off
            other.answer = back_off
            assert statuses(await send(site, count=2)) == {503}
            # It restarts: another id at the same address.
            one.ident, one.sequence, one.answer = "p9", 0, one.default_answer
            assert await site.operator.send_heartbeat(11, one) == 200
            table = site.gateway.site.table
            await platform_site.until(lambda: "p9" in table.alive)
            assert statuses(await send(site, count=3)) == {200}
            assert len(other.requests) == 1

    asyncio.run(main())


def test_requests_with_time_left_wait_for_the_end_of_a_backoff(
    tmp_path: pathlib.Path,
) -> None:
    """A refused caller would only return to the same endpoints."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:

            def back_off_once(
                one: platform_site.Endpoint,
            ) -> platform_site.Answer:
                async def answer(
                    req: message.Request, responder: server.Responder
                ) -> None:
                    one.answer = one.default_answer
                    refusal_headers = [
                        (b"x-not-executed", b"1"),
                        (b"retry-after", b"1"),
                    ]
                    responder.send(503, refusal_headers, b"")

                return answer

            for endpoint in [*site.plain, *site.decode]:
                endpoint.answer = back_off_once(endpoint)
            paths = ["/safe/x"] * 8 + ["/gen/x"] * 4
            answers = await asyncio.gather(
                *(send(site, path, 1) for path in paths)
            )
            assert {test_gateway.status(one[0]) for one in answers} == {200}

    asyncio.run(main())


def test_other_gateways_learn_of_a_backoff(
    tmp_path: pathlib.Path,
) -> None:
    """Without the report each gateway would spend a retry of its own."""

    async def main() -> None:
        async with crashing_site.site(tmp_path) as site:
            async with site.powered(first=True):
                here, there = crashing_site.GATEWAYS
                one = site.plain[0]
                one.answer = back_off
                while not one.requests:
                    await site.send(here, "/safe/x", b"")
                other = site.gateways[there].site
                await platform_site.until(
                    lambda: other.health.has_reported_backoff(
                        one.ident, other.loop_time()
                    )
                )
                answers = [
                    await site.send(there, "/safe/x", b"") for _ in range(10)
                ]
                assert statuses(answers) == {200}
                assert len(one.requests) == 1

    asyncio.run(main())
