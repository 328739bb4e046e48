"""Endpoints that turn a gateway away and ask it for a time without requests.

Seen: a plain endpoint that asked one gateway for 3 s got up to 30 requests
from it in that time, and once each second request came there the budget of
repeats was spent, so that callers were refused while two other endpoints had
room.  An answer of 503 was taken as "not run" and nothing else: whoever turns
away within a millisecond has the least under way and looked the best to the
next request.  Shown by lines of the gateways: all 53 rejected attempts were
at that endpoint, the last 4.8 s after the first, and 40 of them repeats.

The times asked for are far longer than a test takes, so that it does not
matter how long that is.
"""

import asyncio
import pathlib
from rackpost.http1 import message
from rackpost.http1 import server
from tests import crashing_site
from tests import platform_site
from tests import test_gateway

# What an endpoint asks for, in seconds.
ASKED = b"30"
# What an endpoint that leaves adds to its answers.
LEAVING = [(b"server-leaving", b"1")]
# More than may be on their way when an endpoint asks for a back-off.
_MANY = 20


async def asks(req: message.Request, responder: server.Responder) -> None:
    """Turn a request away and ask for a time without any."""
    told = [(b"x-not-executed", b"1"), (b"retry-after", ASKED)]
    responder.send(503, told, b"")


async def ask(
    site: platform_site.Site, path: str = "/safe/x", count: int = _MANY
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


def come_back_s(answer: bytes) -> float:
    """When a refused caller is told to come back, in seconds."""
    head = answer.split(b"\r\n\r\n")[0]
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"retry-after":
            return float(value)
    raise AssertionError("no time to come back")


def test_a_plain_endpoint_that_asks_gets_nothing_more(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            site.plain[0].answer = asks
            assert statuses(await ask(site)) == {200}
            assert len(site.plain[0].requests) <= 1
            assert statuses(await ask(site, "/unsafe/x")) == {200}
            assert len(site.plain[0].requests) <= 1

    asyncio.run(main())


def test_where_all_ask_callers_are_told_at_once_when_one_is_free(
    tmp_path: pathlib.Path,
) -> None:
    """Each was asked again by every caller, until repeats ran out."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            for endpoint in site.plain:
                endpoint.answer = asks
            answers = await ask(site)
            assert statuses(answers) == {503}
            assert [len(one.requests) for one in site.plain] == [1, 1]
            assert all(come_back_s(one) > 25.0 for one in answers)

    asyncio.run(main())


def test_what_waits_for_a_connection_is_not_sent_there(
    tmp_path: pathlib.Path,
) -> None:
    """Chosen before the endpoint asked, and not yet written."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            go_on = asyncio.Event()

            async def asks_later(
                req: message.Request, responder: server.Responder
            ) -> None:
                await go_on.wait()
                await asks(req, responder)

            # All choose the one that is there; one connection is open.
            site.plain[0].answer = asks_later
            assert await site.operator.leave(11, site.plain[1]) == 200
            table = site.gateway.site.table
            await platform_site.until(lambda: len(table.alive) == 4)
            site.gateway.site.connections_to = lambda service: 1
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


def test_where_all_prefill_endpoints_ask_prompts_are_read_in_place(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            site.prefill.answer = asks
            assert statuses(await ask(site, "/gen/x", 6)) == {200}
            assert len(site.prefill.requests) == 1

    asyncio.run(main())


def test_where_all_decode_endpoints_ask_nobody_waits_for_nothing(
    tmp_path: pathlib.Path,
) -> None:
    """They waited until nothing could be served, prompts were read."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            for endpoint in site.decode:
                endpoint.answer = asks
            answers = await ask(site, "/gen/x", 6)
            assert statuses(answers) == {503}
            assert [len(one.requests) for one in site.decode] == [1, 1]
            reads = [
                req
                for req in site.prefill.requests
                if message.find(req.headers, b"x-serving-stage")
            ]
            assert len(reads) <= 2
            assert all(come_back_s(one) > 25.0 for one in answers)

    asyncio.run(main())


def test_nothing_that_was_read_is_freed_at_one_that_asks(
    tmp_path: pathlib.Path,
) -> None:
    """A result that no decode takes lapses by itself."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            has_asked = asyncio.Event()

            async def reads_once(
                req: message.Request, responder: server.Responder
            ) -> None:
                site.prefill.answer = asks_and_tells
                await site.prefill.default_answer(req, responder)

            async def asks_and_tells(
                req: message.Request, responder: server.Responder
            ) -> None:
                await asks(req, responder)
                has_asked.set()

            async def asks_after(
                req: message.Request, responder: server.Responder
            ) -> None:
                await has_asked.wait()
                await asks(req, responder)

            site.prefill.answer = reads_once
            for endpoint in site.decode:
                endpoint.answer = asks_after
            first = asyncio.create_task(site.raw(test_gateway.generation()))
            await platform_site.until(
                lambda: any(one.requests for one in site.decode)
            )
            second = await site.raw(test_gateway.generation(ident="r2"))
            assert statuses([await first, second]) == {503}
            # One read, one turned away; nothing else after that.
            assert [req.method for req in site.prefill.requests] == [
                b"POST",
                b"POST",
            ]

    asyncio.run(main())


def test_an_answer_that_says_leaving_is_the_last_word(
    tmp_path: pathlib.Path,
) -> None:
    """Heartbeats that still say ready, and come later, change nothing."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            for endpoint in (site.plain[0], site.decode[0]):
                endpoint.extra_headers = LEAVING
            for path, one in (
                ("/safe/x", site.plain[0]),
                ("/gen/x", site.decode[0]),
            ):
                while not one.requests:
                    await ask(site, path, 1)
                assert await site.operator.send_heartbeat(11, one) == 200
                table = site.gateway.site.table
                heard = table.last_heartbeat_at[one.ident]
                await platform_site.until(
                    lambda: table.last_heartbeat_at[one.ident] > heard
                )
                seen = len(one.requests)
                assert statuses(await ask(site, path)) == {200}
                assert len(one.requests) == seen

    asyncio.run(main())


def test_a_prefill_endpoint_that_leaves_reads_nothing_more(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            site.prefill.extra_headers = LEAVING
            assert statuses(await ask(site, "/gen/x", 4)) == {200}
            assert len(site.prefill.requests) == 1

    asyncio.run(main())


def test_a_new_life_at_the_address_is_asked_again(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            one, other = site.plain
            one.answer = asks
            other.answer = asks
            assert statuses(await ask(site, count=2)) == {503}
            # It starts again: another id at the same address.
            one.ident, one.sequence, one.answer = "p9", 0, one.default_answer
            assert await site.operator.send_heartbeat(11, one) == 200
            table = site.gateway.site.table
            await platform_site.until(lambda: "p9" in table.alive)
            assert statuses(await ask(site, count=3)) == {200}
            assert len(other.requests) == 1

    asyncio.run(main())


def test_who_can_still_be_served_waits_for_the_end_of_a_backoff(
    tmp_path: pathlib.Path,
) -> None:
    """A refusal would bring its caller back to the same endpoints."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:

            def asks_once(one: platform_site.Endpoint) -> platform_site.Answer:
                async def answer(
                    req: message.Request, responder: server.Responder
                ) -> None:
                    one.answer = one.default_answer
                    told = [(b"x-not-executed", b"1"), (b"retry-after", b"1")]
                    responder.send(503, told, b"")

                return answer

            for endpoint in [*site.plain, *site.decode]:
                endpoint.answer = asks_once(endpoint)
            paths = ["/safe/x"] * 8 + ["/gen/x"] * 4
            answers = await asyncio.gather(
                *(ask(site, path, 1) for path in paths)
            )
            assert {test_gateway.status(one[0]) for one in answers} == {200}

    asyncio.run(main())


def test_other_gateways_are_told_and_prefer_others(
    tmp_path: pathlib.Path,
) -> None:
    """Each gateway found out by itself, with a repeat of its own."""

    async def main() -> None:
        async with crashing_site.site(tmp_path) as site:
            async with site.powered(first=True):
                here, there = crashing_site.GATEWAYS
                one = site.plain[0]
                one.answer = asks
                while not one.requests:
                    await site.ask(here, "/safe/x", b"")
                other = site.gateways[there].site
                await platform_site.until(
                    lambda: other.health.has_reported_backoff(
                        one.ident, other.loop_time()
                    )
                )
                answers = [
                    await site.ask(there, "/safe/x", b"") for _ in range(10)
                ]
                assert statuses(answers) == {200}
                assert len(one.requests) == 1

    asyncio.run(main())
