"""Coordinators that leave as planned while others are silent or lose disks.

Guards against votes that stay with coordinators which are gone.
"""

import asyncio
import contextlib
import pathlib
from typing import AsyncIterator
from typing import Awaitable
from typing import Callable

from rackpost import cmd_coordinator
from rackpost.decide import features
from tests import platform_site
from tests import test_coordinators

# The coordinator that leaves, and the one that takes its place.
_LEAVES = 15
_NEW = 16
_LOST = (12, 13)


class _Signals:
    """The signals of a coordinator that runs in this process."""

    def __init__(self) -> None:
        self.stop = asyncio.Event()

    async def watch(self, reload: Callable[..., None]) -> None:
        await asyncio.Event().wait()


class _Served:
    """A coordinator that runs as its program does."""

    def __init__(self, *, host: object) -> None:
        self._signals = _Signals()
        self._task = asyncio.create_task(
            cmd_coordinator.serve(features.NO_OVERRIDES, host, self._signals)
        )

    async def terminate(self) -> None:
        """Send it SIGTERM, and wait for its end."""
        self._signals.stop.set()
        await self._task

    async def close(self) -> None:
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task


@contextlib.asynccontextmanager
async def _replaced(
    root: pathlib.Path,
) -> AsyncIterator[tuple[test_coordinators.Cluster, _Served]]:
    """A cluster in which a new coordinator waits to replace another."""
    async with test_coordinators.cluster(root) as found:
        await found.stop(_LEAVES)
        host = found.plan.host(_LEAVES, kind="core", first=False)
        leaves = _Served(host=host)
        try:
            await platform_site.until(lambda: len(found.voters()) == 5)
            await found.start(_NEW)
            await platform_site.until(
                lambda: any(
                    found.up[_NEW].node.me in one.node.config.learners
                    and one.node.is_leader
                    and one.node.caught_up(found.up[_NEW].node.me)
                    for one in found.up.values()
                )
            )
            yield found, leaves
        finally:
            await leaves.close()


async def _lose_disks(found: test_coordinators.Cluster) -> None:
    for number in _LOST:
        await found.stop(number)
        found.wipe(number)
    for number in _LOST:
        await found.start(number)


def _play(
    root: pathlib.Path,
    story: Callable[
        [test_coordinators.Cluster, _Served, dict], Awaitable[None]
    ],
) -> None:
    async def main() -> None:
        async with _replaced(root) as (found, leaves):
            doc = await found.put_version(11, 7)
            await story(found, leaves, doc)

    asyncio.run(main())


def test_two_disks_may_be_lost_right_after_a_planned_leave(
    tmp_path: pathlib.Path,
) -> None:
    async def story(
        found: test_coordinators.Cluster, leaves: _Served, doc: dict
    ) -> None:
        await leaves.terminate()
        await _lose_disks(found)
        assert await found.read(11) == doc
        newer = await found.put_version(11, 8)
        assert await found.read(_NEW) == newer

    _play(tmp_path, story)


def test_a_silent_voter_counts_again_once_another_has_left(
    tmp_path: pathlib.Path,
) -> None:
    async def story(
        found: test_coordinators.Cluster, leaves: _Served, doc: dict
    ) -> None:
        silent = found.up[14].node.me
        # Its disk is sound; to the others this is like a frozen one.
        await found.stop(14)
        await platform_site.until(
            lambda: found.up[_NEW].node.me in found.voters()
            and silent not in found.voters()
        )
        await leaves.terminate()
        doc = await found.put_version(11, 8)
        await _lose_disks(found)
        await found.start(14)
        assert await found.read(11) == doc
        newer = await found.put_version(14, 9)
        assert await found.read(_NEW) == newer

    _play(tmp_path, story)


def test_a_restart_as_planned_keeps_the_vote(tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        async with test_coordinators.cluster(tmp_path) as found:
            await found.put_version(11, 7)
            before = found.voters()
            await found.stop(_LEAVES)
            host = found.plan.host(_LEAVES, kind="core", first=False)
            restarted = _Served(host=host)
            await platform_site.until(lambda: found.voters() == before)
            await restarted.terminate()
            await found.start(_LEAVES)
            await platform_site.until(lambda: found.voters() == before)

    asyncio.run(main())
