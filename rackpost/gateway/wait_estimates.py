"""Expected waits of requests in an admission queue."""

import math
from typing import Sequence

from rackpost.decide import endpoint_choice
from rackpost.decide import endpoint_load
from rackpost.decide import plain_queue
from rackpost.decide import queue_order
from rackpost.decide import token_timing as token_timing_mod
from rackpost.decide.waiting import headroom
from rackpost.gateway import endpoint_reserver
from rackpost.gateway import reservation as reservation_mod
from rackpost.gateway import waiters as waiters_mod
from rackpost import types


class WaitEstimates:
    """Estimates waits from the orders and the state of the pool."""

    def __init__(
        self,
        *,
        chooser: endpoint_choice.Chooser,
        loads: endpoint_load.LoadTable,
        token_timing: token_timing_mod.TokenTiming,
        reserver: endpoint_reserver.EndpointReserver,
        sorter: waiters_mod.WaiterOrders,
        vm: types.VmId,
    ) -> None:
        self._chooser = chooser
        self._loads = loads
        self._token_timing = token_timing
        self._reserver = reserver
        self._sorter = sorter
        self._vm = vm

    def expected_wait_s(
        self,
        waiters: Sequence[waiters_mod.Waiter],
        request: reservation_mod.ReservationRequest,
        now: float,
    ) -> float:
        """Return the expected time until a request is admitted.

        `waiters` are those of this queue.
        """
        ahead = self._sorter.ahead(waiters, request, now)
        delay_s = self.availability_delay_s(request, ahead, now)
        if (
            delay_s > 0.0
            and self._chooser.free_decode_slots(request.service, now) > ahead
        ):
            # Capacity is free; no running generation has to end first.
            return delay_s
        return delay_s + self._queue_s(request, ahead, now)

    def availability_delay_s(
        self,
        request: reservation_mod.ReservationRequest,
        ahead: int,
        now: float,
    ) -> float:
        """Return the delay by back-offs and named rates, in seconds.

        `ahead` waiting requests of this gateway have precedence.
        """
        available_in_s = self.available_in_s(request, now)
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

    def available_in_s(
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

    def _queue_s(
        self,
        request: reservation_mod.ReservationRequest,
        ahead: int,
        now: float,
    ) -> float:
        """Return how long the requests ahead will take, in seconds."""
        ahead += self.ahead_elsewhere(request, now)
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
            self.pool_state(request, now),
            now,
        )

    def ahead_elsewhere(
        self, request: reservation_mod.ReservationRequest, now: float
    ) -> int:
        """Return how many requests at other gateways have precedence."""
        claim = request.waiting_request
        if self._sorter.contends(request.service):
            return self._sorter.order_for(request).ahead_elsewhere(claim, now)
        summary = queue_order.summarize(claim, now)
        return self._loads.waiting_ahead(summary, self._vm, now)

    def pool_state(
        self, request: reservation_mod.ReservationRequest, now: float
    ) -> headroom.PoolState:
        """Return the decode capacity and the releases to come."""
        candidates = self._chooser.candidates
        in_place = self._reserver.in_place_terms(request, now)
        found = candidates.available_by(
            request.service, types.Role.DECODE, math.inf, now
        )
        runs = (
            run for item in found for run in self._loads.total(item.id).runs
        )
        prefill_s = self._token_timing.prefill_s(request.run.held_tokens)
        prefills = len(candidates.members(request.service, types.Role.PREFILL))
        return headroom.PoolState(
            capacity=self._reserver.decode_capacity(request, in_place, now),
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
