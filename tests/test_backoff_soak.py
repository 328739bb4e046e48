"""Random back-offs, departures, failures and restarts under load.

Guards against requests sent during a back-off or to a leaving endpoint.
By hand: python -m tests.test_backoff_soak FIRST_SEED LAST_SEED
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

# Requests in flight may arrive for this long, in seconds, and this many after
# it.
_IN_FLIGHT_S = 0.5
_MAX_IN_FLIGHT = 2
_SECONDS = 12.0
_SECONDS_IN_CI = 5.0


class _QuietTime(NamedTuple):
    """A time in which a gateway may send an endpoint nothing.

    `gateway` is one incarnation of it, as a restarted one knows of nothing.
    """

    incarnation: str
    gateway: bytes
    since: float
    until: float


class _Arrivals:
    """Counts the requests that arrive in quiet times."""

    def __init__(self) -> None:
        self._quiet_times: set[_QuietTime] = set()
        self._violations: collections.Counter[_QuietTime] = (
            collections.Counter()
        )
        self.count = 0

    def forbid(self, quiet_time: _QuietTime) -> None:
        self._quiet_times.add(quiet_time)

    def count_arrival(
        self, incarnation: str, gateway: bytes, now: float
    ) -> list[_QuietTime]:
        """Count a request; return the quiet times that it violates."""
        self.count += 1
        violations = [
            quiet_time
            for quiet_time in self._quiet_times
            if (quiet_time.incarnation, quiet_time.gateway)
            == (incarnation, gateway)
            and quiet_time.since + _IN_FLIGHT_S <= now < quiet_time.until
        ]
        self._violations.update(violations)
        return violations

    @property
    def worst(self) -> int:
        return max(self._violations.values(), default=0)


class _RandomEndpoint:
    """An endpoint whose behaviour changes at random."""

    def __init__(
        self,
        *,
        endpoint: crashing_site.Endpoint,
        arrivals: _Arrivals,
        rng: random.Random,
        events: list[str],
    ) -> None:
        self.endpoint = endpoint
        self._events = events
        self._arrivals = arrivals
        self._rng = rng
        self._name = endpoint.ident
        self._restarts = 0
        self._refusal_rate = 0.0
        self._failure_rate = 0.0
        self._slow_s = 0.0
        endpoint.answer = self._answer

    def change(self) -> str:
        """Choose another behaviour; return it for the log of events."""
        behaviour = self._rng.choice(
            ("healthy", "backs off", "backs off", "leaves", "restarts")
        )
        self._refusal_rate = 0.0
        self._failure_rate = self._rng.choice((0.0, 0.0, 0.2))
        self._slow_s = self._rng.choice((0.0, 0.05, 0.2))
        if behaviour == "backs off":
            self._refusal_rate = self._rng.choice((0.3, 1.0, 1.0))
        elif behaviour == "leaves":
            self.endpoint.extra_headers = [(b"server-leaving", b"1")]
        elif behaviour == "restarts":
            self._restarts += 1
            self.endpoint.ident = f"{self._name}-{self._restarts}"
            self.endpoint.sequence = 0
            self.endpoint.extra_headers = []
        return f"{self.endpoint.ident} {behaviour}"

    async def _answer(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        incarnation = self.endpoint.ident
        gateway = message.find(req.headers, endpoint_soak.VIA)
        if gateway is None:
            # A prefill result is freed; the header of the sender is missing.
            await self.endpoint.default_answer(req, responder)
            return
        now = asyncio.get_running_loop().time()
        for quiet_time in self._arrivals.count_arrival(
            incarnation, gateway, now
        ):
            age_s = now - quiet_time.since
            self._events.append(f"unwanted after {age_s:.2f} s: {quiet_time}")
        if self._rng.random() < self._refusal_rate:
            self._refuse(responder, incarnation, gateway)
            return
        if self._slow_s:
            await asyncio.sleep(self._slow_s * self._rng.random())
        if self.endpoint.extra_headers and incarnation == self.endpoint.ident:
            self._forbid(incarnation, gateway, 1e9)
        if self._rng.random() < self._failure_rate:
            responder.send(500, self.endpoint.extra_headers, b"")
            return
        await self.endpoint.default_answer(req, responder)

    def _refuse(
        self, responder: server.Responder, incarnation: str, gateway: bytes
    ) -> None:
        backoff_s = self._rng.choice((0.2, 0.8, 1.5, 3.0))
        self._forbid(incarnation, gateway, backoff_s)
        refusal_headers = [
            (b"x-not-executed", b"1"),
            (b"retry-after", b"%.2f" % backoff_s),
        ]
        responder.send(503, refusal_headers + self.endpoint.extra_headers, b"")
        if self.endpoint.extra_headers:
            self._forbid(incarnation, gateway, 1e9)

    def _forbid(self, incarnation: str, gateway: bytes, for_s: float) -> None:
        now = asyncio.get_running_loop().time()
        self._arrivals.forbid(
            _QuietTime(incarnation, gateway, now, now + for_s)
        )


class _Soak(endpoint_soak.Soak):
    """One site under one seed."""

    request_interval_s = 0.04
    change_interval_s = 0.15
    restart_share = 0.06

    def __init__(self, *, site: crashing_site.Site, seed: int) -> None:
        super().__init__(site=site, seed=seed)
        self._arrivals = _Arrivals()
        self._random_endpoints = [
            _RandomEndpoint(
                endpoint=one,
                arrivals=self._arrivals,
                rng=self.rng,
                events=self.events,
            )
            for one in site.endpoints
        ]

    def change(self) -> str:
        return self.rng.choice(self._random_endpoints).change()

    def check(self) -> None:
        assert self._arrivals.worst <= _MAX_IN_FLIGHT, self.events

    def report(self) -> str:
        violations = [
            line for line in self.events if line.startswith("unwanted")
        ]
        return (
            f"{self._arrivals.count} arrivals, at most "
            f"{self._arrivals.worst} unwanted {violations}"
        )


@pytest.mark.parametrize("seed", [1])
def test_endpoints_get_no_requests_while_they_accept_none(
    tmp_path: pathlib.Path, seed: int
) -> None:
    asyncio.run(_Soak.play(tmp_path, seed, _SECONDS_IN_CI))


if __name__ == "__main__":
    endpoint_soak.play_by_hand(
        _Soak.play, int(sys.argv[1]), int(sys.argv[2]), _SECONDS
    )
