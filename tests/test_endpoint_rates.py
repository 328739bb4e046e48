"""Rates that endpoints name: what is read, and for how long it holds."""

import pytest

from rackpost.decide import endpoint_rates
from rackpost.http1 import message
from rackpost.platform import headers
from tests import test_eligibility

NONE = endpoint_rates.AnswerRate()


def rate(per_s: float) -> endpoint_rates.AnswerRate:
    return endpoint_rates.AnswerRate(per_s=per_s)


def answer(*told: bytes, status: int = 200) -> message.Head:
    found = [(b"server-limit", value) for value in told]
    return message.Head(status, found, message.Framing.LENGTH)


@pytest.mark.parametrize(
    ("told", "per_s"),
    [
        (b"3.3", 3.3),
        (b" 12 ", 12.0),
        (b"0", 0.0),
        (b"0.1", 0.1),
        (b".5", 0.5),
    ],
)
@pytest.mark.parametrize("status", [200, 204, 421, 500, 503])
def test_a_decimal_number_is_read_on_any_status(
    told: bytes, per_s: float, status: int
) -> None:
    assert headers.named_rate(answer(told, status=status)) == rate(per_s)


@pytest.mark.parametrize(
    "told",
    [b"", b"-1", b"nan", b"inf", b"1e9", b"3,3", b"3, 4", b"many", b"9" * 40],
)
def test_what_is_no_decimal_number_cannot_be_read(told: bytes) -> None:
    assert headers.named_rate(answer(told)).unreadable


def test_a_rate_that_is_told_twice_cannot_be_read() -> None:
    assert headers.named_rate(answer(b"3", b"3")).unreadable
    assert headers.named_rate(answer()) == NONE


class Known:
    """A book, and an endpoint whose answers it notes."""

    def __init__(self) -> None:
        self.book = endpoint_rates.RateTable()
        self.one = test_eligibility.endpoint("a", born=1)

    def answers(self, named: endpoint_rates.AnswerRate, now: float) -> bool:
        return self.book.record_answer(self.one, named, now)

    @property
    def per_s(self) -> float | None:
        return self.book.per_s(self.one)

    def told(
        self, per_s: float | None, age_s: float = 0.0
    ) -> endpoint_rates.RateUpdate:
        return endpoint_rates.RateUpdate(
            endpoint=self.one.id, born=1, per_s=per_s, age_s=age_s
        )


def test_the_rate_of_the_latest_answer_holds() -> None:
    known = Known()
    assert not known.answers(NONE, 0.0)
    assert known.answers(rate(12.0), 1.0)
    assert not known.answers(rate(12.0), 1.1)
    assert known.answers(rate(2.0), 1.2)
    assert known.per_s == 2.0
    assert known.answers(rate(7.0), 1.3)
    assert known.per_s == 7.0


def test_what_cannot_be_read_changes_nothing_and_is_news_once() -> None:
    known = Known()
    known.answers(rate(3.0), 1.0)
    for at in range(10):
        assert not known.answers(
            endpoint_rates.AnswerRate(unreadable=True), 2.0 + at
        )
    assert known.per_s == 3.0
    assert known.book.record_unreadable(known.one)
    assert not known.book.record_unreadable(known.one)


def test_one_answer_without_a_rate_is_not_its_end() -> None:
    known = Known()
    known.answers(rate(3.0), 1.0)
    for at in range(5):
        assert not known.answers(NONE, 1.1 + at)
        assert not known.answers(NONE, 1.2 + at)
        known.answers(rate(3.0), 1.3 + at)
    assert known.per_s == 3.0


def test_three_answers_without_it_end_it_and_it_may_come_back() -> None:
    known = Known()
    known.answers(rate(3.0), 1.0)
    assert [known.answers(NONE, 1.1) for _ in range(3)] == [
        False,
        False,
        True,
    ]
    assert known.per_s is None
    assert not known.answers(NONE, 1.2)
    assert known.answers(rate(3.0), 1.3)
    assert known.per_s == 3.0


def test_after_a_while_one_answer_without_it_is_enough() -> None:
    """At a rate near 0 three would take as many times longer."""
    known = Known()
    known.answers(rate(0.0), 1.0)
    assert known.answers(NONE, 5.0)
    assert known.per_s is None


def test_an_endpoint_that_starts_again_has_named_none() -> None:
    known = Known()
    known.answers(rate(3.0), 1.0)
    reborn = test_eligibility.endpoint("a", born=2)
    assert known.book.per_s(reborn) is None
    known.book.retain({reborn.incarnation})
    assert known.book.incarnations == ()


def test_of_what_others_tell_the_later_word_holds() -> None:
    known, other = Known(), Known()
    known.answers(rate(3.0), 10.0)
    (told,) = known.book.next_updates(10.5)
    assert told.age_s == 0.5
    # By another clock: readings are not compared, ages are.
    assert other.book.receive(told, 500.0)
    assert other.per_s == 3.0
    assert not other.book.receive(told, 500.0)
    other.answers(rate(6.0), 500.2)
    older = known.told(3.0, age_s=0.9)
    assert not other.book.receive(older, 500.3)
    assert other.per_s == 6.0
    assert other.book.receive(known.told(None), 500.4)
    assert other.per_s is None


def test_a_word_of_the_end_of_what_is_not_known_is_no_news() -> None:
    known = Known()
    assert not known.book.receive(known.told(None), 1.0)
    assert known.book.incarnations == ()


def test_a_change_is_told_at_once_and_all_of_it_now_and_then() -> None:
    known = Known()
    assert known.book.next_updates(0.0) == ()
    known.answers(rate(3.0), 0.1)
    assert known.book.next_updates(0.2) == (known.told(3.0, age_s=0.1),)
    known.answers(rate(3.0), 0.3)
    assert known.book.next_updates(0.4) == ()
    assert known.book.next_updates(1.3) == (known.told(3.0, age_s=1.0),)
    for _ in range(3):
        known.answers(NONE, 1.4)
    assert known.book.next_updates(1.4) == (known.told(None),)


def test_of_thousands_not_more_is_told_than_a_datagram_carries() -> None:
    book = endpoint_rates.RateTable()
    for number in range(2000):
        one = test_eligibility.endpoint(f"e{number}", born=1)
        book.record_answer(one, rate(3.0), 1.0)
    assert len(book.next_updates(1.0)) < 100
    assert len(book.next_updates(9.0)) < 100
