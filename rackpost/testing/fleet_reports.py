"""Load reports of a simulated fleet, over links with a rate.

The production `LoadExchange` sends and receives them.
"""

import asyncio
import collections
import contextlib
import random
from typing import Any
from typing import AsyncIterator
from typing import Callable
from typing import cast
from typing import Iterable
from typing import Protocol

from rackpost.coordinator import messages
from rackpost.decide import eligibility
from rackpost.decide import endpoint_health
from rackpost.decide import endpoint_load
from rackpost.decide import features
from rackpost.decide import load_changes
from rackpost.decide import load_sync
from rackpost.decide.pace import endpoint_pace
from rackpost.decide import quota
from rackpost.decide import quota_buckets
from rackpost.decide import recent_refusals
from rackpost.decide.waiting import orders as orders_mod
from rackpost.gateway import admission_queue as admission_queue_mod
from rackpost.gateway import load_exchange
from rackpost.gateway import policy as policy_mod
from rackpost.gateway import site as site_mod
from rackpost import metrics as metrics_mod
from rackpost.platform import settings
from rackpost.routing import endpoints
from rackpost.routing import model
from rackpost import types

_BYTES_PER_MEGABIT = 125_000.0
_LATENCY_S = 0.0005
# Bytes are counted in periods of this length, in seconds.
_PERIOD_S = 0.5
# Organisations whose spending is in the reports, and units of a reservation.
_ORGANISATIONS = [
    types.OrganisationName(f"organisation-{number}") for number in range(20)
]
_SPENT_TOKENS = 10_000
QUOTA = model.Quota(rate_per_s=50_000.0, burst=100_000.0, by_tokens=True)


class Gateway(Protocol):
    """What reports need of a simulated gateway."""

    vm: types.VmId
    loads: endpoint_load.LoadTable
    load_changed: asyncio.Event
    capacity_changed: asyncio.Event
    health: endpoint_health.HealthTracker
    table: endpoints.EndpointTable
    orders: orders_mod.Orders
    pace: endpoint_pace.EndpointPace
    admission_queue: admission_queue_mod.AdmissionQueue


class Outcome(Protocol):
    """Where the cost of reports is recorded."""

    messages: int
    peak_link_bytes: float
    report_bytes: int
    report_age_p50_s: float
    report_age_p99_s: float


class _TimedChanges(load_changes.LoadChanges):
    """Records when capacity was reserved, and what was spent for it."""

    def __init__(self, *, on_reservation: Callable[[], None]) -> None:
        super().__init__()
        self._on_reservation = on_reservation

    def record(
        self, endpoint: types.EndpointId, urgency: load_changes.Urgency
    ) -> None:
        super().record(endpoint, urgency)
        if urgency is load_changes.Urgency.RESERVATION:
            self._on_reservation()


class _Everyone:
    """A group with all gateways."""

    def contains(self, name: str) -> bool:
        return True


class ReportSite:
    """The part of a gateway's site that load reports use."""

    def __init__(
        self, *, gateway: Gateway, link_mbps: float, has_deltas: bool
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._has_deltas = has_deltas
        self.host = settings.HostSettings(
            vm=gateway.vm,
            ip=gateway.vm,
            data_centre=types.DataCentre("here"),
            limits=settings.VmLimits(link_mbps=link_mbps),
        )
        self.policy = policy_mod.Policy()
        self.metrics = metrics_mod.Metrics()
        self.loads = gateway.loads
        self.loads_changed = gateway.load_changed
        self.capacity_changed = gateway.capacity_changed
        self.health = gateway.health
        self.table = gateway.table
        self.orders = gateway.orders
        self.measured_pace = gateway.pace
        self.admission_queue = gateway.admission_queue
        self.group = _Everyone()
        self.eligibility = eligibility.Eligibility(
            table=gateway.table, rng=random.Random(1)
        )
        self.refusals = recent_refusals.RefusalTable()
        self.quotas = quota_buckets.SharedBuckets(
            settings=quota.QuotaSettings(),
            started_at=self._loop.time(),
            limit_of=lambda name: QUOTA,
        )
        self.rate_grants = _Unused()
        self.origins = _Unused()
        self.gateways: dict[types.VmId, messages.GatewayAddress] = {}

    @property
    def gateway_count(self) -> int:
        return max(1, len(self.gateways))

    def loop_time(self) -> float:
        return self._loop.time()

    def add_gateway(self, item: messages.GatewayAddress) -> None:
        if item.vm not in self.gateways:
            self.gateways[item.vm] = item
            self.loads_changed.set()

    def uses(self, feature: features.Feature) -> bool:
        return self._has_deltas and feature is features.Feature.LOAD_DELTAS


class _Unused:
    """Another user of the socket, which sends nothing in the simulation."""

    send: Callable[..., None]


class _Transport:
    """The socket of one gateway."""

    def __init__(self, *, sendto: Callable[[bytes, types.VmId], None]) -> None:
        self._sendto = sendto

    def sendto(self, data: bytes, addr: tuple[str, int]) -> None:
        self._sendto(data, types.VmId(addr[0]))

    def close(self) -> None:
        pass


class _Link:
    """One direction of a VM's link; a datagram waits for earlier ones."""

    def __init__(self, *, bytes_per_s: float) -> None:
        self._rate = bytes_per_s
        self._free_at = 0.0
        self.periods: collections.Counter[int] = collections.Counter()

    def pass_at(self, size: int, at: float) -> float:
        """Return when a datagram that comes at `at` has passed."""
        self._free_at = max(self._free_at, at) + size / self._rate
        self.periods[int(at / _PERIOD_S)] += size
        return self._free_at

    @property
    def peak_per_s(self) -> float:
        """Bytes a second in the busiest period."""
        return max(self.periods.values(), default=0) / _PERIOD_S


# Returns the delay of a datagram besides that of the links; None if lost.
DelayOf = Callable[[bytes, types.VmId, types.VmId], float | None]


def _no_delay(
    data: bytes, sender: types.VmId, receiver: types.VmId
) -> float | None:
    return 0.0


class FleetReports:
    """The exchanges of load reports of all gateways, and their links."""

    def __init__(
        self,
        *,
        listed: Iterable[types.VmId],
        link_mbps: float,
        has_deltas: bool,
        delay_of: DelayOf = _no_delay,
    ) -> None:
        """`listed` are the gateways that all know from coordinators."""
        self._loop = asyncio.get_running_loop()
        self._listed = list(listed)
        self._link_mbps = link_mbps
        self._has_deltas = has_deltas
        self._delay_of = delay_of
        self._out: dict[types.VmId, _Link]
        self._out = collections.defaultdict(self._new_link)
        self._in: dict[types.VmId, _Link]
        self._in = collections.defaultdict(self._new_link)
        self.sites: dict[types.VmId, ReportSite] = {}
        self._exchanges: dict[types.VmId, load_exchange.LoadExchange] = {}
        self.datagrams = 0
        # When each gateway reserved capacity, and how many of these changes
        # each other gateway knows.
        self._reserved_at: dict[types.VmId, list[float]]
        self._reserved_at = collections.defaultdict(list)
        self._known: collections.Counter[tuple[types.VmId, types.VmId]]
        self._known = collections.Counter()
        self.ages_s: list[float] = []

    def _new_link(self) -> _Link:
        return _Link(bytes_per_s=self._link_mbps * _BYTES_PER_MEGABIT)

    @contextlib.asynccontextmanager
    async def connected(self, gateway: Gateway) -> AsyncIterator[ReportSite]:
        """Let a gateway exchange reports until the block ends."""
        vm = gateway.vm
        site = ReportSite(
            gateway=gateway,
            link_mbps=self._link_mbps,
            has_deltas=self._has_deltas,
        )
        for other in (*self._listed, vm):
            site.add_gateway(
                messages.GatewayAddress(vm=other, load_address=f"{other}:1")
            )
        exchange = load_exchange.LoadExchange(site=cast(site_mod.Site, site))
        transport = _Transport(
            sendto=lambda data, receiver: self._send(data, vm, receiver)
        )
        gateway.loads.changes = _TimedChanges(
            on_reservation=lambda: self._record_reservation(vm)
        )
        self.sites[vm] = site
        self._exchanges[vm] = exchange
        try:
            async with exchange.running_on(cast(Any, transport)):
                yield site
        finally:
            del self._exchanges[vm]

    def _record_reservation(self, vm: types.VmId) -> None:
        now = self._loop.time()
        self._reserved_at[vm].append(now)
        # Each reservation is paid for by one of the organisations.
        name = _ORGANISATIONS[self.datagrams % len(_ORGANISATIONS)]
        quotas = self.sites[vm].quotas
        quotas.admit(name, _SPENT_TOKENS, now)
        quotas.record_sent(name, _SPENT_TOKENS, now)

    async def run(self, gateways: Iterable[Gateway]) -> None:
        """Let gateways exchange reports until cancelled."""
        async with contextlib.AsyncExitStack() as stack:
            for item in gateways:
                await stack.enter_async_context(self.connected(item))
            await asyncio.Event().wait()

    def _send(
        self, data: bytes, sender: types.VmId, receiver: types.VmId
    ) -> None:
        self.datagrams += 1
        size = len(data) + load_sync.HEADER_BYTES
        left_at = self._out[sender].pass_at(size, self._loop.time())
        delay_s = self._delay_of(data, sender, receiver)
        if delay_s is None:
            return
        at = self._in[receiver].pass_at(size, left_at + _LATENCY_S)
        count = len(self._reserved_at[sender])
        self._loop.call_at(
            at + delay_s, self._deliver, data, sender, receiver, count
        )

    def _deliver(
        self, data: bytes, sender: types.VmId, receiver: types.VmId, count: int
    ) -> None:
        exchange = self._exchanges.get(receiver)
        if exchange is None:
            return
        exchange.datagram_received(data, (sender, 1))
        known = self._known[(sender, receiver)]
        for at in self._reserved_at[sender][known:count]:
            self.ages_s.append(self._loop.time() - at)
        self._known[(sender, receiver)] = max(known, count)

    def sum_up(self, outcome: Outcome) -> None:
        """Add the cost and the age of the reports to an outcome."""
        outcome.messages = self.datagrams
        outcome.peak_link_bytes = self.peak_per_s
        outcome.report_bytes = self.bytes_sent
        outcome.report_age_p50_s = self.age_s(0.5)
        outcome.report_age_p99_s = self.age_s(0.99)

    def age_s(self, share: float) -> float:
        """Return a quantile of the age at which reservations got known."""
        found = sorted(self.ages_s)
        return found[min(len(found) - 1, int(share * len(found)))]

    @property
    def peak_per_s(self) -> float:
        """Bytes a second on the busiest link in its busiest half second."""
        links = [*self._out.values(), *self._in.values()]
        return max(link.peak_per_s for link in links)

    @property
    def bytes_sent(self) -> int:
        """Bytes of all datagrams with their headers."""
        return sum(sum(link.periods.values()) for link in self._out.values())
