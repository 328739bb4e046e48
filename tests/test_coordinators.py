"""Coordinators over real sockets: start, membership and lost disks."""

import asyncio
import contextlib
import json
import pathlib
import shutil
from typing import AsyncIterator

import aiohttp

from rackpost.control import node as node_mod
from rackpost.coordinator import process
from rackpost.state import commands
from tests import platform_site
from tests import test_routing_changes

CORE = (11, 12, 13, 14, 15)


class Cluster:
    """Coordinators that can be stopped, wiped and started one by one."""

    def __init__(self, *, operator: platform_site.Operator) -> None:
        self.plan = operator.plan
        self.operator = operator
        self.up: dict[int, process.Coordinator] = {}
        self._stacks: dict[int, contextlib.AsyncExitStack] = {}

    async def start(self, number: int, *, first: bool = False) -> None:
        host = self.plan.host(number, kind="core", first=first)
        stack = contextlib.AsyncExitStack()
        self.up[number] = await stack.enter_async_context(
            platform_site.coordinator(host)
        )
        self._stacks[number] = stack

    async def stop(self, number: int) -> None:
        del self.up[number]
        await self._stacks.pop(number).aclose()

    def wipe(self, number: int) -> None:
        shutil.rmtree(self.plan.root / f"core-{number}")

    def voters(self) -> set[str]:
        """Return the voters, once all running nodes agree on them.

        A leader alone is not enough: it applies a change when it proposes
        it, before the change is committed.  Empty until then.
        """
        nodes = [one.node for one in self.up.values()]
        known = {frozenset(node.config.voters) for node in nodes}
        led = any(
            node.is_leader and node.in_quorum_contact() for node in nodes
        )
        return set(known.pop()) if led and len(known) == 1 else set()

    async def put_version(self, number: int, version: int) -> dict:
        """Send a node a document until it is accepted; return it."""
        doc = platform_site.document(version)
        await self.operator.put_until_accepted(number, doc)
        return doc

    async def read(self, number: int) -> dict:
        """Return a node's document, once it answers with one."""
        async with asyncio.timeout(platform_site.TIMEOUT_S):
            while True:
                status, doc = await self.operator.get(number)
                if status == 200:
                    return doc
                await asyncio.sleep(0.05)

    async def close(self) -> None:
        for number in list(self.up):
            await self.stop(number)


@contextlib.asynccontextmanager
async def cluster(root: pathlib.Path) -> AsyncIterator[Cluster]:
    """Run all coordinators of a site, each of them a voter."""
    plan = platform_site.Plan(root=root)
    async with aiohttp.ClientSession() as http:
        operator = platform_site.Operator(plan=plan, http=http)
        found = Cluster(operator=operator)
        try:
            for number in CORE:
                await found.start(number, first=True)
            await platform_site.until(lambda: len(found.voters()) == 5)
            yield found
        finally:
            await found.close()


def test_a_document_is_read_back_as_it_was_sent_at_every_node(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with cluster(tmp_path) as found:
            doc = await found.put_version(14, 7)
            for number in CORE:
                assert await found.read(number) == doc
            other = platform_site.document(7, limits={"maxBodyBytes": 1})
            assert await found.operator.put(12, other) == 200
            older = platform_site.document(3)
            assert await found.operator.put(12, older) == 200
            assert await found.read(11) == doc
            bad = platform_site.document(9, services=[])
            assert await found.operator.put(11, bad) == 400
            assert await found.read(13) == doc
            newer = await found.put_version(11, 8)
            assert await found.read(15) == newer

    asyncio.run(main())


def test_versions_below_1_are_in_force_at_gateways(
    tmp_path: pathlib.Path,
) -> None:
    """They were acknowledged and read back, and no gateway applied them."""

    async def main() -> None:
        async with cluster(tmp_path) as found:
            edge = found.plan.host(31, kind="edge")
            for version in (-(2**64), -1, 0, 1):
                async with platform_site.gateway(edge) as running:
                    assert running.site.version != version
                    doc = await found.put_version(12, version)
                    await platform_site.until(
                        lambda: running.site.version == version
                    )
                    assert await found.read(14) == doc

    asyncio.run(main())


def test_a_version_beyond_64_bits_is_in_force_at_all_gateways(
    tmp_path: pathlib.Path,
) -> None:
    """Gateways kept the version before; restarted ones had no document."""

    async def main() -> None:
        async with cluster(tmp_path) as found:
            edge = found.plan.host(31, kind="edge")
            async with platform_site.gateway(edge) as running:
                for number, version in enumerate(
                    (7, *test_routing_changes.LARGE_VERSIONS)
                ):
                    doc = platform_site.document(version)
                    doc["routes"][0]["name"] = f"of-{version}"
                    at = CORE[number % len(CORE)]
                    await found.operator.put_until_accepted(at, doc)
                    await platform_site.until(
                        lambda: running.site.version == version
                    )
            for number in CORE:
                assert await found.read(number) == doc
            # A gateway and coordinators that start anew.
            for number in CORE:
                await found.stop(number)
            for number in CORE:
                await found.start(number)
            async with platform_site.gateway(edge) as running:
                await platform_site.until(
                    lambda: running.site.version == version
                )
            assert await found.read(11) == doc

    asyncio.run(main())


def test_a_stored_document_with_a_too_large_integer_is_put_in_force(
    tmp_path: pathlib.Path,
) -> None:
    """An earlier release acknowledged it; gateways got no document at all."""

    async def main() -> None:
        async with cluster(tmp_path) as found:
            await found.put_version(11, 1)
            doc = platform_site.document(2)
            doc["services"][0]["maxConnections"] = 2**64
            assert await found.operator.put(11, doc) == 400
            cmd = commands.SetRouting(
                version=2, source=json.dumps(doc).encode()
            )
            assert await found.up[11].node.commit(cmd) is not None
            for number in CORE:
                await found.stop(number)
            for number in CORE:
                await found.start(number)
            edge = found.plan.host(31, kind="edge")
            async with platform_site.gateway(edge) as running:
                await platform_site.until(lambda: running.site.version == 2)
                assert await found.read(12) == doc
                # The next document replaces it.
                await found.put_version(13, 3)
                await platform_site.until(lambda: running.site.version == 3)

    asyncio.run(main())


def test_a_document_too_large_for_a_link_does_not_block_later_ones(
    tmp_path: pathlib.Path,
) -> None:
    """No replica could be sent it, so that nothing was committed after it."""

    async def main() -> None:
        async with cluster(tmp_path) as found:
            await found.put_version(11, 1)
            for version, size in ((2, 9 << 20), (3, 15 << 20)):
                doc = platform_site.document(version, note="x" * size)
                for number in CORE:
                    assert await found.operator.put(number, doc) == 413
            # The largest one that is accepted, and the next.
            size = node_mod.MAX_COMMAND_BYTES - 4000
            doc = platform_site.document(4, note="x" * size)
            await found.operator.put_until_accepted(11, doc)
            assert await found.read(13) == doc
            await found.put_version(12, 5)

    asyncio.run(main())


def test_two_lost_disks_lose_nothing_and_come_back_by_themselves(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with cluster(tmp_path) as found:
            doc = await found.put_version(11, 7)
            # Two seeds, the leader perhaps among them.
            for number in (11, 12):
                await found.stop(number)
                found.wipe(number)
            for number in (11, 12):
                await found.start(number)
            assert await found.read(11) == doc
            await platform_site.until(
                lambda: len(found.voters()) == 5
                and not found.voters() & {"127.0.0.11", "127.0.0.12"}
            )
            # The new voters count: the site tolerates two further losses.
            for number in (13, 14):
                await found.stop(number)
                found.wipe(number)
            newer = await found.put_version(11, 8)
            assert await found.read(12) == newer

    asyncio.run(main())


def test_a_replaced_machine_takes_the_place_of_the_one_that_is_gone(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with cluster(tmp_path) as found:
            doc = await found.put_version(11, 7)
            await found.stop(15)
            await found.start(16)
            await platform_site.until(
                lambda: len(found.voters()) == 5
                and "127.0.0.15" not in found.voters()
            )
            assert await found.read(16) == doc

    asyncio.run(main())


def test_all_restarted_at_once_go_on_with_what_they_had(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with cluster(tmp_path) as found:
            doc = await found.put_version(11, 7)
            for number in CORE:
                await found.stop(number)
            for number in CORE:
                await found.start(number)
            assert await found.read(13) == doc
            assert len(found.voters()) == 5

    asyncio.run(main())


def test_a_gateway_is_told_the_document_before_there_is_a_quorum(
    tmp_path: pathlib.Path,
) -> None:
    """After a restart of all nodes, only reads wait for a quorum."""

    async def main() -> None:
        async with cluster(tmp_path) as found:
            await found.put_version(11, 7)
            one = found.up[12]
            await platform_site.until(
                lambda: one.node.machine.routing is not None
                and one.commit_marks.last_written == one.node.mark
            )
            for number in CORE:
                await found.stop(number)
            await found.start(12)
            edge = found.operator.plan.host(31, kind="edge")
            async with platform_site.gateway(edge) as gateway:
                await platform_site.until(lambda: gateway.site.version == 7)
                status, _ = await found.operator.get(12)
                assert status == 503

    asyncio.run(main())


def test_without_a_quorum_nothing_is_read_or_acknowledged(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with cluster(tmp_path) as found:
            await found.put_version(11, 7)
            for number in (11, 12, 13):
                await found.stop(number)
            status, _ = await found.operator.get(14)
            assert status == 503
            newer = platform_site.document(8)
            assert await found.operator.put(15, newer) == 503

    asyncio.run(main())


def test_a_gateway_relays_updates_between_partitioned_coordinators(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a partitioned leader that misses endpoints' updates."""

    async def main() -> None:
        plan = platform_site.Plan(root=tmp_path)
        # Two separate coordinators, and one gateway linked to both.
        async with contextlib.AsyncExitStack() as stack:
            enter = stack.enter_async_context
            http = await enter(aiohttp.ClientSession())
            operator = platform_site.Operator(plan=plan, http=http)
            apart = []
            for number in (11, 12):
                host = plan.host(number, kind="core", seeds=(number,), lost=0)
                apart.append(await enter(platform_site.coordinator(host)))
            edge = plan.host(31, kind="edge", seeds=(11, 12))
            gateway = await enter(platform_site.gateway(edge))
            await platform_site.until(
                lambda: all(one.directory.gateways for one in apart)
            )
            endpoint = platform_site.Endpoint(ident="i", service="plain")
            endpoint.address = "127.0.0.1:1"
            assert await operator.send_heartbeat(11, endpoint) == 200
            tables = [one.directory.table.alive for one in apart]
            await platform_site.until(lambda: all("i" in t for t in tables))
            assert (
                await operator.send_heartbeat(12, endpoint, "draining") == 200
            )
            await platform_site.until(
                lambda: tables[0]["i"].state.value == "draining"
            )
            assert gateway.site.table.alive["i"].state.value == "draining"

    asyncio.run(main())


def test_a_document_that_is_sent_again_is_not_committed_again(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against resent documents that fill the log and the disks."""

    async def main() -> None:
        async with cluster(tmp_path) as found:
            doc = await found.put_version(11, 7)
            one = found.up[13]
            await platform_site.until(lambda: one.feed.version == 7)
            mark = one.node.mark
            for _ in range(5):
                assert await found.operator.put(13, doc) == 200
            assert one.node.mark == mark
            # Also without a quorum: the version is already committed.
            for number in (11, 12, 14):
                await found.stop(number)
            assert await found.operator.put(13, doc) == 200
            newer = platform_site.document(8)
            assert await found.operator.put(13, newer) == 503

    asyncio.run(main())
