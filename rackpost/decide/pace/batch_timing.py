"""The usual time between the events of a stream, by batch size.

Each token comes slower the more runs an endpoint generates at once, so that
endpoints compare only at equal batch sizes.  The interval is estimated as a
linear function of the number of runs.

Pure: no input or output.
"""

# Weight of the newest sample; older ones lose weight.
_EWMA_WEIGHT = 0.02
# A sample counts as at most this many times the estimate, so that pauses
# hardly change it.
_MAX_SAMPLE_FACTOR = 2.0
# Spread of batch sizes, as a variance, below which the slope is unknown.
_MIN_VARIANCE = 0.25


class BatchTiming:
    """Running linear regression of event intervals on batch sizes."""

    def __init__(self) -> None:
        self._samples = 0
        self._runs = 0.0
        self._interval_s = 0.0
        self._variance = 0.0
        self._covariance = 0.0

    def record_interval(self, runs: int, seconds: float) -> None:
        """Record the time between two events in a batch of `runs`."""
        usual_s = self.interval_s(runs)
        if usual_s > 0.0:
            seconds = min(seconds, _MAX_SAMPLE_FACTOR * usual_s)
        self._samples += 1
        weight = max(_EWMA_WEIGHT, 1.0 / self._samples)
        runs_off = runs - self._runs
        interval_off = seconds - self._interval_s
        self._runs += weight * runs_off
        self._interval_s += weight * interval_off
        rest = 1.0 - weight
        self._variance = rest * (self._variance + weight * runs_off**2)
        self._covariance = rest * (
            self._covariance + weight * runs_off * interval_off
        )

    def interval_s(self, runs: int) -> float:
        """Return the usual interval, in seconds; 0 while it is unknown."""
        if self._samples == 0:
            return 0.0
        slope = 0.0
        if self._variance >= _MIN_VARIANCE:
            slope = max(0.0, self._covariance / self._variance)
        # The extrapolation stays within half to twice the mean.
        mean_s = self._interval_s
        estimate_s = mean_s + slope * (runs - self._runs)
        return min(2.0 * mean_s, max(0.5 * mean_s, estimate_s))
