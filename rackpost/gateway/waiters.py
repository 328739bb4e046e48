"""The requests that wait in an admission queue, in the order of each service.

Services that are served by deadline share one order, as they did before
there were others.
"""

import asyncio
from typing import Iterator
from typing import Sequence

from rackpost.decide import queue_order
from rackpost.decide.waiting import contender
from rackpost.decide.waiting import order as order_mod
from rackpost.decide.waiting import orders as orders_mod
from rackpost.gateway import reservation as reservation_mod
from rackpost import types


class Waiter:
    """A waiting generation and the future of its result."""

    def __init__(self, *, request: reservation_mod.ReservationRequest) -> None:
        self.request = request
        self.result: asyncio.Future[
            reservation_mod.DecodeReservation | reservation_mod.NoCapacity
        ] = asyncio.get_running_loop().create_future()
        # Why it was kept waiting while there was capacity.
        self.kept: set[order_mod.Kept] = set()


class WaiterOrders:
    """Sorts waiting requests by the orders of their services."""

    def __init__(self, *, orders: orders_mod.Orders) -> None:
        self._orders = orders

    def contends(self, service: types.ServiceName) -> bool:
        """Whether a service uses the contention order."""
        return self._orders.contends(service)

    def order_for(
        self, request: reservation_mod.ReservationRequest
    ) -> order_mod.AdmissionOrder:
        """Return the order of a request's service."""
        return self._orders.order_for(request.service)

    def sort(self, waiters: Sequence[Waiter], now: float) -> list[Waiter]:
        """Return the waiters sorted, those of each order together."""
        by_deadline = sorted(
            self._by_deadline(waiters),
            key=lambda item: queue_order.rank_of(
                item.request.waiting_request, now
            ),
        )
        return by_deadline + [
            item
            for service in self._contending(waiters)
            for item in self._arranged(waiters, service, now)
        ]

    def passes(self, waiters: Sequence[Waiter]) -> Iterator[list[Waiter]]:
        """Yield the sorted waiters of each order."""
        yield self._by_deadline(waiters)
        for service in self._contending(waiters):
            yield [item for item in waiters if item.request.service == service]

    def ahead(
        self,
        waiters: Sequence[Waiter],
        request: reservation_mod.ReservationRequest,
        now: float,
    ) -> int:
        """Return how many waiters are ahead of a request."""
        if self.contends(request.service):
            found = [
                item.request
                for item in self._arranged(waiters, request.service, now)
            ]
            return found.index(request) if request in found else len(found)
        rank = queue_order.rank_of(request.waiting_request, now)
        return sum(
            queue_order.rank_of(item.request.waiting_request, now) <= rank
            for item in self._by_deadline(waiters)
            if item.request is not request
        )

    def reports(
        self, waiters: Sequence[Waiter], now: float
    ) -> dict[types.ServiceName, contender.ContentionReport]:
        """Return what to report of services with a contention order."""
        found = {}
        for service in self._orders.services():
            waiting = [
                item.request.waiting_request
                for item in waiters
                if item.request.service == service and not item.result.done()
            ]
            report = self._orders.order_for(service).report(waiting, now)
            if report is not None:
                found[service] = report
        return found

    def by_deadline(
        self, waiters: Sequence[Waiter], now: float
    ) -> list[queue_order.WaitingSummary]:
        """Return summaries of the waiters that are served by deadline."""
        return [
            queue_order.summarize(item.request.waiting_request, now)
            for item in self._by_deadline(waiters)
            if not item.result.done()
        ]

    def _by_deadline(self, waiters: Sequence[Waiter]) -> list[Waiter]:
        return [
            item for item in waiters if not self.contends(item.request.service)
        ]

    def _contending(
        self, waiters: Sequence[Waiter]
    ) -> list[types.ServiceName]:
        found = {item.request.service for item in waiters}
        return sorted(item for item in found if self.contends(item))

    def _arranged(
        self,
        waiters: Sequence[Waiter],
        service: types.ServiceName,
        now: float,
    ) -> list[Waiter]:
        by_id = {
            id(item.request.waiting_request): item
            for item in waiters
            if item.request.service == service
        }
        arranged = self._orders.order_for(service).arrange(
            [item.request.waiting_request for item in by_id.values()], now
        )
        return [by_id[id(item)] for item in arranged]
