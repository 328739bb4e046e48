"""Endpoints that name rates, fail and start again, under callers.

Two gateways are asked all the time, by callers who keep coming; endpoints
name rates that rise, fall, end and come back, answer slowly, fail and start
again under new ids; datagrams between gateways are lost, and gateways and the
coordinator are restarted, also while the other one is away.  What arrives at
the endpoints is counted there, as the users count it.

    python -m tests.test_rate_soak FIRST LAST

plays the seeds from FIRST to LAST.
"""

import asyncio
import collections
import pathlib
import random
import sys
from typing import NamedTuple

import pytest

from rackpost.http1 import address
from rackpost.http1 import message
from rackpost.http1 import server
from tests import crashing_site
from tests import endpoint_soak
from tests import test_named_rates

# A gateway counts so long after it passed on an answer that names a rate, and
# so long after its start, in seconds; an endpoint, after it first named one.
_TOLD_S = 0.5
_IN_TOUCH_S = 3.0
_ALLOWED_X = 1.5
_ALLOWED_MORE = 5
_LOSS = 0.1
_SECONDS = 20.0
_SECONDS_IN_CI = 8.0


class _Arrival(NamedTuple):
    """A request that counts, and the rate that was named then."""

    at: float
    per_s: float


class _Limited:
    """An endpoint whose rate changes."""

    def __init__(
        self, *, endpoint: crashing_site.Endpoint, rng: random.Random
    ) -> None:
        self.endpoint = endpoint
        self._rng = rng
        self._name = endpoint.ident
        self._lives = 0
        self._per_s: float | None = None
        self._fails = 0.0
        self._slow_s = 0.0
        self._begin_life()
        self.count = 0
        self.worst = -_ALLOWED_MORE * 1.0
        endpoint.answer = self._answer

    def _begin_life(self) -> None:
        self._named_at: float | None = None
        self._told: dict[bytes, float] = {}
        self._came: collections.deque[_Arrival] = collections.deque()

    def change(self) -> str:
        """Another rate or another life; which, for the story."""
        self._fails = self._rng.choice((0.0, 0.0, 0.2))
        self._slow_s = self._rng.choice((0.0, 0.05, 0.2))
        if self._rng.random() < 0.1:
            self._lives += 1
            self.endpoint.ident = f"{self._name}-{self._lives}"
            self.endpoint.sequence = 0
            self._begin_life()
            return f"{self.endpoint.ident} anew"
        self._per_s = self._rng.choice((None, None, 0.0, 1.0, 3.3, 12.0))
        self._named_at = None
        self._told.clear()
        self._came.clear()
        self.endpoint.extra_headers = []
        if self._per_s is not None:
            self.endpoint.extra_headers = [
                (b"server-limit", b"%.1f" % self._per_s)
            ]
        return f"{self.endpoint.ident} names {self._per_s}"

    def _arrived(self, gateway: bytes, now: float) -> None:
        self.count += 1
        if self._per_s is None or self._named_at is None:
            return
        told_at = self._told.get(gateway)
        if told_at is None or now < told_at + _TOLD_S:
            return
        if now < self._named_at + _IN_TOUCH_S:
            return
        window = test_named_rates.WINDOW_S
        self._came.append(_Arrival(now, self._per_s))
        while self._came[0].at <= now - window:
            self._came.popleft()
        allowed = _ALLOWED_X * window * self._per_s + _ALLOWED_MORE
        self.worst = max(self.worst, len(self._came) - allowed)

    async def _answer(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        life = self.endpoint.ident
        gateway = message.find(req.headers, endpoint_soak.VIA) or b""
        loop = asyncio.get_running_loop()
        self._arrived(gateway, loop.time())
        if self._slow_s:
            await asyncio.sleep(self._slow_s * self._rng.random())
        if life == self.endpoint.ident and self._per_s is not None:
            self._told.setdefault(gateway, loop.time())
            if self._named_at is None:
                self._named_at = loop.time()
        if self._rng.random() < self._fails:
            responder.send(500, self.endpoint.extra_headers, b"")
            return
        await self.endpoint.default_answer(req, responder)


class _Soak(endpoint_soak.Soak):
    """One site under one seed."""

    ask_s = 0.03
    change_s = 1.2
    restarts = 0.15

    def __init__(self, *, site: crashing_site.Site, seed: int) -> None:
        super().__init__(site=site, seed=seed)
        self._limited = [
            _Limited(endpoint=one, rng=self.rng) for one in site.endpoints
        ]

    @property
    def _worst(self) -> float:
        return max(one.worst for one in self._limited)

    def change(self) -> str:
        return self.rng.choice(self._limited).change()

    def check(self) -> None:
        assert self._worst <= 0, self.story

    def report(self) -> str:
        arrivals = sum(one.count for one in self._limited)
        return (
            f"{arrivals} arrivals, worst window {self._worst:+.1f} of what "
            "is allowed"
        )

    def started(self, number: int) -> None:
        """Some of the datagrams about grants are lost."""
        grants = self.site.gateways[number].site.grants
        send = grants.send

        def lossy(data: bytes, addr: address.Address) -> None:
            if self.rng.random() >= _LOSS:
                send(data, addr)

        grants.send = lossy

    async def restart(self, group: asyncio.TaskGroup, number: int) -> None:
        if number in self.down:
            return
        # Others go on changing, and may be restarted meanwhile.
        down_s = self.rng.choice((0.0, 0.5, 3.0))
        group.create_task(self.stop_and_start(number, down_s))


async def _play(
    root: pathlib.Path, seed: int, seconds: float
) -> endpoint_soak.Soak:
    async with crashing_site.site(root) as site:
        soak = _Soak(site=site, seed=seed)
        await soak.run(seconds)
        return soak


@pytest.mark.parametrize("seed", [3])
def test_no_endpoint_gets_more_than_it_names(
    tmp_path: pathlib.Path, seed: int
) -> None:
    asyncio.run(_play(tmp_path, seed, _SECONDS_IN_CI))


if __name__ == "__main__":
    endpoint_soak.play_by_hand(
        _play, int(sys.argv[1]), int(sys.argv[2]), _SECONDS
    )
