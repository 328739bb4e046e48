"""Compares quota policies over all gateways: python -m lab.quota_ways.

Prints, for each policy, load and fault, the requested and admitted units as
multiples of the rate, the largest fraction of the site's promise that was
admitted in a window, how often it was exceeded, and messages and bytes a
second of a gateway.
"""

import random
import statistics
from typing import NamedTuple

from lab import quota_windows
from rackpost.decide import quota
from rackpost.decide import quota_buckets
from rackpost.routing import model
from rackpost.testing import quota_world
from rackpost import types

_POLICIES: dict[str, type[quota.Quotas]] = {
    "parts": quota_windows.EvenShares,
    "figures": quota_windows.ReportedUsage,
    "buckets": quota_buckets.SharedBuckets,
}
_SECONDS = 20.0
_SEEDS = range(10)
# Generations a second: about 0.5, 1.1 and 6 times the rate.
_LOADS = (1.1, 2.2, 12.0)
_FAULTS = ("none", "lossy", "restarts", "cut", "all")
_SIZES = (21, 70)
# From a loss of power to the first request that is served.
_DOWN_S = 0.6
# Units; 0 leases what a request needs, since idle leases are of no use to
# other gateways.
_MIN_LEASE = 0

# Encoded size of a lease request or reply.
_LEASE_BYTES = 30


class Owner:
    """The owner of an organisation's quota, which grants leases from it."""

    def __init__(self) -> None:
        self.at = 0
        self._level = 0.0
        self._now = 0.0
        self.restart(-100.0)

    def restart(self, now: float) -> None:
        """Restart with an empty bucket, without knowledge of old leases."""
        self._level = 0.0
        self._now = now

    def lease(self, wanted: int, now: float) -> int:
        """Return the units leased: at least `wanted`, or 0."""
        limit = quota_world.QUOTA
        terms = quota_world.TERMS
        size = terms.bound(limit) - limit.rate_per_s * terms.window_s
        self._level += limit.rate_per_s * max(0.0, now - self._now)
        self._level = min(self._level, size)
        self._now = max(now, self._now)
        granted = min(self._level, max(wanted, _MIN_LEASE))
        if granted < wanted:
            return 0
        self._level -= granted
        return int(granted)


class OwnerLeases(quota_windows.WindowQuotas):
    """One gateway owns an organisation's quota and leases parts of it.

    Leased units count as spent.  A gateway that cannot reach the owner uses
    the units that it still holds.
    """

    def __init__(self, *, began: float, me: int, world: "Simulation") -> None:
        super().__init__(
            settings=quota_world.TERMS,
            started_at=began,
            limit_of=lambda name: None,
        )
        self._me = me
        self._world = world
        self._leased = 0

    def check(
        self, item: model.Organisation, wanted: int, now: float
    ) -> quota.OverQuota | None:
        """Return None if enough units are held or can be leased."""
        if self._leased < wanted and self._world.reaches_owner(self._me):
            self._world.lease_messages += 2
            self._leased += self._world.owner.lease(wanted, now)
        if self._leased < wanted:
            return quota.OverQuota(1.0, 0.0, float(self._leased))
        return None

    def admit(
        self, name: types.OrganisationName, units: int, now: float
    ) -> None:
        """Take the units from the lease."""
        self._leased -= units


class Simulation:
    """A simulation of one policy under one load and fault."""

    def __init__(self, *, policy: str, gateways: int, seed: int) -> None:
        self._policy = policy
        self.owner = Owner()
        self.lease_messages = 0
        self.world: quota_world.World | None = None
        self.world = quota_world.World(
            make=self._make, rng=random.Random(seed), gateways=gateways
        )

    def _make(self, began: float, me: int) -> quota.Quotas:
        if self._policy == "leases":
            if me == self.owner.at and began > 0.0:
                self.owner.restart(began)
            return OwnerLeases(began=began, me=me, world=self)
        return _POLICIES[self._policy](
            settings=quota_world.TERMS,
            started_at=began,
            limit_of=lambda name: quota_world.QUOTA,
        )

    def reaches_owner(self, me: int) -> bool:
        """Whether a gateway can reach the owner."""
        world = self.world
        return world is None or not world.are_apart(me, self.owner.at)

    def run(self, *, load: float, fault: str) -> "Outcome":
        """Run the simulation; return its outcome."""
        world = self.world
        assert world is not None
        loss = 0.1 if fault == "lossy" else 0.01
        count = len(world.gateways)
        seconds = world.play(requests_per_s=load, seconds=_SECONDS, loss=loss)
        for second in seconds:
            if fault == "restarts":
                world.restart(second % count)
            elif fault == "all" and second == 9:
                world.step(_DOWN_S)
                world.restart(*range(count))
            elif fault == "cut":
                world.cut = 6 <= second < 14
        passed = sum(units for _, units in world.admitted)
        messages = world.messages
        size = world.bytes
        if self._policy == "leases":
            messages = self.lease_messages
            size = messages * _LEASE_BYTES
        elif self._policy == "parts":
            messages = size = 0
        return Outcome(
            promise_fraction=world.max_units_in_window()
            / quota_world.MAX_UNITS_PER_WINDOW,
            admitted=passed / world.now,
            requested=world.requested / world.now,
            messages=messages / world.now / count,
            bytes=size / world.now / count,
        )


class Outcome(NamedTuple):
    """The results of a simulation; all but `promise_fraction` per second."""

    promise_fraction: float
    admitted: float
    requested: float
    messages: float
    bytes: float


def _print(policy: str, gateways: int, load: float, fault: str) -> None:
    found = [
        Simulation(policy=policy, gateways=gateways, seed=seed).run(
            load=load, fault=fault
        )
        for seed in _SEEDS
    ]
    rate = quota_world.QUOTA.rate_per_s
    broken = sum(item.promise_fraction > 1.0 for item in found)
    mean = [statistics.mean(column) for column in zip(*found)]
    print(
        f"| {policy} | {gateways} | {mean[2] / rate:.2f} | {fault} "
        f"| {mean[1] / rate:.2f} "
        f"| {max(item.promise_fraction for item in found):.2f} "
        f"| {broken} of {len(found)} | {mean[3]:.1f} | {mean[4]:.0f} |"
    )


def main() -> None:
    """Run all simulations and print the table."""
    print(
        "| policy | gateways | requested | fault | admitted | max | broken "
        "| messages | bytes |"
    )
    print("| --- " * 9 + "|")
    for gateways in _SIZES:
        for load in _LOADS:
            for fault in _FAULTS:
                for policy in (*_POLICIES, "leases"):
                    _print(policy, gateways, load, fault)


if __name__ == "__main__":
    main()
