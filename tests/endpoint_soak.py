"""Shared parts of the soak tests: callers, random changes, restarts."""

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
# Header with the gateway, and its incarnation, that got the request.
VIA = b"x-via"
_PATHS = ("/safe/x", "/unsafe/x", "/gen/x", "/res/x")
_HEARTBEAT_S = 0.3
# How much longer than asked a run goes on until enough has happened.
_MAX_MORE_S = 60.0


class Soak(abc.ABC):
    """One site under one seed.

    Requests and changes come after random pauses of the means
    `request_interval_s` and `change_interval_s`; the share `restart_share` of
    the changes are restarts.
    """

    request_interval_s: float
    change_interval_s: float
    restart_share: float

    def __init__(self, *, site: crashing_site.Site, seed: int) -> None:
        self.site = site
        self.rng = random.Random(seed)
        self.events: list[str] = []
        self.answers: collections.Counter[bytes] = collections.Counter()
        self.down: set[int] = set()
        self.incarnations: collections.Counter[int] = collections.Counter()

    @abc.abstractmethod
    def change(self) -> str:
        """Change something at an endpoint; return a description."""

    @abc.abstractmethod
    def check(self) -> None:
        """Assert what has to hold at the end."""

    @abc.abstractmethod
    def report(self) -> str:
        """Return a summary of the run."""

    async def restart(self, group: asyncio.TaskGroup, number: int) -> None:
        """Restart a gateway or the coordinator."""
        await self.stop_and_start(number, 0.0)

    @classmethod
    async def play(
        cls, root: pathlib.Path, seed: int, seconds: float
    ) -> "Soak":
        """Run a site under one seed for some seconds."""
        async with crashing_site.site(root) as site:
            soak = cls(site=site, seed=seed)
            await soak.run(seconds)
            return soak

    def started(self, number: int) -> None:
        """Prepare a gateway that has started."""

    @property
    def has_enough(self) -> bool:
        """Whether enough has happened to be checked; else the run goes on."""
        return True

    def _goes_on(self, until: float) -> bool:
        past_s = asyncio.get_running_loop().time() - until
        return past_s < 0 or (not self.has_enough and past_s < _MAX_MORE_S)

    async def run(self, seconds: float) -> None:
        """Run for some seconds, then check."""
        loop = asyncio.get_running_loop()
        async with self.site.powered(first=True):
            for number in crashing_site.GATEWAYS:
                self.started(number)
            until = loop.time() + seconds
            async with asyncio.TaskGroup() as group:
                group.create_task(self._send_heartbeats(until))
                group.create_task(self._change(group, until))
                for gateway in crashing_site.GATEWAYS:
                    group.create_task(self._send_all(group, gateway, until))
        self.check()
        # Guards against a run in which nothing was served.
        assert self.answers[b"200"] > 0, self.events

    async def _send_heartbeats(self, until: float) -> None:
        while self._goes_on(until):
            for one in self.site.endpoints:
                # A heartbeat to a coordinator that stops is lost.
                with contextlib.suppress(aiohttp.ClientError):
                    if CORE not in self.down:
                        await self.site.operator.send_heartbeat(CORE, one)
            await asyncio.sleep(_HEARTBEAT_S)

    async def _change(self, group: asyncio.TaskGroup, until: float) -> None:
        while self._goes_on(until):
            await asyncio.sleep(
                self.rng.expovariate(1.0 / self.change_interval_s)
            )
            if self.rng.random() < self.restart_share:
                number = self.rng.choice([*crashing_site.GATEWAYS, CORE])
                await self.restart(group, number)
            else:
                self.events.append(self.change())

    async def stop_and_start(self, number: int, down_s: float) -> None:
        """Stop a process, and start it again after a while."""
        self.events.append(f"{number} is restarted")
        self.down.add(number)
        await self.site.stop(number)
        await asyncio.sleep(down_s)
        await self.site.start(number)
        self.incarnations[number] += 1
        if number != CORE:
            self.started(number)
        self.down.discard(number)

    async def _send_all(
        self, group: asyncio.TaskGroup, gateway: int, until: float
    ) -> None:
        while self._goes_on(until):
            await asyncio.sleep(
                self.rng.expovariate(1.0 / self.request_interval_s)
            )
            if gateway not in self.down:
                group.create_task(self._send(gateway))

    async def _send(self, gateway: int) -> None:
        path = self.rng.choice(_PATHS)
        incarnation = self.incarnations[gateway]
        more = f"{VIA.decode()}: {gateway}.{incarnation}\r\n"
        try:
            answer = await self.site.send(gateway, path, b"body", more)
        except OSError:
            answer = b""
        self.answers[answer[9:12]] += 1


Play = Callable[[pathlib.Path, int, float], Awaitable[Soak]]


def play_by_hand(play: Play, first: int, last: int, seconds: float) -> None:
    """Run the seeds from `first` to `last`, and print the results."""
    for seed in range(first, last + 1):
        with tempfile.TemporaryDirectory() as root:
            soak = asyncio.run(_one(play, pathlib.Path(root), seed, seconds))
        answers = ", ".join(
            f"{status.decode() or 'cut'}: {count}"
            for status, count in sorted(soak.answers.items())
        )
        print(f"seed {seed}: well; {soak.report()}; {answers}", flush=True)


async def _one(
    play: Play, root: pathlib.Path, seed: int, seconds: float
) -> Soak:
    return await play(root, seed, seconds)
