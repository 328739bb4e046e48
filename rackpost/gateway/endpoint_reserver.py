"""Reserves a decode endpoint, and the prefill of the prompt, for a request."""

import asyncio
from typing import Callable
from typing import NamedTuple
from typing import Sequence

from rackpost.decide import endpoint_choice
from rackpost.decide import endpoint_load
from rackpost.decide import token_timing as token_timing_mod
from rackpost.gateway import large_requests
from rackpost.gateway import reservation as reservation_mod
from rackpost.gateway import waiters as waiters_mod
from rackpost import metrics as metrics_mod
from rackpost.routing import endpoints
from rackpost import types

# Share of an endpoint's KV memory that is reserved.  The rest absorbs
# reservations that two gateways make at the same moment; the KV forecast
# accounts for answers that are longer than estimated.
_RESERVABLE_SHARE = 0.97
# Longest queue of a prefill endpoint that still gets a prompt, in seconds of
# prefill work.  It keeps the endpoint busy while load reports travel; longer
# queues form here, ordered by deadline and holding no KV memory.
_MAX_PREFILL_QUEUE_S = 0.25


def reservable_tokens(request: reservation_mod.ReservationRequest) -> int:
    """Return the part of an endpoint's KV memory to reserve, in tokens."""
    return int(request.memory_tokens * _RESERVABLE_SHARE)


def _release_nothing() -> None:
    """Release nothing: no prompt is prefilled."""


class PrefillPlan(NamedTuple):
    """A prefill endpoint, or the terms of a prefill in place.

    Without either the prompt is prefilled already.  `other_versions` are
    endpoints that can't use the prompt's KV cache.
    """

    prefill_endpoint: endpoints.Endpoint | None
    in_place: endpoint_choice.InPlacePrefill | None
    other_versions: Sequence[types.EndpointId] = ()


class EndpointReserver:
    """Reserves endpoints that have capacity now, without a queue."""

    def __init__(
        self,
        *,
        chooser: endpoint_choice.Chooser,
        loads: endpoint_load.LoadTable,
        token_timing: token_timing_mod.TokenTiming,
        large: large_requests.LargeRequests,
        sorter: waiters_mod.WaiterOrders,
        on_capacity_changed: Callable[[], None],
        split: bool,
        metrics: metrics_mod.Metrics,
    ) -> None:
        """Without `split` all prompts are prefilled in place.

        `on_capacity_changed` is called when a reservation is released.
        """
        self._loop = asyncio.get_running_loop()
        self._chooser = chooser
        self._loads = loads
        self._token_timing = token_timing
        self._large = large
        self._sorter = sorter
        self._on_capacity_changed = on_capacity_changed
        self._split = split
        self._metrics = metrics

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
            on_change=self._on_capacity_changed,
            reserved_at=now,
        )

    def plan_prefill(
        self, request: reservation_mod.ReservationRequest, now: float
    ) -> PrefillPlan | None:
        """Return how the prompt can be prefilled now, None if it can't."""
        if request.waiting_request.holds_prompt:
            return PrefillPlan(None, None)
        in_place = self.in_place_terms(request, now)
        if in_place is not None:
            return PrefillPlan(None, in_place)
        if len(self._chooser.candidates.versions(request.service)) > 1:
            return self._plan_at_one_version(request, now)
        prefill_endpoint = self._find_prefill_endpoint(
            request, request.exclude, now
        )
        return (
            None
            if prefill_endpoint is None
            else PrefillPlan(prefill_endpoint, None)
        )

    def _plan_at_one_version(
        self, request: reservation_mod.ReservationRequest, now: float
    ) -> PrefillPlan | None:
        """Plan a prefill for a decode endpoint of the same software version.

        The KV cache that one version writes can't be read by another.  Where
        no prefill endpoint of a version takes the prompt now, the decode
        endpoint prefills it: a version may have few of them for its share of
        the decode endpoints.
        """
        candidates = self._chooser.candidates
        service = request.service
        found: list[types.EndpointId] = []
        while prefill_endpoint := self._find_prefill_endpoint(
            request, [*request.exclude, *found], now
        ):
            software = prefill_endpoint.software
            plan = PrefillPlan(
                prefill_endpoint,
                None,
                candidates.other_versions(service, software),
            )
            if self._choose_decode(request, plan, now) is not None:
                return plan
            found += candidates.of_version(service, software)
        plan = PrefillPlan(None, self._in_place(request), found)
        if self._choose_decode(request, plan, now) is None:
            return None
        return plan

    def in_place_terms(
        self, request: reservation_mod.ReservationRequest, now: float
    ) -> endpoint_choice.InPlacePrefill | None:
        """Return the terms of a prefill in place, if one is due."""
        separate = self._split and not request.in_place
        if separate and not self._chooser.must_prefill_in_place(
            request.service, now
        ):
            return None
        return self._in_place(request)

    def _in_place(
        self, request: reservation_mod.ReservationRequest
    ) -> endpoint_choice.InPlacePrefill:
        return endpoint_choice.InPlacePrefill(
            min_interval_s=request.event_interval_s
        )

    def _find_prefill_endpoint(
        self,
        request: reservation_mod.ReservationRequest,
        exclude: Sequence[types.EndpointId],
        now: float,
    ) -> endpoints.Endpoint | None:
        """Return a prefill endpoint with a short queue, None without one."""
        return self._chooser.choose_prefill(
            request.service,
            request.run.held_tokens,
            max_ahead_tokens=self._token_timing.prefill_tokens_in(
                _MAX_PREFILL_QUEUE_S
            ),
            exclude=exclude,
            data_centre=request.data_centre,
            now=now,
        )

    def _choose_decode(
        self,
        request: reservation_mod.ReservationRequest,
        plan: PrefillPlan,
        now: float,
        *,
        claimed_only: bool = False,
    ) -> endpoints.Endpoint | None:
        """Return a decode endpoint with capacity for a planned prefill."""
        return self._chooser.choose_decode(
            request.service,
            request.run,
            reservable_tokens(request),
            in_place=plan.in_place,
            large_terms=self._large.terms(
                request,
                reservable_tokens(request),
                now,
                claimed_only=claimed_only,
            ),
            exclude=[*request.exclude, *plan.other_versions],
            data_centre=request.data_centre,
            now=now,
        )

    def reserve(
        self,
        request: reservation_mod.ReservationRequest,
        plan: PrefillPlan,
        now: float,
        *,
        claimed_only: bool = False,
    ) -> reservation_mod.DecodeReservation | None:
        """Reserve an endpoint that has capacity; None if there is none.

        With `claimed_only` only the endpoint that the request claims.
        """
        endpoint = self._choose_decode(
            request, plan, now, claimed_only=claimed_only
        )
        if endpoint is None:
            return None
        release_capacity = self._add_run(request, endpoint)
        self._chooser.candidates.record_selection(endpoint, now)
        prompt = request.run.held_tokens
        release_prefill = _release_nothing
        if plan.in_place is not None:
            release_prefill = self._reserve_prefill_in_place(endpoint, prompt)
        elif plan.prefill_endpoint is not None:
            self._chooser.candidates.record_selection(
                plan.prefill_endpoint, now
            )
            release_prefill = self._loads.add_request(
                plan.prefill_endpoint.id, prompt=prompt
            )
        return reservation_mod.DecodeReservation(
            endpoint=endpoint,
            prefill_endpoint=plan.prefill_endpoint,
            release_capacity=release_capacity,
            release_prefill=release_prefill,
            on_change=self._on_capacity_changed,
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
        outcome = order.record_admitted(
            request.waiting_request, self._loop.time()
        )
        if outcome is not None:
            self._metrics.count("queue_outcomes", outcome, request.service)

        def release_capacity() -> None:
            release()
            order.record_released(request.waiting_request)

        return release_capacity

    def _reserve_prefill_in_place(
        self, endpoint: endpoints.Endpoint, prompt: int
    ) -> Callable[[], None]:
        """Reserve a prefill in place; return what releases it."""
        release = self._loads.add_request(endpoint.id, prompt=prompt)

        def release_prefill() -> None:
            release()
            self._loads.record_prefilled(endpoint.id, self._loop.time())

        return release_prefill

    def decode_capacity(
        self,
        request: reservation_mod.ReservationRequest,
        in_place: endpoint_choice.InPlacePrefill | None,
        now: float,
    ) -> int:
        """Return how many such requests the decode endpoints can take."""
        return self._chooser.decode_capacity(
            request.service,
            request.run,
            reservable_tokens(request),
            in_place=in_place,
            now=now,
        )

    def prefill_capacity(
        self, request: reservation_mod.ReservationRequest, now: float
    ) -> int:
        """Return how many prompts the prefill endpoints can take."""
        return self._chooser.prefill_capacity(
            request.service,
            self._token_timing.prefill_tokens_in(_MAX_PREFILL_QUEUE_S),
            now,
        )
