"""Decide which load reports a gateway sends next, and to whom.

Changes are reported to all others in one small report, soon if they are
urgent.  Each other gateway gets a complete report at least once a second;
these are spread over the time.  All reports together use at most a share of
the VM's link, so that requests and answers are not delayed behind them.

Pure: clock readings are arguments, in seconds.
"""

import math
from typing import Collection
from typing import Mapping

import msgspec

from rackpost.decide import load_changes
from rackpost import types

Urgency = load_changes.Urgency

# Share of the link that reports may use, each half second.  The same number
# arrives, and both directions carry prompts and events of streams.
LINK_SHARE = 0.15
_BUDGET_PERIOD_S = 0.5
# Each other gateway gets a complete report at this interval.  Gateways count
# as unreachable after 1.3 s.
_COMPLETE_INTERVAL_S = 1.0
# Complete reports are sent to one part of the other gateways at a time.
_SLOTS = 8
_SLOT_S = _COMPLETE_INTERVAL_S / _SLOTS
# IP and UDP headers of a datagram.
HEADER_BYTES = 28
# How long changes wait for others that go into the same report.  A gateway
# that reserves sees reservations of others later by this; requests wait
# longer for a release.  Both are short against the pause of 0.3 s that
# callers accept.
_DELAY_S = {
    Urgency.RESERVATION: 0.006,
    Urgency.RELEASE: 0.02,
    Urgency.PLAIN: 0.05,
}
# Number of reports in which a change is told, so that one may be lost.
_TOLD_TIMES = 2
# Generations get further without a change of load.  A report of changes also
# holds the load of endpoints that was told longer ago, and without changes
# one is sent after the second of these times.
_TELL_AGAIN_S = 0.2
_REFRESH_S = 0.5
# Size of a report of changes before one has been sent.
_USUAL_BYTES = 100


class LinkBudget:
    """Bytes that may be sent, refilled at a steady rate.

    Urgent reports may overdraw it by its size; what they use is missing for
    others.
    """

    def __init__(self, *, bytes_per_s: float, now: float) -> None:
        self._rate = bytes_per_s
        self._size = bytes_per_s * _BUDGET_PERIOD_S
        self._level = self._size
        self._at = now

    def _refill(self, now: float) -> None:
        added = self._rate * max(0.0, now - self._at)
        self._level = min(self._size, self._level + added)
        self._at = now

    def spend(self, size: int, now: float) -> None:
        """Take `size` bytes."""
        self._refill(now)
        self._level = max(-self._size, self._level - size)

    def wait_s(self, size: int, now: float, *, is_urgent: bool) -> float:
        """Return after how long `size` bytes may be sent."""
        self._refill(now)
        needed = min(size, self._size)
        if is_urgent:
            needed -= self._size
        return max(0.0, (needed - self._level) / self._rate)


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """The reports to send now.

    Attributes:
        complete: the gateways that get a complete report.
        changes: the gateways that get a report of changes, in this order.
        endpoints: the endpoints whose load it holds.
        waited_s: by urgency, how long the oldest change has waited.
    """

    complete: tuple[types.VmId, ...] = ()
    changes: tuple[types.VmId, ...] = ()
    endpoints: tuple[types.EndpointId, ...] = ()
    waited_s: dict[Urgency, float] = {}


class LoadSync:
    """What the other gateways were told, and what is to be told next."""

    def __init__(self, *, link_bytes_per_s: float, now: float) -> None:
        self._budget = LinkBudget(
            bytes_per_s=link_bytes_per_s * LINK_SHARE, now=now
        )
        self._slot = 0
        self._slot_at = now
        # The other gateways and the slots of their complete reports.
        self._slots: dict[types.VmId, int] = {}
        self._told: set[types.VmId] = set()
        # When the first change of each urgency came, if it was not told yet.
        self._since: dict[Urgency, float] = {}
        # How often the present load of endpoints was told; 0 is a new change.
        self._times_told: dict[types.EndpointId, int] = {}
        self._told_at: dict[types.EndpointId, float] = {}
        # The endpoints with generations, and the last report of changes.
        self._generating: tuple[types.EndpointId, ...] = ()
        self._refreshes = False
        self._reported_at = now
        self._last_bytes = _USUAL_BYTES
        # Number of the report, for the order of sending.
        self._turn = 0
        self._is_deferred = False
        self._deferred = 0

    def set_recipients(self, found: Collection[types.VmId]) -> None:
        """Set the gateways that get reports."""
        if self._slots.keys() == set(found):
            return
        for vm in self._slots.keys() - set(found):
            del self._slots[vm]
            self._told.discard(vm)
        used = list(self._slots.values())
        for vm in sorted(set(found) - self._slots.keys()):
            slot = min(range(_SLOTS), key=used.count)
            used.append(slot)
            self._slots[vm] = slot

    def set_generating(
        self, found: Collection[types.EndpointId], *, contends: bool = False
    ) -> None:
        """Set the endpoints where generations of this gateway run.

        `contends` says that services have a contention order, of which parts
        are told again from time to time.
        """
        self._generating = tuple(found)
        self._refreshes = contends or bool(found)

    def require_complete(self, vm: types.VmId) -> None:
        """Send a gateway a complete report next: it has just started."""
        self._told.discard(vm)

    def record_changes(
        self, changed: Mapping[types.EndpointId, Urgency], now: float
    ) -> None:
        """Record endpoints whose load has changed.

        Without any, something else has changed, such as the requests that
        wait.
        """
        for endpoint in changed:
            self._times_told[endpoint] = 0
        for urgency in set(changed.values()) or {Urgency.RELEASE}:
            if urgency in _DELAY_S:
                self._since.setdefault(urgency, now)

    def next_at(self, now: float) -> float:
        """Return when to call `next_reports`."""
        if not self._slots:
            return math.inf
        found = self._slot_at + _SLOT_S
        if self._told != self._slots.keys():
            found = min(found, now + _DELAY_S[Urgency.RESERVATION])
        return min(found, self._changes_at(now))

    def _changes_at(self, now: float) -> float:
        """Return when a report of changes is due, within the budget."""
        due = {
            urgency: since + _DELAY_S[urgency]
            for urgency, since in self._since.items()
        }
        if self._refreshes:
            due.setdefault(Urgency.NONE, self._reported_at + _REFRESH_S)
        allowed = min(
            (
                max(at, now + self._wait_s(urgency, now))
                for urgency, at in due.items()
            ),
            default=math.inf,
        )
        if not self._is_deferred and min(due.values(), default=now) < now:
            self._is_deferred = allowed > now
            self._deferred += self._is_deferred
        return allowed

    def _wait_s(self, urgency: Urgency, now: float) -> float:
        return self._budget.wait_s(
            self._estimated_bytes(),
            now,
            is_urgent=urgency is Urgency.RESERVATION,
        )

    def _estimated_bytes(self) -> int:
        return (self._last_bytes + HEADER_BYTES) * len(self._told)

    def next_reports(
        self,
        now: float,
        first: Collection[types.VmId] = (),
    ) -> Plan:
        """Return what is due; it counts as told.

        `first` are the gateways that get changes before the others.
        """
        complete = self._due_complete(now)
        plan = Plan(complete=tuple(complete))
        told = self._told - complete
        if self._changes_at(now) <= now:
            self._reported_at = now
            plan = Plan(
                complete=plan.complete,
                changes=self._ordered(told, first),
                endpoints=self._endpoints_to_tell(now),
                waited_s={
                    urgency: now - at for urgency, at in self._since.items()
                },
            )
            self._record_told()
        self._told |= complete
        return plan

    def _endpoints_to_tell(self, now: float) -> tuple[types.EndpointId, ...]:
        """Return the endpoints whose load has changed or was told long ago."""
        before = now - _TELL_AGAIN_S
        found = dict.fromkeys(self._times_told)
        for endpoint in self._generating:
            if self._told_at.get(endpoint, -math.inf) <= before:
                found[endpoint] = None
        self._told_at = {
            key: at for key, at in self._told_at.items() if at > before
        }
        self._told_at.update(dict.fromkeys(found, now))
        return tuple(found)

    def _due_complete(self, now: float) -> set[types.VmId]:
        """Return who gets a complete report, and move on to the next slot."""
        found = self._slots.keys() - self._told
        passed = 0
        while now >= self._slot_at + _SLOT_S and passed < _SLOTS:
            passed += 1
            self._slot_at += _SLOT_S
            self._slot = (self._slot + 1) % _SLOTS
            found |= {
                k for k, slot in self._slots.items() if slot == self._slot
            }
        if passed == _SLOTS:
            # The process was suspended.
            self._slot_at = now
        return found

    def _ordered(
        self, found: Collection[types.VmId], first: Collection[types.VmId]
    ) -> tuple[types.VmId, ...]:
        """Return the order of sending: the last ones wait for the link.

        It begins with `first`; each time another gateway is the last.
        """
        names = sorted(found)
        if names:
            self._turn = (self._turn + 1) % len(names)
            names = names[self._turn :] + names[: self._turn]
        return tuple(sorted(names, key=lambda vm: vm not in first))

    def _record_told(self) -> None:
        self._since.clear()
        self._is_deferred = False
        for endpoint, times in list(self._times_told.items()):
            if times + 1 >= _TOLD_TIMES:
                del self._times_told[endpoint]
            else:
                self._times_told[endpoint] = times + 1

    def record_sent(
        self, size: int, recipients: int, now: float, *, is_complete: bool
    ) -> None:
        """Record the size of a report and the number of its datagrams."""
        self._budget.spend((size + HEADER_BYTES) * recipients, now)
        if not is_complete:
            self._last_bytes = size

    def take_deferred(self) -> int:
        """Return how often changes were deferred since the last call.

        They are deferred where they would exceed the share of the link.
        """
        found = self._deferred
        self._deferred = 0
        return found
