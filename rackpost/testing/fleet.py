"""Simulates many gateways and few endpoints in virtual time.

Gateways use the production admission queue, endpoint choice, forecasts and
load reports.  Simulated endpoints hold KV memory, decode in batches, preempt
the newest run when memory is exhausted and prefill it again later.
"""

import asyncio
import contextlib
import random
from typing import AsyncIterator

import msgspec

from rackpost.decide import holds
from rackpost.decide import kv_forecast
from rackpost.decide.pace import stream_clock
from rackpost.decide import queue_order
from rackpost.decide import token_timing as token_timing_mod
from rackpost.gateway import reservation as reservation_mod
from rackpost.testing import fleet_engines
from rackpost.testing import fleet_gateway
from rackpost.testing import fleet_load
from rackpost.testing import fleet_reports
from rackpost.testing import fleet_scheduler
from rackpost import types

# A client leaves after this multiple of the target without a first token.
_PATIENCE_TARGETS = 4.0
# An attempt that ended as the endpoint could not set capacity aside.
_NO_ROOM = -1.0


class _Caller:
    """Who sent a request, and how often it was refused."""

    def __init__(
        self,
        *,
        kind: fleet_load.Kind,
        organisation: types.OrganisationName,
        began: float,
    ) -> None:
        self.kind = kind
        self.organisation = organisation
        self.began = began
        self.refusals = 0


class Fleet:
    """Simulated gateways and endpoints that serve a load."""

    def __init__(self, *, spec: fleet_load.Spec, seed: int) -> None:
        self._spec = spec
        self._rng = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self.outcome = fleet_load.Outcome()
        self._scheduler: fleet_scheduler.FleetScheduler | None = None
        self._gateways = [
            fleet_gateway.Gateway(number=number, spec=spec)
            for number in range(spec.gateways)
        ]
        if spec.scheduler:
            self._scheduler = fleet_scheduler.FleetScheduler(
                endpoints=list(fleet_gateway.model_endpoints(spec)),
                service=fleet_gateway.SERVICE,
                delay_s=spec.link_delay_s,
            )
            for gateway in self._gateways:
                gateway.capacity = self._scheduler.client(
                    gateway.vm,
                    local=gateway.admission_queue,
                    chooser=gateway.chooser,
                    loads=gateway.loads,
                    table=gateway.table,
                    health=gateway.health,
                    token_timing=gateway.token_timing,
                    capacity_changed=gateway.capacity_changed,
                )
        self._reports: fleet_reports.FleetReports | None = None
        if spec.link_mbps > 0.0:
            self._reports = fleet_reports.FleetReports(
                listed=[item.vm for item in self._gateways],
                link_mbps=spec.link_mbps,
                has_deltas=spec.load_deltas,
            )
        self._prefill_engines = {
            item.id: fleet_engines.PrefillEngine(
                spec=spec, number=int(item.id[1:])
            )
            for item in fleet_gateway.model_endpoints(spec)
            if item.role is types.Role.PREFILL
        }
        self._decode_engines = {
            item.id: fleet_engines.DecodeEngine(
                spec=spec, outcome=self.outcome, number=int(item.id[1:])
            )
            for item in fleet_gateway.model_endpoints(spec)
            if item.role is types.Role.DECODE
        }

    async def serve(self) -> fleet_load.Outcome:
        """Serve the whole load; return the outcome."""
        async with self._running(), asyncio.TaskGroup() as group:
            end = self._loop.time() + self._spec.seconds
            while (now := self._loop.time()) < end:
                group.create_task(self._request())
                rate = self._rate(now)
                await asyncio.sleep(self._rng.expovariate(rate))
        return self.outcome

    def _rate(self, now: float) -> float:
        spec = self._spec
        since = now - spec.surge_at
        surge = 0.0 <= since < spec.surge_s
        return spec.rate * (spec.surge_factor if surge else 1.0)

    @contextlib.asynccontextmanager
    async def _running(self) -> AsyncIterator[None]:
        tasks = [
            asyncio.create_task(engine.run())
            for engine in self._decode_engines.values()
        ]
        for gateway in self._gateways:
            tasks.append(asyncio.create_task(gateway.admission_queue.run()))
            if self._reports is None:
                tasks.append(asyncio.create_task(self._publish_loop(gateway)))
        # All gateways have a first report before requests arrive.
        for gateway in self._gateways:
            self._publish(gateway)
        if self._reports is not None:
            tasks.append(
                asyncio.create_task(self._reports.run(self._gateways))
            )
        if self._spec.plain_rate > 0.0:
            tasks.append(asyncio.create_task(self._send_plain()))
        if self._scheduler is not None:
            tasks += self._scheduler.start()
        try:
            yield
        finally:
            if self._scheduler is not None:
                self.outcome.link_messages = self._scheduler.messages
                self._scheduler.close()
            if self._reports is not None:
                self._reports.sum_up(self.outcome)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _send_plain(self) -> None:
        """Count plain requests at random gateways until cancelled."""
        rng = random.Random(0)
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(rng.expovariate(self._spec.plain_rate))
                group.create_task(self._plain(rng.choice(self._gateways), rng))

    async def _plain(
        self, gateway: fleet_gateway.Gateway, rng: random.Random
    ) -> None:
        endpoint = rng.choice(fleet_gateway.plain_endpoints()).id
        with gateway.loads.request_added(endpoint):
            await asyncio.sleep(self._spec.plain_s)

    def _record_reservation(
        self, gateway: fleet_gateway.Gateway, endpoint: types.EndpointId
    ) -> None:
        """Compare what the gateway knows with what is reserved."""
        memory = self._spec.memory_tokens
        known = kv_forecast.peak_tokens(gateway.loads.total(endpoint).runs)
        actual = kv_forecast.peak_tokens(
            run
            for item in self._gateways
            if endpoint in item.loads.own
            for run in item.loads.own[endpoint].runs
        )
        self.outcome.forecast_error += abs(known - actual) / memory
        self.outcome.overbooked += actual > memory

    async def _publish_loop(self, gateway: fleet_gateway.Gateway) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1.0):
                    await gateway.load_changed.wait()
                await asyncio.sleep(self._spec.report_delay_s)
            gateway.load_changed.clear()
            self._publish(gateway)

    def _publish(self, gateway: fleet_gateway.Gateway) -> None:
        self.outcome.messages += 1
        gateway.sequence += 1
        now = self._loop.time()
        uses = gateway.reported_loads()
        first = gateway.admission_queue.most_urgent_waiters(now)
        contention = gateway.admission_queue.contention_reports(now)
        claims = gateway.admission_queue.claims(now)
        paces = gateway.pace.reports(now)
        for other in self._gateways:
            if other is not gateway:
                other.loads.receive(
                    gateway.vm,
                    1,
                    gateway.sequence,
                    uses,
                    now,
                    waiting=first,
                    claims=claims,
                )
                other.orders.receive(gateway.vm, contention, now)
                other.pace.receive(paces, now, sender=gateway.vm)
                other.capacity_changed.set()

    def _caller(self) -> _Caller:
        """Return who sends the next request, and of which kind."""
        spec = self._spec
        since = self._loop.time() - spec.surge_at
        surge = 0.0 <= since < spec.surge_s
        kind = fleet_load.Kind(
            name="", priority=1, target_s=spec.target_s, weight=1.0
        )
        if spec.kinds:
            weights = [
                (
                    item.surge_weight
                    if surge and item.surge_weight is not None
                    else item.weight
                )
                for item in spec.kinds
            ]
            kind = self._rng.choices(spec.kinds, weights)[0]
        elif spec.urgent_share > 0.0:
            if self._rng.random() < spec.urgent_share:
                kind = msgspec.structs.replace(kind, name="urgent", priority=0)
        organisation = 0
        if spec.organisations > 1:
            usual = [1.0] * (spec.organisations - 1)
            hot = spec.hot_factor if surge else 1.0
            organisation = self._rng.choices(
                range(spec.organisations), [hot, *usual]
            )[0]
        return _Caller(
            kind=kind,
            organisation=types.OrganisationName(f"o{organisation}"),
            began=self._loop.time(),
        )

    def _tallies(self, caller: _Caller) -> list[fleet_load.Tally]:
        outcome = self.outcome
        return [
            outcome.by_kind.setdefault(caller.kind.name, fleet_load.Tally()),
            outcome.by_organisation.setdefault(
                caller.organisation, fleet_load.Tally()
            ),
        ]

    async def _request(self) -> None:
        spec = self._spec
        rng = self._rng
        self.outcome.requests += 1
        gateway = rng.choice(self._gateways)
        prompt = int(
            min(
                spec.max_prompt,
                fleet_load.sample_size(rng, spec.prompt, spec.prompt_spread),
            )
        )
        self.outcome.large += prompt >= spec.large_prompt
        answer = min(
            spec.max_answer,
            1
            + int(
                fleet_load.sample_size(rng, spec.answer, spec.answer_spread)
            ),
        )
        off = rng.lognormvariate(0.0, spec.guess_spread)
        guess = min(spec.max_answer, int(answer * off))
        caller = self._caller()
        self.outcome.urgent += caller.kind.priority == 0
        for tally in self._tallies(caller):
            tally.requests += 1
        while True:
            retry_after_s = await self._attempt(
                gateway, prompt, answer, guess, caller
            )
            if retry_after_s is None:
                return
            if retry_after_s == _NO_ROOM:
                continue
            if retry_after_s > 0.0:
                await asyncio.sleep(retry_after_s)
                gateway = rng.choice(self._gateways)
            else:
                self.outcome.rejected += 1

    async def _attempt(
        self,
        gateway: fleet_gateway.Gateway,
        prompt: int,
        answer: int,
        guess: int,
        caller: _Caller,
    ) -> float | None:
        """Make one attempt; return when to retry, None if it is over.

        0 if the endpoint rejects it, _NO_ROOM if it has none to set aside.
        """
        spec = self._spec
        progress = kv_forecast.Progress(
            prompt=prompt,
            guess=gateway.lengths.expected(guess, spec.max_answer),
            max_tokens=spec.max_answer,
            event_tokens=spec.event_tokens,
            spread=gateway.lengths.spread,
        )
        reservation = await gateway.capacity.reserve(
            _reservation_request(
                spec,
                gateway.token_timing,
                progress.run,
                caller,
                self._loop.time(),
            )
        )
        if isinstance(reservation, reservation_mod.NoCapacity):
            delay_s = self._refused(caller, reservation)
            if delay_s is None:
                self.outcome.large_refused += prompt >= spec.large_prompt
            return delay_s
        self._record_reservation(gateway, reservation.endpoint.id)
        engine = self._decode_engines[reservation.endpoint.id]
        holder = id(reservation)
        try:
            if not await self._set_aside(gateway, reservation, progress):
                return _NO_ROOM
            if reservation.prefill_endpoint is not None:
                await self._prefill(
                    gateway, reservation.prefill_endpoint.id, prompt
                )
            reservation.record_prefilled()
            stream = fleet_engines.Stream(
                prompt=prompt, answer=answer, progress=progress
            )
            clock = self._watch(gateway, reservation.endpoint.id, stream)
            del engine.held[holder]
            if not engine.start(stream):
                self.outcome.wasted += prompt
                gateway.health.record_rejection(
                    reservation.endpoint.id, reservation.reserved_at
                )
                return 0.0
            await stream.ended.wait()
            clock.end()
        finally:
            del engine.held[holder]
            reservation.release()
        gateway.lengths.record_answer(guess=guess, actual=answer)
        self._record_outcome(stream, caller)
        return None

    async def _set_aside(
        self,
        gateway: fleet_gateway.Gateway,
        reservation: reservation_mod.DecodeReservation,
        progress: kv_forecast.Progress,
    ) -> bool:
        """Set capacity aside where this is due; return whether to go on."""
        spec = self._spec
        key = reservation.endpoint.id
        runs = gateway.loads.total(key).runs
        if reservation.prefill_endpoint is None or spec.holds_above is None:
            return True
        if kv_forecast.peak_tokens(runs) <= (
            spec.holds_above * spec.memory_tokens
        ):
            return True
        tokens = holds.terms(
            progress.run,
            memory_tokens=spec.memory_tokens,
            prefill_timeout_s=0.0,
            max_ttl_s=0.0,
            answer_share=spec.held_answer,
        ).tokens
        await asyncio.sleep(spec.link_delay_s)
        granted = self._decode_engines[key].set_aside(id(reservation), tokens)
        await asyncio.sleep(spec.link_delay_s)
        self.outcome.holds += 1
        if not spec.keeps_holds:
            del self._decode_engines[key].held[id(reservation)]
        if not granted:
            self.outcome.holds_refused += 1
            gateway.health.record_no_room(key, self._loop.time())
        return granted

    def _refused(
        self, caller: _Caller, refusal: reservation_mod.NoCapacity
    ) -> float | None:
        """Return after how long the client comes back, None if never."""
        if caller.refusals < self._spec.returns:
            caller.refusals += 1
            return max(0.001, refusal.retry_after_s)
        self.outcome.refused += 1
        for tally in self._tallies(caller):
            tally.refused += 1
        return None

    async def _prefill(
        self,
        gateway: fleet_gateway.Gateway,
        endpoint: types.EndpointId,
        prompt: int,
    ) -> None:
        """Prefill a prompt, and let the gateway learn from it."""
        load = gateway.loads.total(endpoint)
        tokens = max(prompt, load.prompt_tokens)
        usual_s = gateway.token_timing.prefill_s(tokens)
        now = self._loop.time()
        with gateway.running_streams.watched(endpoint, usual_s, now):
            took = await self._prefill_engines[endpoint].prefill(prompt)
        gateway.pace.record_prefill(
            endpoint, seconds=took, usual_s=usual_s, now=self._loop.time()
        )
        gateway.token_timing.record_prefill(prompt, took)

    def _watch(
        self,
        gateway: fleet_gateway.Gateway,
        endpoint: types.EndpointId,
        stream: fleet_engines.Stream,
    ) -> stream_clock.StreamClock:
        """Let the gateway time the events of a stream."""
        clock = stream_clock.StreamClock(
            endpoint=endpoint,
            pace=gateway.pace,
            timing=gateway.batch_timing,
            streams=gateway.running_streams,
        )

        def on_event() -> None:
            stream.progress.record_event()
            runs = max(1, len(gateway.loads.total(endpoint).runs))
            clock.record_event(runs, self._loop.time())

        stream.on_event = on_event
        return clock

    def _record_outcome(
        self, stream: fleet_engines.Stream, caller: _Caller
    ) -> None:
        late = stream.first_at - caller.began > caller.kind.target_s
        paused = stream.longest_pause_s > self._spec.max_pause_s
        for tally in self._tallies(caller):
            tally.started += not late
            tally.late += late or paused
            tally.in_time += not (late or paused)
        self.outcome.late_start += late
        self.outcome.long_pause += paused
        self.outcome.in_time += not (late or paused)
        if stream.prompt >= self._spec.large_prompt:
            self.outcome.large_in_time += not (late or paused)
        urgent = caller.kind.priority == 0
        self.outcome.urgent_in_time += urgent and not (late or paused)
        self.outcome.start_s += stream.first_at - caller.began


def _reservation_request(
    spec: fleet_load.Spec,
    pace: token_timing_mod.TokenTiming,
    run: kv_forecast.Run,
    caller: _Caller,
    now: float,
) -> reservation_mod.ReservationRequest:
    kind = caller.kind
    began = caller.began
    # As gateways do: a request that comes back is late, and has its client's
    # patience again.
    returned = caller.refusals > 0
    target = now if returned else began + kind.target_s
    start_by = now if returned else began
    start_s = pace.start_s(run.held_tokens)
    return reservation_mod.ReservationRequest(
        service=fleet_gateway.SERVICE,
        memory_tokens=spec.memory_tokens,
        run=run,
        exclude=(),
        event_interval_s=pace.decode_s(spec.event_tokens),
        large_reservations=spec.large_reservations,
        waiting_request=queue_order.WaitingRequest(
            priority=kind.priority,
            target=target,
            start_by=start_by + _PATIENCE_TARGETS * kind.target_s,
            refused_before=returned,
            organisation=caller.organisation,
            arrived_at=now,
            deadline=began + 14.0,
            start_s=start_s,
            generation_s=start_s + pace.decode_s(run.remaining_tokens),
        ),
    )


async def serve(spec: fleet_load.Spec, seed: int) -> fleet_load.Outcome:
    """Simulate a fleet under its load."""
    return await Fleet(spec=spec, seed=seed).serve()
