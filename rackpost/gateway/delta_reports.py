"""Sends load reports that hold what has changed.

`decide/load_sync.py` decides what is due; this builds the messages and counts
them.
"""

import asyncio
import contextlib
import enum
from typing import Callable
from typing import Collection

from rackpost.coordinator import messages
from rackpost.decide import features
from rackpost.decide import load_deltas
from rackpost.decide import load_sync
from rackpost.gateway import site as site_mod
from rackpost.link import codec
from rackpost import logs
from rackpost.platform import settings
from rackpost.routing import digests
from rackpost import types

_BYTES_PER_MEGABIT = 125_000.0
# At most one line about deferred reports in this time, in seconds.
_LOG_INTERVAL_S = 5.0
# In how many reports a refused request is told.
_TOLD_TIMES = 2


class ReportKind(enum.Enum):
    """Kinds of load reports in metrics."""

    COMPLETE = "complete"
    CHANGES = "changes"
    # No report: changes exceed the share of the link and wait.
    DEFERRED = "deferred"


# Sends a report to gateways, in this order.
Send = Callable[[bytes, Collection[types.VmId], ReportKind], None]


def is_used(site: site_mod.Site) -> bool:
    """Whether this gateway sends reports of changes."""
    return site.host.limits.link_mbps > 0.0 and site.uses(
        features.Feature.LOAD_DELTAS
    )


def report_bytes_per_s(limits: settings.VmLimits) -> float:
    """Return what load reports may use of a VM's link, in bytes a second."""
    return load_sync.LINK_SHARE * limits.link_mbps * _BYTES_PER_MEGABIT


class DeltaReports:
    """Sends complete reports each second, and changes in between."""

    def __init__(
        self,
        *,
        site: site_mod.Site,
        incarnation: int,
        next_sequence: Callable[[], int],
        complete_report: Callable[[float], messages.GatewayLoad],
        send: Send,
    ) -> None:
        self._site = site
        self._incarnation = incarnation
        self._next_sequence = next_sequence
        self._complete_report = complete_report
        self._send = send
        self._sync = load_sync.LoadSync(
            link_bytes_per_s=site.host.limits.link_mbps * _BYTES_PER_MEGABIT,
            now=site.loop_time(),
        )
        self._told_refusals: dict[int, int] = {}
        self._told_backoffs: frozenset[types.EndpointId] = frozenset()
        # Deferrals since the last log line.
        self._deferred = 0
        self._logged_at = -_LOG_INTERVAL_S

    def require_complete(self, vm: types.VmId) -> None:
        """Send a gateway a complete report next: it has just started."""
        self._sync.require_complete(vm)

    async def wait_and_send(self, recipients: Collection[types.VmId]) -> None:
        """Wait until a report is due or the load changes; send what is due."""
        changed = self._site.loads_changed
        self._sync.set_recipients(recipients)
        self._set_generating()
        due = self._sync.next_at(self._site.loop_time())
        # Gateways may come and go meanwhile.
        due = min(due, self._site.loop_time() + 1.0)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(due):
                await changed.wait()
        now = self._site.loop_time()
        if changed.is_set():
            changed.clear()
            self._sync.record_changes(self._site.loads.changes.take(), now)
        self._send_due(now)

    def _set_generating(self) -> None:
        own = self._site.loads.own
        self._sync.set_generating(
            [key for key in own if own[key].runs],
            contends=any(True for _ in self._site.orders.services()),
        )

    def _send_due(self, now: float) -> None:
        loads = self._site.loads
        waiting = [
            vm for vm in self._site.gateways if loads.has_waiting(vm, now)
        ]
        self._set_generating()
        plan = self._sync.next_reports(now, first=waiting)
        if plan.changes:
            delta = self._delta(plan.endpoints, now)
            self._send_report(delta, plan.changes, now)
        if plan.complete:
            report = self._complete_report(now)
            self._send_report(report, plan.complete, now)
        for urgency, waited_s in plan.waited_s.items():
            self._site.metrics.time(
                "load_change_wait", urgency.name.lower(), waited_s
            )
        self._note_deferred(now)

    def _send_report(
        self,
        report: messages.GatewayLoad | messages.LoadDelta,
        recipients: Collection[types.VmId],
        now: float,
    ) -> None:
        is_complete = isinstance(report, messages.GatewayLoad)
        kind = ReportKind.COMPLETE if is_complete else ReportKind.CHANGES
        data = codec.encode(report)
        self._send(data, recipients, kind)
        self._sync.record_sent(
            len(data), len(recipients), now, is_complete=is_complete
        )

    def _note_deferred(self, now: float) -> None:
        count = self._sync.take_deferred()
        self._deferred += count
        if count:
            self._site.metrics.count(
                "load_reports", ReportKind.DEFERRED, by=count
            )
        if not self._deferred or now < self._logged_at + _LOG_INTERVAL_S:
            return
        self._logged_at = now
        logs.say(
            logs.Part.GATEWAY,
            "Load reports are deferred: the link's share is used up.",
            times=self._deferred,
            share=load_sync.LINK_SHARE,
            link_mbps=self._site.host.limits.link_mbps,
            gateways=self._site.gateway_count,
        )
        self._deferred = 0

    def _delta(
        self, endpoints: Collection[types.EndpointId], now: float
    ) -> messages.LoadDelta:
        site = self._site
        queue = site.admission_queue
        return messages.LoadDelta(
            incarnation=self._incarnation,
            sequence=self._next_sequence(),
            loads=load_deltas.pack_loads(site.loads.own, endpoints),
            failed=digests.pack(site.health.failed_endpoints(now)),
            rejecting=digests.pack(site.health.full_endpoints(now)),
            waiting=load_deltas.pack_waiting(queue.most_urgent_waiters(now)),
            refused_keys=self._new_refusals(now),
            quotas=site.quotas.changed_report(now),
            backoffs=self._changed_backoffs(now),
            named_rates=site.eligibility.rates.next_updates(now),
            contention=queue.contention_reports(now),
            claims=queue.claims(now),
        )

    def _new_refusals(self, now: float) -> tuple[int, ...]:
        """Return the recent refusals that were not told often enough."""
        times = self._told_refusals
        recent = self._site.refusals.recent(now)
        found = [key for key in recent if times.get(key, 0) < _TOLD_TIMES]
        self._told_refusals = {key: times.get(key, 0) for key in recent}
        for key in found:
            self._told_refusals[key] += 1
        return tuple(found)

    def _changed_backoffs(self, now: float) -> dict[types.EndpointId, float]:
        found = self._site.eligibility.remaining_backoffs(now)
        if self._told_backoffs == found.keys():
            return {}
        self._told_backoffs = frozenset(found)
        return found
