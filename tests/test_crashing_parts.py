"""One part of prompts crashes endpoints, in requests that are never alike.

Each request has a part of its own and may share all others with sound
requests, which have to be served at their first attempt throughout.
"""

import asyncio
import contextlib
import pathlib
from typing import AsyncIterator

import pytest

from tests import crashing_site

# Endpoints that may crash before the part has to be held back.
# Longer than a stream may be resumed, in seconds.
_LONG_S = 60.0
_MAX_CRASHES = 5
_SENDS = 12
_CORE = (11, 12, 13, 14, 15)


def _prompt(number: int, place: int | None, *, size: int = 4) -> str:
    """Return the header of a prompt of which only the last part is its own.

    The bad part takes the place of one of the others.
    """
    parts = [f"a{at}:20" for at in range(size - 1)]
    if place is not None:
        parts[place] = f"{crashing_site.BAD_PART}:20"
    return f"X-Prompt-Prefix: {','.join(parts)},{number:x}f:9\r\n"


class _Callers:
    """Sends requests with the bad part, and sound ones, at both gateways."""

    def __init__(
        self, *, site: crashing_site.Site, place: int, size: int = 4
    ) -> None:
        self._site = site
        self._place = place
        self._size = size
        self._number = 0

    async def send_bad(self, path: str = "/gen/x", more: str = "") -> bytes:
        """Send a request with the bad part, unlike all others."""
        prompt = _prompt(self._number, self._place, size=self._size)
        return await self._send(path, prompt + more)

    async def send_sound(self, path: str = "/gen/x") -> bytes:
        """Send a request that shares all other parts."""
        return await self._send(
            path, _prompt(self._number, None, size=self._size)
        )

    async def _send(self, path: str, more: str) -> bytes:
        gateway = crashing_site.GATEWAYS[self._number % 2]
        self._number += 1
        body = b"request %d" % self._number
        answer = await self._site.send(gateway, path, body, more)
        await self._site.wait_until_known()
        return answer


@contextlib.asynccontextmanager
async def _running(
    root: pathlib.Path, *, place: int = 1, size: int = 4
) -> AsyncIterator[tuple[crashing_site.Site, _Callers]]:
    """A running site and its callers."""
    async with crashing_site.site(root) as site:
        async with site.powered(first=True):
            yield site, _Callers(site=site, place=place, size=size)


async def _play(
    site: crashing_site.Site, callers: _Callers, *, path: str = "/gen/x"
) -> list[bytes]:
    """Send bad requests with sound ones in between.

    Returns the answers to the bad ones.
    """
    found = []
    for _ in range(_SENDS):
        assert b" 200 " in await callers.send_sound(path)
        found.append(await callers.send_bad(path))
    assert b" 200 " in await callers.send_sound(path)
    return found


# Guards against: each request with the part counts by itself, and endpoints
# crash without bound.
@pytest.mark.parametrize("place", [0, 1, 2])
def test_a_prompt_part_that_crashes_endpoints_is_held_back(
    tmp_path: pathlib.Path, place: int
) -> None:
    async def main() -> None:
        async with _running(tmp_path, place=place) as (site, callers):
            answers = await _play(site, callers)
            assert site.crashes <= _MAX_CRASHES
            late = answers[_MAX_CRASHES:]
            assert all(b" 503 " in one for one in late)
            assert all(b"retry-after" in one for one in late)

    asyncio.run(main())


# Guards against: a prompt whose part is held back is prefilled all the same.
def test_a_part_that_is_held_back_reaches_no_endpoint(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with _running(tmp_path) as (site, callers):
            for _ in range(_MAX_CRASHES):
                await callers.send_bad()
            before = site.bad_part_arrivals
            for _ in range(_SENDS):
                await callers.send_bad()
            assert site.bad_part_arrivals == before

    asyncio.run(main())


# Guards against: a client that resumes its stream brings the part back.
def test_a_resumed_stream_with_the_part_is_held_back(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with _running(tmp_path) as (site, callers):
            # Clients that name no stream need one version all the while.
            await site.age_versions(_LONG_S)
            for number in range(_SENDS):
                more = f"Last-Event-Id: {number}\r\n"
                await callers.send_bad("/res/x", more)
            assert 0 < site.crashes <= _MAX_CRASHES

    asyncio.run(main())


# Guards against: a part of a long prompt that is not looked at.
@pytest.mark.parametrize("place", [0, 5, 8])
def test_a_part_of_ten_is_held_back(
    tmp_path: pathlib.Path, place: int
) -> None:
    async def main() -> None:
        async with _running(tmp_path, place=place, size=10) as (site, callers):
            await _play(site, callers)
            assert site.crashes <= _MAX_CRASHES

    asyncio.run(main())


# Guards against: a gateway that restarts sends the part on again.
def test_a_part_stays_held_back_while_gateways_restart(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with _running(tmp_path) as (site, callers):
            for number in range(_SENDS):
                await callers.send_bad()
                gateway = crashing_site.GATEWAYS[number % 2]
                await site.stop(gateway)
                await site.start(gateway)
                await site.wait_until_known()
                assert b" 200 " in await callers.send_sound()
            assert site.crashes <= _MAX_CRASHES

    asyncio.run(main())


# Guards against: what is known of a part is lost with power and disks.
def test_a_part_stays_held_back_after_lost_disks_and_power(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with crashing_site.site(tmp_path, core=_CORE, lost=2) as site:
            callers = _Callers(site=site, place=1)
            async with site.powered(first=True):
                await _play(site, callers)
                before = site.bad_part_arrivals
            for number in _CORE[:2]:
                site.lose_disk(number)
            async with site.powered(first=False):
                await _play(site, callers)
            assert site.crashes <= _MAX_CRASHES
            assert site.bad_part_arrivals == before

    asyncio.run(main())


# Guards against: sound requests that share parts with crashing ones, and run
# beside them, are refused with them.
def test_requests_that_ran_beside_a_crashing_part_are_served(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with _running(tmp_path) as (site, callers):
            for number in range(_SENDS):
                beside = [
                    asyncio.create_task(
                        site.send(
                            crashing_site.GATEWAYS[number % 2],
                            "/gen/y",
                            b"slow %d" % (1000 * number + n),
                            _prompt(1000 * number + n, None),
                        )
                    )
                    for n in range(6)
                ]
                await site.wait_until_running(len(beside))
                await callers.send_bad()
                for task in beside:
                    task.cancel()
                await site.wait_until_running(0)
                await site.wait_until_known()
                assert b" 200 " in await callers.send_sound()
            assert site.crashes <= _MAX_CRASHES

    asyncio.run(main())


# Guards against: sound requests with the same first part begin less often
# while crashing ones still come.
def test_sound_requests_begin_as_often_while_bad_ones_come(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with _running(tmp_path) as (site, callers):
            before = [await callers.send_sound() for _ in range(_SENDS)]
            for _ in range(_MAX_CRASHES):
                await callers.send_bad()
            after = []
            for number in range(_SENDS):
                gateway = crashing_site.GATEWAYS[number % 2]
                got = await asyncio.gather(
                    site.send(
                        gateway,
                        "/gen/x",
                        b"sound %d" % number,
                        _prompt(500 + number, None),
                    ),
                    *(
                        site.send(
                            gateway,
                            "/gen/x",
                            b"bad %d-%d" % (number, n),
                            _prompt(9000 + 10 * number + n, 1),
                        )
                        for n in range(3)
                    ),
                )
                after.append(got[0])
            assert all(b" 200 " in one for one in before + after)

    asyncio.run(main())
