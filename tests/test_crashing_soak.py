"""Requests that end endpoints, while processes end and disks are lost.

Two such requests come again and again, at any gateway; between two returns a
gateway or a coordinator is restarted, or all power goes, with up to two
disks.  However these follow, few endpoints end, and others are served.

    python -m tests.test_crashing_soak FIRST LAST

plays the seeds from FIRST to LAST.
"""

import asyncio
import pathlib
import random
import sys
import tempfile

import pytest

from tests import crashing_site

_CORE = (11, 12, 13, 14, 15)
_BAD = {b"crash run a": "/gen/x", b"crash run b": "/res/x"}
_MOST_CRASHES = 3
# What a loss of all power may cost: the end that was not told yet, and one
# that stood alone.
_COST_POWER = 2
_STEPS = 24
_STEPS_IN_CI = 10


class _Soak:
    """One site under one seed."""

    def __init__(self, *, site: crashing_site.Site, seed: int) -> None:
        self._site = site
        self._rng = random.Random(seed)
        self._cost = 0
        self.story: list[str] = []

    async def run(self, steps: int) -> None:
        """Power goes and comes, with some steps between."""
        first = True
        left = steps
        while left > 0:
            between = min(left, self._rng.randint(3, 12))
            left -= between
            async with self._site.powered(first=first):
                await self._site.all_vote()
                for _ in range(between):
                    await self._step()
            first = False
            self._cost += _COST_POWER
            for number in self._rng.sample(_CORE, self._rng.randint(0, 2)):
                self._site.wipe(number)
                self.story.append(f"disk of {number} lost with all power")

    async def _step(self) -> None:
        chance = self._rng.random()
        if chance < 0.6:
            await self._bad_comes()
        elif chance < 0.75:
            await self._restart(self._rng.choice(crashing_site.GATEWAYS))
        elif chance < 0.9:
            # Not the one that hears the endpoints.
            await self._restart(self._rng.choice(_CORE[:-1]))
        else:
            await self._other_comes()
        await self._site.is_known()
        self._check()

    async def _bad_comes(self) -> None:
        gateway = self._rng.choice(crashing_site.GATEWAYS)
        body, path = self._rng.choice(list(_BAD.items()))
        self.story.append(f"{body.decode()} at {gateway} {path}")
        await self._site.ask(gateway, path, body)

    async def _other_comes(self) -> None:
        gateway = self._rng.choice(crashing_site.GATEWAYS)
        answer = await self._site.ask(gateway, "/gen/x", b"another")
        assert b" 200 " in answer, self.story

    async def _restart(self, number: int) -> None:
        self.story.append(f"{number} is restarted")
        await self._site.stop(number)
        await self._site.start(number)

    def _check(self) -> None:
        for body in _BAD:
            most = _MOST_CRASHES + self._cost
            assert self._site.crashes_by(body) <= most, self.story


async def _play(root: pathlib.Path, seed: int, steps: int) -> None:
    async with crashing_site.site(root, core=_CORE, lost=2) as site:
        await _Soak(site=site, seed=seed).run(steps)


@pytest.mark.parametrize("seed", [1])
def test_few_endpoints_end_whatever_is_lost(
    tmp_path: pathlib.Path, seed: int
) -> None:
    asyncio.run(_play(tmp_path, seed, _STEPS_IN_CI))


def _main(first: int, last: int) -> None:
    for seed in range(first, last + 1):
        with tempfile.TemporaryDirectory() as root:
            asyncio.run(_play(pathlib.Path(root), seed, _STEPS))
        print(f"seed {seed}: well", flush=True)


if __name__ == "__main__":
    _main(int(sys.argv[1]), int(sys.argv[2]))
