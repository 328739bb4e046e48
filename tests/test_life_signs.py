"""Endpoints that live on after connections to them broke.

Guards against evidence that nobody can clear because its process is gone,
and against evidence that late heartbeats clear.
"""

import math

import pytest

from rackpost import crash_tracker
from rackpost.decide import life_signs
from rackpost.decide import quarantine
from rackpost.routing import endpoints
from rackpost import types

_BROKE_AT = 10.0


def _endpoint(sequence: int, born: int = 1) -> endpoints.Endpoint:
    return endpoints.Endpoint(
        id=types.EndpointId("e"),
        service=types.ServiceName("model"),
        address="10.0.0.1:80",
        sequence=sequence,
        born=born,
    )


class _Process:
    """A process that receives heartbeats and looks at them each second."""

    def __init__(self) -> None:
        self.table = endpoints.EndpointTable()
        self.signs = life_signs.LifeSigns()
        self._sequence = 0

    def beat(self, at: float, born: int = 1) -> None:
        self._sequence += 1
        self.table.update(_endpoint(self._sequence, born), at)
        self.signs.sample(self.table)

    def lived_until(self, born: int = 1) -> float:
        found = self.signs.lived_until()
        incarnation = _endpoint(0, born).incarnation
        return found.get(incarnation, -math.inf)


def test_two_heartbeats_after_the_break_show_that_an_endpoint_lives() -> None:
    process = _Process()
    for at in (9.0, 10.2, 11.4, 12.6):
        process.beat(at)
        assert process.lived_until() < _BROKE_AT
    process.beat(13.8)
    assert process.lived_until() >= _BROKE_AT


def test_late_heartbeats_of_an_endpoint_that_ended_show_nothing() -> None:
    process = _Process()
    # The last two were sent before the break and arrive together.
    for at in (9.0, 12.5, 12.6):
        process.beat(at)
    assert process.lived_until() < _BROKE_AT


def test_heartbeats_of_a_later_incarnation_show_nothing() -> None:
    process = _Process()
    process.beat(9.0)
    for step in range(6):
        process.beat(11.0 + 1.2 * step, born=2)
    assert process.lived_until() < _BROKE_AT
    assert process.lived_until(born=2) > _BROKE_AT


def test_ends_before_a_sign_of_life_are_cleared_and_later_ones_are_not() -> (
    None
):
    table = quarantine.Quarantine()
    for number, at in enumerate((_BROKE_AT, _BROKE_AT + 5.0)):
        item = quarantine.Suspicion(
            subject=types.Fingerprint(b"%d" % number),
            endpoint=types.EndpointId("e"),
            born=1,
        )
        table.add([item], at)
    found = table.clearances_by_life(
        {_endpoint(0).incarnation: _BROKE_AT + 1.0}
    )
    assert [item.subject for item in found] == [b"0"]
    assert all(item.cleared for item in found)


def _tracker_after_a_break() -> crash_tracker.CrashTracker:
    table = endpoints.EndpointTable()
    table.update(_endpoint(1), 0.0)
    tracker = crash_tracker.CrashTracker(table=table)
    subjects = crash_tracker.Subjects(request=types.Fingerprint(b"0"))
    tracker.record_broken(subjects, _endpoint(1), ran_s=0.1, now=_BROKE_AT)
    return tracker


@pytest.mark.parametrize(
    "opened_at, received_at, cleared",
    [
        # An older connection goes on.
        (_BROKE_AT - 5.0, _BROKE_AT + 0.5, True),
        # What arrived before, or just after, may have been sent before.
        (_BROKE_AT - 5.0, _BROKE_AT - 0.1, False),
        (_BROKE_AT - 5.0, _BROKE_AT + 0.1, False),
        # A newer connection may be to a later start.
        (_BROKE_AT + 0.1, _BROKE_AT + 0.5, False),
    ],
)
def test_what_arrives_on_an_older_connection_shows_that_an_endpoint_lives(
    opened_at: float, received_at: float, cleared: bool
) -> None:
    tracker = _tracker_after_a_break()
    # A slow client's events are handled long after their arrival.
    now = _BROKE_AT + 9.0
    sign = crash_tracker.LifeSign(_endpoint(1), opened_at, received_at)
    tracker.record_received(sign, now)
    found = tracker.quarantine.suspicions(1, now)
    assert (not found) is cleared
