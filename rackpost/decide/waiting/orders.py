"""The admission orders of all model services of one queue.

Pure: times are readings of the queue's clock, in seconds.
"""

from typing import Callable
from typing import Iterable
from typing import Mapping

from rackpost.decide.waiting import contender
from rackpost.decide.waiting import contention
from rackpost.decide.waiting import decisions as decisions_mod
from rackpost.decide.waiting import order
from rackpost.decide.waiting import standings
from rackpost import types

_Decisions = frozenset[decisions_mod.Decision]


def _no_decisions(service: types.ServiceName) -> _Decisions:
    return frozenset()


class Orders:
    """Keeps one order for each service, by the features that are on."""

    def __init__(
        self,
        *,
        vm: types.VmId = types.VmId(""),
        decisions_of: Callable[
            [types.ServiceName], _Decisions
        ] = _no_decisions,
        weight_of: standings.WeightOf = standings.no_weight,
    ) -> None:
        """`decisions_of` returns the decisions that are on for a service.

        A service with any of them uses the contention order.
        """
        self._vm = vm
        self._decisions_of = decisions_of
        self._weight_of = weight_of
        self._by_deadline = order.DeadlineOrder()
        self._contentions: dict[
            types.ServiceName, contention.ContentionOrder
        ] = {}

    def contends(self, service: types.ServiceName) -> bool:
        """Whether a service uses the contention order."""
        return bool(self._decisions_of(service))

    def order_for(self, service: types.ServiceName) -> order.AdmissionOrder:
        """Return the order of a service."""
        decisions = self._decisions_of(service)
        if not decisions:
            return self._by_deadline
        found = self._contentions.get(service)
        if found is None:
            found = contention.ContentionOrder(
                vm=self._vm, weight_of=self._weight_of
            )
            self._contentions[service] = found
        found.decisions = decisions
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
            if self.contends(service):
                self.order_for(service).receive(sender, report, now)
