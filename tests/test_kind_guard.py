"""No kind is served less often than a less urgent one."""

import collections
import random

import pytest

from rackpost.decide import queue_order
from rackpost.decide.waiting import contender
from rackpost.decide.waiting import contention
from rackpost.decide.waiting import decisions
from rackpost.decide.waiting import kind_guard
from rackpost import types
from tests import test_contention_order as contention_tests

_VM = types.VmId("g1")
_RANK = frozenset({decisions.Decision.RANK})
_GUARDED = _RANK | {decisions.Decision.GUARD}
_STEP_S = 0.01
# The first burst is over; what it lost is known, in seconds.
_FROM_S = 5.0


def _outcomes(
    priority: int, served: int, unserved: int
) -> kind_guard.KindOutcomes:
    return kind_guard.KindOutcomes(
        priority=priority, in_time=served, unserved=unserved
    )


def test_owed_is_what_closes_the_gap() -> None:
    """And no more: the share then is that of the less urgent kind."""
    found = {0: _outcomes(0, 30, 10), 1: _outcomes(1, 18, 2)}
    assert kind_guard.owed(found) == {0: 6}
    found[0] = _outcomes(0, 36, 4)
    assert not kind_guard.owed(found)
    # A less urgent kind is owed nothing, whatever its share.
    assert not kind_guard.owed({0: _outcomes(0, 9, 1), 1: _outcomes(1, 0, 20)})
    # The shares of a few requests say nothing.
    assert not kind_guard.owed({0: _outcomes(0, 0, 9), 1: _outcomes(1, 20, 0)})


def test_outcomes_count_at_all_gateways_and_for_some_seconds() -> None:
    """A request that comes back after a refusal is not lost."""
    here, there = kind_guard.KindGuard(), kind_guard.KindGuard()
    for number in range(20):
        here.record(1, kind_guard.Outcome.IN_TIME, 0.1 * number)
    for _ in range(20):
        there.record(0, kind_guard.Outcome.UNSERVED, 2.0)
    assert not here.owed(2.0)
    here.receive(_VM, there.outcomes(2.0), 2.0)
    assert here.owed(2.1) == {0: 20}
    # Ten of them are served here after all.
    here.record(0, kind_guard.Outcome.UNSERVED, 2.1, -10)
    here.record(0, kind_guard.Outcome.LATE, 2.2, 10)
    assert here.owed(2.2) == {0: 10}
    # Reports of gateways that are gone expire, and old outcomes too.
    assert not here.owed(3.4)
    assert not there.outcomes(6.1)


def test_late_requests_are_lifted_only_as_far_as_owed() -> None:
    """Two are owed: the first two late ones, behind those in time."""
    found = contention.ContentionOrder(vm=_VM, decisions=_GUARDED)
    late = [
        contention_tests.request(0, target=0.1, start_by=1.0 + 0.1 * number)
        for number in range(4)
    ]
    in_time = contention_tests.request(0)
    basic = contention_tests.request(1)
    for _ in range(18):
        found.record_admitted(basic, 0.0)
        found.record_admitted(in_time, 0.0)
    for _ in range(2):
        found.record_unserved(in_time, 0.0)
    waiting = [basic, *late, in_time]
    assert found.arrange(waiting, 0.0) == [
        in_time,
        late[0],
        late[1],
        basic,
        late[2],
        late[3],
    ]
    # Others are told that they are lifted.
    report = found.report(waiting, 0.0)
    assert report is not None and report.waiting is not None
    lifted = [item.marks & contender.LIFTED != 0 for item in report.waiting]
    assert lifted == [False, True, True, False, False, False]
    # Without the guard none is.
    found.decisions = _RANK
    assert found.arrange(waiting, 0.0) == [in_time, basic, *late]


def test_gateways_together_lift_as_many_as_are_owed() -> None:
    """Each of two gateways has four late ones; three are owed."""
    orders = [
        contention.ContentionOrder(vm=types.VmId(name), decisions=_GUARDED)
        for name in ("g1", "g2")
    ]
    waiting = [
        [
            contention_tests.request(
                0, target=0.1, start_by=1.0 + 0.4 * number + 0.2 * place
            )
            for number in range(4)
        ]
        for place in range(2)
    ]
    basic, urgent = contention_tests.request(1), contention_tests.request(0)
    for _ in range(20):
        orders[0].record_admitted(basic, 0.0)
        orders[1].record_admitted(urgent, 0.0)
    for _ in range(3):
        orders[1].record_unserved(urgent, 0.0)
    reports = [
        found.report(items, 0.0) for found, items in zip(orders, waiting)
    ]
    for place, found in enumerate(orders):
        report = reports[1 - place]
        assert report is not None
        found.receive(types.VmId(f"g{2 - place}"), report, 0.0)
    lifted = 0
    for found, items in zip(orders, waiting):
        arranged = found.arrange([*items, basic], 0.0)
        lifted += arranged.index(basic)
    assert lifted == 3


class _Pool:
    """A queue by the order alone: one request is served each interval."""

    def __init__(
        self,
        *,
        seed: int,
        rates: dict[int, float],
        chosen: frozenset[decisions.Decision],
        interval_s: float,
    ) -> None:
        self._rng = random.Random(seed)
        self._rates = rates
        self.order = contention.ContentionOrder(vm=_VM, decisions=chosen)
        self._interval_s = interval_s
        self.waiting: list[queue_order.WaitingRequest] = []
        self.served: collections.Counter[int] = collections.Counter()
        self.lost: collections.Counter[int] = collections.Counter()

    def run(self, seconds: float) -> None:
        for step in range(int(seconds / _STEP_S)):
            now = step * _STEP_S
            self._arrive(now)
            self._leave(now)
            if step % round(self._interval_s / _STEP_S) == 0:
                self._serve(now)

    def _arrive(self, now: float) -> None:
        for priority, per_s in self._rates.items():
            # The most urgent kind arrives in one of three seconds.
            if priority == 0 and now % 3.0 >= 1.0:
                continue
            if self._rng.random() < per_s * _STEP_S:
                # More urgent kinds have less time to wait.
                target_s = 0.5 + 2.0 * priority
                item = contention_tests.request(
                    priority,
                    target=now + target_s,
                    start_by=now + 3.0 + priority,
                )
                self.order.record_arrival(item, now)
                self.waiting.append(item)

    def _leave(self, now: float) -> None:
        for item in list(self.waiting):
            if queue_order.is_infeasible(item, now):
                self._remove(item)
                self.lost[item.priority] += now >= _FROM_S
                self.order.record_unserved(item, now)

    def _serve(self, now: float) -> None:
        arranged = self.order.arrange(self.waiting, now)
        if arranged:
            self._check_inversions(arranged, now)
            first = arranged[0]
            self._remove(first)
            self.served[first.priority] += now >= _FROM_S
            self.order.record_admitted(first, now)

    def _remove(self, item: queue_order.WaitingRequest) -> None:
        # By identity: equal requests may wait.
        self.waiting = [one for one in self.waiting if one is not item]

    def _check_inversions(
        self, arranged: list[queue_order.WaitingRequest], now: float
    ) -> None:
        """A less urgent one is ahead only in time, of late ones."""
        for place, item in enumerate(arranged):
            is_late = contender.slack_s(item, now) < 0.0
            for other in arranged[place + 1 :]:
                if other.priority < item.priority:
                    assert not is_late
                    assert contender.slack_s(other, now) < 0.0

    def share(self, priority: int) -> float:
        served = self.served[priority]
        return served / max(1, served + self.lost[priority])


@pytest.mark.parametrize("seed", range(12))
def test_no_kind_is_served_less_often_than_a_less_urgent_one(
    seed: int,
) -> None:
    """Short bursts of the urgent kind beside a steady basic one.

    Its requests are late, and behind all of the basic kind without the guard,
    which knows of a gap once requests are lost.
    """
    rng = random.Random(seed)
    rates = {0: rng.uniform(40.0, 55.0), 2: rng.uniform(10.0, 13.0)}
    pools = [
        _Pool(seed=seed, rates=rates, chosen=chosen, interval_s=0.05)
        for chosen in (_RANK, _GUARDED)
    ]
    for pool in pools:
        pool.run(35.0)
    without, guarded = pools
    assert without.share(0) < without.share(2) - 0.15
    assert guarded.share(0) > guarded.share(2) - 0.05
    # Only as much as needed: the basic kind is served as often.
    assert guarded.share(2) > guarded.share(0) - 0.15
    total = sum(guarded.served.values())
    assert total >= 0.98 * sum(without.served.values())


@pytest.mark.parametrize("seed", range(12))
def test_nobody_starves_in_the_end(seed: int) -> None:
    """After a burst all that can wait are served, whatever the mix."""
    rng = random.Random(seed)
    rates = {level: rng.uniform(1.0, 12.0) for level in range(4)}
    pool = _Pool(seed=seed, rates=rates, chosen=_GUARDED, interval_s=0.05)
    pool.run(6.0)
    left = [
        queue_order.WaitingRequest(
            priority=item.priority,
            target=item.target,
            start_by=1e9,
            deadline=1e9,
            start_s=item.start_s,
            generation_s=item.generation_s,
        )
        for item in pool.waiting
    ]
    pool.waiting = left
    now = 6.0
    for _ in range(len(left)):
        pool._serve(now)
        now += 0.05
    assert not pool.waiting
