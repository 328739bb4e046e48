"""Age, memory and descriptors of this process, for its metrics and log."""

import os
import resource
import time

from rackpost import logs
from rackpost import metrics as metrics_mod

__all__ = ["MemoryWatch", "record"]

_BEGAN = time.monotonic()
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# ru_maxrss is in KB on Linux.
_MAXRSS_UNIT_BYTES = 1024
# Shares of the memory limit at which the peak is logged.
_LOGGED_SHARES = (0.5, 0.75, 0.9)


def peak_bytes() -> int:
    """Return the most memory that this process has used."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_maxrss * _MAXRSS_UNIT_BYTES


def resident_bytes() -> int:
    """Return the memory in use; 0 if the system does not tell."""
    try:
        with open("/proc/self/statm", "rb") as file:
            return int(file.read().split()[1]) * _PAGE_BYTES
    except (OSError, IndexError, ValueError):
        return 0


def open_descriptors() -> int:
    """Return the number of open descriptors; 0 if it is not known."""
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return 0


def record(metrics: metrics_mod.Metrics) -> None:
    """Set the gauges of this process."""
    metrics.gauge("process_age_s", round(time.monotonic() - _BEGAN, 1))
    metrics.gauge("process_peak_bytes", peak_bytes())
    metrics.gauge("process_resident_bytes", resident_bytes())
    metrics.gauge("process_descriptors", open_descriptors())


class MemoryWatch:
    """Logs when the peak memory passes shares of the limit.

    The last such line is what a process leaves that is killed for memory.
    """

    def __init__(self, *, part: logs.Part, limit_mb: float) -> None:
        self._part = part
        self._limit_bytes = limit_mb * (1 << 20)
        self._shares = list(_LOGGED_SHARES)

    def look(self) -> None:
        """Log the largest share that has been passed since the last call."""
        peak = peak_bytes()
        passed = 0.0
        while self._shares and peak >= self._shares[0] * self._limit_bytes:
            passed = self._shares.pop(0)
        if passed:
            logs.say(
                self._part,
                "Memory is in use.",
                peak_bytes=peak,
                limit_bytes=int(self._limit_bytes),
                passed_share=passed,
            )
