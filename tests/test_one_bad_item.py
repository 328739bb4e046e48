"""One item that a process can't take must not end each one that takes it.

The same class as a request that ends endpoint after endpoint, in our own
processes: a record of the log that no replica can apply, a message that no
gateway can take and that each new link brings again, a lasting task that
ends by one fault and leaves a process behind that does nothing.
"""

import asyncio
import pathlib
from typing import Callable

import msgspec
import pytest

from rackpost import background
from rackpost.control import messages as control
from rackpost import exceptions
from rackpost.link import websocket
from rackpost import logs
from rackpost.state import commands
from rackpost.state import machine
from rackpost.testing import cluster
from tests import platform_site

_SECURITY = websocket.Security(key=b"test")
_MOST_S = 10.0


class _Fault(Exception):
    """What nobody foresaw."""


def test_a_record_that_can_not_be_applied_is_left_out_by_all_alike(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each replica would meet it again after each restart."""

    def fails(self: machine.Machine) -> commands.Result:
        raise _Fault("in the middle")

    monkeypatch.setattr(machine.Machine, "_take_fence", fails)

    async def main() -> None:
        group = cluster.Cluster(names=("a", "b", "c"), seed=1)
        leader = group.up[await group.await_leader()].node
        async with asyncio.timeout(_MOST_S):
            got = await leader.commit(commands.TakeFence(holder="a"))
            assert isinstance(got, commands.Rejected)
            good = commands.SetRouting(version=3, source=b"{}")
            assert isinstance(await leader.commit(good), commands.Accepted)
            nodes = [item.node for item in group.up.values()]
            while not all(node.machine.routing for node in nodes):
                await asyncio.sleep(0.01)
        group.close()

    asyncio.run(main())


def test_a_message_that_can_not_be_taken_does_not_end_its_link() -> None:
    """The next link would bring it again, to every gateway."""

    async def main() -> None:
        taken: list[msgspec.Struct] = []
        done = asyncio.Event()

        def receive(msg: msgspec.Struct) -> None:
            taken.append(msg)
            if len(taken) == 1:
                raise _Fault("can't be taken")
            done.set()

        async def accept(conn: websocket.WebSocketChannel) -> None:
            conn.attach(receive=receive, closed=lambda: None)
            await conn.run()

        serving = websocket.serving(
            "127.0.0.1",
            0,
            security=_SECURITY,
            kinds=control.ReplicaHello,
            accept=accept,
            refused=pytest.fail,
        )
        async with serving as port:
            async with websocket.connected(
                f"127.0.0.1:{port}",
                security=_SECURITY,
                kinds=control.ReplicaHello,
            ) as conn:
                conn.send(control.ReplicaHello(replica="one"))
                conn.send(control.ReplicaHello(replica="two"))
                async with asyncio.timeout(_MOST_S):
                    await done.wait()

    asyncio.run(main())


def test_a_lasting_task_begins_again_after_a_fault_and_says_so(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    said: list[str] = []
    monkeypatch.setattr(
        logs, "say", lambda part, text, **fields: said.append(text)
    )

    async def main() -> None:
        tasks = background.Tasks(part=logs.Part.GATEWAY)
        runs = 0
        again = asyncio.Event()

        async def lasting() -> None:
            nonlocal runs
            runs += 1
            if runs == 1:
                raise _Fault("once")
            again.set()
            await asyncio.Event().wait()

        async def single() -> None:
            raise _Fault("also")

        tasks.keep(lasting)
        tasks.spawn(single())
        async with asyncio.timeout(_MOST_S):
            await again.wait()
        await tasks.close()

    asyncio.run(main())
    assert sorted(said) == ["A task began again.", "A task failed."]


def test_a_coordinator_whose_replica_fails_ends_itself() -> None:
    """It would answer, and neither vote nor apply anything."""

    async def main() -> None:
        tasks = background.Tasks(part=logs.Part.COORDINATOR)

        async def replica() -> None:
            raise exceptions.StorageError("what it holds is not known")

        tasks.spawn(replica(), vital=True)
        async with asyncio.timeout(_MOST_S):
            await tasks.vital_failed.wait()
        await tasks.close()

    asyncio.run(main())


class _FullLink:
    """A link that ends as it is told, since too much waits for its peer."""

    def __init__(self, *, ended: Callable[["_FullLink"], None]) -> None:
        self._ended = ended
        self.told: list[msgspec.Struct] = []

    def send(self, msg: msgspec.Struct) -> None:
        self.told.append(msg)
        self._ended(self)


def test_a_link_that_ends_as_it_is_told_keeps_nothing_from_the_others(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            found = site.gateway._links
            linked: set = set()
            full = [_FullLink(ended=linked.discard) for _ in range(4)]
            linked.update(full)
            found._linked = linked
            found.tell_demands()
            assert all(len(one.told) == 1 for one in full)

    asyncio.run(main())
