"""Decisions of gateways on load, capacity and health, without sockets."""

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


def ignore() -> None:
    """Ignore changes of the load."""


class GatewayView:
    """One gateway's view of two endpoints."""

    def __init__(self, role: types.Role = types.Role.PLAIN) -> None:
        self.table = endpoints.EndpointTable()
        self.loads = endpoint_load.LoadTable(on_change=ignore)
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


def waiting_request(
    target: float, priority: int = 1
) -> queue_order.WaitingRequest:
    return queue_order.WaitingRequest(
        priority=priority,
        target=target,
        start_by=target + 3.0,
        deadline=14.0,
        start_s=0.2,
        generation_s=4.0,
    )


def test_the_least_loaded_endpoint_over_all_gateways_is_chosen() -> None:
    view = GatewayView()
    load = endpoint_load.EndpointLoad(requests=4)
    view.loads.receive(types.VmId("g2"), 7, 1, {A: load}, 0.0)
    chosen = view.chooser.choose_plain(SERVICE, now=0.1)
    assert chosen is not None and chosen.id == B


def test_reports_of_a_restarted_gateway_count_at_once() -> None:
    """Its sequence numbers start again, and must not look outdated."""
    loads = endpoint_load.LoadTable(on_change=ignore)
    vm = types.VmId("g2")
    loads.receive(vm, 1, 50, {A: endpoint_load.EndpointLoad(requests=9)}, 0.0)
    loads.receive(vm, 1, 49, {A: endpoint_load.EndpointLoad(requests=3)}, 0.1)
    assert loads.total(A).requests == 9
    loads.receive(vm, 2, 1, {A: endpoint_load.EndpointLoad(requests=1)}, 0.2)
    assert loads.total(A).requests == 1
    loads.forget(vm)
    assert loads.total(A).requests == 0


def test_equal_runs_are_released_one_by_one() -> None:
    loads = endpoint_load.LoadTable(on_change=ignore)
    one, two = run(5, 5), run(5, 5)
    with loads.request_added(A, run=one):
        with loads.request_added(A, run=two):
            assert len(loads.total(A).runs) == 2
        kept = loads.total(A).runs
        assert len(kept) == 1 and kept[0] is one
    assert A not in loads.own


def test_silent_and_failed_endpoints_are_a_last_resort() -> None:
    view = GatewayView()
    view.health.record_failure(A, 0.0)
    for _ in range(20):
        chosen = view.chooser.choose_plain(SERVICE, now=0.1)
        assert chosen is not None and chosen.id == B
    view.table.record_heartbeats([A], 9.0)
    chosen = view.chooser.choose_plain(SERVICE, now=9.5)
    assert chosen is not None and chosen.id == A
    # Without another, a silent one is better than none.
    chosen = view.chooser.choose_plain(SERVICE, exclude=[A], now=9.5)
    assert chosen is not None and chosen.id == B


def test_avoidance_grows_with_failures_and_ends_with_an_answer() -> None:
    health = endpoint_health.HealthTracker()
    assert health.record_failure(A, 0.0)
    assert health.is_avoided(A, 0.39) and not health.is_avoided(A, 0.41)
    assert not health.record_failure(A, 1.0)
    assert health.is_avoided(A, 1.7)
    assert health.failed_endpoints(1.1) == (A,)
    health.record_answer(A, 0.1, 1.2)
    assert not health.is_avoided(A, 1.7)
    assert health.failed_endpoints(1.1) == ()


@hypothesis.given(
    st.lists(st.tuples(st.integers(0, 500), st.integers(0, 500)), max_size=6)
)
def test_the_forecast_agrees_with_a_simulation(
    figures: list[tuple[int, int]],
) -> None:
    runs = [run(size, left) for size, left in figures]
    block = kv_forecast.peak_tokens([run(0, 0)])
    peak = 0
    for generated in range(0, 501):
        active = [item for item in runs if item.remaining_tokens >= generated]
        held = sum(item.held_tokens + generated + block for item in active)
        peak = max(peak, held)
    assert kv_forecast.peak_tokens(runs) == peak


def test_a_decode_endpoint_needs_memory_for_the_whole_answer() -> None:
    view = GatewayView(types.Role.DECODE)
    view.loads.add_request(A, run=run(400, 300))
    view.loads.add_request(B, run=run(300, 300))
    chosen = view.chooser.choose_decode(SERVICE, run(100, 200), 1000, now=0.0)
    assert chosen is not None and chosen.id == B
    chosen = view.chooser.choose_decode(SERVICE, run(300, 300), 1000, now=0.0)
    assert chosen is None


class QuietPair:
    """A gateway that asks one of two plain endpoints at a time."""

    def __init__(self, *, slow_s: float) -> None:
        self.view = GatewayView()
        self.times_s = {A: slow_s, B: 0.01}
        self.asked: list[types.EndpointId] = []
        for key, took_s in self.times_s.items():
            self.view.health.record_answer(key, took_s, 0.0)

    def ask(self, *, since: float, until: float, interval_s: float) -> None:
        """Send one request each `interval_s` seconds."""
        now = since
        while now < until:
            chosen = self.view.chooser.choose_plain(SERVICE, now=now)
            assert chosen is not None
            self.asked.append(chosen.id)
            self.view.health.record_answer(
                chosen.id, self.times_s[chosen.id], now
            )
            now += interval_s


def test_an_endpoint_that_was_slow_for_a_moment_is_used_again() -> None:
    """Few requests: nobody would ask it as long as the other is free.

    Its callers would wait at one endpoint for good after a slow second.
    """
    pair = QuietPair(slow_s=0.2)
    pair.times_s[A] = 0.01
    pair.ask(since=0.0, until=20.0, interval_s=0.5)
    assert A in pair.asked
    pair.asked.clear()
    pair.ask(since=20.0, until=40.0, interval_s=0.5)
    assert pair.asked.count(A) >= 10


def test_an_endpoint_that_stays_slow_is_tried_ever_less_often() -> None:
    """Each trial costs one caller a slow answer."""
    pair = QuietPair(slow_s=0.2)
    pair.ask(since=0.0, until=60.0, interval_s=0.5)
    # After 5, 10 and 20 s.
    assert pair.asked.count(A) == 3
    pair.asked.clear()
    pair.ask(since=60.0, until=240.0, interval_s=0.5)
    # Each 40 s.
    assert 4 <= pair.asked.count(A) <= 5


def test_an_endpoint_that_rejected_a_request_is_full_for_a_while() -> None:
    """Runs whose answers were lost use memory that no gateway counts."""
    view = GatewayView(types.Role.DECODE)
    view.health.record_rejection(A, 0.0)
    view.health.record_reported_full(B, 0.0)
    assert view.health.full_endpoints(0.1) == (A,)
    wanted = run(100, 100)
    assert view.chooser.choose_decode(SERVICE, wanted, 1000, now=0.2) is None
    assert (
        view.chooser.choose_decode(SERVICE, wanted, 1000, now=0.3) is not None
    )
    view.health.record_rejection(A, 0.3)
    assert view.health.is_full(A, 0.7)
    view.health.record_answer(A, 0.1, 0.9)
    view.health.record_rejection(A, 1.0)
    assert not view.health.is_full(A, 1.3)


def test_one_prompt_at_a_time_is_prefilled_in_place() -> None:
    view = GatewayView(types.Role.DECODE)
    assert view.chooser.must_prefill_in_place(SERVICE, 0.0)

    def choose(at: float = 0.0) -> endpoints.Endpoint | None:
        return view.chooser.choose_decode(
            SERVICE,
            run(100, 100),
            9000,
            in_place=endpoint_choice.InPlacePrefill(min_interval_s=0.1),
            now=at,
        )

    one = choose()
    assert one is not None
    release = view.loads.add_request(one.id, prompt=100)
    two = choose()
    assert two is not None and two.id != one.id
    view.loads.add_request(two.id, prompt=100)
    assert choose() is None
    release()
    again = choose()
    assert again is not None and again.id == one.id


def test_generations_emit_an_event_between_in_place_prefills() -> None:
    """Prefills in a row would pause the generations for too long."""
    view = GatewayView(types.Role.DECODE)
    in_place_prefill = endpoint_choice.InPlacePrefill(min_interval_s=0.1)
    key = types.VmId("g2")

    def loads_of(
        prompt: int,
    ) -> dict[types.EndpointId, endpoint_load.EndpointLoad]:
        runs = [run(100, 100)]
        found = endpoint_load.EndpointLoad(
            requests=2, prompt_tokens=prompt, runs=runs
        )
        return {A: found, B: found}

    def may_prefill(at: float) -> bool:
        wanted = run(100, 100)
        found = view.chooser.choose_decode(
            SERVICE, wanted, 9000, in_place=in_place_prefill, now=at
        )
        return found is not None

    view.loads.receive(key, 1, 1, loads_of(500), 5.0)
    assert not may_prefill(5.0)
    view.loads.receive(key, 1, 2, loads_of(0), 6.0)
    assert not may_prefill(6.05)
    assert may_prefill(6.11)
    view.loads.record_prefilled(A, 7.0)
    view.loads.record_prefilled(B, 7.0)
    assert not may_prefill(7.05)
    # Without generations no interval is needed.
    view.loads.forget(key)
    assert may_prefill(7.05)


def test_a_run_past_its_estimate_expects_further_tokens() -> None:
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


def test_the_forecast_has_a_margin_for_estimation_errors() -> None:
    """It grows with the square root of the number of runs."""
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


def test_the_error_of_an_estimate_shrinks_with_progress() -> None:
    progress = kv_forecast.Progress(
        prompt=10, guess=400, max_tokens=1000, event_tokens=100, spread=0.5
    )
    assert progress.run.error_tokens == 200
    progress.record_event()
    progress.record_event()
    assert progress.run.error_tokens == 100
    # The maximum answer length bounds the error.
    bounded = kv_forecast.Progress(
        prompt=10, guess=400, max_tokens=450, event_tokens=100, spread=0.5
    )
    assert bounded.run.error_tokens == 50


def test_the_spread_of_estimates_is_learned() -> None:
    lengths = answer_lengths.AnswerLengths()
    assert lengths.spread == 0.5
    for _ in range(200):
        lengths.record_answer(guess=100, actual=150)
    # A constant factor is corrected and leaves no spread.
    assert lengths.spread < 0.1
    for number in range(200):
        lengths.record_answer(guess=100, actual=300 if number % 2 else 100)
    assert 0.3 < lengths.spread < 0.7


def test_answers_longer_than_estimated_raise_the_expected_length() -> None:
    lengths = answer_lengths.AnswerLengths()
    assert lengths.expected(100, 1000) == 100
    for _ in range(200):
        lengths.record_answer(guess=100, actual=200)
    assert 190 < lengths.expected(100, 1000) <= 200
    assert lengths.expected(100, 150) == 150


def test_requests_that_can_be_in_time_are_ahead_of_late_ones() -> None:
    late, soon, later = (
        waiting_request(0.5),
        waiting_request(1.3),
        waiting_request(1.8),
    )
    urgent = waiting_request(1.9, priority=0)
    ordered = sorted(
        [late, later, soon, urgent],
        key=lambda item: queue_order.rank_of(item, 1.0),
    )
    assert ordered == [urgent, soon, later, late]
    assert not queue_order.is_infeasible(late, 3.2)
    # The client leaves a stream without tokens before its deadline.
    assert queue_order.is_infeasible(late, 3.4)


def test_ranks_of_summaries_agree_with_ranks_of_requests() -> None:
    requests = [
        waiting_request(0.5),
        waiting_request(1.3),
        waiting_request(1.8),
        waiting_request(1.9, priority=0),
    ]
    by_order = sorted(
        requests, key=lambda item: queue_order.rank_of(item, 1.0)
    )
    by_rank = sorted(
        requests, key=lambda item: queue_order.summarize(item, 1.0).rank(0.0)
    )
    assert by_order == by_rank


def test_only_one_gateway_takes_free_capacity() -> None:
    """Else all gateways reserve the same capacity at the same moment."""
    loads = endpoint_load.LoadTable(on_change=ignore)
    other = types.VmId("g2")

    def summary(slack_s: float) -> queue_order.WaitingSummary:
        return queue_order.WaitingSummary(
            priority=1, slack_s=slack_s, start_s=slack_s + 3
        )

    loads.receive(other, 1, 1, {}, 0.0, (summary(5.0), summary(9.0)))
    me = types.VmId("g3")
    assert loads.waiting_ahead(summary(4.0), me, 0.0) == 0
    assert loads.waiting_ahead(summary(6.0), me, 0.0) == 1
    # The age of a report counts.
    assert loads.waiting_ahead(summary(4.5), me, 1.0) == 1
    assert loads.waiting_ahead(summary(5.0), me, 0.0) == 1
    assert loads.waiting_ahead(summary(5.0), types.VmId("g1"), 0.0) == 0
    # A request that has become late since is behind the others.
    loads.receive(other, 1, 2, {}, 5.0, (summary(0.4), summary(9.0)))
    assert loads.waiting_ahead(summary(0.1), me, 5.5) == 0
    # Waiting requests of a gateway that ended soon stop counting.
    assert loads.waiting_ahead(summary(9.0), me, 6.2) == 1
    assert loads.waiting_ahead(summary(9.0), me, 6.4) == 0
    loads.expire(60.0)
    assert loads.waiting_ahead(summary(9.0), me, 60.0) == 0


def test_decode_capacity_is_bounded_by_slots_and_memory() -> None:
    view = GatewayView(types.Role.DECODE)
    count = view.chooser.decode_capacity(SERVICE, run(300, 100), 1000, now=0.0)
    assert count == 4
    for _ in range(5):
        view.loads.add_request(A, run=run(10, 10))
    count = view.chooser.decode_capacity(SERVICE, run(10, 10), 1000, now=0.0)
    assert count == 1 + 3


def fresh_request(**more: float) -> queue_order.WaitingRequest:
    """Return a request at the start of its 14 s."""
    usual = queue_order.WaitingRequest(
        priority=1,
        target=0.9,
        start_by=3.5,
        deadline=14.0,
        start_s=0.1,
        generation_s=4.0,
    )
    return msgspec.structs.replace(usual, **more)


def test_late_requests_wait_and_infeasible_ones_do_not() -> None:
    """A late answer is worth more than a refusal."""
    wait_s = queue_order.expected_wait_s(ahead=3, running=20, run_s=4.0)
    assert abs(wait_s - 0.8) < 1e-9
    assert not queue_order.will_be_infeasible(fresh_request(), 0.7, 0.0)
    assert not queue_order.will_be_infeasible(fresh_request(), 3.3, 0.0)
    assert queue_order.will_be_infeasible(fresh_request(), 3.5, 0.0)
    # It could start, but not finish.
    assert queue_order.will_be_infeasible(
        fresh_request(generation_s=13.0), 1.5, 0.0
    )
    # So is one that was refused before.
    assert queue_order.will_be_infeasible(
        fresh_request(refused_before=True), 3.5, 0.0
    )


def test_retry_after_is_within_what_clients_honour() -> None:
    for jitter in (0.0, 0.5, 1.0):
        after = queue_order.retry_after_s(fresh_request(), 0.9, 0.0, jitter)
        assert 0.9 <= after <= 14.0 / 3
    assert (
        queue_order.retry_after_s(fresh_request(), 60.0, 0.0, 1.0) <= 14.0 / 3
    )
    # After the deadline, as late in a planned stop.
    assert queue_order.retry_after_s(fresh_request(), 0.9, 14.5, 1.0) == 0.0


def timing_of(*, token_s: float) -> token_timing.TokenTiming:
    timing = token_timing.TokenTiming()
    timing.record_prefill(1000, 1000 * token_s)
    return timing


def test_start_time_is_a_quantile_and_not_a_mean() -> None:
    """A few very slow starts must not make all requests look late."""
    timing = timing_of(token_s=0.0001)
    for at in range(200):
        timing.record_start(1000, 3.0 if at % 20 == 0 else 0.2)
    assert 0.2 <= timing.start_s(1000) < 0.35


def test_a_prompt_is_not_sent_behind_many_prompt_tokens() -> None:
    """Prompts that queue at the endpoint are out of the gateway's order."""
    view = GatewayView(types.Role.PREFILL)
    view.loads.add_request(A, prompt=3000)
    view.loads.add_request(B, prompt=6000)
    best = view.chooser.choose_prefill(
        SERVICE, 500, max_ahead_tokens=3000, now=0.0
    )
    assert best is not None and best.id == A
    none = view.chooser.choose_prefill(
        SERVICE, 500, max_ahead_tokens=2000, now=0.0
    )
    assert none is None
    assert view.chooser.prefill_capacity(SERVICE, 3000, 0.0) == 1


def test_prompts_are_prefilled_in_place_if_all_endpoints_failed() -> None:
    """Else all prompts go to an endpoint that refuses connections."""
    view = GatewayView(types.Role.PREFILL)
    for key in (A, B):
        assert not view.chooser.must_prefill_in_place(SERVICE, 0.0)
        view.health.record_failure(key, 0.0)
    assert view.chooser.must_prefill_in_place(SERVICE, 0.1)
    assert view.chooser.choose_prefill(SERVICE, 500, now=0.1) is None
    assert not view.chooser.must_prefill_in_place(SERVICE, 5.0)


def test_a_plain_request_is_refused_only_where_it_would_be_late() -> None:
    def arrival(**more: object) -> admission.Arrival:
        found = {
            "ahead": 30,
            "slots": 6,
            "work_s": 0.09,
            "target_s": 0.4,
            "remaining_s": 3.0,
            "refused_before": False,
        }
        found.update(more)
        return admission.Arrival(**found)  # type: ignore[arg-type]

    assert admission.should_refuse(arrival())
    assert not admission.should_refuse(arrival(ahead=20))
    # One refused before needs a shorter wait.
    assert admission.should_refuse(arrival(refused_before=True))
    assert not admission.should_refuse(arrival(ahead=18))
    assert admission.should_refuse(arrival(ahead=18, refused_before=True))
    assert not admission.should_refuse(arrival(ahead=12, refused_before=True))
    # Nothing is refused while the endpoint has a free slot.
    assert not admission.should_refuse(arrival(ahead=5, work_s=2.0))
    assert not admission.should_refuse(arrival(target_s=0.0))
    assert not admission.should_refuse(arrival(work_s=0.0))
    for jitter in (0.0, 1.0):
        after = admission.retry_after_s(arrival(), jitter)
        assert 0.3 <= after <= 1.0


def test_service_time_is_derived_from_the_time_with_waiting() -> None:
    health = endpoint_health.HealthTracker()
    for _ in range(50):
        health.record_work(A, 0.5, 5.0)
    assert abs(health.work_s(A) - 0.1) < 1e-9
    assert health.work_s(B) == 0.0


def test_no_prompt_goes_to_a_prefill_endpoint_without_a_free_slot() -> None:
    view = GatewayView(types.Role.PREFILL)
    for _ in range(6):
        view.loads.add_request(A, prompt=10)
    chosen = view.chooser.choose_prefill(SERVICE, 5000, now=0.0)
    assert chosen is not None and chosen.id == B
    view.health.record_rejection(B, 0.0)
    assert view.chooser.choose_prefill(SERVICE, 5000, now=0.1) is None
    assert not view.chooser.prefill_capacity(SERVICE, 0, 0.1)
    assert view.chooser.prefill_capacity(SERVICE, 0, 0.3) == 1


def test_prefill_timeout_follows_observed_prefills() -> None:
    timing = token_timing.TokenTiming()
    assert timing.prefill_timeout_s(5000) == 1.0
    for _ in range(50):
        timing.record_prefill(5000, 0.1)
    # A slower sample has little weight.
    timing.record_prefill(5000, 0.2)
    assert 0.38 < timing.prefill_timeout_s(5000) < 0.42
    assert 1.5 < timing.prefill_timeout_s(20000) < 1.7
    timing.record_decode(100, 0.1)
    assert abs(timing.decode_s(1000) - 1.0) < 1e-9


def test_events_are_split_however_the_bytes_arrive() -> None:
    text = b"id: 1\ndata: a\n\nid: 2\nx: 1\ndata: b\n\nid: 3\nda"
    for size in (1, 2, 7, 100):
        splitter = events.Splitter()
        found = []
        for at in range(0, len(text), size):
            found += splitter.feed(text[at : at + size])
        assert [event.id for event in found] == [1, 2]
        assert b"".join(event.data for event in found) + splitter.rest == text
