"""A gateway's side of the schedulers: ask, check, and go on without them.

Where the routing document calls for a scheduler of a service and a
coordinator is linked, capacity is requested there.  Without an answer in
time, or when the link is lost, the gateway's own `AdmissionQueue` decides;
nothing is refused because of the scheduler.
"""

import asyncio
import enum
import itertools
from typing import Callable
from typing import Iterable

import msgspec

from rackpost.decide import eligibility as eligibility_mod
from rackpost.decide import endpoint_choice
from rackpost.decide import endpoint_health
from rackpost.decide import endpoint_load
from rackpost.decide import token_timing as token_timing_mod
from rackpost.decide.waiting import leases
from rackpost.gateway import capacity_source
from rackpost.gateway import reservation as reservation_mod
from rackpost.link import channel
from rackpost import logs
from rackpost import metrics as metrics_mod
from rackpost.routing import endpoints
from rackpost.scheduler import choice
from rackpost.scheduler import convert
from rackpost.scheduler import grants
from rackpost.scheduler import messages
from rackpost.scheduler import reporting
from rackpost import types

# A request that is neither answered nor confirmed for this long, in seconds,
# is decided by the gateway itself.
ANSWER_S = 0.15
# Grants that a gateway asks for one request before it decides itself.
_MAX_ASKS = 3
# After a decision without a scheduler the other gateways' load reports are
# needed for this long, in seconds.
_FALLBACK_S = 1.0
# Bounds the log lines on fallbacks, in seconds from one to the next.
_LOG_S = 1.0


class Fallback(enum.Enum):
    """Why a gateway did not get an answer from a scheduler."""

    NO_LINK = "no coordinator"
    SUSPECT = "did not answer lately"
    SILENT = "no answer in time"
    LINK_LOST = "link lost"
    DECLINED = "declined"
    TOO_MANY_ASKS = "asked too often"
    # Another coordinator schedules the service now; it is asked instead.
    MOVED = "moved"


class Outcome(enum.Enum):
    """What became of requests to schedulers."""

    GRANTED = "granted"
    REFUSED = "refused"
    LATE_GRANT = "late grant returned"


_Answer = messages.CapacityGrant | messages.CapacityRefusal | Fallback


class _Pending:
    """A request that waits for a scheduler's answer."""

    def __init__(self, *, host: str, service: types.ServiceName) -> None:
        self.host = host
        self.service = service
        self.answer: asyncio.Future[_Answer] = (
            asyncio.get_running_loop().create_future()
        )
        self.confirmed_at = asyncio.get_running_loop().time()

    def resolve(self, answer: _Answer) -> None:
        """Set the answer, unless there is one."""
        if not self.answer.done():
            self.answer.set_result(answer)


class PoolClient(capacity_source.CapacitySource):
    """Capacity from schedulers, or else from the gateway's own queue."""

    def __init__(
        self,
        *,
        local: capacity_source.CapacitySource,
        is_scheduled: Callable[[types.ServiceName], bool],
        chooser: endpoint_choice.Chooser,
        loads: endpoint_load.LoadTable,
        table: endpoints.EndpointTable,
        eligible: eligibility_mod.Eligibility,
        health: endpoint_health.HealthTracker,
        token_timing: token_timing_mod.TokenTiming,
        capacity_changed: asyncio.Event,
        metrics: metrics_mod.Metrics,
        data_centre: types.DataCentre = types.DataCentre(""),
    ) -> None:
        """`local` decides where no scheduler does.

        `is_scheduled` tells whether a scheduler is to be used for a service.
        Endpoints of `data_centre` are preferred.
        """
        self._loop = asyncio.get_running_loop()
        self._local = local
        self._is_scheduled = is_scheduled
        self._chooser = chooser
        self._metrics = metrics
        self._data_centre = data_centre
        self._taker = grants.GrantTaker(
            chooser=chooser,
            loads=loads,
            table=table,
            eligible=eligible,
            health=health,
            capacity_changed=capacity_changed,
        )
        self._reporter = reporting.Reporter(
            eligible=eligible,
            health=health,
            token_timing=token_timing,
            before_report=self._update_choices,
            is_asked=lambda service: bool(self._choices.subscribers(service)),
            send=self._send_to_subscribers,
        )
        self._choices = choice.SchedulerChoices()
        self._conns: dict[str, channel.Channel] = {}
        self._pending: dict[leases.TicketId, _Pending] = {}
        # The scheduler in use, as the subscribers know it.
        self._chosen: dict[types.ServiceName, str | None] = {}
        self._tickets = itertools.count(1)
        # Clock reading of the last decision without a scheduler.
        self._last_local_at = -_FALLBACK_S
        self._last_logged_at = -_LOG_S

    @property
    def is_delegated(self) -> bool:
        """Whether schedulers decide on the capacity of all model services.

        False for a second after each decision without one.
        """
        now = self._loop.time()
        if now < self._last_local_at + _FALLBACK_S:
            return False
        hosts = [
            host
            for service, host in self._chosen.items()
            if self._is_scheduled(service)
        ]
        return bool(hosts) and not any(
            host is None or self._choices.is_suspect(host, now)
            for host in hosts
        )

    # Reservations.

    async def reserve(
        self, request: reservation_mod.ReservationRequest
    ) -> reservation_mod.DecodeReservation | reservation_mod.NoCapacity:
        """Wait for a reservation, which the caller must release.

        Returns NoCapacity where the request can't be served in time.
        """
        if not self._is_scheduled(request.service):
            return await self._reserve_here(request)
        exclude = list(request.exclude)
        for _ in range(_MAX_ASKS):
            ticket = leases.TicketId(next(self._tickets))
            answer = await self._ask(ticket, request, exclude)
            if isinstance(answer, messages.CapacityRefusal):
                self._count(Outcome.REFUSED, request.service)
                return reservation_mod.NoCapacity(
                    retry_after_s=answer.retry_after_s,
                    expected_wait_s=answer.expected_wait_s,
                    reason=reservation_mod.RefusalReason(answer.reason),
                    kept=answer.kept,
                )
            if isinstance(answer, messages.CapacityGrant):
                found = self._use_grant(answer, request)
                if isinstance(found, reservation_mod.DecodeReservation):
                    return found
                exclude.append(found.endpoint)
                if not self._has_other(request.service, exclude):
                    break
            elif answer not in (Fallback.MOVED, Fallback.LINK_LOST):
                return await self._choose_here(request, answer)
        return await self._choose_here(request, Fallback.TOO_MANY_ASKS)

    def _has_other(
        self, service: types.ServiceName, exclude: list[types.EndpointId]
    ) -> bool:
        """Whether a decode endpoint is left to ask for."""
        members = self._chooser.candidates.members(service, types.Role.DECODE)
        return any(item.id not in exclude for item in members)

    def reserve_at(
        self,
        request: reservation_mod.ReservationRequest,
        endpoint: endpoints.Endpoint,
    ) -> reservation_mod.DecodeReservation | None:
        """Reserve the endpoint where the request's connection just broke."""
        found = self._local.reserve_at(request, endpoint)
        return None if found is None else self._hold(request, found)

    def _hold(
        self,
        request: reservation_mod.ReservationRequest,
        found: reservation_mod.DecodeReservation,
    ) -> reservation_mod.DecodeReservation:
        """Have schedulers told of the gateway's own reservation."""
        held = self._reporter.holdings_of(request.service)
        ticket = leases.TicketId(next(self._tickets))
        return held.hold(ticket, request, found, granted=False)

    async def _choose_here(
        self, request: reservation_mod.ReservationRequest, why: Fallback
    ) -> reservation_mod.DecodeReservation | reservation_mod.NoCapacity:
        """Decide without a scheduler."""
        self._metrics.count("scheduler_fallback", why, str(request.service))
        now = self._loop.time()
        if now >= self._last_logged_at + _LOG_S:
            self._last_logged_at = now
            logs.say(
                logs.Part.GATEWAY,
                "Goes on without a scheduler.",
                service=request.service,
                why=why.value,
                scheduler=self._choices.best(request.service, now),
            )
        return await self._reserve_here(request)

    async def _reserve_here(
        self, request: reservation_mod.ReservationRequest
    ) -> reservation_mod.DecodeReservation | reservation_mod.NoCapacity:
        self._last_local_at = self._loop.time()
        found = await self._local.reserve(request)
        if isinstance(found, reservation_mod.NoCapacity):
            return found
        return self._hold(request, found)

    # Asking.

    async def _ask(
        self,
        ticket: leases.TicketId,
        request: reservation_mod.ReservationRequest,
        exclude: Iterable[types.EndpointId],
    ) -> _Answer:
        now = self._loop.time()
        self._update_choice(request.service)
        host = self._chosen.get(request.service)
        if host is None:
            return Fallback.NO_LINK
        if self._choices.is_suspect(host, now):
            return Fallback.SUSPECT
        pending = _Pending(host=host, service=request.service)
        self._pending[ticket] = pending
        answered = False
        try:
            self._send(
                host,
                convert.capacity_request(
                    request,
                    ticket=ticket,
                    exclude=exclude,
                    data_centre=self._data_centre,
                    now=now,
                ),
            )
            answer = await self._wait_for(pending)
            answered = not isinstance(answer, Fallback)
            return answer
        finally:
            self._pending.pop(ticket, None)
            if not answered:
                self._give_back(host, request.service, ticket)

    async def _wait_for(self, pending: _Pending) -> _Answer:
        """Wait for an answer, while the scheduler confirms the request."""
        while not pending.answer.done():
            left_s = pending.confirmed_at + ANSWER_S - self._loop.time()
            if left_s <= 0.0:
                self._choices.record_silence(pending.host, self._loop.time())
                return Fallback.SILENT
            await asyncio.wait([pending.answer], timeout=left_s)
        return pending.answer.result()

    def _give_back(
        self, host: str, service: types.ServiceName, ticket: leases.TicketId
    ) -> None:
        self._send(
            host, messages.CapacityCancel(service=service, tickets=(ticket,))
        )

    def _use_grant(
        self,
        grant: messages.CapacityGrant,
        request: reservation_mod.ReservationRequest,
    ) -> reservation_mod.DecodeReservation | grants.Objection:
        """Return the reservation of a grant, or why it is returned."""
        service = request.service
        found = self._taker.take(grant, request)
        if isinstance(found, grants.Objection):
            name = "scheduler_objections"
            self._metrics.count(name, found.why, str(service))
            for host in self._choices.subscribers(service):
                self._give_back(host, service, grant.ticket)
            return found
        self._count(Outcome.GRANTED, service)
        # Other schedulers that asked for holdings don't know of the grant.
        is_known = len(self._choices.subscribers(service)) <= 1
        held = self._reporter.holdings_of(service)
        return held.hold(grant.ticket, request, found, granted=is_known)

    # Links.

    def link(self, host: str, conn: channel.Channel) -> None:
        """Record a new link to a coordinator."""
        self._conns[host] = conn
        self._choices.link(host, self._loop.time())

    def unlink(self, host: str, conn: channel.Channel) -> None:
        """Record that a link is lost, unless a newer one exists."""
        if self._conns.get(host) is not conn:
            return
        del self._conns[host]
        self._choices.unlink(host)
        for pending in self._pending.values():
            if pending.host == host:
                pending.resolve(Fallback.LINK_LOST)
        self._update_choices()

    def receive(self, host: str, msg: msgspec.Struct) -> None:
        """Handle a message of a coordinator's scheduler."""
        self._choices.record_answer(host)
        if isinstance(msg, messages.HoldingsQuery):
            self._on_query(host, msg)
        elif isinstance(msg, messages.CapacityQueued):
            for ticket in msg.tickets:
                if ticket in self._pending:
                    self._pending[ticket].confirmed_at = self._loop.time()
        elif isinstance(msg, messages.CapacityDeclined):
            for ticket in msg.tickets:
                if ticket in self._pending:
                    self._pending[ticket].resolve(Fallback.DECLINED)
        elif isinstance(
            msg, (messages.CapacityGrant, messages.CapacityRefusal)
        ):
            self._on_answer(host, msg)

    def _on_answer(
        self,
        host: str,
        msg: messages.CapacityGrant | messages.CapacityRefusal,
    ) -> None:
        pending = self._pending.get(msg.ticket)
        if pending is not None and not pending.answer.done():
            pending.resolve(msg)
        elif isinstance(msg, messages.CapacityGrant):
            # The request was cancelled when its client left, or the gateway
            # decided itself: the cancellation returns the grant too.
            self._metrics.count("scheduler_outcome", Outcome.LATE_GRANT)

    def _on_query(self, host: str, msg: messages.HoldingsQuery) -> None:
        service = msg.service
        self._choices.record_query(host, service, msg.active)
        # Requests at another scheduler are cancelled before this one learns
        # what is held, so that a grant on its way is not used.
        self._update_choice(service)
        if not msg.active:
            return
        self._send(
            host,
            messages.CapacityProgress(
                service=service,
                holdings=self._reporter.holdings_of(service).all(),
                signs=self._reporter.signs(),
                complete=True,
                use=self._use_of(host, service),
            ),
        )

    def _use_of(self, host: str, service: types.ServiceName) -> leases.Use:
        """Return what a coordinator is to know of the choice."""
        chosen = self._chosen.get(service)
        if chosen is None:
            return leases.Use.NONE
        return leases.Use.THIS if chosen == host else leases.Use.OTHER

    def _update_choices(self) -> None:
        for service in list(self._chosen):
            self._update_choice(service)

    def _update_choice(self, service: types.ServiceName) -> None:
        """Use the coordinator that is best now; tell the schedulers."""
        best = None
        if self._is_scheduled(service):
            best = self._choices.best(service, self._loop.time())
        before = self._chosen.get(service)
        if best == before:
            return
        self._chosen[service] = best
        logs.say(
            logs.Part.GATEWAY,
            "Scheduler chosen.",
            service=service,
            scheduler=best,
            before=before,
        )
        for pending in self._pending.values():
            if pending.service == service and pending.host != best:
                pending.resolve(Fallback.MOVED)
        hosts = set(self._choices.subscribers(service))
        if before is not None and best is not None:
            # It begins, so that all gateways change at the same time.
            hosts.add(best)
        for host in hosts:
            self._send(
                host,
                messages.SchedulerChoice(
                    service=service, use=self._use_of(host, service)
                ),
            )

    def _send(self, host: str, msg: msgspec.Struct) -> None:
        conn = self._conns.get(host)
        if conn is not None:
            conn.send(msg)

    def _send_to_subscribers(
        self, service: types.ServiceName, msg: msgspec.Struct
    ) -> None:
        for host in self._choices.subscribers(service):
            self._send(host, msg)

    async def run(self) -> None:
        """Report what is held, until cancelled."""
        await self._reporter.run()

    def _count(self, outcome: Outcome, service: types.ServiceName) -> None:
        self._metrics.count("scheduler_outcome", outcome, str(service))
