"""Where generations wait for room at a decode endpoint."""

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

# Room may come without a word, as when a figure of another gateway grows
# old: looked at this often, in seconds.
_LOOK_S = 0.05
# Part of an endpoint's memory that is given away; the rest is for what two
# gateways give away in one moment.  Room for answers that are longer than
# guessed is kept by the forecast, where it depends on how many run.
_FILL = 0.97
# So much may be read at a prefill endpoint before a prompt that is sent
# there, in seconds: some two usual prompts, of which one that is half read
# counts whole, so that the endpoint is kept busy while figures travel.  What
# waits longer waits here, where who can be in time goes first and no KV
# memory is held for it.
_QUEUE_S = 0.25
# Those behind one that finds no room that are looked at.
_LOOK_PAST = 4
# Those that wait that other gateways are told of.
_MOST_TOLD = 6
# Changes that come together are looked at together, in seconds: a part for
# each gateway, of which many tell some hundred changes a second.
_GATHER_EACH_S = 0.0005
# Requests that may wait at one gateway.
_MOST = 512
# Where nothing has begun for so long, in seconds, one request is begun that
# looks hopeless by what was learned: nothing that is refused shows that it
# was learned wrong.
_TRY_S = 1.0


def _usable(wanted: reservation_mod.ReservationRequest) -> int:
    """The part of an endpoint's memory that is given away, in tokens."""
    return int(wanted.memory_tokens * _FILL)


def _nothing() -> None:
    """No turn ends: nothing is read."""


class _Way(NamedTuple):
    """Who reads a prompt: a prefill endpoint, or the one that decodes."""

    reader: endpoints.Endpoint | None
    in_place: endpoint_choice.InPlacePrefill | None


class _Waiter:
    """A generation that waits."""

    def __init__(self, *, wanted: reservation_mod.ReservationRequest) -> None:
        self.wanted = wanted
        self.found: asyncio.Future[
            reservation_mod.DecodeReservation | reservation_mod.NoCapacity
        ] = asyncio.get_running_loop().create_future()


class AdmissionQueue:
    """Gives places away: who can still be in time goes first."""

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
        """`capacity_changed` is set when there may be more room.

        `on_waiters_changed` is called when others should know who waits.
        Without `split` all prompts are read in place.
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
        # When a place was last given, by the loop's clock.
        self._begun_at = self._loop.time()

    def most_urgent_waiters(
        self, now: float
    ) -> tuple[queue_order.WaitingSummary, ...]:
        """Those that wait here and go first."""
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
        """A place, which the caller must release, or word to come back."""
        now = self._loop.time()
        waiter = _Waiter(wanted=wanted)
        self._waiters.append(waiter)
        self._give()
        if not waiter.found.done():
            self._refuse_if_hopeless(waiter, now)
        if not waiter.found.done():
            # The task looks for room from now on.
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
        """The place that a request had just now, if it is still there.

        Nobody takes it in between, and where the endpoint has kept the KV
        cache there is nothing to read, so that no turn is needed.
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
        """How long all decode endpoints still want nothing, in seconds."""
        opens_s = self._chooser.candidates.available_in_s(
            wanted.service, types.Role.DECODE, exclude=wanted.exclude, now=now
        )
        return opens_s or 0.0

    def _expected_wait_s(
        self, wanted: reservation_mod.ReservationRequest, now: float
    ) -> float:
        """How long until it is its turn, in seconds."""
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
            # Nothing has to end first.
            return opening_s
        return opening_s + self._queue_s(wanted, ahead, now)

    def _opening_s(
        self,
        wanted: reservation_mod.ReservationRequest,
        ahead: int,
        now: float,
    ) -> float:
        """How long back-offs and rates hold it up, in seconds.

        `ahead` of it wait here.
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
        """How long those that go before it will take, in seconds."""
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
        # Nobody is told to come back before anything may be sent.
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
            # A smaller one behind it may fit.
            unplaced += 1
            if unplaced >= _LOOK_PAST:
                return

    def _drop_hopeless(self, now: float) -> None:
        """Refuse those that are known to be past their time at their turn."""
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
        """A place for one that looks hopeless, now and then.

        Only for one that would be in time if the figures were wrong, and
        never where a planned stop would cut it if they are right.
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
        """Whether no more go before it elsewhere than there are places."""
        left = queue_order.summarize(wanted.claim, now)
        ahead = self._loads.waiting_ahead(left, self._vm, now)
        # Two prompts read at one time at one endpoint make all that run
        # there late, so that even few gateways take turns.
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
        """How the decode endpoint reads the prompt, if it is to."""
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
        """How its prompt would be read now; None if it can't be."""
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
        """A prefill endpoint that reads the prompt without much delay."""
        return self._chooser.choose_prefill(
            wanted.service,
            wanted.run.held_tokens,
            max_ahead_tokens=self._pace.prefill_tokens_in(_QUEUE_S),
            now=now,
        )

    def _turn_to_read(
        self, endpoint: endpoints.Endpoint, prompt: int
    ) -> Callable[[], None]:
        """Take the turn to read a prompt; what is returned ends it."""
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
        """Give places away as room comes, until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_LOOK_S if self._waiters else None):
                    await self._changed.wait()
                await asyncio.sleep(_GATHER_EACH_S * self._loads.gateway_count)
            self._changed.clear()
            self._give()
