"""What soaks of endpoints share: callers, changes, restarts, their report."""

import abc
import asyncio
import collections
import contextlib
import pathlib
import random
import tempfile
from typing import Awaitable
from typing import Callable

import aiohttp

from tests import crashing_site

CORE = 11
# Tells an endpoint by which life of which gateway a request came.
VIA = b"x-via"
_PATHS = ("/safe/x", "/unsafe/x", "/gen/x", "/res/x")
_BEAT_S = 0.3


class Soak(abc.ABC):
    """One site under one seed.

    Callers ask and something changes after pauses of the means `ask_s` and
    `change_s`, in seconds; that part of the changes `restarts` is a restart.
    """

    ask_s: float
    change_s: float
    restarts: float

    def __init__(self, *, site: crashing_site.Site, seed: int) -> None:
        self.site = site
        self.rng = random.Random(seed)
        self.story: list[str] = []
        self.answers: collections.Counter[bytes] = collections.Counter()
        self.down: set[int] = set()
        self.lives: collections.Counter[int] = collections.Counter()

    @abc.abstractmethod
    def change(self) -> str:
        """Change something at an endpoint; what, for the story."""

    @abc.abstractmethod
    def check(self) -> None:
        """Assert what has to hold at the end."""

    @abc.abstractmethod
    def report(self) -> str:
        """What was seen, in some words."""

    @abc.abstractmethod
    async def restart(self, group: asyncio.TaskGroup, number: int) -> None:
        """Restart a gateway or the coordinator."""

    def started(self, number: int) -> None:
        """A gateway runs."""

    async def run(self, seconds: float) -> None:
        """Play it to its end."""
        loop = asyncio.get_running_loop()
        async with self.site.powered(first=True):
            for number in crashing_site.GATEWAYS:
                self.started(number)
            until = loop.time() + seconds
            async with asyncio.TaskGroup() as group:
                group.create_task(self._beat(until))
                group.create_task(self._change(group, until))
                for gateway in crashing_site.GATEWAYS:
                    group.create_task(self._ask_all(group, gateway, until))
        self.check()
        # It was played: callers were served.
        assert self.answers[b"200"] > 0, self.story

    async def _beat(self, until: float) -> None:
        while asyncio.get_running_loop().time() < until:
            for one in self.site.endpoints:
                # One that comes while the coordinator ends is lost.
                with contextlib.suppress(aiohttp.ClientError):
                    if CORE not in self.down:
                        await self.site.operator.send_heartbeat(CORE, one)
            await asyncio.sleep(_BEAT_S)

    async def _change(self, group: asyncio.TaskGroup, until: float) -> None:
        while asyncio.get_running_loop().time() < until:
            await asyncio.sleep(self.rng.expovariate(1.0 / self.change_s))
            if self.rng.random() < self.restarts:
                number = self.rng.choice([*crashing_site.GATEWAYS, CORE])
                await self.restart(group, number)
            else:
                self.story.append(self.change())

    async def stop_and_start(self, number: int, down_s: float) -> None:
        """End a process, and start it again after a while."""
        self.story.append(f"{number} is restarted")
        self.down.add(number)
        await self.site.stop(number)
        await asyncio.sleep(down_s)
        await self.site.start(number)
        self.lives[number] += 1
        if number != CORE:
            self.started(number)
        self.down.discard(number)

    async def _ask_all(
        self, group: asyncio.TaskGroup, gateway: int, until: float
    ) -> None:
        while asyncio.get_running_loop().time() < until:
            await asyncio.sleep(self.rng.expovariate(1.0 / self.ask_s))
            if gateway not in self.down:
                group.create_task(self._ask(gateway))

    async def _ask(self, gateway: int) -> None:
        path = self.rng.choice(_PATHS)
        life = self.lives[gateway]
        more = f"{VIA.decode()}: {gateway}.{life}\r\n"
        try:
            answer = await self.site.ask(gateway, path, b"body", more)
        except OSError:
            answer = b""
        self.answers[answer[9:12]] += 1


Play = Callable[[pathlib.Path, int, float], Awaitable[Soak]]


def play_by_hand(play: Play, first: int, last: int, seconds: float) -> None:
    """Play the seeds from `first` to `last`, and print what came of each."""
    for seed in range(first, last + 1):
        with tempfile.TemporaryDirectory() as root:
            soak = asyncio.run(_one(play, pathlib.Path(root), seed, seconds))
        told = ", ".join(
            f"{status.decode() or 'cut'}: {count}"
            for status, count in sorted(soak.answers.items())
        )
        print(f"seed {seed}: well; {soak.report()}; {told}", flush=True)


async def _one(
    play: Play, root: pathlib.Path, seed: int, seconds: float
) -> Soak:
    return await play(root, seed, seconds)
