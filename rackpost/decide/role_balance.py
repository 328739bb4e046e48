"""How many endpoints of a model prefill, and how many decode.  Pure."""

import collections
from typing import NamedTuple
from typing import Sequence

import msgspec

from rackpost.decide import token_timing as token_timing_mod
from rackpost import types

# Demand is averaged over this long, in seconds: longer than one burst's
# rise, shorter than a change of role pays for itself.
_WINDOW_S = 6.0
# A rate is never told of less time than this, in seconds.
_LEAST_S = 0.5
# A role is changed only where the fuller pool is this full, or sooner where
# the pool that gives an endpoint has room to spare: callers come together at
# twice the usual rate, and a change takes longer than they do.
_FULL = 0.6
_FULL_FREE = 0.45
# Prompts come in bursts and wait for each other, and a result that waits
# lapses: a pool that prefills counts as full at this part of its time (of
# five endpoints, two of which prefilled, more were late with one).
_PREFILL_PART = 0.7
# Without a pool that prefills, prompts are read where tokens are made, at
# half the pace; and those too long for one allowed pause hold up all that
# run there, which counts as some more work.
_IN_PLACE_X = 2.0
_IN_PLACE_PAUSES_X = 1.5
# Of so many that decode one is spared to prefill at any load: its seconds
# away cost less than lasting pauses (under load three that read in place
# served 0.33 of what generations were worth, two with one apart 0.48).
_ENOUGH = 3
# The fuller pool must get less full by a factor.  A change takes one
# endpoint away for seconds, so that it must pay: by 1 and a share for each
# endpoint, the more the fewer there are, since one of many makes a small
# step.  Where the pool that gives it has room to spare meanwhile the share
# is the first of these, else the second.
_GAIN_FREE_OF_ONE = 1.0
_GAIN_OF_ONE = 2.5
# Gateways that know their demand speak for the others if they have been
# asked this part of all requests.
_KNOWN_SHARE = 0.5


class Demand(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Work for a model service, in endpoints that it would keep busy.

    With `is_known` False the one who tells it has not seen enough to say.
    `requests_per_s` is the requests a second that it rests on.
    """

    service: types.ServiceName
    prefill: float
    decode: float
    is_known: bool = True
    requests_per_s: float = 0.0


class Pools(msgspec.Struct, frozen=True, kw_only=True):
    """How many endpoints have each role."""

    prefill: int
    decode: int


class _Asked(NamedTuple):
    """What one request asked for.

    `made` is the tokens of its answer, times the share of an endpoint that
    the request takes meanwhile.
    """

    at: float
    prompt: int
    made: float


class DemandMeter:
    """The work that one gateway's clients have asked for lately."""

    def __init__(self, *, began: float) -> None:
        """`began` is when this gateway started to count."""
        self._began = began
        self._items: collections.deque[_Asked] = collections.deque()

    def add(self, now: float, *, prompt: int, out: int, share: float) -> None:
        """A request takes `share` of an endpoint for `out` tokens."""
        self._items.append(_Asked(at=now, prompt=prompt, made=share * out))

    def demand(
        self,
        service: types.ServiceName,
        now: float,
        pace: token_timing_mod.TokenTiming,
    ) -> Demand:
        """The demand over the last seconds, at the present pace.

        It is known once the pace is, and requests were counted for half a
        window: a gateway that had just started told a third of the decode
        work that there was, and an endpoint that decoded was sent to
        prefill, at 0.2 of a day's worth.
        """
        while self._items and self._items[0].at < now - _WINDOW_S:
            self._items.popleft()
        counted_s = min(_WINDOW_S, max(_LEAST_S, now - self._began))
        prompts = sum(item.prompt for item in self._items)
        made = sum(item.made for item in self._items)
        seen = pace.is_known and counted_s >= _WINDOW_S / 2
        return Demand(
            service=service,
            prefill=pace.prefill_s(prompts) / counted_s,
            decode=pace.decode_s(made) / counted_s,
            is_known=seen or not self._items,
            requests_per_s=len(self._items) / counted_s,
        )


def total(service: types.ServiceName, told: Sequence[Demand]) -> Demand:
    """What all gateways are asked, from what each tells of itself.

    Those that do not know their demand yet are taken to be asked for like
    requests: of many gateways one has always just had its first.
    """
    known = [item for item in told if item.is_known]
    asked = sum(item.requests_per_s for item in told)
    asked_known = sum(item.requests_per_s for item in known)
    is_known = len(known) == len(told)
    if asked > 0.0:
        is_known = asked_known >= _KNOWN_SHARE * asked
    times = asked / asked_known if asked_known > 0.0 else 1.0
    return Demand(
        service=service,
        prefill=times * sum(item.prefill for item in known),
        decode=times * sum(item.decode for item in known),
        is_known=is_known,
        requests_per_s=asked,
    )


def _fullness(work: float, endpoints: int) -> float:
    if work <= 0.0:
        return 0.0
    return work / endpoints if endpoints > 0 else float("inf")


def fullest(pools: Pools, demand: Demand) -> float:
    """How full the fuller of the two pools is; 1 is all of it."""
    if pools.prefill == 0:
        work = demand.decode + _IN_PLACE_X * demand.prefill
        return _IN_PLACE_PAUSES_X * _fullness(work, pools.decode)
    return max(
        _fullness(demand.prefill / _PREFILL_PART, pools.prefill),
        _fullness(demand.decode, pools.decode),
    )


def _without_one(pools: Pools, new_role: types.Role) -> Pools:
    """The pools while one endpoint is on its way to a role."""
    if new_role is types.Role.DECODE:
        return Pools(prefill=pools.prefill - 1, decode=pools.decode)
    return Pools(prefill=pools.prefill, decode=pools.decode - 1)


def _giver(pools: Pools, demand: Demand, new_role: types.Role) -> float:
    """How full the pool is that gives an endpoint to a role."""
    if new_role is types.Role.DECODE:
        return _fullness(demand.prefill / _PREFILL_PART, pools.prefill)
    return _fullness(demand.decode, pools.decode)


def _is_free(pools: Pools, demand: Demand, new_role: types.Role) -> bool:
    """Whether the pool that gives an endpoint has room to spare."""
    left = _without_one(pools, new_role)
    is_full = _giver(left, demand, new_role) > 1.0
    return not is_full and fullest(left, demand) <= fullest(pools, demand)


def _gain_wanted(pools: Pools, is_free: bool) -> float:
    """The factor by which a change must make the fuller pool less full."""
    share = _GAIN_FREE_OF_ONE if is_free else _GAIN_OF_ONE
    return 1.0 + share / (pools.prefill + pools.decode)


def _best(pools: Pools, demand: Demand) -> Pools:
    """The division of the endpoints that is least full."""
    total = pools.prefill + pools.decode
    divisions = [
        Pools(prefill=count, decode=total - count) for count in range(1, total)
    ]
    return min(
        divisions, key=lambda item: fullest(item, demand), default=pools
    )


def _can_spare_one(pools: Pools, demand: Demand) -> bool:
    """Whether nobody prefills, and one of those that decode can be spared."""
    if pools.prefill > 0 or pools.decode < 2:
        return False
    if pools.decode >= _ENOUGH:
        return demand.prefill + demand.decode > 0.0
    during = fullest(_without_one(pools, types.Role.PREFILL), demand)
    return 0.0 < during < _FULL


def role_to_add(pools: Pools, demand: Demand) -> types.Role | None:
    """The role that one endpoint of the other should take, if any.

    A step is right if it leads towards the best division, and that is
    better by enough.
    """
    if pools.decode == 0:
        # Nobody is served, so that no pace and no demand may be known; one
        # that decodes can read prompts itself.
        return types.Role.DECODE if pools.prefill > 0 else None
    if not demand.is_known:
        return None
    now = fullest(pools, demand)
    if _can_spare_one(pools, demand):
        return types.Role.PREFILL
    best = _best(pools, demand)
    if best.prefill == pools.prefill:
        return None
    role = types.Role.PREFILL
    if best.prefill < pools.prefill:
        role = types.Role.DECODE
    is_free = _is_free(pools, demand, role)
    if now < (_FULL_FREE if is_free else _FULL):
        return None
    if fullest(best, demand) * _gain_wanted(pools, is_free) >= now:
        return None
    return role
