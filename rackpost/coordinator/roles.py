"""Balances the prefill and decode pools by changing endpoints' roles.

Only the leader gives orders.  A new leader takes a fence through the log and
waits until its predecessor's lease has expired; before each order a quorum
confirms that the fence is still its own.
"""

import asyncio
import random
from typing import Callable
from typing import Iterable
from typing import NamedTuple

from rackpost.control import node as node_mod
from rackpost.coordinator import directory as directory_mod
from rackpost.coordinator import role_logs
from rackpost.coordinator import role_orders
from rackpost.decide import eligibility
from rackpost.decide import features
from rackpost.decide import role_balance
from rackpost.decide import role_demand
from rackpost.decide import role_plan
from rackpost import logs
from rackpost.routing import endpoints
from rackpost.state import commands
from rackpost import types

# How often the pools are checked.
_CHECK_INTERVAL_S = 0.5
# How long an imbalance must last before an endpoint's role is changed.
_MIN_IMBALANCE_S = 1.0
# How long an unanswered order may still take effect (12 s and a margin); no
# other order is given meanwhile.
_UNANSWERED_ORDER_S = 13.0
# A change that no heartbeat has reported within this time has failed.
_CHANGE_TIMEOUT_S = 20.0
# Pause after a change, until its effect on the demand is visible.
_PAUSE_AFTER_CHANGE_S = 6.0
# How long a gateway's report of its demand is valid; one comes each second.
_DEMAND_VALID_S = 3.0
# One in this many endpoints of a service may change its role at a time:
# limits lost capacity, yet lets large pools follow a burst.
_ENDPOINTS_PER_CHANGE = 5
# Factor on the predecessor's lease, for clock drift.
_LEASE_FACTOR = 1.2


class _Order(NamedTuple):
    """Endpoints that are to take a role, and why."""

    service: types.ServiceName
    role: types.Role
    changes: int
    pools: role_balance.Pools
    # Prefill and decode demand, in endpoints.
    demand: tuple[float, float]


class _Change(NamedTuple):
    """A change of role in progress; it has failed after `until`."""

    service: types.ServiceName
    endpoint: endpoints.Endpoint
    role: types.Role
    until: float


class _DemandReport(NamedTuple):
    """The demand at one gateway, and when it was received."""

    at: float
    items: tuple[role_balance.Demand, ...]


class RoleBalancer:
    """Balances the prefill and decode pools of each model service."""

    def __init__(
        self,
        *,
        node: node_mod.Node,
        directory: directory_mod.Directory,
        vm: types.VmId,
        lease_s: float,
        silent_s: float,
        on_changing: Callable[[], None],
    ) -> None:
        """Create the balancer of one coordinator.

        `on_changing` is called when the set of changing endpoints changes.  An
        endpoint is left out after `silent_s` without a heartbeat.
        """
        self._loop = asyncio.get_running_loop()
        self._node = node
        self._directory = directory
        self._vm = vm
        self._eligible = eligibility.Eligibility(
            table=directory.table, rng=random.Random()
        )
        self._orders = role_orders.OrderSender(
            holder=vm, eligible=self._eligible
        )
        self._lease_s = lease_s
        self._silent_s = silent_s
        self._on_changing = on_changing
        self._demands: dict[types.VmId, _DemandReport] = {}
        self._fence = types.Fence(0)
        self._fence_term = -1
        self._may_order_at = 0.0
        self._imbalance_since: dict[types.ServiceName, float] = {}
        self._changes: dict[types.EndpointId, _Change] = {}
        self._not_before: dict[types.ServiceName, float] = {}
        # The services whose roles change on first evidence.
        self._planners: dict[types.ServiceName, role_plan.RolePlanner] = {}
        self._demand_log = role_logs.DemandLog()

    @property
    def changing(self) -> tuple[types.EndpointId, ...]:
        """The endpoints that are changing their role."""
        return tuple(self._changes)

    def record_demand(
        self, vm: types.VmId, items: tuple[role_balance.Demand, ...]
    ) -> None:
        """Record the demand that a gateway reports."""
        self._demands[vm] = _DemandReport(at=self._loop.time(), items=items)

    def set_early_services(
        self, services: Iterable[types.ServiceName]
    ) -> None:
        """Set the services whose roles change on first evidence."""
        wanted = set(services)
        if wanted == self._planners.keys():
            return
        for service in self._planners.keys() - wanted:
            del self._planners[service]
        for service in wanted - self._planners.keys():
            self._planners[service] = role_plan.RolePlanner()
        logs.say(
            logs.Part.COORDINATOR,
            "Services whose roles change on first evidence.",
            feature=features.Feature.EARLY_ROLES.value,
            services=sorted(wanted),
        )

    async def run(self) -> None:
        """Balance the pools until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self._orders.sweep()
            # Recorded by all, so that a new leader knows the peaks.
            self._record_recent_demand()
            if not self._node.is_leader:
                self._fence_term = -1
                self._imbalance_since.clear()
                for planner in self._planners.values():
                    planner.forget_orders()
                self._check_changes()
                continue
            if self._fence_term != self._node.term:
                await self._take_fence()
                continue
            for service in self._services():
                await self._balance(service)

    def _check_changes(self) -> None:
        """Track ordered changes to their end, also after leadership ends."""
        for change in list(self._changes.values()):
            self._end_change(change, self._loop.time())

    async def _take_fence(self) -> None:
        term = self._node.term
        result = await self._node.commit(commands.TakeFence(holder=self._vm))
        if not isinstance(result, commands.Accepted):
            return
        self._fence = result.fence
        self._fence_term = term
        wait_s = self._lease_s * _LEASE_FACTOR
        self._may_order_at = self._loop.time() + wait_s
        logs.say(
            logs.Part.COORDINATOR,
            "Took a fence for orders.",
            fence=self._fence,
            term=term,
            orders_after_s=wait_s,
        )

    def _services(self) -> set[types.ServiceName]:
        return {
            item.service
            for item in self._directory.table.alive.values()
            if item.role is not types.Role.PLAIN
        }

    def _members(self, service: types.ServiceName) -> list[endpoints.Endpoint]:
        table = self._directory.table
        before = self._loop.time() - self._silent_s
        return [
            item
            for item in table.alive.values()
            if item.service == service
            and item.state is endpoints.EndpointState.READY
            and not table.is_silent(item.id, before)
        ]

    def _record_recent_demand(self) -> None:
        now = self._loop.time()
        for service, planner in self._planners.items():
            planner.history.record(
                now,
                [
                    role_demand.WorkReport(report.at, item.recent)
                    for report in self._demands.values()
                    for item in report.items
                    if item.service == service
                    and item.recent is not None
                    and now - report.at < _DEMAND_VALID_S
                ],
            )

    def _demand(self, service: types.ServiceName) -> role_balance.Demand:
        """Return the total demand at all gateways."""
        now = self._loop.time()
        found = [
            item
            for report in self._demands.values()
            for item in report.items
            if item.service == service and now - report.at < _DEMAND_VALID_S
        ]
        return role_balance.total(service, found)

    async def _balance(self, service: types.ServiceName) -> None:
        now = self._loop.time()
        self._check_changes()
        members = self._members(service)
        planner = self._planners.get(service)
        pools = self._pools(members)
        if planner is not None and pools.prefill > 0 and pools.decode > 0:
            await self._balance_early(service, planner, members, pools)
            return
        if not self._may_change(service, members, now):
            return
        demand = self._demand(service)
        role = role_balance.role_to_add(pools, demand)
        if role is None:
            self._imbalance_since.pop(service, None)
            return
        since = self._imbalance_since.setdefault(service, now)
        if now - since < _MIN_IMBALANCE_S:
            return
        figures = (demand.prefill, demand.decode)
        await self._order_changes(
            _Order(service, role, 1, pools, figures), members
        )
        if not self._may_change(service, members, self._loop.time()):
            # The next imbalance is timed from its own start.
            self._imbalance_since.pop(service, None)

    async def _balance_early(
        self,
        service: types.ServiceName,
        planner: role_plan.RolePlanner,
        members: list[endpoints.Endpoint],
        pools: role_balance.Pools,
    ) -> None:
        """Order the changes that the planner wants on first evidence."""
        now = self._loop.time()
        changing = [
            item.role
            for item in self._changes.values()
            if item.service == service
        ]
        plan = planner.plan(now, pools, changing)
        self._demand_log.record(now, service, planner.history, pools)
        if (
            plan is None
            or now < self._may_order_at
            or now < self._not_before.get(service, 0.0)
        ):
            return
        order = _Order(
            service, plan.role, plan.changes, pools, plan.demand[:2]
        )
        ordered = await self._order_changes(order, members)
        if ordered:
            planner.record_order(now, plan.role, ordered)

    def _may_change(
        self,
        service: types.ServiceName,
        members: list[endpoints.Endpoint],
        now: float,
    ) -> bool:
        in_progress = sum(
            1 for item in self._changes.values() if item.service == service
        )
        if in_progress >= max(1, len(members) // _ENDPOINTS_PER_CHANGE):
            return False
        not_before = self._not_before.get(service, 0.0)
        return now >= self._may_order_at and now >= not_before

    def _pools(self, members: list[endpoints.Endpoint]) -> role_balance.Pools:
        """Return the pools as they will be after all ordered changes."""
        roles = [
            (
                self._changes[item.id].role
                if item.id in self._changes
                else item.role
            )
            for item in members
        ]
        return role_balance.Pools(
            prefill=roles.count(types.Role.PREFILL),
            decode=roles.count(types.Role.DECODE),
        )

    def _end_change(self, change: _Change, now: float) -> None:
        table = self._directory.table
        known = table.alive.get(change.endpoint.id)
        if known is None:
            outcome = "endpoint is gone"
        elif table.has_restarted(change.endpoint):
            outcome = "endpoint restarted"
        elif known.role is change.role:
            outcome = "done"
        elif now >= change.until:
            outcome = "not done in time"
        else:
            return
        del self._changes[change.endpoint.id]
        if change.service not in self._planners and not any(
            item.service == change.service for item in self._changes.values()
        ):
            self._not_before[change.service] = now + _PAUSE_AFTER_CHANGE_S
        self._on_changing()
        logs.say(
            logs.Part.COORDINATOR,
            "Change of role has ended.",
            endpoint=change.endpoint.id,
            outcome=outcome,
        )

    def _candidates(
        self, role: types.Role, members: list[endpoints.Endpoint]
    ) -> list[endpoints.Endpoint]:
        """Return the endpoints that may be ordered to take a role.

        The order is the same at each coordinator: a new leader first asks
        the endpoints that its predecessor may have ordered.
        """
        return sorted(
            (
                item
                for item in members
                if item.role is not role
                and item.id not in self._changes
                and self._eligible.ineligible_reason(item, self._loop.time())
                is None
            ),
            key=lambda item: item.id,
        )

    async def _order_changes(
        self, order: _Order, members: list[endpoints.Endpoint]
    ) -> int:
        """Order endpoints to take a role; return how many change."""
        chosen = self._candidates(order.role, members)
        if order.service in self._planners:
            chosen = role_plan.spread(chosen)
        chosen = chosen[: order.changes]
        # A successor waits for longer than one lease from here.
        until = self._loop.time() + self._lease_s
        if not chosen or not await self._is_still_holder():
            return 0
        await asyncio.gather(
            *(self._order_change(order, item, until) for item in chosen)
        )
        return sum(1 for item in chosen if item.id in self._changes)

    async def _order_change(
        self, order: _Order, endpoint: endpoints.Endpoint, until: float
    ) -> None:
        result = await self._orders.send_order(
            endpoint,
            order.role,
            self._fence,
            until=until,
            reports_changing=order.service in self._planners,
        )
        logs.say(
            logs.Part.COORDINATOR,
            "Ordered a change of role.",
            endpoint=endpoint.id,
            role=order.role.value,
            outcome=result.value,
            fence=self._fence,
            prefill_endpoints=order.pools.prefill,
            decode_endpoints=order.pools.decode,
            prefill_demand=round(order.demand[0], 2),
            decode_demand=round(order.demand[1], 2),
        )
        self._record_outcome(order.service, endpoint, order.role, result)

    def _record_outcome(
        self,
        service: types.ServiceName,
        endpoint: endpoints.Endpoint,
        role: types.Role,
        result: role_orders.OrderOutcome,
    ) -> None:
        now = self._loop.time()
        if result is role_orders.OrderOutcome.FENCED:
            # Another coordinator leads; this one will learn of it.
            self._may_order_at = now + _UNANSWERED_ORDER_S
        elif result is role_orders.OrderOutcome.INELIGIBLE:
            # The next round chooses another endpoint.
            return
        elif result is role_orders.OrderOutcome.REFUSED:
            self._not_before[service] = now + _PAUSE_AFTER_CHANGE_S
        else:
            wait_s = _CHANGE_TIMEOUT_S
            if result in (
                role_orders.OrderOutcome.UNKNOWN,
                role_orders.OrderOutcome.CHANGING,
            ):
                # The latter is most likely an order of a former leader.
                wait_s = _UNANSWERED_ORDER_S
            self._changes[endpoint.id] = _Change(
                service=service,
                endpoint=endpoint,
                role=role,
                until=now + wait_s,
            )
            self._on_changing()

    async def _is_still_holder(self) -> bool:
        if not await self._node.confirm_read():
            return False
        held = self._node.machine.order_fence
        return self._node.is_leader and held == self._fence
