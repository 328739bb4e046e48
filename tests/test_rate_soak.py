"""Random rates, failures and restarts of endpoints under load.

Guards against more requests to an endpoint than its named rate allows.
By hand: python -m tests.test_rate_soak FIRST_SEED LAST_SEED
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

# Requests count from this long after a gateway passed on an answer that names
# a rate, and from this long after an endpoint first named one, in seconds.
_AFTER_ANSWER_S = 0.5
_AFTER_FIRST_NAMED_S = 3.0
_ALLOWED_FACTOR = 1.5
_ALLOWED_MORE = 5
_LOSS = 0.1
_SECONDS = 20.0
_SECONDS_IN_CI = 8.0


class _Arrival(NamedTuple):
    """A request that counts, and the rate named at that time."""

    at: float
    per_s: float


class _RandomRateEndpoint:
    """An endpoint whose rate changes at random."""

    def __init__(
        self, *, endpoint: crashing_site.Endpoint, rng: random.Random
    ) -> None:
        self.endpoint = endpoint
        self._rng = rng
        self._name = endpoint.ident
        self._restarts = 0
        self._per_s: float | None = None
        self._failure_rate = 0.0
        self._slow_s = 0.0
        self._begin_incarnation()
        self.count = 0
        self.worst = -_ALLOWED_MORE * 1.0
        endpoint.answer = self._answer

    def _begin_incarnation(self) -> None:
        self._named_at: float | None = None
        self._first_answer_at: dict[bytes, float] = {}
        self._arrivals: collections.deque[_Arrival] = collections.deque()

    def change(self) -> str:
        """Choose another rate or restart; return it for the log of events."""
        self._failure_rate = self._rng.choice((0.0, 0.0, 0.2))
        self._slow_s = self._rng.choice((0.0, 0.05, 0.2))
        if self._rng.random() < 0.1:
            self._restarts += 1
            self.endpoint.ident = f"{self._name}-{self._restarts}"
            self.endpoint.sequence = 0
            self._begin_incarnation()
            return f"{self.endpoint.ident} restarts"
        self._per_s = self._rng.choice((None, None, 0.0, 1.0, 3.3, 12.0))
        self._named_at = None
        self._first_answer_at.clear()
        self._arrivals.clear()
        self.endpoint.extra_headers = []
        if self._per_s is not None:
            self.endpoint.extra_headers = [
                (b"server-limit", b"%.1f" % self._per_s)
            ]
        return f"{self.endpoint.ident} names {self._per_s}"

    def _count_arrival(self, gateway: bytes, now: float) -> None:
        self.count += 1
        if self._per_s is None or self._named_at is None:
            return
        answered_at = self._first_answer_at.get(gateway)
        if answered_at is None or now < answered_at + _AFTER_ANSWER_S:
            return
        if now < self._named_at + _AFTER_FIRST_NAMED_S:
            return
        window = test_named_rates.WINDOW_S
        self._arrivals.append(_Arrival(now, self._per_s))
        while self._arrivals[0].at <= now - window:
            self._arrivals.popleft()
        allowed = _ALLOWED_FACTOR * window * self._per_s + _ALLOWED_MORE
        self.worst = max(self.worst, len(self._arrivals) - allowed)

    async def _answer(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        incarnation = self.endpoint.ident
        gateway = message.find(req.headers, endpoint_soak.VIA) or b""
        loop = asyncio.get_running_loop()
        self._count_arrival(gateway, loop.time())
        if self._slow_s:
            await asyncio.sleep(self._slow_s * self._rng.random())
        if incarnation == self.endpoint.ident and self._per_s is not None:
            self._first_answer_at.setdefault(gateway, loop.time())
            if self._named_at is None:
                self._named_at = loop.time()
        if self._rng.random() < self._failure_rate:
            responder.send(500, self.endpoint.extra_headers, b"")
            return
        await self.endpoint.default_answer(req, responder)


class _Soak(endpoint_soak.Soak):
    """One site under one seed."""

    request_interval_s = 0.03
    change_interval_s = 1.2
    restart_share = 0.15

    def __init__(self, *, site: crashing_site.Site, seed: int) -> None:
        super().__init__(site=site, seed=seed)
        self._random_endpoints = [
            _RandomRateEndpoint(endpoint=one, rng=self.rng)
            for one in site.endpoints
        ]

    @property
    def _worst(self) -> float:
        return max(one.worst for one in self._random_endpoints)

    def change(self) -> str:
        return self.rng.choice(self._random_endpoints).change()

    def check(self) -> None:
        assert self._worst <= 0, self.events

    def report(self) -> str:
        arrivals = sum(one.count for one in self._random_endpoints)
        return (
            f"{arrivals} arrivals, worst window {self._worst:+.1f} of what "
            "is allowed"
        )

    def started(self, number: int) -> None:
        """Lose some of the datagrams about grants."""
        grants = self.site.gateways[number].site.rate_grants
        send = grants.send

        def lossy(data: bytes, addr: address.Address) -> None:
            if self.rng.random() >= _LOSS:
                send(data, addr)

        grants.send = lossy

    async def restart(self, group: asyncio.TaskGroup, number: int) -> None:
        if number in self.down:
            return
        # Other changes and restarts go on meanwhile.
        down_s = self.rng.choice((0.0, 0.5, 3.0))
        group.create_task(self.stop_and_start(number, down_s))


@pytest.mark.parametrize("seed", [3])
def test_no_endpoint_gets_more_requests_than_its_rate(
    tmp_path: pathlib.Path, seed: int
) -> None:
    asyncio.run(_Soak.play(tmp_path, seed, _SECONDS_IN_CI))


if __name__ == "__main__":
    endpoint_soak.play_by_hand(
        _Soak.play, int(sys.argv[1]), int(sys.argv[2]), _SECONDS
    )
