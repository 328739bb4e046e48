"""The pace of each endpoint relative to its pool: its interface.

Choices and forecasts multiply the pool's usual times by an endpoint's
factor.  `EqualPace` is that of services whose endpoints are taken as equal.

Pure: times are readings of the gateway's clock, in seconds.
"""

import abc

import msgspec

from rackpost import types


class PaceReport(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """An endpoint's pace, as one gateway reports it to others.

    Attributes:
        endpoint: the endpoint.
        factor: its time per token over that of its pool; 1 is usual.
        samples: the weight of the observations behind it.
        age_s: the age of the newest observation, in seconds.
    """

    endpoint: types.EndpointId
    factor: float
    samples: float
    age_s: float


class EndpointPace(abc.ABC):
    """How fast endpoints prefill and decode, relative to their pools."""

    @abc.abstractmethod
    def record_decode(
        self,
        endpoint: types.EndpointId,
        *,
        seconds: float,
        usual_s: float,
        now: float,
    ) -> None:
        """Record events that took `seconds` where `usual_s` is usual."""

    @abc.abstractmethod
    def record_prefill(
        self,
        endpoint: types.EndpointId,
        *,
        seconds: float,
        usual_s: float,
        now: float,
    ) -> None:
        """Record a prefill that took `seconds` where `usual_s` is usual."""

    @abc.abstractmethod
    def receive(
        self,
        reports: tuple[PaceReport, ...],
        now: float,
        *,
        sender: types.VmId,
    ) -> None:
        """Take in what the gateway `sender` reports.

        A report replaces the sender's earlier one on the same endpoint.
        """

    @abc.abstractmethod
    def reports(self, now: float) -> tuple[PaceReport, ...]:
        """Return what to report: endpoints that differ from their pool."""

    @abc.abstractmethod
    def factor(self, endpoint: types.EndpointId, now: float) -> float:
        """Return the endpoint's time per token over its pool's; 1 is usual."""

    @abc.abstractmethod
    def is_on_trial(self, endpoint: types.EndpointId, now: float) -> bool:
        """Whether the endpoint was slow and has not been observed since.

        It takes one request at a time until its pace is known again.
        """

    @abc.abstractmethod
    def forget(self, endpoint: types.EndpointId) -> None:
        """Drop what is known of an endpoint that has ended or restarted."""


class EqualPace(EndpointPace):
    """Takes all endpoints as equally fast."""

    def record_decode(
        self,
        endpoint: types.EndpointId,
        *,
        seconds: float,
        usual_s: float,
        now: float,
    ) -> None:
        """Record nothing."""

    def record_prefill(
        self,
        endpoint: types.EndpointId,
        *,
        seconds: float,
        usual_s: float,
        now: float,
    ) -> None:
        """Record nothing."""

    def receive(
        self,
        reports: tuple[PaceReport, ...],
        now: float,
        *,
        sender: types.VmId,
    ) -> None:
        """Take in nothing."""

    def reports(self, now: float) -> tuple[PaceReport, ...]:
        """Return nothing."""
        return ()

    def factor(self, endpoint: types.EndpointId, now: float) -> float:
        """Return 1."""
        return 1.0

    def is_on_trial(self, endpoint: types.EndpointId, now: float) -> bool:
        """Return False."""
        return False

    def forget(self, endpoint: types.EndpointId) -> None:
        """Drop nothing."""
