"""A request under which each endpoint ends that begins it, and its returns.

Seen: two requests went on to one endpoint after the other, ten and eight of
which ended, each with some twelve other runs.  Each return had a new id and
came to any gateway, and a gateway knew the attempts of one call alone, so
that each was sent as if for the first time.  Shown by the digests of what
broke: the youngest run on each endpoint was always one of the same two
requests, on some endpoints the only one.
"""

import asyncio
import pathlib

import msgspec
import pytest

from rackpost.decide import fingerprint
from rackpost.decide import quarantine
from rackpost import exceptions
from rackpost.http1 import message
from rackpost.http1 import server
from rackpost.testing import virtual
from rackpost import types
from tests import crashing_site
from tests import driver
from tests import platform_site

# Endpoints that may end under one request, and how often it comes.
_MOST_CRASHES = 3
_RETURNS = 8


async def _returns(
    site: crashing_site.Site, path: str, body: bytes
) -> list[bytes]:
    """What a request is answered that comes again and again."""
    found = []
    for number in range(_RETURNS):
        gateway = crashing_site.GATEWAYS[number % 2]
        found.append(await site.ask(gateway, path, body))
        await site.is_known()
    return found


def test_a_generation_that_ends_endpoints_is_sent_to_three(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with crashing_site.site(tmp_path) as site:
            async with site.powered(first=True):
                answers = await _returns(site, "/gen/x", b"crash run")
                assert site.crashes == _MOST_CRASHES
                # At once, and truly: it has not run, and when to come back.
                assert all(b" 503 " in one for one in answers[3:])
                assert all(b"retry-after" in one for one in answers[3:])
                other = await site.ask(31, "/gen/x", b"another")
                assert b" 200 " in other

    asyncio.run(main())


@pytest.mark.parametrize(("path", "deadly"), [("/gen/x", 1), ("/safe/x", 3)])
def test_of_many_requests_those_that_end_endpoints_end_three_each(
    tmp_path: pathlib.Path, path: str, deadly: int
) -> None:
    """All the others are served in between, at every gateway."""

    async def main() -> None:
        async with crashing_site.site(tmp_path) as site:
            async with site.powered(first=True):
                bodies = [b"crash run %d" % number for number in range(deadly)]
                others = []
                for number in range(_RETURNS):
                    gateway = crashing_site.GATEWAYS[number % 2]
                    for body in bodies:
                        await site.ask(gateway, path, body)
                        await site.is_known()
                    others += [
                        await site.ask(gateway, path, b"another %d" % each)
                        for each in range(6)
                    ]
                ended = [site.crashes_by(body) for body in bodies]
                assert ended == [_MOST_CRASHES] * deadly
                assert all(b" 200 " in one for one in others)

    asyncio.run(main())


def test_a_plain_request_that_ends_endpoints_is_sent_to_three(
    tmp_path: pathlib.Path,
) -> None:
    """Tried again inside, where its route allows it, or by its caller."""

    async def main() -> None:
        async with crashing_site.site(tmp_path) as site:
            async with site.powered(first=True):
                await _returns(site, "/safe/x", b"crash run")
                assert site.crashes == _MOST_CRASHES
                other = await site.ask(31, "/safe/x", b"another")
                assert b" 200 " in other

    asyncio.run(main())


def test_a_prompt_that_ends_its_readers_is_read_by_three(
    tmp_path: pathlib.Path,
) -> None:
    """Though it is answered, by endpoints that read it themselves."""

    async def main() -> None:
        async with crashing_site.site(tmp_path) as site:
            async with site.powered(first=True):
                answers = await _returns(site, "/gen/x", b"crash reader")
                assert b" 200 " in answers[0]
                assert site.crashes == _MOST_CRASHES

    asyncio.run(main())


def test_a_broken_stream_that_is_taken_up_is_the_same_request(
    tmp_path: pathlib.Path,
) -> None:
    """It names the event to go on after, and comes on a repeatable route."""

    async def main() -> None:
        async with crashing_site.site(tmp_path) as site:
            async with site.powered(first=True):
                for number in range(_RETURNS):
                    gateway = crashing_site.GATEWAYS[number % 2]
                    more = f"Last-Event-Id: {number}\r\n"
                    await site.ask(gateway, "/res/x", b"crash run", more)
                    await site.is_known()
                assert site.crashes == _MOST_CRASHES

    asyncio.run(main())


def test_who_ran_beside_it_is_served_when_it_comes_again(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with crashing_site.site(tmp_path) as site:
            async with site.powered(first=True):
                for number in range(_MOST_CRASHES):
                    gateway = crashing_site.GATEWAYS[number % 2]
                    beside = [
                        asyncio.create_task(
                            site.ask(gateway, "/gen/y", b"slow %d" % n)
                        )
                        for n in range(6)
                    ]
                    await site.runs(len(beside))
                    await site.ask(gateway, "/gen/x", b"crash run")
                    for task in beside:
                        task.cancel()
                    await site.runs(0)
                    await site.is_known()
                assert site.crashes == _MOST_CRASHES
                held = [
                    item.request
                    for item in site.core_books()[0].quarantined(site.now())
                ]
                assert len(held) == 1
                refused = await site.ask(31, "/gen/x", b"crash run")
                assert b" 503 " in refused

    asyncio.run(main())


async def _unframed(req: message.Request, responder: server.Responder) -> None:
    """A sound answer, without a length, that ends with its connection."""
    responder._conn.closing = True
    responder.send_head(200, platform_site.vouching_headers(req))
    responder._conn.write(b"whole, or not")


@pytest.mark.parametrize("framed", [True, False])
def test_an_answer_that_ends_with_its_connection_clears_nothing(
    tmp_path: pathlib.Path, framed: bool
) -> None:
    """Without a length, the end of its endpoint looks like its own."""

    async def main() -> None:
        async with crashing_site.site(tmp_path) as site:
            async with site.powered(first=True):
                if not framed:
                    for endpoint in site.plain:
                        endpoint.answer = _unframed
                assert b" 200 " in await site.ask(31, "/safe/x", b"asked")
                known_by = fingerprint.fingerprint(
                    organisation=types.OrganisationName(""),
                    method=b"POST",
                    target=b"/safe/x",
                    body=b"asked",
                )
                suspects = site.gateways[31].site.suspects
                told = [
                    quarantine.Suspicion(
                        request=known_by,
                        endpoint=types.EndpointId(f"e{number}"),
                    )
                    for number in range(3)
                ]
                suspects.receive(told, site.now())
                is_held = (
                    suspects.quarantine_left_s(known_by, site.now()) > 0.0
                )
                assert is_held is not framed

    asyncio.run(main())


def test_an_operator_sees_it_and_lets_it_go(tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        async with crashing_site.site(tmp_path) as site:
            async with site.powered(first=True):
                await _returns(site, "/gen/x", b"crash run")
                held = await site.held()
                assert len(held) == 1
                assert await site.release(held[0]) == 200
                assert await site.held() == []
                assert await site.release(held[0]) == 404
                await platform_site.until(
                    lambda: not any(
                        item.site.suspects.book.quarantined(site.now())
                        for item in site.gateways.values()
                    )
                )
                await site.ask(31, "/gen/x", b"crash run")
                assert site.crashes == _MOST_CRASHES + 1

    asyncio.run(main())


def test_it_is_still_known_after_lost_disks_together_with_all_power(
    tmp_path: pathlib.Path,
) -> None:
    """Two disks are lost, and all other processes end, gateways too."""

    async def main() -> None:
        core = (11, 12, 13, 14, 15)
        async with crashing_site.site(tmp_path, core=core, lost=2) as site:
            async with site.powered(first=True):
                await _returns(site, "/gen/x", b"crash run")
                before = site.crashes
            for number in core[:2]:
                site.wipe(number)
            async with site.powered(first=False):
                await _returns(site, "/gen/x", b"crash run")
            assert before == site.crashes == _MOST_CRASHES

    asyncio.run(main())


def test_entries_hold_back_what_ends_engines_too() -> None:
    """Without sockets: engines end when they begin it, and are back soon."""
    ended: list[str] = []

    def make_fatal(engine: object) -> None:
        decode = engine.decode  # type: ignore[attr-defined]

        async def fatal(**call: object) -> object:
            if b"fatal" in call["body"]:  # type: ignore[operator]
                ended.append("one")
                engine.kill()  # type: ignore[attr-defined]
                loop = asyncio.get_running_loop()
                loop.call_later(0.5, setattr, engine, "dead", False)
                raise exceptions.EngineError("engine died", ran=True)
            async for event in decode(**call):
                yield event

        engine.decode = fatal  # type: ignore[attr-defined]

    async def main() -> None:
        site = driver.small_site()
        for name, engine in site.engines.items():
            if name.startswith("t"):
                make_fatal(engine)
        entry = site.entries[0]
        await asyncio.sleep(0.1)
        for number in range(_RETURNS):
            asked = driver.ask("fatal", words=50)
            asked = msgspec.structs.replace(
                asked, req=types.RequestId(f"r{number}")
            )
            got = await driver.take(entry, asked)
            await asyncio.sleep(2.0)
        assert len(ended) == _MOST_CRASHES
        assert got.end.reason is types.Refusal.ENDS_ENGINES
        assert got.end.outcome is types.Outcome.NOT_RUN
        other = await driver.take(entry, driver.ask("other", words=50))
        assert other.end.outcome is types.Outcome.ANSWERED
        site.close()

    virtual.run(main())
