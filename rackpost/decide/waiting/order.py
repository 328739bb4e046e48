"""The order in which waiting generations are admitted: its interface.

An admission queue, at a gateway or at a coordinator, asks one
`AdmissionOrder` for each model service.  `DeadlineOrder` is the order of
services whose requests all have one priority.

Pure: times are readings of the queue's clock, in seconds.
"""

import abc
import enum
from typing import Callable
from typing import Sequence

from rackpost.decide import queue_order
from rackpost.decide.waiting import contender
from rackpost.decide.waiting import headroom
from rackpost.decide.waiting import kind_guard
from rackpost import types

# Returns the state of the pool, which takes some work to find out.
PoolOf = Callable[[], headroom.PoolState]


class Kept(enum.Enum):
    """Why a request waits although an endpoint has capacity for it."""

    # Capacity is kept for more urgent arrivals.
    HEADROOM = "headroom"
    # The same, and its organisation uses more than its share.
    SHARE = "share"


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
    ) -> kind_guard.Outcome | None:
        """Record that a request holds capacity from now on.

        Returns whether it will be in time; None if that is not recorded.
        """

    @abc.abstractmethod
    def record_released(self, request: queue_order.WaitingRequest) -> None:
        """Record that an admitted request has released its capacity."""

    @abc.abstractmethod
    def record_unserved(
        self, request: queue_order.WaitingRequest, now: float
    ) -> None:
        """Record that a request was refused, or its client left."""

    @abc.abstractmethod
    def arrange(
        self, waiting: Sequence[queue_order.WaitingRequest], now: float
    ) -> list[queue_order.WaitingRequest]:
        """Return the waiting requests, the first to be admitted first."""

    @abc.abstractmethod
    def yields_to_arrivals(
        self, request: queue_order.WaitingRequest, now: float
    ) -> bool:
        """Whether capacity may be kept for others; `kept_for` decides."""

    @abc.abstractmethod
    def kept_for(
        self,
        request: queue_order.WaitingRequest,
        pool: headroom.PoolState,
        now: float,
    ) -> Kept | None:
        """Return for whom capacity is kept, None if it may be admitted."""

    @abc.abstractmethod
    def ahead_elsewhere(
        self, request: queue_order.WaitingRequest, now: float
    ) -> int:
        """Return how many requests at other gateways are ahead."""

    @abc.abstractmethod
    def expected_wait_s(
        self,
        request: queue_order.WaitingRequest,
        ahead: int,
        pool: headroom.PoolState,
        now: float,
    ) -> float:
        """Return the expected wait behind `ahead` others, in seconds."""

    @abc.abstractmethod
    def is_hopeless(
        self,
        request: queue_order.WaitingRequest,
        wait_s: float,
        pool_of: PoolOf,
        now: float,
    ) -> bool:
        """Whether to refuse a request that has just arrived.

        It is expected to wait `wait_s`, and was arranged with the others.
        """

    @abc.abstractmethod
    def return_in_s(
        self, wait_s: float, pool: headroom.PoolState, now: float
    ) -> float | None:
        """Take a place in the order of return; return when it is due.

        In seconds; `wait_s` is the expected wait of the refused request.
        None where refused requests have no order.
        """

    def report(
        self, waiting: Sequence[queue_order.WaitingRequest], now: float
    ) -> contender.ContentionReport | None:
        """Return what other gateways need to know; None for nothing."""
        return None

    def receive(
        self,
        sender: types.VmId,
        report: contender.ContentionReport,
        now: float,
    ) -> None:
        """Take in the report of another gateway."""


class DeadlineOrder(AdmissionOrder):
    """Urgent requests first, then the earliest deadline; keeps nothing.

    The waiting requests of other gateways are those of the load reports,
    which count all services together.
    """

    def record_arrival(
        self, request: queue_order.WaitingRequest, now: float
    ) -> None:
        """Record nothing."""

    def record_admitted(
        self, request: queue_order.WaitingRequest, now: float
    ) -> kind_guard.Outcome | None:
        """Record nothing."""
        return None

    def record_released(self, request: queue_order.WaitingRequest) -> None:
        """Record nothing."""

    def record_unserved(
        self, request: queue_order.WaitingRequest, now: float
    ) -> None:
        """Record nothing."""

    def arrange(
        self, waiting: Sequence[queue_order.WaitingRequest], now: float
    ) -> list[queue_order.WaitingRequest]:
        """Return the requests by rank."""
        return sorted(waiting, key=lambda item: queue_order.rank_of(item, now))

    def yields_to_arrivals(
        self, request: queue_order.WaitingRequest, now: float
    ) -> bool:
        """Return False: no capacity is kept."""
        return False

    def kept_for(
        self,
        request: queue_order.WaitingRequest,
        pool: headroom.PoolState,
        now: float,
    ) -> Kept | None:
        """Return None: no capacity is kept."""
        return None

    def ahead_elsewhere(
        self, request: queue_order.WaitingRequest, now: float
    ) -> int:
        """Return 0: the load reports hold them."""
        return 0

    def expected_wait_s(
        self,
        request: queue_order.WaitingRequest,
        ahead: int,
        pool: headroom.PoolState,
        now: float,
    ) -> float:
        """Return the wait by Little's law, in seconds."""
        return queue_order.expected_wait_s(
            ahead=ahead,
            running=len(pool.releases_s),
            run_s=pool.generation_s,
        )

    def is_hopeless(
        self,
        request: queue_order.WaitingRequest,
        wait_s: float,
        pool_of: PoolOf,
        now: float,
    ) -> bool:
        """Whether the request can't be served in time after the wait."""
        return queue_order.will_be_infeasible(request, wait_s, now)

    def return_in_s(
        self, wait_s: float, pool: headroom.PoolState, now: float
    ) -> float | None:
        """Return None: refused requests have no order."""
        return None
