"""Compares two working copies on the same days: python -m lab.compare_sites.

Runs each site, day and seed on both copies with the bench named on the
command line, and prints the mean score, the paired difference and its
standard error, by day and by part and price.
"""

import argparse
import concurrent.futures
import json
import pathlib
import statistics
import subprocess
import tempfile
from typing import Iterator
from typing import NamedTuple
from typing import Sequence

# Concurrent runs; each takes about one core.
_JOBS = 4
# A run that takes longer has hung.
_TIMEOUT_S = 300.0
# Parts and prices whose means differ by less are omitted from the table.
_MIN_DIFFERENCE = 0.003


class Day(NamedTuple):
    """A day of a site to run, with its seed."""

    site: str
    name: str
    seed: int | None


class DayResult(NamedTuple):
    """The score and figures of a day."""

    score: float
    # Parts of the score; prices are negative.
    figures: dict[str, float]
    broken: tuple[str, ...]


class BenchError(Exception):
    """The bench wrote no report for a day."""


def read_report(text: str) -> DayResult:
    """Parse the report of one day."""
    raw = json.loads(text)
    figures = {name: value for name, _weight, value in raw["parts"]}
    figures.update({name: -cost for name, _amount, cost in raw["prices"]})
    broken = tuple(raw.get("rules") or ())
    return DayResult(score=raw["G"], figures=figures, broken=broken)


def play(bench: str, copy: pathlib.Path, day: Day, why: str) -> DayResult:
    """Run a day on a working copy.

    Raises:
        BenchError: the bench wrote no report.
    """
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        line = [bench, "run", day.site, day.name, "--why", why]
        line += ["--report", report.name]
        if day.seed is not None:
            line += ["--seed", str(day.seed)]
        ended = subprocess.run(
            line, cwd=copy, capture_output=True, text=True, timeout=_TIMEOUT_S
        )
        text = pathlib.Path(report.name).read_text()
    if not text:
        raise BenchError(f"{copy} {day}: {ended.stdout[-500:]}")
    return read_report(text)


def _spread(values: Sequence[float]) -> float:
    return statistics.stdev(values) if len(values) > 1 else 0.0


def _line(name: str, before: list[float], after: list[float]) -> str:
    deltas = [new - old for old, new in zip(before, after)]
    error = _spread(deltas) / len(deltas) ** 0.5
    return (
        f"{name:44} {statistics.mean(before):7.3f} "
        f"{statistics.mean(after):7.3f} "
        f"{statistics.mean(deltas):+7.3f} +-{error:5.3f}"
    )


def table(
    days: Sequence[Day],
    before: Sequence[DayResult],
    after: Sequence[DayResult],
) -> Iterator[str]:
    """Yield the lines of the comparison."""
    yield f"{'':44} {'before':>7} {'after':>7} {'paired':>7} error"
    groups = sorted({(day.site, day.name) for day in days})
    for group in groups:
        at = [i for i, day in enumerate(days) if day[:2] == group]
        yield _line(
            f"{pathlib.Path(group[0]).stem} {group[1]}",
            [before[i].score for i in at],
            [after[i].score for i in at],
        )
    yield _line(
        f"all {len(days)} days",
        [item.score for item in before],
        [item.score for item in after],
    )
    for name in before[0].figures:
        old = [item.figures.get(name, 0.0) for item in before]
        new = [item.figures.get(name, 0.0) for item in after]
        if abs(statistics.mean(new) - statistics.mean(old)) >= _MIN_DIFFERENCE:
            yield _line("  " + name, old, new)
    for day, one, two in zip(days, before, after):
        if one.broken or two.broken:
            yield f"broken: {day} {one.broken} {two.broken}"


def _days(args: argparse.Namespace) -> list[Day]:
    seeds = [int(seed) for seed in args.seeds.split(",") if seed]
    return [
        Day(site=site, name=name, seed=seed)
        for site in args.sites
        for name in args.days.split(",")
        for seed in seeds or [None]
    ]


def main() -> None:
    """Compare two copies."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", required=True, help="its program")
    parser.add_argument("--before", required=True, type=pathlib.Path)
    parser.add_argument("--after", required=True, type=pathlib.Path)
    parser.add_argument("--days", required=True, help="names, by commas")
    parser.add_argument("--seeds", default="", help="numbers, by commas")
    parser.add_argument("--jobs", type=int, default=_JOBS)
    parser.add_argument("--why", required=True)
    parser.add_argument("sites", nargs="+", help="site files")
    args = parser.parse_args()
    days = _days(args)
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        running = [
            [
                pool.submit(play, args.bench, copy, day, args.why)
                for copy in (args.before, args.after)
            ]
            for day in days
        ]
        both = [[fut.result() for fut in pair] for pair in running]
    before = [pair[0] for pair in both]
    after = [pair[1] for pair in both]
    for line in table(days, before, after):
        print(line)


if __name__ == "__main__":
    main()
