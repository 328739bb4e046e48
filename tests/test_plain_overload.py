"""Admission at a plain service under overload.

Guards against a collapse of goodput, during an overload and after it.
"""

import collections
import heapq
import itertools
import math
import random
from typing import NamedTuple

import pytest

from rackpost.decide import admission

_SLOTS = 6
_QUEUE = 24
_WORK_S = 0.075
_TARGET_S = 0.3
_TIMEOUT_S = 3.0
_OVERLOAD_S = 5.0
_AFTER_S = 5.0
_USUAL_RATE = 40.0
_SEEDS = range(8)


class Attempt(NamedTuple):
    """An attempt at a request, and when its first attempt was made."""

    first: float
    at: float

    @property
    def refused_before(self) -> bool:
        return self.at > self.first


class Simulation:
    """Discrete-event simulation of one endpoint."""

    def __init__(self, *, seed: int, rate: float) -> None:
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, str, Attempt]] = []
        self._numbers = itertools.count()
        self._queue: collections.deque[Attempt] = collections.deque()
        self._running = 0
        self.requests = 0
        self.in_time = 0
        self.late = 0
        self.refused = 0
        at = 0.0
        while at < _OVERLOAD_S + _AFTER_S:
            is_over = at >= _OVERLOAD_S
            at += self._rng.expovariate(_USUAL_RATE if is_over else rate)
            self._add(at, "arrive", Attempt(at, at))
            self.requests += 1
        while self._events:
            now, _, action, attempt = heapq.heappop(self._events)
            getattr(self, f"_{action}")(now, attempt)

    def _add(self, at: float, action: str, attempt: Attempt) -> None:
        heapq.heappush(
            self._events, (at, next(self._numbers), action, attempt)
        )

    def _arrive(self, now: float, attempt: Attempt) -> None:
        arrival = admission.Arrival(
            ahead=self._running + len(self._queue),
            slots=_SLOTS,
            work_s=_WORK_S,
            target_s=_TARGET_S,
            remaining_s=_TIMEOUT_S - (now - attempt.first),
            refused_before=attempt.refused_before,
        )
        is_full = len(self._queue) >= _QUEUE
        if not is_full and not admission.should_refuse(arrival):
            self._queue.append(attempt)
            self._serve(now)
        elif attempt.refused_before:
            self.refused += 1
        else:
            delay_s = admission.retry_after_s(arrival, self._rng.random())
            self._add(
                now + delay_s, "arrive", Attempt(attempt.first, now + delay_s)
            )

    def _serve(self, now: float) -> None:
        while self._queue and self._running < _SLOTS:
            self._running += 1
            work_s = self._rng.lognormvariate(math.log(_WORK_S) - 0.1, 0.45)
            self._add(now + work_s, "end", self._queue.popleft())

    def _end(self, now: float, attempt: Attempt) -> None:
        self._running -= 1
        if now - attempt.first <= _TARGET_S:
            self.in_time += 1
        else:
            self.late += 1
        self._serve(now)


def shares(rate: float) -> tuple[float, float]:
    """Return the shares of requests in time, and refused for good."""
    simulations = [Simulation(seed=seed, rate=rate) for seed in _SEEDS]
    requests = sum(one.requests for one in simulations)
    in_time = sum(one.in_time for one in simulations) / requests
    return in_time, sum(one.refused for one in simulations) / requests


@pytest.mark.parametrize(
    ("rate", "in_time", "refused"),
    [(100.0, 0.8, 0.13), (130.0, 0.63, 0.28), (200.0, 0.44, 0.48)],
)
def test_first_attempts_are_in_time_under_overload(
    rate: float, in_time: float, refused: float
) -> None:
    """Serving retries whatever the wait would make most requests late."""
    actual_in_time, actual_refused = shares(rate)
    assert actual_in_time > in_time
    assert actual_refused < refused


def test_no_request_is_refused_for_good_within_capacity() -> None:
    in_time, refused = shares(70.0)
    assert in_time > 0.98
    assert refused < 0.005
