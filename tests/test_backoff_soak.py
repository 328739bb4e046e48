"""Endpoints that ask for back-offs, leave and start again, under callers.

Two gateways are asked all the time; endpoints turn requests away and ask for
some time, say in answers that they leave while their heartbeats say ready,
fail, answer slowly and start again under new ids, and meanwhile gateways and
the coordinator are restarted.  What arrives at the endpoints is counted there:
nothing comes in a time that was asked for, or from a gateway that was told
that the endpoint leaves, but for what was on its way.

    python -m tests.test_backoff_soak FIRST LAST

plays the seeds from FIRST to LAST.
"""

import asyncio
import collections
import pathlib
import random
import sys
from typing import NamedTuple

import pytest

from rackpost.http1 import message
from rackpost.http1 import server
from tests import crashing_site
from tests import endpoint_soak

# What is on its way may arrive for so long, in seconds, and so many after it.
_ON_ITS_WAY_S = 0.5
_MOST_AFTER = 2
_SECONDS = 12.0
_SECONDS_IN_CI = 5.0


class _Span(NamedTuple):
    """A gateway was told to send nothing, from one time to another.

    `gateway` is one life of it: who starts again knows of nothing.
    """

    life: str
    gateway: bytes
    since: float
    until: float


class _Arrivals:
    """What was asked for, and what came all the same."""

    def __init__(self) -> None:
        self._spans: set[_Span] = set()
        self._came: collections.Counter[_Span] = collections.Counter()
        self.count = 0

    def told(self, span: _Span) -> None:
        self._spans.add(span)

    def arrived(self, life: str, gateway: bytes, now: float) -> list[_Span]:
        """A request has come; the spans in which it was not wanted."""
        self.count += 1
        unwanted = [
            span
            for span in self._spans
            if (span.life, span.gateway) == (life, gateway)
            and span.since + _ON_ITS_WAY_S <= now < span.until
        ]
        self._came.update(unwanted)
        return unwanted

    @property
    def worst(self) -> int:
        return max(self._came.values(), default=0)


class _Moody:
    """An endpoint whose mood changes."""

    def __init__(
        self,
        *,
        endpoint: crashing_site.Endpoint,
        arrivals: _Arrivals,
        rng: random.Random,
        story: list[str],
    ) -> None:
        self.endpoint = endpoint
        self._story = story
        self._arrivals = arrivals
        self._rng = rng
        self._name = endpoint.ident
        self._lives = 0
        self._asks = 0.0
        self._fails = 0.0
        self._slow_s = 0.0
        endpoint.answer = self._answer

    def change(self) -> str:
        """Another mood; what it is, for the story."""
        mood = self._rng.choice(("well", "asks", "asks", "leaves", "anew"))
        self._asks = 0.0
        self._fails = self._rng.choice((0.0, 0.0, 0.2))
        self._slow_s = self._rng.choice((0.0, 0.05, 0.2))
        if mood == "asks":
            self._asks = self._rng.choice((0.3, 1.0, 1.0))
        elif mood == "leaves":
            self.endpoint.extra_headers = [(b"server-leaving", b"1")]
        elif mood == "anew":
            self._lives += 1
            self.endpoint.ident = f"{self._name}-{self._lives}"
            self.endpoint.sequence = 0
            self.endpoint.extra_headers = []
        return f"{self.endpoint.ident} {mood}"

    async def _answer(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        life = self.endpoint.ident
        gateway = message.find(req.headers, endpoint_soak.VIA)
        if gateway is None:
            # A handle is freed; nothing tells by whom.
            await self.endpoint.default_answer(req, responder)
            return
        now = asyncio.get_running_loop().time()
        for span in self._arrivals.arrived(life, gateway, now):
            age_s = now - span.since
            self._story.append(f"unwanted after {age_s:.2f} s: {span}")
        if self._rng.random() < self._asks:
            self._turn_away(responder, life, gateway)
            return
        if self._slow_s:
            await asyncio.sleep(self._slow_s * self._rng.random())
        if self.endpoint.extra_headers and life == self.endpoint.ident:
            self._told(life, gateway, 1e9)
        if self._rng.random() < self._fails:
            responder.send(500, self.endpoint.extra_headers, b"")
            return
        await self.endpoint.default_answer(req, responder)

    def _turn_away(
        self, responder: server.Responder, life: str, gateway: bytes
    ) -> None:
        asked_s = self._rng.choice((0.2, 0.8, 1.5, 3.0))
        self._told(life, gateway, asked_s)
        told = [
            (b"x-not-executed", b"1"),
            (b"retry-after", b"%.2f" % asked_s),
        ]
        responder.send(503, told + self.endpoint.extra_headers, b"")
        if self.endpoint.extra_headers:
            self._told(life, gateway, 1e9)

    def _told(self, life: str, gateway: bytes, for_s: float) -> None:
        now = asyncio.get_running_loop().time()
        self._arrivals.told(_Span(life, gateway, now, now + for_s))


class _Soak(endpoint_soak.Soak):
    """One site under one seed."""

    ask_s = 0.04
    change_s = 0.15
    restarts = 0.06

    def __init__(self, *, site: crashing_site.Site, seed: int) -> None:
        super().__init__(site=site, seed=seed)
        self._arrivals = _Arrivals()
        self._moody = [
            _Moody(
                endpoint=one,
                arrivals=self._arrivals,
                rng=self.rng,
                story=self.story,
            )
            for one in site.endpoints
        ]

    def change(self) -> str:
        return self.rng.choice(self._moody).change()

    def check(self) -> None:
        assert self._arrivals.worst <= _MOST_AFTER, self.story

    def report(self) -> str:
        unwanted = [line for line in self.story if line.startswith("unwanted")]
        return (
            f"{self._arrivals.count} arrivals, at most "
            f"{self._arrivals.worst} unwanted {unwanted}"
        )

    async def restart(self, group: asyncio.TaskGroup, number: int) -> None:
        await self.stop_and_start(number, 0.0)


async def _play(
    root: pathlib.Path, seed: int, seconds: float
) -> endpoint_soak.Soak:
    async with crashing_site.site(root) as site:
        soak = _Soak(site=site, seed=seed)
        await soak.run(seconds)
        return soak


@pytest.mark.parametrize("seed", [1])
def test_nothing_is_sent_that_endpoints_do_not_want(
    tmp_path: pathlib.Path, seed: int
) -> None:
    asyncio.run(_play(tmp_path, seed, _SECONDS_IN_CI))


if __name__ == "__main__":
    endpoint_soak.play_by_hand(
        _play, int(sys.argv[1]), int(sys.argv[2]), _SECONDS
    )
