"""Use a scheduler's grants: check them and count them in the own load."""

import asyncio
from typing import NamedTuple

from rackpost.decide import eligibility as eligibility_mod
from rackpost.decide import endpoint_choice
from rackpost.decide import endpoint_health
from rackpost.decide import endpoint_load
from rackpost.decide.waiting import grant_check
from rackpost.gateway import reservation as reservation_mod
from rackpost.routing import endpoints
from rackpost.scheduler import messages
from rackpost import types


def _release_nothing() -> None:
    """Release nothing: the prompt is prefilled already."""


class Objection(NamedTuple):
    """Why a grant must not be used, and for which endpoint."""

    why: grant_check.Objection
    endpoint: types.EndpointId


class GrantTaker:
    """Turns grants into reservations of one gateway."""

    def __init__(
        self,
        *,
        chooser: endpoint_choice.Chooser,
        loads: endpoint_load.LoadTable,
        table: endpoints.EndpointTable,
        eligible: eligibility_mod.Eligibility,
        health: endpoint_health.HealthTracker,
        capacity_changed: asyncio.Event,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._chooser = chooser
        self._loads = loads
        self._table = table
        self._eligible = eligible
        self._health = health
        self._capacity_changed = capacity_changed

    def take(
        self,
        grant: messages.CapacityGrant,
        request: reservation_mod.ReservationRequest,
    ) -> reservation_mod.DecodeReservation | Objection:
        """Return the reservation, or why the grant must not be used."""
        now = self._loop.time()
        endpoint = self._table.alive.get(grant.endpoint)
        why = grant_check.objection(
            endpoint,
            memory_tokens=request.memory_tokens,
            eligible=self._eligible,
            health=self._health,
            loads=self._loads,
            now=now,
        )
        if why is not None or endpoint is None:
            why = why or grant_check.Objection.UNKNOWN
            return Objection(why, grant.endpoint)
        prefill = None
        if grant.prefill_endpoint is not None:
            prefill = self._table.alive.get(grant.prefill_endpoint)
            why = grant_check.sending_objection(
                prefill, self._eligible, self._health, now
            )
            if why is not None:
                return Objection(why, grant.prefill_endpoint)
        return self._reservation(endpoint, prefill, request, now)

    def _reservation(
        self,
        endpoint: endpoints.Endpoint,
        prefill: endpoints.Endpoint | None,
        request: reservation_mod.ReservationRequest,
        now: float,
    ) -> reservation_mod.DecodeReservation:
        """Count a grant in the gateway's own load."""
        prompt = request.run.held_tokens
        release_capacity = self._loads.add_request(
            endpoint.id, run=request.run
        )
        holds_prompt = request.waiting_request.holds_prompt
        in_place = prefill is None and not holds_prompt
        prefills_at = prefill or endpoint
        release_prompt = (
            _release_nothing
            if holds_prompt
            else self._loads.add_request(prefills_at.id, prompt=prompt)
        )
        self._chooser.candidates.record_selection(endpoint, now)
        if prefill is not None:
            self._chooser.candidates.record_selection(prefill, now)

        def release_prefill() -> None:
            release_prompt()
            if in_place:
                self._loads.record_prefilled(endpoint.id, self._loop.time())

        return reservation_mod.DecodeReservation(
            endpoint=endpoint,
            prefill_endpoint=prefill,
            release_capacity=release_capacity,
            release_prefill=release_prefill,
            on_change=self._capacity_changed.set,
            reserved_at=now,
        )
