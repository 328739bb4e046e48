"""The admission orders of all model services of one queue.

Pure: times are readings of the queue's clock, in seconds.
"""

from typing import Callable
from typing import Iterable
from typing import Mapping

from rackpost.decide.waiting import contender
from rackpost.decide.waiting import contention
from rackpost.decide.waiting import order
from rackpost import types


def _never(service: types.ServiceName) -> bool:
    return False


class Orders:
    """Keeps one order for each service, by the features that are on."""

    def __init__(
        self,
        *,
        vm: types.VmId = types.VmId(""),
        has_contention: Callable[[types.ServiceName], bool] = _never,
        weight_of: contention.WeightOf | None = None,
    ) -> None:
        """`has_contention` says which services use the contention order."""
        self._vm = vm
        self._has_contention = has_contention
        self._weight_of = weight_of
        self._by_deadline = order.DeadlineOrder()
        self._contentions: dict[
            types.ServiceName, contention.ContentionOrder
        ] = {}

    def contends(self, service: types.ServiceName) -> bool:
        """Whether a service uses the contention order."""
        return self._has_contention(service)

    def order_for(self, service: types.ServiceName) -> order.AdmissionOrder:
        """Return the order of a service."""
        if not self._has_contention(service):
            return self._by_deadline
        found = self._contentions.get(service)
        if found is None:
            found = (
                contention.ContentionOrder(vm=self._vm)
                if self._weight_of is None
                else contention.ContentionOrder(
                    vm=self._vm, weight_of=self._weight_of
                )
            )
            self._contentions[service] = found
        return found

    def services(self) -> Iterable[types.ServiceName]:
        """Return the services whose contention order is in use."""
        return [name for name in self._contentions if self.contends(name)]

    def receive(
        self,
        sender: types.VmId,
        reports: Mapping[types.ServiceName, contender.ContentionReport],
        now: float,
    ) -> None:
        """Take in what another gateway reports of its services."""
        for service, report in reports.items():
            if self._has_contention(service):
                self.order_for(service).receive(sender, report, now)
