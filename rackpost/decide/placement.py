"""Where a request goes: prefill endpoint, decode endpoint, link together.

The cost of a pair is the predicted time to the first token.  Counting
uncached tokens, transfer and queue follows the cost of the paper (PAPER,
"The Routing Decision"); taking both endpoints and the link at once, and
the moment a slot frees, is rackpost's own.
"""

import abc
import heapq
import random
from typing import Collection
from typing import NamedTuple
from typing import Sequence

from rackpost.decide import endpoint_view
from rackpost import types

# Pairs are only formed among this many of the best of each pool, which
# bounds the time of a decision however large the pools are.
_SHORT_LIST = 4
# Of a larger pool only this many, drawn by chance, are looked at: the best
# of many is nearly as good as the best of all (Mitzenmacher, 2001).
_LARGE_POOL = 24
# Predictions that differ by less than this are taken as equal, so that
# entries with the same figures do not all choose the same endpoint.
_TIE_S = 0.005


class Placement(NamedTuple):
    """Where a request goes; for a plain service `prefill` is None.

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
        """Choose among `pool`, all of the service, or say why not."""


def eligible(
    pool: Sequence[endpoint_view.EndpointView],
    role: types.Role,
    excluded: Collection[types.AgentId],
) -> list[endpoint_view.EndpointView]:
    """The endpoints of `role` that may be chosen.

    Avoided ones are left out unless all are avoided.
    """
    fit = [
        view
        for view in pool
        if view.load.role is role
        and not view.load.leaving
        and view.agent not in excluded
    ]
    sound = [v for v in fit if not v.avoided and not v.load.avoided]
    return sound or fit


class JointPolicy(Policy):
    """The product's policy: least predicted time to the first token."""

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
        """Choose the pair with the least predicted time."""
        if len(pool) > _LARGE_POOL:
            some = self._rng.sample(pool, _LARGE_POOL)
            found = self._place(requirements, some, now, excluded)
            if found is not types.Refusal.NO_ENDPOINT:
                return found
        return self._place(requirements, pool, now, excluded)

    def _place(
        self,
        ask: endpoint_view.Requirements,
        pool: Sequence[endpoint_view.EndpointView],
        now: float,
        excluded: Collection[types.AgentId],
    ) -> Placement | types.Refusal:
        decodes = eligible(pool, types.Role.DECODE, excluded)
        prefills = eligible(pool, types.Role.PREFILL, excluded)
        if not decodes or not prefills:
            return types.Refusal.NO_ENDPOINT
        halves = self._prefill_halves(ask, prefills, now)
        if not halves:
            return types.Refusal.LATE_FIRST_TOKEN
        slots = self._decode_halves(ask, decodes, now)
        if isinstance(slots, types.Refusal):
            return slots
        return _best_pair(ask, halves, slots)

    def _prefill_halves(
        self,
        ask: endpoint_view.Requirements,
        pool: list[endpoint_view.EndpointView],
        now: float,
    ) -> list["_Half"]:
        halves = []
        for view in pool:
            cost = view.prefill_s(ask.prompt_tokens, ask.blocks)
            move = ask.kv_bytes / view.load.link_bytes_s
            slack = ask.ttft_s - 2 * view.delay_s - move - view.load.step_s
            if cost > slack:
                continue
            # Without room the agent is asked all the same: it may have
            # some by now, and must learn of the demand that there is.
            room = view.longest_job_s(slack, now)
            # By its deadline a request may run before others' work; the
            # room that is left over tells how soon.
            ready = 2 * view.delay_s + max(cost, slack - (room - cost))
            ready = min(ready, cost + view.backlog_s(now))
            tie = _TIE_S * self._rng.random()
            halves.append(_Half(cost - room + tie, ready, view))
        return heapq.nsmallest(_SHORT_LIST, halves)

    def _decode_halves(
        self,
        ask: endpoint_view.Requirements,
        pool: list[endpoint_view.EndpointView],
        now: float,
    ) -> list["_Half"] | types.Refusal:
        halves = []
        late = False
        for view in pool:
            if view.load.step_s > ask.tbt_s:
                continue
            slot = view.slot_wait_s(now)
            slack = ask.ttft_s - 2 * view.delay_s - view.load.step_s
            transfer = ask.kv_bytes / view.load.link_bytes_s
            if transfer > slack:
                late = True
                continue
            lack = max(0.0, transfer - view.longest_job_s(slack, now))
            cost = lack + slot + 2 * view.delay_s + _crowding(view)
            tie = _TIE_S * self._rng.random()
            halves.append(_Half(cost + tie, slot, view))
        if not halves:
            if late:
                return types.Refusal.LATE_FIRST_TOKEN
            return types.Refusal.SLOW_TOKENS
        return heapq.nsmallest(_SHORT_LIST, halves)


class _Half(NamedTuple):
    """One half of a placement; the least `cost` is the best."""

    cost: float
    ready_s: float
    view: endpoint_view.EndpointView


def _best_pair(
    ask: endpoint_view.Requirements,
    prefills: list[_Half],
    decodes: list[_Half],
) -> Placement:
    best: Placement | None = None
    best_cost = float("inf")
    for pre in prefills:
        for dec in decodes:
            ttft = _ttft(ask, pre, dec)
            cost = max(ttft, dec.ready_s) + pre.cost + dec.cost
            if cost < best_cost:
                best_cost = cost
                best = Placement(
                    pre.view.agent, dec.view.agent, pre.ready_s, ttft
                )
    assert best is not None
    return best


def _ttft(ask: endpoint_view.Requirements, pre: _Half, dec: _Half) -> float:
    out = pre.view.load
    into = dec.view.load
    transfer = ask.kv_bytes / min(out.link_bytes_s, into.link_bytes_s)
    start = max(pre.ready_s, dec.ready_s)
    return start + transfer + 2 * dec.view.delay_s + into.step_s


def _crowding(view: endpoint_view.EndpointView) -> float:
    # A fuller batch makes every stream's steps slower; this spreads the
    # streams while slots are free everywhere.
    used = view.load.used + view.sent_slots
    return 0.05 * used / max(1, view.load.slots)


class PlainPolicy(Policy):
    """For plain services: the least loaded, nearest endpoint."""

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
        """Choose the endpoint with the least expected wait."""
        fit = eligible(pool, types.Role.PLAIN, excluded)
        if not fit:
            return types.Refusal.NO_ENDPOINT
        view = min(
            fit,
            key=lambda v: (
                v.slot_wait_s(now) + 2 * v.delay_s + _crowding(v),
                self._rng.random(),
            ),
        )
        return Placement(None, view.agent, 0.0, 2 * view.delay_s)
