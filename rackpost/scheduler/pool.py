"""The scheduler of one model service: one queue for all gateways.

It decides with the same code as a gateway does for itself, an
`AdmissionQueue`, on what the gateways report.  It grants only while the lease
table is ready, and only to gateways that have reported what they hold;
requests that wait longer for that are declined.
"""

import asyncio
import contextlib
import enum
import random
from typing import Callable

import msgspec

from rackpost.decide import candidates
from rackpost.decide import eligibility
from rackpost.decide import endpoint_choice
from rackpost.decide import endpoint_health
from rackpost.decide import endpoint_load
from rackpost.decide.waiting import leases as leases_mod
from rackpost.decide.waiting import orders as orders_mod
from rackpost.gateway import admission_queue
from rackpost.gateway import reservation as reservation_mod
from rackpost import logs
from rackpost import metrics as metrics_mod
from rackpost.routing import endpoints
from rackpost.scheduler import convert
from rackpost.scheduler import messages
from rackpost.scheduler import timing
from rackpost import types

# As long as gateways count each other's reports of load, in seconds.
LEASE_S = endpoint_load.KEEP_S
# How often waiting requests are confirmed; the gateways' time limit for an
# answer covers two of these and the links' delay.
TICK_S = 0.05
# Requests wait this long for the scheduler to be ready, in seconds: a round
# trip to each gateway.
_MAX_UNREADY_S = 0.1
# Requests beyond this number are declined; gateways decide on them.
_MAX_WAITING = 512
# Gateways named in one log line.
_MAX_LOGGED = 5
# Without requests for this long, in seconds, a scheduler stops.
_IDLE_S = 5.0

Send = Callable[[types.VmId, msgspec.Struct], None]


class Event(enum.Enum):
    """What a scheduler counts."""

    GRANTED = "granted"
    REFUSED = "refused"
    DECLINED = "declined"
    RETURNED = "returned or ended"
    LAPSED = "lapsed"


class _GatedEligibility(eligibility.Eligibility):
    """Endpoints may be selected only while the scheduler is ready."""

    is_open = False

    def may_select(self, endpoint: endpoints.Endpoint, now: float) -> bool:
        """Whether the endpoint may be granted now."""
        return self.is_open and super().may_select(endpoint, now)


class PoolScheduler:
    """Grants the capacity of one service to gateways."""

    def __init__(
        self,
        *,
        service: types.ServiceName,
        name: types.VmId,
        table: endpoints.EndpointTable,
        silent_after_s: float,
        send: Send,
        metrics: metrics_mod.Metrics,
        rng: random.Random,
        orders: orders_mod.Orders | None = None,
    ) -> None:
        """`send` sends a message to a gateway, if it is linked.

        `orders` holds the order of the service; by default it is by deadline.

        `table` is the coordinator's; endpoints without a heartbeat for
        `silent_after_s` seconds are used last.
        """
        self._loop = asyncio.get_running_loop()
        self._service = service
        self._send = send
        self._metrics = metrics
        self._table = table
        self.leases = leases_mod.LeaseTable(lease_s=LEASE_S)
        self._eligible = _GatedEligibility(table=table, rng=rng)
        self._health = endpoint_health.HealthTracker()
        self._loads = endpoint_load.LoadTable(on_change=lambda: None)
        self._timing = timing.ReportedTiming()
        self._changing: dict[types.VmId, tuple[types.EndpointId, ...]] = {}
        self._capacity_changed = asyncio.Event()
        self._queue = admission_queue.AdmissionQueue(
            chooser=endpoint_choice.Chooser(
                candidates=candidates.Candidates(
                    table=table,
                    eligible=self._eligible,
                    health=self._health,
                    silent_after_s=silent_after_s,
                ),
                loads=self._loads,
                health=self._health,
                # Gateways of all data centres share one order.
                data_centre=types.DataCentre(""),
                rng=rng,
            ),
            loads=self._loads,
            token_timing=self._timing,
            rng=rng,
            vm=name,
            capacity_changed=self._capacity_changed,
            on_waiters_changed=lambda: None,
            orders=orders,
            metrics=metrics,
        )
        # Set once a linked gateway has reported what it holds.
        self._reported: dict[types.VmId, asyncio.Event] = {}
        self._waiting: dict[leases_mod.LeaseKey, asyncio.Task[None]] = {}
        self._reserved: dict[
            leases_mod.LeaseKey, reservation_mod.DecodeReservation
        ] = {}
        self._last_request_at = self._loop.time()
        self._unready_since: float | None = self._loop.time()
        self._tasks = [
            asyncio.create_task(self._queue.run()),
            asyncio.create_task(self._tick_forever()),
        ]

    @property
    def is_idle(self) -> bool:
        """Whether it has had no request for long."""
        idle_since = self._last_request_at
        return not self._waiting and self._loop.time() > idle_since + _IDLE_S

    # Gateways.

    def link(self, gateway: types.VmId, *, awaited: bool = False) -> None:
        """Ask a linked gateway what it holds.

        With `awaited` the scheduler begins: nothing is granted until then.
        """
        self._drop_waiting(gateway)
        self._reported.pop(gateway, None)
        self.leases.link(gateway, self._loop.time(), awaited=awaited)
        self._send(gateway, messages.HoldingsQuery(service=self._service))
        self._update_readiness()

    def unlink(self, gateway: types.VmId) -> None:
        """Stop to schedule for a gateway; its leases last until they lapse."""
        self._drop_waiting(gateway)
        self.leases.unlink(gateway)
        self._changing.pop(gateway, None)
        self._timing.forget(gateway)
        self._update_readiness()

    def receive(self, gateway: types.VmId, msg: msgspec.Struct) -> None:
        """Handle a gateway's message."""
        if isinstance(msg, messages.CapacityRequest):
            self._on_request(leases_mod.LeaseKey(gateway, msg.ticket), msg)
        elif isinstance(msg, messages.CapacityCancel):
            self._on_cancel(gateway, msg)
        elif isinstance(msg, messages.CapacityPrefilled):
            for key in self.leases.record_prefilled(gateway, msg.tickets):
                self._reserved[key].record_prefilled()
        elif isinstance(msg, messages.CapacityProgress):
            self._on_progress(gateway, msg)
        elif isinstance(msg, messages.SchedulerChoice):
            self.leases.record_use(gateway, msg.use)
        self._update_readiness()

    def _on_request(
        self, key: leases_mod.LeaseKey, msg: messages.CapacityRequest
    ) -> None:
        now = self._loop.time()
        self._last_request_at = now
        is_full = len(self._waiting) >= _MAX_WAITING
        is_unready = self._is_unready_for_long(now)
        if is_full or is_unready or not self._has_endpoints():
            self._decline(key.gateway, (key.ticket,))
            return
        if key in self._waiting or key in self.leases.leases:
            return
        self._waiting[key] = asyncio.create_task(self._serve(key, msg))

    def _has_endpoints(self) -> bool:
        """Whether any decode endpoint of the service is known here."""
        return any(
            item.service == self._service and item.role is types.Role.DECODE
            for item in self._table.alive.values()
        )

    async def _serve(
        self, key: leases_mod.LeaseKey, msg: messages.CapacityRequest
    ) -> None:
        request = convert.reservation_request(msg, self._loop.time())
        try:
            if not await self._knows(key.gateway):
                self._decline(key.gateway, (key.ticket,))
                return
            found = await self._queue.reserve(request)
        finally:
            self._waiting.pop(key, None)
        if isinstance(found, reservation_mod.NoCapacity):
            self._count(Event.REFUSED)
            self._send(
                key.gateway,
                messages.CapacityRefusal(
                    ticket=key.ticket,
                    retry_after_s=found.retry_after_s,
                    expected_wait_s=found.expected_wait_s,
                    reason=found.reason.value,
                    kept=found.kept,
                ),
            )
            return
        self._grant(key, request, found)

    async def _knows(self, gateway: types.VmId) -> bool:
        """Wait until a gateway has reported what it holds.

        Its first report would end a lease that it is granted before.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_MAX_UNREADY_S):
                await self._reported_event(gateway).wait()
        return self.leases.has_reported(gateway)

    def _reported_event(self, gateway: types.VmId) -> asyncio.Event:
        return self._reported.setdefault(gateway, asyncio.Event())

    def _grant(
        self,
        key: leases_mod.LeaseKey,
        request: reservation_mod.ReservationRequest,
        found: reservation_mod.DecodeReservation,
    ) -> None:
        prefill = found.prefill_endpoint
        lease = leases_mod.Lease(
            endpoint=found.endpoint.id,
            prefill_endpoint=None if prefill is None else prefill.id,
            run=request.run,
            prefilling=not request.waiting_request.holds_prompt,
        )
        self.leases.grant(key, lease)
        self._reserved[key] = found
        self._count(Event.GRANTED)
        self._send(
            key.gateway,
            messages.CapacityGrant(
                ticket=key.ticket,
                endpoint=lease.endpoint,
                prefill_endpoint=lease.prefill_endpoint,
                lease_s=LEASE_S,
            ),
        )

    def _on_cancel(
        self, gateway: types.VmId, msg: messages.CapacityCancel
    ) -> None:
        for ticket in msg.tickets:
            task = self._waiting.pop(
                leases_mod.LeaseKey(gateway, ticket), None
            )
            if task is not None:
                task.cancel()
        self._end(self.leases.release(gateway, msg.tickets), Event.RETURNED)

    def _on_progress(
        self, gateway: types.VmId, msg: messages.CapacityProgress
    ) -> None:
        now = self._loop.time()
        if msg.complete:
            self.leases.record_use(gateway, msg.use)
        changes = self.leases.report(
            gateway,
            convert.leases_of(msg.holdings),
            complete=msg.complete,
            now=now,
        )
        self._end(changes.ended, Event.RETURNED)
        for key in changes.added:
            self._reserved[key] = self._reserve_reported(key, now)
        for key in changes.prefilled:
            self._reserved[key].record_prefilled()
        if msg.complete and self.leases.has_reported(gateway):
            self._reported_event(gateway).set()
        self._record_signs(gateway, msg.signs, now)

    def _reserve_reported(
        self, key: leases_mod.LeaseKey, now: float
    ) -> reservation_mod.DecodeReservation:
        """Count what a gateway holds already."""
        lease = self.leases.leases[key]
        prefilled_at = lease.prefill_endpoint or lease.endpoint
        prompt = lease.run.held_tokens if lease.prefilling else 0
        release_prefill = (
            self._loads.add_request(prefilled_at, prompt=prompt)
            if prompt
            else lambda: None
        )
        return reservation_mod.DecodeReservation(
            endpoint=endpoints.Endpoint(id=lease.endpoint),
            prefill_endpoint=None,
            release_capacity=self._loads.add_request(
                lease.endpoint, run=lease.run
            ),
            release_prefill=release_prefill,
            on_change=self._capacity_changed.set,
            reserved_at=now,
        )

    def _record_signs(
        self, gateway: types.VmId, signs: messages.EndpointSigns, now: float
    ) -> None:
        for endpoint in signs.failed:
            self._health.record_reported_failure(endpoint, now)
        for endpoint in signs.rejecting:
            self._health.record_reported_full(endpoint, now)
        for endpoint, left_s in signs.backoffs.items():
            self._health.record_reported_backoff(endpoint, left_s, now)
        self._timing.take(gateway, signs)
        self._changing[gateway] = signs.changing
        self._eligible.set_changing_role(
            key for keys in self._changing.values() for key in keys
        )

    def _end(self, keys: list[leases_mod.LeaseKey], event: Event) -> None:
        for key in keys:
            self._count(event)
            found = self._reserved.pop(key, None)
            if found is not None:
                found.release()

    # Readiness.

    def _update_readiness(self) -> None:
        ready = self.leases.readiness is leases_mod.Readiness.READY
        self._eligible.is_open = ready
        if not ready:
            if self._unready_since is None:
                self._unready_since = self._loop.time()
                self._log(
                    "Scheduler has stopped to grant.",
                    gateways=self.leases.blockers()[:_MAX_LOGGED],
                )
        elif self._unready_since is not None:
            self._unready_since = None
            self._log("Scheduler grants.")
            self._capacity_changed.set()

    def _is_unready_for_long(self, now: float) -> bool:
        since = self._unready_since
        return since is not None and now > since + _MAX_UNREADY_S

    def _drop_waiting(self, gateway: types.VmId) -> None:
        for key, task in list(self._waiting.items()):
            if key.gateway == gateway:
                del self._waiting[key]
                task.cancel()

    def _decline(
        self,
        gateway: types.VmId,
        tickets: tuple[leases_mod.TicketId, ...],
    ) -> None:
        self._count(Event.DECLINED, len(tickets))
        self._send(gateway, messages.CapacityDeclined(tickets=tickets))

    # Time.

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self.tick()

    def tick(self) -> None:
        """Expire leases, and confirm or decline what waits."""
        now = self._loop.time()
        lapsed = self.leases.expire(now)
        if lapsed:
            self._log("Leases have lapsed.", count=len(lapsed))
            self._end(lapsed, Event.LAPSED)
        self._update_readiness()
        waiting: dict[types.VmId, list[leases_mod.TicketId]] = {}
        for key in self._waiting:
            waiting.setdefault(key.gateway, []).append(key.ticket)
        for gateway, tickets in waiting.items():
            if self._is_unready_for_long(now):
                self._drop_waiting(gateway)
                self._decline(gateway, tuple(tickets))
            else:
                self._send(
                    gateway, messages.CapacityQueued(tickets=tuple(tickets))
                )
        scope = str(self._service)
        self._metrics.gauge(f"scheduler_waiting.{scope}", len(self._waiting))
        self._metrics.gauge(
            f"scheduler_leases.{scope}", len(self.leases.leases)
        )

    def _count(self, event: Event, by: int = 1) -> None:
        self._metrics.count("scheduler", event, str(self._service), by)

    def _log(self, text: str, **fields: object) -> None:
        logs.say(
            logs.Part.COORDINATOR,
            text,
            service=self._service,
            readiness=self.leases.readiness.value,
            leases=len(self.leases.leases),
            waiting=len(self._waiting),
            **fields,
        )

    def close(self) -> None:
        """Stop; what waits is cancelled without an answer."""
        for task in [*self._tasks, *self._waiting.values()]:
            task.cancel()
        self._waiting.clear()
