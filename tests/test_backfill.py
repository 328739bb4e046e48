"""Large requests claim endpoints among small ones."""

import asyncio
import math
import random

from hypothesis import given
from hypothesis import strategies as st

from rackpost.decide import candidates
from rackpost.decide import eligibility
from rackpost.decide import endpoint_choice
from rackpost.decide import endpoint_health
from rackpost.decide import endpoint_load
from rackpost.decide import kv_forecast
from rackpost.decide import queue_order
from rackpost.decide import token_timing
from rackpost.decide.waiting import backfill
from rackpost.gateway import admission_queue
from rackpost.gateway import reservation as reservation_mod
from rackpost.routing import endpoints
from rackpost.testing import fleet
from rackpost.testing import fleet_load
from rackpost.testing import virtual
from rackpost import types

_SERVICE = types.ServiceName("model")
_CAPACITY = 10_000
_D0 = types.EndpointId("d0")
_D1 = types.EndpointId("d1")
_ME = types.VmId("g1")
_OTHER = types.VmId("g2")


def run(held: int, remaining: int) -> kv_forecast.Run:
    return kv_forecast.Run(held_tokens=held, remaining_tokens=remaining)


def summary(
    slack_s: float = 1.0, priority: int = 1
) -> queue_order.WaitingSummary:
    return queue_order.WaitingSummary(
        priority=priority, slack_s=slack_s, start_s=4.0
    )


def claim(
    endpoint: types.EndpointId = _D0, *, priority: int = 1
) -> backfill.Claim:
    return backfill.Claim(
        endpoint=endpoint,
        run=run(8_000, 500),
        waiting=summary(priority=priority),
    )


class TestFit:
    """When a run fits beside others."""

    def test_fits_now(self) -> None:
        found = backfill.fits_after_tokens(
            [run(500, 500)], run(8_000, 500), _CAPACITY
        )
        assert found == 0

    def test_fits_once_enough_runs_have_ended(self) -> None:
        runs = [run(1_000, 300), run(1_000, 700), run(200, 900)]
        found = backfill.fits_after_tokens(runs, run(8_000, 500), _CAPACITY)
        assert found == 700

    def test_never_fits_if_larger_than_an_endpoint(self) -> None:
        assert (
            backfill.fits_after_tokens([], run(10_000, 1), _CAPACITY) is None
        )


_RUN = st.builds(run, st.integers(1, 4_000), st.integers(0, 2_000))
_RUNS = st.lists(_RUN, max_size=8)


class TestBackfill:
    """Which runs may start at a claimed endpoint."""

    runs = [run(2_000, 400), run(500, 200)]

    def may_start(
        self, small: kv_forecast.Run, large: kv_forecast.Run
    ) -> bool:
        return backfill.may_backfill(self.runs, small, large, _CAPACITY)

    def test_a_run_that_ends_before_may(self) -> None:
        assert self.may_start(run(1_000, 300), run(8_000, 500))

    def test_a_run_that_ends_after_may_not(self) -> None:
        assert not self.may_start(run(1_000, 1_500), run(8_000, 500))

    def test_a_run_that_fits_beside_the_large_one_may(self) -> None:
        assert self.may_start(run(100, 700), run(6_400, 500))

    @given(runs=_RUNS, small=_RUN)
    def test_never_delays_the_claim(
        self, runs: list[kv_forecast.Run], small: kv_forecast.Run
    ) -> None:
        large = run(7_000, 800)
        before = backfill.fits_after_tokens(runs, large, _CAPACITY)
        after = backfill.fits_after_tokens([*runs, small], large, _CAPACITY)
        assert before is not None and after is not None
        allowed = backfill.may_backfill(runs, small, large, _CAPACITY)
        assert allowed == (after <= before)


class TestChooseClaim:
    """Which endpoint is claimed."""

    busy = backfill.Candidate(endpoint=_D0, runs=[run(5_000, 900)])
    free_soon = backfill.Candidate(endpoint=_D1, runs=[run(5_000, 100)])

    def choose(
        self,
        claimed: set[types.EndpointId] = frozenset(),  # type: ignore
        present: types.EndpointId | None = None,
        count: int = 1,
    ) -> types.EndpointId | None:
        more = [
            backfill.Candidate(
                endpoint=types.EndpointId(f"e{number}"),
                runs=[run(5_000, 2_000)],
            )
            for number in range(8 * (count - 1))
        ]
        return backfill.choose_claim(
            [self.busy, self.free_soon, *more],
            run(8_000, 500),
            _CAPACITY,
            claimed=claimed,
            present=present,
        )

    def test_where_it_fits_soonest(self) -> None:
        assert self.choose() == _D1

    def test_stays_where_it_is(self) -> None:
        assert self.choose(present=_D0) == _D0

    def test_moves_when_its_endpoint_is_gone(self) -> None:
        assert self.choose(present=types.EndpointId("gone")) == _D1

    def test_few_endpoints_are_claimed_at_a_time(self) -> None:
        assert self.choose(claimed={_D1}) is None
        assert self.choose(claimed={_D1}, count=2) == _D0


class TestPrecedence:
    """Who respects a claim."""

    def is_barred(
        self, own: queue_order.WaitingSummary, *, large: bool = False
    ) -> bool:
        return backfill.is_barred_by(
            claim(), 0.0, _OTHER, own, _ME, large=large
        )

    def test_small_requests_of_the_same_priority_do(self) -> None:
        assert self.is_barred(summary(0.1))

    def test_a_more_urgent_priority_does_not(self) -> None:
        assert not self.is_barred(summary(5.0, priority=0))
        assert self.is_barred(summary(0.1, priority=2))

    def test_of_two_large_requests_the_first_has_precedence(self) -> None:
        """Two claims at one endpoint must not wait for each other."""
        assert self.is_barred(summary(5.0), large=True)
        assert not self.is_barred(summary(0.1), large=True)


class Gateway:
    """One gateway's admission queue, with a load table that is shared."""

    def __init__(self, *, decodes: int = 2) -> None:
        self.changed = asyncio.Event()
        self.reported = 0
        self.loads = endpoint_load.LoadTable(on_change=self.changed.set)
        self.health = endpoint_health.HealthTracker()
        self.table = endpoints.EndpointTable()
        rng = random.Random(1)
        timing = token_timing.TokenTiming()
        timing.record_decode(100, 0.1)
        timing.record_prefill(10_000, 0.1)
        self.queue = admission_queue.AdmissionQueue(
            chooser=endpoint_choice.Chooser(
                candidates=candidates.Candidates(
                    table=self.table,
                    eligible=eligibility.Eligibility(
                        table=self.table, rng=rng
                    ),
                    silent_after_s=math.inf,
                    health=self.health,
                ),
                loads=self.loads,
                health=self.health,
                data_centre=types.DataCentre("here"),
                rng=rng,
            ),
            loads=self.loads,
            token_timing=timing,
            rng=rng,
            vm=_ME,
            capacity_changed=self.changed,
            on_waiters_changed=lambda: None,
        )
        for number in range(decodes):
            self.add_endpoint(f"d{number}", types.Role.DECODE)
        self.add_endpoint("p", types.Role.PREFILL)

    def add_endpoint(self, name: str, role: types.Role) -> None:
        self.table.update(
            endpoints.Endpoint(
                id=types.EndpointId(name),
                service=_SERVICE,
                address=f"{name}:1",
                data_centre=types.DataCentre("here"),
                role=role,
                slots=32,
                sequence=1,
            ),
            0.0,
        )

    def receive(self, *claims: backfill.Claim) -> None:
        self.reported += 1
        now = asyncio.get_running_loop().time()
        self.loads.receive(_OTHER, 1, self.reported, {}, now, claims=claims)
        self.changed.set()

    async def reserve(
        self, needed: kv_forecast.Run, *, on: bool = True
    ) -> reservation_mod.DecodeReservation:
        now = asyncio.get_running_loop().time()
        found = await self.queue.reserve(
            reservation_mod.ReservationRequest(
                service=_SERVICE,
                memory_tokens=_CAPACITY,
                run=needed,
                exclude=(),
                large_reservations=on,
                waiting_request=queue_order.WaitingRequest(
                    priority=1,
                    target=now + 30.0,
                    start_by=now + 60.0,
                    deadline=now + 120.0,
                    start_s=0.1,
                    generation_s=1.0,
                ),
            )
        )
        assert isinstance(found, reservation_mod.DecodeReservation)
        found.record_prefilled()
        return found


async def _small_load(gateway: Gateway) -> None:
    """Keep small runs running: each endpoint is three quarters full."""

    async def one(number: int) -> None:
        await asyncio.sleep(0.11 * (number % 9))
        while True:
            needed = run(1_200, 100)
            found = await gateway.reserve(needed)
            for _ in range(10):
                await asyncio.sleep(0.1)
                needed.held_tokens += 10
                needed.remaining_tokens -= 10
            found.release()

    async with asyncio.TaskGroup() as group:
        for number in range(12):
            group.create_task(one(number))


async def _large_starts_after_s(on: bool) -> float:
    gateway = Gateway()
    loop = asyncio.get_running_loop()
    if not on:
        reserve = gateway.reserve
        gateway.reserve = (  # type: ignore[method-assign]
            lambda needed: reserve(needed, on=False)
        )
    tasks = [
        asyncio.create_task(gateway.queue.run()),
        asyncio.create_task(_small_load(gateway)),
    ]
    await asyncio.sleep(2.0)
    began = loop.time()
    try:
        async with asyncio.timeout(20.0):
            await gateway.reserve(run(8_000, 400))
    except TimeoutError:
        pass
    took = loop.time() - began
    for task in tasks:
        task.cancel()
    return took


def test_a_large_request_starts_among_small_ones() -> None:
    """A steady load of small requests must not pass it for ever."""
    assert virtual.run(_large_starts_after_s(on=True)) < 2.0


def test_without_the_feature_small_requests_pass_it() -> None:
    assert virtual.run(_large_starts_after_s(on=False)) > 10.0


async def _is_admitted(gateway: Gateway, *, on: bool = True) -> bool:
    task = asyncio.create_task(gateway.reserve(run(2_000, 400), on=on))
    await asyncio.sleep(0.2)
    admitted = task.done()
    task.cancel()
    return admitted


def test_a_claim_of_another_gateway_is_respected() -> None:
    async def main() -> None:
        gateway = Gateway(decodes=1)
        queue = asyncio.create_task(gateway.queue.run())
        gateway.receive(claim())
        assert not await _is_admitted(gateway)
        # Its request has started or was refused.
        gateway.receive()
        assert await _is_admitted(gateway)
        queue.cancel()

    virtual.run(main())


def test_a_claim_lapses_with_its_gateways_report() -> None:
    async def main() -> None:
        gateway = Gateway(decodes=1)
        queue = asyncio.create_task(gateway.queue.run())
        gateway.receive(claim())
        await asyncio.sleep(2.0)
        assert await _is_admitted(gateway)
        queue.cancel()

    virtual.run(main())


def test_a_claim_at_a_lost_endpoint_bars_no_request() -> None:
    async def main() -> None:
        gateway = Gateway(decodes=1)
        queue = asyncio.create_task(gateway.queue.run())
        gateway.receive(claim(types.EndpointId("lost")))
        assert await _is_admitted(gateway)
        queue.cancel()

    virtual.run(main())


def test_claims_are_ignored_without_the_feature() -> None:
    async def main() -> None:
        gateway = Gateway(decodes=1)
        queue = asyncio.create_task(gateway.queue.run())
        gateway.receive(claim())
        assert await _is_admitted(gateway, on=False)
        queue.cancel()

    virtual.run(main())


def test_a_claim_is_reported_while_its_request_waits() -> None:
    async def main() -> None:
        gateway = Gateway(decodes=1)
        loop = asyncio.get_running_loop()
        queue = asyncio.create_task(gateway.queue.run())
        first = await gateway.reserve(run(5_000, 400))
        large = asyncio.create_task(gateway.reserve(run(8_000, 400)))
        await asyncio.sleep(0.1)
        found = gateway.queue.claims(loop.time())
        assert [item.endpoint for item in found] == [_D0]
        large.cancel()
        await asyncio.sleep(0.1)
        assert gateway.queue.claims(loop.time()) == ()
        first.release()
        queue.cancel()

    virtual.run(main())


class TestFleet:
    """A load in which a tenth of the prompts needs much of an endpoint."""

    spec = {
        "gateways": 21,
        "prefills": 7,
        "decodes": 5,
        "memory_tokens": 45_628,
        "prompt_spread": 0.8,
        "max_prompt": 30_000.0,
        "large_prompt": 11_000.0,
        "answer": 2_000.0,
        "answer_spread": 0.5,
        "max_answer": 6_000,
        "rate": 10.0,
        "surge_factor": 2.0,
        "target_s": 1.02,
        "prefill_token_s": 0.00003,
    }
    seeds = (1, 2, 3, 4, 5, 6, 7, 8)

    def outcomes(self, on: bool) -> list[fleet_load.Outcome]:
        spec = fleet_load.Spec(
            large_reservations=on,
            **self.spec,  # type: ignore[arg-type]
        )
        return [virtual.run(fleet.serve(spec, seed)) for seed in self.seeds]

    def test_large_prompts_are_served_and_small_ones_lose_nothing(
        self,
    ) -> None:
        before, after = self.outcomes(False), self.outcomes(True)

        def total(found: list[fleet_load.Outcome], name: str) -> int:
            return sum(getattr(one, name) for one in found)

        def small_in_time(found: list[fleet_load.Outcome]) -> int:
            return total(found, "in_time") - total(found, "large_in_time")

        refused = total(after, "large_refused")
        assert refused < total(before, "large_refused")
        small = total(after, "requests") - total(after, "large")
        small_refused = total(after, "refused") - refused
        served = 1.0 - refused / total(after, "large")
        assert served >= 0.9 * (1.0 - small_refused / small)
        assert small_in_time(after) >= small_in_time(before) - 0.01 * small
