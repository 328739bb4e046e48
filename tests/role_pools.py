"""Emulated prefill and decode pools whose endpoints change their role.

`python -m tests.role_pools` prints the comparison of docs/design/roles.md.
"""

import collections
import heapq
import math
import random
import sys
from typing import Callable
from typing import NamedTuple

from rackpost.decide import role_balance
from rackpost.decide import role_demand
from rackpost.decide import role_plan
from rackpost.decide import role_reports
from rackpost.decide import token_timing
from rackpost import types

SERVICE = types.ServiceName("model")
SWITCH_S, SECONDS = 6.0, 34.0
_GATEWAYS, _STEP_S, _CHECK_S = 21, 0.02, 0.5
_PREFILL_TOKEN_S, _DECODE_TOKEN_S = 0.000018, 0.0037
_MEMORY_TOKENS, _TARGET_S, _PATIENCE_S = 45628, 1.0, 4.0
# A gateway observes token times this long after its first request.
_FIRST_TIMES_S = 0.4
PREFILL, DECODE = types.Role.PREFILL, types.Role.DECODE
# Mean tokens of prompt and answer of one kind of requests.
Kind = tuple[float, float]
_USUAL = (5200.0, 966.0)
_LONG_PROMPTS, _LONG_ANSWERS = (9000.0, 500.0), (3000.0, 1600.0)


class Loss(NamedTuple):
    """A share of the endpoints of each role is lost for a time."""

    at: float
    until: float
    share: float


class Load(NamedTuple):
    """A load: the request rate and the kind of requests at a time."""

    name: str
    rate: Callable[[float], float]
    kind: Callable[[float], Kind] = lambda now: _USUAL
    loss: Loss = Loss(math.inf, math.inf, 0.0)


# Times of the gateways' reports, and what they said.
Reports = list[tuple[float, role_balance.Demand]]


class View(NamedTuple):
    """What a way sees at a check."""

    now: float
    pools: role_balance.Pools
    changing: list[types.Role]
    reports: Reports


# Returns a role and how many endpoints are to take it now.
Way = Callable[[View], tuple[types.Role, int] | None]


class StandingWay:
    """The way without the feature, as in `coordinator/roles.py`."""

    def __init__(self) -> None:
        self._since, self._not_before, self._had_changes = math.inf, 0.0, False

    def __call__(self, view: View) -> tuple[types.Role, int] | None:
        now, pools, changing, reports = view
        if self._had_changes and not changing:
            self._not_before = now + 6.0
        self._had_changes = bool(changing)
        total = pools.prefill + pools.decode
        if len(changing) >= max(1, total // 5) or now < self._not_before:
            return None
        demand = role_balance.total(SERVICE, [item for _, item in reports])
        role = role_balance.role_to_add(pools, demand)
        if role is None:
            self._since = math.inf
            return None
        self._since = min(self._since, now)
        if now - self._since < 1.0:
            return None
        if len(changing) + 1 >= max(1, total // 5):
            self._since = math.inf
        return role, 1


class PlannedWay:
    """The way with the feature on."""

    def __init__(self) -> None:
        self.planner = role_plan.RolePlanner()

    def __call__(self, view: View) -> tuple[types.Role, int] | None:
        works = [
            role_demand.WorkReport(at, item.recent)
            for at, item in view.reports
            if item.recent is not None
        ]
        self.planner.history.record(view.now, works)
        plan = self.planner.plan(*view[:3])
        if plan is not None:
            self.planner.record_order(view.now, plan.role, plan.changes)
        return plan and (plan.role, plan.changes)


def at_time(at: float, role: types.Role, count: int) -> Way:
    """Return a way that orders a change at a time, as with foresight."""
    left = [(role, count)]
    return lambda view: left.pop() if left and view.now >= at else None


class Result(NamedTuple):
    """What a play gave.

    `first_at` is infinite without an order; `lost_s` counts the seconds of
    endpoints that were changing; unserved requests got no first token, late
    ones got it after the target.
    """

    requests: int
    orders: int
    first_at: float
    reversals: int
    lost_s: float
    unserved: int
    late: int


class _Endpoint:
    """One endpoint; `used` is the occupied share of its memory."""

    def __init__(self, role: types.Role) -> None:
        self.role = role
        self.new_role: types.Role | None = None
        self.used, self.prefill_free_at, self.back_at = 0.0, 0.0, math.inf
        self.ends: list[tuple[float, float]] = []

    def advance(self, now: float) -> None:
        """End generations that are complete, and a change of role."""
        while self.ends and self.ends[0][0] <= now:
            self.used -= heapq.heappop(self.ends)[1]
        if self.new_role and self.back_at == math.inf and not self.ends:
            self.back_at = max(now, self.prefill_free_at) + SWITCH_S
        if self.new_role and now >= self.back_at:
            self.role, self.new_role = self.new_role, None
            self.back_at, self.used = math.inf, 0.0


class _Request(NamedTuple):
    now: float
    prompt: int
    out: int
    share: float


def known_token_timing() -> token_timing.TokenTiming:
    """Return token times that were observed."""
    found = token_timing.TokenTiming()
    found.record_prefill(1000, 1000 * _PREFILL_TOKEN_S)
    found.record_decode(1000, 1000 * _DECODE_TOKEN_S)
    return found


class _Gateway:
    """A gateway that has been running for some time without requests."""

    def __init__(self, rng: random.Random, is_early: bool) -> None:
        self._is_early = is_early
        self._evidence = role_reports.EvidenceReports()
        self.meter = role_balance.DemandMeter(started_at=-15.0)
        self._timing = token_timing.TokenTiming()
        self._first_at = math.inf
        self._next_report = rng.random()
        self._next_check = self._next_report % role_reports.CHECK_INTERVAL_S
        self._report(-1.0)

    def _report(self, now: float) -> None:
        found = self.meter.demand(SERVICE, now, self._timing, with_recent=True)
        self.report = (now, found)
        self._evidence.record(**self._known(now))

    def _known(self, now: float) -> dict[str, bool]:
        return {
            "has_requests": self.meter.has_recent(now),
            "knows_times": self._timing.is_known,
        }

    def add(self, req: _Request) -> None:
        """Count a request."""
        self._first_at = min(self._first_at, req.now)
        self.meter.add(**req._asdict())

    def advance(self, now: float) -> None:
        """Report once a second, and early on new evidence."""
        if not self._timing.is_known and now > self._first_at + _FIRST_TIMES_S:
            self._timing = known_token_timing()
        if now >= self._next_report:
            self._next_report += 1.0
            self._report(now)
        if self._is_early and now >= self._next_check:
            self._next_check += role_reports.CHECK_INTERVAL_S
            if self._evidence.due(**self._known(now)):
                self._report(now)


class _Site:
    """The pools, and requests that wait for them in order of arrival."""

    def __init__(self) -> None:
        roles = [PREFILL] * 7 + [DECODE] * 12
        self.endpoints = [_Endpoint(role) for role in roles]
        self._lost: list[_Endpoint] = []
        self.waiting: collections.deque[_Request] = collections.deque()
        self.unserved, self.late, self.lost_s = 0, 0, 0.0

    def advance(self, now: float) -> None:
        """Advance by one step."""
        for item in self.endpoints:
            item.advance(now)
            self.lost_s += _STEP_S * (item.new_role is not None)
        while self.waiting:
            is_over = now - self.waiting[0].now > _PATIENCE_S
            if not is_over and not self._start(self.waiting[0], now):
                break
            self.unserved += is_over
            self.waiting.popleft()

    def lose(self, now: float, loss: Loss) -> None:
        """Lose endpoints, or let them restart in their role."""
        if self._lost and now >= loss.until:
            self.endpoints += [_Endpoint(item.role) for item in self._lost]
            self._lost = []
        elif loss.at <= now < loss.until and not self._lost:
            for role in (PREFILL, DECODE):
                group = [item for item in self.endpoints if item.role is role]
                self._lost += group[: math.ceil(loss.share * len(group))]
            self.endpoints = [
                item for item in self.endpoints if item not in self._lost
            ]

    def _in_role(self, role: types.Role) -> list[_Endpoint]:
        found = (item for item in self.endpoints if item.role is role)
        return [item for item in found if item.new_role is None]

    def _start(self, req: _Request, now: float) -> bool:
        """Start a request if an endpoint of each role has room."""
        decoders, prefillers = self._in_role(DECODE), self._in_role(PREFILL)
        if not decoders or not prefillers:
            return False
        decode = min(decoders, key=lambda item: item.used)
        prefill = min(prefillers, key=lambda item: item.prefill_free_at)
        began = max(now, prefill.prefill_free_at)
        if decode.used + req.share > 1.0 or began - now > 0.5:
            return False
        ready = began + req.prompt * _PREFILL_TOKEN_S
        prefill.prefill_free_at = ready
        decode.used += req.share
        end = (ready + req.out * _DECODE_TOKEN_S, req.share)
        heapq.heappush(decode.ends, end)
        self.late += ready - req.now > _TARGET_S
        return True

    def view(self, now: float, reports: Reports) -> View:
        """Return what a way sees; changes under way count as made."""
        roles = [item.new_role or item.role for item in self.endpoints]
        pools = role_balance.Pools(
            prefill=roles.count(PREFILL), decode=roles.count(DECODE)
        )
        taken = [item.new_role for item in self.endpoints if item.new_role]
        return View(now, pools, taken, reports)

    def order(self, role: types.Role, count: int) -> None:
        """Order endpoints to take a role."""
        other = PREFILL if role is DECODE else DECODE
        for item in self._in_role(other)[:count]:
            item.new_role = role


def _size(rng: random.Random, mean: float, spread: float) -> int:
    variance = math.log(1.0 + spread * spread)
    mu = math.log(mean) - variance / 2.0
    found = rng.lognormvariate(mu, math.sqrt(variance))
    return 1 + int(min(found, 2.2 * mean))


def _arrivals(load: Load, rng: random.Random) -> list[_Request]:
    highest = max(load.rate(tick * _STEP_S) for tick in range(1700))
    found = []
    now = rng.expovariate(highest)
    while now < SECONDS:
        if rng.random() < load.rate(now) / highest:
            prompt, answer = load.kind(now)
            sizes = _size(rng, prompt, 0.5), _size(rng, answer, 0.7)
            share = (sizes[0] + 0.5 * sizes[1]) / _MEMORY_TOKENS
            found.append(_Request(now, *sizes, share))
        now += rng.expovariate(highest)
    return found


def play(load: Load, way: Way, *, seed: int) -> Result:
    """Play a load against pools whose roles a way decides."""
    rng = random.Random(seed)
    arrivals = collections.deque(_arrivals(load, rng))
    requests = len(arrivals)
    is_early = isinstance(way, PlannedWay)
    gateways = [_Gateway(rng, is_early) for _ in range(_GATEWAYS)]
    site = _Site()
    orders: list[tuple[float, types.Role, int]] = []
    for tick in range(int(SECONDS / _STEP_S)):
        now = tick * _STEP_S
        while arrivals and arrivals[0].now <= now:
            req = arrivals.popleft()
            rng.choice(gateways).add(req)
            site.waiting.append(req)
        for gateway in gateways:
            gateway.advance(now)
        site.lose(now, load.loss)
        site.advance(now)
        if tick % int(_CHECK_S / _STEP_S) == 0:
            found = way(site.view(now, [item.report for item in gateways]))
            if found is not None:
                site.order(*found)
                orders.append((now, *found))
    roles = [role for _, role, _ in orders]
    return Result(
        requests,
        sum(count for _, _, count in orders),
        orders[0][0] if orders else math.inf,
        sum(a is not b for a, b in zip(roles, roles[1:])),
        site.lost_s,
        site.unserved + len(site.waiting),
        site.late,
    )


_BURSTS = ((6.0, 5.0, 1.8), (17.0, 4.0, 2.2), (27.0, 4.0, 1.8))


def _wave(now: float, mean: float = 19.0) -> float:
    return mean * (1.0 + 0.55 * math.sin(2.0 * math.pi * (now / 13.0 + 0.18)))


def _bursts(now: float, rate: float) -> float:
    found = (item[2] for item in _BURSTS if 0 <= now - item[0] < item[1])
    return rate * next(found, 1.0)


def _shifting(now: float) -> Kind:
    return _LONG_PROMPTS if now % 20.0 < 10.0 else _LONG_ANSWERS


def _shifted_once(now: float) -> Kind:
    return _LONG_ANSWERS if now < 12.0 else _LONG_PROMPTS


LOADS = (
    Load("steady", lambda now: 19.0),
    Load("wave", _wave),
    Load("bursts", lambda now: _bursts(now, 19.0)),
    Load("wave and bursts", lambda now: _bursts(now, _wave(now))),
    Load("mix shifts each 10 s", lambda now: 19.0, _shifting),
    Load("mix shifts for good", lambda now: 19.0, _shifted_once),
    Load("idle", lambda now: 2.0),
)
LOADS_BY_NAME = {item.name: item for item in LOADS}
WAYS: dict[str, Callable[[], Way]] = {
    "no changes": lambda: lambda view: None,
    "standing": StandingWay,
    "planned": PlannedWay,
    "3 to decode at 0 s": lambda: at_time(0.0, DECODE, 3),
    "3 to decode at 1.5 s": lambda: at_time(1.5, DECODE, 3),
}


def main(seeds: int = 8) -> None:
    """Print the mean figures of all ways on all loads."""
    heads = "first order, s | orders | reversals | lost, s | unserved | late"
    print(f"| load | way | {heads} |\n" + "| --- " * 8 + "|")
    for load in LOADS[:-1]:
        for name, way in WAYS.items():
            plays = [play(load, way(), seed=seed) for seed in range(seeds)]
            total, orders, first_at, reversals, lost_s, unserved, late = (
                sum(column) / seeds for column in zip(*plays)
            )
            print(
                f"| {load.name} | {name} | {first_at:.1f} | {orders:.1f}"
                f" | {reversals:.1f} | {lost_s:.0f}"
                f" | {unserved / total:.1%} | {late / total:.1%} |"
            )


if __name__ == "__main__":
    main(*map(int, sys.argv[1:]))
