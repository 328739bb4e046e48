"""Requests to model services: reserve a decode endpoint, then prefill.

A prefill's result expires within a second, so that the prompt is prefilled
only once a decode endpoint has capacity and a connection to it is open.
"""

import asyncio
import contextlib
from typing import Callable

from rackpost.decide import features
from rackpost.decide import kv_forecast
from rackpost.decide import queue_order
from rackpost.decide import retry_decision
from rackpost import exceptions
from rackpost.gateway import attempt
from rackpost.gateway import call as call_mod
from rackpost.gateway import decode_hold
from rackpost.gateway import demand_record
from rackpost.gateway import forward
from rackpost.gateway import prefill
from rackpost.gateway import reservation as reservation_mod
from rackpost.gateway import slow_prefill
from rackpost.gateway import stream_pace
from rackpost.gateway import stream_times
from rackpost.platform import headers
from rackpost.routing import endpoints
from rackpost.routing import model
from rackpost import types

# A refusal is sent this long before the client would leave, in seconds.
_REFUSAL_LEAD_S = 0.1
# Times that a request is resumed at the endpoint where its connection broke;
# another break there means that the endpoint is unhealthy.
_MAX_RESUMES = 2
# Ends of attempts after which the endpoint has not used a lease.
_NOT_RUN = (
    retry_decision.AttemptEnd.NOT_SENT,
    retry_decision.AttemptEnd.NOT_RUN,
)
# Events after which a running stream counts for the decode timing, while no
# stream has ended yet.
_TIMING_EVENTS = 4


class Generation:
    """A request to a model service, from admission to its end."""

    def __init__(self, *, call: call_mod.Call, engine: model.Engine) -> None:
        self._call = call
        self._engine = engine
        sizes = headers.request_sizes(call.req.headers)
        self._prompt_tokens = sizes.prompt if sizes else 0
        self._max_tokens = sizes.max_output if sizes else 0
        self._expected_tokens = (
            min(sizes.expected_output, sizes.max_output) if sizes else 0
        )
        prompt_part = headers.own_prompt_part(call.req.headers)
        site = call.site
        refusals = site.refusals
        self._refusal_key = refusals.key(
            call.route.name, prompt_part, call.req.body
        )
        # A refused request is late from the start when it is sent again: its
        # time counts from the first attempt.
        self._refused_before = refusals.was_refused(
            self._refusal_key, call.began
        )
        self._prefill_state = prefill.PrefillState(
            call=call, prompt=self._prompt_tokens
        )
        # Whether prefill endpoints have failed: the prompt is to be prefilled
        # in place.
        self._in_place = False
        # Whether there was a reservation.
        self._admitted = False
        # Whether the last reservation was asked for with a prefilled prompt.
        self._held_prompt = False
        # The endpoint where the last connection broke, and the number of times
        # that the request was resumed at such an endpoint.
        self._broken_endpoint: endpoints.Endpoint | None = None
        self._resumes = 0
        self._met_slow_hold = False
        self._progress = self._new_progress()
        # The request as it was when its capacity was asked for.
        self._reserved = self._waiting_request()

    def _new_progress(self) -> kv_forecast.Progress:
        return kv_forecast.Progress(
            prompt=self._prompt_tokens,
            guess=self._call.site.answer_lengths.expected(
                self._expected_tokens, self._max_tokens
            ),
            max_tokens=self._max_tokens,
            event_tokens=self._engine.event_tokens,
            spread=self._call.site.answer_lengths.spread,
        )

    async def run(self) -> None:
        """Answer the request."""
        demand_record.record(
            self._call,
            self._engine,
            prompt=self._prompt_tokens,
            out=self._progress.run.remaining_tokens,
        )
        try:
            await self._run()
        except asyncio.CancelledError:
            self._record_unused(prefill.VainReason.CLIENT_LEFT)
            raise
        self._record_unused(prefill.VainReason.NOT_DECODED)

    def _record_unused(self, reason: prefill.VainReason) -> None:
        self._prefill_state.record_unused(
            reason, frees=self._reserves_for_large()
        )

    async def _run(self) -> None:
        call = self._call
        while True:
            self._progress = self._new_progress()
            if call.end_if_blocked():
                return
            reservation = await self._next_reservation()
            if reservation is None:
                return
            if isinstance(reservation, reservation_mod.NoCapacity):
                self._refuse_no_capacity(reservation)
                return
            self._admitted = True
            if call.end_if_blocked():
                reservation.release()
                return
            call.times.record_stage(
                stream_times.Stage.RESERVED, call.site.loop_time()
            )
            pace = stream_pace.StreamPace(
                call=call, engine=self._engine, endpoint=reservation.endpoint
            )
            call.on_event = self._on_event(reservation, pace)
            try:
                ended = await self._run_at(reservation)
            finally:
                pace.end()
                reservation.release()
            if ended is None or not forward.retry_or_answer(call, ended):
                self._prefill_state.release(prefill.VainReason.NOT_DECODED)
                return
            if ended is retry_decision.AttemptEnd.BROKEN:
                self._broken_endpoint = reservation.endpoint

    async def _next_reservation(
        self,
    ) -> reservation_mod.DecodeReservation | reservation_mod.NoCapacity | None:
        """Wait for a decode endpoint; None if the request was answered."""
        again = self._reserve_again()
        if again is not None:
            return again
        if forward.end_if_version_gone(self._call):
            return None
        return await self._reserve()

    async def _reserve(
        self,
    ) -> reservation_mod.DecodeReservation | reservation_mod.NoCapacity:
        """Wait for a decode endpoint."""
        call = self._call
        with call.site.waiting_use.waits(
            kind=call.route.name,
            organisation=types.OrganisationName(call.caller.name),
            priority=call.priority,
            since=call.began,
            target=self._target(),
        ):
            return await call.site.capacity.reserve(
                self._reservation_request()
            )

    def _reserves_for_large(self) -> bool:
        """Whether large requests of the service reserve endpoints."""
        return self._call.site.has_feature(
            self._call.service.name, features.Feature.LARGE_RESERVATIONS
        )

    def _reserve_again(self) -> reservation_mod.DecodeReservation | None:
        """Reserve the endpoint whose connection broke, if it may be reused.

        A healthy endpoint still has the KV cache; any other endpoint needs the
        whole prompt prefilled again.
        """
        endpoint, self._broken_endpoint = self._broken_endpoint, None
        if endpoint is None:
            return None
        reservation = None
        if self._resumes < _MAX_RESUMES:
            self._resumes += 1
            reservation = self._call.site.capacity.reserve_at(
                self._reservation_request(), endpoint
            )
        if reservation is None:
            self._prefill_state.record_lost(endpoint)
        else:
            self._call.log(
                "Goes on where it broke.",
                endpoint=endpoint.id,
                software=endpoint.software,
            )
        return reservation

    def _on_event(
        self,
        reservation: reservation_mod.DecodeReservation,
        pace: stream_pace.StreamPace,
    ) -> Callable[[], None]:
        progress = self._progress
        site = self._call.site
        began = 0.0

        def on_event() -> None:
            nonlocal began
            if progress.generated_tokens == 0:
                began = site.loop_time()
                self._prefill_state.record_started()
                self._record_start(reservation)
            reservation.record_prefilled()
            if (
                progress.generated_tokens
                == _TIMING_EVENTS * self._engine.event_tokens
            ):
                took = site.endpoint_time_s(site.loop_time() - began)
                if took is not None:
                    site.token_timing.record_partial_decode(
                        progress.generated_tokens, took
                    )
            progress.record_event()
            pace.record_event()

        return on_event

    def _record_start(
        self, reservation: reservation_mod.DecodeReservation
    ) -> None:
        """Learn from the time to the first event."""
        site = self._call.site
        took = site.endpoint_time_s(site.loop_time() - reservation.reserved_at)
        if reservation.prefill_endpoint is not None and took is not None:
            site.token_timing.record_start(self._prompt_tokens, took)

    def _reservation_request(self) -> reservation_mod.ReservationRequest:
        call = self._call
        exclude = call.excluded_endpoints
        self._held_prompt = self._holds_prompt()
        if self._held_prompt:
            exclude = exclude + self._prefill_state.other_versions
        self._reserved = self._waiting_request()
        return reservation_mod.ReservationRequest(
            service=call.service.name,
            memory_tokens=self._engine.memory_tokens,
            run=self._progress.run,
            exclude=exclude,
            event_interval_s=call.site.token_timing.decode_s(
                self._engine.event_tokens
            ),
            in_place=self._in_place,
            large_reservations=self._reserves_for_large(),
            request_id=(call.request_id or b"").decode("latin-1"),
            waiting_request=self._reserved,
        )

    def _holds_prompt(self) -> bool:
        """Whether the prompt is prefilled, where that counts in the order."""
        return (
            self._prefill_state.is_fresh(self._engine)
            and not self._prefill_state.is_fetched
            and (
                self._reserves_for_large()
                or self._call.site.orders.contends(self._call.service.name)
            )
            and self._prefill_state.has_decode_endpoint
        )

    def _waiting_request(self) -> queue_order.WaitingRequest:
        call = self._call
        timing = call.site.token_timing
        start_s = timing.start_s(self._prompt_tokens)
        return queue_order.WaitingRequest(
            priority=call.priority,
            target=self._target(),
            start_by=self._start_by(),
            # A request that the planned stop would interrupt is not started.
            deadline=min(call.deadline, call.site.planned_stop.ends_at),
            gateway_stopping=call.site.planned_stop.has_begun,
            refused_before=self._refused_before,
            start_s=start_s,
            generation_s=start_s
            + timing.decode_s(self._progress.run.remaining_tokens),
            organisation=types.OrganisationName(call.caller.name) or None,
            arrived_at=call.began,
            peak_tokens=kv_forecast.peak_tokens([self._progress.run]),
            holds_prompt=self._held_prompt,
            admitted_before=self._admitted,
        )

    def _target(self) -> float:
        call = self._call
        if self._refused_before:
            return call.began
        return call.began + call.route.target_s

    def _start_by(self) -> float:
        call = self._call
        if not call.route.silence_s:
            return call.deadline
        # In a started stream the client's silence limit counts from the last
        # event.
        began = call.began
        if call.responder.started:
            began = call.site.loop_time()
        client_leaves_at = began + call.route.silence_s
        return min(call.deadline, client_leaves_at - _REFUSAL_LEAD_S)

    async def _run_at(
        self, reservation: reservation_mod.DecodeReservation
    ) -> retry_decision.AttemptEnd | None:
        call = self._call
        decode = reservation.endpoint
        try:
            async with contextlib.AsyncExitStack() as stack:
                enter = stack.enter_async_context
                hold = decode_hold.DecodeHold(
                    call=call,
                    endpoint=decode,
                    engine=self._engine,
                    run=self._progress.run,
                    met_slow=self._met_slow_hold,
                )
                stack.callback(hold.free)
                if self._splits(reservation) and not await hold.take():
                    self._met_slow_hold = hold.met_slow
                    return retry_decision.AttemptEnd.NOT_SENT
                conn = await enter(attempt.connected(call, decode))
                # The grant comes first, so that no prompt is prefilled for an
                # endpoint whose rate is used up.
                grant = await enter(attempt.acquire_grant(call, decode))
                if not await self._ensure_prefilled(reservation):
                    self._in_place = True
                    return retry_decision.AttemptEnd.NOT_SENT
                self._in_place = False
                await hold.renew()
                began = call.site.loop_time()
                call.times.record_stage(stream_times.Stage.PREFILLED, began)
                hold.record_sent()
                ended = await attempt.run_on_connection(
                    call,
                    decode,
                    conn,
                    self._prefill_state.headers() + hold.headers(),
                    grant,
                )
                if ended in _NOT_RUN:
                    hold.record_not_run()
        except exceptions.ExchangeError as exc:
            return attempt.record_not_connected(call, decode, exc)
        if ended is None:
            self._record_answer(call.site.loop_time() - began)
        else:
            self._prefill_state.record_failed_attempt(
                ended, keeps=self._reserves_for_large()
            )
        return ended

    def _record_answer(self, took_s: float) -> None:
        """Learn from a complete answer."""
        site = self._call.site
        made = self._progress.generated_tokens
        self._prefill_state.record_fetched()
        if site.endpoint_time_s(took_s) is not None:
            site.token_timing.record_decode(made, took_s)
        site.answer_lengths.record_answer(
            guess=self._expected_tokens, actual=made
        )

    def _splits(self, reservation: reservation_mod.DecodeReservation) -> bool:
        """Whether a prefill endpoint prefills the prompt, or has done so.

        A prompt that was prefilled may have expired since the reservation.
        """
        return self._prompt_tokens > 0 and (
            reservation.prefill_endpoint is not None or self._held_prompt
        )

    async def _ensure_prefilled(
        self, reservation: reservation_mod.DecodeReservation
    ) -> bool:
        """Prefill the prompt; return whether decode may start.

        False if no prefill endpoint succeeded: the request then has to wait
        for a prefill in place.
        """
        decode = reservation.endpoint
        if self._prefill_state.is_usable_at(decode, self._engine):
            return True
        self._prefill_state.release_stale()
        if not self._splits(reservation):
            return True
        await self._prefill(reservation)
        # Release the prefill endpoint, also after a failure.
        reservation.record_prefilled()
        return self._prefill_state.is_usable_at(decode, self._engine)

    async def _prefill(
        self, reservation: reservation_mod.DecodeReservation
    ) -> None:
        call = self._call
        now = call.site.loop_time()
        first = not self._prefill_state.arrivals and not call.send_count
        left = call.retry_budget.remaining(now, call.site.gateway_count)
        # A second prefill elsewhere is one more arrival than one in place.
        if first or left >= 2.0:
            await prefill.prefill(
                call,
                reservation.prefill_endpoint,
                self._prompt_tokens,
                self._prefill_state,
                self._patience(reservation.reserved_at),
                exclude=call.site.table.other_versions(
                    call.service.name, reservation.endpoint.software
                ),
            )

    def _patience(self, reserved_at: float) -> slow_prefill.Patience | None:
        if not decode_hold.applies(self._call, self._engine):
            return None
        return slow_prefill.Patience(
            call=self._call,
            prompt=self._prompt_tokens,
            reserved=self._reserved,
            reserved_at=reserved_at,
            present=self._waiting_request,
        )

    def _would_be_interrupted(self) -> bool:
        """Whether a planned stop leaves too little time for the answer."""
        claim = self._waiting_request()
        ends_at = self._call.site.planned_stop.ends_at
        return self._call.site.loop_time() + claim.generation_s > ends_at

    def _refuse_no_capacity(
        self, no_capacity: reservation_mod.NoCapacity
    ) -> None:
        call = self._call
        if self._would_be_interrupted() and not call.may_have_run:
            # Other gateways can serve it at once, and as a new request.
            call.refuse(
                call_mod.Reason.STOPPING, call_mod.STOPPING_RETRY_AFTER_S
            )
            return
        call.log(
            "No room.",
            expected_wait_s=round(no_capacity.expected_wait_s, 3),
            prompt=self._prompt_tokens,
            expected_out=self._progress.run.remaining_tokens,
            came_back=self._refused_before,
            waited_s=round(call.site.loop_time() - call.began, 3),
            reason=no_capacity.reason.value,
            kept=no_capacity.kept,
        )
        if call.may_have_run:
            call.fail(call_mod.Reason.NO_ROOM, 502)
            return
        call.site.refusals.add(self._refusal_key, call.site.loop_time())
        call.refuse(call_mod.Reason.NO_ROOM, no_capacity.retry_after_s)


async def generate(call: call_mod.Call, engine: model.Engine) -> None:
    """Answer a request for a model service."""
    await Generation(call=call, engine=engine).run()
