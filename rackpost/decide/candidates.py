"""List the endpoints of a service that a gateway may choose from.

Hard exclusions are in `eligibility.py`.  This module applies the preferences
that all choices share: an endpoint that is silent or has just failed is a
candidate only where there is no better one.
"""

from typing import Sequence

from rackpost.decide import eligibility
from rackpost.decide import endpoint_health
from rackpost.decide import gateway_groups
from rackpost.routing import endpoints
from rackpost import types


class Candidates:
    """The endpoints known to one gateway, by service and role."""

    def __init__(
        self,
        *,
        table: endpoints.EndpointTable,
        eligible: eligibility.Eligibility,
        health: endpoint_health.HealthTracker,
        silent_after_s: float,
        group: gateway_groups.Group | None = None,
    ) -> None:
        """Create the list for one gateway.

        An endpoint without a heartbeat for `silent_after_s` counts as silent.
        Only the endpoints of the gateway's `group` are candidates.
        """
        self._table = table
        self._eligible = eligible
        self._health = health
        self._silent_after_s = silent_after_s
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
        """Return the endpoints of a role that a request may be sent to.

        Silent endpoints are returned only if there is no other.  Endpoints
        that have just failed are returned only if all have failed, never
        with `healthy_only`, and always with `include_failed`.
        """
        eligible = [
            item
            for item in self.members(service, role)
            if self._eligible.may_select(item, now)
        ]
        found = [
            item
            for item in self._group.select(eligible)
            if item.id not in exclude
        ]
        healthy = [
            item
            for item in found
            if include_failed or not self._health.is_avoided(item.id, now)
        ]
        since = now - self._silent_after_s
        responsive = [
            item
            for item in healthy
            if not self._table.is_silent(item.id, since)
        ]
        return responsive or healthy or ([] if healthy_only else found)

    def members(
        self, service: types.ServiceName, role: types.Role
    ) -> list[endpoints.Endpoint]:
        """Return all known endpoints of a service and role, in any state."""
        return [
            item
            for item in self._table.alive.values()
            if item.service == service and item.role is role
        ]

    def versions(
        self, service: types.ServiceName
    ) -> set[types.SoftwareVersion]:
        """Return the software versions of a service's endpoints."""
        return self._table.versions(service)

    def of_version(
        self, service: types.ServiceName, software: types.SoftwareVersion
    ) -> list[types.EndpointId]:
        """Return the endpoints of a service with this software."""
        return self._table.of_version(service, software)

    def other_versions(
        self, service: types.ServiceName, software: types.SoftwareVersion
    ) -> list[types.EndpointId]:
        """Return the endpoints of a service with other software."""
        return self._table.other_versions(service, software)

    def available_in_s(
        self,
        service: types.ServiceName,
        role: types.Role,
        *,
        exclude: Sequence[types.EndpointId] = (),
        now: float,
    ) -> float | None:
        """Return how long until an endpoint of a role is available.

        In seconds: 0 where one is available or in its slow start, None where
        no time is known.
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
        """Return the endpoints known to be available before a reading."""
        found = []
        for item in self.members(service, role):
            available_at = self._eligible.available_at(item, now)
            if available_at is not None and available_at < at:
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
        """Return how many requests a second this gateway may send to a role.

        None unless each available endpoint of the role has announced a rate.
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
        """Record that the endpoint was selected for a request."""
        self._eligible.record_selection(endpoint, now)

    def may_resend(self, endpoint: endpoints.Endpoint, now: float) -> bool:
        """Whether an endpoint that had a request may be sent it again.

        False after a restart of the endpoint, which has lost its state.
        """
        may_send = self._eligible.ineligible_reason(endpoint, now) is None
        return may_send and self._table.is_current(endpoint)
