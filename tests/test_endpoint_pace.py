"""The pace of each endpoint, measured while its streams run."""

import random

from rackpost.decide import candidates
from rackpost.decide import eligibility
from rackpost.decide import endpoint_choice
from rackpost.decide import endpoint_health
from rackpost.decide import endpoint_load
from rackpost.decide import kv_forecast
from rackpost.decide.pace import batch_timing
from rackpost.decide.pace import endpoint_pace
from rackpost.decide.pace import measured_pace
from rackpost.decide.pace import running_streams
from rackpost.decide.pace import stream_clock
from rackpost.routing import endpoints
from rackpost import types

SLOW = types.EndpointId("slow")
USUAL = types.EndpointId("usual")
OTHER = types.VmId("other")
SERVICE = types.ServiceName("llm")
# Usual time between two events of a stream.
EVENT_S = 0.05


def measure() -> measured_pace.MeasuredPace:
    return measured_pace.MeasuredPace(streams=running_streams.RunningStreams())


def record(
    pace: measured_pace.MeasuredPace,
    endpoint: types.EndpointId,
    *,
    factor: float,
    since: float = 0.0,
    until: float,
) -> None:
    """Record one stream's events at a constant pace."""
    now = since
    while now < until:
        now += EVENT_S * factor
        pace.record_decode(
            endpoint, seconds=EVENT_S * factor, usual_s=EVENT_S, now=now
        )


def test_an_endpoint_slow_for_good_is_known_within_a_second() -> None:
    pace = measure()
    record(pace, SLOW, factor=3.0, until=1.0)
    record(pace, USUAL, factor=1.0, until=1.0)
    assert pace.factor(SLOW, 1.0) > 1.8
    assert pace.factor(USUAL, 1.0) == 1.0


def test_few_observations_change_the_factor_little() -> None:
    pace = measure()
    pace.record_decode(SLOW, seconds=0.1, usual_s=0.05, now=0.0)
    assert 1.0 < pace.factor(SLOW, 0.0) < 1.4


def test_a_spell_of_half_a_second_shows_and_is_forgotten() -> None:
    """An endpoint at a third of its speed from 1.0 to 1.5 s."""
    pace = measure()
    record(pace, SLOW, factor=1.0, until=1.0)
    record(pace, SLOW, factor=3.0, since=1.0, until=1.5)
    assert pace.factor(SLOW, 1.5) > 1.4
    record(pace, SLOW, factor=1.0, since=1.5, until=3.0)
    assert pace.factor(SLOW, 3.0) < 1.1


def test_an_overdue_event_shows_before_it_arrives() -> None:
    streams = running_streams.RunningStreams()
    pace = measured_pace.MeasuredPace(streams=streams)
    stream = running_streams.RunningStream(
        endpoint=SLOW, since=1.0, usual_s=EVENT_S
    )
    streams.add(stream)
    assert pace.factor(SLOW, 1.05) == 1.0
    assert pace.factor(SLOW, 1.4) > 1.5
    streams.remove(stream)
    assert pace.factor(SLOW, 1.4) == 1.0


def test_a_preempted_stream_does_not_make_its_endpoint_slow() -> None:
    """One of two streams pauses for 0.8 s, the other one goes on."""
    streams = running_streams.RunningStreams()
    pace = measured_pace.MeasuredPace(streams=streams)
    timing = batch_timing.BatchTiming()
    clocks = [
        stream_clock.StreamClock(
            endpoint=SLOW, pace=pace, timing=timing, streams=streams
        )
        for _ in range(2)
    ]
    for step in range(1, 60):
        now = EVENT_S * step
        is_paused = 20 <= step < 36
        for clock in clocks[: 1 if is_paused else 2]:
            clock.record_event(2, now)
        assert pace.factor(SLOW, now + 0.001) < 1.1
    for clock in clocks:
        clock.end()
    assert streams.overdue(SLOW, 99.0).usual_s == 0.0


def test_other_gateways_learn_of_a_slow_endpoint() -> None:
    here, there = measure(), measure()
    record(here, SLOW, factor=3.0, until=1.0)
    record(here, USUAL, factor=1.0, until=1.0)
    reports = here.reports(1.0)
    assert [report.endpoint for report in reports] == [SLOW]
    there.receive(reports, 1.0, sender=OTHER)
    assert there.factor(SLOW, 1.0) > 1.8
    # Repeated reports do not add up, and reports that end are forgotten.
    weight = there.factor(SLOW, 1.0)
    there.receive(reports, 1.0, sender=OTHER)
    assert there.factor(SLOW, 1.0) == weight
    assert there.factor(SLOW, 4.0) < 1.1


def test_a_gateway_that_sees_the_usual_pace_contradicts_a_report() -> None:
    here, there = measure(), measure()
    record(here, SLOW, factor=3.0, until=1.0)
    there.receive(here.reports(1.0), 1.0, sender=OTHER)
    record(there, SLOW, factor=1.0, until=1.0)
    assert [item.endpoint for item in there.reports(1.0)] == [SLOW]
    here.receive(there.reports(1.0), 1.0, sender=OTHER)
    assert here.factor(SLOW, 1.0) < 2.0
    assert abs(here.factor(SLOW, 1.0) - there.factor(SLOW, 1.0)) < 0.01


def test_reports_are_bounded_and_unsound_ones_ignored() -> None:
    pace = measure()
    for number in range(40):
        record(pace, types.EndpointId(f"e{number}"), factor=2.0, until=1.0)
    assert len(pace.reports(1.0)) == 16
    for figures in [(float("nan"), 1.0), (2.0, float("inf")), (-1.0, 1.0)]:
        pace.receive(
            (
                endpoint_pace.PaceReport(
                    endpoint=USUAL,
                    factor=figures[0],
                    samples=figures[1],
                    age_s=0.0,
                ),
            ),
            1.0,
            sender=OTHER,
        )
    assert pace.factor(USUAL, 1.0) == 1.0


def test_an_endpoint_that_was_slow_takes_one_request_until_observed() -> None:
    pace = measure()
    record(pace, SLOW, factor=4.0, until=1.0)
    assert not pace.is_on_trial(SLOW, 1.0)
    assert pace.is_on_trial(SLOW, 4.0)
    record(pace, SLOW, factor=1.0, since=4.0, until=4.4)
    assert not pace.is_on_trial(SLOW, 4.4)
    # It is not held against it for ever.
    assert not pace.is_on_trial(SLOW, 30.0)


def test_a_restarted_endpoint_is_as_usual() -> None:
    pace = measure()
    record(pace, SLOW, factor=4.0, until=1.0)
    pace.forget(SLOW)
    assert pace.factor(SLOW, 1.0) == 1.0
    assert not pace.is_on_trial(SLOW, 4.0)


def test_batches_of_different_size_have_different_usual_intervals() -> None:
    """A full endpoint is not slower than its pool because it is full."""
    timing = batch_timing.BatchTiming()
    for index in range(100):
        runs = 2 + index % 10
        timing.record_interval(runs, 0.04 + 0.002 * runs)
    assert abs(timing.interval_s(2) - 0.044) < 0.001
    assert abs(timing.interval_s(11) - 0.062) < 0.001


def test_pauses_hardly_change_the_usual_interval() -> None:
    timing = batch_timing.BatchTiming()
    for index in range(200):
        timing.record_interval(8, 2.0 if index % 20 == 19 else EVENT_S)
    assert timing.interval_s(8) < 1.2 * EVENT_S


class _View:
    """The choice of one gateway among a slow and a usual endpoint."""

    def __init__(self, *, role: types.Role, has_pace: bool) -> None:
        self.pace = measure()
        self.loads = endpoint_load.LoadTable(on_change=lambda: None)
        table = endpoints.EndpointTable()
        for key in (SLOW, USUAL):
            item = endpoints.Endpoint(
                id=key,
                service=SERVICE,
                address=f"{key}:1",
                role=role,
                slots=8,
                sequence=1,
            )
            table.update(item, 0.0)
        health = endpoint_health.HealthTracker()
        options = {}
        if has_pace:
            options["pace_of"] = lambda _: self.pace
        self.chooser = endpoint_choice.Chooser(
            candidates=candidates.Candidates(
                table=table,
                eligible=eligibility.Eligibility(
                    table=table, rng=random.Random(1)
                ),
                silent_after_s=100.0,
                health=health,
            ),
            loads=self.loads,
            health=health,
            data_centre=types.DataCentre(""),
            rng=random.Random(1),
            **options,
        )

    def decode(self, now: float = 1.0) -> types.EndpointId | None:
        run = kv_forecast.Run(held_tokens=100, remaining_tokens=100)
        found = self.chooser.choose_decode(SERVICE, run, 10_000, now=now)
        return None if found is None else found.id

    def prefill(self) -> types.EndpointId | None:
        found = self.chooser.choose_prefill(SERVICE, 1000, now=1.0)
        return None if found is None else found.id


def test_generations_go_to_the_usual_endpoint_until_it_is_fuller() -> None:
    view = _View(role=types.Role.DECODE, has_pace=True)
    record(view.pace, SLOW, factor=3.0, until=1.0)
    run = kv_forecast.Run(held_tokens=100, remaining_tokens=100)
    chosen = []
    for _ in range(6):
        endpoint = view.decode()
        assert endpoint is not None
        chosen.append(endpoint)
        view.loads.add_request(endpoint, run=run)
    assert chosen[:2] == [USUAL, USUAL]
    assert chosen.count(SLOW) in (1, 2)


def test_prompts_go_to_the_usual_endpoint() -> None:
    view = _View(role=types.Role.PREFILL, has_pace=True)
    record(view.pace, SLOW, factor=3.0, until=1.0)
    assert view.prefill() == USUAL
    view.loads.add_request(USUAL, prompt=5000)
    assert view.prefill() == SLOW


def test_one_request_at_a_time_tries_an_endpoint_that_was_slow() -> None:
    view = _View(role=types.Role.DECODE, has_pace=True)
    record(view.pace, SLOW, factor=8.0, until=1.0)
    run = kv_forecast.Run(held_tokens=100, remaining_tokens=100)
    view.loads.add_request(USUAL, run=run)
    # Its observations have lost their weight: it is tried again, by one.
    assert view.decode(6.0) == SLOW
    view.loads.add_request(SLOW, run=run)
    view.loads.add_request(USUAL, run=run)
    assert view.decode(6.0) == USUAL


def test_without_the_part_the_pace_does_not_count() -> None:
    for role in (types.Role.DECODE, types.Role.PREFILL):
        view = _View(role=role, has_pace=False)
        record(view.pace, SLOW, factor=8.0, until=1.0)
        view.loads.add_request(
            USUAL,
            prompt=10,
            run=kv_forecast.Run(held_tokens=9, remaining_tokens=9),
        )
        chosen = view.decode() if role is types.Role.DECODE else view.prefill()
        assert chosen == SLOW
