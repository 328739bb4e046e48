"""Compares policies for an endpoint's rate: python -m lab.rate_ways.

Prints, for each policy, size, load and fault, by how many requests the worst
window exceeds the limit (negative: below it), how many simulations exceed
it, the fraction of the rate that was used, and messages a second of all
gateways.
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
    "as many as named": {"offered": 3.3},
    "one in ten lost": {"waits": True, "loss": 0.1},
    "restarts": {"waits": True, "restart_each": 2.0},
    "cut in two": {"waits": True, "cut": (5.0, 12.0)},
    "50 a second": {"rate": 50.0, "offered": 200.0},
}
# Batches changes into one message.
_BATCHING_DELAY_S = 0.013


class _TokenBucket:
    """A token bucket with a burst of one request plus 0.25 s of the rate."""

    def __init__(self, *, per_s: float, now: float) -> None:
        self.level = 0.0
        self._per_s = per_s
        self._at = now

    def take(self, now: float, count: int = 1) -> None:
        """Take tokens, even below zero."""
        self.level = self._filled(now) - count

    def has_one(self, now: float) -> bool:
        """Whether a token is available."""
        self.level = self._filled(now)
        return self.level >= 1.0

    def _filled(self, now: float) -> float:
        capacity = 1.0 + 0.25 * self._per_s
        level = self.level + self._per_s * (now - self._at)
        self._at = now
        return min(capacity, level)


class _LocalBucket(rate_world.RatePolicy):
    """Each gateway limits itself to a fraction of the rate."""

    def __init__(self, *, world: rate_world.World, part: float) -> None:
        self._world = world
        per_s = world.spec.rate * part
        self._bucket = _TokenBucket(per_s=per_s, now=world.now())

    async def may_send(self) -> bool:
        """Take a token from the local bucket, if it has one."""
        now = self._world.now()
        if not self._bucket.has_one(now):
            return False
        self._bucket.take(now)
        return True

    def receive(self, data: bytes, sender: address.Address) -> None:
        """Do nothing: gateways are independent."""

    def publish(self) -> None:
        """Do nothing: gateways are independent."""


class _Total(msgspec.Struct, frozen=True, array_like=True, tag="total"):
    """The number of requests a gateway has sent since its start."""

    vm: types.VmId
    incarnation: int
    sent: int


_DECODER = codec.Decoder(kinds=_Total)


class _PublishedTotals(_LocalBucket):
    """All gateways keep a copy of one bucket and publish their totals."""

    def __init__(self, *, world: rate_world.World, vm: types.VmId) -> None:
        super().__init__(world=world, part=1.0)
        self._vm = vm
        self._incarnation = world.rng.getrandbits(32)
        self._sent = 0
        self._last_totals: dict[types.VmId, _Total] = {}

    async def may_send(self) -> bool:
        """Take a token from the local copy of the bucket, if it has one."""
        if not await super().may_send():
            return False
        self._sent += 1
        self._world.loop.call_later(_BATCHING_DELAY_S, self.publish)
        return True

    def publish(self) -> None:
        """Send the own total to all other gateways."""
        msg = _Total(
            vm=self._vm, incarnation=self._incarnation, sent=self._sent
        )
        data = codec.encode(msg)
        for name in self._world.names:
            if name != self._vm:
                self._world.send(self._vm, name, data)

    def receive(self, data: bytes, sender: address.Address) -> None:
        """Take the tokens that a peer has used since its last report."""
        total = _DECODER.decode(data)
        known = self._last_totals.get(total.vm)
        before = 0
        if known is not None and known.incarnation == total.incarnation:
            before = known.sent
        if total.sent > before:
            self._bucket.take(self._world.now(), total.sent - before)
            self._last_totals[total.vm] = total


_Make = Callable[[rate_world.World, types.VmId], rate_world.RatePolicy]
_POLICIES: dict[str, _Make] = {
    "each alone": lambda world, vm: _LocalBucket(world=world, part=1.0),
    "even parts": lambda world, vm: _LocalBucket(
        world=world, part=1.0 / len(world.names)
    ),
    "told totals": lambda world, vm: _PublishedTotals(world=world, vm=vm),
    "grants": lambda world, vm: rate_world.GrantsPolicy(world=world, vm=vm),
}


def _print(policy: str, size: int, case: str) -> None:
    spec = rate_world.Spec(gateways=size, **_CASES[case])  # type: ignore
    plays = [rate_world.play(spec, seed, _POLICIES[policy]) for seed in _SEEDS]
    worst = max(play.worst_excess() for play in plays)
    broken = sum(play.worst_excess() > 0 for play in plays)
    used = sum(play.utilization for play in plays) / len(plays)
    sent = sum(play.messages for play in plays) / len(plays) / spec.seconds
    print(
        f"| {policy} | {size} | {case} | {worst:+.0f} "
        f"| {broken} of {len(plays)} | {used:.2f} | {sent:.0f} |",
        flush=True,
    )


def main() -> None:
    """Run all simulations and print the table."""
    print("| policy | gateways | case | over | broken | used | messages |")
    print("| --- " * 7 + "|")
    sizes = [int(word) for word in sys.argv[1:]] or _SIZES
    for case in _CASES:
        for size in sizes:
            for policy in _POLICIES:
                _print(policy, size, case)


if __name__ == "__main__":
    main()
