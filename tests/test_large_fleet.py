"""A crowd at a large fleet: 68 gateways give away sixteen endpoints' memory.

The pattern: callers come together at 2.3 times the usual rate for four
seconds, each with some 5,000 tokens of prompt and 4,400 of answer, whose
length is known in the median only and is half of it off.  Nine such runs
fill an endpoint for three seconds, so that twelve that decode carry 36 a
second at the very most and are asked for 30.  Sizes, paces and spreads are
those of a model of 120 billion parameters, as its operators published them.
"""

import statistics

import pytest

from rackpost.decide import kv_forecast
from rackpost.gateway import load_exchange
from rackpost.testing import fleet
from rackpost.testing import virtual

_SEEDS = (1, 2, 3)


class Mean:
    """The mean of some figures over seeds."""

    def __init__(self, **spec: float) -> None:
        self._spec = fleet.Spec(**spec)  # type: ignore[arg-type]
        self._outcomes = [
            virtual.run(fleet.serve(self._spec, seed)) for seed in _SEEDS
        ]

    def __getattr__(self, name: str) -> float:
        return statistics.mean(getattr(one, name) for one in self._outcomes)

    @property
    def in_time_share(self) -> float:
        """Of those who asked, the part that was answered in time."""
        return self.in_time / self.requests

    @property
    def messages_a_second(self) -> float:
        """Messages that a gateway sends in a second, to each other one."""
        return self.messages / self._spec.gateways / self._spec.seconds


@pytest.fixture(scope="module")
def crowd() -> Mean:
    return Mean(report_delay_s=load_exchange.batching_delay_s(68))


def test_a_crowd_is_answered_in_time(crowd: Mean) -> None:
    """Six in a hundred were late when no room was kept for wrong guesses."""
    assert crowd.in_time_share > 0.95
    assert crowd.refused < 1
    # A run that is preempted is read anew, and its neighbours pause.
    assert crowd.preempted < 4
    assert crowd.wasted < 35_000


def test_room_is_kept_for_guesses_that_are_too_short(
    crowd: Mean, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(kv_forecast, "_CERTAINTY", 0.0)
    without = Mean(report_delay_s=load_exchange.batching_delay_s(68))
    assert crowd.preempted < 0.7 * without.preempted
    assert crowd.long_pause < 0.7 * without.long_pause


def test_figures_are_told_while_they_matter(crowd: Mean) -> None:
    """Gathered for 54 ms, two gateways took the same room too often."""
    late = Mean(report_delay_s=0.054)
    assert crowd.long_pause < late.long_pause
    # Each has few generations, so that this costs few messages.
    assert crowd.messages_a_second < 3.0


def test_a_crowd_onto_three_quarters_of_the_endpoints() -> None:
    """More is asked than they carry: late or refused, not read in vain."""
    found = Mean(decodes=9)
    assert found.in_time_share > 0.75
    assert found.wasted < 90_000
    assert found.preempted < 12


def test_endpoints_that_prefill_at_leisure_are_missed_in_a_crowd(
    crowd: Mean,
) -> None:
    """Six of sixteen prefilled, half idle, while ten ran out of memory."""
    found = Mean(prefills=6, decodes=10)
    assert found.in_time_share < crowd.in_time_share - 0.05
