"""Quarantine of requests that crash endpoints.

Guards against the quarantine of innocent requests that ran beside them.
"""

import random

import hypothesis
from hypothesis import strategies
import msgspec

from rackpost.coordinator import messages
from rackpost import crash_tracker as crash_tracker_mod
from rackpost.decide import quarantine
from rackpost.link import codec
from rackpost.routing import endpoints
from rackpost import types

_BAD = types.Fingerprint(b"\xbd" * 16)
_SECOND_BAD = types.Fingerprint(b"\x0e" * 16)
_INNOCENT = types.Fingerprint(b"\x11" * 16)


def _suspicion(
    request: types.Fingerprint, number: int, *, ran_ms: int = 90
) -> quarantine.Suspicion:
    return quarantine.Suspicion(
        subject=request,
        endpoint=types.EndpointId(f"e{number}"),
        ran_ms=ran_ms,
    )


def _quarantine(*items: quarantine.Suspicion) -> quarantine.Quarantine:
    found = quarantine.Quarantine()
    found.add(items, 0.0)
    return found


def test_three_different_incarnations_quarantine_a_request() -> None:
    table = _quarantine(
        _suspicion(_BAD, 1), _suspicion(_BAD, 2), _suspicion(_BAD, 2)
    )
    assert not table.is_quarantined(_BAD, 0.0)
    # Another incarnation of the same endpoint.
    again = quarantine.Suspicion(
        subject=_BAD, endpoint=types.EndpointId("e2"), born=5
    )
    assert table.add([again], 1.0) == {_BAD}
    assert table.is_quarantined(_BAD, 1.0)
    assert not table.is_quarantined(_SECOND_BAD, 1.0)


def test_a_quarantine_lasts_an_hour_and_returns_at_the_next_end() -> None:
    table = _quarantine(*(_suspicion(_BAD, number) for number in range(3)))
    assert table.is_quarantined(_BAD, quarantine.QUARANTINE_S - 1)
    assert not table.is_quarantined(_BAD, quarantine.QUARANTINE_S + 1)
    at = quarantine.QUARANTINE_S + 2
    table.add([_suspicion(_BAD, 9)], at)
    assert table.is_quarantined(_BAD, at + 1)
    table.forget(at + 30 * quarantine.QUARANTINE_S)
    assert len(table) == 0


def test_a_quarantined_request_explains_ends_under_others() -> None:
    """The innocent request ran at the same three endpoints."""
    items = [_suspicion(_BAD, number) for number in range(3)]
    items += [_suspicion(_INNOCENT, n, ran_ms=900) for n in range(3)]
    table = _quarantine(*items)
    assert table.is_quarantined(_BAD, 0.0)
    assert not table.is_quarantined(_INNOCENT, 0.0)


def test_two_crashing_requests_that_met_once_are_quarantined() -> None:
    items = [_suspicion(_BAD, number) for number in range(3)]
    items += [_suspicion(_SECOND_BAD, number) for number in (2, 3, 4)]
    table = _quarantine(*items)
    assert table.is_quarantined(_BAD, 0.0)
    assert table.is_quarantined(_SECOND_BAD, 0.0)


def test_two_crashing_requests_that_always_met_are_told_apart() -> None:
    """The first three ends are explained by one of them alone."""
    items = [_suspicion(_BAD, number) for number in range(3)]
    items += [
        _suspicion(_SECOND_BAD, number, ran_ms=95) for number in range(3)
    ]
    table = _quarantine(*items)
    for number in range(3, 20):
        request = (_BAD, _SECOND_BAD)[number % 2]
        if not table.is_quarantined(request, number):
            table.add([_suspicion(request, number)], number)
    assert table.is_quarantined(_BAD, 20.0)
    assert table.is_quarantined(_SECOND_BAD, 20.0)
    assert len(table.ended_endpoints(_BAD)) <= 5
    assert len(table.ended_endpoints(_SECOND_BAD)) <= 5


@hypothesis.given(strategies.data())
def test_the_order_of_suspicions_does_not_matter(
    data: strategies.DataObject,
) -> None:
    one = strategies.builds(
        quarantine.Suspicion,
        subject=strategies.sampled_from([_BAD, _SECOND_BAD, _INNOCENT]),
        endpoint=strategies.sampled_from(
            [types.EndpointId(f"e{n}") for n in range(4)]
        ),
        ran_ms=strategies.just(90),
        cleared=strategies.booleans(),
    )
    published = data.draw(strategies.lists(one, max_size=12))
    other = data.draw(strategies.permutations(published + published))
    tables = [quarantine.Quarantine(), quarantine.Quarantine()]
    tables[0].add(published, 0.0)
    for item in other:
        tables[1].add([item], 0.0)
    for request in (_BAD, _SECOND_BAD, _INNOCENT):
        quarantined = {table.is_quarantined(request, 1.0) for table in tables}
        assert len(quarantined) == 1


@hypothesis.given(strategies.data())
def test_the_order_of_suspicions_of_parts_does_not_matter(
    data: strategies.DataObject,
) -> None:
    subjects = [_BAD, _SECOND_BAD, _INNOCENT]
    one = strategies.builds(
        quarantine.Suspicion,
        subject=strategies.sampled_from(subjects),
        endpoint=strategies.sampled_from(
            [types.EndpointId(f"e{n}") for n in range(6)]
        ),
        ran_ms=strategies.sampled_from([90, 900]),
        place=strategies.sampled_from([0, 1, 2]),
        cleared=strategies.booleans(),
        sound=strategies.booleans(),
    )
    published = data.draw(strategies.lists(one, max_size=24))
    other = data.draw(strategies.permutations(published + published))
    tables = [quarantine.Quarantine(), quarantine.Quarantine()]
    tables[0].add(published, 0.0)
    for item in other:
        tables[1].add([item], 0.0)
    for now in (1.0, 10.0):
        held = [
            [table.holding(subjects[:count], now) for count in (1, 2, 3)]
            for table in tables
        ]
        assert held[0] == held[1]


def test_the_least_suspected_requests_are_dropped_first() -> None:
    table = quarantine.Quarantine()
    bad = [types.Fingerprint(b"%16d" % n) for n in range(1000)]
    for at, request in enumerate(bad):
        table.add([_suspicion(request, 3 * at + n) for n in range(3)], at)
    for number in range(20_000):
        single = types.Fingerprint(b"s%15d" % number)
        table.add([_suspicion(single, number)], 2000.0)
    assert len(table) <= 4096
    assert all(table.is_quarantined(request, 2000.0) for request in bad)
    # A gateway that has just started receives all in one message.
    msg = messages.Suspicions(items=table.suspicions(2, 2000.0))
    data = codec.encode(msg)
    assert len(data) < 200_000
    decoded = codec.Decoder(kinds=messages.Suspicions).decode(data)
    fresh = quarantine.Quarantine()
    fresh.add(decoded.items, 0.0)
    assert all(fresh.is_quarantined(request, 0.0) for request in bad)


class _Gateway:
    """A gateway's crash tracker and its endpoint table."""

    def __init__(self) -> None:
        self.table = endpoints.EndpointTable()
        self.published: list[quarantine.Suspicion] = []
        self.tracker = crash_tracker_mod.CrashTracker(table=self.table)
        self.tracker.publish = self.published.extend

    def receive_heartbeat(
        self, number: int, now: float, **more: object
    ) -> None:
        item = endpoints.Endpoint(
            id=types.EndpointId(f"e{number}"),
            address=f"10.0.0.{number}:80",
            sequence=int(now * 10) + 1,
            **more,  # type: ignore[arg-type]
        )
        self.table.update(item, now)

    def break_connection(
        self, request: types.Fingerprint, number: int, now: float
    ) -> None:
        endpoint = self.table.alive[types.EndpointId(f"e{number}")]
        self.tracker.record_broken(
            crash_tracker_mod.Subjects(request=request),
            endpoint,
            ran_s=0.1,
            now=now,
        )

    def serve(self, request: types.Fingerprint, now: float) -> None:
        self.tracker.record_served(
            crash_tracker_mod.Subjects(request=request),
            began_at=now,
            now=now,
        )

    def is_quarantined(self, request: types.Fingerprint, now: float) -> bool:
        return self.tracker.quarantine.is_quarantined(request, now)


def test_heartbeats_clear_connection_resets() -> None:
    gateway = _Gateway()
    for number in range(3):
        gateway.receive_heartbeat(number, 0.0)
        gateway.break_connection(_INNOCENT, number, 0.5)
    assert gateway.is_quarantined(_INNOCENT, 0.6)
    for step in range(1, 7):
        now = 1.2 * step
        for number in range(3):
            gateway.receive_heartbeat(number, now)
        gateway.tracker.recheck(now)
    assert not gateway.is_quarantined(_INNOCENT, now)
    assert [one.cleared for one in gateway.published] == [False] * 3 + [
        True
    ] * 3


def test_a_delayed_heartbeat_clears_nothing() -> None:
    """It was sent before the end and arrives 2.4 s after it."""
    gateway = _Gateway()
    for number in range(3):
        gateway.receive_heartbeat(number, 0.0)
        gateway.break_connection(_BAD, number, 0.5)
        gateway.receive_heartbeat(number, 2.9)
    for step in range(20):
        gateway.tracker.recheck(3.0 + step)
    assert gateway.is_quarantined(_BAD, 23.0)


def test_heartbeats_of_a_new_incarnation_clear_nothing() -> None:
    gateway = _Gateway()
    for number in range(3):
        gateway.receive_heartbeat(number, 0.0, born=7)
        gateway.break_connection(_BAD, number, 0.5)
    for step in range(4, 20):
        for number in range(3):
            gateway.receive_heartbeat(number, float(step), born=4000)
        gateway.tracker.recheck(float(step))
    assert gateway.is_quarantined(_BAD, 20.0)


def test_endpoints_that_leave_cause_no_suspicion() -> None:
    gateway = _Gateway()
    for number in range(4):
        gateway.receive_heartbeat(number, 0.0)
        endpoint = gateway.table.alive[types.EndpointId(f"e{number}")]
        gateway.receive_heartbeat(
            number, 1.0, state=endpoints.EndpointState.DRAINING
        )
        if number % 2:
            gateway.receive_heartbeat(
                number, 2.0, state=endpoints.EndpointState.GONE
            )
        gateway.tracker.record_broken(
            crash_tracker_mod.Subjects(request=_INNOCENT),
            endpoint,
            ran_s=1.0,
            now=3.0,
        )
    assert not gateway.is_quarantined(_INNOCENT, 3.0)
    assert not gateway.published


def test_a_complete_answer_clears_at_all_gateways() -> None:
    """A common request is not to blame for ends of plain endpoints."""
    one, other = _Gateway(), _Gateway()
    for number in range(3):
        one.receive_heartbeat(number, 0.0)
        one.break_connection(_INNOCENT, number, 0.5)
    other.serve(_INNOCENT, 0.4)
    other.tracker.receive(one.published, 0.6)
    assert not other.is_quarantined(_INNOCENT, 0.7)
    one.tracker.receive(other.published, 0.8)
    assert not one.is_quarantined(_INNOCENT, 0.9)


def test_an_old_answer_clears_nothing() -> None:
    one, other = _Gateway(), _Gateway()
    other.serve(_BAD, 0.0)
    for number in range(3):
        one.receive_heartbeat(number, 60.0)
        one.break_connection(_BAD, number, 60.5)
    other.tracker.receive(one.published, 61.0)
    assert other.is_quarantined(_BAD, 62.0)


def _simulate(rng: random.Random) -> tuple[int, int]:
    """Count innocent requests that broke, and those quarantined.

    Ten minutes of 20 endpoints that run twelve requests of 3.5 s each.  Four
    in five may be repeated once by the gateway and once by the caller.  Each
    second one endpoint in forty ends, and one in forty has its connections
    reset.
    """
    table = quarantine.Quarantine()
    broken_requests = 0
    quarantined = 0
    next_number = 20
    numbers = list(range(next_number))
    for second in range(600):
        ended_indexes = [
            index for index in range(len(numbers)) if rng.random() < 0.05
        ]
        for index in ended_indexes:
            for _ in range(12):
                broken_requests += 1
                request = types.Fingerprint(rng.randbytes(16))
                max_attempts = 4 if rng.random() < 0.8 else 1
                ended_under = [index]
                while len(ended_under) < max_attempts and rng.random() < 0.16:
                    ended_under.append(rng.randrange(len(numbers)))
                table.add(
                    [_suspicion(request, numbers[one]) for one in ended_under],
                    second,
                )
                quarantined += table.is_quarantined(request, second)
        for index in ended_indexes:
            next_number += 1
            numbers[index] = next_number
    return broken_requests, quarantined


def test_few_innocent_requests_are_quarantined() -> None:
    """A lower limit than three ends would quarantine many more."""
    broken_requests = quarantined = 0
    for seed in range(5):
        one = _simulate(random.Random(seed))
        broken_requests += one[0]
        quarantined += one[1]
    # The share of requests that broke, which are one in twenty of all.
    assert broken_requests > 30_000
    assert quarantined / broken_requests < 0.02


def test_requests_that_only_ran_there_are_dropped_after_an_hour() -> None:
    table = _quarantine(*(_suspicion(_BAD, number) for number in range(3)))
    table.add([_suspicion(_INNOCENT, 1), _suspicion(_SECOND_BAD, 1)], 0.0)
    table.add(table.clearances(_SECOND_BAD), 1.0)
    table.forget(quarantine.QUARANTINE_S + 1)
    assert len(table) == 1
    table.add([_suspicion(_BAD, 9)], quarantine.QUARANTINE_S + 2)
    assert table.is_quarantined(_BAD, quarantine.QUARANTINE_S + 3)


def test_what_is_sent_says_whether_the_subject_runs_well() -> None:
    """A gateway that links later is not sent the end that said so."""
    sound = quarantine.Suspicion(
        subject=_BAD, endpoint=types.EndpointId("e0"), sound=True, place=0
    )
    table = _quarantine(sound, *(_suspicion(_BAD, n) for n in (1, 2)))
    assert all(item.sound for item in table.suspicions_of(_BAD, 0.0))


def test_suspicions_of_an_older_release_are_read() -> None:
    """They lack what is said of parts, and are of whole requests."""
    old = [_BAD, "e1", 5, 90, False]
    found = msgspec.convert(old, quarantine.Suspicion)
    assert found.incarnation == endpoints.Incarnation(
        types.EndpointId("e1"), 5
    )
    assert found.place is None and not found.sound and not found.age_ms
