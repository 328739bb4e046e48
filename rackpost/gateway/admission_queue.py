"""Generations that wait for capacity at a decode endpoint."""

import asyncio
import contextlib
import math
import random
from typing import Callable
from typing import NamedTuple

import msgspec

from rackpost.decide import endpoint_choice
from rackpost.decide import endpoint_load
from rackpost.decide import fleet_size
from rackpost.decide import plain_queue
from rackpost.decide import queue_order
from rackpost.decide import token_timing as token_timing_mod
from rackpost.decide.waiting import backfill
from rackpost.decide.waiting import contender
from rackpost.decide.waiting import headroom
from rackpost.decide.waiting import orders as orders_mod
from rackpost.gateway import capacity_source
from rackpost.gateway import large_requests
from rackpost.gateway import reservation as reservation_mod
from rackpost.gateway import waiters as waiters_mod
from rackpost import metrics as metrics_mod
from rackpost.routing import endpoints
from rackpost import types

# Capacity may become available without an event, as when the load report of
# another gateway expires; the queue is rechecked at this interval.
_RECHECK_S = 0.05
# Share of an endpoint's KV memory that is reserved.  The rest absorbs
# reservations that two gateways make at the same moment; the KV forecast
# accounts for answers that are longer than estimated.
_RESERVABLE_SHARE = 0.97
# Longest queue of a prefill endpoint that still gets a prompt, in seconds of
# prefill work.  It keeps the endpoint busy while load reports travel; longer
# queues form here, ordered by deadline and holding no KV memory.
_MAX_PREFILL_QUEUE_S = 0.25
# Requests without a fitting endpoint after which a pass over the queue ends.
_MAX_UNPLACED = 4
# Number of waiting requests that are reported to other gateways.
_MAX_REPORTED = 6
# Delay per gateway, in seconds, so that changes that arrive together are
# handled in one pass: a large fleet sends hundreds of reports a second.
_BATCHING_PER_GATEWAY_S = 0.0005
_MAX_WAITING = 512
# When nothing was admitted for this long, in seconds, one request that seems
# infeasible is admitted: rejected requests never correct a wrong estimate.
_PROBE_INTERVAL_S = 1.0
# Interval at which waiting requests are checked for whether they will be
# served, in seconds.
_FORESIGHT_INTERVAL_S = 0.1


def _reservable_tokens(request: reservation_mod.ReservationRequest) -> int:
    """Return the part of an endpoint's KV memory to reserve, in tokens."""
    return int(request.memory_tokens * _RESERVABLE_SHARE)


def _release_nothing() -> None:
    """Release nothing: no prompt is prefilled."""


class _PrefillPlan(NamedTuple):
    """A prefill endpoint, or the terms of a prefill in place."""

    prefill_endpoint: endpoints.Endpoint | None
    in_place: endpoint_choice.InPlacePrefill | None


class AdmissionQueue(capacity_source.CapacitySource):
    """Reserves decode endpoints for waiting generations, by deadline."""

    def __init__(
        self,
        *,
        chooser: endpoint_choice.Chooser,
        loads: endpoint_load.LoadTable,
        token_timing: token_timing_mod.TokenTiming,
        rng: random.Random,
        vm: types.VmId,
        capacity_changed: asyncio.Event,
        on_waiters_changed: Callable[[], None],
        split: bool = True,
        orders: orders_mod.Orders | None = None,
        metrics: metrics_mod.Metrics | None = None,
    ) -> None:
        """`capacity_changed` is set when capacity may be available.

        `on_waiters_changed` is called when the waiting requests that are
        reported to other gateways have changed.  Without `split` all prompts
        are prefilled in place.  `orders` holds the order of each service;
        by default all are served by deadline.
        """
        self._loop = asyncio.get_running_loop()
        self._chooser = chooser
        self._loads = loads
        self._token_timing = token_timing
        self._rng = rng
        self._vm = vm
        self._on_waiters_changed = on_waiters_changed
        self._split = split
        self._sorter = waiters_mod.WaiterOrders(
            orders=orders or orders_mod.Orders(vm=vm)
        )
        self._metrics = metrics or metrics_mod.Metrics()
        self._capacity_changed = capacity_changed
        self._large = large_requests.LargeRequests(
            chooser=chooser, loads=loads, vm=vm
        )
        self._waiters: list[waiters_mod.Waiter] = []
        # Clock reading of the last reservation.
        self._last_reserved_at = self._loop.time()
        # Clock reading of the last check by expected waits.
        self._foreseen_at = self._loop.time()

    def most_urgent_waiters(
        self, now: float
    ) -> tuple[queue_order.WaitingSummary, ...]:
        """Return the waiting requests to report, most urgent first."""
        summaries = self._sorter.by_deadline(self._waiters, now)
        summaries.sort(key=lambda item: item.rank(0.0))
        return tuple(summaries[:_MAX_REPORTED])

    def contention_reports(
        self, now: float
    ) -> dict[types.ServiceName, contender.ContentionReport]:
        """Return what to report of services with a contention order."""
        return self._sorter.reports(self._waiters, now)

    def claims(self, now: float) -> tuple[backfill.Claim, ...]:
        """Return the claims for large requests to report."""
        return self._large.reported(now)

    async def reserve(
        self, request: reservation_mod.ReservationRequest
    ) -> reservation_mod.DecodeReservation | reservation_mod.NoCapacity:
        """Wait for a reservation, which the caller must release.

        Returns NoCapacity where the request can't be served in time.
        """
        now = self._loop.time()
        waiter = waiters_mod.Waiter(request=request)
        self._waiters.append(waiter)
        self._sorter.order_for(request).record_arrival(
            request.waiting_request, now
        )
        self._admit()
        if not waiter.result.done():
            self._reject_if_infeasible(waiter, now)
        if not waiter.result.done():
            # `run` retries from now on.
            self._capacity_changed.set()
            self._on_waiters_changed()
        try:
            return await waiter.result
        except asyncio.CancelledError:
            self._release(waiter)
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
                self._on_waiters_changed()
            if self._large.forget(request):
                self._capacity_changed.set()
                self._on_waiters_changed()

    def reserve_at(
        self,
        request: reservation_mod.ReservationRequest,
        endpoint: endpoints.Endpoint,
    ) -> reservation_mod.DecodeReservation | None:
        """Reserve the endpoint where the request's connection just broke.

        Returns None if the endpoint takes no requests now.  The reserved
        capacity was this request's until now, and an endpoint that still has
        the KV cache need not prefill, so that nothing is reserved for that.
        """
        now = self._loop.time()
        if not self._chooser.candidates.may_resend(endpoint, now):
            return None
        return reservation_mod.DecodeReservation(
            endpoint=endpoint,
            prefill_endpoint=None,
            release_capacity=self._add_run(request, endpoint),
            release_prefill=_release_nothing,
            on_change=self._capacity_changed.set,
            reserved_at=now,
        )

    def _reject_if_infeasible(
        self, waiter: waiters_mod.Waiter, now: float
    ) -> None:
        request = waiter.request
        wait_s = self._expected_wait_s(request, now)
        if self._sorter.order_for(request).is_hopeless(
            request.waiting_request, wait_s, now
        ):
            reason = reservation_mod.RefusalReason.HOPELESS
        elif len(self._waiters) > _MAX_WAITING:
            reason = reservation_mod.RefusalReason.QUEUE_FULL
        else:
            return
        self._resolve(waiter, self._no_capacity(waiter, now, reason))

    def _available_in_s(
        self, request: reservation_mod.ReservationRequest, now: float
    ) -> float:
        """Return the time until a decode endpoint takes requests again.

        In seconds; 0 if one does now.
        """
        available_in_s = self._chooser.candidates.available_in_s(
            request.service,
            types.Role.DECODE,
            exclude=request.exclude,
            now=now,
        )
        return available_in_s or 0.0

    def _expected_wait_s(
        self, request: reservation_mod.ReservationRequest, now: float
    ) -> float:
        """Return the expected time until a request is admitted."""
        ahead = self._sorter.ahead(self._waiters, request, now)
        delay_s = self._availability_delay_s(request, ahead, now)
        if (
            delay_s > 0.0
            and self._chooser.free_decode_slots(request.service, now) > ahead
        ):
            # Capacity is free; no running generation has to end first.
            return delay_s
        return delay_s + self._queue_s(request, ahead, now)

    def _availability_delay_s(
        self,
        request: reservation_mod.ReservationRequest,
        ahead: int,
        now: float,
    ) -> float:
        """Return the delay by back-offs and named rates, in seconds.

        `ahead` waiting requests of this gateway have precedence.
        """
        available_in_s = self._available_in_s(request, now)
        candidates = self._chooser.candidates
        role = types.Role.DECODE
        rate_per_s = candidates.own_rate_per_s(
            request.service, role, exclude=request.exclude, now=now
        )
        if available_in_s <= 0.0 and rate_per_s is None:
            return 0.0
        return plain_queue.expected_wait_s(
            ahead=ahead,
            count=len(candidates.members(request.service, role)),
            answer_s=request.waiting_request.start_s,
            available_in_s=available_in_s,
            rate_per_s=rate_per_s,
        )

    def _queue_s(
        self,
        request: reservation_mod.ReservationRequest,
        ahead: int,
        now: float,
    ) -> float:
        """Return how long the requests ahead will take, in seconds."""
        ahead += self._ahead_elsewhere(request, now)
        if not self._sorter.contends(request.service):
            return queue_order.expected_wait_s(
                ahead=ahead,
                running=self._chooser.running_generations(
                    request.service, now
                ),
                run_s=self._token_timing.generation_s,
            )
        return self._sorter.order_for(request).expected_wait_s(
            request.waiting_request,
            ahead,
            self._pool_state(request, now),
            now,
        )

    def _ahead_elsewhere(
        self, request: reservation_mod.ReservationRequest, now: float
    ) -> int:
        """Return how many requests at other gateways have precedence."""
        claim = request.waiting_request
        if self._sorter.contends(request.service):
            return self._sorter.order_for(request).ahead_elsewhere(claim, now)
        summary = queue_order.summarize(claim, now)
        return self._loads.waiting_ahead(summary, self._vm, now)

    def _pool_state(
        self, request: reservation_mod.ReservationRequest, now: float
    ) -> headroom.PoolState:
        """Return the decode capacity and the releases to come."""
        candidates = self._chooser.candidates
        in_place = self._in_place_terms(request, now)
        found = candidates.available_by(
            request.service, types.Role.DECODE, math.inf, now
        )
        runs = (
            run for item in found for run in self._loads.total(item.id).runs
        )
        prefill_s = self._token_timing.prefill_s(request.run.held_tokens)
        prefills = len(candidates.members(request.service, types.Role.PREFILL))
        return headroom.PoolState(
            capacity=self._decode_capacity(request, in_place, now),
            endpoints=len(found),
            releases_s=sorted(
                self._token_timing.decode_s(run.remaining_tokens)
                for run in runs
            ),
            generation_s=self._token_timing.generation_s,
            prefills_per_s=(
                prefills / prefill_s if in_place is None and prefill_s else 0.0
            ),
        )

    def _decode_capacity(
        self,
        request: reservation_mod.ReservationRequest,
        in_place: endpoint_choice.InPlacePrefill | None,
        now: float,
    ) -> int:
        return self._chooser.decode_capacity(
            request.service,
            request.run,
            _reservable_tokens(request),
            in_place=in_place,
            now=now,
        )

    def _no_capacity(
        self,
        waiter: waiters_mod.Waiter,
        now: float,
        reason: reservation_mod.RefusalReason,
    ) -> reservation_mod.NoCapacity:
        request = waiter.request
        wait_s = self._expected_wait_s(request, now)
        jitter = self._rng.random()
        return_in_s = wait_s
        if self._sorter.contends(request.service):
            # Places in an order need no spread.
            jitter = 0.0
            return_in_s = self._sorter.order_for(request).return_in_s(
                wait_s, self._pool_state(request, now), now
            )
        retry_after_s = queue_order.retry_after_s(
            request.waiting_request, return_in_s, now, jitter
        )
        # A retry before an endpoint takes requests again would fail too.
        retry_after_s = max(retry_after_s, self._available_in_s(request, now))
        return reservation_mod.NoCapacity(
            retry_after_s=retry_after_s,
            expected_wait_s=wait_s,
            reason=reason,
            kept=tuple(sorted(item.value for item in waiter.kept)),
        )

    def _release(self, waiter: waiters_mod.Waiter) -> None:
        if waiter.result.done() and not waiter.result.cancelled():
            reservation = waiter.result.result()
            if isinstance(reservation, reservation_mod.DecodeReservation):
                reservation.release()

    def _admit(self) -> None:
        now = self._loop.time()
        self._waiters = self._sorter.sort(self._waiters, now)
        self._reject_infeasible(now)
        for waiters in self._sorter.passes(self._waiters):
            self._admit_in_order(waiters, now)

    def _admit_in_order(
        self, waiters: list[waiters_mod.Waiter], now: float
    ) -> None:
        unplaced = 0
        for waiter in waiters:
            if waiter.result.done():
                continue
            plan = self._plan_prefill(waiter.request, now)
            if plan is not None and self._is_kept_waiting(waiter, plan, now):
                return
            claimed_only = False
            if plan is not None and not self._has_precedence(
                waiter.request, plan, now
            ):
                if not self._claim(waiter.request, now):
                    return
                claimed_only = True
            reservation = plan and self._reserve(
                waiter.request, plan, now, claimed_only=claimed_only
            )
            if reservation is not None:
                self._resolve(waiter, reservation)
                continue
            if plan is not None:
                self._claim(waiter.request, now)
            # A smaller request behind it may fit.
            unplaced += 1
            if unplaced >= _MAX_UNPLACED:
                return

    def _is_kept_waiting(
        self, waiter: waiters_mod.Waiter, plan: _PrefillPlan, now: float
    ) -> bool:
        """Whether the capacity is kept for others that are to come."""
        request = waiter.request
        claim = request.waiting_request
        order = self._sorter.order_for(request)
        if not order.yields_to_arrivals(claim, now):
            return False
        pool = self._pool_state(request, now)
        ahead = self._ahead_elsewhere(request, now)
        kept = order.kept_for(
            claim,
            msgspec.structs.replace(pool, capacity=pool.capacity - ahead),
            now,
        )
        if kept is None or pool.capacity <= 0:
            return False
        if kept not in waiter.kept:
            waiter.kept.add(kept)
            self._metrics.count("kept_waiting", kept, request.service)
        return True

    def _claim(
        self, request: reservation_mod.ReservationRequest, now: float
    ) -> bool:
        """Claim an endpoint for a large request; return whether it has one."""
        if self._large.record_unplaced(
            request, _reservable_tokens(request), now
        ):
            self._on_waiters_changed()
        return self._large.has_claim(request)

    def _reject_infeasible(self, now: float) -> None:
        """Reject requests that will miss their deadline in the queue."""
        ahead = 0
        foresees = now >= self._foreseen_at + _FORESIGHT_INTERVAL_S
        if foresees:
            self._foreseen_at = now
        for waiter in list(self._waiters):
            request = waiter.request
            available_at = now + self._availability_delay_s(
                request, ahead, now
            )
            if waiter.result.done():
                continue
            if queue_order.is_infeasible(
                request.waiting_request, available_at
            ):
                reservation = self._probe(request, now)
                self._resolve(
                    waiter,
                    reservation
                    or self._no_capacity(
                        waiter, now, reservation_mod.RefusalReason.TOO_LATE
                    ),
                )
            elif foresees and self._sorter.contends(request.service):
                self._reject_if_infeasible(waiter, now)
            else:
                ahead += 1

    def _probe(
        self, request: reservation_mod.ReservationRequest, now: float
    ) -> reservation_mod.DecodeReservation | None:
        """Occasionally reserve for a request that seems infeasible.

        It must be feasible if the estimates are wrong, and no planned stop may
        interrupt it if they are right.
        """
        claim = request.waiting_request
        if (
            now < self._last_reserved_at + _PROBE_INTERVAL_S
            or now >= claim.target
        ):
            return None
        if claim.gateway_stopping:
            return None
        plan = self._plan_prefill(request, now)
        return plan and self._reserve(request, plan, now)

    def _has_precedence(
        self,
        request: reservation_mod.ReservationRequest,
        plan: _PrefillPlan,
        now: float,
    ) -> bool:
        """Whether capacity remains after more urgent requests elsewhere."""
        ahead = self._ahead_elsewhere(request, now)
        # Two prompts that one decode endpoint prefills at once delay all its
        # streams, so that prefills in place take turns even among few
        # gateways.
        if ahead == 0 or (
            plan.in_place is None
            and self._loads.gateway_count
            <= fleet_size.MAX_GATEWAYS_WITHOUT_RACES
        ):
            return True
        capacity = self._decode_capacity(request, plan.in_place, now)
        if plan.in_place is None:
            capacity = min(capacity, self._prefill_capacity(request, now))
        return ahead < capacity

    def _prefill_capacity(
        self, request: reservation_mod.ReservationRequest, now: float
    ) -> int:
        return self._chooser.prefill_capacity(
            request.service,
            self._token_timing.prefill_tokens_in(_MAX_PREFILL_QUEUE_S),
            now,
        )

    def _in_place_terms(
        self, request: reservation_mod.ReservationRequest, now: float
    ) -> endpoint_choice.InPlacePrefill | None:
        """Return the terms of a prefill in place, if one is due."""
        separate = self._split and not request.in_place
        if separate and not self._chooser.must_prefill_in_place(
            request.service, now
        ):
            return None
        return endpoint_choice.InPlacePrefill(
            min_interval_s=request.event_interval_s
        )

    def _plan_prefill(
        self, request: reservation_mod.ReservationRequest, now: float
    ) -> _PrefillPlan | None:
        """Return how the prompt can be prefilled now, None if it can't."""
        in_place = self._in_place_terms(request, now)
        if in_place is not None:
            return _PrefillPlan(None, in_place)
        prefill_endpoint = self._find_prefill_endpoint(request, now)
        return (
            None
            if prefill_endpoint is None
            else _PrefillPlan(prefill_endpoint, None)
        )

    def _reserve(
        self,
        request: reservation_mod.ReservationRequest,
        plan: _PrefillPlan,
        now: float,
        *,
        claimed_only: bool = False,
    ) -> reservation_mod.DecodeReservation | None:
        endpoint = self._chooser.choose_decode(
            request.service,
            request.run,
            _reservable_tokens(request),
            in_place=plan.in_place,
            large_terms=self._large.terms(
                request,
                _reservable_tokens(request),
                now,
                claimed_only=claimed_only,
            ),
            exclude=request.exclude,
            now=now,
        )
        if endpoint is None:
            return None
        self._last_reserved_at = now
        release_capacity = self._add_run(request, endpoint)
        self._chooser.candidates.record_selection(endpoint, now)
        if plan.prefill_endpoint is None:
            release_prefill = self._reserve_prefill_in_place(
                endpoint, request.run.held_tokens
            )
        else:
            self._chooser.candidates.record_selection(
                plan.prefill_endpoint, now
            )
            release_prefill = self._loads.add_request(
                plan.prefill_endpoint.id, prompt=request.run.held_tokens
            )
        return reservation_mod.DecodeReservation(
            endpoint=endpoint,
            prefill_endpoint=plan.prefill_endpoint,
            release_capacity=release_capacity,
            release_prefill=release_prefill,
            on_change=self._capacity_changed.set,
            reserved_at=now,
        )

    def _add_run(
        self,
        request: reservation_mod.ReservationRequest,
        endpoint: endpoints.Endpoint,
    ) -> Callable[[], None]:
        """Count a run at an endpoint; return what releases it."""
        release = self._loads.add_request(endpoint.id, run=request.run)
        order = self._sorter.order_for(request)
        order.record_admitted(request.waiting_request)

        def release_capacity() -> None:
            release()
            order.record_released(request.waiting_request)

        return release_capacity

    def _find_prefill_endpoint(
        self, request: reservation_mod.ReservationRequest, now: float
    ) -> endpoints.Endpoint | None:
        """Return a prefill endpoint with a short queue, None without one."""
        return self._chooser.choose_prefill(
            request.service,
            request.run.held_tokens,
            max_ahead_tokens=self._token_timing.prefill_tokens_in(
                _MAX_PREFILL_QUEUE_S
            ),
            now=now,
        )

    def _reserve_prefill_in_place(
        self, endpoint: endpoints.Endpoint, prompt: int
    ) -> Callable[[], None]:
        """Reserve a prefill in place; return what releases it."""
        release = self._loads.add_request(endpoint.id, prompt=prompt)

        def release_prefill() -> None:
            release()
            self._loads.record_prefilled(endpoint.id, self._loop.time())

        return release_prefill

    def _resolve(
        self,
        waiter: waiters_mod.Waiter,
        reservation: (
            reservation_mod.DecodeReservation | reservation_mod.NoCapacity
        ),
    ) -> None:
        self._waiters.remove(waiter)
        waiter.result.set_result(reservation)
        self._on_waiters_changed()

    async def run(self) -> None:
        """Admit requests as capacity becomes available, until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    _RECHECK_S if self._waiters else None
                ):
                    await self._capacity_changed.wait()
                await asyncio.sleep(
                    _BATCHING_PER_GATEWAY_S * self._loads.gateway_count
                )
            self._capacity_changed.clear()
            self._admit()
