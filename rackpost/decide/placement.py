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

from rackpost.decide import views
from rackpost import types

# Pairs are only formed among this many of the best of each pool, which
# bounds the time of a decision however large the pools are.
_SHORT_LIST = 4
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
    """Chooses the endpoints of a request.

    `reserves` tells whether agents are asked to promise room before any
    work is started, or to take the request as it comes.
    """

    reserves = True

    @abc.abstractmethod
    def place(
        self,
        *,
        ask: views.Ask,
        pool: Sequence[views.EndpointView],
        now: float,
        excluded: Collection[types.AgentId] = (),
    ) -> Placement | types.Refusal:
        """Choose among `pool`, all of the service, or say why not."""


def by_role(
    pool: Sequence[views.EndpointView],
    role: types.Role,
    excluded: Collection[types.AgentId],
) -> list[views.EndpointView]:
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
    return [view for view in fit if not view.avoided] or fit


class JointPolicy(Policy):
    """The product's policy: least predicted time to the first token."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def place(
        self,
        *,
        ask: views.Ask,
        pool: Sequence[views.EndpointView],
        now: float,
        excluded: Collection[types.AgentId] = (),
    ) -> Placement | types.Refusal:
        """Choose the pair with the least predicted time."""
        decodes = by_role(pool, types.Role.DECODE, excluded)
        prefills = by_role(pool, types.Role.PREFILL, excluded)
        if not decodes or not prefills:
            return types.Refusal.NO_ENDPOINT
        best = self._best_pair(ask, prefills, decodes, now)
        if best is None:
            return types.Refusal.SLOW_TOKENS
        if best.ttft_s > ask.ttft_s:
            return types.Refusal.LATE_FIRST_TOKEN
        return best

    def _best_pair(
        self,
        ask: views.Ask,
        prefills: list[views.EndpointView],
        decodes: list[views.EndpointView],
        now: float,
    ) -> Placement | None:
        rng = self._rng.random
        fast = [v for v in decodes if v.load.step_s <= ask.tbt_s]
        if not fast:
            return None
        ready = [
            (
                2 * view.delay_s
                + view.backlog_s(now)
                + view.prefill_s(ask.prompt_tokens, ask.blocks),
                rng(),
                view,
            )
            for view in prefills
        ]
        room = [
            (
                view.slot_in_s(now) + view.delay_s + _crowding(view),
                rng(),
                view,
            )
            for view in fast
        ]
        best: Placement | None = None
        best_cost = float("inf")
        for ready_s, _, pre in heapq.nsmallest(_SHORT_LIST, ready):
            for room_s, _, dec in heapq.nsmallest(_SHORT_LIST, room):
                ttft = _ttft(ask, pre, dec, ready_s, now)
                cost = max(ttft, room_s) + _TIE_S * rng() + _crowding(dec)
                if cost < best_cost:
                    best_cost = cost
                    best = Placement(pre.agent, dec.agent, ready_s, ttft)
        return best


def _crowding(view: views.EndpointView) -> float:
    # A fuller batch makes every stream's steps slower; this spreads the
    # streams while slots are free everywhere.
    used = view.load.used + view.sent_slots
    return 0.05 * used / max(1, view.load.slots)


def _ttft(
    ask: views.Ask,
    pre: views.EndpointView,
    dec: views.EndpointView,
    ready_s: float,
    now: float,
) -> float:
    rate = min(pre.load.link_bytes_s, dec.load.link_bytes_s)
    backlog = max(pre.load.link_backlog_s, dec.load.link_backlog_s)
    transfer = ask.kv_bytes / rate
    start = max(ready_s, backlog, dec.slot_in_s(now))
    return start + transfer + 2 * dec.delay_s + dec.load.step_s


class PlainPolicy(Policy):
    """For plain services: the least loaded, nearest endpoint."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def place(
        self,
        *,
        ask: views.Ask,
        pool: Sequence[views.EndpointView],
        now: float,
        excluded: Collection[types.AgentId] = (),
    ) -> Placement | types.Refusal:
        """Choose the endpoint with the least expected wait."""
        fit = by_role(pool, types.Role.PLAIN, excluded)
        if not fit:
            return types.Refusal.NO_ENDPOINT
        view = min(
            fit,
            key=lambda v: (
                v.slot_in_s(now) + 2 * v.delay_s + _crowding(v),
                self._rng.random(),
            ),
        )
        return Placement(None, view.agent, 0.0, 2 * view.delay_s)
