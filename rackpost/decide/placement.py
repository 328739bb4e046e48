"""Chooses the prefill and the decode endpoint of a request together.

The cost of a pair follows its predicted time to the first token: queues,
prefill of uncached tokens, KV transfer and the wait for a decode slot.
"""

import abc
import heapq
import random
from typing import Collection
from typing import NamedTuple
from typing import Sequence

from rackpost.decide import endpoint_view
from rackpost import types

# Pairs are formed among this many candidates of each role, which bounds the
# time of a decision.
_MAX_CANDIDATES = 4
# Only this many endpoints of a larger pool are considered, drawn at random:
# the best of many is nearly as good as the best of all (Mitzenmacher, 2001).
_MAX_SAMPLE = 24
# Random tie-breaker, so that entries with the same view do not all choose
# the same endpoint.
_TIE_S = 0.005


class Placement(NamedTuple):
    """The chosen endpoints; `prefill` is None for a plain service.

    `ready_in_s` is when the prefill is expected to end, `ttft_s` the
    predicted time to the first token.
    """

    prefill: types.AgentId | None
    decode: types.AgentId
    ready_in_s: float
    ttft_s: float


class Policy(abc.ABC):
    """Chooses the endpoints of a request."""

    @abc.abstractmethod
    def place(
        self,
        *,
        requirements: endpoint_view.Requirements,
        pool: Sequence[endpoint_view.EndpointView],
        now: float,
        excluded: Collection[types.AgentId] = (),
    ) -> Placement | types.Refusal:
        """Choose from `pool`, all endpoints of the service, or refuse."""


def eligible(
    pool: Sequence[endpoint_view.EndpointView],
    role: types.Role,
    excluded: Collection[types.AgentId],
) -> list[endpoint_view.EndpointView]:
    """Return the endpoints of `role` that may be chosen.

    Avoided endpoints are left out unless all are avoided.
    """
    fit = [
        view
        for view in pool
        if view.load.role is role
        and not view.load.leaving
        and view.agent not in excluded
    ]
    healthy = [v for v in fit if not v.avoided and not v.load.avoided]
    return healthy or fit


class JointPolicy(Policy):
    """Chooses the pair with the lowest cost."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def place(
        self,
        *,
        requirements: endpoint_view.Requirements,
        pool: Sequence[endpoint_view.EndpointView],
        now: float,
        excluded: Collection[types.AgentId] = (),
    ) -> Placement | types.Refusal:
        """Choose the pair with the lowest cost, or refuse."""
        if len(pool) > _MAX_SAMPLE:
            sample = self._rng.sample(pool, _MAX_SAMPLE)
            found = self._place(requirements, sample, now, excluded)
            if found is not types.Refusal.NO_ENDPOINT:
                return found
        return self._place(requirements, pool, now, excluded)

    def _place(
        self,
        requirements: endpoint_view.Requirements,
        pool: Sequence[endpoint_view.EndpointView],
        now: float,
        excluded: Collection[types.AgentId],
    ) -> Placement | types.Refusal:
        decodes = eligible(pool, types.Role.DECODE, excluded)
        prefills = eligible(pool, types.Role.PREFILL, excluded)
        if not decodes or not prefills:
            return types.Refusal.NO_ENDPOINT
        prefill_candidates = self._prefill_candidates(
            requirements, prefills, now
        )
        if not prefill_candidates:
            return types.Refusal.LATE_FIRST_TOKEN
        decode_candidates = self._decode_candidates(requirements, decodes, now)
        if isinstance(decode_candidates, types.Refusal):
            return decode_candidates
        return _best_pair(requirements, prefill_candidates, decode_candidates)

    def _prefill_candidates(
        self,
        requirements: endpoint_view.Requirements,
        pool: list[endpoint_view.EndpointView],
        now: float,
    ) -> list["_Candidate"]:
        candidates = []
        for view in pool:
            cost = view.prefill_s(
                requirements.prompt_tokens, requirements.blocks
            )
            transfer = requirements.kv_bytes / view.load.link_bytes_s
            slack = (
                requirements.ttft_s
                - 2 * view.delay_s
                - transfer
                - view.load.step_s
            )
            if cost > slack:
                continue
            # An endpoint without capacity stays a candidate: its report may
            # be outdated.
            longest_s = view.longest_job_s(slack, now)
            # Deadline order may let the prefill run before the backlog; the
            # capacity left over within the slack shows how soon.
            ready = 2 * view.delay_s + max(cost, slack - (longest_s - cost))
            ready = min(ready, cost + view.backlog_s(now))
            tie = _TIE_S * self._rng.random()
            candidates.append(_Candidate(cost - longest_s + tie, ready, view))
        return heapq.nsmallest(_MAX_CANDIDATES, candidates)

    def _decode_candidates(
        self,
        requirements: endpoint_view.Requirements,
        pool: list[endpoint_view.EndpointView],
        now: float,
    ) -> list["_Candidate"] | types.Refusal:
        candidates = []
        late = False
        for view in pool:
            if view.load.step_s > requirements.tbt_s:
                continue
            slot_wait = view.slot_wait_s(now)
            slack = requirements.ttft_s - 2 * view.delay_s - view.load.step_s
            transfer = requirements.kv_bytes / view.load.link_bytes_s
            if transfer > slack:
                late = True
                continue
            shortfall = max(0.0, transfer - view.longest_job_s(slack, now))
            cost = (
                shortfall + slot_wait + 2 * view.delay_s + _occupancy_s(view)
            )
            tie = _TIE_S * self._rng.random()
            candidates.append(_Candidate(cost + tie, slot_wait, view))
        if not candidates:
            if late:
                return types.Refusal.LATE_FIRST_TOKEN
            return types.Refusal.SLOW_TOKENS
        return heapq.nsmallest(_MAX_CANDIDATES, candidates)


class _Candidate(NamedTuple):
    """An endpoint for one of the two roles; the lowest cost is best."""

    cost: float
    ready_s: float
    view: endpoint_view.EndpointView


def _best_pair(
    requirements: endpoint_view.Requirements,
    prefills: list[_Candidate],
    decodes: list[_Candidate],
) -> Placement:
    best: Placement | None = None
    best_cost = float("inf")
    for pre in prefills:
        for dec in decodes:
            ttft = _ttft_s(requirements, pre, dec)
            cost = max(ttft, dec.ready_s) + pre.cost + dec.cost
            if cost < best_cost:
                best_cost = cost
                best = Placement(
                    pre.view.agent, dec.view.agent, pre.ready_s, ttft
                )
    assert best is not None
    return best


def _ttft_s(
    requirements: endpoint_view.Requirements,
    pre: _Candidate,
    dec: _Candidate,
) -> float:
    source = pre.view.load
    target = dec.view.load
    transfer = requirements.kv_bytes / min(
        source.link_bytes_s, target.link_bytes_s
    )
    start = max(pre.ready_s, dec.ready_s)
    return start + transfer + 2 * dec.view.delay_s + target.step_s


def _occupancy_s(view: endpoint_view.EndpointView) -> float:
    # A penalty on fuller batches, whose steps are slower: it spreads the
    # streams while slots are free everywhere.
    used = view.load.used + view.sent_slots
    return 0.05 * used / max(1, view.load.slots)


class PlainPolicy(Policy):
    """Chooses the least loaded, nearest endpoint of a plain service."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def place(
        self,
        *,
        requirements: endpoint_view.Requirements,
        pool: Sequence[endpoint_view.EndpointView],
        now: float,
        excluded: Collection[types.AgentId] = (),
    ) -> Placement | types.Refusal:
        """Choose the endpoint with the shortest expected wait."""
        fit = eligible(pool, types.Role.PLAIN, excluded)
        if not fit:
            return types.Refusal.NO_ENDPOINT
        view = min(
            fit,
            key=lambda v: (
                v.slot_wait_s(now) + 2 * v.delay_s + _occupancy_s(v),
                self._rng.random(),
            ),
        )
        return Placement(None, view.agent, 0.0, 2 * view.delay_s)
