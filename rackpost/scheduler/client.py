"""A gateway's side of the schedulers: ask, check, and go on without them.

Where the routing document calls for a scheduler of a service and a
coordinator is linked, capacity is requested there.  Without an answer in
time, or when the link is lost, the gateway's own `AdmissionQueue` decides;
nothing is refused because of the scheduler.
"""

import asyncio
import contextlib
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
from rackpost.decide.waiting import grant_check
from rackpost.decide.waiting import leases
from rackpost.gateway import capacity_source
from rackpost.gateway import reservation as reservation_mod
from rackpost.link import channel
from rackpost import logs
from rackpost import metrics as metrics_mod
from rackpost.routing import endpoints
from rackpost.scheduler import choice
from rackpost.scheduler import convert
from rackpost.scheduler import holdings as holdings_mod
from rackpost.scheduler import messages
from rackpost import types

# A request that is neither answered nor confirmed for this long, in seconds,
# is decided by the gateway itself.
ANSWER_S = 0.15
# Grants that a gateway asks for one request before it decides itself.
_MAX_ASKS = 3
# Shortest time between two reports of what is held, in seconds.
_REPORT_S = 0.05
# Longest time between two reports, in seconds; several fit into a lease.
_RENEW_S = 0.5
# Tokens from whose time that of one is computed.
_TOKENS = 1000
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
    ) -> None:
        """`local` decides where no scheduler does.

        `is_scheduled` tells whether a scheduler is to be used for a service.
        """
        self._loop = asyncio.get_running_loop()
        self._local = local
        self._is_scheduled = is_scheduled
        self._chooser = chooser
        self._loads = loads
        self._table = table
        self._eligible = eligible
        self._health = health
        self._token_timing = token_timing
        self._capacity_changed = capacity_changed
        self._metrics = metrics
        self._choices = choice.SchedulerChoices()
        self._conns: dict[str, channel.Channel] = {}
        self._pending: dict[leases.TicketId, _Pending] = {}
        self._holdings: dict[types.ServiceName, holdings_mod.Holdings] = {}
        # The scheduler in use, as the subscribers know it.
        self._chosen: dict[types.ServiceName, str | None] = {}
        self._tickets = itertools.count(1)
        self._report_due = asyncio.Event()
        self._last_report_at = 0.0
        self._last_logged_at = -_LOG_S

    # Reservations.

    async def reserve(
        self, request: reservation_mod.ReservationRequest
    ) -> reservation_mod.DecodeReservation | reservation_mod.NoCapacity:
        """Wait for a reservation, which the caller must release.

        Returns NoCapacity where the request can't be served in time.
        """
        if not self._is_scheduled(request.service):
            return await self._local.reserve(request)
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
                if found is not None:
                    return found
                exclude.append(answer.endpoint)
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
        if found is None or not self._is_scheduled(request.service):
            return found
        return self._hold(request, found)

    def _hold(
        self,
        request: reservation_mod.ReservationRequest,
        found: reservation_mod.DecodeReservation,
        ticket: leases.TicketId | None = None,
    ) -> reservation_mod.DecodeReservation:
        """Have schedulers told of a reservation."""
        if ticket is None:
            ticket = leases.TicketId(next(self._tickets))
        held = self._holdings_of(request.service).hold(ticket, request, found)
        return held

    def _holdings_of(
        self, service: types.ServiceName
    ) -> holdings_mod.Holdings:
        found = self._holdings.get(service)
        if found is None:
            found = holdings_mod.Holdings(on_change=self._report_due.set)
            self._holdings[service] = found
        return found

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
                    request, ticket=ticket, exclude=exclude, now=now
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
    ) -> reservation_mod.DecodeReservation | None:
        """Return the reservation of a grant; None if it is returned."""
        now = self._loop.time()
        endpoint = self._table.alive.get(grant.endpoint)
        why = grant_check.objection(
            endpoint,
            memory_tokens=request.memory_tokens,
            eligible=self._eligible,
            health=self._health,
            loads=self._loads,
            now=now,
        )
        prefill = None
        if why is None and grant.prefill_endpoint is not None:
            prefill = self._table.alive.get(grant.prefill_endpoint)
            why = grant_check.sending_objection(
                prefill, self._eligible, self._health, now
            )
        if why is not None or endpoint is None:
            self._metrics.count(
                "scheduler_objections",
                why or grant_check.Objection.UNKNOWN,
                str(request.service),
            )
            self._return_grant(request.service, grant)
            return None
        self._count(Outcome.GRANTED, request.service)
        return self._hold(
            request,
            self._reservation(endpoint, prefill, request, now),
            grant.ticket,
        )

    def _return_grant(
        self, service: types.ServiceName, grant: messages.CapacityGrant
    ) -> None:
        for host in self._choices.subscribers(service):
            self._give_back(host, service, grant.ticket)

    def _reservation(
        self,
        endpoint: endpoints.Endpoint,
        prefill: endpoints.Endpoint | None,
        request: reservation_mod.ReservationRequest,
        now: float,
    ) -> reservation_mod.DecodeReservation:
        """Count a grant in the gateway's own load."""
        prompt = request.run.held_tokens
        release_capacity = self._loads.add_request(
            endpoint.id, run=request.run
        )
        prefills_at = prefill or endpoint
        release_prompt = self._loads.add_request(prefills_at.id, prompt=prompt)
        self._chooser.candidates.record_selection(endpoint, now)
        if prefill is not None:
            self._chooser.candidates.record_selection(prefill, now)

        def release_prefill() -> None:
            release_prompt()
            if prefill is None:
                self._loads.record_prefilled(endpoint.id, self._loop.time())

        return reservation_mod.DecodeReservation(
            endpoint=endpoint,
            prefill_endpoint=prefill,
            release_capacity=release_capacity,
            release_prefill=release_prefill,
            on_change=self._capacity_changed.set,
            reserved_at=now,
        )

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
                holdings=self._holdings_of(service).all(),
                signs=self._signs(),
                complete=True,
                chosen=self._chosen.get(service) == host,
            ),
        )

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
                messages.SchedulerChoice(service=service, chosen=host == best),
            )

    def _send(self, host: str, msg: msgspec.Struct) -> None:
        conn = self._conns.get(host)
        if conn is not None:
            conn.send(msg)

    # Reports.

    def _signs(self) -> messages.EndpointSigns:
        now = self._loop.time()
        timing = self._token_timing
        return messages.EndpointSigns(
            failed=self._health.failed_endpoints(now),
            rejecting=self._health.full_endpoints(now),
            backoffs=self._eligible.remaining_backoffs(now),
            changing=tuple(sorted(self._eligible.changing_role)),
            prefill_token_s=timing.prefill_s(_TOKENS) / _TOKENS,
            decode_token_s=timing.decode_s(_TOKENS) / _TOKENS,
            generation_s=timing.generation_s,
        )

    async def run(self) -> None:
        """Report what is held, until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_RENEW_S):
                    await self._report_due.wait()
            self._report_due.clear()
            self.report()
            await asyncio.sleep(_REPORT_S)

    def report(self) -> None:
        """Report the changes since the last report to the schedulers."""
        now = self._loop.time()
        self._update_choices()
        due = now >= self._last_report_at + _RENEW_S
        for service, held in self._holdings.items():
            changed = held.take_changes()
            ended = held.take_ended()
            hosts = self._choices.subscribers(service)
            if not hosts:
                continue
            if ended:
                cancel = messages.CapacityCancel(
                    service=service, tickets=ended
                )
                self._send_all(hosts, cancel)
            if changed or due:
                progress = messages.CapacityProgress(
                    service=service, holdings=changed, signs=self._signs()
                )
                self._send_all(hosts, progress)
        if due:
            self._last_report_at = now

    def _send_all(self, hosts: list[str], msg: msgspec.Struct) -> None:
        for host in hosts:
            self._send(host, msg)

    def _count(self, outcome: Outcome, service: types.ServiceName) -> None:
        self._metrics.count("scheduler_outcome", outcome, str(service))
