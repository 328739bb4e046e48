"""What gateways decide, without sockets: load, room, health."""

import random

import hypothesis
from hypothesis import strategies as st
import msgspec

from rackpost.decide import admission
from rackpost.decide import answer_lengths
from rackpost.decide import candidates
from rackpost.decide import eligibility
from rackpost.decide import endpoint_choice
from rackpost.decide import endpoint_health
from rackpost.decide import endpoint_load
from rackpost.decide import kv_forecast
from rackpost.decide import queue_order
from rackpost.decide import token_timing
from rackpost.http1 import events
from rackpost.routing import endpoints
from rackpost import types

HERE = types.DataCentre("here")
SERVICE = types.ServiceName("s")
A = types.EndpointId("a")
B = types.EndpointId("b")


def nothing() -> None:
    """Nobody needs to know."""


class Known:
    """What a chooser rests on."""

    def __init__(self, role: types.Role = types.Role.PLAIN) -> None:
        self.table = endpoints.EndpointTable()
        self.loads = endpoint_load.LoadTable(on_change=nothing)
        self.health = endpoint_health.HealthTracker()
        for key in (A, B):
            self.table.update(
                endpoints.Endpoint(
                    id=key,
                    service=SERVICE,
                    address=f"{key}:1",
                    data_centre=HERE,
                    role=role,
                    slots=6,
                    sequence=1,
                ),
                0.0,
            )
        self.chooser = endpoint_choice.Chooser(
            candidates=candidates.Candidates(
                table=self.table,
                eligible=eligibility.Eligibility(
                    table=self.table, rng=random.Random(1)
                ),
                silent_after_s=4.0,
                health=self.health,
            ),
            loads=self.loads,
            health=self.health,
            data_centre=HERE,
            rng=random.Random(1),
        )


def run(size: int, left: int) -> kv_forecast.Run:
    return kv_forecast.Run(held_tokens=size, remaining_tokens=left)


def claim(target: float, priority: int = 1) -> queue_order.WaitingRequest:
    return queue_order.WaitingRequest(
        priority=priority,
        target=target,
        start_by=target + 3.0,
        deadline=14.0,
        start_s=0.2,
        run_s=4.0,
    )


def test_the_least_loaded_endpoint_over_all_gateways_is_chosen() -> None:
    known = Known()
    use = endpoint_load.EndpointLoad(requests=4)
    known.loads.receive(types.VmId("g2"), 7, 1, {A: use}, 0.0)
    chosen = known.chooser.choose_plain(SERVICE, now=0.1)
    assert chosen is not None and chosen.id == B


def test_a_restarted_gateways_figures_count_at_once() -> None:
    """Numbers begin anew after a restart; they were taken for old ones."""
    loads = endpoint_load.LoadTable(on_change=nothing)
    vm = types.VmId("g2")
    loads.receive(vm, 1, 50, {A: endpoint_load.EndpointLoad(requests=9)}, 0.0)
    loads.receive(vm, 1, 49, {A: endpoint_load.EndpointLoad(requests=3)}, 0.1)
    assert loads.total(A).requests == 9
    loads.receive(vm, 2, 1, {A: endpoint_load.EndpointLoad(requests=1)}, 0.2)
    assert loads.total(A).requests == 1
    loads.forget(vm)
    assert loads.total(A).requests == 0


def test_runs_of_equal_figures_are_released_one_by_one() -> None:
    loads = endpoint_load.LoadTable(on_change=nothing)
    one, two = run(5, 5), run(5, 5)
    with loads.request_added(A, run=one):
        with loads.request_added(A, run=two):
            assert len(loads.total(A).runs) == 2
        kept = loads.total(A).runs
        assert len(kept) == 1 and kept[0] is one
    assert A not in loads.own


def test_silent_and_broken_endpoints_come_last() -> None:
    known = Known()
    known.health.record_failure(A, 0.0)
    for _ in range(20):
        chosen = known.chooser.choose_plain(SERVICE, now=0.1)
        assert chosen is not None and chosen.id == B
    known.table.record_heartbeats([A], 9.0)
    chosen = known.chooser.choose_plain(SERVICE, now=9.5)
    assert chosen is not None and chosen.id == A
    # With nobody else left, a silent one is better than none.
    chosen = known.chooser.choose_plain(SERVICE, exclude=[A], now=9.5)
    assert chosen is not None and chosen.id == B


def test_pauses_grow_with_failures_and_end_with_an_answer() -> None:
    health = endpoint_health.HealthTracker()
    assert health.record_failure(A, 0.0)
    assert health.is_avoided(A, 0.39) and not health.is_avoided(A, 0.41)
    assert not health.record_failure(A, 1.0)
    assert health.is_avoided(A, 1.7)
    assert health.failed_endpoints(1.1) == (A,)
    health.record_answer(A, 0.1)
    assert not health.is_avoided(A, 1.7)
    assert health.failed_endpoints(1.1) == ()


@hypothesis.given(
    st.lists(st.tuples(st.integers(0, 500), st.integers(0, 500)), max_size=6)
)
def test_the_forecast_is_what_a_simulation_gives(
    figures: list[tuple[int, int]],
) -> None:
    runs = [run(size, left) for size, left in figures]
    block = kv_forecast.peak_tokens([run(0, 0)])
    most = 0
    for made in range(0, 501):
        going = [item for item in runs if item.remaining_tokens >= made]
        held = sum(item.held_tokens + made + block for item in going)
        most = max(most, held)
    assert kv_forecast.peak_tokens(runs) == most


def test_a_decode_endpoint_must_have_room_for_the_whole_answer() -> None:
    known = Known(types.Role.DECODE)
    known.loads.add_request(A, run=run(400, 300))
    known.loads.add_request(B, run=run(300, 300))
    chosen = known.chooser.choose_decode(SERVICE, run(100, 200), 1000, now=0.0)
    assert chosen is not None and chosen.id == B
    chosen = known.chooser.choose_decode(SERVICE, run(300, 300), 1000, now=0.0)
    assert chosen is None


def test_an_endpoint_that_turned_a_request_away_is_full_for_a_while() -> None:
    """Runs whose answers were lost hold memory that no gateway counts."""
    known = Known(types.Role.DECODE)
    known.health.record_rejection(A, 0.0)
    known.health.record_reported_full(B, 0.0)
    assert known.health.full_endpoints(0.1) == (A,)
    wanted = run(100, 100)
    assert known.chooser.choose_decode(SERVICE, wanted, 1000, now=0.2) is None
    assert (
        known.chooser.choose_decode(SERVICE, wanted, 1000, now=0.3) is not None
    )
    known.health.record_rejection(A, 0.3)
    assert known.health.is_full(A, 0.7)
    known.health.record_answer(A, 0.1)
    known.health.record_rejection(A, 1.0)
    assert not known.health.is_full(A, 1.3)


def test_one_prompt_at_a_time_is_read_where_tokens_are_made() -> None:
    known = Known(types.Role.DECODE)
    assert known.chooser.must_prefill_in_place(SERVICE, 0.0)

    def choose(at: float = 0.0) -> endpoints.Endpoint | None:
        return known.chooser.choose_decode(
            SERVICE,
            run(100, 100),
            9000,
            in_place=endpoint_choice.InPlacePrefill(min_interval_s=0.1),
            now=at,
        )

    one = choose()
    assert one is not None
    release = known.loads.add_request(one.id, prompt=100)
    two = choose()
    assert two is not None and two.id != one.id
    known.loads.add_request(two.id, prompt=100)
    assert choose() is None
    release()
    again = choose()
    assert again is not None and again.id == one.id


def test_those_that_run_make_an_event_between_two_prompts() -> None:
    """Prompts read one after the other made pauses of 0.4 and 0.6 s."""
    known = Known(types.Role.DECODE)
    turn = endpoint_choice.InPlacePrefill(min_interval_s=0.1)
    key = types.VmId("g2")

    def use(prompt: int) -> dict[types.EndpointId, endpoint_load.EndpointLoad]:
        runs = [run(100, 100)]
        found = endpoint_load.EndpointLoad(
            requests=2, prompt_tokens=prompt, runs=runs
        )
        return {A: found, B: found}

    def may_read(at: float) -> bool:
        wanted = run(100, 100)
        found = known.chooser.choose_decode(
            SERVICE, wanted, 9000, in_place=turn, now=at
        )
        return found is not None

    known.loads.receive(key, 1, 1, use(500), 5.0)
    assert not may_read(5.0)
    known.loads.receive(key, 1, 2, use(0), 6.0)
    assert not may_read(6.05)
    assert may_read(6.11)
    known.loads.record_prefilled(A, 7.0)
    known.loads.record_prefilled(B, 7.0)
    assert not may_read(7.05)
    # Where nothing runs, nobody needs the pause.
    known.loads.forget(key)
    assert may_read(7.05)


def test_progress_past_its_guess_still_expects_some_more() -> None:
    progress = kv_forecast.Progress(
        prompt=10, guess=100, max_tokens=400, event_tokens=50
    )
    progress.record_event()
    assert (progress.run.held_tokens, progress.run.remaining_tokens) == (
        60,
        70,
    )
    progress.record_event()
    progress.record_event()
    assert progress.run.held_tokens == 160
    assert 0 < progress.run.remaining_tokens <= 250
    assert progress.generated_tokens == 150


def test_room_is_kept_for_what_guesses_are_wrong_by_together() -> None:
    """It grows with the root of the number of runs, not with the number."""
    sure = [run(100, 400)] * 4
    unsure = [
        kv_forecast.Run(
            held_tokens=100, remaining_tokens=400, error_tokens=200
        )
    ] * 4
    more = kv_forecast.peak_tokens(unsure) - kv_forecast.peak_tokens(sure)
    assert more == 2 * 200
    one = kv_forecast.peak_tokens(unsure[:1]) - kv_forecast.peak_tokens(
        sure[:1]
    )
    assert one == 200


def test_a_guess_is_wrong_by_a_part_of_the_rest() -> None:
    progress = kv_forecast.Progress(
        prompt=10, guess=400, max_tokens=1000, event_tokens=100, spread=0.5
    )
    assert progress.run.error_tokens == 200
    progress.record_event()
    progress.record_event()
    assert progress.run.error_tokens == 100
    # It makes no more than it may.
    bounded = kv_forecast.Progress(
        prompt=10, guess=400, max_tokens=450, event_tokens=100, spread=0.5
    )
    assert bounded.run.error_tokens == 50


def test_how_wrong_guesses_are_is_learned() -> None:
    lengths = answer_lengths.AnswerLengths()
    assert lengths.spread == 0.5
    for _ in range(200):
        lengths.record_answer(guess=100, actual=150)
    # All are wrong by the same: what is expected is right.
    assert lengths.spread < 0.1
    for number in range(200):
        lengths.record_answer(guess=100, actual=300 if number % 2 else 100)
    assert 0.3 < lengths.spread < 0.7


def test_answers_longer_than_guessed_raise_what_is_expected() -> None:
    lengths = answer_lengths.AnswerLengths()
    assert lengths.expected(100, 1000) == 100
    for _ in range(200):
        lengths.record_answer(guess=100, actual=200)
    assert 190 < lengths.expected(100, 1000) <= 200
    assert lengths.expected(100, 150) == 150


def test_who_can_be_in_time_goes_before_who_is_late() -> None:
    late, soon, later = claim(0.5), claim(1.3), claim(1.8)
    urgent = claim(1.9, priority=0)
    ordered = sorted(
        [late, later, soon, urgent],
        key=lambda item: queue_order.rank_of(item, 1.0),
    )
    assert ordered == [urgent, soon, later, late]
    assert not queue_order.is_infeasible(late, 3.2)
    # Its client leaves a silent stream long before its time is up.
    assert queue_order.is_infeasible(late, 3.4)


def test_ranks_agree_with_the_order_and_age() -> None:
    claims = [claim(0.5), claim(1.3), claim(1.8), claim(1.9, priority=0)]
    by_order = sorted(claims, key=lambda item: queue_order.rank_of(item, 1.0))
    by_rank = sorted(
        claims, key=lambda item: queue_order.summarize(item, 1.0).rank(0.0)
    )
    assert by_order == by_rank


def test_a_free_place_goes_to_one_gateway_and_not_to_all() -> None:
    """All gateways took the one place that a datagram told of."""
    loads = endpoint_load.LoadTable(on_change=nothing)
    other = types.VmId("g2")

    def left(slack_s: float) -> queue_order.WaitingSummary:
        return queue_order.WaitingSummary(
            priority=1, slack_s=slack_s, start_s=slack_s + 3
        )

    loads.receive(other, 1, 1, {}, 0.0, (left(5.0), left(9.0)))
    me = types.VmId("g3")
    assert loads.waiting_ahead(left(4.0), me, 0.0) == 0
    assert loads.waiting_ahead(left(6.0), me, 0.0) == 1
    # What was told a second ago is nearer its time by a second.
    assert loads.waiting_ahead(left(4.5), me, 1.0) == 1
    assert loads.waiting_ahead(left(5.0), me, 0.0) == 1
    assert loads.waiting_ahead(left(5.0), types.VmId("g1"), 0.0) == 0
    # What has become late since goes after all that is not.
    loads.receive(other, 1, 2, {}, 5.0, (left(0.4), left(9.0)))
    assert loads.waiting_ahead(left(0.1), me, 5.5) == 0
    # A gateway that is killed was waited for until its figures expired.
    assert loads.waiting_ahead(left(9.0), me, 6.2) == 1
    assert loads.waiting_ahead(left(9.0), me, 6.4) == 0
    loads.expire(60.0)
    assert loads.waiting_ahead(left(9.0), me, 60.0) == 0


def test_places_are_counted_by_slots_and_memory() -> None:
    known = Known(types.Role.DECODE)
    count = known.chooser.decode_capacity(
        SERVICE, run(300, 100), 1000, now=0.0
    )
    assert count == 4
    for _ in range(5):
        known.loads.add_request(A, run=run(10, 10))
    count = known.chooser.decode_capacity(SERVICE, run(10, 10), 1000, now=0.0)
    assert count == 1 + 3


def patient(**more: float) -> queue_order.WaitingRequest:
    """A request of whose 14 s none have gone."""
    usual = queue_order.WaitingRequest(
        priority=1,
        target=0.9,
        start_by=3.5,
        deadline=14.0,
        start_s=0.1,
        run_s=4.0,
    )
    return msgspec.structs.replace(usual, **more)


def test_who_would_be_late_waits_and_who_cannot_be_served_does_not() -> None:
    """Worth counts from the first try: a refusal wins nobody anything."""
    wait_s = queue_order.expected_wait_s(ahead=3, running=20, run_s=4.0)
    assert abs(wait_s - 0.8) < 1e-9
    assert not queue_order.will_be_infeasible(patient(), 0.7, 0.0)
    assert not queue_order.will_be_infeasible(patient(), 3.3, 0.0)
    assert queue_order.will_be_infeasible(patient(), 3.5, 0.0)
    # It could begin, and would not end.
    assert queue_order.will_be_infeasible(patient(run_s=13.0), 1.5, 0.0)
    # One that came back is told so, too.
    assert queue_order.will_be_infeasible(patient(came_back=True), 3.5, 0.0)


def test_a_time_to_come_back_is_one_that_clients_heed() -> None:
    for chance in (0.0, 0.5, 1.0):
        after = queue_order.retry_after_s(patient(), 0.9, 0.0, chance)
        assert 0.9 <= after <= 14.0 / 3
    assert queue_order.retry_after_s(patient(), 60.0, 0.0, 1.0) <= 14.0 / 3
    # Late in a planned stop it was told to come back before now.
    assert queue_order.retry_after_s(patient(), 0.9, 14.5, 1.0) == 0.0


def pace_of(*, token_s: float) -> token_timing.TokenTiming:
    known = token_timing.TokenTiming()
    known.record_prefill(1000, 1000 * token_s)
    return known


def test_a_start_takes_what_most_took_and_not_what_some_took() -> None:
    """A few starts of seconds made all that came look late."""
    known = pace_of(token_s=0.0001)
    for at in range(200):
        known.record_start(1000, 3.0 if at % 20 == 0 else 0.2)
    assert 0.2 <= known.start_s(1000) < 0.35


def test_a_prompt_is_not_sent_where_many_are_read_first() -> None:
    """They queued there unordered, and all of a burst were late."""
    known = Known(types.Role.PREFILL)
    known.loads.add_request(A, prompt=3000)
    known.loads.add_request(B, prompt=6000)
    best = known.chooser.choose_prefill(
        SERVICE, 500, max_ahead_tokens=3000, now=0.0
    )
    assert best is not None and best.id == A
    none = known.chooser.choose_prefill(
        SERVICE, 500, max_ahead_tokens=2000, now=0.0
    )
    assert none is None
    assert known.chooser.prefill_capacity(SERVICE, 3000, 0.0) == 1


def test_prompts_are_read_in_place_when_no_prefill_endpoint_is_well() -> None:
    """Four gateways sent every prompt to one that refused connections."""
    known = Known(types.Role.PREFILL)
    for key in (A, B):
        assert not known.chooser.must_prefill_in_place(SERVICE, 0.0)
        known.health.record_failure(key, 0.0)
    assert known.chooser.must_prefill_in_place(SERVICE, 0.1)
    assert known.chooser.choose_prefill(SERVICE, 500, now=0.1) is None
    assert not known.chooser.must_prefill_in_place(SERVICE, 5.0)


def test_a_plain_request_is_refused_only_where_it_would_be_late() -> None:
    def arrival(**more: object) -> admission.Arrival:
        found = {
            "ahead": 30,
            "slots": 6,
            "work_s": 0.09,
            "target_s": 0.4,
            "left_s": 3.0,
            "came_back": False,
        }
        found.update(more)
        return admission.Arrival(**found)  # type: ignore[arg-type]

    assert admission.should_refuse(arrival())
    assert not admission.should_refuse(arrival(ahead=20))
    # One that came back makes no others late: it needs a shorter wait.
    assert admission.should_refuse(arrival(came_back=True))
    assert not admission.should_refuse(arrival(ahead=18))
    assert admission.should_refuse(arrival(ahead=18, came_back=True))
    assert not admission.should_refuse(arrival(ahead=12, came_back=True))
    # A slow endpoint with a free slot is used: nothing waits there.
    assert not admission.should_refuse(arrival(ahead=5, work_s=2.0))
    assert not admission.should_refuse(arrival(target_s=0.0))
    assert not admission.should_refuse(arrival(work_s=0.0))
    for chance in (0.0, 1.0):
        after = admission.retry_after_s(arrival(), chance)
        assert 0.3 <= after <= 1.0


def test_the_work_of_a_request_is_seen_through_its_wait() -> None:
    health = endpoint_health.HealthTracker()
    for _ in range(50):
        health.record_work(A, 0.5, 5.0)
    assert abs(health.work_s(A) - 0.1) < 1e-9
    assert health.work_s(B) == 0.0


def test_no_prompt_goes_to_a_prefill_endpoint_without_a_free_slot() -> None:
    known = Known(types.Role.PREFILL)
    for _ in range(6):
        known.loads.add_request(A, prompt=10)
    chosen = known.chooser.choose_prefill(SERVICE, 5000, now=0.0)
    assert chosen is not None and chosen.id == B
    known.health.record_rejection(B, 0.0)
    assert known.chooser.choose_prefill(SERVICE, 5000, now=0.1) is None
    assert not known.chooser.prefill_capacity(SERVICE, 0, 0.1)
    assert known.chooser.prefill_capacity(SERVICE, 0, 0.3) == 1


def test_patience_with_a_prefill_follows_the_pace_seen() -> None:
    seen = token_timing.TokenTiming()
    assert seen.prefill_timeout_s(5000) == 1.0
    for _ in range(50):
        seen.record_prefill(5000, 0.1)
    # Those that share an endpoint with later ones look slow.
    seen.record_prefill(5000, 0.2)
    assert 0.38 < seen.prefill_timeout_s(5000) < 0.42
    assert 1.5 < seen.prefill_timeout_s(20000) < 1.7
    seen.record_decode(100, 0.1)
    assert abs(seen.decode_s(1000) - 1.0) < 1e-9


def test_events_are_cut_at_their_ends_however_they_come() -> None:
    text = b"id: 1\ndata: a\n\nid: 2\nx: 1\ndata: b\n\nid: 3\nda"
    for size in (1, 2, 7, 100):
        splitter = events.Splitter()
        found = []
        for at in range(0, len(text), size):
            found += splitter.feed(text[at : at + size])
        assert [event.id for event in found] == [1, 2]
        assert b"".join(event.data for event in found) + splitter.rest == text
