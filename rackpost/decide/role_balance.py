"""Decide how a model's endpoints are divided into prefill and decode."""

import collections
from typing import NamedTuple
from typing import Sequence

import msgspec

from rackpost.decide import role_demand
from rackpost.decide import token_timing
from rackpost import types

# Demand is averaged over this window: longer than the rise of a burst,
# shorter than a change of role takes to pay off.
_WINDOW_S = 6.0
# Shortest period over which a rate is computed.
_MIN_WINDOW_S = 0.5
# A role is changed only where the busier pool has at least this utilisation.
# The second value applies where the pool that loses an endpoint has spare
# capacity.  Bursts come at twice the usual rate, and are over before a change
# of role is.
_MIN_UTILISATION = 0.6
_MIN_UTILISATION_SPARE = 0.45
# Prefill demand is bursty, and prefilled results expire while they wait: a
# prefill pool counts as fully utilised at this share of its time.
_MAX_PREFILL_UTILISATION = 0.7
# Without a prefill pool, prompts are prefilled in place, which takes this
# many times longer.  The pauses of the generations beside them count as a
# further factor on utilisation.
_IN_PLACE_FACTOR = 2.0
_IN_PLACE_PAUSE_FACTOR = 1.5
# With this many decode endpoints, one becomes a prefill endpoint at any load:
# in-place prefill pauses generations all the time, a role change only briefly.
_DECODE_POOL_TO_SPLIT = 3
# A change must lower the utilisation of the busier pool by a factor of 1 plus
# this over the number of endpoints, since it takes an endpoint away for
# seconds.  The first value applies where the pool that loses the endpoint has
# spare capacity.
_GAIN_SPARE = 1.0
_GAIN = 2.5
# Demand counts as known if the gateways that know theirs receive at least
# this share of all requests.
_MIN_KNOWN_SHARE = 0.5


class Demand(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Demand for a model service, in endpoints that it would keep busy.

    `is_known` is False where the sender has not observed enough;
    `requests_per_s` is the request rate on which the figures are based;
    `recent` is the work of the newest requests, where roles are changed on
    first evidence.
    """

    service: types.ServiceName
    prefill: float
    decode: float
    is_known: bool = True
    requests_per_s: float = 0.0
    recent: role_demand.RecentWork | None = None


class Pools(msgspec.Struct, frozen=True, kw_only=True):
    """The number of endpoints in each role."""

    prefill: int
    decode: int


class _Request(NamedTuple):
    """The work of one request.

    `decode` is the number of tokens to generate times the share of an
    endpoint that the request occupies meanwhile.
    """

    at: float
    prompt: int
    decode: float


class DemandMeter:
    """Measures the recent demand of one gateway's clients."""

    def __init__(self, *, started_at: float) -> None:
        """`started_at` is the clock reading at which counting started."""
        self._started_at = started_at
        self._items: collections.deque[_Request] = collections.deque()

    def add(self, now: float, *, prompt: int, out: int, share: float) -> None:
        """Count a request that occupies `share` of an endpoint.

        `prompt` and `out` are the lengths of prompt and answer in tokens.
        """
        self._items.append(_Request(at=now, prompt=prompt, decode=share * out))

    def has_recent(self, now: float) -> bool:
        """Whether a request came within `role_demand.RECENT_S`."""
        if not self._items:
            return False
        return self._items[-1].at >= now - role_demand.RECENT_S

    def demand(
        self,
        service: types.ServiceName,
        now: float,
        timing: token_timing.TokenTiming,
        *,
        with_recent: bool = False,
    ) -> Demand:
        """Return the demand over the window, at the observed token times.

        It is known once the token times are and requests were counted for
        half a window: a gateway that has just started underestimates it.
        """
        while self._items and self._items[0].at < now - _WINDOW_S:
            self._items.popleft()
        counted_s = min(_WINDOW_S, max(_MIN_WINDOW_S, now - self._started_at))
        prompt_tokens = sum(item.prompt for item in self._items)
        decode_tokens = sum(item.decode for item in self._items)
        has_observed = timing.is_known and counted_s >= _WINDOW_S / 2
        return Demand(
            service=service,
            prefill=timing.prefill_s(prompt_tokens) / counted_s,
            decode=timing.decode_s(decode_tokens) / counted_s,
            is_known=has_observed or not self._items,
            requests_per_s=len(self._items) / counted_s,
            recent=self._recent_work(now, timing) if with_recent else None,
        )

    def _recent_work(
        self, now: float, timing: token_timing.TokenTiming
    ) -> role_demand.RecentWork:
        """Return the work of the newest requests."""
        items = [
            item
            for item in self._items
            if item.at >= now - role_demand.RECENT_S
        ]
        return role_demand.RecentWork(
            requests=len(items),
            prompt_tokens=sum(item.prompt for item in items),
            decode_tokens=sum(item.decode for item in items),
            oldest_s=now - items[0].at if items else 0.0,
            prefill_token_s=timing.prefill_s(1),
            decode_token_s=timing.decode_s(1.0),
        )


def total(service: types.ServiceName, demands: Sequence[Demand]) -> Demand:
    """Return the demand at all gateways, from what each reports.

    Gateways whose demand is not known yet are assumed to receive the same
    kind of requests as the others.
    """
    known = [item for item in demands if item.is_known]
    per_s = sum(item.requests_per_s for item in demands)
    known_per_s = sum(item.requests_per_s for item in known)
    is_known = len(known) == len(demands)
    if per_s > 0.0:
        is_known = known_per_s >= _MIN_KNOWN_SHARE * per_s
    scale = per_s / known_per_s if known_per_s > 0.0 else 1.0
    return Demand(
        service=service,
        prefill=scale * sum(item.prefill for item in known),
        decode=scale * sum(item.decode for item in known),
        is_known=is_known,
        requests_per_s=per_s,
    )


def _utilisation(work: float, endpoints: int) -> float:
    if work <= 0.0:
        return 0.0
    return work / endpoints if endpoints > 0 else float("inf")


def utilisations(
    pools: Pools, prefill: float, decode: float
) -> tuple[float, float]:
    """Return the utilisation of the prefill and of the decode pool.

    `prefill` and `decode` are the demand, in endpoints.
    """
    return (
        _utilisation(prefill / _MAX_PREFILL_UTILISATION, pools.prefill),
        _utilisation(decode, pools.decode),
    )


def peak_utilisation(pools: Pools, demand: Demand) -> float:
    """Return the utilisation of the busier pool; 1 is its full capacity."""
    if pools.prefill == 0:
        work = demand.decode + _IN_PLACE_FACTOR * demand.prefill
        return _IN_PLACE_PAUSE_FACTOR * _utilisation(work, pools.decode)
    return max(utilisations(pools, demand.prefill, demand.decode))


def _during_change(pools: Pools, new_role: types.Role) -> Pools:
    """Return the pools while one endpoint changes to a role."""
    if new_role is types.Role.DECODE:
        return Pools(prefill=pools.prefill - 1, decode=pools.decode)
    return Pools(prefill=pools.prefill, decode=pools.decode - 1)


def _donor_utilisation(
    pools: Pools, demand: Demand, new_role: types.Role
) -> float:
    """Return the utilisation of the pool that loses an endpoint to a role."""
    if new_role is types.Role.DECODE:
        return _utilisation(
            demand.prefill / _MAX_PREFILL_UTILISATION, pools.prefill
        )
    return _utilisation(demand.decode, pools.decode)


def _donor_has_spare(
    pools: Pools, demand: Demand, new_role: types.Role
) -> bool:
    """Whether the pool that loses an endpoint has spare capacity."""
    during = _during_change(pools, new_role)
    is_full = _donor_utilisation(during, demand, new_role) > 1.0
    return not is_full and peak_utilisation(during, demand) <= (
        peak_utilisation(pools, demand)
    )


def _min_gain(pools: Pools, has_spare: bool) -> float:
    """Return the factor by which a change must lower peak utilisation."""
    gain = _GAIN_SPARE if has_spare else _GAIN
    return 1.0 + gain / (pools.prefill + pools.decode)


def _best(pools: Pools, demand: Demand) -> Pools:
    """Return the division with the lowest peak utilisation."""
    total = pools.prefill + pools.decode
    divisions = [
        Pools(prefill=count, decode=total - count) for count in range(1, total)
    ]
    return min(
        divisions,
        key=lambda item: peak_utilisation(item, demand),
        default=pools,
    )


def _can_split_decode_pool(pools: Pools, demand: Demand) -> bool:
    """Whether there is no prefill pool and a decode endpoint can be spared."""
    if pools.prefill > 0 or pools.decode < 2:
        return False
    if pools.decode >= _DECODE_POOL_TO_SPLIT:
        return demand.prefill + demand.decode > 0.0
    during = peak_utilisation(
        _during_change(pools, types.Role.PREFILL), demand
    )
    return 0.0 < during < _MIN_UTILISATION


def role_to_add(pools: Pools, demand: Demand) -> types.Role | None:
    """Return the role that one endpoint of the other role should take.

    None unless a step towards the best division gains enough.
    """
    if pools.decode == 0:
        # Nothing is served, so demand may be unknown; a decode endpoint can
        # also prefill in place.
        return types.Role.DECODE if pools.prefill > 0 else None
    if not demand.is_known:
        return None
    current = peak_utilisation(pools, demand)
    if _can_split_decode_pool(pools, demand):
        return types.Role.PREFILL
    best = _best(pools, demand)
    if best.prefill == pools.prefill:
        return None
    role = types.Role.PREFILL
    if best.prefill < pools.prefill:
        role = types.Role.DECODE
    has_spare = _donor_has_spare(pools, demand, role)
    if current < (_MIN_UTILISATION_SPARE if has_spare else _MIN_UTILISATION):
        return None
    if peak_utilisation(best, demand) * _min_gain(pools, has_spare) >= current:
        return None
    return role
