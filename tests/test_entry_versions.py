"""An entry resumes a broken stream at its engine's software version only."""

import asyncio

import pytest

from rackpost.agent import engine_http
from rackpost.http1 import message
from rackpost.http1 import server
from rackpost.testing import site as site_mod
from rackpost.testing import virtual
from rackpost import types
from tests import driver

_OLD = types.SoftwareVersion("0.9")
_NEW = types.SoftwareVersion("1.0")
_PREFILLS = 2


def _decoding(site: site_mod.Site) -> set[str]:
    """Return the engines that stream an answer now."""
    return {
        name for name, item in site.engines.items() if item.streams_now > 0
    }


async def _break_a_stream(
    site: site_mod.Site, old: int
) -> tuple[driver.Got, set[str]]:
    """Kill the engine that begins a stream; `old` others have its version.

    Returns what the caller got, and the engines where the stream went on.
    """
    for item in site.engines.values():
        item.software_version = _OLD
    await asyncio.sleep(1.0)
    task = asyncio.create_task(
        driver.take(site.entries[0], driver.ask("a", max_tokens=60))
    )
    while not _decoding(site):
        await asyncio.sleep(0.01)
    (first,) = _decoding(site)
    others = [
        item
        for name, item in site.engines.items()
        if name != first and int(name[1:]) >= _PREFILLS
    ]
    for item in others[old:]:
        item.software_version = _NEW
    # Agents look at their engine's version twice a second.
    await asyncio.sleep(0.6)
    site.engines[first].kill()
    went_on = set()
    while not task.done():
        await asyncio.sleep(0.01)
        went_on |= _decoding(site)
    return task.result(), went_on


@pytest.mark.parametrize("seed", range(5))
def test_a_broken_stream_goes_on_at_its_version(seed: int) -> None:
    async def main() -> None:
        site = driver.small_site(prefills=_PREFILLS, decodes=4, seed=seed)
        got, went_on = await _break_a_stream(site, old=1)
        assert got.whole
        assert len(went_on) == 1
        for name in went_on:
            assert site.engines[name].software_version == _OLD
        site.close()

    virtual.run(main())


def test_a_stream_whose_version_is_gone_is_ended() -> None:
    async def main() -> None:
        site = driver.small_site(prefills=_PREFILLS, decodes=4)
        got, went_on = await _break_a_stream(site, old=0)
        assert not went_on
        assert got.end.outcome is types.Outcome.UNKNOWN
        site.close()

    virtual.run(main())


def test_an_agent_reads_the_version_that_its_engine_names() -> None:
    async def answer(
        req: message.Request, responder: server.Responder
    ) -> None:
        known = req.path == b"/version"
        body = b'{"version":"0.9"}' if known else b""
        responder.send(200 if known else 404, [], body)

    async def main() -> None:
        listening = server.Server(handler=answer, failed=lambda req, exc: None)
        async with listening.serving("127.0.0.1", 0) as port:
            url = f"http://127.0.0.1:{port}"
            one, other = (
                engine_http.HttpEngine(url=url),
                engine_http.HttpEngine(url=url + "/elsewhere"),
            )
            assert await one.software() == _OLD
            assert await other.software() == ""
            await one.close()
            await other.close()

    asyncio.run(main())
