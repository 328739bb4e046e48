"""Benchmarks the placement policies: python -m lab.bench [--quick].

Runs all cases in virtual time on several cores, prints a table and writes
build/bench.json and build/bench.png.
"""

import argparse
import collections
import json
import multiprocessing
import pathlib
import statistics
from typing import Iterable

from lab import cases

BUILD = pathlib.Path("build")
_POLICIES = (
    cases.PRODUCT,
    "no-reservation",
    "round-robin",
    "least-loaded",
    "prefix-cost",
)
_LOADS = ("0.7", "1.0", "1.3", "2.0", "declared", "undeclared")
_FAULTS = (
    "engine-killed",
    "engine-slow",
    "link-stalled",
    "callers-leave",
    "entry-killed",
)
_DEPLOYMENTS = ("fjordvik", "pentagrama")
_WORKERS = max(1, multiprocessing.cpu_count() - 1)


def plan(*, quick: bool, seeds: int) -> list[cases.Case]:
    """Return the cases to run."""
    rows = [("1.3", "none")] if quick else [(load, "none") for load in _LOADS]
    if not quick:
        rows += [("1.0", fault) for fault in _FAULTS]
    return [
        cases.Case(deployment, load, fault, policy, seed)
        for deployment in _DEPLOYMENTS
        for load, fault in rows
        for policy in _POLICIES
        for seed in range(1, seeds + 1)
    ]


def _median(results: Iterable[cases.Result], name: str) -> float:
    return statistics.median(getattr(item, name) for item in results)


def _groups(
    results: list[cases.Result],
) -> dict[tuple[str, str, str], dict[str, list[cases.Result]]]:
    found: dict[tuple[str, str, str], dict[str, list[cases.Result]]] = {}
    for item in results:
        key = (item.deployment, item.load, item.fault)
        by_policy = found.setdefault(key, collections.defaultdict(list))
        by_policy[item.policy].append(item)
    return found


def table(results: list[cases.Result]) -> str:
    """Return a table of medians over the seeds."""
    lines = [
        f"{'deployment':<11}{'load':<11}{'fault':<14}{'policy':<15}"
        f"{'goodput':>8}{'/bound':>7}{'rush':>6}{'wasted':>8}{'not run':>8}"
        f"{'broken':>7}{'x best':>7}"
    ]
    for key, by_policy in _groups(results).items():
        best = max(
            _median(items, "goodput")
            for policy, items in by_policy.items()
            if policy != cases.PRODUCT
        )
        for policy, items in by_policy.items():
            good = _median(items, "goodput")
            lines.append(
                f"{key[0]:<11}{key[1]:<11}{key[2]:<14}{policy:<15}"
                f"{good:>8.3f}{good / _median(items, 'bound'):>7.3f}"
                f"{_median(items, 'rush_goodput'):>6.3f}"
                f"{_median(items, 'wasted_prefill'):>8.4f}"
                f"{_median(items, 'not_run'):>8.0f}"
                f"{_median(items, 'broken_promises'):>7.0f}"
                f"{good / max(best, 1e-9):>7.2f}"
            )
    wrong = sum(item.wrong for item in results)
    ran = sum(item.not_run_ran for item in results)
    lines.append(f"wrong answers: {wrong}; not-run that ran: {ran}")
    return "\n".join(lines)


def plot(results: list[cases.Result], path: pathlib.Path) -> None:
    """Plot goodput by case and policy, with the bound, to a file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    groups = _groups(results)
    fig, axes = pyplot.subplots(
        len(_DEPLOYMENTS), 1, figsize=(14, 9), squeeze=False
    )
    for axis, deployment in zip(axes[:, 0], _DEPLOYMENTS):
        rows = [key for key in groups if key[0] == deployment]
        for idx, policy in enumerate(_POLICIES):
            heights = [_median(groups[key][policy], "goodput") for key in rows]
            spots = [at + idx * 0.16 for at in range(len(rows))]
            axis.bar(spots, heights, width=0.15, label=policy)
        bounds = [_median(groups[key][cases.PRODUCT], "bound") for key in rows]
        axis.plot(
            [at + 0.32 for at in range(len(rows))],
            bounds,
            "k_",
            markersize=40,
            label="bound",
        )
        labels = [
            key[1] if key[2] == "none" else key[2].replace("-", "\n")
            for key in rows
        ]
        axis.set_xticks([at + 0.32 for at in range(len(rows))], labels)
        axis.set_title(deployment)
        axis.set_ylabel("goodput")
        axis.legend(loc="lower left", ncols=6, fontsize=8)
    fig.tight_layout()
    fig.savefig(path)


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seeds", type=int, default=0)
    args = parser.parse_args()
    seeds = args.seeds or (2 if args.quick else 3)
    todo = plan(quick=args.quick, seeds=seeds)
    with multiprocessing.Pool(_WORKERS) as pool:
        results = pool.map(cases.run_case, todo, chunksize=1)
    BUILD.mkdir(exist_ok=True)
    rows = [item._asdict() for item in results]
    (BUILD / "bench.json").write_text(json.dumps(rows, indent=1))
    print(table(results))
    plot(results, BUILD / "bench.png")


if __name__ == "__main__":
    main()
