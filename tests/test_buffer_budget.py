"""Whose buffers are released when callers send more than memory holds.

The load: a few callers that send without end, among many that send little.
"""

from hypothesis import given
from hypothesis import strategies as st

from rackpost.decide import buffer_budget


class _Holder(buffer_budget.Holder):
    """A connection that may be shed, or not."""

    def __init__(self, *, can_shed: bool = True) -> None:
        self._can_shed = can_shed

    @property
    def can_shed(self) -> bool:
        return self._can_shed

    def shed(self) -> None:
        raise AssertionError("the owner of the budget does this")


def _fill(
    budget: buffer_budget.BufferBudget, sizes: list[int]
) -> tuple[list[_Holder], list[buffer_budget.Holder]]:
    """Let a holder of each size fill the budget; return who is shed last."""
    holders = [_Holder() for _ in sizes]
    found: list[buffer_budget.Holder] = []
    for holder, size in zip(holders, sizes):
        found = budget.record(holder, size)
    return holders, found


def test_callers_that_send_little_are_kept() -> None:
    """1,000 requests of 8 KB beside two that send without end, in 15 MB."""
    budget = buffer_budget.BufferBudget(max_bytes=15 << 20)
    holders, found = _fill(budget, [8 << 10] * 1000 + [4 << 20] * 2)
    assert found == holders[-2:-1]


def test_a_request_that_is_being_answered_is_kept() -> None:
    """An endpoint may be at work on it."""
    budget = buffer_budget.BufferBudget(max_bytes=100)
    assert not budget.record(_Holder(can_shed=False), 90)
    late = _Holder()
    assert budget.record(late, 20) == [late]


def test_what_is_released_makes_room() -> None:
    budget = buffer_budget.BufferBudget(max_bytes=100)
    one, other = _Holder(), _Holder()
    assert not budget.record(one, 90)
    assert not budget.record(one, 0)
    assert not budget.record(other, 90)


@given(st.lists(st.integers(0, 50), min_size=1, max_size=20))
def test_what_is_kept_fits_the_budget(sizes: list[int]) -> None:
    budget = buffer_budget.BufferBudget(max_bytes=100)
    for size in sizes:
        for holder in budget.record(_Holder(), size):
            budget.record(holder, 0)
        assert budget.held_bytes <= 100
