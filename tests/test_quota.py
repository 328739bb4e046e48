"""Quotas over all gateways, in virtual time.

The quota is 29,000 tokens a second, and a generation counts some 15,000.
"""

import hypothesis
from hypothesis import strategies
import pytest

from lab import quota_ways
from lab import quota_windows
from rackpost.decide import quota
from rackpost.decide import quota_buckets
from rackpost.routing import model
from rackpost.testing import quota_world
from rackpost import types

_NORD = quota_world.ORGANISATION
_QUOTA = quota_world.QUOTA
_ORGANISATION = model.Organisation(name=_NORD, keys=(), quota=_QUOTA)
_STREAM = 15_000
# Units in a full bucket.
_SIZE = quota_world.TERMS.bound(_QUOTA) - 29_000 * 8.0


def new_buckets(began: float = -100.0) -> quota_buckets.SharedBuckets:
    """Return the buckets of a gateway that has run for long."""
    quotas = quota_buckets.SharedBuckets(
        settings=quota_world.TERMS,
        started_at=began,
        limit_of=lambda name: _QUOTA,
    )
    return quotas


def admit_and_send(
    quotas: quota.Quotas, now: float, wanted: int = _STREAM
) -> quota.OverQuota | None:
    """Check a request, and admit and send it if it is within the quota."""
    over = quotas.check(_ORGANISATION, wanted, now)
    if over is None:
        quotas.admit(_NORD, wanted, now)
        quotas.record_sent(_NORD, wanted, now)
    return over


def count_admitted(quotas: quota.Quotas, now: float) -> int:
    """Return how many generations are admitted at once."""
    count = 0
    while admit_and_send(quotas, now) is None:
        count += 1
    return count


def test_units_of_a_request() -> None:
    assert quota.request_units(_QUOTA, 15_000) == 15_000
    assert quota.request_units(_QUOTA, None) == 200
    by_requests = model.Quota(rate_per_s=10)
    assert quota.request_units(by_requests, 15_000) == 1


def test_no_quota_is_no_limit() -> None:
    free = model.Organisation(name=_NORD, keys=())
    assert new_buckets().check(free, 10**12, 1.0) is None


def test_a_window_keeps_its_limit_and_refusals_give_a_retry_time() -> None:
    """Some generations are admitted at once, then two a second."""
    quotas = new_buckets()
    assert count_admitted(quotas, 0.0) == int(_SIZE / _STREAM)
    over = admit_and_send(quotas, 0.0)
    assert over is not None and 0.0 < over.retry_after_s < 0.6
    assert admit_and_send(quotas, 0.9 * over.retry_after_s) is not None
    assert admit_and_send(quotas, 1.1 * over.retry_after_s) is None
    admitted = sum(count_admitted(quotas, at * 0.5) for at in range(2, 17))
    assert 29_000 * 6.0 < admitted * _STREAM <= 29_000 * 8.0
    # Unused, the bucket fills up to its size.
    assert count_admitted(quotas, 60.0) == int(_SIZE / _STREAM)


def test_waiting_requests_keep_units_and_cancelled_ones_return_them() -> None:
    quotas = new_buckets()
    quotas.admit(_NORD, int(_SIZE), 0.0)
    # The units stay reserved however long the requests wait.
    assert quotas.check(_ORGANISATION, _STREAM, 30.0) is not None
    quotas.cancel(_NORD, int(_SIZE), 30.0)
    assert quotas.check(_ORGANISATION, _STREAM, 30.0) is None
    quotas.admit(_NORD, int(_SIZE), 30.0)
    quotas.record_sent(_NORD, int(_SIZE), 30.0)
    assert quotas.check(_ORGANISATION, _STREAM, 30.0) is not None
    quotas.record_not_run(_NORD, int(_SIZE), 30.0, 30.1)
    quotas.cancel(_NORD, int(_SIZE), 30.1)
    assert quotas.check(_ORGANISATION, _STREAM, 30.1) is None


def test_a_request_larger_than_the_bucket_needs_a_full_one() -> None:
    quotas = new_buckets()
    large = int(_SIZE) + 50_000
    assert admit_and_send(quotas, 0.0, large) is None
    assert admit_and_send(quotas, 1.0, large) is not None
    assert admit_and_send(quotas, 20.0, large) is None


def test_a_request_larger_than_any_window_is_refused_at_no_cost() -> None:
    """Else one request would exhaust the quota for months."""
    quotas = new_buckets()
    assert admit_and_send(quotas, 0.0, 10**12) is not None
    assert admit_and_send(quotas, 0.0) is None


def test_gateways_that_are_gone_are_dropped() -> None:
    quotas = new_group(3)
    assert quotas[0].reachable_gateways(0.0) == 3
    quotas[0].forget(20.0)
    assert quotas[0].reachable_gateways(20.0) == 1
    # Spending in the meantime is not subtracted afterwards.
    for second in range(30):
        admit_and_send(quotas[1], 20.0 + second, 14_000)
    send_report(quotas[1], "1", 1, quotas, 50.0)
    quotas[0].gateways = 1
    assert admit_and_send(quotas[0], 50.1) is None


def send_report(
    sender: quota.Quotas,
    name: str,
    incarnation: int,
    to: list[quota_buckets.SharedBuckets],
    now: float,
) -> None:
    report = sender.next_report(now)
    for other in to:
        if other is not sender:
            other.receive(types.VmId(name), incarnation, report, now)


def new_group(
    count: int, of: int | None = None, began: float = -100.0
) -> list[quota_buckets.SharedBuckets]:
    """Return `count` gateways, of `of` in all, that reach each other."""
    quotas = [new_buckets(began) for _ in range(count)]
    for at, gateway in enumerate(quotas):
        gateway.gateways = of or count
        send_report(gateway, str(at), 1, quotas, 0.0)
    return quotas


def test_gateways_together_admit_as_much_as_one() -> None:
    """The quota is not divided between the gateways."""
    alone = count_admitted(new_buckets(), 0.0)
    quotas = new_group(21)
    admitted = 0
    for number in range(alone + 5):
        gateway = quotas[number % 3]
        admitted += admit_and_send(gateway, 0.001 * number) is None
        send_report(gateway, str(number % 3), 1, quotas, 0.001 * number)
    assert admitted == alone


def test_both_sides_of_a_partition_stay_within_the_limit() -> None:
    admitted = 0
    for size in (9, 12):
        half = new_group(size, of=21)
        for at, gateway in enumerate(half):
            admitted += count_admitted(gateway, 0.0)
            send_report(gateway, str(at), 1, half, 0.0)
    assert admitted * _STREAM <= _SIZE


def test_requests_waiting_at_other_gateways_keep_units() -> None:
    quotas = new_group(2)
    quotas[0].admit(_NORD, int(_SIZE), 0.1)
    send_report(quotas[0], "0", 1, quotas, 0.1)
    assert admit_and_send(quotas[1], 0.2) is not None
    quotas[0].cancel(_NORD, int(_SIZE), 0.3)
    send_report(quotas[0], "0", 1, quotas, 0.3)
    assert admit_and_send(quotas[1], 0.4) is None


def test_a_restarted_gateway_learns_what_was_spent() -> None:
    """This includes its own spending before the restart."""
    quotas = new_group(3)
    spent = count_admitted(quotas[0], 0.0)
    send_report(quotas[0], "0", 1, quotas, 0.0)
    quotas[0] = new_buckets(began=0.5)
    quotas[0].gateways = 3
    assert count_admitted(quotas[0], 0.5) <= 1
    send_report(quotas[0], "0", 2, quotas, 0.5)
    for at in (1, 2):
        send_report(quotas[at], str(at), 1, quotas, 0.52)
    assert count_admitted(quotas[0], 0.53) <= 1
    assert count_admitted(quotas[1], 0.53) <= 1
    # Without spending it may admit as much as the others.
    quotas = new_group(3)
    quotas[0] = new_buckets(began=0.5)
    quotas[0].gateways = 3
    send_report(quotas[0], "0", 2, quotas, 0.5)
    for at in (1, 2):
        send_report(quotas[at], str(at), 1, quotas, 0.52)
    assert count_admitted(quotas[0], 0.53) == spent


def test_reports_have_changes_and_periodically_everything() -> None:
    quotas = new_buckets(began=0.0)
    admit_and_send(quotas, 10.0)
    first = quotas.next_report(10.0)
    assert (first.spent, first.uptime_s) == ({_NORD: _STREAM}, 10)
    assert quotas.next_report(10.01).spent == {}
    admit_and_send(quotas, 10.02)
    assert quotas.next_report(10.02).spent == {_NORD: 2 * _STREAM}
    assert not quotas.next_report(10.03).levels
    assert quotas.next_report(11.0).spent == {_NORD: 2 * _STREAM}
    # After the first report of a gateway the next one is complete.
    admit_and_send(quotas, 11.1)
    assert quotas.receive(types.VmId("new"), 1, quota.QuotaReport(), 11.1)
    report = quotas.next_report(11.11)
    assert report.spent == {_NORD: 3 * _STREAM}
    assert int(_SIZE) - _STREAM <= report.levels[_NORD] < _SIZE


def test_spending_during_a_partition_is_not_a_debt_afterwards() -> None:
    """Each side of a partition spends its own share."""
    quotas = new_group(2)
    for second in range(1, 41):
        for gateway in quotas:
            admit_and_send(gateway, float(second), 10_000)
            gateway.next_report(float(second))
    for at, gateway in enumerate(quotas):
        send_report(gateway, str(at), 1, quotas, 41.0 + at)
    assert all(admit_and_send(gateway, 43.0) is None for gateway in quotas)


def test_earlier_spending_of_an_unknown_gateway_is_not_subtracted() -> None:
    quotas = [new_buckets(), new_buckets()]
    for gateway in quotas:
        gateway.gateways = 2
    for second in range(40):
        admit_and_send(quotas[0], float(second), 14_000)
    send_report(quotas[0], "0", 1, quotas, 40.0)
    assert admit_and_send(quotas[1], 40.5) is None


def test_a_lost_report_is_made_up_by_the_next() -> None:
    quotas = new_group(2)
    admit_and_send(quotas[0], 0.1)
    quotas[0].next_report(0.1)
    admit_and_send(quotas[0], 0.2)
    send_report(quotas[0], "0", 1, quotas, 0.2)
    assert count_admitted(quotas[1], 0.2) <= (_SIZE - 2 * _STREAM) / _STREAM


def test_a_restart_of_all_gateways_does_not_refill_the_buckets() -> None:
    """All gateways forget what they spent before."""
    quotas = new_group(21, began=0.0)
    admitted = 0
    for now in (0.1, 1.0, 2.0, 3.0, 4.0):
        for at, gateway in enumerate(quotas):
            admitted += count_admitted(gateway, now)
            send_report(gateway, str(at), 1, quotas, now)
        # The rate since the start, and a share of the reserve.
        assert 29_000 * now - _STREAM <= admitted * _STREAM
        assert admitted * _STREAM <= 29_000 * now + 10_000


def test_a_burst_is_admitted_one_window_after_a_restart_of_all() -> None:
    """Even if the burst is worth many seconds of the rate."""
    slow = model.Quota(rate_per_s=10, burst=500)
    quotas = quota_buckets.SharedBuckets(
        settings=quota.QuotaSettings(window_s=8.0),
        started_at=0.0,
        limit_of=lambda name: slow,
    )
    item = model.Organisation(name=_NORD, keys=(), quota=slow)
    assert quotas.check(item, 200, 1.0) is not None
    assert quotas.check(item, 200, 7.9) is not None
    assert quotas.check(item, 400, 8.1) is None


def test_usual_load_is_admitted_after_a_restart_of_all() -> None:
    """At 1.8 times the usual rate no request is refused."""
    quotas = new_buckets(began=0.0)
    for step in range(1, 17):
        assert admit_and_send(quotas, step, 16_000) is None


def test_a_limit_that_is_lowered_holds_within_a_window() -> None:
    """The level of the bucket is cut at once."""
    low = model.Quota(rate_per_s=7_250, burst=7_250, by_tokens=True)
    limits = [_QUOTA]
    quotas = quota_buckets.SharedBuckets(
        settings=quota_world.TERMS,
        started_at=-100.0,
        limit_of=lambda name: limits[0],
    )
    admit_and_send(quotas, 0.0)
    limits[0] = low
    item = model.Organisation(name=_NORD, keys=(), quota=low)
    admitted = 0
    for step in range(80):
        now = 1.0 + 0.1 * step
        if quotas.check(item, _STREAM, now) is None:
            quotas.admit(_NORD, _STREAM, now)
            quotas.record_sent(_NORD, _STREAM, now)
            admitted += _STREAM
    assert admitted <= quota_world.TERMS.bound(low)


@pytest.mark.parametrize("fault", ["none", "lossy", "restarts", "cut", "all"])
@pytest.mark.parametrize("gateways", [21, 70])
def test_one_organisation_stays_within_its_limit_under_overload(
    gateways: int, fault: str
) -> None:
    """Six times its quota, over all gateways, for 20 seconds."""
    for seed in range(3):
        play = quota_ways.Simulation(
            policy="buckets", gateways=gateways, seed=seed
        )
        outcome = play.run(load=12.0, fault=fault)
        assert outcome.promise_fraction <= 1.0
        if fault != "cut":
            assert outcome.admitted > 29_000


@pytest.mark.parametrize("fault", ["none", "lossy", "restarts", "all"])
def test_usual_load_is_admitted(fault: str) -> None:
    """A little over half of the rate, at random times and gateways."""
    for seed in range(3):
        play = quota_ways.Simulation(policy="buckets", gateways=21, seed=seed)
        outcome = play.run(load=1.1, fault=fault)
        assert outcome.admitted > 0.85 * outcome.requested


def test_equal_shares_refuse_usual_load() -> None:
    """The reason not to divide quotas: see docs/design/quotas.md."""
    play = quota_ways.Simulation(policy="parts", gateways=21, seed=1)
    outcome = play.run(load=1.1, fault="none")
    assert outcome.admitted < 0.85 * outcome.requested


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["ask", "tell", "restart", "cut", "wait"]),
            strategies.integers(0, 4),
            strategies.sampled_from([0.002, 0.02, 0.5, 2.0]),
        ),
        max_size=80,
    )
)
def test_requests_one_at_a_time_stay_within_the_limit(
    steps: list[tuple[str, int, float]],
) -> None:
    """Each report arrives before the next request."""
    play = quota_ways.Simulation(policy="buckets", gateways=5, seed=1)
    world = play.world
    assert world is not None
    for kind, at, seconds in steps:
        if kind == "ask":
            if world.submit(at, _STREAM):
                world.publish(at)
                world.step(quota_world.REPORT_DELAY_S)
        elif kind == "tell":
            world.publish(at)
        elif kind == "restart":
            world.restart(at)
        elif kind == "cut":
            world.cut = not world.cut
        world.step(seconds)
    assert world.max_units_in_window() <= quota_world.MAX_UNITS_PER_WINDOW


def test_sent_units_leave_the_window_and_waiting_ones_do_not() -> None:
    """For the windows that buckets are compared with."""
    spent = quota_windows.WindowUsage(window_s=8.0)
    spent.reserve(_NORD, 10)
    assert spent.of(_NORD, 20.0) == 10
    spent.sent(_NORD, 10, 20.0)
    assert spent.of(_NORD, 27.9) == 10
    spent.not_run(_NORD, 10, 20.0)
    assert spent.of(_NORD, 29.0) == 10
    spent.sent(_NORD, 10, 29.0)
    assert spent.recent(36.0) == {_NORD: 10}
    assert spent.recent(37.1) == {}


def test_the_simulation_is_deterministic() -> None:
    outcomes = [
        quota_ways.Simulation(policy="figures", gateways=5, seed=2).run(
            load=12.0, fault="all"
        )
        for _ in range(2)
    ]
    assert outcomes[0] == outcomes[1]
