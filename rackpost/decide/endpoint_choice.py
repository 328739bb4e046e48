"""Which endpoint a gateway sends a request to.  Pure."""

import math
import random
from typing import NamedTuple
from typing import Sequence

from rackpost.decide import candidates as candidates_mod
from rackpost.decide import endpoint_health
from rackpost.decide import endpoint_load
from rackpost.decide import fleet_size
from rackpost.decide import kv_forecast
from rackpost.routing import endpoints
from rackpost import types

# An endpoint in another data centre is taken when it is less loaded by
# more than this part; bytes between data centres are dear.
_REMOTE_X = 1.15
# A usual time of an answer until one was measured, in seconds.
_USUAL_S = 0.1
# Choices that differ by less than this part are as good as equal; ties are
# broken at random, so that gateways do not act alike.
_JITTER = 0.02
# Where each endpoint that is well has so many times what it works on at once,
# those that have just failed are chosen from as well: many gateways see one
# fail all the time that loses a part of its answers, and tell each other, so
# that the others had its work and theirs, for longer than callers wait.
_CROWDED_ROUNDS = 1.5
# Plain endpoints where the wait is longer than the least by this factor are
# not chosen by chance: they are slow, or lose answers.
_ALIKE_X = 3.0
# A prefill endpoint that may be sent prompts again so soon is waited for, in
# seconds: read in place, a usual prompt takes longer than that.
_SHORT_S = 0.2
# Places at one endpoint that are counted; more make no difference to who
# goes first.
_MOST_PLACES = 3


class InPlacePrefill(NamedTuple):
    """A prompt that a decode endpoint reads itself.

    It holds up the tokens of all that run there: one is read at a time,
    and those that run make an event in between, in `min_interval_s` seconds.
    """

    min_interval_s: float


class Chooser:
    """Chooses among the endpoints that are known to one gateway."""

    def __init__(
        self,
        *,
        candidates: candidates_mod.Candidates,
        loads: endpoint_load.LoadTable,
        health: endpoint_health.HealthTracker,
        data_centre: types.DataCentre,
        rng: random.Random,
    ) -> None:
        self.candidates = candidates
        self._loads = loads
        self._health = health
        self._data_centre = data_centre
        self._rng = rng
        self._gateways = 1

    def set_gateways(self, count: int) -> None:
        """So many gateways choose among the same endpoints."""
        self._gateways = count

    def choose_plain(
        self,
        service: types.ServiceName,
        *,
        exclude: Sequence[types.EndpointId] = (),
        now: float,
    ) -> endpoints.Endpoint | None:
        """The endpoint of a plain service where the wait is least."""
        found = self.candidates.find(
            service, types.Role.PLAIN, exclude=exclude, now=now
        )
        if all(self._is_crowded(item) for item in found):
            found = self.candidates.find(
                service,
                types.Role.PLAIN,
                exclude=exclude,
                now=now,
                include_failed=True,
            )
        with_room = self._with_room(found, now)
        if not all(self._is_crowded(item) for item in with_room):
            found = with_room
        usual = self._usual_s(found)
        waits = [(self._wait(item, usual), item) for item in found]
        most = _ALIKE_X * min((wait for wait, _ in waits), default=0.0)
        return self._least([pair for pair in waits if pair[0] <= most])

    def _with_room(
        self, found: list[endpoints.Endpoint], now: float
    ) -> list[endpoints.Endpoint]:
        """Those that have not just turned a request away, here or elsewhere.

        One that turns away within a millisecond has the least under way and
        would look the best to the next request.  Used all the same where the
        others are crowded, since it may turn away a part only: on eleven days
        with plain endpoints that turned away a third of requests to all of
        them, 194 of 27,500 callers were refused in place of 643; without the
        others' crowding in view 801.
        """
        return [
            item
            for item in found
            if not self._health.is_full(item.id, now)
            and not self._health.has_reported_backoff(item.id, now)
        ]

    def _is_crowded(self, item: endpoints.Endpoint) -> bool:
        """Whether so much waits there that one that fails serves better."""
        under_way = self._loads.total(item.id).requests
        return under_way >= _CROWDED_ROUNDS * item.slots

    def choose_prefill(
        self,
        service: types.ServiceName,
        prompt: int,
        *,
        exclude: Sequence[types.EndpointId] = (),
        max_ahead_tokens: int | None = None,
        now: float,
    ) -> endpoints.Endpoint | None:
        """The prefill endpoint with the least to read before `prompt`.

        None where there is none with a free slot, and at most
        `max_ahead_tokens` tokens to read first.
        """
        found = self._prefilling(service, exclude, now)
        usual = self._usual_s(found)
        free = []
        for item in found:
            if not self._takes_prompt(item, max_ahead_tokens, now):
                continue
            slow = self._health.slowness(item.id, usual)
            ahead = self._loads.total(item.id).prompt_tokens
            wait = (ahead + prompt) * slow * self._far(item)
            free.append((wait, item))
        return self._least(self._spared(free, now))

    def _prefilling(
        self,
        service: types.ServiceName,
        but: Sequence[types.EndpointId],
        now: float,
    ) -> list[endpoints.Endpoint]:
        # Where all of them fail, prompts are read in place at once: four
        # gateways went on sending to one that refused connections.
        return self.candidates.find(
            service,
            types.Role.PREFILL,
            exclude=but,
            now=now,
            healthy_only=True,
        )

    def _takes_prompt(
        self, item: endpoints.Endpoint, most_ahead: int | None, now: float
    ) -> bool:
        use = self._loads.total(item.id)
        if use.requests >= item.slots or self._health.is_full(item.id, now):
            return False
        return most_ahead is None or use.prompt_tokens <= most_ahead

    def _least(
        self, found: list[tuple[float, endpoints.Endpoint]]
    ) -> endpoints.Endpoint | None:
        """The endpoint with the least figure, spread over gateways.

        Many gateways, whose figures are some milliseconds old, of plain
        requests up to a second, would all take the least: of two at random
        each takes the lesser.
        """
        if self._gateways > fleet_size.MAX_GATEWAYS_WITHOUT_RACES:
            self._rng.shuffle(found)
            del found[2:]
        best = min(found, key=lambda pair: pair[0], default=None)
        return best[1] if best else None

    def choose_decode(
        self,
        service: types.ServiceName,
        run: kv_forecast.Run,
        capacity: int,
        *,
        in_place: InPlacePrefill | None = None,
        exclude: Sequence[types.EndpointId] = (),
        now: float,
    ) -> endpoints.Endpoint | None:
        """The decode endpoint with the most room; None if none has it.

        `capacity` is the KV memory of each endpoint, in tokens.
        """
        found = self.candidates.find(
            service, types.Role.DECODE, exclude=exclude, now=now
        )
        fitting = []
        for item in found:
            peak = self._peak_with(item, [run], capacity, in_place, now)
            if peak is not None:
                fitting.append((peak * self._far(item), item))
        return self._least(self._spared(fitting, now))

    def _spared(
        self, found: list[tuple[float, endpoints.Endpoint]], now: float
    ) -> list[tuple[float, endpoints.Endpoint]]:
        """Without those that other gateways are to leave alone.

        They would ask this one for the same, after a prompt was read.  All
        where there is no other.
        """
        rest = [
            pair
            for pair in found
            if not self._health.has_reported_backoff(pair[1].id, now)
        ]
        return rest or found

    def _peak_with(
        self,
        item: endpoints.Endpoint,
        runs: list[kv_forecast.Run],
        capacity: int,
        in_place: InPlacePrefill | None,
        now: float,
    ) -> int | None:
        """How full it would get with further runs; None if it can't."""
        if self._health.is_full(item.id, now):
            return None
        use = self._loads.total(item.id)
        if use.requests + len(runs) > item.slots:
            return None
        if in_place is not None:
            may_read = self._may_read(item, use, in_place, now)
            if len(runs) > 1 or not may_read:
                return None
        peak = kv_forecast.peak_tokens([*use.runs, *runs])
        return peak if peak <= capacity else None

    def _may_read(
        self,
        item: endpoints.Endpoint,
        use: endpoint_load.EndpointLoad,
        in_place: InPlacePrefill,
        now: float,
    ) -> bool:
        """Whether it is the turn of one more prompt to be read there."""
        if use.prompt_tokens > 0:
            return False
        # Where nothing runs, nobody needs a pause.
        return not use.runs or not self._loads.prefilled_within(
            item.id, in_place.min_interval_s, now
        )

    def decode_capacity(
        self,
        service: types.ServiceName,
        run: kv_forecast.Run,
        capacity: int,
        *,
        in_place: InPlacePrefill | None = None,
        now: float,
    ) -> int:
        """How many runs like this one there is room for, some at most."""
        found = self.candidates.find(service, types.Role.DECODE, now=now)
        return sum(
            self._places_at(item, run, capacity, in_place, now)
            for item in found
        )

    def _places_at(
        self,
        item: endpoints.Endpoint,
        run: kv_forecast.Run,
        capacity: int,
        in_place: InPlacePrefill | None,
        now: float,
    ) -> int:
        for count in range(_MOST_PLACES):
            runs = [run] * (count + 1)
            peak = self._peak_with(item, runs, capacity, in_place, now)
            if peak is None:
                return count
        return _MOST_PLACES

    def must_prefill_in_place(
        self, service: types.ServiceName, now: float
    ) -> bool:
        """Whether no endpoint prefills, so that decodes read themselves.

        One that asked for a short back-off is waited for.
        """
        if self._prefilling(service, (), now):
            return False
        soon = self.candidates.available_by(
            service, types.Role.PREFILL, now + _SHORT_S, now
        )
        return all(self._health.is_avoided(item.id, now) for item in soon)

    def accepts_all_prompts(
        self, service: types.ServiceName, since: float, now: float
    ) -> bool:
        """Whether no endpoint that prefills has turned one away since."""
        found = self._prefilling(service, (), now)
        return not any(
            self._health.rejected_since(item.id, since) for item in found
        )

    def prefill_capacity(
        self, service: types.ServiceName, max_ahead_tokens: int, now: float
    ) -> int:
        """How many prompts can be taken now, one at each endpoint."""
        found = self._prefilling(service, (), now)
        return sum(
            self._takes_prompt(item, max_ahead_tokens, now) for item in found
        )

    def running_generations(
        self, service: types.ServiceName, now: float
    ) -> int:
        """How many generations hold a place that will come free.

        Those at an endpoint in its back-off as well: they go on.
        """
        found = self.candidates.available_by(
            service, types.Role.DECODE, math.inf, now
        )
        return sum(len(self._loads.total(item.id).runs) for item in found)

    def free_decode_slots(self, service: types.ServiceName, now: float) -> int:
        """Slots of decode endpoints that are free, now or when they open."""
        found = self.candidates.available_by(
            service, types.Role.DECODE, math.inf, now
        )
        return sum(
            max(0, item.slots - self._loads.total(item.id).requests)
            for item in found
        )

    def median_answer_s(
        self, service: types.ServiceName, role: types.Role
    ) -> float:
        """What an answer usually takes there, in seconds."""
        return self._usual_s(self.candidates.members(service, role))

    def _usual_s(self, found: Sequence[endpoints.Endpoint]) -> float:
        known = sorted(
            took
            for took in (self._health.mean_answer_s(item.id) for item in found)
            if took is not None
        )
        return known[len(known) // 2] if known else _USUAL_S

    def _wait(self, item: endpoints.Endpoint, usual: float) -> float:
        use = self._loads.total(item.id)
        rounds = (use.requests + 1) / max(1, item.slots)
        slow = self._health.slowness(item.id, usual)
        jitter = 1.0 + _JITTER * self._rng.random()
        return (0.5 + rounds) * slow * self._far(item) * jitter

    def _far(self, item: endpoints.Endpoint) -> float:
        return 1.0 if item.data_centre == self._data_centre else _REMOTE_X
