"""The pace of each endpoint, measured while its streams run.

The factor of an endpoint is the time that its events took over the time that
is usual in its pool.  Both sums lose weight within seconds, and a constant
prior shrinks the factor to 1 while there are few observations.

Pure: times are readings of the gateway's clock, in seconds.
"""

import math

import msgspec

from rackpost.decide.pace import endpoint_pace
from rackpost.decide.pace import running_streams
from rackpost import types

# Time in which an observation loses most of its weight, in seconds: a spell
# of half a second must show, and be forgotten soon after.
_DECAY_S = 0.6
# Weight of the prior, in seconds of usual time.
_PRIOR_S = 0.15
# A single observation counts at most this many times its usual time.
_MAX_FACTOR = 8.0
_MIN_FACTOR = 0.5
# An endpoint differs from its pool from this factor, or below its inverse.
_DIFFERS = 1.15
# Bounds a report to one datagram, at about 50 bytes for each endpoint.
_MAX_REPORTED = 16
# Observations with a lower weight, in seconds of usual time, are forgotten.
_MIN_WEIGHT_S = 0.02
# An endpoint that was this slow takes one request at a time once its
# observations have lost their weight, for at most this many seconds.
_TRIAL_FACTOR = 1.5
_TRIAL_S = 10.0


class _Sums(msgspec.Struct, kw_only=True):
    """Decaying sums of observations, as of a clock reading.

    Attributes:
        newest_at: the reading of the newest observation.
    """

    seconds: float = 0.0
    usual_s: float = 0.0
    at: float = 0.0
    newest_at: float = -math.inf

    def decayed(self, now: float) -> float:
        """Return the share of weight that is left at a clock reading."""
        return math.exp(min(0.0, self.at - now) / _DECAY_S)

    def add(self, seconds: float, usual_s: float, now: float) -> None:
        """Add an observation."""
        keep = self.decayed(now)
        self.seconds = self.seconds * keep + seconds
        self.usual_s = self.usual_s * keep + usual_s
        self.at = now
        self.newest_at = now


class _Record(msgspec.Struct, kw_only=True):
    """What is known of one endpoint.

    Attributes:
        own: observations of this gateway.
        reported: the latest report of each other gateway, as sums.
        slow_at: when the endpoint was last known to be slow.
    """

    own: _Sums = msgspec.field(default_factory=_Sums)
    reported: dict[types.VmId, _Sums] = msgspec.field(default_factory=dict)
    slow_at: float = -math.inf


class MeasuredPace(endpoint_pace.EndpointPace):
    """Measures the pace of endpoints by the events of running streams."""

    def __init__(self, *, streams: running_streams.RunningStreams) -> None:
        """`streams` are those of this gateway; overdue events count."""
        self._streams = streams
        self._records: dict[types.EndpointId, _Record] = {}

    def record_decode(
        self,
        endpoint: types.EndpointId,
        *,
        seconds: float,
        usual_s: float,
        now: float,
    ) -> None:
        """Record events that took `seconds` where `usual_s` is usual."""
        self._record(endpoint, seconds, usual_s, now)

    def record_prefill(
        self,
        endpoint: types.EndpointId,
        *,
        seconds: float,
        usual_s: float,
        now: float,
    ) -> None:
        """Record a prefill that took `seconds` where `usual_s` is usual."""
        self._record(endpoint, seconds, usual_s, now)

    def _record(
        self,
        endpoint: types.EndpointId,
        seconds: float,
        usual_s: float,
        now: float,
    ) -> None:
        if usual_s <= 0.0:
            return
        record = self._records.setdefault(endpoint, _Record())
        record.own.add(min(seconds, _MAX_FACTOR * usual_s), usual_s, now)
        if self._factor_of(endpoint, record, now) >= _TRIAL_FACTOR:
            record.slow_at = now

    def receive(
        self,
        reports: tuple[endpoint_pace.PaceReport, ...],
        now: float,
        *,
        sender: types.VmId,
    ) -> None:
        """Take in what the gateway `sender` reports.

        A report replaces the sender's earlier one on the same endpoint.
        """
        for report in reports[:_MAX_REPORTED]:
            if not _is_sound(report):
                continue
            record = self._records.setdefault(report.endpoint, _Record())
            factor = min(_MAX_FACTOR, max(_MIN_FACTOR, report.factor))
            # The weight is that at the time of the report.
            record.reported[sender] = _Sums(
                seconds=factor * report.samples,
                usual_s=report.samples,
                at=now,
                newest_at=now - report.age_s,
            )
            if self._factor_of(report.endpoint, record, now) >= _TRIAL_FACTOR:
                record.slow_at = now

    def reports(self, now: float) -> tuple[endpoint_pace.PaceReport, ...]:
        """Return what to report: endpoints that differ from their pool.

        Also those that others report and that are as usual here, so that
        their factor returns to 1 everywhere.
        """
        found = []
        for endpoint in list(self._records):
            record = self._records[endpoint]
            self._drop_expired(endpoint, record, now)
            own = self._own(endpoint, record, now)
            if own.usual_s < _MIN_WEIGHT_S:
                continue
            factor = own.seconds / own.usual_s
            shrunk = _shrunk(own.seconds, own.usual_s)
            if not record.reported and 1.0 / _DIFFERS < shrunk < _DIFFERS:
                continue
            found.append((abs(math.log(shrunk)), endpoint, factor, own))
        found.sort(key=lambda item: item[:2], reverse=True)
        return tuple(
            endpoint_pace.PaceReport(
                endpoint=endpoint,
                factor=round(min(_MAX_FACTOR, factor), 3),
                samples=round(own.usual_s, 3),
                age_s=round(max(0.0, now - own.newest_at), 3),
            )
            for _, endpoint, factor, own in found[:_MAX_REPORTED]
        )

    def _drop_expired(
        self, endpoint: types.EndpointId, record: _Record, now: float
    ) -> None:
        """Drop reports, and records, that no longer count."""
        for sender, sums in list(record.reported.items()):
            if sums.usual_s * sums.decayed(now) < _MIN_WEIGHT_S:
                del record.reported[sender]
        left_s = record.own.usual_s * record.own.decayed(now)
        if (
            left_s < _MIN_WEIGHT_S
            and not record.reported
            and now - record.slow_at > _TRIAL_S
        ):
            del self._records[endpoint]

    def _own(
        self, endpoint: types.EndpointId, record: _Record, now: float
    ) -> _Sums:
        """Return this gateway's sums, overdue events included."""
        keep = record.own.decayed(now)
        overdue = self._streams.overdue(endpoint, now)
        seconds = min(overdue.seconds, _MAX_FACTOR * overdue.usual_s)
        newest_at = now if overdue.usual_s > 0.0 else record.own.newest_at
        return _Sums(
            seconds=record.own.seconds * keep + seconds,
            usual_s=record.own.usual_s * keep + overdue.usual_s,
            at=now,
            newest_at=newest_at,
        )

    def factor(self, endpoint: types.EndpointId, now: float) -> float:
        """Return the endpoint's time per token over its pool's; 1 is usual."""
        record = self._records.get(endpoint)
        if record is None:
            overdue = self._streams.overdue(endpoint, now)
            if overdue.usual_s <= 0.0:
                return 1.0
            record = _Record()
        return self._factor_of(endpoint, record, now)

    def _factor_of(
        self, endpoint: types.EndpointId, record: _Record, now: float
    ) -> float:
        own = self._own(endpoint, record, now)
        seconds, usual_s = own.seconds, own.usual_s
        for sums in record.reported.values():
            keep = sums.decayed(now)
            seconds += sums.seconds * keep
            usual_s += sums.usual_s * keep
        return _shrunk(seconds, usual_s)

    def is_on_trial(self, endpoint: types.EndpointId, now: float) -> bool:
        """Whether the endpoint was slow and has not been observed since.

        It takes one request at a time until an event shows its pace.
        """
        record = self._records.get(endpoint)
        if record is None or now - record.slow_at > _TRIAL_S:
            return False
        own = self._own(endpoint, record, now)
        observed_s = own.seconds + sum(
            sums.seconds * sums.decayed(now)
            for sums in record.reported.values()
        )
        return observed_s < _PRIOR_S

    def forget(self, endpoint: types.EndpointId) -> None:
        """Drop what is known of an endpoint that has ended or restarted."""
        self._records.pop(endpoint, None)
        self._streams.forget(endpoint)


def _shrunk(seconds: float, usual_s: float) -> float:
    factor = (seconds + _PRIOR_S) / (usual_s + _PRIOR_S)
    return min(_MAX_FACTOR, max(_MIN_FACTOR, factor))


def _is_sound(report: endpoint_pace.PaceReport) -> bool:
    """Whether a report can be used."""
    figures = (report.factor, report.samples, report.age_s)
    return all(math.isfinite(figure) and figure >= 0.0 for figure in figures)
