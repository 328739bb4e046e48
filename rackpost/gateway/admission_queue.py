"""Generations that wait for capacity at a decode endpoint."""

import asyncio
import contextlib
import random
from typing import Callable

from rackpost.decide import endpoint_choice
from rackpost.decide import endpoint_load
from rackpost.decide import fleet_size
from rackpost.decide import queue_order
from rackpost.decide import token_timing as token_timing_mod
from rackpost.decide.waiting import backfill
from rackpost.decide.waiting import contender
from rackpost.decide.waiting import kind_guard
from rackpost.decide.waiting import orders as orders_mod
from rackpost.gateway import capacity_source
from rackpost.gateway import endpoint_reserver
from rackpost.gateway import large_requests
from rackpost.gateway import reservation as reservation_mod
from rackpost.gateway import wait_estimates
from rackpost.gateway import waiters as waiters_mod
from rackpost import metrics as metrics_mod
from rackpost.routing import endpoints
from rackpost import types

# Capacity may become available without an event, as when the load report of
# another gateway expires; the queue is rechecked at this interval.
_RECHECK_S = 0.05
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
        self._on_waiters_changed = on_waiters_changed
        self._sorter = waiters_mod.WaiterOrders(
            orders=orders or orders_mod.Orders(vm=vm)
        )
        self._metrics = metrics or metrics_mod.Metrics()
        self._capacity_changed = capacity_changed
        self._large = large_requests.LargeRequests(
            chooser=chooser, loads=loads, vm=vm
        )
        self._reserver = endpoint_reserver.EndpointReserver(
            chooser=chooser,
            loads=loads,
            token_timing=token_timing,
            large=self._large,
            sorter=self._sorter,
            on_capacity_changed=capacity_changed.set,
            split=split,
            metrics=self._metrics,
        )
        self._waits = wait_estimates.WaitEstimates(
            chooser=chooser,
            loads=loads,
            token_timing=token_timing,
            reserver=self._reserver,
            sorter=self._sorter,
            vm=vm,
        )
        self._waiters: list[waiters_mod.Waiter] = []
        # Clock reading of the last reservation.
        self._last_reserved_at = self._loop.time()

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
                self._record_unserved(request)
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

        Returns None if the endpoint takes no requests now.
        """
        return self._reserver.reserve_at(request, endpoint)

    def _reject_if_infeasible(
        self, waiter: waiters_mod.Waiter, now: float
    ) -> None:
        request = waiter.request
        wait_s = self._waits.expected_wait_s(self._waiters, request, now)
        if self._sorter.order_for(request).is_hopeless(
            request.waiting_request,
            wait_s,
            lambda: self._waits.pool_state(request, now),
            now,
        ):
            reason = reservation_mod.RefusalReason.HOPELESS
        elif len(self._waiters) > _MAX_WAITING:
            reason = reservation_mod.RefusalReason.QUEUE_FULL
        else:
            return
        self._resolve(waiter, self._no_capacity(waiter, now, reason))

    def _no_capacity(
        self,
        waiter: waiters_mod.Waiter,
        now: float,
        reason: reservation_mod.RefusalReason,
    ) -> reservation_mod.NoCapacity:
        request = waiter.request
        self._token_timing.record_refused()
        wait_s = self._waits.expected_wait_s(self._waiters, request, now)
        jitter = self._rng.random()
        place_s = None
        if self._sorter.contends(request.service):
            place_s = self._sorter.order_for(request).return_in_s(
                wait_s, self._waits.pool_state(request, now), now
            )
        # Places in an order need no spread.
        retry_after_s = queue_order.retry_after_s(
            request.waiting_request,
            wait_s if place_s is None else place_s,
            now,
            jitter if place_s is None else 0.0,
        )
        # A retry before an endpoint takes requests again would fail too.
        retry_after_s = max(
            retry_after_s, self._waits.available_in_s(request, now)
        )
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
            plan = self._reserver.plan_prefill(waiter.request, now)
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
        self,
        waiter: waiters_mod.Waiter,
        plan: endpoint_reserver.PrefillPlan,
        now: float,
    ) -> bool:
        """Whether the capacity is kept for others that are to come."""
        request = waiter.request
        claim = request.waiting_request
        order = self._sorter.order_for(request)
        if not order.yields_to_arrivals(claim, now):
            return False
        pool = self._waits.pool_state(request, now)
        if pool.capacity <= 0:
            return False
        kept = order.kept_for(claim, pool, now)
        if kept is None:
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
            request, endpoint_reserver.reservable_tokens(request), now
        ):
            self._on_waiters_changed()
        return self._large.has_claim(request)

    def _reject_infeasible(self, now: float) -> None:
        """Reject requests that will miss their deadline in the queue."""
        ahead = 0
        for waiter in list(self._waiters):
            request = waiter.request
            available_at = now + self._waits.availability_delay_s(
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
            else:
                ahead += 1

    def _reserve(
        self,
        request: reservation_mod.ReservationRequest,
        plan: endpoint_reserver.PrefillPlan,
        now: float,
        *,
        claimed_only: bool = False,
    ) -> reservation_mod.DecodeReservation | None:
        found = self._reserver.reserve(
            request, plan, now, claimed_only=claimed_only
        )
        if found is not None:
            self._last_reserved_at = now
        return found

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
        plan = self._reserver.plan_prefill(request, now)
        return plan and self._reserve(request, plan, now)

    def _has_precedence(
        self,
        request: reservation_mod.ReservationRequest,
        plan: endpoint_reserver.PrefillPlan,
        now: float,
    ) -> bool:
        """Whether capacity remains after more urgent requests elsewhere."""
        ahead = self._waits.ahead_elsewhere(request, now)
        # Two prompts that one decode endpoint prefills at once delay all its
        # streams, so that prefills in place take turns even among few
        # gateways.
        if ahead == 0 or (
            plan.in_place is None
            and self._loads.gateway_count
            <= fleet_size.MAX_GATEWAYS_WITHOUT_RACES
        ):
            return True
        capacity = self._reserver.decode_capacity(request, plan.in_place, now)
        if plan.prefill_endpoint is not None:
            capacity = min(
                capacity, self._reserver.prefill_capacity(request, now)
            )
        return ahead < capacity

    def _resolve(
        self,
        waiter: waiters_mod.Waiter,
        reservation: (
            reservation_mod.DecodeReservation | reservation_mod.NoCapacity
        ),
    ) -> None:
        self._waiters.remove(waiter)
        if isinstance(reservation, reservation_mod.NoCapacity):
            self._record_unserved(waiter.request)
        waiter.result.set_result(reservation)
        self._on_waiters_changed()

    def _record_unserved(
        self, request: reservation_mod.ReservationRequest
    ) -> None:
        self._sorter.order_for(request).record_unserved(
            request.waiting_request, self._loop.time()
        )
        if self._sorter.contends(request.service):
            self._metrics.count(
                "queue_outcomes", kind_guard.Outcome.UNSERVED, request.service
            )

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
