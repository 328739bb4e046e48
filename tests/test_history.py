"""The history checker detects violations, and simulated runs have none."""

from lab import history
from lab import linear

W = linear.WriteRecord
R = linear.ReadRecord
C = linear.ClaimRecord


def test_a_valid_history_is_accepted() -> None:
    writes = [W("a", 1.0, 0, 0, 1, 1), W("a", 2.0, 1, 2, None, None)]
    reads = [R("a", 1.5, 1.6, 1, 1.0), R("a", 3, 4, 2, 2.0)]
    assert not linear.check_writes(writes, reads)


def test_invalid_settings_histories_are_detected() -> None:
    one = W("a", 1.0, 0, 0, 1, 1)
    assert linear.check_writes([one, W("b", 1.0, 0, 2, 3, 1)], [])
    assert linear.check_writes([W("a", 1.0, 0, 0, 1, 5), one], []) == [
        "two writes won on ('a', 0)"
    ]
    late = W("b", 1.0, 0, 2, 3, 1)
    assert linear.check_writes([W("a", 1.0, 0, 0, 1, 5), late], [])
    assert linear.check_writes([one], [R("a", 2, 3, 0, None)])
    assert linear.check_writes([one], [R("a", 2, 3, 1, 9.0)])
    assert linear.check_writes([one], [R("a", 2, 3, 2, 9.0)])
    assert linear.check_writes(
        [W("a", 1.0, 0, 9, 10, 1)], [R("a", 2, 3, 1, 1)]
    )


def test_invalid_claim_histories_are_detected() -> None:
    first = C("k", "x", "granted", 0, 1)
    second = C("k", "y", "granted", 2, 3)
    assert linear.check_claims([first, second])
    sealed = C("k", "x", "sealed", 1.2, 1.3)
    assert not linear.check_claims([first, sealed, second])
    done = C("k", "x", "answered", 1.2, 1.3)
    assert linear.check_claims([first, done, done])


def test_runs_with_crashes_and_partitions_leave_a_valid_history() -> None:
    for seed in range(4):
        _, writes, claims, wrong = history.run_seed(seed)
        assert writes > 5 and claims > 10
        assert not wrong
