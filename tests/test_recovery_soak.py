"""Coordinators that leave, fall silent, lose disks and lose power in series.

Guards against sites that get no document within the losses they tolerate.
By hand: `python -m tests.test_recovery_soak FIRST_SEED COUNT`.
"""

import asyncio
import pathlib
import random
import sys
import tempfile

import pytest

from rackpost.gateway import process as gateway_process
from tests import platform_site
from tests import test_coordinators

_NUMBERS = (11, 12, 13, 14, 15, 16)
_VOTERS = 5
_TOLERATED = 2
_ROUNDS = 4
# The second lost the vote of a silent coordinator that had just joined.
_CI_SEEDS = (3, 28)
# Time in which a site serves again once all machines are back, in seconds.
_RECOVERY_S = 15.0
_EDGE = 31


class _Soak:
    """One site under a random series of losses."""

    def __init__(
        self, *, cluster: test_coordinators.Cluster, seed: int
    ) -> None:
        self._cluster = cluster
        self._rng = random.Random(seed)
        self._version = 1
        self._doc: dict = {}
        # Numbers that run, or are only silent.
        self._members = set(test_coordinators.CORE)
        self._silent: set[int] = set()

    async def run(self) -> None:
        await self._change()
        for _ in range(_ROUNDS):
            await self._settle()
            losses = self._rng.randrange(_TOLERATED + 1)
            steps = [self._replace, self._silence]
            self._rng.shuffle(steps)
            for step in steps[: self._rng.randrange(3)]:
                await step()
                if self._rng.random() < 0.5:
                    await asyncio.sleep(2.0 * self._rng.random())
            if self._rng.random() < 0.5 and not self._silent:
                await self._change()
            await self._lose(losses, all_power=self._rng.random() < 0.5)
            await self._check()

    async def _change(self) -> None:
        """Let an operator change the document."""
        self._version += 1
        number = self._rng.choice(sorted(self._members - self._silent))
        async with asyncio.timeout(_RECOVERY_S):
            self._doc = await self._cluster.put_version(number, self._version)

    async def _settle(self) -> None:
        """Wait until five coordinators vote that all run."""
        up = {one.node.me for one in self._cluster.up.values()}
        await platform_site.until(
            lambda: len(self._cluster.voters()) == _VOTERS
            and self._cluster.voters() <= up
        )

    async def _replace(self) -> None:
        """Replace a coordinator as planned, by one at another address."""
        (spare,) = set(_NUMBERS) - self._members
        gone = self._rng.choice(sorted(self._members - self._silent))
        await self._cluster.start(spare)
        await platform_site.until(lambda: self._has_caught_up(spare))
        await self._cluster.up[gone].hand_over()
        await self._cluster.stop(gone)
        self._cluster.wipe(gone)
        self._members = self._members - {gone} | {spare}

    def _has_caught_up(self, number: int) -> bool:
        me = self._cluster.up[number].node.me
        return any(
            one.node.is_leader and one.node.caught_up(me)
            for one in self._cluster.up.values()
        )

    async def _silence(self) -> None:
        """Silence a coordinator, whose disk stays."""
        number = self._rng.choice(sorted(self._members))
        await self._cluster.stop(number)
        self._silent.add(number)

    async def _lose(self, count: int, *, all_power: bool) -> None:
        """Lose disks, and perhaps all power; then all are back."""
        lost = self._rng.sample(sorted(self._members - self._silent), count)
        down = self._members - self._silent if all_power else set(lost)
        for number in sorted(down):
            await self._cluster.stop(number)
        for number in lost:
            self._cluster.wipe(number)
        back = sorted(down | self._silent)
        self._rng.shuffle(back)
        for number in back:
            await self._cluster.start(number)
        self._silent.clear()

    async def _check(self) -> None:
        """What was acknowledged is read, changed, and at a new gateway."""
        number = self._rng.choice(sorted(self._members))
        async with asyncio.timeout(_RECOVERY_S):
            assert await self._cluster.read(number) == self._doc
        await self._change()
        plan = self._cluster.plan
        seeds = tuple(sorted(self._members)[:3])
        edge = plan.host(_EDGE, kind="edge", seeds=seeds)
        async with platform_site.gateway(edge) as gateway:
            await self._wait_for_document(gateway)

    async def _wait_for_document(
        self, gateway: gateway_process.Gateway
    ) -> None:
        await platform_site.until(
            lambda: gateway.site.version == self._version, _RECOVERY_S
        )


async def _run(root: pathlib.Path, seed: int) -> None:
    async with test_coordinators.cluster(root) as cluster:
        await _Soak(cluster=cluster, seed=seed).run()


@pytest.mark.parametrize("seed", _CI_SEEDS)
def test_a_site_recovers_from_losses_that_it_tolerates(
    tmp_path: pathlib.Path, seed: int
) -> None:
    asyncio.run(_run(tmp_path, seed))


def main() -> None:
    first, count = map(int, sys.argv[1:3])
    for seed in range(first, first + count):
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(_run(pathlib.Path(folder), seed))
        print(f"seed {seed}: well", flush=True)


if __name__ == "__main__":
    main()
