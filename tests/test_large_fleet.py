"""A burst of generations at 68 gateways and 16 endpoints, simulated.

Guards against missed deadlines and excess messages in a large fleet.
"""

import statistics

import pytest

from rackpost.decide import kv_forecast
from rackpost.gateway import load_exchange
from rackpost.testing import fleet
from rackpost.testing import fleet_load
from rackpost.testing import virtual

_SEEDS = (1, 2, 3)


class Mean:
    """The means of the simulation's figures over the seeds."""

    def __init__(self, **spec: float) -> None:
        self._spec = fleet_load.Spec(**spec)  # type: ignore[arg-type]
        self._outcomes = [
            virtual.run(fleet.serve(self._spec, seed)) for seed in _SEEDS
        ]

    def __getattr__(self, name: str) -> float:
        return statistics.mean(getattr(one, name) for one in self._outcomes)

    @property
    def in_time_share(self) -> float:
        """The share of the requests that were answered in time."""
        return self.in_time / self.requests

    @property
    def messages_a_second(self) -> float:
        """Messages a second from one gateway to each other one."""
        return self.messages / self._spec.gateways / self._spec.seconds


@pytest.fixture(scope="module")
def crowd() -> Mean:
    return Mean(report_delay_s=load_exchange.batching_delay_s(68))


def test_a_burst_is_answered_in_time(crowd: Mean) -> None:
    """Memory must be reserved for answers longer than estimated."""
    assert crowd.in_time_share > 0.95
    assert crowd.refused < 1
    # A preempted generation is prefilled again, which stalls others.
    assert crowd.preempted < 4
    assert crowd.wasted < 35_000


def test_memory_is_reserved_for_underestimated_answers(
    crowd: Mean, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(kv_forecast, "_ERROR_MARGIN", 0.0)
    without = Mean(report_delay_s=load_exchange.batching_delay_s(68))
    assert crowd.preempted < 0.7 * without.preempted
    assert crowd.long_pause < 0.7 * without.long_pause


def test_load_reports_are_sent_without_much_delay(crowd: Mean) -> None:
    """Late load reports let two gateways reserve the same capacity."""
    late = Mean(report_delay_s=0.054)
    assert crowd.long_pause < late.long_pause
    # Each gateway has few generations, so that this costs few messages.
    assert crowd.messages_a_second < 3.0


def test_a_burst_at_three_quarters_of_the_endpoints() -> None:
    """Under overload requests are late or refused, but prefills not wasted."""
    found = Mean(decodes=9)
    assert found.in_time_share > 0.75
    assert found.wasted < 90_000
    assert found.preempted < 12


def test_too_many_prefill_endpoints_make_a_burst_late(
    crowd: Mean,
) -> None:
    """Idle prefill endpoints must not leave too little decode memory."""
    found = Mean(prefills=6, decodes=10)
    assert found.in_time_share < crowd.in_time_share - 0.05
