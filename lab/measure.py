"""Measures CPU time and memory, and fits lines through the results."""

import gc
import statistics
import time
import tracemalloc
from typing import Callable
from typing import NamedTuple

# The fastest run counts, since other load on the machine only adds time.
_RUNS = 5


class Line(NamedTuple):
    """A fitted line: base cost, cost per item, error of the fit."""

    base: float
    slope: float
    error: float


def fit(points: list[tuple[float, float]]) -> Line:
    """Return the least-squares line and its root mean square error."""
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    slope, base = statistics.linear_regression(xs, ys)
    squares = [(y - base - slope * x) ** 2 for x, y in points]
    return Line(base, slope, (sum(squares) / len(points)) ** 0.5)


def calibration() -> float:
    """Return the CPU seconds of a fixed loop, to compare machines."""
    times = []
    for _ in range(_RUNS):
        began = time.process_time()
        total = 0
        for number in range(1_000_000):
            total += number & 7
        times.append(time.process_time() - began)
    return min(times)


def cpu_of(work: Callable[[], None]) -> float:
    """Return the least CPU time of several runs, in seconds."""
    times = []
    for _ in range(_RUNS):
        gc.collect()
        began = time.process_time()
        work()
        times.append(time.process_time() - began)
    return min(times)


def memory_of(make: Callable[[], object]) -> int:
    """Return the memory of the object that `make` returns, in bytes."""
    gc.collect()
    tracemalloc.start()
    held = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del held
    return size
