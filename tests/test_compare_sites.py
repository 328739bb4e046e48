"""Reports and tables of the comparison of two working copies."""

import json

from lab import compare_sites


def report(score: float, waste: float, rules: dict | None = None) -> str:
    return json.dumps(
        {
            "G": score,
            "parts": [["whole day", 0.35, 0.9], ["worst windows", 0.5, 0.4]],
            "prices": [["read in vain", 12.0, waste]],
            "rules": rules or {},
        }
    )


def test_parts_prices_and_broken_rules_are_read() -> None:
    got = compare_sites.read_report(report(0.6, 0.05, {"LOST": 2}))
    assert got.score == 0.6
    assert got.figures["worst windows"] == 0.4
    assert got.figures["read in vain"] == -0.05
    assert got.broken == ("LOST",)


def test_differences_are_paired_and_small_figures_left_out() -> None:
    days = [
        compare_sites.Day(site="a/one.toml", name="calm", seed=seed)
        for seed in (1, 2)
    ]
    before = [
        compare_sites.read_report(report(score, 0.05)) for score in (0.2, 0.6)
    ]
    after = [
        compare_sites.read_report(report(score, 0.01, rules))
        for score, rules in ((0.3, None), (0.7, {"LOST": 1}))
    ]
    lines = list(compare_sites.table(days, before, after))
    assert "one calm" in lines[1]
    # The days differ widely, their differences do not.
    assert lines[1].split()[-3:] == ["0.500", "+0.100", "+-0.000"]
    assert any("read in vain" in line for line in lines)
    assert not any("worst windows" in line for line in lines)
    assert lines[-1].startswith("broken:") and "LOST" in lines[-1]
