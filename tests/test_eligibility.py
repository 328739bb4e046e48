"""What is never sent to, and what is only sent to last: without sockets."""

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
READ = types.Role.PREFILL
# Long enough for whatever was asked, spread and trial to be over, in seconds.
_LONG_S = 100.0


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


class Known:
    """What one gateway knows of two endpoints."""

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

    def chosen(self, now: float, role: types.Role = PLAIN) -> set[str]:
        found = self.chooser.candidates.find(SERVICE, role, now=now)
        return {item.id for item in found}


def answer(status: int, *more: message.Header) -> message.Head:
    return message.Head(status, list(more), message.Framing.LENGTH)


@pytest.mark.parametrize(
    ("told", "seconds"),
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
def test_what_is_asked_for_is_read_in_each_form(
    told: bytes, seconds: float | None
) -> None:
    date = (b"date", b"Thu, 03 Dec 2026 10:00:00 GMT")
    head = answer(503, (b"retry-after", told), date)
    assert headers.backoff_s(head) == seconds


def test_a_date_without_the_answers_own_and_other_answers_say_nothing() -> (
    None
):
    told = (b"retry-after", b"Thu, 03 Dec 2026 10:00:07 GMT")
    assert headers.backoff_s(answer(503, told)) is None
    assert headers.backoff_s(answer(503)) is None
    assert headers.backoff_s(answer(200, (b"retry-after", b"3"))) is None
    assert headers.backoff_s(answer(429, (b"retry-after", b"3"))) == 3.0


def test_a_preference_is_given_up_and_a_bar_is_not() -> None:
    known = Known()
    for item in (known.one, known.other):
        known.health.record_failure(item.id, 1.0)
    # All have just failed: they are used all the same.
    assert known.chosen(1.1) == {"a", "b"}
    known.backoffs.record_backoff(known.one, 3.0, 1.1)
    assert known.chosen(1.2) == {"b"}
    known.backoffs.record_backoff(known.other, 2.0, 1.1)
    assert known.chosen(1.2) == set()
    bar = known.eligible.ineligible_reason(known.one, 1.2)
    assert bar is eligibility.IneligibleReason.BACKOFF
    opens_s = known.chooser.candidates.available_in_s(SERVICE, PLAIN, now=1.2)
    assert opens_s is not None and 1.9 <= opens_s <= 2.2


def test_each_bar_is_told_apart() -> None:
    known = Known()
    known.eligible.set_changing_role([known.one.id])
    bar = known.eligible.ineligible_reason(known.one, 0.0)
    assert bar is eligibility.IneligibleReason.CHANGING_ROLE
    known.table.update(
        endpoint("a", sequence=2, state=endpoints.EndpointState.DRAINING), 0.0
    )
    bar = known.eligible.ineligible_reason(known.one, 0.0)
    assert bar is eligibility.IneligibleReason.LEAVING
    known.table.drop(known.one.id)
    assert (
        known.eligible.ineligible_reason(known.one, 0.0)
        is eligibility.IneligibleReason.GONE
    )
    # Of those that don't come back nobody knows when.
    opens_s = known.chooser.candidates.available_in_s(
        SERVICE, PLAIN, exclude=[known.other.id], now=0.0
    )
    assert opens_s is None


def test_of_two_times_that_were_asked_for_the_later_end_holds() -> None:
    known = Known()
    assert known.backoffs.record_backoff(known.one, 3.0, 0.0)
    assert not known.backoffs.record_backoff(known.one, 0.5, 0.1)
    assert known.backoffs.is_active(known.one, 2.9)
    assert known.backoffs.record_backoff(known.one, 3.0, 2.0)
    assert known.backoffs.is_active(known.one, 4.9)
    assert not known.backoffs.is_active(known.one, 5.0)
    assert known.chosen(5.0 + _LONG_S) == {"a", "b"}


def test_a_new_life_has_asked_for_nothing() -> None:
    known = Known()
    first = endpoint("c", born=1000)
    known.table.update(first, 0.0)
    known.backoffs.record_backoff(first, 3600.0, 0.0)
    assert (
        known.eligible.ineligible_reason(first, 1.0)
        is eligibility.IneligibleReason.BACKOFF
    )
    known.table.update(endpoint("c", born=2000), 1.0)
    assert known.eligible.ineligible_reason(first, 1.0) is None
    # A late answer of the life before binds nobody.
    known.backoffs.record_backoff(first, 3600.0, 1.1)
    assert "c" in known.chosen(1.2)


def test_when_a_backoff_is_over_one_is_sent_first() -> None:
    """All that waited came in one moment, and were turned away together.

    Of 20 that wait one goes, two more once it was taken, and all once the
    endpoint has had a second to show that it takes them.
    """
    known = Known()
    known.table.drop(known.other.id)
    known.backoffs.record_backoff(known.one, 1.0, 0.0)
    opens = known.backoffs.available_at(known.one)
    assert 1.0 <= opens <= 1.1

    def begin_all(now: float) -> int:
        begun = 0
        while begun < 20 and known.chosen(now):
            known.chooser.candidates.record_selection(known.one, now)
            begun += 1
        return begun

    assert begin_all(opens) == 1
    assert begin_all(opens + 0.05) == 0
    known.backoffs.record_accepted(known.one, opens + 0.1)
    assert begin_all(opens + 0.1) == 2
    # One that turns them away again has not taken any.
    known.backoffs.record_backoff(known.one, 1.0, opens + 0.2)
    assert begin_all(opens + 0.3) == 0
    assert begin_all(opens + 0.2 + 1.1 + 1.0) == 20


def test_many_that_were_asked_at_once_do_not_come_back_at_once() -> None:
    starts = []
    for number in range(20):
        book = backoff.BackoffTable(rng=random.Random(number))
        book.record_backoff(endpoint("a"), 2.0, 0.0)
        starts.append(book.available_at(endpoint("a")))
    assert min(starts) >= 2.0
    assert max(starts) - min(starts) > 0.1
    assert len({round(at, 3) for at in starts}) == 20


def test_prompts_are_read_in_place_unless_a_reader_is_there_soon() -> None:
    known = Known(READ)
    assert not known.chooser.must_prefill_in_place(SERVICE, 0.0)
    for item in (known.one, known.other):
        known.backoffs.record_backoff(item, 3.0, 0.0)
    assert known.chooser.must_prefill_in_place(SERVICE, 0.1)
    # The wait for one is shorter than to read it in place.
    assert not known.chooser.must_prefill_in_place(SERVICE, 2.95)
    # One that refuses connections besides is not waited for.
    for item in (known.one, known.other):
        known.health.record_failure(item.id, 2.9)
    assert known.chooser.must_prefill_in_place(SERVICE, 2.95)


def test_what_was_asked_for_is_forgotten() -> None:
    book = backoff.BackoffTable(rng=random.Random(1))
    for number in range(2000):
        book.record_backoff(endpoint(f"e{number}"), 0.5, number * 0.1)
    assert book.size < 300


def test_leaving_is_the_last_word_of_a_life() -> None:
    """Heartbeats that were sent before, or say ready still, change nothing."""
    known = Known()
    assert known.table.record_leaving(known.one)
    assert not known.table.record_leaving(known.one)
    assert (
        known.eligible.ineligible_reason(known.one, 0.0)
        is eligibility.IneligibleReason.LEAVING
    )
    known.table.update(endpoint("a", sequence=2), 1.0)
    assert (
        known.eligible.ineligible_reason(known.one, 1.0)
        is eligibility.IneligibleReason.LEAVING
    )
    # It was silent, was forgotten, and is heard of again.
    known.table.forget_silent(50.0)
    known.table.update(endpoint("a", sequence=3), 60.0)
    assert (
        known.eligible.ineligible_reason(known.one, 60.0)
        is eligibility.IneligibleReason.LEAVING
    )
    assert known.table.has_left(known.one)


def test_a_new_life_under_the_id_begins_anew() -> None:
    known = Known()
    first, second = endpoint("c", born=1000), endpoint("c", born=2000)
    known.table.update(first, 0.0)
    known.table.record_leaving(first)
    known.table.update(second, 1.0)
    assert known.eligible.ineligible_reason(second, 1.0) is None
    # The last answer of the life before comes late.
    assert not known.table.record_leaving(first)
    assert known.eligible.ineligible_reason(second, 1.0) is None
    known.table.record_leaving(second)
    known.table.update(endpoint("c", born=2000, sequence=5), 2.0)
    assert (
        known.eligible.ineligible_reason(second, 2.0)
        is eligibility.IneligibleReason.LEAVING
    )


def test_one_that_ended_is_not_brought_back_by_its_last_answer() -> None:
    known = Known()
    known.table.update(endpoint("a", state=endpoints.EndpointState.GONE), 1.0)
    assert not known.table.record_leaving(known.one)
    assert (
        known.eligible.ineligible_reason(known.one, 1.0)
        is eligibility.IneligibleReason.GONE
    )


def test_one_that_turns_away_is_used_last_until_the_others_are_crowded() -> (
    None
):
    """A plain endpoint that turned away at once had the least under way.

    Every caller was sent there first, and the budget of repeats went on
    that, though two others had room; left out altogether, the others made
    callers late while it would have taken half of them.
    """
    known = Known()
    # Told by another gateway, or seen here.
    known.health.record_reported_full(known.one.id, 1.0)
    for _ in range(8):
        known.loads.add_request(known.other.id)
        best = known.chooser.choose_plain(SERVICE, now=1.1)
        assert best is not None and best.id == "b"
    known.loads.add_request(known.other.id)
    best = known.chooser.choose_plain(SERVICE, now=1.1)
    assert best is not None and best.id == "a"
    # Where all turn away all are used.
    known.health.record_rejection(known.other.id, 1.1)
    assert known.chooser.choose_plain(SERVICE, now=1.2) is not None
    assert (
        known.chooser.choose_plain(SERVICE, exclude=["a"], now=1.2) is not None
    )


def test_what_another_gateway_was_asked_for_is_a_preference_here() -> None:
    """Prompts were read for a decode that then asked this gateway as well."""
    for role, choose in (
        (
            READ,
            lambda known, now: known.chooser.choose_prefill(
                SERVICE, 9, now=now
            ),
        ),
        (
            types.Role.DECODE,
            lambda known, now: known.chooser.choose_decode(
                SERVICE,
                kv_forecast.Run(held_tokens=9, remaining_tokens=9),
                1000,
                now=now,
            ),
        ),
    ):
        known = Known(role)
        known.health.record_reported_backoff(known.one.id, 3.0, 1.0)
        for _ in range(5):
            found = choose(known, 1.1)
            assert found is not None and found.id == "b"
            known.loads.add_request(known.other.id)
        # It was not asked itself, and nobody else has room.
        known.loads.add_request(known.other.id)
        found = choose(known, 1.1)
        assert found is not None and found.id == "a"
        # What is not told again is soon forgotten.
        assert not known.health.has_reported_backoff(known.one.id, 3.0)


def test_what_is_told_to_others_is_what_binds_here() -> None:
    known = Known()
    assert known.eligible.remaining_backoffs(1.0) == {}
    known.backoffs.record_backoff(known.one, 3.0, 1.0)
    assert known.eligible.remaining_backoffs(2.0) == {"a": 2.0}
    assert known.eligible.remaining_backoffs(4.0) == {}


def test_what_runs_at_an_endpoint_in_its_backoff_still_comes_to_an_end() -> (
    None
):
    """With nothing running the wait looked as long as a whole answer.

    So that who could be served half a second later was refused.
    """
    known = Known(types.Role.DECODE)
    run = kv_forecast.Run(held_tokens=9, remaining_tokens=9)
    for item in (known.one, known.other):
        known.loads.add_request(item.id, run=run)
        known.backoffs.record_backoff(item, 0.5, 0.0)
    assert known.chosen(0.1, types.Role.DECODE) == set()
    assert known.chooser.running_generations(SERVICE, 0.1) == 2
    # Of one that leaves no place comes back.
    known.table.record_leaving(known.one)
    assert known.chooser.running_generations(SERVICE, 0.1) == 1
