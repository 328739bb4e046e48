"""Failures and rejections of endpoints that gateways report to each other."""

from typing import Callable

from rackpost.decide import endpoint_health
from rackpost import types

_ENDPOINT = types.EndpointId("e")
# Time between two load reports of a gateway during a burst, in seconds.
_REPORT_INTERVAL_S = 0.05


def _last_avoided_at(
    trackers: list[endpoint_health.HealthTracker],
    is_avoided: Callable[[endpoint_health.HealthTracker, float], bool],
) -> float:
    """Let the gateways report to each other; return when it ends."""
    last = 0.0
    for step in range(1, 200):
        now = step * _REPORT_INTERVAL_S
        failed = [item.failed_endpoints(now) for item in trackers]
        full = [item.full_endpoints(now) for item in trackers]
        for number, tracker in enumerate(trackers):
            for other in range(len(trackers)):
                if other == number:
                    continue
                for endpoint in failed[other]:
                    tracker.record_reported_failure(endpoint, now)
                for endpoint in full[other]:
                    tracker.record_reported_full(endpoint, now)
        if any(is_avoided(item, now) for item in trackers):
            last = now
    return last


def test_gateways_do_not_extend_each_others_failures() -> None:
    """Three of 21 gateways had a time-out; reports pass each 50 ms.

    The endpoint was avoided for as long as the burst lasted.
    """
    trackers = [endpoint_health.HealthTracker() for _ in range(21)]
    for tracker in trackers[:3]:
        tracker.record_failure(_ENDPOINT, 0.0)
    ended = _last_avoided_at(
        trackers, lambda item, now: item.is_avoided(_ENDPOINT, now)
    )
    # 0.4 s at the gateways that saw it, and 0.4 s after the last report.
    assert 0.7 <= ended <= 0.8


def test_gateways_do_not_extend_each_others_rejections() -> None:
    """Two gateways were rejected; the endpoint counted as full for good."""
    trackers = [endpoint_health.HealthTracker() for _ in range(21)]
    for tracker in trackers[:2]:
        tracker.record_rejection(_ENDPOINT, 0.0)
    ended = _last_avoided_at(
        trackers, lambda item, now: item.is_full(_ENDPOINT, now)
    )
    assert 0.4 <= ended <= 0.5


def test_an_answer_ends_reported_failures_too() -> None:
    """The endpoint answers here, so that it is used again at once."""
    tracker = endpoint_health.HealthTracker()
    tracker.record_failure(_ENDPOINT, 0.0)
    tracker.record_reported_failure(_ENDPOINT, 0.1)
    tracker.record_answer(_ENDPOINT, 0.05, 0.1)
    assert not tracker.is_avoided(_ENDPOINT, 0.2)
