"""Generations that wait for capacity at a decode endpoint."""

import asyncio
import contextlib
import random
from typing import Callable
from typing import NamedTuple

from rackpost.decide import endpoint_choice
from rackpost.decide import endpoint_load
from rackpost.decide import fleet_size
from rackpost.decide import plain_queue
from rackpost.decide import queue_order
from rackpost.decide import token_timing as token_timing_mod
from rackpost.gateway import capacity_source
from rackpost.gateway import reservation as reservation_mod
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


def _reservable_tokens(request: reservation_mod.ReservationRequest) -> int:
    """Return the part of an endpoint's KV memory to reserve, in tokens."""
    return int(request.memory_tokens * _RESERVABLE_SHARE)


def _release_nothing() -> None:
    """Release nothing: no prompt is prefilled."""


class _PrefillPlan(NamedTuple):
    """A prefill endpoint, or the terms of a prefill in place."""

    prefill_endpoint: endpoints.Endpoint | None
    in_place: endpoint_choice.InPlacePrefill | None


class _Waiter:
    """A waiting generation and the future of its result."""

    def __init__(self, *, request: reservation_mod.ReservationRequest) -> None:
        self.request = request
        self.result: asyncio.Future[
            reservation_mod.DecodeReservation | reservation_mod.NoCapacity
        ] = asyncio.get_running_loop().create_future()


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
    ) -> None:
        """`capacity_changed` is set when capacity may be available.

        `on_waiters_changed` is called when the waiting requests that are
        reported to other gateways have changed.  Without `split` all prompts
        are prefilled in place.
        """
        self._loop = asyncio.get_running_loop()
        self._chooser = chooser
        self._loads = loads
        self._token_timing = token_timing
        self._rng = rng
        self._vm = vm
        self._on_waiters_changed = on_waiters_changed
        self._split = split
        self._capacity_changed = capacity_changed
        self._waiters: list[_Waiter] = []
        # Clock reading of the last reservation.
        self._last_reserved_at = self._loop.time()

    def most_urgent_waiters(
        self, now: float
    ) -> tuple[queue_order.WaitingSummary, ...]:
        """Return the waiting requests to report, most urgent first."""
        summaries = [
            queue_order.summarize(waiter.request.waiting_request, now)
            for waiter in self._waiters
            if not waiter.result.done()
        ]
        summaries.sort(key=lambda item: item.rank(0.0))
        return tuple(summaries[:_MAX_REPORTED])

    async def reserve(
        self, request: reservation_mod.ReservationRequest
    ) -> reservation_mod.DecodeReservation | reservation_mod.NoCapacity:
        """Wait for a reservation, which the caller must release.

        Returns NoCapacity where the request can't be served in time.
        """
        now = self._loop.time()
        waiter = _Waiter(request=request)
        self._waiters.append(waiter)
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
            release_capacity=self._loads.add_request(
                endpoint.id, run=request.run
            ),
            release_prefill=_release_nothing,
            on_change=self._capacity_changed.set,
            reserved_at=now,
        )

    def _reject_if_infeasible(self, waiter: _Waiter, now: float) -> None:
        claim = waiter.request.waiting_request
        wait_s = self._expected_wait_s(waiter.request, now)
        infeasible = queue_order.will_be_infeasible(claim, wait_s, now)
        if infeasible or len(self._waiters) > _MAX_WAITING:
            self._resolve(waiter, self._no_capacity(waiter.request, now))

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
        rank = queue_order.rank_of(request.waiting_request, now)
        ahead = sum(
            queue_order.rank_of(item.request.waiting_request, now) <= rank
            for item in self._waiters
            if item.request is not request
        )
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
        summary = queue_order.summarize(request.waiting_request, now)
        return queue_order.expected_wait_s(
            ahead=ahead + self._loads.waiting_ahead(summary, self._vm, now),
            running=self._chooser.running_generations(request.service, now),
            run_s=self._token_timing.generation_s,
        )

    def _no_capacity(
        self, request: reservation_mod.ReservationRequest, now: float
    ) -> reservation_mod.NoCapacity:
        wait_s = self._expected_wait_s(request, now)
        jitter = self._rng.random()
        retry_after_s = queue_order.retry_after_s(
            request.waiting_request, wait_s, now, jitter
        )
        # A retry before an endpoint takes requests again would fail too.
        retry_after_s = max(retry_after_s, self._available_in_s(request, now))
        return reservation_mod.NoCapacity(
            retry_after_s=retry_after_s, expected_wait_s=wait_s
        )

    def _release(self, waiter: _Waiter) -> None:
        if waiter.result.done() and not waiter.result.cancelled():
            reservation = waiter.result.result()
            if isinstance(reservation, reservation_mod.DecodeReservation):
                reservation.release()

    def _admit(self) -> None:
        now = self._loop.time()
        self._waiters.sort(
            key=lambda item: queue_order.rank_of(
                item.request.waiting_request, now
            )
        )
        self._reject_infeasible(now)
        unplaced = 0
        for waiter in list(self._waiters):
            if waiter.result.done():
                continue
            plan = self._plan_prefill(waiter.request, now)
            if plan is not None and not self._has_precedence(
                waiter.request, plan, now
            ):
                return
            reservation = plan and self._reserve(waiter.request, plan, now)
            if reservation is not None:
                self._resolve(waiter, reservation)
                continue
            # A smaller request behind it may fit.
            unplaced += 1
            if unplaced >= _MAX_UNPLACED:
                return

    def _reject_infeasible(self, now: float) -> None:
        """Reject requests that will miss their deadline in the queue."""
        ahead = 0
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
                    waiter, reservation or self._no_capacity(request, now)
                )
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
        summary = queue_order.summarize(request.waiting_request, now)
        ahead = self._loads.waiting_ahead(summary, self._vm, now)
        # Two prompts that one decode endpoint prefills at once delay all its
        # streams, so that prefills in place take turns even among few
        # gateways.
        if ahead == 0 or (
            plan.in_place is None
            and self._loads.gateway_count
            <= fleet_size.MAX_GATEWAYS_WITHOUT_RACES
        ):
            return True
        capacity = self._chooser.decode_capacity(
            request.service,
            request.run,
            _reservable_tokens(request),
            in_place=plan.in_place,
            now=now,
        )
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
    ) -> reservation_mod.DecodeReservation | None:
        endpoint = self._chooser.choose_decode(
            request.service,
            request.run,
            _reservable_tokens(request),
            in_place=plan.in_place,
            exclude=request.exclude,
            now=now,
        )
        if endpoint is None:
            return None
        self._last_reserved_at = now
        release_capacity = self._loads.add_request(
            endpoint.id, run=request.run
        )
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
        waiter: _Waiter,
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
