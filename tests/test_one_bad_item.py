"""One item that can't be handled must not stop every process that gets it.

The items: a record of the log that no replica can apply, a message that no
gateway can handle, and an exception in a background task.
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
_TIMEOUT_S = 10.0


class _Fault(Exception):
    """An unexpected exception."""


def test_a_record_that_can_not_be_applied_is_left_out_by_all_alike(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Otherwise each replica would fail again after each restart."""

    def fails(self: machine.Machine) -> commands.Result:
        raise _Fault("in the middle")

    monkeypatch.setattr(machine.Machine, "_take_fence", fails)

    async def main() -> None:
        group = cluster.Cluster(names=("a", "b", "c"), seed=1)
        leader = group.up[await group.await_leader()].node
        async with asyncio.timeout(_TIMEOUT_S):
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
    """Otherwise the message is sent again on the next link, and so on."""

    async def main() -> None:
        received: list[msgspec.Struct] = []
        done = asyncio.Event()

        def receive(msg: msgspec.Struct) -> None:
            received.append(msg)
            if len(received) == 1:
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
                async with asyncio.timeout(_TIMEOUT_S):
                    await done.wait()

    asyncio.run(main())


def test_a_lasting_task_begins_again_after_a_fault_and_says_so(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    logged: list[str] = []
    monkeypatch.setattr(
        logs, "say", lambda part, text, **fields: logged.append(text)
    )

    async def main() -> None:
        tasks = background.Tasks(part=logs.Part.GATEWAY)
        runs = 0
        restarted = asyncio.Event()

        async def lasting() -> None:
            nonlocal runs
            runs += 1
            if runs == 1:
                raise _Fault("once")
            restarted.set()
            await asyncio.Event().wait()

        async def single() -> None:
            raise _Fault("also")

        tasks.keep(lasting)
        tasks.spawn(single())
        async with asyncio.timeout(_TIMEOUT_S):
            await restarted.wait()
        await tasks.close()

    asyncio.run(main())
    assert sorted(logged) == ["A task began again.", "A task failed."]


def test_a_coordinator_whose_replica_fails_ends_itself() -> None:
    """Otherwise it would answer but neither vote nor apply records."""

    async def main() -> None:
        tasks = background.Tasks(part=logs.Part.COORDINATOR)

        async def replica() -> None:
            raise exceptions.StorageError("what it holds is not known")

        tasks.spawn(replica(), vital=True)
        async with asyncio.timeout(_TIMEOUT_S):
            await tasks.vital_failed.wait()
        await tasks.close()

    asyncio.run(main())


class _FullLink:
    """A link that closes on a send, as its queue is full."""

    def __init__(self, *, ended: Callable[["_FullLink"], None]) -> None:
        self._ended = ended
        self.sent: list[msgspec.Struct] = []

    def send(self, msg: msgspec.Struct) -> None:
        self.sent.append(msg)
        self._ended(self)


def test_a_link_that_ends_as_it_is_told_keeps_nothing_from_the_others(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            links = site.gateway._links
            linked: set = set()
            full = [_FullLink(ended=linked.discard) for _ in range(4)]
            linked.update(full)
            links._linked = linked
            links.publish_demands()
            assert all(len(link.sent) == 1 for link in full)

    asyncio.run(main())
