"""Runs one bench case: a deployment, load, fault, policy and seed."""

import asyncio
import collections
import random
from typing import Iterable
from typing import NamedTuple

from lab import baselines
from rackpost.decide import declared_events
from rackpost.decide import placement
from rackpost.decide import prefix
from rackpost.decide import reservations
from rackpost.entry import core as entry_core
from rackpost.entry import request
from rackpost.testing import claims
from rackpost.testing import engine
from rackpost.testing import plain
from rackpost.testing import site as site_mod
from rackpost.testing import virtual
from rackpost.testing import workload
from rackpost import types

SPEC = engine.EngineSpec()
# Requests between WARM_S and SECONDS of virtual time are counted.
WARM_S = 3.0
SECONDS = 23.0
FAULT_AT = 8.0
BURST_AT = 8.0
BURST_S = 6.0
# The burst's rate as a fraction of the engines' capacity.
BURST_SHARE = 0.4
CALLER_DELAY_S = 0.003
# Declared start minus the true start of an event, in seconds, and its
# declared rate over the true rate.
_DECLARED = {
    "declared": (0.0, 1.0),
    "declared-late": (4.0, 1.0),
    "declared-early": (-4.0, 1.0),
    "declared-half": (0.0, 0.5),
    "declared-none": (0.0, 1.0),
}
# Callers of each kind.
_CALLERS = 8
PRODUCT = "product"
# Baselines have a longer lease, since they queue within the engine.
_LEASE_S = 1.0
# Concurrent requests at a prefill engine, by deployment, for baselines.
_PREFILL_LIMITS = {"fjordvik": 4, "pentagrama": 2}
_DECODE_QUEUE = 4


class Case(NamedTuple):
    """A case; `load` is a factor, `undeclared` or a key of `_DECLARED`."""

    deployment: str
    load: str
    fault: str
    policy: str
    seed: int


class Answer(NamedTuple):
    """The outcome of one request, as its caller observed it."""

    offer: workload.Offer
    outcome: types.Outcome | None
    reason: str
    whole: bool
    ttft_s: float
    tbt_s: float
    started: bool


class Result(NamedTuple):
    """The result of a case, with the field names of build/bench.json."""

    deployment: str
    load: str
    fault: str
    policy: str
    seed: int
    offered: int
    goodput: float
    goodput_per_s: float
    wasted_prefill: float
    not_run: int
    broken_promises: int
    late: int
    unknown: int
    wrong: int
    not_run_ran: int
    rush_goodput: float
    bound: float
    reasons: dict[str, int]
    kinds: dict[str, float]


def full_rate(deployment: workload.Deployment) -> float:
    """Return the engines' capacity in requests a second: load 1.0."""
    offers = workload.schedule(deployment, rate=50.0, seconds=60.0, seed=0)
    spent = [workload.costs(offer, SPEC) for offer in offers]
    prefill = sum(item.prefill_s for item in spent) / len(spent)
    slot = sum(item.slot_s for item in spent) / len(spent)
    return min(
        deployment.prefills / prefill,
        deployment.decodes * SPEC.slots / slot,
    )


def offers_of(case: Case) -> list[workload.Offer]:
    """Return the schedule of a case."""
    deployment = workload.DEPLOYMENTS[case.deployment]
    rate = full_rate(deployment)
    if case.load in _DECLARED or case.load == "undeclared":
        burst = 0.0 if case.load == "declared-none" else BURST_SHARE
        return workload.schedule(
            deployment,
            rate=0.6 * rate,
            seconds=SECONDS,
            seed=case.seed,
            burst_at=BURST_AT,
            burst_s=BURST_S,
            burst_rate=burst * rate,
        )
    return workload.schedule(
        deployment,
        rate=float(case.load) * rate,
        seconds=SECONDS,
        seed=case.seed,
    )


def counted(offers: Iterable[workload.Offer]) -> list[workload.Offer]:
    """Return the requests after the warm-up."""
    return [offer for offer in offers if offer.at >= WARM_S]


def bound(
    offers: list[workload.Offer], deployment: workload.Deployment
) -> float:
    """Return an upper bound on the goodput of any policy, as a fraction.

    It is the least value, over a grid of prices, of the dual of the linear
    programme that selects requests within the available prefill seconds and
    slot seconds.
    """
    if not offers:
        return 1.0
    slack = max(offer.kind.ttft_s for offer in offers)
    span = SECONDS - WARM_S + slack
    prefill_capacity_s = deployment.prefills * span
    slot_capacity_s = deployment.decodes * SPEC.slots * span
    spent = [workload.costs(offer, SPEC) for offer in offers]

    def dual(price_p: float, price_s: float) -> float:
        gain = sum(
            max(0.0, 1 - price_p * item.prefill_s - price_s * item.slot_s)
            for item in spent
        )
        return price_p * prefill_capacity_s + price_s * slot_capacity_s + gain

    best = float(len(offers))
    for step_p in range(0, 60):
        for step_s in range(0, 12):
            best = min(best, dual(step_p * 0.4, step_s * 0.08))
    return best / len(offers)


class Bench:
    """Runs one case in virtual time."""

    def __init__(self, *, case: Case) -> None:
        self.case = case
        self.deployment = workload.DEPLOYMENTS[case.deployment]
        self.offers = offers_of(case)
        self.answers: list[Answer] = []
        self.departed: set[int] = set()
        self.rng = random.Random(f"bench/{case.seed}")
        self.site = self._build()

    def _build(self) -> site_mod.Site:
        site = site_mod.Site(
            delays=site_mod.Delays(between_s=self.deployment.between_s),
            seed=self.case.seed,
            engine_spec=SPEC,
            make_ledger=self._make_ledger,
            claims=claims.LocalClaims(),
            lease_s=_LEASE_S if self.case.policy == PRODUCT else 30.0,
        )
        where = self.deployment.data_centres
        roles = [types.Role.PREFILL] * self.deployment.prefills
        roles += [types.Role.DECODE] * self.deployment.decodes
        model = types.ServiceName(self.deployment.model)
        plain_name = types.ServiceName(self.deployment.plain)
        for idx, role in enumerate(roles):
            centre = types.DataCentre(where[idx % 3])
            site.add_endpoint(
                site_mod.EndpointConfig(f"m{idx}", model, role, centre)
            )
        for idx in range(self.deployment.plains):
            centre = types.DataCentre(where[idx % 3])
            site.add_endpoint(
                site_mod.EndpointConfig(
                    f"p{idx}", plain_name, types.Role.PLAIN, centre
                )
            )
        if self.case.load in _DECLARED:
            early, size = _DECLARED[self.case.load]
            rate = size * BURST_SHARE * full_rate(self.deployment)
            site.events.append(
                declared_events.DeclaredEvent(
                    BURST_AT + early,
                    BURST_S,
                    (types.KindName(self.deployment.burst_kind),),
                    rate,
                )
            )
        for idx, name in enumerate(where):
            centre = types.DataCentre(name)
            site.add_entry(f"e{idx}", centre, self._policy(site, idx))
        return site

    def _make_ledger(
        self, spec: reservations.EndpointSpec
    ) -> reservations.EndpointLedger:
        if self.case.policy == PRODUCT or spec.role is types.Role.PLAIN:
            return reservations.ReservationLedger(spec=spec)
        limit = _DECODE_QUEUE
        if spec.role is types.Role.PREFILL:
            limit = _PREFILL_LIMITS[self.case.deployment]
        return baselines.EngineQueueLedger(spec=spec, queue_limit=limit)

    def _policy(self, site: site_mod.Site, idx: int) -> placement.Policy:
        name = self.case.policy
        if name in (PRODUCT, "no-reservation"):
            return placement.JointPolicy(rng=site.rng(f"policy{idx}"))
        if name == "round-robin":
            return baselines.RoundRobin()
        if name == "least-loaded":
            return baselines.LeastLoaded()
        return baselines.PrefixCost()

    async def run(self) -> Result:
        """Send the schedule, inject the fault and return the result."""
        loop = asyncio.get_running_loop()
        fault = asyncio.create_task(self._fault())
        tasks = []
        for offer in self.offers:
            await asyncio.sleep(max(0.0, offer.at - loop.time()))
            tasks.append(asyncio.create_task(self._caller(offer)))
        await asyncio.gather(*tasks)
        await fault
        self.site.close()
        return self._summarise()

    # Faults.

    async def _fault(self) -> None:
        await asyncio.sleep(FAULT_AT)
        engines = self.site.engines
        if self.case.fault == "engine-killed":
            engines[f"m{self.deployment.prefills - 1}"].kill()
        elif self.case.fault == "engine-slow":
            engines[f"m{self.deployment.prefills - 1}"].slowness = 10.0
        elif self.case.fault == "link-stalled":
            last = self.deployment.prefills + self.deployment.decodes - 1
            engines[f"m{last}"].link_up.clear()
        elif self.case.fault == "entry-killed":
            self.site.kill_entry(self.site.entries[0])

    # Callers.

    async def _caller(self, offer: workload.Offer) -> None:
        entry = self.rng.choice(self.site.entries)
        leaves = self.case.fault == "callers-leave" and self.rng.random() < 0.1
        patience = self.rng.uniform(0.05, 1.5) if leaves else None
        await asyncio.sleep(CALLER_DELAY_S)
        task = asyncio.create_task(self._serve(entry, offer))
        if patience is not None:
            done, _ = await asyncio.wait([task], timeout=patience)
            if not done:
                self.departed.add(offer.number)
                task.cancel()
                await asyncio.wait([task])
            return
        while not task.done():
            if entry not in self.site.entries:
                # The entry's death closes the caller's connection.
                task.cancel()
            await asyncio.wait([task], timeout=0.5)
        if task.cancelled():
            self.answers.append(
                Answer(offer, None, "entry-died", False, 0.0, 0.0, False)
            )

    def _request(self, offer: workload.Offer) -> request.Request:
        kind = offer.kind
        prompt = b""
        call = None
        if kind.plain:
            call = request.PlainCall(
                method=kind.method, path="/x", query="", headers=()
            )
        else:
            prompt = engine.prompt_of(offer.body)
        return request.Request(
            req=types.RequestId(f"r{offer.number}"),
            caller=types.CallerId(f"{kind.name}-{offer.number % _CALLERS}"),
            service=types.ServiceName(kind.service),
            kind=types.KindName(kind.name),
            terms=kind.terms(),
            body=offer.body,
            prompt_tokens=offer.prompt_tokens,
            max_tokens=offer.max_tokens,
            blocks=prefix.block_hashes(prompt),
            kv_bytes=offer.prompt_tokens * SPEC.kv_token_bytes,
            claim=(
                None
                if kind.repeat is types.RepeatClass.FREE
                else types.ClaimKey(f"{kind.name}-{offer.number}")
            ),
            plain=call,
        )

    async def _serve(
        self, entry: entry_core.Entry, offer: workload.Offer
    ) -> None:
        loop = asyncio.get_running_loop()
        first = last = 0.0
        pieces: list[str] = []
        body = b""
        async for event in entry.serve(self._request(offer)):
            if isinstance(event, request.End):
                end = event
                continue
            last = loop.time()
            first = first or last
            if isinstance(event, request.TextChunk):
                pieces.append(event.text)
            elif isinstance(event, request.PlainChunk):
                body += event.data
        if offer.kind.plain:
            method = offer.kind.method
            whole = body == plain.answer_to(method, "/x", "", offer.body)
        else:
            whole = pieces == engine.answer_to(offer.body)
        self.answers.append(
            Answer(
                offer=offer,
                outcome=end.outcome,
                reason=end.reason.value if end.reason else "",
                whole=whole,
                ttft_s=first + CALLER_DELAY_S - offer.at,
                tbt_s=(last - first) / max(1, len(pieces) - 1),
                started=bool(pieces) or bool(body),
            )
        )

    # Summary.

    def _summarise(self) -> Result:
        answers = [
            item
            for item in self.answers
            if item.offer.at >= WARM_S
            and item.offer.number not in self.departed
        ]
        total = max(1, len(answers))
        good = [item for item in answers if _good(item)]
        ended = [
            item for item in answers if item.outcome is types.Outcome.ANSWERED
        ]
        late = [item for item in ended if item.whole and not _good(item)]
        wrong = [item for item in ended if not item.whole]
        unknown = [
            item for item in answers if item.outcome is types.Outcome.UNKNOWN
        ]
        not_run = [
            item for item in answers if item.outcome is types.Outcome.NOT_RUN
        ]
        burst = [
            item
            for item in answers
            if item.offer.kind.name == self.deployment.burst_kind
        ]
        burst_good = sum(1 for item in burst if _good(item))
        kinds: dict[str, float] = {}
        for kind in self.deployment.kinds:
            mine = [item for item in answers if item.offer.kind == kind]
            hit = sum(1 for item in mine if _good(item))
            kinds[kind.name] = round(hit / max(1, len(mine)), 4)
        return Result(
            *self.case,
            offered=len(answers),
            goodput=round(len(good) / total, 4),
            goodput_per_s=round(len(good) / (SECONDS - WARM_S), 2),
            wasted_prefill=round(self._wasted(), 4),
            not_run=len(not_run),
            broken_promises=len(late) + len(wrong) + len(unknown),
            late=len(late),
            unknown=len(unknown),
            wrong=len(wrong),
            not_run_ran=sum(1 for item in not_run if self._ran(item)),
            rush_goodput=round(burst_good / max(1, len(burst)), 4),
            bound=round(
                bound([item.offer for item in answers], self.deployment), 4
            ),
            reasons=dict(
                collections.Counter(
                    item.reason for item in answers if item.reason
                )
            ),
            kinds=kinds,
        )

    def _ran(self, item: Answer) -> bool:
        req = types.RequestId(f"r{item.offer.number}")
        ledger = self.site.ledger
        return bool(ledger.runs[req] or ledger.prefilled_for(req))

    def _wasted(self) -> float:
        # Only the last prefill of an answered request was useful.
        reached = {
            f"r{item.offer.number}"
            for item in self.answers
            if item.outcome is types.Outcome.ANSWERED
        }
        useful: dict[str, int] = {}
        total = 0
        for key, tokens in self.site.ledger.prefilled.items():
            total += tokens
            if key.req in reached:
                useful[key.req] = tokens
        return (total - sum(useful.values())) / max(1, total)


def _good(item: Answer) -> bool:
    kind = item.offer.kind
    return (
        item.outcome is types.Outcome.ANSWERED
        and item.whole
        and item.ttft_s <= kind.ttft_s
        and item.tbt_s <= kind.terms().tbt_s
    )


def run_case(case: Case) -> Result:
    """Run one case; runs are deterministic."""

    async def main() -> Result:
        bench = Bench(case=case)
        return await bench.run()

    return virtual.run(main())
