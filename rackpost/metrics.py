"""Counters, gauges and latency histograms in the Prometheus text format."""

import collections
import enum
from typing import Iterator

from hdrh import histogram

# Histograms record microseconds up to ten minutes, to two digits.
_LOWEST_US = 1
_HIGHEST_US = 600_000_000
_DIGITS = 2
_QUANTILES = (50.0, 90.0, 95.0, 99.0)


class Metrics:
    """The metrics of one process."""

    def __init__(self) -> None:
        self._counts: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self._times: dict[tuple[str, str], histogram.HdrHistogram] = {}
        self._gauges: dict[str, float] = {}

    def count(
        self, name: str, reason: enum.Enum, scope: str = "", by: int = 1
    ) -> None:
        """Add to the counter of `name` for a reason, within a scope."""
        self._counts[(name, str(reason.value), scope)] += by

    def counted(self, name: str, reason: enum.Enum) -> int:
        """Return the count for a reason, over all scopes."""
        wanted = str(reason.value)
        return sum(
            value
            for (key, label, _), value in self._counts.items()
            if key == name and label == wanted
        )

    def totals(self, name: str) -> dict[str, int]:
        """Return the counts of a name, by reason."""
        found: collections.Counter[str] = collections.Counter()
        for (key, label, _), value in self._counts.items():
            if key == name:
                found[label] += value
        return dict(found)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def time(self, name: str, kind: str, seconds: float) -> None:
        """Record a duration of a kind of request, in seconds."""
        hist = self._times.get((name, kind))
        if hist is None:
            hist = histogram.HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
            self._times[(name, kind)] = hist
        micros = max(_LOWEST_US, min(_HIGHEST_US, int(seconds * 1e6)))
        hist.record_value(micros)

    def text(self) -> str:
        """Return all metrics in the Prometheus text format 0.0.4."""
        return "".join(f"{line}\n" for line in self._lines())

    def _lines(self) -> Iterator[str]:
        for (name, reason, scope), value in sorted(self._counts.items()):
            labels = f'reason="{reason}",scope="{scope}"'
            yield f"rackpost_{name}_total{{{labels}}} {value}"
        for name, level in sorted(self._gauges.items()):
            yield f"rackpost_{name} {level}"
        for (name, kind), hist in sorted(self._times.items()):
            for quant in _QUANTILES:
                secs = hist.get_value_at_percentile(quant) / 1e6
                labels = f'kind="{kind}",quantile="{quant / 100}"'
                yield f"rackpost_{name}_seconds{{{labels}}} {secs}"
            total = hist.get_total_count()
            yield f'rackpost_{name}_seconds_count{{kind="{kind}"}} {total}'
