"""Choose the endpoint that a gateway sends a request to."""

import math
import random
from typing import Callable
from typing import Collection
from typing import NamedTuple
from typing import Sequence

from rackpost.decide import candidates as candidates_mod
from rackpost.decide import endpoint_health
from rackpost.decide import endpoint_load
from rackpost.decide import fleet_size
from rackpost.decide import kv_forecast
from rackpost.decide.pace import endpoint_pace
from rackpost.decide.waiting import backfill
from rackpost.routing import endpoints
from rackpost import types

# Factor on the wait at an endpoint in another data centre, since traffic
# between data centres is expensive.
_REMOTE_FACTOR = 1.15
# Assumed answer time before the first sample.
_DEFAULT_ANSWER_S = 0.1
# Random spread of waits, so that gateways do not break ties alike.
_JITTER = 0.02
# Where each healthy endpoint has this many requests in flight per slot, those
# that have just failed are candidates too.  Avoiding an endpoint that loses
# some answers would overload the others.
_OVERLOADED_ROUNDS = 1.5
# Plain endpoints with a wait longer than this times the shortest are not
# chosen: they are slow or lose answers.
_MAX_WAIT_RATIO = 3.0
# Waiting for a prefill endpoint that is available again this soon is faster
# than to prefill in place.
_SHORT_WAIT_S = 0.2
# Bounds the count of requests that one endpoint has capacity for.
_MAX_COUNTED = 3


class InPlacePrefill(NamedTuple):
    """A prompt that a decode endpoint prefills itself.

    A prefill pauses all generations at the endpoint.  So one prompt is
    prefilled at a time, and the next not before `min_interval_s` seconds, in
    which the generations emit an event.
    """

    min_interval_s: float


def _equal_pace(_: types.ServiceName) -> endpoint_pace.EndpointPace:
    return endpoint_pace.EqualPace()


class LargeTerms(NamedTuple):
    """What large requests ask of the choice for another request.

    Attributes:
        claims: claims that must not be delayed.
        only: the only endpoint that the request may use, None for any.
    """

    claims: tuple[backfill.Claim, ...] = ()
    only: types.EndpointId | None = None


class Chooser:
    """Chooses among the endpoints known to one gateway."""

    def __init__(
        self,
        *,
        candidates: candidates_mod.Candidates,
        loads: endpoint_load.LoadTable,
        health: endpoint_health.HealthTracker,
        data_centre: types.DataCentre,
        rng: random.Random,
        pace_of: Callable[
            [types.ServiceName], endpoint_pace.EndpointPace
        ] = _equal_pace,
    ) -> None:
        """`pace_of` returns the pace of a model service's endpoints."""
        self.candidates = candidates
        self._loads = loads
        self._health = health
        self._data_centre = data_centre
        self._rng = rng
        self._pace_of = pace_of
        self._gateways = 1

    def set_gateways(self, count: int) -> None:
        """Set how many gateways choose among the same endpoints."""
        self._gateways = count

    def choose_plain(
        self,
        service: types.ServiceName,
        *,
        exclude: Sequence[types.EndpointId] = (),
        now: float,
    ) -> endpoints.Endpoint | None:
        """Return the endpoint of a plain service with the shortest wait."""
        found = self.candidates.find(
            service, types.Role.PLAIN, exclude=exclude, now=now
        )
        if all(self._is_overloaded(item) for item in found):
            found = self.candidates.find(
                service,
                types.Role.PLAIN,
                exclude=exclude,
                now=now,
                include_failed=True,
            )
        accepting = self._without_rejecting(found, now)
        if not all(self._is_overloaded(item) for item in accepting):
            found = accepting
        median_s = self._median_answer_s(found)
        waits = [(self._wait(item, median_s, now), item) for item in found]
        max_wait = _MAX_WAIT_RATIO * min(
            (wait for wait, _ in waits), default=0.0
        )
        return self._pick_lowest(
            [pair for pair in waits if pair[0] <= max_wait]
        )

    def _without_rejecting(
        self, found: list[endpoints.Endpoint], now: float
    ) -> list[endpoints.Endpoint]:
        """Drop endpoints that have just rejected a request of any gateway.

        One that rejects within a millisecond has few requests in flight and
        would look like the best choice.
        """
        return [
            item
            for item in found
            if not self._health.is_full(item.id, now)
            and not self._health.has_reported_backoff(item.id, now)
        ]

    def _is_overloaded(self, item: endpoints.Endpoint) -> bool:
        """Whether a failing endpoint would serve better than this one."""
        in_flight = self._loads.total(item.id).requests
        return in_flight >= _OVERLOADED_ROUNDS * item.slots

    def choose_prefill(
        self,
        service: types.ServiceName,
        prompt: int,
        *,
        exclude: Sequence[types.EndpointId] = (),
        max_ahead_tokens: int | None = None,
        data_centre: types.DataCentre | None = None,
        now: float,
    ) -> endpoints.Endpoint | None:
        """Return the prefill endpoint that finishes a prompt soonest.

        `prompt` is its length in tokens.  None where no endpoint has a free
        slot and at most `max_ahead_tokens` to prefill before it.  Endpoints
        of `data_centre`, by default this process's, are preferred.
        """
        found = self._prefill_endpoints(service, exclude, now)
        pace = self._pace_of(service)
        median_s = self._median_answer_s(found)
        if not isinstance(pace, endpoint_pace.EqualPace):
            # The mean answer time depends on the prompts; the pace does not.
            median_s = 0.0
        free = []
        for item in found:
            if not self._accepts_prompt(item, max_ahead_tokens, now):
                continue
            slowness = self._health.slowness(item.id, median_s, now)
            slowness *= pace.factor(item.id, now)
            ahead = self._loads.total(item.id).prompt_tokens
            distance = self._distance_factor(item, data_centre)
            free.append(((ahead + prompt) * slowness * distance, item))
        free = self._prefer_known_pace(free, pace, now)
        return self._pick_lowest(self._prefer_without_backoff(free, now))

    def _prefer_known_pace(
        self,
        found: list[tuple[float, endpoints.Endpoint]],
        pace: endpoint_pace.EndpointPace,
        now: float,
    ) -> list[tuple[float, endpoints.Endpoint]]:
        """Drop endpoints whose pace is being checked by a request."""
        rest = [
            pair
            for pair in found
            if not pace.is_on_trial(pair[1].id, now)
            or self._loads.total(pair[1].id).requests == 0
        ]
        return rest or found

    def _prefill_endpoints(
        self,
        service: types.ServiceName,
        exclude: Sequence[types.EndpointId],
        now: float,
    ) -> list[endpoints.Endpoint]:
        # Failed endpoints are left out even if all have failed: prompts are
        # then prefilled in place.  Gateways otherwise went on sending prompts
        # to one that refused connections.
        return self.candidates.find(
            service,
            types.Role.PREFILL,
            exclude=exclude,
            now=now,
            healthy_only=True,
        )

    def _accepts_prompt(
        self,
        item: endpoints.Endpoint,
        max_ahead_tokens: int | None,
        now: float,
    ) -> bool:
        load = self._loads.total(item.id)
        if load.requests >= item.slots or self._health.is_full(item.id, now):
            return False
        return (
            max_ahead_tokens is None or load.prompt_tokens <= max_ahead_tokens
        )

    def _pick_lowest(
        self, found: list[tuple[float, endpoints.Endpoint]]
    ) -> endpoints.Endpoint | None:
        """Return the endpoint with the lowest figure.

        With many gateways, the better of two random endpoints: the gateways'
        load figures are up to a second old, and all gateways would pick the
        same endpoint.
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
        large_terms: LargeTerms | None = None,
        exclude: Sequence[types.EndpointId] = (),
        data_centre: types.DataCentre | None = None,
        now: float,
    ) -> endpoints.Endpoint | None:
        """Return the decode endpoint with the most free KV memory.

        None if none has capacity for `run`.  `capacity` is the KV memory of
        each endpoint, in tokens.  `large_terms` leave out endpoints that are
        needed for large requests.  Endpoints of `data_centre`, by default
        this process's, are preferred.
        """
        found = self.candidates.find(
            service, types.Role.DECODE, exclude=exclude, now=now
        )
        pace = self._pace_of(service)
        fitting = []
        for item in found:
            peak = self._peak_with(item, [run], capacity, in_place, now)
            if peak is not None:
                # A slow endpoint holds its memory for longer.
                distance = self._distance_factor(item, data_centre)
                weight = distance * pace.factor(item.id, now)
                fitting.append((peak * weight, item))
        if large_terms is not None:
            fitting = [
                pair
                for pair in fitting
                if self._may_use(pair[1], run, capacity, large_terms)
            ]
        fitting = self._prefer_known_pace(fitting, pace, now)
        return self._pick_lowest(self._prefer_without_backoff(fitting, now))

    def _may_use(
        self,
        item: endpoints.Endpoint,
        run: kv_forecast.Run,
        capacity: int,
        terms: LargeTerms,
    ) -> bool:
        """Whether a run may start at an endpoint under claims."""
        if terms.only not in (None, item.id):
            return False
        runs = self._loads.total(item.id).runs
        return all(
            backfill.may_backfill(runs, run, claim.run, capacity)
            for claim in terms.claims
            if claim.endpoint == item.id
        )

    def _claimable(self, item: endpoints.Endpoint) -> backfill.Candidate:
        return backfill.Candidate(
            endpoint=item.id, runs=self._loads.total(item.id).runs
        )

    def choose_claim(
        self,
        service: types.ServiceName,
        run: kv_forecast.Run,
        capacity: int,
        *,
        claimed: Collection[types.EndpointId],
        present: types.EndpointId | None = None,
        exclude: Sequence[types.EndpointId] = (),
        now: float,
    ) -> types.EndpointId | None:
        """Return the decode endpoint to claim for a large run, None for none.

        `claimed` are other gateways' claims, `present` the one of the run.
        """
        found = self.candidates.find(
            service, types.Role.DECODE, exclude=exclude, now=now
        )
        return backfill.choose_claim(
            [self._claimable(item) for item in found],
            run,
            capacity,
            claimed=claimed,
            present=present,
        )

    def _prefer_without_backoff(
        self, found: list[tuple[float, endpoints.Endpoint]], now: float
    ) -> list[tuple[float, endpoints.Endpoint]]:
        """Drop endpoints in a back-off of other gateways, unless all are.

        They would probably request a back-off here too.
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
        """Return the peak KV use with further runs; None without capacity."""
        if self._health.is_full(item.id, now):
            return None
        load = self._loads.total(item.id)
        if load.requests + len(runs) > item.slots:
            return None
        if in_place is not None:
            may_prefill = self._may_prefill_in_place(item, load, in_place, now)
            if len(runs) > 1 or not may_prefill:
                return None
        peak = kv_forecast.peak_tokens([*load.runs, *runs])
        return peak if peak <= capacity else None

    def _may_prefill_in_place(
        self,
        item: endpoints.Endpoint,
        load: endpoint_load.EndpointLoad,
        in_place: InPlacePrefill,
        now: float,
    ) -> bool:
        """Whether the endpoint may prefill one more prompt now."""
        if load.prompt_tokens > 0:
            return False
        # The interval matters only to generations that run there.
        return not load.runs or not self._loads.prefilled_within(
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
        """Return how many runs like `run` the decode endpoints can take.

        The count is bounded for each endpoint.
        """
        found = self.candidates.find(service, types.Role.DECODE, now=now)
        return sum(
            self._capacity_at(item, run, capacity, in_place, now)
            for item in found
        )

    def _capacity_at(
        self,
        item: endpoints.Endpoint,
        run: kv_forecast.Run,
        capacity: int,
        in_place: InPlacePrefill | None,
        now: float,
    ) -> int:
        for count in range(_MAX_COUNTED):
            runs = [run] * (count + 1)
            peak = self._peak_with(item, runs, capacity, in_place, now)
            if peak is None:
                return count
        return _MAX_COUNTED

    def must_prefill_in_place(
        self, service: types.ServiceName, now: float
    ) -> bool:
        """Whether no prefill endpoint is available, or will be shortly."""
        if self._prefill_endpoints(service, (), now):
            return False
        soon = self.candidates.available_by(
            service, types.Role.PREFILL, now + _SHORT_WAIT_S, now
        )
        return all(self._health.is_avoided(item.id, now) for item in soon)

    def accepts_all_prompts(
        self, service: types.ServiceName, since: float, now: float
    ) -> bool:
        """Whether no prefill endpoint has rejected a prompt since `since`."""
        found = self._prefill_endpoints(service, (), now)
        return not any(
            self._health.rejected_since(item.id, since) for item in found
        )

    def prefill_capacity(
        self, service: types.ServiceName, max_ahead_tokens: int, now: float
    ) -> int:
        """Return how many prefill endpoints can take a prompt now."""
        found = self._prefill_endpoints(service, (), now)
        return sum(
            self._accepts_prompt(item, max_ahead_tokens, now) for item in found
        )

    def running_generations(
        self, service: types.ServiceName, now: float
    ) -> int:
        """Return how many generations run at endpoints of a service.

        Those at an endpoint in a back-off count, since its capacity will be
        available again.
        """
        found = self.candidates.available_by(
            service, types.Role.DECODE, math.inf, now
        )
        return sum(len(self._loads.total(item.id).runs) for item in found)

    def free_decode_slots(self, service: types.ServiceName, now: float) -> int:
        """Return the free slots of decode endpoints.

        Those of endpoints in a back-off count.
        """
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
        """Return the median answer time of a role's endpoints, in seconds."""
        return self._median_answer_s(self.candidates.members(service, role))

    def _median_answer_s(self, found: Sequence[endpoints.Endpoint]) -> float:
        known = sorted(
            answer_s
            for answer_s in (
                self._health.mean_answer_s(item.id) for item in found
            )
            if answer_s is not None
        )
        # The lower one of two: a slow endpoint is not the usual one.
        return known[(len(known) - 1) // 2] if known else _DEFAULT_ANSWER_S

    def _wait(
        self, item: endpoints.Endpoint, median_s: float, now: float
    ) -> float:
        load = self._loads.total(item.id)
        rounds = (load.requests + 1) / max(1, item.slots)
        slowness = self._health.slowness(item.id, median_s, now)
        jitter = 1.0 + _JITTER * self._rng.random()
        return (0.5 + rounds) * slowness * self._distance_factor(item) * jitter

    def _distance_factor(
        self,
        item: endpoints.Endpoint,
        data_centre: types.DataCentre | None = None,
    ) -> float:
        near = self._data_centre if data_centre is None else data_centre
        return 1.0 if item.data_centre == near else _REMOTE_FACTOR
