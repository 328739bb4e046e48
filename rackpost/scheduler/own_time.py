"""The admission order of a scheduler."""

from rackpost.decide import queue_order
from rackpost.decide.waiting import order
from rackpost.decide.waiting import orders
from rackpost import types


class OwnTimeOrder(order.DeadlineOrder):
    """By deadline; refuses only what can't be served in its own time.

    A gateway expects a wait from what it knows of the others' queues, and
    one that has just started expects none.  A scheduler refuses nothing that
    some gateway would have admitted.
    """

    def is_hopeless(
        self,
        request: queue_order.WaitingRequest,
        wait_s: float,
        pool_of: order.PoolOf,
        now: float,
    ) -> bool:
        """Whether the request can't be served even if it is admitted now."""
        return queue_order.is_infeasible(request, now)


class SchedulerOrders(orders.Orders):
    """Orders of which those by deadline refuse by their own time."""

    def order_for(self, service: types.ServiceName) -> order.AdmissionOrder:
        """Return the order of a service."""
        if self.contends(service):
            return super().order_for(service)
        return _BY_DEADLINE


_BY_DEADLINE = OwnTimeOrder()
