"""Sum up the load of each endpoint over all gateways.

Each gateway counts the requests that it has in flight and reports the counts
to the others.  A report that is not refreshed expires, since its gateway may
be gone.
"""

import contextlib
from typing import Callable
from typing import Iterable
from typing import Iterator

import msgspec

from rackpost.decide import fleet_size
from rackpost.decide import kv_forecast
from rackpost.decide import load_changes
from rackpost.decide import queue_order
from rackpost.decide.waiting import backfill
from rackpost import types

# Gateways report at least each second; up to three reports may be lost.
KEEP_S = 3.5
# Waiting requests of a gateway count only this long after its last report:
# if the gateway is gone, capacity left for them would stay unused.
_WAITING_LIFETIME_S = 1.3


class EndpointLoad(msgspec.Struct, array_like=True, kw_only=True):
    """Load of one endpoint.

    Attributes:
        requests: requests that run or wait there.
        prompt_tokens: tokens of prompts that are still to be prefilled.
        runs: the generations that use its KV memory.
    """

    requests: int = 0
    prompt_tokens: int = 0
    runs: list[kv_forecast.Run] = []


class _GatewayReport:
    """The latest report of another gateway."""

    def __init__(self) -> None:
        self.incarnation = 0
        self.sequence = -1
        self.received_at = 0.0
        self.loads: dict[types.EndpointId, EndpointLoad] = {}
        self.waiting: tuple[queue_order.WaitingSummary, ...] = ()
        self.claims: tuple[backfill.Claim, ...] = ()


class LoadTable:
    """This gateway's and the other gateways' load of the endpoints."""

    def __init__(self, *, on_change: Callable[[], None]) -> None:
        """Create an empty table.

        `on_change` is called when a change should be reported at once.
        """
        self.own: dict[types.EndpointId, EndpointLoad] = {}
        self._on_change = on_change
        # Of the own loads; whoever reports changes takes them.
        self.changes = load_changes.LoadChanges()
        self._reports: dict[types.VmId, _GatewayReport] = {}
        # The gateways by their incarnation.
        self._senders: dict[int, types.VmId] = {}
        # The reported loads by endpoint, for fast summation.
        self._by_endpoint: dict[
            types.EndpointId, dict[types.VmId, EndpointLoad]
        ] = {}
        self._prefilled_at: dict[types.EndpointId, float] = {}

    @contextlib.contextmanager
    def request_added(
        self,
        endpoint: types.EndpointId,
        *,
        prompt: int = 0,
        run: kv_forecast.Run | None = None,
    ) -> Iterator[None]:
        """Count one request at an endpoint while the block runs."""
        release = self.add_request(endpoint, prompt=prompt, run=run)
        try:
            yield
        finally:
            release()

    def add_request(
        self,
        endpoint: types.EndpointId,
        *,
        prompt: int = 0,
        run: kv_forecast.Run | None = None,
    ) -> Callable[[], None]:
        """Count one request at an endpoint until the result is called.

        `prompt` is the number of tokens to prefill there.
        """
        load = self.own.setdefault(endpoint, EndpointLoad())
        load.requests += 1
        load.prompt_tokens += prompt
        if run is not None:
            load.runs.append(run)
        is_generation = run is not None or prompt > 0
        self._report_change(
            endpoint,
            (
                load_changes.Urgency.RESERVATION
                if is_generation
                else load_changes.Urgency.PLAIN
            ),
        )

        def release() -> None:
            load.requests -= 1
            load.prompt_tokens -= prompt
            if run is not None:
                _remove(load.runs, run)
            if load.requests == 0:
                self.own.pop(endpoint, None)
            self._report_change(
                endpoint,
                (
                    load_changes.Urgency.RELEASE
                    if is_generation
                    else load_changes.Urgency.PLAIN
                ),
            )

        return release

    def _report_change(
        self, endpoint: types.EndpointId, urgency: load_changes.Urgency
    ) -> None:
        if (
            urgency is load_changes.Urgency.PLAIN
            and self.gateway_count
            > fleet_size.MAX_GATEWAYS_FOR_INSTANT_REPORTS
        ):
            self.changes.record(endpoint, load_changes.Urgency.NONE)
        else:
            self.changes.record(endpoint, urgency)
            self._on_change()

    def receive(
        self,
        sender: types.VmId,
        incarnation: int,
        sequence: int,
        loads: dict[types.EndpointId, EndpointLoad],
        now: float,
        waiting: tuple[queue_order.WaitingSummary, ...] = (),
        claims: tuple[backfill.Claim, ...] = (),
    ) -> None:
        """Take in another gateway's report, unless a newer one has arrived.

        `sequence` starts again with each incarnation of the gateway;
        `waiting` are its most urgent waiting generations, and `claims` the
        endpoints that it claims for large ones.
        """
        report = self._reports.setdefault(sender, _GatewayReport())
        if incarnation == report.incarnation and sequence <= report.sequence:
            return
        self._senders.pop(report.incarnation, None)
        self._senders[incarnation] = sender
        report.incarnation = incarnation
        report.sequence = sequence
        report.received_at = now
        self._record_finished_prefills(report, loads, now)
        self._unindex(sender, report.loads)
        report.loads = loads
        for endpoint, load in loads.items():
            self._by_endpoint.setdefault(endpoint, {})[sender] = load
        report.waiting = waiting
        report.claims = claims

    def receive_changes(
        self,
        incarnation: int,
        sequence: int,
        changed: dict[types.EndpointId, EndpointLoad],
        now: float,
        waiting: tuple[queue_order.WaitingSummary, ...] = (),
        claims: tuple[backfill.Claim, ...] = (),
    ) -> types.VmId | None:
        """Take in a report of the endpoints whose load has changed.

        Return its sender.  Return None and ignore the report if a newer one
        has arrived, or no complete one of this incarnation.
        """
        sender = self._senders.get(incarnation)
        if sender is None:
            return None
        report = self._reports[sender]
        if sequence <= report.sequence:
            return None
        report.sequence = sequence
        report.received_at = now
        report.waiting = waiting
        report.claims = claims
        # The sender's other endpoints are unchanged.
        self._record_finished_prefills(report, report.loads | changed, now)
        report.loads = dict(report.loads)
        for endpoint, load in changed.items():
            if load.requests:
                report.loads[endpoint] = load
                self._by_endpoint.setdefault(endpoint, {})[sender] = load
            elif report.loads.pop(endpoint, None) is not None:
                self._unindex(sender, (endpoint,))
        return sender

    def _record_finished_prefills(
        self,
        report: _GatewayReport,
        loads: dict[types.EndpointId, EndpointLoad],
        now: float,
    ) -> None:
        """Record where a gateway has no prompt left to prefill."""
        for endpoint, load in report.loads.items():
            if (
                load.prompt_tokens
                and not loads.get(endpoint, EndpointLoad()).prompt_tokens
            ):
                self.record_prefilled(endpoint, now)

    def record_prefilled(self, endpoint: types.EndpointId, now: float) -> None:
        """Record that an endpoint has finished a prefill."""
        self._prefilled_at[endpoint] = now

    def prefilled_within(
        self, endpoint: types.EndpointId, interval_s: float, now: float
    ) -> bool:
        """Whether the last prefill finished less than `interval_s` ago."""
        return now < self._prefilled_at.get(endpoint, -interval_s) + interval_s

    def received_since(self, sender: types.VmId, since: float) -> bool:
        """Whether a gateway has reported after a clock reading."""
        report = self._reports.get(sender)
        return report is not None and report.received_at > since

    def forget(self, sender: types.VmId) -> None:
        """Drop the report of a gateway that is gone."""
        report = self._reports.pop(sender, None)
        if report is not None:
            self._senders.pop(report.incarnation, None)
            self._unindex(sender, report.loads)

    def _unindex(
        self, sender: types.VmId, gone: Iterable[types.EndpointId]
    ) -> None:
        for endpoint in gone:
            found = self._by_endpoint.get(endpoint, {})
            found.pop(sender, None)
            if not found:
                self._by_endpoint.pop(endpoint, None)

    def expire(self, now: float) -> None:
        """Drop reports that have not been refreshed."""
        for endpoint, at in list(self._prefilled_at.items()):
            if now - at > KEEP_S:
                del self._prefilled_at[endpoint]
        for sender, report in list(self._reports.items()):
            if now - report.received_at > KEEP_S:
                self.forget(sender)

    @property
    def gateway_count(self) -> int:
        """The number of gateways that report, this one included."""
        return len(self._reports) + 1

    @property
    def own_requests(self) -> int:
        """The requests that this gateway has in flight."""
        return sum(load.requests for load in self.own.values())

    def requests_elsewhere(self) -> list[int]:
        """Return the requests in flight of each other gateway."""
        return [
            sum(load.requests for load in report.loads.values())
            for report in self._reports.values()
        ]

    def oldest_age_s(self, now: float) -> float:
        """Return the age of the oldest report, in seconds."""
        ages = (now - report.received_at for report in self._reports.values())
        return max(ages, default=0.0)

    def waiting_ahead(
        self, own: queue_order.WaitingSummary, me: types.VmId, now: float
    ) -> int:
        """Return how many generations at other gateways are ahead of `own`."""
        own_rank = own.rank(0.0)
        count = 0
        for sender, report in self._reports.items():
            age_s = now - report.received_at
            if age_s > _WAITING_LIFETIME_S:
                continue
            for other in report.waiting:
                rank = other.rank(age_s)
                if queue_order.is_ahead(rank, sender, own_rank, me):
                    count += 1
        return count

    def has_waiting(self, sender: types.VmId, now: float) -> bool:
        """Whether generations wait for capacity at another gateway."""
        report = self._reports.get(sender)
        return (
            report is not None
            and bool(report.waiting)
            and now - report.received_at <= _WAITING_LIFETIME_S
        )

    def claims(
        self, now: float
    ) -> Iterator[tuple[types.VmId, float, backfill.Claim]]:
        """Yield the other gateways' claims: gateway, age in seconds, claim."""
        for sender, report in self._reports.items():
            age_s = now - report.received_at
            if age_s <= _WAITING_LIFETIME_S:
                for claim in report.claims:
                    yield sender, age_s, claim

    def total(self, endpoint: types.EndpointId) -> EndpointLoad:
        """Return the load of an endpoint from all gateways."""
        own = self.own.get(endpoint, EndpointLoad())
        total = EndpointLoad(
            requests=own.requests,
            prompt_tokens=own.prompt_tokens,
            runs=list(own.runs),
        )
        for load in self._by_endpoint.get(endpoint, {}).values():
            total.requests += load.requests
            total.prompt_tokens += load.prompt_tokens
            total.runs += load.runs
        return total


def _remove(runs: list[kv_forecast.Run], run: kv_forecast.Run) -> None:
    # By identity: equal runs belong to different requests.
    for index, item in enumerate(runs):
        if item is run:
            del runs[index]
            return
