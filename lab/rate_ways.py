"""Ways to keep an endpoint's rate over all gateways: python -m lab.rate_ways.

Prints, for each way, size, load and fault, by how many requests the worst
window was over what the users allow (below 0: under it), how many plays were
over, the part of the rate that was used, and messages a second of all
gateways.  The ways that are not built into gateways stand here.
"""

import sys
from typing import Callable

import msgspec

from rackpost.http1 import address
from rackpost.link import codec
from rackpost.testing import rate_world
from rackpost import types

_SIZES = (5, 21, 68, 370)
_SEEDS = range(3)
_CASES: dict[str, dict[str, object]] = {
    "many ask": {},
    "many wait": {"waits": True},
    "as many as named": {"asked": 3.3},
    "one in ten lost": {"waits": True, "loss": 0.1},
    "restarts": {"waits": True, "restart_each": 2.0},
    "cut in two": {"waits": True, "cut": (5.0, 12.0)},
    "50 a second": {"rate": 50.0, "asked": 200.0},
}
# Changes are gathered so long before they are told, in seconds.
_BATCHING_DELAY_S = 0.013


class _TokenBucket:
    """A bucket that holds one request, and a quarter of a second's."""

    def __init__(self, *, per_s: float, now: float) -> None:
        self.level = 0.0
        self._per_s = per_s
        self._at = now

    def take(self, now: float, count: int = 1) -> None:
        """Take some, whatever is left."""
        self.level = self._filled(now) - count

    def has_one(self, now: float) -> bool:
        """Whether one may be taken."""
        self.level = self._filled(now)
        return self.level >= 1.0

    def _filled(self, now: float) -> float:
        most = 1.0 + 0.25 * self._per_s
        level = self.level + self._per_s * (now - self._at)
        self._at = now
        return min(most, level)


class _LocalBucket(rate_world.RatePolicy):
    """Each gateway keeps to a part of the rate by itself."""

    def __init__(self, *, world: rate_world.World, part: float) -> None:
        self._world = world
        per_s = world.spec.rate * part
        self._bucket = _TokenBucket(per_s=per_s, now=world.now())

    async def may_send(self) -> bool:
        """Whether its own bucket holds one."""
        now = self._world.now()
        if not self._bucket.has_one(now):
            return False
        self._bucket.take(now)
        return True

    def receive(self, data: bytes, sender: address.Address) -> None:
        """Nothing is told."""

    def publish(self) -> None:
        """Nothing is told."""


class _Total(msgspec.Struct, frozen=True, array_like=True, tag="total"):
    """What a gateway has sent since its start."""

    vm: types.VmId
    life: int
    sent: int


_DECODER = codec.Decoder(kinds=_Total)


class _PublishedTotals(_LocalBucket):
    """A bucket that all keep alike: each tells what it has sent."""

    def __init__(self, *, world: rate_world.World, vm: types.VmId) -> None:
        super().__init__(world=world, part=1.0)
        self._vm = vm
        self._incarnation = world.rng.getrandbits(32)
        self._sent = 0
        self._last_totals: dict[types.VmId, _Total] = {}

    async def may_send(self) -> bool:
        """Whether the bucket, as it is known here, holds one."""
        if not await super().may_send():
            return False
        self._sent += 1
        self._world.loop.call_later(_BATCHING_DELAY_S, self.publish)
        return True

    def publish(self) -> None:
        """Tell all others."""
        msg = _Total(vm=self._vm, life=self._incarnation, sent=self._sent)
        data = codec.encode(msg)
        for name in self._world.names:
            if name != self._vm:
                self._world.send(self._vm, name, data)

    def receive(self, data: bytes, sender: address.Address) -> None:
        """Draw what another one has sent since its last word."""
        told = _DECODER.decode(data)
        known = self._last_totals.get(told.vm)
        before = 0
        if known is not None and known.life == told.life:
            before = known.sent
        if told.sent > before:
            self._bucket.take(self._world.now(), told.sent - before)
            self._last_totals[told.vm] = told


_Make = Callable[[rate_world.World, types.VmId], rate_world.RatePolicy]
_POLICIES: dict[str, _Make] = {
    "each alone": lambda world, vm: _LocalBucket(world=world, part=1.0),
    "even parts": lambda world, vm: _LocalBucket(
        world=world, part=1.0 / len(world.names)
    ),
    "told totals": lambda world, vm: _PublishedTotals(world=world, vm=vm),
    "grants": lambda world, vm: rate_world.GrantsPolicy(world=world, vm=vm),
}


def _print(way: str, size: int, case: str) -> None:
    spec = rate_world.Spec(gateways=size, **_CASES[case])  # type: ignore
    plays = [rate_world.play(spec, seed, _POLICIES[way]) for seed in _SEEDS]
    worst = max(play.worst_excess() for play in plays)
    broken = sum(play.worst_excess() > 0 for play in plays)
    used = sum(play.utilization for play in plays) / len(plays)
    sent = sum(play.messages for play in plays) / len(plays) / spec.seconds
    print(
        f"| {way} | {size} | {case} | {worst:+.0f} "
        f"| {broken} of {len(plays)} | {used:.2f} | {sent:.0f} |",
        flush=True,
    )


def main() -> None:
    """Compare and print."""
    print("| way | gateways | case | over | broken | used | messages |")
    print("| --- " * 7 + "|")
    sizes = [int(word) for word in sys.argv[1:]] or _SIZES
    for case in _CASES:
        for size in sizes:
            for way in _POLICIES:
                _print(way, size, case)


if __name__ == "__main__":
    main()
