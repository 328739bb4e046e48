"""Quotas over all gateways, in virtual time: what is admitted, what is not.

The load is that of a small organisation: 29,000 tokens a second, of which a
generation counts some 15,000, so that a few at once are a second of it.
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
# What a full bucket holds: with the rate it fills a window's limit.
_SIZE = quota_world.TERMS.bound(_QUOTA) - 29_000 * 8.0


def buckets(began: float = -100.0) -> quota_buckets.SharedBuckets:
    """A gateway's; it has run for long, and so nothing is forgotten."""
    found = quota_buckets.SharedBuckets(
        terms=quota_world.TERMS, began=began, limit_of=lambda name: _QUOTA
    )
    return found


def admit(
    found: quota.Quotas, now: float, wanted: int = _STREAM
) -> quota.OverQuota | None:
    """Ask, and send what may pass."""
    refused = found.check(_ORGANISATION, wanted, now)
    if refused is None:
        found.admit(_NORD, wanted, now)
        found.record_sent(_NORD, wanted, now)
    return refused


def most_admitted(found: quota.Quotas, now: float) -> int:
    """How many generations pass at one moment."""
    count = 0
    while admit(found, now) is None:
        count += 1
    return count


def test_what_a_request_counts() -> None:
    assert quota.request_units(_QUOTA, 15_000) == 15_000
    assert quota.request_units(_QUOTA, None) == 200
    by_requests = model.Quota(rate_per_s=10)
    assert quota.request_units(by_requests, 15_000) == 1


def test_no_quota_is_no_limit() -> None:
    free = model.Organisation(name=_NORD, keys=())
    assert buckets().check(free, 10**12, 1.0) is None


def test_a_window_holds_its_limit_and_refusals_say_when_there_is_room() -> (
    None
):
    """Some generations at once, and two a second after them."""
    found = buckets()
    assert most_admitted(found, 0.0) == int(_SIZE / _STREAM)
    refused = admit(found, 0.0)
    assert refused is not None and 0.0 < refused.retry_after_s < 0.6
    assert admit(found, 0.9 * refused.retry_after_s) is not None
    assert admit(found, 1.1 * refused.retry_after_s) is None
    passed = sum(most_admitted(found, at * 0.5) for at in range(2, 17))
    assert 29_000 * 6.0 < passed * _STREAM <= 29_000 * 8.0
    # Left alone it is full again, and never fuller.
    assert most_admitted(found, 60.0) == int(_SIZE / _STREAM)


def test_what_waits_is_kept_for_and_what_never_ran_counts_nothing() -> None:
    found = buckets()
    found.admit(_NORD, int(_SIZE), 0.0)
    # A pool that is short for long: nothing more is admitted meanwhile.
    assert found.check(_ORGANISATION, _STREAM, 30.0) is not None
    found.cancel(_NORD, int(_SIZE), 30.0)
    assert found.check(_ORGANISATION, _STREAM, 30.0) is None
    found.admit(_NORD, int(_SIZE), 30.0)
    found.record_sent(_NORD, int(_SIZE), 30.0)
    assert found.check(_ORGANISATION, _STREAM, 30.0) is not None
    found.record_not_run(_NORD, int(_SIZE), 30.0, 30.1)
    found.cancel(_NORD, int(_SIZE), 30.1)
    assert found.check(_ORGANISATION, _STREAM, 30.1) is None


def test_what_is_larger_than_a_bucket_passes_when_that_is_full() -> None:
    found = buckets()
    large = int(_SIZE) + 50_000
    assert admit(found, 0.0, large) is None
    assert admit(found, 1.0, large) is not None
    assert admit(found, 20.0, large) is None


def test_what_no_window_holds_is_refused_and_costs_nothing() -> None:
    """Else one request would keep its organisation out for months."""
    found = buckets()
    assert admit(found, 0.0, 10**12) is not None
    assert admit(found, 0.0) is None


def test_gateways_that_are_gone_are_forgotten() -> None:
    found = group(3)
    assert found[0].reachable_gateways(0.0) == 3
    found[0].forget(20.0)
    assert found[0].reachable_gateways(20.0) == 1
    # What one says that is heard again is no new spending.
    for second in range(30):
        admit(found[1], 20.0 + second, 14_000)
    tell(found[1], "1", 1, found, 50.0)
    found[0].gateways = 1
    assert admit(found[0], 50.1) is None


def tell(
    sender: quota.Quotas,
    name: str,
    life: int,
    to: list[quota_buckets.SharedBuckets],
    now: float,
) -> None:
    told = sender.next_report(now)
    for other in to:
        if other is not sender:
            other.receive(types.VmId(name), life, told, now)


def group(
    count: int, of: int | None = None, began: float = -100.0
) -> list[quota_buckets.SharedBuckets]:
    """Gateways that have heard each other, of so many in all."""
    found = [buckets(began) for _ in range(count)]
    for at, one in enumerate(found):
        one.gateways = of or count
        tell(one, str(at), 1, found, 0.0)
    return found


def test_gateways_admit_together_what_one_would() -> None:
    """Whichever of them is asked: no part is kept for the others."""
    alone = most_admitted(buckets(), 0.0)
    found = group(21)
    passed = 0
    for number in range(alone + 5):
        one = found[number % 3]
        passed += admit(one, 0.001 * number) is None
        tell(one, str(number % 3), 1, found, 0.001 * number)
    assert passed == alone


def test_halves_that_do_not_hear_each_other_stay_within_the_limit() -> None:
    passed = 0
    for size in (9, 12):
        half = group(size, of=21)
        for at, one in enumerate(half):
            passed += most_admitted(one, 0.0)
            tell(one, str(at), 1, half, 0.0)
    assert passed * _STREAM <= _SIZE


def test_what_waits_at_others_is_kept_for_as_well() -> None:
    found = group(2)
    found[0].admit(_NORD, int(_SIZE), 0.1)
    tell(found[0], "0", 1, found, 0.1)
    assert admit(found[1], 0.2) is not None
    found[0].cancel(_NORD, int(_SIZE), 0.3)
    tell(found[0], "0", 1, found, 0.3)
    assert admit(found[1], 0.4) is None


def test_a_gateway_that_starts_again_learns_what_was_spent() -> None:
    """Also what it had spent itself before, which it has forgotten."""
    found = group(3)
    spent = most_admitted(found[0], 0.0)
    tell(found[0], "0", 1, found, 0.0)
    found[0] = buckets(began=0.5)
    found[0].gateways = 3
    assert most_admitted(found[0], 0.5) <= 1
    tell(found[0], "0", 2, found, 0.5)
    for at in (1, 2):
        tell(found[at], str(at), 1, found, 0.52)
    assert most_admitted(found[0], 0.53) <= 1
    assert most_admitted(found[1], 0.53) <= 1
    # Where nothing was spent it may admit what the others may.
    found = group(3)
    found[0] = buckets(began=0.5)
    found[0].gateways = 3
    tell(found[0], "0", 2, found, 0.5)
    for at in (1, 2):
        tell(found[at], str(at), 1, found, 0.52)
    assert most_admitted(found[0], 0.53) == spent


def test_what_is_told_is_what_changed_and_now_and_then_everything() -> None:
    found = buckets(began=0.0)
    admit(found, 10.0)
    first = found.next_report(10.0)
    assert (first.spent, first.uptime_s) == ({_NORD: _STREAM}, 10)
    assert found.next_report(10.01).spent == {}
    admit(found, 10.02)
    assert found.next_report(10.02).spent == {_NORD: 2 * _STREAM}
    assert not found.next_report(10.03).levels
    assert found.next_report(11.0).spent == {_NORD: 2 * _STREAM}
    # Who has just begun to tell is told everything next.
    admit(found, 11.1)
    assert found.receive(types.VmId("new"), 1, quota.QuotaReport(), 11.1)
    told = found.next_report(11.11)
    assert told.spent == {_NORD: 3 * _STREAM}
    assert int(_SIZE) - _STREAM <= told.levels[_NORD] < _SIZE


def test_halves_that_hear_each_other_again_count_nothing_twice() -> None:
    """What the other had for its own part in a long cut is not a debt."""
    found = group(2)
    for second in range(1, 41):
        for one in found:
            admit(one, float(second), 10_000)
            one.next_report(float(second))
    for at, one in enumerate(found):
        tell(one, str(at), 1, found, 41.0 + at)
    assert all(admit(one, 43.0) is None for one in found)


def test_one_that_was_never_heard_and_is_old_owes_nothing() -> None:
    found = [buckets(), buckets()]
    for one in found:
        one.gateways = 2
    for second in range(40):
        admit(found[0], float(second), 14_000)
    tell(found[0], "0", 1, found, 40.0)
    assert admit(found[1], 40.5) is None


def test_a_word_that_is_lost_is_made_good_by_the_next() -> None:
    found = group(2)
    admit(found[0], 0.1)
    found[0].next_report(0.1)
    admit(found[0], 0.2)
    tell(found[0], "0", 1, found, 0.2)
    assert most_admitted(found[1], 0.2) <= (_SIZE - 2 * _STREAM) / _STREAM


def test_after_a_restart_of_all_no_second_limit_is_spent_at_once() -> None:
    """All had admitted the whole limit, and nobody remembers it."""
    found = group(21, began=0.0)
    passed = 0
    for now in (0.1, 1.0, 2.0, 3.0, 4.0):
        for at, one in enumerate(found):
            passed += most_admitted(one, now)
            tell(one, str(at), 1, found, now)
        # The rate since, and a part of what is not given out.
        assert 29_000 * now - _STREAM <= passed * _STREAM
        assert passed * _STREAM <= 29_000 * now + 10_000


def test_a_window_after_a_restart_of_all_a_burst_passes_again() -> None:
    """Also where it is worth many seconds of the rate."""
    slow = model.Quota(rate_per_s=10, burst=500)
    found = quota_buckets.SharedBuckets(
        terms=quota.QuotaSettings(window_s=8.0),
        began=0.0,
        limit_of=lambda name: slow,
    )
    item = model.Organisation(name=_NORD, keys=(), quota=slow)
    assert found.check(item, 200, 1.0) is not None
    assert found.check(item, 200, 7.9) is not None
    assert found.check(item, 400, 8.1) is None


def test_a_usual_load_goes_on_after_a_restart_of_all() -> None:
    """Where the rate is 1.8 times what is usual nobody is refused."""
    found = buckets(began=0.0)
    for step in range(1, 17):
        assert admit(found, step, 16_000) is None


def test_a_limit_that_is_lowered_holds_within_a_window() -> None:
    """A quarter of the rate: what the bucket holds is cut at once."""
    low = model.Quota(rate_per_s=7_250, burst=7_250, by_tokens=True)
    limits = [_QUOTA]
    found = quota_buckets.SharedBuckets(
        terms=quota_world.TERMS,
        began=-100.0,
        limit_of=lambda name: limits[0],
    )
    admit(found, 0.0)
    limits[0] = low
    item = model.Organisation(name=_NORD, keys=(), quota=low)
    passed = 0
    for step in range(80):
        now = 1.0 + 0.1 * step
        if found.check(item, _STREAM, now) is None:
            found.admit(_NORD, _STREAM, now)
            found.record_sent(_NORD, _STREAM, now)
            passed += _STREAM
    assert passed <= quota_world.TERMS.bound(low)


@pytest.mark.parametrize("fault", ["none", "lossy", "restarts", "cut", "all"])
@pytest.mark.parametrize("gateways", [21, 70])
def test_a_crowd_of_one_organisation_keeps_to_its_limit(
    gateways: int, fault: str
) -> None:
    """Six times what it may ask for, over all gateways, for 20 seconds."""
    for seed in range(3):
        play = quota_ways.Play(way="buckets", gateways=gateways, seed=seed)
        outcome = play.run(load=12.0, fault=fault)
        assert outcome.part <= 1.0
        if fault != "cut":
            assert outcome.passed > 29_000


@pytest.mark.parametrize("fault", ["none", "lossy", "restarts", "all"])
def test_a_usual_load_is_not_refused(fault: str) -> None:
    """A little over half of the rate, by chance in time and gateway."""
    for seed in range(3):
        play = quota_ways.Play(way="buckets", gateways=21, seed=seed)
        outcome = play.run(load=1.1, fault=fault)
        assert outcome.passed > 0.85 * outcome.asked


def test_even_parts_refuse_a_usual_load() -> None:
    """What keeps quotas from being divided: see docs/design/quotas.md."""
    play = quota_ways.Play(way="parts", gateways=21, seed=1)
    outcome = play.run(load=1.1, fault="none")
    assert outcome.passed < 0.85 * outcome.asked


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
def test_one_after_the_other_keeps_to_the_limit_whatever_happens(
    steps: list[tuple[str, int, float]],
) -> None:
    """Each word is on its way before the next request comes."""
    play = quota_ways.Play(way="buckets", gateways=5, seed=1)
    world = play.world
    assert world is not None
    for kind, at, seconds in steps:
        if kind == "ask":
            if world.ask(at, _STREAM):
                world.tell(at)
                world.step(quota_world.TOLD_S)
        elif kind == "tell":
            world.tell(at)
        elif kind == "restart":
            world.restart(at)
        elif kind == "cut":
            world.cut = not world.cut
        world.step(seconds)
    assert world.most_in_a_window() <= quota_world.MOST


def test_what_was_sent_leaves_the_window_and_what_waits_does_not() -> None:
    """Of the windows that buckets are compared with."""
    spent = quota_windows.Spent(window_s=8.0)
    spent.reserve(_NORD, 10)
    assert spent.of(_NORD, 20.0) == 10
    spent.sent(_NORD, 10, 20.0)
    assert spent.of(_NORD, 27.9) == 10
    spent.not_run(_NORD, 10, 20.0)
    assert spent.of(_NORD, 29.0) == 10
    spent.sent(_NORD, 10, 29.0)
    assert spent.recent(36.0) == {_NORD: 10}
    assert spent.recent(37.1) == {}


def test_an_emulated_world_is_the_same_each_time() -> None:
    outcomes = [
        quota_ways.Play(way="figures", gateways=5, seed=2).run(
            load=12.0, fault="all"
        )
        for _ in range(2)
    ]
    assert outcomes[0] == outcomes[1]
