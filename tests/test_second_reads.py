"""Late reads are sent to a second plain endpoint, within bounds."""

import random

import msgspec
import pytest

from rackpost.decide import features
from rackpost.decide.pace import second_reads
from rackpost.decide import retry_budget
from rackpost.routing import model
from rackpost import types

KIND = types.KindName("lookup")
USUAL_S = 0.02

CALM = second_reads.Situation(
    attempts_left=2, budget_left=10.0, in_flight=0, slots=6, time_left_s=1.0
)


def reads_with_history(
    *, phase: float = 0.0, reads: int = 100
) -> second_reads.SecondReads:
    """Return reads whose answers took 20 ms, one in 25 of them 60 ms."""
    found = second_reads.SecondReads(phase=phase)
    for number in range(reads):
        found.record_read()
        took_s = 3 * USUAL_S if number % 25 == 24 else USUAL_S
        found.record_answer(KIND, took_s)
    return found


def test_a_read_is_late_after_the_95th_percentile_of_its_kind() -> None:
    found = reads_with_history()
    assert found.late_after_s(KIND) == USUAL_S
    assert found.late_after_s(types.KindName("other")) is None


def test_few_answers_do_not_tell_which_reads_are_late() -> None:
    found = reads_with_history(reads=7)
    assert found.late_after_s(KIND) is None


@pytest.mark.parametrize(
    "change",
    [
        {"attempts_left": 1},
        {"budget_left": 1.9},
        # An overloaded service: the second endpoint has no free slot.
        {"in_flight": 6},
        {"time_left_s": 0.01},
    ],
)
def test_no_second_read_is_sent_where_it_does_harm(
    change: dict[str, float],
) -> None:
    found = reads_with_history()
    assert found.may_send(KIND, CALM, 0.0)
    situation = msgspec.structs.replace(CALM, **change)
    assert not found.may_send(KIND, situation, 0.0)


def test_the_budget_keeps_what_failures_need() -> None:
    found = reads_with_history()
    situation = msgspec.structs.replace(CALM, budget_left=4.0)
    assert found.may_send(KIND, situation, 0.0)
    for _ in range(8):
        found.record_failure_retry(0.0)
    assert not found.may_send(KIND, situation, 0.0)
    # The failures have ended.
    assert found.may_send(KIND, situation, 10.1)


def test_at_most_five_in_a_hundred_reads_are_sent_twice() -> None:
    """Over many gateways with few reads each, and all of them late."""
    rng = random.Random(1)
    gateways = [
        second_reads.SecondReads(phase=rng.random()) for _ in range(200)
    ]
    sent = 0
    for _ in range(30):
        for gateway in gateways:
            gateway.record_read()
            if gateway.may_send(KIND, CALM, 0.0):
                gateway.record_second()
                sent += 1
    assert 0.04 < sent / 6000 <= 0.055


def test_second_reads_are_not_saved_up_without_bound() -> None:
    found = reads_with_history(reads=1000)
    sent = 0
    while found.may_send(KIND, CALM, 0.0):
        found.record_second()
        sent += 1
    assert sent <= 3


class _Service:
    """Reads at two endpoints in virtual time; one of them is uneven."""

    def __init__(
        self, *, has_second: bool, lost: float, slow: float, spell: int
    ) -> None:
        self._rng = random.Random(7)
        self._spell = spell
        self._has_second = has_second
        self._lost = lost
        self._slow = slow
        self._reads = second_reads.SecondReads(phase=0.5)
        self._budget = retry_budget.RetryBudget(
            ratio=0.2, slack=10, window_s=10
        )
        self.sent = 0

    def _took_s(self, *, uneven: bool) -> float:
        took_s = USUAL_S * self._rng.uniform(0.8, 1.2)
        if uneven and self._rng.random() < self._lost:
            return 1.0
        return took_s * (self._slow if uneven else 1.0)

    def read(self, number: int, now: float) -> float:
        """Return how long a read takes, with its second one."""
        self._reads.record_read()
        self._budget.record_request(now)
        # Spells of some reads in a hundred, half of them at one endpoint.
        uneven = number % 2 == 0 and number % 100 < self._spell
        first_s = self._took_s(uneven=uneven)
        late_s = self._reads.late_after_s(KIND)
        if late_s is None or first_s <= late_s or not self._has_second:
            self._reads.record_answer(KIND, first_s)
            return first_s
        at = now + late_s
        left = self._budget.remaining(at, 1)
        situation = msgspec.structs.replace(CALM, budget_left=left)
        if not self._reads.may_send(KIND, situation, at):
            self._reads.record_answer(KIND, first_s)
            return first_s
        self.sent += 1
        self._reads.record_second()
        self._budget.record_retry(at)
        took_s = min(first_s, late_s + self._took_s(uneven=not uneven))
        self._reads.record_answer(KIND, took_s)
        return took_s


def _late(
    *, has_second: bool, lost: float = 0.0, slow: float = 1.0, spell: int
) -> int:
    """Return how many of 1000 reads take over 100 ms."""
    service = _Service(
        has_second=has_second, lost=lost, slow=slow, spell=spell
    )
    late = sum(
        service.read(number, 0.1 * number) > 0.1 for number in range(1000)
    )
    assert service.sent <= 0.05 * 1000 + 1
    return late


def test_a_grey_endpoint_that_loses_answers_delays_fewer_reads() -> None:
    """One of two endpoints loses one answer in twenty."""
    without = _late(has_second=False, lost=0.05, spell=100)
    assert without >= 15
    assert _late(has_second=True, lost=0.05, spell=100) <= 0.4 * without


def test_a_slow_endpoint_delays_fewer_reads_within_the_bound() -> None:
    """One of two endpoints takes six times as long, in spells."""
    without = _late(has_second=False, slow=6.0, spell=6)
    assert without >= 20
    assert _late(has_second=True, slow=6.0, spell=6) <= 0.6 * without


def test_second_reads_are_on_where_model_endpoints_count_as_uneven() -> None:
    plain = model.Service(name=types.ServiceName("app"), max_connections=9)
    engine = model.Engine(
        slots=8, memory_tokens=1000, event_tokens=4, handle_ttl_s=0.5
    )
    llm = model.Service(
        name=types.ServiceName("llm"), max_connections=9, engine=engine
    )
    paced = {llm.name: frozenset((features.Feature.ENDPOINT_PACE,))}
    found = features.features_of_plain(paced, [plain, llm])
    assert found == {plain.name: {features.Feature.SECOND_READS}}
    other = {llm.name: frozenset((features.Feature.CONTENTION_ORDER,))}
    assert not features.features_of_plain(other, [plain, llm])
