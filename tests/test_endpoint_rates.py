"""Announced rates: parsing, and how long they apply."""

import pytest

from rackpost.decide import endpoint_rates
from rackpost.http1 import message
from rackpost.platform import headers
from tests import test_eligibility

NONE = endpoint_rates.AnswerRate()


def rate(per_s: float) -> endpoint_rates.AnswerRate:
    return endpoint_rates.AnswerRate(per_s=per_s)


def answer(*texts: bytes, status: int = 200) -> message.Head:
    found = [(b"server-limit", value) for value in texts]
    return message.Head(status, found, message.Framing.LENGTH)


@pytest.mark.parametrize(
    ("text", "per_s"),
    [
        (b"3.3", 3.3),
        (b" 12 ", 12.0),
        (b"0", 0.0),
        (b"0.1", 0.1),
        (b".5", 0.5),
    ],
)
@pytest.mark.parametrize("status", [200, 204, 421, 500, 503])
def test_a_decimal_number_is_parsed_on_any_status(
    text: bytes, per_s: float, status: int
) -> None:
    assert headers.named_rate(answer(text, status=status)) == rate(per_s)


@pytest.mark.parametrize(
    "text",
    [b"", b"-1", b"nan", b"inf", b"1e9", b"3,3", b"3, 4", b"many", b"9" * 40],
)
def test_anything_but_a_decimal_number_is_unreadable(text: bytes) -> None:
    assert headers.named_rate(answer(text)).unreadable


def test_a_repeated_header_is_unreadable() -> None:
    assert headers.named_rate(answer(b"3", b"3")).unreadable
    assert headers.named_rate(answer()) == NONE


class RateView:
    """A rate table and one endpoint."""

    def __init__(self) -> None:
        self.table = endpoint_rates.RateTable()
        self.one = test_eligibility.endpoint("a", born=1)

    def record_answer(
        self, announced: endpoint_rates.AnswerRate, now: float
    ) -> bool:
        return self.table.record_answer(self.one, announced, now)

    @property
    def per_s(self) -> float | None:
        return self.table.per_s(self.one)

    def update(
        self, per_s: float | None, age_s: float = 0.0
    ) -> endpoint_rates.RateUpdate:
        return endpoint_rates.RateUpdate(
            endpoint=self.one.id, born=1, per_s=per_s, age_s=age_s
        )


def test_the_rate_of_the_latest_answer_applies() -> None:
    view = RateView()
    assert not view.record_answer(NONE, 0.0)
    assert view.record_answer(rate(12.0), 1.0)
    assert not view.record_answer(rate(12.0), 1.1)
    assert view.record_answer(rate(2.0), 1.2)
    assert view.per_s == 2.0
    assert view.record_answer(rate(7.0), 1.3)
    assert view.per_s == 7.0


def test_an_unreadable_rate_changes_nothing_and_is_new_once() -> None:
    view = RateView()
    view.record_answer(rate(3.0), 1.0)
    for at in range(10):
        assert not view.record_answer(
            endpoint_rates.AnswerRate(unreadable=True), 2.0 + at
        )
    assert view.per_s == 3.0
    assert view.table.record_unreadable(view.one)
    assert not view.table.record_unreadable(view.one)


def test_one_answer_without_a_rate_does_not_end_it() -> None:
    view = RateView()
    view.record_answer(rate(3.0), 1.0)
    for at in range(5):
        assert not view.record_answer(NONE, 1.1 + at)
        assert not view.record_answer(NONE, 1.2 + at)
        view.record_answer(rate(3.0), 1.3 + at)
    assert view.per_s == 3.0


def test_three_answers_without_a_rate_end_it() -> None:
    view = RateView()
    view.record_answer(rate(3.0), 1.0)
    assert [view.record_answer(NONE, 1.1) for _ in range(3)] == [
        False,
        False,
        True,
    ]
    assert view.per_s is None
    assert not view.record_answer(NONE, 1.2)
    assert view.record_answer(rate(3.0), 1.3)
    assert view.per_s == 3.0


def test_one_answer_without_a_rate_ends_an_old_one() -> None:
    """At a rate near 0 three answers would take too long."""
    view = RateView()
    view.record_answer(rate(0.0), 1.0)
    assert view.record_answer(NONE, 5.0)
    assert view.per_s is None


def test_a_new_incarnation_has_no_rate() -> None:
    view = RateView()
    view.record_answer(rate(3.0), 1.0)
    restarted = test_eligibility.endpoint("a", born=2)
    assert view.table.per_s(restarted) is None
    view.table.retain({restarted.incarnation})
    assert view.table.incarnations == ()


def test_the_later_update_of_other_gateways_applies() -> None:
    view, other = RateView(), RateView()
    view.record_answer(rate(3.0), 10.0)
    (update,) = view.table.next_updates(10.5)
    assert update.age_s == 0.5
    # Clocks differ between gateways; ages are compared.
    assert other.table.receive(update, 500.0)
    assert other.per_s == 3.0
    assert not other.table.receive(update, 500.0)
    other.record_answer(rate(6.0), 500.2)
    older = view.update(3.0, age_s=0.9)
    assert not other.table.receive(older, 500.3)
    assert other.per_s == 6.0
    assert other.table.receive(view.update(None), 500.4)
    assert other.per_s is None


def test_the_end_of_an_unknown_rate_is_no_change() -> None:
    view = RateView()
    assert not view.table.receive(view.update(None), 1.0)
    assert view.table.incarnations == ()


def test_changes_are_reported_at_once_and_all_rates_periodically() -> None:
    view = RateView()
    assert view.table.next_updates(0.0) == ()
    view.record_answer(rate(3.0), 0.1)
    assert view.table.next_updates(0.2) == (view.update(3.0, age_s=0.1),)
    view.record_answer(rate(3.0), 0.3)
    assert view.table.next_updates(0.4) == ()
    assert view.table.next_updates(1.3) == (view.update(3.0, age_s=1.0),)
    for _ in range(3):
        view.record_answer(NONE, 1.4)
    assert view.table.next_updates(1.4) == (view.update(None),)


def test_updates_are_bounded_to_a_datagram() -> None:
    table = endpoint_rates.RateTable()
    for number in range(2000):
        one = test_eligibility.endpoint(f"e{number}", born=1)
        table.record_answer(one, rate(3.0), 1.0)
    assert len(table.next_updates(1.0)) < 100
    assert len(table.next_updates(9.0)) < 100
