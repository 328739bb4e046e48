"""Simulates many gateways and few endpoints in virtual time.

Gateways use the production admission queue, endpoint choice, forecasts and
load reports.  Simulated endpoints hold KV memory, decode in batches, preempt
the newest run when memory is exhausted and prefill it again later.
"""

import asyncio
import collections
import contextlib
import math
import random
from typing import AsyncIterator
from typing import Callable
from typing import Iterator

import msgspec

from rackpost.decide import answer_lengths
from rackpost.decide import candidates
from rackpost.decide import eligibility
from rackpost.decide import endpoint_choice
from rackpost.decide import endpoint_health
from rackpost.decide import endpoint_load
from rackpost.decide import holds
from rackpost.decide import kv_forecast
from rackpost.decide.pace import batch_timing
from rackpost.decide.pace import endpoint_pace
from rackpost.decide.pace import measured_pace
from rackpost.decide.pace import running_streams
from rackpost.decide.pace import stream_clock
from rackpost.decide import queue_order
from rackpost.decide import token_timing as token_timing_mod
from rackpost.decide.waiting import decisions as decisions_mod
from rackpost.decide.waiting import orders as orders_mod
from rackpost.gateway import admission_queue as admission_queue_mod
from rackpost.gateway import capacity_source
from rackpost.gateway import reservation as reservation_mod
from rackpost.routing import endpoints
from rackpost.testing import fleet_reports
from rackpost.testing import fleet_scheduler
from rackpost.testing import uneven
from rackpost import types

SERVICE = types.ServiceName("model")
_HERE = types.DataCentre("here")
# Time step of token generation.
_STEP_S = 0.01
# A client leaves after this multiple of the target without a first token.
_PATIENCE_TARGETS = 4.0
# Prefill time at a decode endpoint over that at a prefill endpoint.
_IN_PLACE_SLOWDOWN = 2.0
# An attempt that ended as the endpoint could not set capacity aside.
_NO_ROOM = -1.0


class Kind(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of request; times in seconds.

    Attributes:
        weight: its share of all requests, against the other kinds.
        surge_weight: the same during the surge; None if unchanged.
    """

    name: str
    priority: int
    target_s: float
    weight: float
    surge_weight: float | None = None


class Spec(msgspec.Struct, frozen=True, kw_only=True):
    """A fleet and its load; times in seconds, sizes in tokens.

    By default, nine typical requests fill the memory of a decode endpoint
    for about three seconds.
    """

    gateways: int = 68
    prefills: int = 4
    decodes: int = 12
    memory_tokens: int = 61640
    slots: int = 32
    event_tokens: int = 64
    # A token takes token_s + n * token_each_s in a batch of `n` runs.
    token_s: float = 0.00058
    token_each_s: float = 0.00002
    prefill_token_s: float = 0.000018
    prompt: float = 5200.0
    prompt_spread: float = 0.5
    answer: float = 4400.0
    answer_spread: float = 0.7
    max_answer: int = 10880
    # Log-normal spread of clients' length estimates around the true length.
    guess_spread: float = 0.5
    rate: float = 13.0
    surge_factor: float = 2.3
    surge_at: float = 4.0
    surge_s: float = 4.0
    seconds: float = 12.0
    target_s: float = 0.92
    max_pause_s: float = 0.3
    # Delay of other gateways' load reports.
    report_delay_s: float = 0.013
    # With kinds, their targets and priorities replace `target_s` and 1.
    kinds: tuple[Kind, ...] = ()
    organisations: int = 1
    # During the surge the first organisation sends this many times its usual.
    hot_factor: float = 1.0
    # How often a refused client comes back.
    returns: int = 0
    # The decisions of the contention order that gateways use.
    decisions: frozenset[decisions_mod.Decision] = frozenset()
    # Prompts are at most this long.
    max_prompt: float = math.inf
    # From this length on a prompt counts among the large ones.
    large_prompt: float = math.inf
    large_reservations: bool = False
    # Speeds of prefill and of decode endpoints, and whether gateways measure
    # them.
    prefill_speeds: uneven.Speeds = uneven.Speeds()
    decode_speeds: uneven.Speeds = uneven.Speeds()
    measures_pace: bool = False
    # Capacity is granted by a scheduler, over links with this delay.
    scheduler: bool = False
    link_delay_s: float = 0.002
    # Share of the requests with a higher priority.
    urgent_share: float = 0.0
    # With a rate of the gateways' links, their load reports are messages that
    # pass these; `report_delay_s` is not used.
    link_mbps: float = 0.0
    load_deltas: bool = False
    # Plain requests a second, which only appear in load reports.
    plain_rate: float = 0.0
    plain_s: float = 0.04
    # Whether capacity is set aside at decode endpoints before a prefill,
    # above this share of an endpoint's memory by forecast; None for never.
    holds_above: float | None = None
    # Memory set aside for an answer, as a share of its expected length.
    held_answer: float = 0.5
    # Without, calls tell whether there is room, and set nothing aside.
    keeps_holds: bool = True


class Tally(msgspec.Struct, kw_only=True):
    """The number of requests of one kind or organisation by outcome."""

    requests: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    # Started within the target; a pause later does not count.
    started: int = 0

    @property
    def served(self) -> float:
        """The share of the requests that was answered."""
        return (self.in_time + self.late) / max(1, self.requests)

    @property
    def timely(self) -> float:
        """The share of the requests without a late start or long pause."""
        return self.in_time / max(1, self.requests)

    @property
    def prompt(self) -> float:
        """The share of the requests that started in time."""
        return self.started / max(1, self.requests)


class Outcome(msgspec.Struct, kw_only=True):
    """The number of requests by outcome, and the cost of the run."""

    # By name of the kind, and by number of the organisation.
    by_kind: dict[str, Tally] = msgspec.field(default_factory=dict)
    by_organisation: dict[str, Tally] = msgspec.field(default_factory=dict)

    requests: int = 0
    in_time: int = 0
    late_start: int = 0
    long_pause: int = 0
    refused: int = 0
    preempted: int = 0
    rejected: int = 0
    # Prefilled or generated tokens that were discarded.
    wasted: int = 0
    # Load reports; each goes to all other gateways.
    messages: int = 0
    # The same counts of the requests with large prompts alone.
    large: int = 0
    large_in_time: int = 0
    large_refused: int = 0
    # Calls that set capacity aside, and those without room.
    holds: int = 0
    holds_refused: int = 0
    # Messages between gateways and the scheduler.
    link_messages: int = 0
    # Of the requests with a higher priority.
    urgent: int = 0
    urgent_in_time: int = 0
    # Sum of the times to the first token, in seconds.
    start_s: float = 0.0
    # Reservations of memory that was in use or reserved already.
    overbooked: int = 0
    # Sum over the reservations of the error of the gateway's forecast, as a
    # share of the endpoint's memory.
    forecast_error: float = 0.0
    # With links: bytes a second on the busiest link in its busiest half
    # second, all bytes, and the age at which reservations become known at
    # other gateways.
    peak_link_bytes: float = 0.0
    report_bytes: int = 0
    report_age_p50_s: float = 0.0
    report_age_p99_s: float = 0.0


class _Stream:
    """A generation at an endpoint."""

    def __init__(
        self, *, prompt: int, answer: int, progress: kv_forecast.Progress
    ) -> None:
        self.prompt = prompt
        self.answer = answer
        self.generated = 0.0
        self.events = 0
        self.progress = progress
        self.first_at = math.inf
        self.last_at = 0.0
        self.longest_pause_s = 0.0
        self.ended = asyncio.Event()
        self.on_event: Callable[[], None] = progress.record_event

    @property
    def size(self) -> int:
        """Tokens that occupy KV memory."""
        return self.prompt + int(self.generated)


class _Caller:
    """Who sent a request, and how often it was refused."""

    def __init__(
        self, *, kind: Kind, organisation: types.OrganisationName, began: float
    ) -> None:
        self.kind = kind
        self.organisation = organisation
        self.began = began
        self.refusals = 0


class _DecodeEngine:
    """A simulated decode endpoint."""

    def __init__(self, *, spec: Spec, outcome: Outcome, number: int) -> None:
        self._spec = spec
        self._outcome = outcome
        self._number = number
        self._loop = asyncio.get_running_loop()
        self._runs: list[_Stream] = []
        self._preempted: list[_Stream] = []
        self.held: collections.Counter[int] = collections.Counter()
        # No tokens are generated during a prefill.
        self._prefilling_until = 0.0

    @property
    def _used(self) -> int:
        return sum(item.size for item in self._runs)

    def set_aside(self, holder: int, tokens: int) -> bool:
        """Set memory aside; return False if there is too little."""
        held = sum(self.held.values())
        if self._used + held + tokens > self._spec.memory_tokens:
            return False
        self.held[holder] = tokens
        return True

    def start(self, stream: _Stream) -> bool:
        """Start a prefilled run; return False if memory is full."""
        held = sum(self.held.values())
        if self._used + held + stream.size > self._spec.memory_tokens:
            return False
        stream.last_at = self._loop.time()
        self._runs.append(stream)
        return True

    async def run(self) -> None:
        """Generate tokens until cancelled."""
        while True:
            await asyncio.sleep(_STEP_S)
            now = self._loop.time()
            self._resume_preempted(now)
            if now >= self._prefilling_until:
                self._generate(now)
            self._preempt_until_fits()

    def _resume_preempted(self, now: float) -> None:
        """Prefill a preempted run again if there is memory for it."""
        if not self._preempted or now < self._prefilling_until:
            return
        first = self._preempted[0]
        if self._used + first.size > 0.98 * self._spec.memory_tokens:
            return
        self._preempted.pop(0)
        self._runs.append(first)
        factor = self._spec.decode_speeds.factor(self._number, now)
        token_s = self._spec.prefill_token_s * factor
        took = first.size * token_s * _IN_PLACE_SLOWDOWN
        self._prefilling_until = now + took

    def _generate(self, now: float) -> None:
        spec = self._spec
        count = len(self._runs)
        token_s = spec.token_s + count * spec.token_each_s
        token_s *= spec.decode_speeds.factor(self._number, now)
        for stream in list(self._runs):
            stream.generated += _STEP_S / token_s
            ended = stream.generated >= stream.answer
            if (
                ended
                or stream.generated >= (stream.events + 1) * spec.event_tokens
            ):
                self._record_event(stream, now)
            if ended:
                self._runs.remove(stream)
                stream.ended.set()

    def _record_event(self, stream: _Stream, now: float) -> None:
        if stream.events:
            pause = now - stream.last_at
            stream.longest_pause_s = max(stream.longest_pause_s, pause)
        else:
            stream.first_at = now
        stream.events += 1
        stream.last_at = now
        stream.on_event()

    def _preempt_until_fits(self) -> None:
        # What is set aside does not give way.
        room = self._spec.memory_tokens - sum(self.held.values())
        while self._runs and self._used > room:
            newest = self._runs.pop()
            self._preempted.append(newest)
            self._outcome.preempted += 1
            self._outcome.wasted += newest.size


class _PrefillEngine:
    """A simulated prefill endpoint, which prefills prompts in sequence."""

    def __init__(self, *, spec: Spec, number: int) -> None:
        self._spec = spec
        self._number = number
        self._loop = asyncio.get_running_loop()
        self._free_at = 0.0

    async def prefill(self, prompt: int) -> float:
        """Prefill a prompt; return the seconds that this took."""
        now = self._loop.time()
        factor = self._spec.prefill_speeds.factor(self._number, now)
        took = prompt * self._spec.prefill_token_s * factor
        self._free_at = max(now, self._free_at) + took
        await asyncio.sleep(self._free_at - now)
        return self._free_at - now


class Gateway:
    """One gateway's production queue, choice and load table."""

    def __init__(self, *, number: int, spec: Spec) -> None:
        self.vm = types.VmId(f"g{number}")
        self.load_changed = asyncio.Event()
        self.capacity_changed = asyncio.Event()
        self.loads = endpoint_load.LoadTable(on_change=self.load_changed.set)
        self.health = endpoint_health.HealthTracker()
        self.token_timing = token_timing_mod.TokenTiming()
        self.lengths = answer_lengths.AnswerLengths()
        self.sequence = 0
        self.batch_timing = batch_timing.BatchTiming()
        self.running_streams = running_streams.RunningStreams()
        self.pace: endpoint_pace.EndpointPace = endpoint_pace.EqualPace()
        if spec.measures_pace:
            self.pace = measured_pace.MeasuredPace(
                streams=self.running_streams
            )
        rng = random.Random(number)
        table = endpoints.EndpointTable()
        for item in (*_endpoints(spec), *_plain_endpoints()):
            table.update(item, 0.0)
        chooser = endpoint_choice.Chooser(
            candidates=candidates.Candidates(
                table=table,
                eligible=eligibility.Eligibility(
                    table=table, rng=random.Random(1)
                ),
                silent_after_s=math.inf,
                health=self.health,
            ),
            loads=self.loads,
            health=self.health,
            data_centre=_HERE,
            rng=rng,
            pace_of=lambda _: self.pace,
        )
        chooser.set_gateways(spec.gateways)
        self.orders = orders_mod.Orders(
            vm=self.vm, decisions_of=lambda _: spec.decisions
        )
        self.chooser = chooser
        self.table = table
        self.admission_queue = admission_queue_mod.AdmissionQueue(
            chooser=chooser,
            loads=self.loads,
            token_timing=self.token_timing,
            rng=rng,
            vm=self.vm,
            capacity_changed=self.capacity_changed,
            on_waiters_changed=self.load_changed.set,
            orders=self.orders,
        )
        self.capacity: capacity_source.CapacitySource = self.admission_queue
        # Timings of a gateway that has served for some time.
        self.token_timing.record_prefill(1000, 1000 * spec.prefill_token_s)
        token_s = spec.token_s + 8 * spec.token_each_s
        self.token_timing.record_decode(4000, 4000 * token_s)

    def reported_loads(
        self,
    ) -> dict[types.EndpointId, endpoint_load.EndpointLoad]:
        """Return a copy of this gateway's loads, to publish."""
        return {
            key: endpoint_load.EndpointLoad(
                requests=use.requests,
                prompt_tokens=use.prompt_tokens,
                runs=[
                    kv_forecast.Run(
                        held_tokens=run.held_tokens,
                        remaining_tokens=run.remaining_tokens,
                        error_tokens=run.error_tokens,
                    )
                    for run in use.runs
                ],
            )
            for key, use in self.loads.own.items()
        }


def _endpoints(spec: Spec) -> Iterator[endpoints.Endpoint]:
    roles = [("p", types.Role.PREFILL, spec.prefills)]
    roles.append(("d", types.Role.DECODE, spec.decodes))
    for letter, role, count in roles:
        for number in range(count):
            yield endpoints.Endpoint(
                id=types.EndpointId(f"{letter}{number}"),
                service=SERVICE,
                address=f"{letter}{number}:1",
                data_centre=_HERE,
                role=role,
                slots=spec.slots,
                sequence=1,
            )


def _plain_endpoints() -> list[endpoints.Endpoint]:
    return [
        endpoints.Endpoint(
            id=types.EndpointId(f"q{number}"),
            service=types.ServiceName("plain"),
            address=f"q{number}:1",
            data_centre=_HERE,
            role=types.Role.PLAIN,
            slots=8,
            sequence=1,
        )
        for number in range(5)
    ]


def _size(rng: random.Random, mean: float, spread: float) -> float:
    """Return a sample of a log-normal distribution."""
    variance = math.log(1.0 + spread * spread)
    return rng.lognormvariate(
        math.log(mean) - variance / 2.0, math.sqrt(variance)
    )


class Fleet:
    """Simulated gateways and endpoints that serve a load."""

    def __init__(self, *, spec: Spec, seed: int) -> None:
        self._spec = spec
        self._rng = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self.outcome = Outcome()
        self._scheduler: fleet_scheduler.FleetScheduler | None = None
        self._gateways = [
            Gateway(number=number, spec=spec)
            for number in range(spec.gateways)
        ]
        if spec.scheduler:
            self._scheduler = fleet_scheduler.FleetScheduler(
                endpoints=list(_endpoints(spec)),
                service=SERVICE,
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
            item.id: _PrefillEngine(spec=spec, number=int(item.id[1:]))
            for item in _endpoints(spec)
            if item.role is types.Role.PREFILL
        }
        self._decode_engines = {
            item.id: _DecodeEngine(
                spec=spec, outcome=self.outcome, number=int(item.id[1:])
            )
            for item in _endpoints(spec)
            if item.role is types.Role.DECODE
        }

    async def serve(self) -> Outcome:
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

    async def _plain(self, gateway: Gateway, rng: random.Random) -> None:
        endpoint = rng.choice(_plain_endpoints()).id
        with gateway.loads.request_added(endpoint):
            await asyncio.sleep(self._spec.plain_s)

    def _record_reservation(
        self, gateway: Gateway, endpoint: types.EndpointId
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

    async def _publish_loop(self, gateway: Gateway) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1.0):
                    await gateway.load_changed.wait()
                await asyncio.sleep(self._spec.report_delay_s)
            gateway.load_changed.clear()
            self._publish(gateway)

    def _publish(self, gateway: Gateway) -> None:
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
        kind = Kind(name="", priority=1, target_s=spec.target_s, weight=1.0)
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

    def _tallies(self, caller: _Caller) -> list[Tally]:
        outcome = self.outcome
        return [
            outcome.by_kind.setdefault(caller.kind.name, Tally()),
            outcome.by_organisation.setdefault(caller.organisation, Tally()),
        ]

    async def _request(self) -> None:
        spec = self._spec
        rng = self._rng
        self.outcome.requests += 1
        gateway = rng.choice(self._gateways)
        prompt = int(
            min(spec.max_prompt, _size(rng, spec.prompt, spec.prompt_spread))
        )
        self.outcome.large += prompt >= spec.large_prompt
        answer = min(
            spec.max_answer,
            1 + int(_size(rng, spec.answer, spec.answer_spread)),
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
        gateway: Gateway,
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
            stream = _Stream(prompt=prompt, answer=answer, progress=progress)
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
        gateway: Gateway,
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
        self, gateway: Gateway, endpoint: types.EndpointId, prompt: int
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
        self, gateway: Gateway, endpoint: types.EndpointId, stream: _Stream
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

    def _record_outcome(self, stream: _Stream, caller: _Caller) -> None:
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
    spec: Spec,
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
        service=SERVICE,
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


async def serve(spec: Spec, seed: int) -> Outcome:
    """Simulate a fleet under its load."""
    return await Fleet(spec=spec, seed=seed).serve()
