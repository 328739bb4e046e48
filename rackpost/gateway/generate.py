"""Requests to model services: reserve a decode endpoint, then prefill.

A prefill's result expires within a second, so that the prompt is prefilled
only once a decode endpoint has capacity and a connection to it is open.
"""

import contextlib
from typing import Callable

from rackpost.decide import kv_forecast
from rackpost.decide import queue_order
from rackpost.decide import retry_decision
from rackpost import exceptions
from rackpost.gateway import attempt
from rackpost.gateway import call as call_mod
from rackpost.gateway import forward
from rackpost.gateway import prefill
from rackpost.gateway import reservation as reservation_mod
from rackpost.platform import headers
from rackpost.routing import endpoints
from rackpost.routing import model

# A refusal is sent this long before the client would leave, in seconds.
_BEFORE_LEAVING_S = 0.1
# Average share of an answer's tokens for which memory is held while it is
# generated: half would be used, and the rest is reserved.
_KEPT_SHARE = 0.75
# Times that a request is resumed at the endpoint where its connection broke;
# another break there means that the endpoint is unhealthy.
_KEPT_TRIES = 2
# Events after which a running stream counts for the decode timing, while no
# stream has ended yet.
_EVENTS_SEEN = 4


class Generation:
    """A request to a model service, from admission to its end."""

    def __init__(self, *, call: call_mod.Call, engine: model.Engine) -> None:
        self._call = call
        self._engine = engine
        sizes = headers.request_sizes(call.req.headers)
        self._prompt = sizes.prompt if sizes else 0
        self._most = sizes.max_output if sizes else 0
        self._guess = (
            min(sizes.expected_output, sizes.max_output) if sizes else 0
        )
        part = headers.own_prompt_part(call.req.headers)
        site = call.site
        book = site.refused
        self._key = book.key(call.route.name, part, call.req.body)
        # A refused request is late from the start when it is sent again: its
        # time counts from the first attempt.
        self._came_back = book.was_refused(self._key, call.began)
        self._read = prefill.Prefilled(call=call)
        # Whether prefill endpoints have failed: the prompt is to be prefilled
        # in place.
        self._in_place = False
        # The endpoint where the last connection broke, and the number of times
        # that the request was resumed at such an endpoint.
        self._broke_at: endpoints.Endpoint | None = None
        self._kept_tries = 0
        self._progress = self._new_progress()

    def _new_progress(self) -> kv_forecast.Progress:
        return kv_forecast.Progress(
            prompt=self._prompt,
            guess=self._call.site.lengths.expected(self._guess, self._most),
            max_tokens=self._most,
            event_tokens=self._engine.event_tokens,
            spread=self._call.site.lengths.spread,
        )

    async def run(self) -> None:
        """Answer the request."""
        call = self._call
        self._note_demand()
        while True:
            self._progress = self._new_progress()
            place = self._kept_place() or await call.site.room.reserve(
                self._wanted()
            )
            if isinstance(place, reservation_mod.NoCapacity):
                self._refuse_full(place)
                return
            if call.end_if_barred():
                place.release()
                return
            call.on_event = self._on_event(place)
            try:
                ended = await self._run_at(place)
            finally:
                place.release()
            if ended is None or not forward.goes_on(call, ended):
                self._read.release()
                return
            if ended is retry_decision.AttemptEnd.BROKEN:
                self._broke_at = place.endpoint

    def _kept_place(self) -> reservation_mod.DecodeReservation | None:
        """Reserve the endpoint whose connection broke, if it may be reused.

        A healthy endpoint still has the KV cache; any other endpoint needs the
        whole prompt prefilled again.
        """
        endpoint, self._broke_at = self._broke_at, None
        if endpoint is None or self._kept_tries >= _KEPT_TRIES:
            return None
        self._kept_tries += 1
        place = self._call.site.room.reserve_at(self._wanted(), endpoint)
        if place is not None:
            self._call.log("Goes on where it broke.", endpoint=endpoint.id)
        return place

    def _on_event(
        self, place: reservation_mod.DecodeReservation
    ) -> Callable[[], None]:
        progress = self._progress
        site = self._call.site
        began = 0.0

        def on_event() -> None:
            nonlocal began
            if progress.generated_tokens == 0:
                began = site.loop_time()
                self._note_start(place)
            place.record_prefilled()
            if (
                progress.generated_tokens
                == _EVENTS_SEEN * self._engine.event_tokens
            ):
                site.pace.record_partial_decode(
                    progress.generated_tokens, site.loop_time() - began
                )
            progress.record_event()

        return on_event

    def _note_start(self, place: reservation_mod.DecodeReservation) -> None:
        """Learn from the time to the first event."""
        if place.prefill_endpoint is not None:
            site = self._call.site
            site.pace.record_start(
                self._prompt, site.loop_time() - place.reserved_at
            )

    def _note_demand(self) -> None:
        """Count what the request demands of each role of endpoint."""
        site = self._call.site
        out = self._progress.run.remaining_tokens
        # More memory is reserved than a run holds on average.
        held = self._prompt + _KEPT_SHARE * out
        share = max(
            held / max(1, self._engine.memory_tokens),
            1.0 / max(1, self._engine.slots),
        )
        site.meter(self._call.service.name).add(
            self._call.began, prompt=self._prompt, out=out, share=share
        )

    def _wanted(self) -> reservation_mod.ReservationRequest:
        call = self._call
        return reservation_mod.ReservationRequest(
            service=call.service.name,
            memory_tokens=self._engine.memory_tokens,
            run=self._progress.run,
            exclude=call.not_again,
            event_interval_s=call.site.pace.decode_s(
                self._engine.event_tokens
            ),
            in_place=self._in_place,
            claim=self._claim(),
        )

    def _claim(self) -> queue_order.WaitingRequest:
        call = self._call
        pace = call.site.pace
        start_s = pace.start_s(self._prompt)
        return queue_order.WaitingRequest(
            priority=call.priority,
            target=self._target(),
            start_by=self._start_by(),
            # A request that the planned stop would interrupt is not started.
            deadline=min(call.until, call.site.planned_stop.ends_at),
            gateway_stopping=call.site.planned_stop.is_under_way,
            refused_before=self._came_back,
            start_s=start_s,
            run_s=start_s + pace.decode_s(self._progress.run.remaining_tokens),
        )

    def _target(self) -> float:
        call = self._call
        if self._came_back:
            return call.began
        return call.began + call.route.target_s

    def _start_by(self) -> float:
        call = self._call
        if not call.route.silence_s:
            return call.until
        # In a started stream the client's silence limit counts from the last
        # event.
        began = call.began
        if call.responder.started:
            began = call.site.loop_time()
        leaves = began + call.route.silence_s
        return min(call.until, leaves - _BEFORE_LEAVING_S)

    async def _run_at(
        self, place: reservation_mod.DecodeReservation
    ) -> retry_decision.AttemptEnd | None:
        call = self._call
        decode = place.endpoint
        try:
            async with contextlib.AsyncExitStack() as stack:
                enter = stack.enter_async_context
                conn = await enter(attempt.connected(call, decode))
                # The grant comes first, so that no prompt is prefilled for an
                # endpoint whose rate is used up.
                grant = await enter(attempt.granted(call, decode))
                if not await self._can_run(place):
                    self._in_place = True
                    return retry_decision.AttemptEnd.NOT_SENT
                self._in_place = False
                began = call.site.loop_time()
                ended = await attempt.run_on(
                    call, decode, conn, self._read.headers(), grant
                )
        except exceptions.ExchangeError as exc:
            return attempt.not_connected(call, decode, exc)
        if ended is None:
            self._note_made(call.site.loop_time() - began)
        elif ended is not retry_decision.AttemptEnd.NOT_SENT:
            self._read.release()
        return ended

    def _note_made(self, took_s: float) -> None:
        """Learn from a complete answer."""
        site = self._call.site
        made = self._progress.generated_tokens
        self._read.taken()
        site.pace.record_decode(made, took_s)
        site.lengths.record_answer(guess=self._guess, actual=made)

    async def _can_run(self, place: reservation_mod.DecodeReservation) -> bool:
        """Prefill the prompt; return whether decode may start.

        False if no prefill endpoint succeeded: the request then has to wait
        for a prefill in place.
        """
        if self._read.is_fresh(self._engine):
            return True
        self._read.release()
        if place.prefill_endpoint is None or self._prompt == 0:
            return True
        await self._prefill(place)
        # Release the prefill endpoint, also after a failure.
        place.record_prefilled()
        return self._read.is_fresh(self._engine)

    async def _prefill(self, place: reservation_mod.DecodeReservation) -> None:
        call = self._call
        now = call.site.loop_time()
        first = not self._read.arrivals and not call.sent
        left = call.budget.remaining(now, call.site.gateway_count)
        # A second prefill elsewhere is one more arrival than one in place.
        if first or left >= 2.0:
            await prefill.prefill(
                call, place.prefill_endpoint, self._prompt, self._read
            )

    def _would_be_cut(self) -> bool:
        """Whether a planned stop leaves too little time for the answer."""
        claim = self._claim()
        ends_at = self._call.site.planned_stop.ends_at
        return self._call.site.loop_time() + claim.run_s > ends_at

    def _refuse_full(self, full: reservation_mod.NoCapacity) -> None:
        call = self._call
        if self._would_be_cut() and not call.may_have_run:
            # Other gateways can serve it at once, and as a new request.
            call.refuse(call_mod.Reason.STOPPING, call_mod.ELSEWHERE_S)
            return
        call.log(
            "No room.",
            expected_wait_s=round(full.expected_wait_s, 3),
            prompt=self._prompt,
            expected_out=self._progress.run.remaining_tokens,
            came_back=self._came_back,
            waited_s=round(call.site.loop_time() - call.began, 3),
        )
        if call.may_have_run:
            call.fail(call_mod.Reason.NO_ROOM, 502)
            return
        call.site.refused.add(self._key, call.site.loop_time())
        call.refuse(call_mod.Reason.NO_ROOM, full.retry_after_s)


async def generate(call: call_mod.Call, engine: model.Engine) -> None:
    """Answer a request for a model service."""
    await Generation(call=call, engine=engine).run()
