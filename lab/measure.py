"""Processor time and memory of one piece of work, and lines through them."""

import gc
import statistics
import time
import tracemalloc
from typing import Callable
from typing import NamedTuple

# The least of so many runs counts: what else the machine does only adds.
_RUNS = 5


class Line(NamedTuple):
    """A fitted line: cost at nothing, cost for each, error of the fit."""

    base: float
    slope: float
    error: float


def fit(points: list[tuple[float, float]]) -> Line:
    """The least-squares line, and its root mean square error."""
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    slope, base = statistics.linear_regression(xs, ys)
    squares = [(y - base - slope * x) ** 2 for x, y in points]
    return Line(base, slope, (sum(squares) / len(points)) ** 0.5)


def calibration() -> float:
    """Seconds for a fixed loop of this interpreter."""
    times = []
    for _ in range(_RUNS):
        began = time.process_time()
        total = 0
        for number in range(1_000_000):
            total += number & 7
        times.append(time.process_time() - began)
    return min(times)


def cpu_of(work: Callable[[], None]) -> float:
    """The least processor time of a few runs, in seconds."""
    times = []
    for _ in range(_RUNS):
        gc.collect()
        began = time.process_time()
        work()
        times.append(time.process_time() - began)
    return min(times)


def memory_of(make: Callable[[], object]) -> int:
    """Bytes that what `make` gives holds."""
    gc.collect()
    tracemalloc.start()
    held = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del held
    return size
