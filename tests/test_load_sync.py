"""Which load reports are sent, when and to whom; pure."""

import hypothesis
from hypothesis import strategies
import pytest

from rackpost.decide import endpoint_load
from rackpost.decide import kv_forecast
from rackpost.decide import load_changes
from rackpost.decide import load_deltas
from rackpost.decide import load_sync
from rackpost.decide import queue_order
from rackpost.routing import digests
from rackpost import types

_A = types.EndpointId("a")
_B = types.EndpointId("b")
_PLAIN = load_changes.Urgency.PLAIN
_RELEASE = load_changes.Urgency.RELEASE
_RESERVATION = load_changes.Urgency.RESERVATION
_LINK = 625_000.0


def _names(count: int) -> list[types.VmId]:
    return [types.VmId(f"g{number:02}") for number in range(count)]


def _sync(gateways: int = 3, *, link: float = _LINK) -> load_sync.LoadSync:
    """Return a sender that has told all gateways everything at 0.0."""
    sync = load_sync.LoadSync(link_bytes_per_s=link, now=0.0)
    sync.set_recipients(_names(gateways))
    plan = sync.next_reports(0.0)
    assert sorted(plan.complete) == _names(gateways)
    return sync


def test_a_change_is_told_after_a_delay_by_its_urgency() -> None:
    due = []
    for urgency in (_RESERVATION, _RELEASE, _PLAIN):
        sync = _sync()
        sync.record_changes({_A: urgency}, 0.001)
        assert sync.next_reports(0.001).changes == ()
        due.append(sync.next_at(0.001) - 0.001)
        assert sync.next_reports(sync.next_at(0.001)).endpoints == (_A,)
    assert due == sorted(due)
    assert due[0] < 0.01
    assert due[-1] < 0.1


def test_a_reservation_takes_less_urgent_changes_with_it() -> None:
    sync = _sync()
    sync.record_changes({_A: _PLAIN}, 0.0)
    sync.record_changes({_B: _RESERVATION}, 0.001)
    plan = sync.next_reports(sync.next_at(0.001))
    assert set(plan.endpoints) == {_A, _B}
    assert set(plan.waited_s) == {_PLAIN, _RESERVATION}


def test_a_change_is_told_twice_in_case_a_report_is_lost() -> None:
    sync = _sync()
    sync.record_changes({_A: _RELEASE}, 0.0)
    assert sync.next_reports(sync.next_at(0.0)).endpoints == (_A,)
    # Nothing is sent only to repeat it.
    assert sync.next_reports(0.1).changes == ()
    sync.record_changes({_B: _RELEASE}, 0.1)
    assert set(sync.next_reports(sync.next_at(0.1)).endpoints) == {_A, _B}
    sync.record_changes({}, 0.13)
    plan = sync.next_reports(0.16)
    assert plan.endpoints == (_B,)


def test_a_report_also_holds_loads_that_were_told_long_ago() -> None:
    sync = _sync()
    sync.set_generating([_A])
    sync.record_changes({_A: _RELEASE}, 0.0)
    sync.next_reports(0.03)
    # Nothing is sent only for that.
    assert sync.next_reports(0.3).changes == ()
    sync.record_changes({_B: _RELEASE}, 0.3)
    sync.set_generating([_A, _B])
    assert set(sync.next_reports(0.33).endpoints) == {_A, _B}
    sync.record_changes({}, 0.4)
    assert sync.next_reports(0.43).endpoints == (_B,)
    sync.record_changes({}, 0.45)
    assert sync.next_reports(0.48).endpoints == ()
    sync.set_generating([_A])
    sync.record_changes({}, 0.7)
    assert sync.next_reports(0.73).endpoints == (_A,)


def test_the_progress_of_generations_is_told_each_half_second() -> None:
    sync = _sync()
    assert sync.next_reports(0.7).changes == ()
    sync.set_generating([_A])
    sync.record_changes({_A: _RESERVATION}, 0.8)
    sync.next_reports(0.81)
    assert sync.next_reports(1.3).changes == ()
    plan = sync.next_reports(1.32)
    assert plan.changes and plan.endpoints == (_A,)


def test_a_contention_order_is_told_of_each_half_second() -> None:
    sync = _sync()
    sync.set_generating([], contends=True)
    assert sync.next_reports(0.49).changes == ()
    plan = sync.next_reports(0.51)
    assert plan.changes and plan.endpoints == ()


def test_changes_without_urgency_are_told_with_the_next_report() -> None:
    sync = _sync()
    sync.record_changes({_A: load_changes.Urgency.NONE}, 0.0)
    assert sync.next_reports(5.0).changes == ()
    sync.record_changes({_B: _RELEASE}, 5.0)
    assert set(sync.next_reports(5.03).endpoints) == {_A, _B}


def test_complete_reports_are_spread_over_the_second() -> None:
    sync = _sync(24)
    sent: list[types.VmId] = []
    now = 0.0
    while now < 0.99:
        now = sync.next_at(now)
        plan = sync.next_reports(now)
        assert len(plan.complete) <= 3
        sent += plan.complete
    assert sorted(sent) == _names(24)


def test_a_gateway_that_joins_or_restarts_gets_a_complete_report() -> None:
    sync = _sync(2)
    sync.set_recipients(_names(3))
    assert sync.next_at(0.001) < 0.01
    sync.record_changes({_A: _RESERVATION}, 0.001)
    plan = sync.next_reports(0.007)
    assert plan.complete == (_names(3)[2],)
    assert sorted(plan.changes) == _names(2)
    sync.require_complete(_names(1)[0])
    assert sync.next_reports(0.02).complete == tuple(_names(1))


def test_nobody_gets_both_reports_at_once() -> None:
    sync = _sync(2)
    sync.require_complete(_names(1)[0])
    sync.record_changes({_A: _RESERVATION}, 0.0)
    plan = sync.next_reports(0.01)
    assert plan.complete == tuple(_names(1))
    assert plan.changes == (_names(2)[1],)


def test_after_a_suspension_each_gateway_gets_one_complete_report() -> None:
    sync = _sync(16)
    assert sorted(sync.next_reports(7.0).complete) == _names(16)
    assert sync.next_at(7.0) > 7.0


def test_the_last_in_the_order_changes_and_the_likeliest_are_first() -> None:
    sync = _sync(8)
    last = set()
    for number in range(8):
        now = 0.01 * number
        sync.record_changes({_A: _RESERVATION}, now)
        plan = sync.next_reports(now + 0.006, first=[_names(8)[3]])
        assert plan.changes[0] == _names(8)[3]
        assert sorted(plan.changes + plan.complete) == _names(8)
        last.add(plan.changes[-1])
    assert len(last) >= 7


def test_a_full_link_defers_all_but_reservations() -> None:
    """A link of 0.5 Mbit/s, of which reports may use 9 KB a second."""
    sync = _sync(29, link=62_500.0)
    sync.record_sent(150, 29, 0.0, is_complete=False)
    sync.record_changes({_A: _PLAIN}, 0.0)
    sync.record_changes({_B: _RELEASE}, 0.0)
    assert sync.next_reports(0.1).changes == ()
    assert sync.take_deferred() == 1
    assert sync.take_deferred() == 0
    sync.record_changes({_B: _RESERVATION}, 0.1)
    plan = sync.next_reports(0.107)
    assert len(plan.changes) > 20
    assert set(plan.endpoints) == {_A, _B}


def test_deferred_changes_are_sent_when_the_budget_is_refilled() -> None:
    sync = _sync(29, link=62_500.0)
    for _ in range(2):
        sync.record_sent(100, 29, 0.0, is_complete=False)
    sync.record_changes({_A: _RELEASE}, 0.0)
    now = 0.0
    while not (plan := sync.next_reports(now)).changes:
        now = sync.next_at(now)
        assert now < 2.0
    assert plan.endpoints == (_A,)
    assert now > 0.1


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.0005, 0.05),
            strategies.sampled_from([_PLAIN, _RELEASE, _RESERVATION]),
        ),
        max_size=200,
    )
)
def test_reports_stay_within_twice_the_share_of_the_link(
    changes: list[tuple[float, load_changes.Urgency]],
) -> None:
    """Whatever comes: the share, and once as much for reservations."""
    sync = _sync(29)
    now = 0.0
    sent = 0
    for step_s, urgency in changes:
        now += step_s
        sync.record_changes({_A: urgency}, now)
        plan = sync.next_reports(now)
        if plan.changes:
            sync.record_sent(200, len(plan.changes), now, is_complete=False)
            sent += (200 + load_sync.HEADER_BYTES) * len(plan.changes)
    share = _LINK * load_sync.LINK_SHARE
    report = (200 + load_sync.HEADER_BYTES) * 29
    assert sent <= share * (now + 1.0) + report


def _load(*runs: tuple[int, int, int]) -> endpoint_load.EndpointLoad:
    return endpoint_load.EndpointLoad(
        requests=len(runs),
        prompt_tokens=1,
        runs=[
            kv_forecast.Run(
                held_tokens=held, remaining_tokens=left, error_tokens=error
            )
            for held, left, error in runs
        ],
    )


def test_the_compact_form_keeps_loads_within_a_block() -> None:
    own = {_A: _load((5200, 4399, 1000), (1, 0, 0))}
    packed = load_deltas.pack_loads(own, (_A, _B))
    ids = {digests.digest(key): key for key in (_A, _B)}
    found = load_deltas.unpack_loads(packed, ids.get)
    assert found[_B] == endpoint_load.EndpointLoad()
    assert found[_A].requests == 2
    # Some of the prompt is left, as `record_prefilled` needs.
    assert 0 < found[_A].prompt_tokens <= 32
    for new, old in zip(found[_A].runs, own[_A].runs, strict=True):
        assert 0 <= new.held_tokens - old.held_tokens < 32
        assert 0 <= new.remaining_tokens - old.remaining_tokens < 32
        assert 0 <= new.error_tokens - old.error_tokens < 32


def test_unknown_and_ambiguous_endpoints_are_skipped() -> None:
    packed = load_deltas.pack_loads({_A: _load((1, 1, 1))}, (_A,))
    assert load_deltas.unpack_loads(packed, lambda _: None) == {}


def test_waiting_requests_keep_their_rank() -> None:
    items = (
        queue_order.WaitingSummary(priority=0, slack_s=-0.5, start_s=2.25),
        queue_order.WaitingSummary(priority=2, slack_s=0.75, start_s=3.0),
    )
    packed = load_deltas.pack_waiting(items)
    assert load_deltas.unpack_waiting(packed) == items
    # A value that was cut off loses one request only.
    assert load_deltas.unpack_waiting(packed[:-1]) == items[:1]


def _table() -> endpoint_load.LoadTable:
    table = endpoint_load.LoadTable(on_change=lambda: None)
    table.receive(types.VmId("g1"), 7, 1, {_A: _load((10, 10, 0))}, 0.0)
    return table


def test_changes_replace_the_named_endpoints_only() -> None:
    table = _table()
    sender = table.receive_changes(7, 2, {_B: _load((5, 5, 0))}, 0.1)
    assert sender == types.VmId("g1")
    assert table.total(_A).requests == 1
    assert table.total(_B).requests == 1
    table.receive_changes(7, 3, {_A: endpoint_load.EndpointLoad()}, 0.2)
    assert table.total(_A).requests == 0
    assert table.prefilled_within(_A, 0.1, 0.25)
    # Silence longer than reports live; changes count as reports.
    table.expire(3.6)
    assert table.total(_B).requests == 1
    table.expire(3.8)
    assert table.total(_B).requests == 0


@pytest.mark.parametrize("incarnation, sequence", [(7, 1), (7, 0), (8, 2)])
def test_changes_that_are_old_or_of_unknown_senders_are_ignored(
    incarnation: int, sequence: int
) -> None:
    table = _table()
    new = {_A: endpoint_load.EndpointLoad()}
    assert table.receive_changes(incarnation, sequence, new, 0.1) is None
    assert table.total(_A).requests == 1


def test_changes_of_an_ended_incarnation_are_ignored() -> None:
    table = _table()
    table.receive(types.VmId("g1"), 8, 1, {}, 0.1)
    assert table.receive_changes(7, 9, {_A: _load((1, 1, 0))}, 0.2) is None
    assert table.total(_A).requests == 0


def test_the_most_urgent_change_of_an_endpoint_is_recorded() -> None:
    table = endpoint_load.LoadTable(on_change=lambda: None)
    run = kv_forecast.Run(held_tokens=1, remaining_tokens=1)
    release = table.add_request(_A, run=run)
    table.add_request(_A)()
    assert table.changes.take() == {_A: _RESERVATION}
    release()
    assert table.changes.take() == {_A: _RELEASE}
    assert table.changes.take() == {}
