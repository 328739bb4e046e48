"""Roles change on first evidence, for the peaks of the demand."""

import math

import msgspec

from rackpost.decide import role_balance
from rackpost.decide import role_demand
from rackpost.decide import role_plan
from rackpost.routing import endpoints
from rackpost import types
from tests import role_pools

PREFILL, DECODE = types.Role.PREFILL, types.Role.DECODE
_LOADS = role_pools.LOADS_BY_NAME
_SEEDS = range(6)


def _work(
    requests: int = 4,
    *,
    prefill_s: float = 0.4,
    decode_s: float = 2.0,
    oldest_s: float = 2.0,
    token_s: float = 0.001,
) -> role_demand.RecentWork:
    """Return work that takes this many endpoint-seconds of each role."""
    return role_demand.RecentWork(
        requests=requests,
        prompt_tokens=int(prefill_s * 1000),
        decode_tokens=decode_s * 100,
        oldest_s=oldest_s,
        prefill_token_s=token_s,
        decode_token_s=10 * token_s,
    )


def _record(
    planner: role_plan.RolePlanner, now: float, *works: role_demand.RecentWork
) -> None:
    planner.history.record(
        now, [role_demand.WorkReport(now, item) for item in works]
    )


def _pools(prefill: int, decode: int) -> role_balance.Pools:
    return role_balance.Pools(prefill=prefill, decode=decode)


def _plan_until(
    planner: role_plan.RolePlanner,
    pools: role_balance.Pools,
    *works: role_demand.RecentWork,
    start: float = 0.0,
    changing: tuple[types.Role, ...] = (),
) -> tuple[float, role_plan.Plan] | None:
    """Return the first plan within 20 s of the same work, and its time."""
    for tick in range(40):
        now = start + 0.5 * tick
        _record(planner, now, *works)
        found = planner.plan(now, pools, changing)
        if found is not None:
            return now - start, found
    return None


# Demand of 2 endpoints of prefill and 9 of decode.
_LONG_ANSWERS = (_work(20, prefill_s=2.0, decode_s=9.0),) * 2
# Demand of 8 endpoints of prefill and 3 of decode.
_LONG_PROMPTS = (_work(20, prefill_s=8.0, decode_s=3.0),) * 2


def test_the_first_order_follows_the_first_seconds_of_traffic() -> None:
    """Waves and bursts; the mean of 6 s takes more than 4 s."""
    load = _LOADS["wave and bursts"]
    for seed in _SEEDS:
        planned = role_pools.play(load, role_pools.PlannedWay(), seed=seed)
        standing = role_pools.play(load, role_pools.StandingWay(), seed=seed)
        assert planned.first_at <= 2.5
        assert standing.first_at >= 4.0


def test_fewer_requests_are_late_in_bursts() -> None:
    """Bursts of 1.8 to 2.2 times the demand, over all seeds."""
    load = _LOADS["bursts"]
    late = {
        way: sum(
            role_pools.play(load, way(), seed=seed).late for seed in _SEEDS
        )
        for way in (role_pools.PlannedWay, role_pools.StandingWay)
    }
    assert late[role_pools.PlannedWay] < late[role_pools.StandingWay]


def test_waves_do_not_make_roles_go_back_and_forth() -> None:
    for name in ("steady", "wave"):
        for seed in _SEEDS:
            found = role_pools.play(
                _LOADS[name], role_pools.PlannedWay(), seed=seed
            )
            assert found.reversals == 0
            assert found.orders <= 4


def test_an_idle_service_is_left_alone() -> None:
    for seed in _SEEDS:
        found = role_pools.play(
            _LOADS["idle"], role_pools.PlannedWay(), seed=seed
        )
        assert found.orders == 0


def test_a_lasting_shift_of_the_mix_is_followed_once() -> None:
    """Long answers, from 12 s on long prompts."""
    for seed in _SEEDS:
        found = role_pools.play(
            _LOADS["mix shifts for good"], role_pools.PlannedWay(), seed=seed
        )
        assert found.reversals == 1
        assert found.orders <= 8


def test_a_large_gap_is_closed_by_several_changes_at_once() -> None:
    found = _plan_until(role_plan.RolePlanner(), _pools(7, 12), *_LONG_ANSWERS)
    assert found is not None
    at, plan = found
    assert at == 0.5
    assert (plan.role, plan.changes) == (DECODE, 2)
    assert plan.planned_utilisation < plan.utilisation == 0.75


def test_a_burst_that_was_seen_still_fits_the_giving_pool() -> None:
    """The giving pool has its endpoints only until the change begins."""
    for prefill in range(2, 40):
        for work in range(1, 40):
            planner = role_plan.RolePlanner()
            works = (_work(20, prefill_s=work / 4, decode_s=9.0),) * 2
            pools = _pools(prefill, 10)
            found = _plan_until(planner, pools, *works)
            if found is None or found[1].role is not DECODE:
                continue
            left = prefill - found[1].changes
            assert left >= prefill / 2
            demand = planner.history.peak
            donor, _ = role_balance.utilisations(
                _pools(left, 10), demand.prefill, demand.decode
            )
            busiest = found[1].utilisation
            assert donor < max(0.9, busiest)


def test_no_more_than_a_fifth_change_at_a_time() -> None:
    found = _plan_until(
        role_plan.RolePlanner(),
        _pools(11, 9),
        *_LONG_ANSWERS,
        changing=(DECODE, DECODE),
    )
    assert found is not None and found[1].changes == 2
    assert not _plan_until(
        role_plan.RolePlanner(),
        _pools(11, 9),
        *_LONG_ANSWERS,
        changing=(DECODE,) * 4,
    )


def test_a_peak_is_remembered_after_its_burst() -> None:
    """Pools are divided for the peak, which the mean hides."""
    planner = role_plan.RolePlanner()
    _record(planner, 0.0, *_LONG_ANSWERS)
    calm = _work(20, prefill_s=0.4, decode_s=2.0)
    _record(planner, 2.0, calm)
    assert planner.history.current.decode == 1.0
    assert 8.0 < planner.history.peak.decode < 9.0
    _record(planner, 100.0, calm)
    assert planner.history.peak.decode == 1.0


def test_the_other_direction_needs_a_lasting_imbalance() -> None:
    planner = role_plan.RolePlanner()
    planner.record_order(0.0, DECODE)
    moderate = (_work(20, prefill_s=2.1, decode_s=3.0),) * 2
    found = _plan_until(planner, _pools(4, 15), *moderate)
    assert found is not None and found[1].role is PREFILL
    assert found[0] >= 6.0
    # A pool that is overloaded now is not left so.
    planner = role_plan.RolePlanner()
    planner.record_order(0.0, DECODE)
    found = _plan_until(
        planner, _pools(4, 15), *_LONG_PROMPTS, changing=(DECODE,)
    )
    assert found is not None and found[1].role is PREFILL
    assert found[0] == 2.0


def test_few_requests_show_no_mix() -> None:
    few = _work(7, prefill_s=1.0, decode_s=30.0)
    assert not _plan_until(role_plan.RolePlanner(), _pools(7, 12), few)


def test_unknown_token_times_show_no_demand() -> None:
    unknown = _work(40, decode_s=30.0, token_s=0.0)
    assert not _plan_until(role_plan.RolePlanner(), _pools(7, 12), unknown)


def test_a_gateway_without_token_times_counts_with_those_of_others() -> None:
    history = role_demand.DemandHistory()
    reports = [
        role_demand.WorkReport(0.0, _work(token_s=token_s))
        # One saw only slow starts, two have observed nothing yet.
        for token_s in (0.001, 0.001, 0.02, 0.0, 0.0)
    ]
    history.record(0.0, reports)
    assert math.isclose(history.current.prefill, 5 * 0.4 / 2.0)
    assert math.isclose(history.current.decode, 5 * 2.0 / 2.0)
    assert history.current.requests == 20


def test_slow_first_prefills_do_not_hide_long_answers() -> None:
    """Half of the gateways saw a first prefill take twice the usual time."""
    planner = role_plan.RolePlanner()
    usual = _work(20, prefill_s=1.0, decode_s=4.5)
    slow = msgspec.structs.replace(usual, prefill_token_s=0.002)
    found = _plan_until(planner, _pools(7, 12), usual, slow, usual, slow)
    assert found is not None
    assert (found[1].role, found[1].changes) == (DECODE, 2)
    assert math.isclose(planner.history.current.prefill, 2.0)


def test_the_time_before_the_first_request_does_not_count() -> None:
    """Guards against a demand that is small because it is new."""
    history = role_demand.DemandHistory()
    work = _work(12, prefill_s=0.8, decode_s=4.0, oldest_s=0.8)
    history.record(1.0, [role_demand.WorkReport(1.0, work)])
    assert math.isclose(history.current.decode, 4.0 / 0.8)


def test_a_loss_of_many_endpoints_is_waited_for() -> None:
    """Most endpoints that are lost restart sooner than a change takes."""
    planner = role_plan.RolePlanner()
    _record(planner, 0.0, *_LONG_ANSWERS)
    planner.plan(0.0, _pools(5, 14))
    found = _plan_until(planner, _pools(5, 9), *_LONG_ANSWERS, start=0.5)
    assert found is not None and found[0] > 6.0
    # One of nineteen is not waited for.
    planner = role_plan.RolePlanner()
    _record(planner, 0.0, *_LONG_ANSWERS)
    planner.plan(0.0, _pools(8, 11))
    found = _plan_until(planner, _pools(8, 10), *_LONG_ANSWERS, start=0.5)
    assert found is not None and found[0] <= 1.0


def test_a_former_leader_forgets_its_orders() -> None:
    planner = role_plan.RolePlanner()
    planner.record_order(0.0, PREFILL)
    planner.forget_orders()
    found = _plan_until(planner, _pools(7, 12), *_LONG_ANSWERS)
    assert found is not None and found[0] == 0.5


def test_the_data_centres_give_endpoints_in_turn() -> None:
    def endpoint(ident: str) -> endpoints.Endpoint:
        return endpoints.Endpoint(
            id=types.EndpointId(ident),
            data_centre=types.DataCentre(ident[0]),
        )

    given = [endpoint(ident) for ident in ("a1", "a2", "b1", "b2", "b3", "c1")]
    found = [item.id for item in role_plan.spread(given)]
    assert found == ["b1", "a1", "b2", "a2", "b3", "c1"]


def test_the_work_of_the_newest_requests_is_reported_where_asked_for() -> None:
    """With the feature off the report is as before."""
    meter = role_balance.DemandMeter(started_at=-60.0)
    timing = role_pools.known_token_timing()
    meter.add(0.0, prompt=600, out=1200, share=0.5)
    meter.add(3.0, prompt=100, out=200, share=0.5)
    off = meter.demand(role_pools.SERVICE, 4.0, timing)
    assert off.recent is None
    found = meter.demand(role_pools.SERVICE, 4.0, timing, with_recent=True)
    assert found.recent is not None
    assert found.recent.requests == 1
    assert found.recent.prompt_tokens == 100
    assert found.recent.decode_tokens == 100.0
    assert found.recent.oldest_s == 1.0
    assert found.decode == off.decode


def test_the_first_requests_are_no_peak_that_lasts() -> None:
    """Guards against a demand for prefill that first prefills inflate."""
    planner = role_plan.RolePlanner()
    first = _work(11, prefill_s=1.7, decode_s=3.5, oldest_s=0.7)
    _record(planner, 0.7, first)
    assert math.isclose(planner.history.peak.prefill, 1.7 / 0.7)
    usual = _work(40, prefill_s=2.0, decode_s=9.0)
    for tick in range(6):
        _record(planner, 1.2 + 0.5 * tick, usual)
    assert math.isclose(planner.history.peak.prefill, 1.0)
    assert math.isclose(planner.history.peak.decode, 4.5)
