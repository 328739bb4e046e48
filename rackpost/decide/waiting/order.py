"""The order in which waiting generations are admitted: its interface.

An admission queue, at a gateway or at a coordinator, asks one
`AdmissionOrder` for each model service.  `DeadlineOrder` is the order of
services whose requests all have one priority.

Pure: times are readings of the queue's clock, in seconds.
"""

import abc
from typing import Sequence

from rackpost.decide import queue_order


class AdmissionOrder(abc.ABC):
    """Orders waiting generations and keeps capacity for those to come."""

    @abc.abstractmethod
    def record_arrival(
        self, request: queue_order.WaitingRequest, now: float
    ) -> None:
        """Record a request that has arrived, whatever becomes of it."""

    @abc.abstractmethod
    def record_admitted(
        self, request: queue_order.WaitingRequest, now: float
    ) -> None:
        """Record that a request holds capacity from now on."""

    @abc.abstractmethod
    def record_released(
        self, request: queue_order.WaitingRequest, now: float
    ) -> None:
        """Record that an admitted request has released its capacity."""

    @abc.abstractmethod
    def arrange(
        self, waiting: Sequence[queue_order.WaitingRequest], now: float
    ) -> list[queue_order.WaitingRequest]:
        """Return the waiting requests, the first to be admitted first."""

    @abc.abstractmethod
    def may_admit(
        self,
        request: queue_order.WaitingRequest,
        capacity: int,
        now: float,
    ) -> bool:
        """Whether enough capacity remains for more urgent arrivals.

        `capacity` is the number of requests like this one that the pool has
        capacity for now.
        """

    @abc.abstractmethod
    def is_hopeless(
        self,
        request: queue_order.WaitingRequest,
        wait_s: float,
        now: float,
    ) -> bool:
        """Whether to refuse a request that is expected to wait `wait_s`."""


class DeadlineOrder(AdmissionOrder):
    """Urgent requests first, then the earliest deadline; keeps nothing."""

    def record_arrival(
        self, request: queue_order.WaitingRequest, now: float
    ) -> None:
        """Record nothing."""

    def record_admitted(
        self, request: queue_order.WaitingRequest, now: float
    ) -> None:
        """Record nothing."""

    def record_released(
        self, request: queue_order.WaitingRequest, now: float
    ) -> None:
        """Record nothing."""

    def arrange(
        self, waiting: Sequence[queue_order.WaitingRequest], now: float
    ) -> list[queue_order.WaitingRequest]:
        """Return the requests by rank."""
        return sorted(waiting, key=lambda item: queue_order.rank_of(item, now))

    def may_admit(
        self,
        request: queue_order.WaitingRequest,
        capacity: int,
        now: float,
    ) -> bool:
        """Return True: no capacity is kept."""
        return True

    def is_hopeless(
        self,
        request: queue_order.WaitingRequest,
        wait_s: float,
        now: float,
    ) -> bool:
        """Whether the request can't be served in time after the wait."""
        return queue_order.will_be_infeasible(request, wait_s, now)
