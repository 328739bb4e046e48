"""The leases on a model service's capacity that gateways hold.

A scheduler that begins may follow another one.  So it grants only once it
knows what the gateways hold that were linked to it at that time, and only
while no linked gateway uses another scheduler, which may grant capacity there.

A gateway that links later does not stop the grants to others: it has just
started, or was linked before and its leases still count.  It is granted
nothing until it has reported what it holds.  The leases of a gateway lapse
together if it is silent.

Pure: times are readings of the scheduler's clock, in seconds.
"""

import enum
from typing import Iterable
from typing import NamedTuple
from typing import NewType

import msgspec

from rackpost.decide import kv_forecast
from rackpost import types

# Identifies a request for capacity within one incarnation of a gateway.
TicketId = NewType("TicketId", int)


class LeaseKey(NamedTuple):
    """Identifies a lease at a scheduler."""

    gateway: types.VmId
    ticket: TicketId


class Lease(msgspec.Struct, kw_only=True):
    """Capacity that a gateway holds.

    Attributes:
        endpoint: the decode endpoint.
        prefill_endpoint: where the prompt is prefilled; None is in place.
        run: the KV memory in use and forecast.
        prefilling: the prompt is still to be prefilled.
    """

    endpoint: types.EndpointId
    prefill_endpoint: types.EndpointId | None
    run: kv_forecast.Run
    prefilling: bool


class Changes(NamedTuple):
    """What a report has changed; updated runs are changed in place."""

    added: list[LeaseKey]
    prefilled: list[LeaseKey]
    ended: list[LeaseKey]


class Use(enum.Enum):
    """Which scheduler of a service a gateway uses."""

    THIS = "this"
    OTHER = "other"
    # It decides itself, and reports what it takes.
    NONE = "none"


class Readiness(enum.Enum):
    """Whether a scheduler may grant, or why not."""

    READY = "ready"
    # A gateway that was linked when the scheduler began has not yet reported
    # what it holds.
    UNKNOWN_HOLDINGS = "unknown holdings"
    # A linked gateway uses another scheduler.
    NOT_CHOSEN = "not chosen"


class _Gateway:
    """What is known of one gateway."""

    def __init__(self, *, now: float) -> None:
        self.is_linked = True
        self.has_reported = False
        # It may hold what another scheduler granted.
        self.is_awaited = False
        self.use = Use.NONE
        self.last_report_at = now
        self.tickets: set[TicketId] = set()


class LeaseTable:
    """All leases on one service, by gateway."""

    def __init__(self, *, lease_s: float) -> None:
        """Create an empty table; leases last `lease_s` without a report."""
        self._lease_s = lease_s
        self._gateways: dict[types.VmId, _Gateway] = {}
        self.leases: dict[LeaseKey, Lease] = {}

    @property
    def readiness(self) -> Readiness:
        """Whether the scheduler may grant, or why not."""
        linked = [item for item in self._gateways.values() if item.is_linked]
        if any(item.is_awaited for item in linked):
            return Readiness.UNKNOWN_HOLDINGS
        if any(item.use is Use.OTHER for item in linked):
            return Readiness.NOT_CHOSEN
        return Readiness.READY

    def has_reported(self, gateway: types.VmId) -> bool:
        """Whether it is known what a linked gateway holds."""
        found = self._gateways.get(gateway)
        return found is not None and found.is_linked and found.has_reported

    def blockers(self) -> list[types.VmId]:
        """Return the gateways that keep the scheduler from granting."""
        return [
            vm
            for vm, item in self._gateways.items()
            if item.is_linked and (item.is_awaited or item.use is Use.OTHER)
        ]

    def link(
        self, gateway: types.VmId, now: float, *, awaited: bool = False
    ) -> None:
        """Record a new link; what the gateway holds is unknown until told.

        Leases from an earlier link count until then, and a gateway that used
        another scheduler still counts as one that does.  With `awaited` the
        scheduler has just begun, and grants nothing before the report.
        """
        found = self._gateways.setdefault(gateway, _Gateway(now=now))
        found.is_linked = True
        found.has_reported = False
        found.is_awaited = found.is_awaited or awaited

    def unlink(self, gateway: types.VmId) -> None:
        """Record a lost link; its leases count until they lapse."""
        found = self._gateways.get(gateway)
        if found is not None:
            found.is_linked = False

    def grant(self, key: LeaseKey, lease: Lease) -> None:
        """Record a lease that is granted to a linked gateway."""
        self.leases[key] = lease
        self._gateways[key.gateway].tickets.add(key.ticket)

    def record_use(self, gateway: types.VmId, use: Use) -> None:
        """Record which scheduler a gateway uses."""
        found = self._gateways.get(gateway)
        if found is not None:
            found.use = use

    def report(
        self,
        gateway: types.VmId,
        held: dict[TicketId, Lease],
        *,
        complete: bool,
        now: float,
    ) -> Changes:
        """Take in what a gateway holds, or with `complete` False, changes.

        Changes that precede the first complete report are ignored.
        """
        found = self._gateways.get(gateway)
        changes = Changes([], [], [])
        if found is None or not (complete or found.has_reported):
            return changes
        found.has_reported = True
        found.is_awaited = False
        found.last_report_at = now
        for ticket, lease in held.items():
            self._update(LeaseKey(gateway, ticket), lease, changes)
        if complete:
            gone = found.tickets - set(held)
            changes.ended.extend(self.release(gateway, gone))
        return changes

    def _update(self, key: LeaseKey, lease: Lease, changes: Changes) -> None:
        known = self.leases.get(key)
        if known is not None and not _is_same_place(known, lease):
            changes.ended.extend(self.release(key.gateway, [key.ticket]))
            known = None
        if known is None:
            self.grant(key, lease)
            changes.added.append(key)
            return
        known.run.held_tokens = lease.run.held_tokens
        known.run.remaining_tokens = lease.run.remaining_tokens
        known.run.error_tokens = lease.run.error_tokens
        if known.prefilling and not lease.prefilling:
            known.prefilling = False
            changes.prefilled.append(key)

    def record_prefilled(
        self, gateway: types.VmId, tickets: Iterable[TicketId]
    ) -> list[LeaseKey]:
        """Record prompts that are prefilled; return those that were not."""
        changed = []
        for ticket in tickets:
            key = LeaseKey(gateway, ticket)
            known = self.leases.get(key)
            if known is not None and known.prefilling:
                known.prefilling = False
                changed.append(key)
        return changed

    def release(
        self, gateway: types.VmId, tickets: Iterable[TicketId]
    ) -> list[LeaseKey]:
        """Release leases; return those that were held."""
        found = self._gateways.get(gateway)
        ended = []
        for ticket in list(tickets):
            key = LeaseKey(gateway, ticket)
            if found is not None and self.leases.pop(key, None) is not None:
                found.tickets.discard(ticket)
                ended.append(key)
        return ended

    def expire(self, now: float) -> list[LeaseKey]:
        """Drop the leases of gateways that are silent; return them.

        A silent gateway does not keep the scheduler from granting either.
        """
        ended = []
        for vm, item in list(self._gateways.items()):
            if now - item.last_report_at <= self._lease_s:
                continue
            ended += self.release(vm, item.tickets)
            item.is_awaited = False
            item.use = Use.NONE
            if not item.is_linked:
                del self._gateways[vm]
        return ended


def _is_same_place(known: Lease, reported: Lease) -> bool:
    return (
        known.endpoint == reported.endpoint
        and known.prefill_endpoint == reported.prefill_endpoint
    )
