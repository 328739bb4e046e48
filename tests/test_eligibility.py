"""Eligibility of endpoints and preferences among them, without sockets."""

import random

import pytest

from rackpost.decide import backoff
from rackpost.decide import candidates
from rackpost.decide import eligibility
from rackpost.decide import endpoint_choice
from rackpost.decide import endpoint_health
from rackpost.decide import endpoint_load
from rackpost.decide import kv_forecast
from rackpost.http1 import message
from rackpost.platform import headers
from rackpost.routing import endpoints
from rackpost import types

HERE = types.DataCentre("here")
SERVICE = types.ServiceName("s")
PLAIN = types.Role.PLAIN
PREFILL = types.Role.PREFILL
# Longer than any back-off and slow start here, in seconds.
_AFTER_BACKOFF_S = 100.0


def endpoint(
    key: str, role: types.Role = PLAIN, **more: object
) -> endpoints.Endpoint:
    found: dict[str, object] = {
        "id": types.EndpointId(key),
        "service": SERVICE,
        "address": f"{key}:1",
        "data_centre": HERE,
        "role": role,
        "slots": 6,
        "sequence": 1,
    }
    found.update(more)
    return endpoints.Endpoint(**found)  # type: ignore[arg-type]


class GatewayView:
    """One gateway's view of two endpoints."""

    def __init__(self, role: types.Role = PLAIN) -> None:
        self.table = endpoints.EndpointTable()
        self.health = endpoint_health.HealthTracker()
        self.eligible = eligibility.Eligibility(
            table=self.table, rng=random.Random(1)
        )
        self.backoffs = self.eligible.backoffs
        self.loads = endpoint_load.LoadTable(on_change=lambda: None)
        self.chooser = endpoint_choice.Chooser(
            candidates=candidates.Candidates(
                table=self.table,
                eligible=self.eligible,
                silent_after_s=4.0,
                health=self.health,
            ),
            loads=self.loads,
            health=self.health,
            data_centre=HERE,
            rng=random.Random(1),
        )
        self.one, self.other = endpoint("a", role), endpoint("b", role)
        for item in (self.one, self.other):
            self.table.update(item, 0.0)

    def candidate_ids(self, now: float, role: types.Role = PLAIN) -> set[str]:
        found = self.chooser.candidates.find(SERVICE, role, now=now)
        return {item.id for item in found}


def answer(status: int, *more: message.Header) -> message.Head:
    return message.Head(status, list(more), message.Framing.LENGTH)


@pytest.mark.parametrize(
    ("value", "seconds"),
    [
        (b"3", 3.0),
        (b" 0.25", 0.25),
        (b"3600", 3600.0),
        (b"0", None),
        (b"-2", None),
        (b"nan", None),
        (b"inf", None),
        (b"soon", None),
        (b"", None),
        (b"Thu, 03 Dec 2026 10:00:07 GMT", 7.0),
        (b"Thu, 03 Dec 2026 09:00:00 GMT", None),
    ],
)
def test_retry_after_is_parsed_in_each_form(
    value: bytes, seconds: float | None
) -> None:
    date = (b"date", b"Thu, 03 Dec 2026 10:00:00 GMT")
    head = answer(503, (b"retry-after", value), date)
    assert headers.backoff_s(head) == seconds


def test_retry_after_needs_a_date_header_and_a_rejecting_status() -> None:
    value = (b"retry-after", b"Thu, 03 Dec 2026 10:00:07 GMT")
    assert headers.backoff_s(answer(503, value)) is None
    assert headers.backoff_s(answer(503)) is None
    assert headers.backoff_s(answer(200, (b"retry-after", b"3"))) is None
    assert headers.backoff_s(answer(429, (b"retry-after", b"3"))) == 3.0


def test_failed_endpoints_are_a_last_resort_and_ineligible_are_none() -> None:
    view = GatewayView()
    for item in (view.one, view.other):
        view.health.record_failure(item.id, 1.0)
    # All have just failed, so all remain candidates.
    assert view.candidate_ids(1.1) == {"a", "b"}
    view.backoffs.record_backoff(view.one, 3.0, 1.1)
    assert view.candidate_ids(1.2) == {"b"}
    view.backoffs.record_backoff(view.other, 2.0, 1.1)
    assert view.candidate_ids(1.2) == set()
    reason = view.eligible.ineligible_reason(view.one, 1.2)
    assert reason is eligibility.IneligibleReason.BACKOFF
    available_in_s = view.chooser.candidates.available_in_s(
        SERVICE, PLAIN, now=1.2
    )
    assert available_in_s is not None and 1.9 <= available_in_s <= 2.2


def test_each_ineligible_reason_is_reported() -> None:
    view = GatewayView()
    view.eligible.set_changing_role([view.one.id])
    reason = view.eligible.ineligible_reason(view.one, 0.0)
    assert reason is eligibility.IneligibleReason.CHANGING_ROLE
    view.table.update(
        endpoint("a", sequence=2, state=endpoints.EndpointState.DRAINING), 0.0
    )
    reason = view.eligible.ineligible_reason(view.one, 0.0)
    assert reason is eligibility.IneligibleReason.LEAVING
    view.table.drop(view.one.id)
    assert (
        view.eligible.ineligible_reason(view.one, 0.0)
        is eligibility.IneligibleReason.GONE
    )
    # No end is known for the other reasons.
    available_in_s = view.chooser.candidates.available_in_s(
        SERVICE, PLAIN, exclude=[view.other.id], now=0.0
    )
    assert available_in_s is None


def test_the_back_off_that_ends_last_applies() -> None:
    view = GatewayView()
    assert view.backoffs.record_backoff(view.one, 3.0, 0.0)
    assert not view.backoffs.record_backoff(view.one, 0.5, 0.1)
    assert view.backoffs.is_active(view.one, 2.9)
    assert view.backoffs.record_backoff(view.one, 3.0, 2.0)
    assert view.backoffs.is_active(view.one, 4.9)
    assert not view.backoffs.is_active(view.one, 5.0)
    assert view.candidate_ids(5.0 + _AFTER_BACKOFF_S) == {"a", "b"}


def test_a_new_incarnation_has_no_back_off() -> None:
    view = GatewayView()
    first = endpoint("c", born=1000)
    view.table.update(first, 0.0)
    view.backoffs.record_backoff(first, 3600.0, 0.0)
    assert (
        view.eligible.ineligible_reason(first, 1.0)
        is eligibility.IneligibleReason.BACKOFF
    )
    view.table.update(endpoint("c", born=2000), 1.0)
    assert view.eligible.ineligible_reason(first, 1.0) is None
    # A late answer of the old incarnation has no effect.
    view.backoffs.record_backoff(first, 3600.0, 1.1)
    assert "c" in view.candidate_ids(1.2)


def test_a_slow_start_follows_a_back_off() -> None:
    """Else all waiting requests would arrive at once and be rejected.

    Of 20 waiting requests one is sent, two more once it was accepted, and
    all after a second.
    """
    view = GatewayView()
    view.table.drop(view.other.id)
    view.backoffs.record_backoff(view.one, 1.0, 0.0)
    available_at = view.backoffs.available_at(view.one)
    assert 1.0 <= available_at <= 1.1

    def select_all(now: float) -> int:
        selected = 0
        while selected < 20 and view.candidate_ids(now):
            view.chooser.candidates.record_selection(view.one, now)
            selected += 1
        return selected

    assert select_all(available_at) == 1
    assert select_all(available_at + 0.05) == 0
    view.backoffs.record_accepted(view.one, available_at + 0.1)
    assert select_all(available_at + 0.1) == 2
    # A further rejection starts over.
    view.backoffs.record_backoff(view.one, 1.0, available_at + 0.2)
    assert select_all(available_at + 0.3) == 0
    assert select_all(available_at + 0.2 + 1.1 + 1.0) == 20


def test_gateways_do_not_resume_together_after_a_back_off() -> None:
    starts = []
    for number in range(20):
        table = backoff.BackoffTable(rng=random.Random(number))
        table.record_backoff(endpoint("a"), 2.0, 0.0)
        starts.append(table.available_at(endpoint("a")))
    assert min(starts) >= 2.0
    assert max(starts) - min(starts) > 0.1
    assert len({round(at, 3) for at in starts}) == 20


def test_prefill_in_place_unless_an_endpoint_is_available_soon() -> None:
    view = GatewayView(PREFILL)
    assert not view.chooser.must_prefill_in_place(SERVICE, 0.0)
    for item in (view.one, view.other):
        view.backoffs.record_backoff(item, 3.0, 0.0)
    assert view.chooser.must_prefill_in_place(SERVICE, 0.1)
    # Waiting for one is shorter than a prefill in place.
    assert not view.chooser.must_prefill_in_place(SERVICE, 2.95)
    # One that also refuses connections is not waited for.
    for item in (view.one, view.other):
        view.health.record_failure(item.id, 2.9)
    assert view.chooser.must_prefill_in_place(SERVICE, 2.95)


def test_expired_back_offs_are_dropped() -> None:
    table = backoff.BackoffTable(rng=random.Random(1))
    for number in range(2000):
        table.record_backoff(endpoint(f"e{number}"), 0.5, number * 0.1)
    assert table.size < 300


def test_a_leaving_incarnation_stays_ineligible() -> None:
    """Delayed heartbeats that report it as ready change nothing."""
    view = GatewayView()
    assert view.table.record_leaving(view.one)
    assert not view.table.record_leaving(view.one)
    assert (
        view.eligible.ineligible_reason(view.one, 0.0)
        is eligibility.IneligibleReason.LEAVING
    )
    view.table.update(endpoint("a", sequence=2), 1.0)
    assert (
        view.eligible.ineligible_reason(view.one, 1.0)
        is eligibility.IneligibleReason.LEAVING
    )
    # Forgotten after a silence, and back with a heartbeat.
    view.table.forget_silent(50.0)
    view.table.update(endpoint("a", sequence=3), 60.0)
    assert (
        view.eligible.ineligible_reason(view.one, 60.0)
        is eligibility.IneligibleReason.LEAVING
    )
    assert view.table.has_left(view.one)


def test_a_new_incarnation_is_eligible_after_the_old_one_left() -> None:
    view = GatewayView()
    first, second = endpoint("c", born=1000), endpoint("c", born=2000)
    view.table.update(first, 0.0)
    view.table.record_leaving(first)
    view.table.update(second, 1.0)
    assert view.eligible.ineligible_reason(second, 1.0) is None
    # A late answer of the old incarnation.
    assert not view.table.record_leaving(first)
    assert view.eligible.ineligible_reason(second, 1.0) is None
    view.table.record_leaving(second)
    view.table.update(endpoint("c", born=2000, sequence=5), 2.0)
    assert (
        view.eligible.ineligible_reason(second, 2.0)
        is eligibility.IneligibleReason.LEAVING
    )


def test_a_late_answer_does_not_revive_an_ended_endpoint() -> None:
    view = GatewayView()
    view.table.update(endpoint("a", state=endpoints.EndpointState.GONE), 1.0)
    assert not view.table.record_leaving(view.one)
    assert (
        view.eligible.ineligible_reason(view.one, 1.0)
        is eligibility.IneligibleReason.GONE
    )


def test_a_rejecting_endpoint_is_last_until_others_are_overloaded() -> None:
    """An endpoint that rejects at once has the fewest requests in flight.

    Choosing it first uses up the retry budget; excluding it overloads the
    other endpoints.
    """
    view = GatewayView()
    # Reported by another gateway.
    view.health.record_reported_full(view.one.id, 1.0)
    for _ in range(8):
        view.loads.add_request(view.other.id)
        best = view.chooser.choose_plain(SERVICE, now=1.1)
        assert best is not None and best.id == "b"
    view.loads.add_request(view.other.id)
    best = view.chooser.choose_plain(SERVICE, now=1.1)
    assert best is not None and best.id == "a"
    # Where all reject, all are candidates.
    view.health.record_rejection(view.other.id, 1.1)
    assert view.chooser.choose_plain(SERVICE, now=1.2) is not None
    assert (
        view.chooser.choose_plain(SERVICE, exclude=["a"], now=1.2) is not None
    )


def test_a_back_off_of_another_gateway_is_a_preference() -> None:
    """Else prompts are prefilled for an endpoint that will reject them."""
    for role, choose in (
        (
            PREFILL,
            lambda view, now: view.chooser.choose_prefill(SERVICE, 9, now=now),
        ),
        (
            types.Role.DECODE,
            lambda view, now: view.chooser.choose_decode(
                SERVICE,
                kv_forecast.Run(held_tokens=9, remaining_tokens=9),
                1000,
                now=now,
            ),
        ),
    ):
        view = GatewayView(role)
        view.health.record_reported_backoff(view.one.id, 3.0, 1.0)
        for _ in range(5):
            found = choose(view, 1.1)
            assert found is not None and found.id == "b"
            view.loads.add_request(view.other.id)
        # The back-off does not bind this gateway, and the other is full.
        view.loads.add_request(view.other.id)
        found = choose(view, 1.1)
        assert found is not None and found.id == "a"
        # A report that is not repeated expires.
        assert not view.health.has_reported_backoff(view.one.id, 3.0)


def test_active_back_offs_are_reported_to_other_gateways() -> None:
    view = GatewayView()
    assert view.eligible.remaining_backoffs(1.0) == {}
    view.backoffs.record_backoff(view.one, 3.0, 1.0)
    assert view.eligible.remaining_backoffs(2.0) == {"a": 2.0}
    assert view.eligible.remaining_backoffs(4.0) == {}


def test_generations_at_an_endpoint_in_back_off_count_as_running() -> None:
    """Without them the expected wait is too long, and requests are refused."""
    view = GatewayView(types.Role.DECODE)
    run = kv_forecast.Run(held_tokens=9, remaining_tokens=9)
    for item in (view.one, view.other):
        view.loads.add_request(item.id, run=run)
        view.backoffs.record_backoff(item, 0.5, 0.0)
    assert view.candidate_ids(0.1, types.Role.DECODE) == set()
    assert view.chooser.running_generations(SERVICE, 0.1) == 2
    # An endpoint that leaves frees no capacity.
    view.table.record_leaving(view.one)
    assert view.chooser.running_generations(SERVICE, 0.1) == 1
