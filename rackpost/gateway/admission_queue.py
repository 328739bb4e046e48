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
from rackpost.gateway import reservation as reservation_mod
from rackpost.routing import endpoints
from rackpost import types

# Capacity may become available without an event, as when the load report of
# another gateway expires; the queue is rechecked at this interval.
_LOOK_S = 0.05
# Share of an endpoint's KV memory that is reserved.  The rest absorbs
# reservations that two gateways make at the same moment; the KV forecast
# accounts for answers that are longer than estimated.
_FILL = 0.97
# Longest queue of a prefill endpoint that still gets a prompt, in seconds of
# prefill work.  It keeps the endpoint busy while load reports travel; longer
# queues form here, ordered by deadline and holding no KV memory.
_QUEUE_S = 0.25
# Waiting requests without a fitting endpoint that one pass looks at.
_LOOK_PAST = 4
# Waiting requests that are reported to other gateways.
_MOST_TOLD = 6
# Delay per gateway, in seconds, so that changes that arrive together are
# handled in one pass: a large fleet sends hundreds of reports a second.
_GATHER_EACH_S = 0.0005
_MOST = 512
# When nothing was admitted for this long, in seconds, one request that seems
# infeasible is admitted: rejected requests never correct a wrong estimate.
_TRY_S = 1.0


def _usable(wanted: reservation_mod.ReservationRequest) -> int:
    """Return the part of an endpoint's KV memory to reserve, in tokens."""
    return int(wanted.memory_tokens * _FILL)


def _nothing() -> None:
    """Release nothing: no prompt is prefilled."""


class _Way(NamedTuple):
    """A prefill endpoint, or the terms of a prefill in place."""

    reader: endpoints.Endpoint | None
    in_place: endpoint_choice.InPlacePrefill | None


class _Waiter:
    """A waiting generation and the future of its result."""

    def __init__(self, *, wanted: reservation_mod.ReservationRequest) -> None:
        self.wanted = wanted
        self.found: asyncio.Future[
            reservation_mod.DecodeReservation | reservation_mod.NoCapacity
        ] = asyncio.get_running_loop().create_future()


class AdmissionQueue:
    """Reserves decode endpoints for waiting generations, by deadline."""

    def __init__(
        self,
        *,
        chooser: endpoint_choice.Chooser,
        loads: endpoint_load.LoadTable,
        pace: token_timing_mod.TokenTiming,
        rng: random.Random,
        vm: types.VmId,
        capacity_changed: asyncio.Event,
        on_waiters_changed: Callable[[], None],
        split: bool = True,
    ) -> None:
        """`changed` is set when capacity may be available.

        `waiters_changed` is called when the waiting requests that are reported
        to other gateways have changed.  Without `split` all prompts are
        prefilled in place.
        """
        self._loop = asyncio.get_running_loop()
        self._chooser = chooser
        self._loads = loads
        self._pace = pace
        self._rng = rng
        self._vm = vm
        self._waiters_changed = on_waiters_changed
        self._split = split
        self._changed = capacity_changed
        self._waiters: list[_Waiter] = []
        # Clock reading of the last reservation.
        self._begun_at = self._loop.time()

    def most_urgent_waiters(
        self, now: float
    ) -> tuple[queue_order.WaitingSummary, ...]:
        """Return the waiting requests to report, most urgent first."""
        found = [
            queue_order.summarize(waiter.wanted.claim, now)
            for waiter in self._waiters
            if not waiter.found.done()
        ]
        found.sort(key=lambda item: item.rank(0.0))
        return tuple(found[:_MOST_TOLD])

    async def reserve(
        self, wanted: reservation_mod.ReservationRequest
    ) -> reservation_mod.DecodeReservation | reservation_mod.NoCapacity:
        """Wait for a reservation, which the caller must release.

        Returns NoCapacity where the request can't be served in time.
        """
        now = self._loop.time()
        waiter = _Waiter(wanted=wanted)
        self._waiters.append(waiter)
        self._give()
        if not waiter.found.done():
            self._refuse_if_hopeless(waiter, now)
        if not waiter.found.done():
            # `run` retries from now on.
            self._changed.set()
            self._waiters_changed()
        try:
            return await waiter.found
        except asyncio.CancelledError:
            self._give_back(waiter)
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
                self._waiters_changed()

    def reserve_at(
        self,
        wanted: reservation_mod.ReservationRequest,
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
            free=self._loads.add_request(endpoint.id, run=wanted.run),
            end_turn=_nothing,
            changed=self._changed.set,
            reserved_at=now,
        )

    def _refuse_if_hopeless(self, waiter: _Waiter, now: float) -> None:
        claim = waiter.wanted.claim
        wait_s = self._expected_wait_s(waiter.wanted, now)
        hopeless = queue_order.will_be_infeasible(claim, wait_s, now)
        if hopeless or len(self._waiters) > _MOST:
            self._settle(waiter, self._full(waiter.wanted, now))

    def _opens_s(
        self, wanted: reservation_mod.ReservationRequest, now: float
    ) -> float:
        """Return the time until a decode endpoint takes requests again.

        In seconds; 0 if one does now.
        """
        opens_s = self._chooser.candidates.available_in_s(
            wanted.service, types.Role.DECODE, exclude=wanted.exclude, now=now
        )
        return opens_s or 0.0

    def _expected_wait_s(
        self, wanted: reservation_mod.ReservationRequest, now: float
    ) -> float:
        """Return the expected time until a request is admitted."""
        mine = queue_order.rank_of(wanted.claim, now)
        ahead = sum(
            queue_order.rank_of(item.wanted.claim, now) <= mine
            for item in self._waiters
            if item.wanted is not wanted
        )
        opening_s = self._opening_s(wanted, ahead, now)
        if (
            opening_s > 0.0
            and self._chooser.free_decode_slots(wanted.service, now) > ahead
        ):
            # Capacity is free; no running generation has to end first.
            return opening_s
        return opening_s + self._queue_s(wanted, ahead, now)

    def _opening_s(
        self,
        wanted: reservation_mod.ReservationRequest,
        ahead: int,
        now: float,
    ) -> float:
        """Return the delay by back-offs and named rates, in seconds.

        `ahead` waiting requests of this gateway have precedence.
        """
        opens_s = self._opens_s(wanted, now)
        found = self._chooser.candidates
        role = types.Role.DECODE
        per_s = found.own_rate_per_s(
            wanted.service, role, exclude=wanted.exclude, now=now
        )
        if opens_s <= 0.0 and per_s is None:
            return 0.0
        return plain_queue.expected_wait_s(
            ahead=ahead,
            count=len(found.members(wanted.service, role)),
            answer_s=wanted.claim.start_s,
            available_in_s=opens_s,
            rate_per_s=per_s,
        )

    def _queue_s(
        self,
        wanted: reservation_mod.ReservationRequest,
        ahead: int,
        now: float,
    ) -> float:
        """Return how long the requests ahead will take, in seconds."""
        left = queue_order.summarize(wanted.claim, now)
        return queue_order.expected_wait_s(
            ahead=ahead + self._loads.waiting_ahead(left, self._vm, now),
            running=self._chooser.running_generations(wanted.service, now),
            run_s=self._pace.run_s,
        )

    def _full(
        self, wanted: reservation_mod.ReservationRequest, now: float
    ) -> reservation_mod.NoCapacity:
        wait_s = self._expected_wait_s(wanted, now)
        chance = self._rng.random()
        after = queue_order.retry_after_s(wanted.claim, wait_s, now, chance)
        # A retry before an endpoint takes requests again would fail too.
        after = max(after, self._opens_s(wanted, now))
        return reservation_mod.NoCapacity(
            retry_after_s=after, expected_wait_s=wait_s
        )

    def _give_back(self, waiter: _Waiter) -> None:
        if waiter.found.done() and not waiter.found.cancelled():
            place = waiter.found.result()
            if isinstance(place, reservation_mod.DecodeReservation):
                place.release()

    def _give(self) -> None:
        now = self._loop.time()
        self._waiters.sort(
            key=lambda item: queue_order.rank_of(item.wanted.claim, now)
        )
        self._drop_hopeless(now)
        unplaced = 0
        for waiter in list(self._waiters):
            if waiter.found.done():
                continue
            way = self._way(waiter.wanted, now)
            if way is not None and not self._is_next(waiter.wanted, way, now):
                return
            place = way and self._place(waiter.wanted, way, now)
            if place is not None:
                self._settle(waiter, place)
                continue
            # A smaller request behind it may fit.
            unplaced += 1
            if unplaced >= _LOOK_PAST:
                return

    def _drop_hopeless(self, now: float) -> None:
        """Reject requests that will miss their deadline in the queue."""
        ahead = 0
        for waiter in list(self._waiters):
            wanted = waiter.wanted
            opens = now + self._opening_s(wanted, ahead, now)
            if waiter.found.done():
                continue
            if queue_order.is_infeasible(wanted.claim, opens):
                place = self._try(wanted, now)
                self._settle(waiter, place or self._full(wanted, now))
            else:
                ahead += 1

    def _try(
        self, wanted: reservation_mod.ReservationRequest, now: float
    ) -> reservation_mod.DecodeReservation | None:
        """Occasionally reserve for a request that seems infeasible.

        It must be feasible if the estimates are wrong, and no planned stop may
        interrupt it if they are right.
        """
        claim = wanted.claim
        if now < self._begun_at + _TRY_S or now >= claim.target:
            return None
        if claim.gateway_stopping:
            return None
        way = self._way(wanted, now)
        return way and self._place(wanted, way, now)

    def _is_next(
        self, wanted: reservation_mod.ReservationRequest, way: _Way, now: float
    ) -> bool:
        """Whether capacity is left after the requests ahead elsewhere."""
        left = queue_order.summarize(wanted.claim, now)
        ahead = self._loads.waiting_ahead(left, self._vm, now)
        # Two prompts that one decode endpoint prefills at once delay all its
        # streams, so that prefills in place take turns even among few
        # gateways.
        if ahead == 0 or (
            way.in_place is None
            and self._loads.gateway_count
            <= fleet_size.MAX_GATEWAYS_WITHOUT_RACES
        ):
            return True
        places = self._chooser.decode_capacity(
            wanted.service,
            wanted.run,
            _usable(wanted),
            in_place=way.in_place,
            now=now,
        )
        if way.in_place is None:
            places = min(places, self._prefill_places(wanted, now))
        return ahead < places

    def _prefill_places(
        self, wanted: reservation_mod.ReservationRequest, now: float
    ) -> int:
        return self._chooser.prefill_capacity(
            wanted.service, self._pace.prefill_tokens_in(_QUEUE_S), now
        )

    def _in_place(
        self, wanted: reservation_mod.ReservationRequest, now: float
    ) -> endpoint_choice.InPlacePrefill | None:
        """Return the terms of a prefill in place, if one is due."""
        read_apart = self._split and not wanted.in_place
        if read_apart and not self._chooser.must_prefill_in_place(
            wanted.service, now
        ):
            return None
        return endpoint_choice.InPlacePrefill(
            min_interval_s=wanted.event_interval_s
        )

    def _way(
        self, wanted: reservation_mod.ReservationRequest, now: float
    ) -> _Way | None:
        """Return how the prompt can be prefilled now, None if it can't."""
        in_place = self._in_place(wanted, now)
        if in_place is not None:
            return _Way(None, in_place)
        reader = self._reader(wanted, now)
        return None if reader is None else _Way(reader, None)

    def _place(
        self, wanted: reservation_mod.ReservationRequest, way: _Way, now: float
    ) -> reservation_mod.DecodeReservation | None:
        endpoint = self._chooser.choose_decode(
            wanted.service,
            wanted.run,
            _usable(wanted),
            in_place=way.in_place,
            exclude=wanted.exclude,
            now=now,
        )
        if endpoint is None:
            return None
        self._begun_at = now
        free = self._loads.add_request(endpoint.id, run=wanted.run)
        self._chooser.candidates.record_selection(endpoint, now)
        if way.reader is None:
            end_turn = self._turn_to_read(endpoint, wanted.run.held_tokens)
        else:
            self._chooser.candidates.record_selection(way.reader, now)
            end_turn = self._loads.add_request(
                way.reader.id, prompt=wanted.run.held_tokens
            )
        return reservation_mod.DecodeReservation(
            endpoint=endpoint,
            prefill_endpoint=way.reader,
            free=free,
            end_turn=end_turn,
            changed=self._changed.set,
            reserved_at=now,
        )

    def _reader(
        self, wanted: reservation_mod.ReservationRequest, now: float
    ) -> endpoints.Endpoint | None:
        """Return a prefill endpoint with a short queue, None without one."""
        return self._chooser.choose_prefill(
            wanted.service,
            wanted.run.held_tokens,
            max_ahead_tokens=self._pace.prefill_tokens_in(_QUEUE_S),
            now=now,
        )

    def _turn_to_read(
        self, endpoint: endpoints.Endpoint, prompt: int
    ) -> Callable[[], None]:
        """Reserve a prefill in place; return what releases it."""
        release = self._loads.add_request(endpoint.id, prompt=prompt)

        def end_turn() -> None:
            release()
            self._loads.record_prefilled(endpoint.id, self._loop.time())

        return end_turn

    def _settle(
        self,
        waiter: _Waiter,
        place: reservation_mod.DecodeReservation | reservation_mod.NoCapacity,
    ) -> None:
        self._waiters.remove(waiter)
        waiter.found.set_result(place)
        self._waiters_changed()

    async def run(self) -> None:
        """Admit requests as capacity becomes available, until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_LOOK_S if self._waiters else None):
                    await self._changed.wait()
                await asyncio.sleep(_GATHER_EACH_S * self._loads.gateway_count)
            self._changed.clear()
            self._give()
