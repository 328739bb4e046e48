"""Which endpoints of a service a gateway may choose from.  Pure.

What is never given up stands in `eligibility.py`.  Here are the preferences
that every choice shares: an endpoint that is silent or has just failed is
chosen from only where nothing better is left.
"""

from typing import Sequence

from rackpost.decide import eligibility
from rackpost.decide import endpoint_health
from rackpost.decide import gateway_groups
from rackpost.routing import endpoints
from rackpost import types


class Candidates:
    """The endpoints that are known to one gateway, by service and role."""

    def __init__(
        self,
        *,
        table: endpoints.EndpointTable,
        eligible: eligibility.Eligibility,
        health: endpoint_health.HealthTracker,
        silent_after_s: float,
        group: gateway_groups.Group | None = None,
    ) -> None:
        """`silent_after_s`: after so long without a heartbeat others go first.

        Of a `group` of gateways only its part of the endpoints is chosen
        from.
        """
        self._table = table
        self._eligible = eligible
        self._health = health
        self._silent_s = silent_after_s
        self._group = group or gateway_groups.Group(vm=types.VmId(""))

    def find(
        self,
        service: types.ServiceName,
        role: types.Role,
        *,
        exclude: Sequence[types.EndpointId] = (),
        now: float,
        healthy_only: bool = False,
        include_failed: bool = False,
    ) -> list[endpoints.Endpoint]:
        """Endpoints of a role that a request may be meant for.

        Those that are silent only if there is no other, and those that
        have just failed neither then with `healthy_only`; with
        `include_failed` as if they had not.
        """
        ready = [
            item
            for item in self.members(service, role)
            if self._eligible.may_select(item, now)
        ]
        found = [
            item
            for item in self._group.select(ready)
            if item.id not in exclude
        ]
        well = [
            item
            for item in found
            if include_failed or not self._health.is_avoided(item.id, now)
        ]
        before = now - self._silent_s
        heard = [
            item for item in well if not self._table.is_silent(item.id, before)
        ]
        return heard or well or ([] if healthy_only else found)

    def members(
        self, service: types.ServiceName, role: types.Role
    ) -> list[endpoints.Endpoint]:
        """All of a service and role that are known, whatever their state."""
        return [
            item
            for item in self._table.alive.values()
            if item.service == service and item.role is role
        ]

    def available_in_s(
        self,
        service: types.ServiceName,
        role: types.Role,
        *,
        exclude: Sequence[types.EndpointId] = (),
        now: float,
    ) -> float | None:
        """How long until one of a role's endpoints may be chosen, in seconds.

        0 where one may be now, or starts slowly; None where nothing tells.
        """
        found = [
            self._eligible.available_at(item, now)
            for item in self.members(service, role)
            if item.id not in exclude
        ]
        known = [at for at in found if at is not None]
        return max(0.0, min(known) - now) if known else None

    def available_by(
        self,
        service: types.ServiceName,
        role: types.Role,
        at: float,
        now: float,
    ) -> list[endpoints.Endpoint]:
        """Those that may be chosen before a clock reading, as is known."""
        found = []
        for item in self.members(service, role):
            opens_at = self._eligible.available_at(item, now)
            if opens_at is not None and opens_at < at:
                found.append(item)
        return found

    def own_rate_per_s(
        self,
        service: types.ServiceName,
        role: types.Role,
        *,
        exclude: Sequence[types.EndpointId] = (),
        now: float,
    ) -> float | None:
        """How many requests a second this gateway may send to a role.

        As far as is known, where each of its endpoints names a rate; None
        where one takes what comes, or none takes anything.
        """
        if not self._eligible.rates.incarnations:
            return None
        found = [
            self._eligible.gate.own_rate_per_s(item)
            for item in self.members(service, role)
            if item.id not in exclude
            and self._eligible.available_at(item, now) is not None
        ]
        rates = [per_s for per_s in found if per_s is not None]
        if not rates or len(rates) < len(found):
            return None
        return sum(rates)

    def record_selection(
        self, endpoint: endpoints.Endpoint, now: float
    ) -> None:
        """A request is meant for this endpoint."""
        self._eligible.record_selection(endpoint, now)

    def may_resend(self, endpoint: endpoints.Endpoint, now: float) -> bool:
        """Whether an endpoint that had a request may be sent it again.

        Not one that has started again since: it holds nothing of it.
        """
        may_send = self._eligible.ineligible_reason(endpoint, now) is None
        return may_send and self._table.is_current(endpoint)
