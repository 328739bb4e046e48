"""Requests and prompt parts that crash endpoints, under restarts and losses.

Guards against repeated crashes and against failures of other requests.
By hand: python -m tests.test_crashing_soak FIRST_SEED LAST_SEED
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
_MAX_CRASHES = 3
# Under a part of prompts one more: one request that comes again looks like the
# cause until another one with the part does.
_MAX_PART_CRASHES = _MAX_CRASHES + 1
_PART_BODY = b"part "
# Further crashes that a loss of all power may cost: one that was not reported
# yet, and one that stood alone.
_MAX_CRASHES_PER_POWER_LOSS = 2
_STEPS = 24
_STEPS_IN_CI = 10


class _Soak:
    """One site under one seed."""

    def __init__(self, *, site: crashing_site.Site, seed: int) -> None:
        self._site = site
        self._rng = random.Random(seed)
        self._allowance = 0
        self._sent = 0
        self.events: list[str] = []

    async def run(self, steps: int) -> None:
        """Lose power several times, with some steps in between."""
        first = True
        left = steps
        while left > 0:
            between = min(left, self._rng.randint(3, 12))
            left -= between
            async with self._site.powered(first=first):
                await self._site.wait_until_all_vote()
                for _ in range(between):
                    await self._step()
            first = False
            self._allowance += _MAX_CRASHES_PER_POWER_LOSS
            for number in self._rng.sample(_CORE, self._rng.randint(0, 2)):
                self._site.lose_disk(number)
                self.events.append(f"disk of {number} lost with all power")

    async def _step(self) -> None:
        random_fraction = self._rng.random()
        if random_fraction < 0.35:
            await self._send_bad()
        elif random_fraction < 0.6:
            await self._send_bad_part()
        elif random_fraction < 0.75:
            await self._restart(self._rng.choice(crashing_site.GATEWAYS))
        elif random_fraction < 0.9:
            # Not the coordinator that receives the heartbeats.
            await self._restart(self._rng.choice(_CORE[:-1]))
        else:
            await self._send_other()
        await self._site.wait_until_known()
        self._check()

    async def _send_bad(self) -> None:
        gateway = self._rng.choice(crashing_site.GATEWAYS)
        body, path = self._rng.choice(list(_BAD.items()))
        self.events.append(f"{body.decode()} at {gateway} {path}")
        await self._site.send(gateway, path, body)

    def _prompt(self, part: str) -> str:
        self._sent += 1
        return f"X-Prompt-Prefix: a0:20,{part}:20,a2:20,{self._sent:x}f:9\r\n"

    async def _send_bad_part(self) -> None:
        gateway = self._rng.choice(crashing_site.GATEWAYS)
        path = self._rng.choice(["/gen/x", "/res/x"])
        prompt = self._prompt(crashing_site.BAD_PART)
        self.events.append(f"bad part at {gateway} {path}")
        body = _PART_BODY + b"%d" % self._sent
        await self._site.send(gateway, path, body, prompt)

    async def _send_other(self) -> None:
        gateway = self._rng.choice(crashing_site.GATEWAYS)
        prompt = self._prompt("a1")
        answer = await self._site.send(gateway, "/gen/x", b"another", prompt)
        assert b" 200 " in answer, self.events

    async def _restart(self, number: int) -> None:
        self.events.append(f"{number} is restarted")
        await self._site.stop(number)
        await self._site.start(number)

    def _check(self) -> None:
        for body in _BAD:
            max_crashes = _MAX_CRASHES + self._allowance
            assert self._site.crashes_by(body) <= max_crashes, self.events
        max_crashes = _MAX_PART_CRASHES + self._allowance
        assert (
            self._site.crashes_by_any(_PART_BODY) <= max_crashes
        ), self.events


async def _play(root: pathlib.Path, seed: int, steps: int) -> None:
    async with crashing_site.site(root, core=_CORE, lost=2) as site:
        await _Soak(site=site, seed=seed).run(steps)


@pytest.mark.parametrize("seed", [1])
def test_few_endpoints_crash_whatever_is_lost(
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
