"""Where generations wait for room at a decode endpoint."""

import asyncio
import contextlib
import random
from typing import Callable
from typing import Sequence

import msgspec

from rackpost.decide import endpoint_choice
from rackpost.decide import endpoint_load
from rackpost.decide import kv_forecast
from rackpost.decide import pace as pace_mod
from rackpost.decide import waiting
from rackpost.routing import endpoints
from rackpost import types

# Room may come without a word, as when a figure of another gateway grows
# old: looked at this often, in seconds.
_LOOK_S = 0.05
# Part of an endpoint's memory that is given away; the rest is for what two
# gateways give away in one moment.  With 0.9 fewer runs were preempted under
# load (7 for 24), but a quiet day's bursts waited (worth 0.81 for 0.90).
FILL = 0.97
# With fewer other gateways than this a race for a place is rare, and waiting
# for each other's word costs more (trials: worth 0.21 for 0.14).
_FEW = 8
# Those behind one that finds no room that are looked at.
_LOOK_PAST = 4
# Those that wait that other gateways are told of.
_MOST_TOLD = 6
# Changes that come together are looked at together, in seconds: a part for
# each gateway, of which many tell some hundred changes a second.
_GATHER_EACH_S = 0.0005
# Requests that may wait at one gateway.
MOST = 512


class Wanted(msgspec.Struct, frozen=True, kw_only=True):
    """What a generation needs.

    Attributes:
        but: endpoints that it has tried.
        event_s: how long an endpoint takes for one event of a stream.
        in_place: its prompt was not to be read elsewhere.
    """

    service: types.ServiceName
    capacity: int
    run: kv_forecast.Run
    but: Sequence[types.EndpointId]
    claim: waiting.Claim
    event_s: float = 0.0
    in_place: bool = False


class Place(msgspec.Struct, frozen=True, kw_only=True):
    """Room at an endpoint, until released.

    `was_read` is called when the prompt has been read, if not before;
    with `in_place` it is the endpoint's turn to read it itself.
    """

    endpoint: endpoints.Endpoint
    in_place: bool
    release: Callable[[], None]
    was_read: Callable[[], None]


class Full(msgspec.Struct, frozen=True, kw_only=True):
    """No room soon enough; when to come back, in seconds."""

    come_back_s: float
    expected_wait_s: float


def _nothing() -> None:
    """A prefill endpoint reads the prompt."""


class _Waiter:
    """A generation that waits."""

    def __init__(self, *, wanted: Wanted) -> None:
        self.wanted = wanted
        self.found: asyncio.Future[Place | Full] = (
            asyncio.get_running_loop().create_future()
        )


class Room:
    """Gives places away: who can still be in time goes first."""

    def __init__(
        self,
        *,
        chooser: endpoint_choice.Chooser,
        loads: endpoint_load.LoadBook,
        pace: pace_mod.Pace,
        rng: random.Random,
        vm: types.VmId,
        changed: asyncio.Event,
        waiters_changed: Callable[[], None],
        split: bool = True,
    ) -> None:
        """`changed` is set when there may be more room.

        `waiters_changed` is called when others should know who waits.
        Without `split` all prompts are read in place.
        """
        self._loop = asyncio.get_running_loop()
        self._chooser = chooser
        self._loads = loads
        self._pace = pace
        self._rng = rng
        self._vm = vm
        self._waiters_changed = waiters_changed
        self._split = split
        self._changed = changed
        self._waiters: list[_Waiter] = []
        self._luck = waiting.Luck()

    @property
    def count(self) -> int:
        """How many generations wait."""
        return len(self._waiters)

    async def wait(self, wanted: Wanted) -> Place | Full:
        """A place, which the caller must release, or word to come back."""
        now = self._loop.time()
        waiter = _Waiter(wanted=wanted)
        self._waiters.append(waiter)
        self._give()
        if not waiter.found.done():
            self._refuse_who_would_be_late(waiter, now)
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

    def _refuse_who_would_be_late(self, waiter: _Waiter, now: float) -> None:
        claim = waiter.wanted.claim
        wait_s = self._expected_wait_s(waiter.wanted, now)
        sent_back = self._luck.is_enough(now) and waiting.should_come_back(
            claim, wait_s, now
        )
        if sent_back or len(self._waiters) > MOST:
            self._settle(waiter, self._full(waiter.wanted, now))

    def _expected_wait_s(self, wanted: Wanted, now: float) -> float:
        ahead = len(self._waiters) - 1 + self._loads.waiting()
        return waiting.expected_wait_s(
            ahead=max(0, ahead),
            running=self._chooser.running(wanted.service, now),
            run_s=self._pace.run_s,
        )

    def _full(self, wanted: Wanted, now: float) -> Full:
        wait_s = self._expected_wait_s(wanted, now)
        chance = self._rng.random()
        after = waiting.come_back_s(wanted.claim, wait_s, now, chance)
        return Full(come_back_s=after, expected_wait_s=wait_s)

    def _give_back(self, waiter: _Waiter) -> None:
        if waiter.found.done() and not waiter.found.cancelled():
            place = waiter.found.result()
            if isinstance(place, Place):
                place.release()

    def _give(self) -> None:
        now = self._loop.time()
        self._drop_hopeless(now)
        self._waiters.sort(
            key=lambda item: waiting.order(item.wanted.claim, now)
        )
        unplaced = 0
        for waiter in list(self._waiters):
            if waiter.found.done():
                continue
            if not self._is_next(waiter.wanted, now):
                return
            place = self._place(waiter.wanted, now)
            if place is not None:
                self._settle(waiter, place)
                continue
            # A smaller one behind it may fit.
            unplaced += 1
            if unplaced >= _LOOK_PAST:
                return

    def _drop_hopeless(self, now: float) -> None:
        for waiter in list(self._waiters):
            hopeless = waiting.is_hopeless(waiter.wanted.claim, now)
            if hopeless and not waiter.found.done():
                self._settle(waiter, self._full(waiter.wanted, now))

    def _is_next(self, wanted: Wanted, now: float) -> bool:
        """Whether no more go before it elsewhere than there are places."""
        left = waiting.left(wanted.claim, now)
        ahead = self._loads.ahead(left, self._vm, now)
        in_place = self._in_place(wanted, now)
        # Two prompts read at one time at one endpoint make all that run
        # there late, so that even few gateways take turns.
        if ahead == 0 or (in_place is None and self._loads.tellers < _FEW):
            return True
        places = self._chooser.places(
            wanted.service,
            wanted.run,
            int(wanted.capacity * FILL),
            in_place=in_place,
            now=now,
        )
        return ahead < places

    def _in_place(
        self, wanted: Wanted, now: float
    ) -> endpoint_choice.InPlace | None:
        """How the decode endpoint reads the prompt, if it is to."""
        read_apart = self._split and not wanted.in_place
        if read_apart and not self._chooser.reads_in_place(
            wanted.service, now
        ):
            return None
        return endpoint_choice.InPlace(rest_s=wanted.event_s)

    def first(self, now: float) -> tuple[waiting.Left, ...]:
        """Those that wait here and go first."""
        found = [
            waiting.left(waiter.wanted.claim, now)
            for waiter in self._waiters
            if not waiter.found.done()
        ]
        found.sort(key=lambda item: item.rank(0.0))
        return tuple(found[:_MOST_TOLD])

    def _place(self, wanted: Wanted, now: float) -> Place | None:
        in_place = self._in_place(wanted, now)
        if in_place is None and not self._chooser.can_prefill(
            wanted.service, now
        ):
            return None
        endpoint = self._chooser.decode(
            wanted.service,
            wanted.run,
            int(wanted.capacity * FILL),
            in_place=in_place,
            but=wanted.but,
            now=now,
        )
        if endpoint is None:
            return None
        held = self._loads.hold(endpoint.id, run=wanted.run)
        reading = _nothing
        if in_place is not None:
            reading = self._reading(endpoint, wanted.run.size)
        return self._held(endpoint, held, reading, in_place is not None)

    def _reading(
        self, endpoint: endpoints.Endpoint, prompt: int
    ) -> Callable[[], None]:
        release = self._loads.hold(endpoint.id, prompt=prompt)

        def was_read() -> None:
            release()
            self._loads.note_read(endpoint.id, self._loop.time())

        return was_read

    def _held(
        self,
        endpoint: endpoints.Endpoint,
        held: Callable[[], None],
        reading: Callable[[], None],
        in_place: bool,
    ) -> Place:
        done = False

        def was_read() -> None:
            nonlocal done
            if not done:
                done = True
                reading()
                self._changed.set()

        def release() -> None:
            was_read()
            held()
            self._changed.set()

        return Place(
            endpoint=endpoint,
            in_place=in_place,
            release=release,
            was_read=was_read,
        )

    def _settle(self, waiter: _Waiter, place: Place | Full) -> None:
        self._waiters.remove(waiter)
        waiter.found.set_result(place)
        self._waiters_changed()
        claim = waiter.wanted.claim
        if claim.came_back:
            now = self._loop.time()
            in_time = now + claim.start_s <= claim.target
            self._luck.ended(
                in_time=in_time and isinstance(place, Place), now=now
            )

    async def run(self) -> None:
        """Give places away as room comes, until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_LOOK_S if self._waiters else None):
                    await self._changed.wait()
                await asyncio.sleep(_GATHER_EACH_S * self._loads.tellers)
            self._changed.clear()
            self._give()
