"""Balances the prefill and decode pools by changing endpoints' roles.

Only the leader gives orders.  A new leader takes a fence through the log and
waits until its predecessor's lease has expired; before each order a quorum
confirms that the fence is still its own.
"""

import asyncio
import random
from typing import Callable
from typing import NamedTuple

from rackpost.control import node as node_mod
from rackpost.coordinator import directory as directory_mod
from rackpost.coordinator import role_orders
from rackpost.decide import eligibility
from rackpost.decide import role_balance
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

    @property
    def changing(self) -> tuple[types.EndpointId, ...]:
        """The endpoints that are changing their role."""
        return tuple(self._changes)

    def record_demand(
        self, vm: types.VmId, items: tuple[role_balance.Demand, ...]
    ) -> None:
        """Record the demand that a gateway reports."""
        self._demands[vm] = _DemandReport(at=self._loop.time(), items=items)

    async def run(self) -> None:
        """Balance the pools until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self._orders.sweep()
            if not self._node.is_leader:
                self._fence_term = -1
                self._imbalance_since.clear()
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
        if not self._may_change(service, members, now):
            return
        pools = self._pools(members)
        demand = self._demand(service)
        role = role_balance.role_to_add(pools, demand)
        if role is None:
            self._imbalance_since.pop(service, None)
            return
        since = self._imbalance_since.setdefault(service, now)
        if now - since < _MIN_IMBALANCE_S:
            return
        await self._order_change(service, role, members, pools, demand)
        if not self._may_change(service, members, self._loop.time()):
            # The next imbalance is timed from its own start.
            self._imbalance_since.pop(service, None)

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
        if not any(
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

    async def _order_change(
        self,
        service: types.ServiceName,
        role: types.Role,
        members: list[endpoints.Endpoint],
        pools: role_balance.Pools,
        demand: role_balance.Demand,
    ) -> None:
        others = sorted(
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
        # A successor waits for longer than one lease from here.
        until = self._loop.time() + self._lease_s
        if not others or not await self._is_still_holder():
            return
        endpoint = others[0]
        result = await self._orders.send_order(
            endpoint, role, self._fence, until=until
        )
        logs.say(
            logs.Part.COORDINATOR,
            "Ordered a change of role.",
            endpoint=endpoint.id,
            role=role.value,
            outcome=result.value,
            fence=self._fence,
            prefill_endpoints=pools.prefill,
            decode_endpoints=pools.decode,
            prefill_demand=round(demand.prefill, 2),
            decode_demand=round(demand.decode, 2),
        )
        self._record_outcome(service, endpoint, role, result)

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
            if result is role_orders.OrderOutcome.UNKNOWN:
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
