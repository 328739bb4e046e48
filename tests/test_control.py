"""Control replicas lose no accepted change and never go back."""

import asyncio

from rackpost.consensus import messages as consensus
from rackpost.state import commands
from rackpost.testing import cluster
from rackpost.testing import virtual
from rackpost import types

THREE = ("c0", "c1", "c2")


def write(
    op: str,
    based_on: int = 0,
    path: str = "nord",
    weight: float = 2.0,
    who: str = "ola",
) -> commands.Write:
    return commands.Write(
        op=types.OperationId(op),
        who=who,
        at=1.0,
        path=path,
        based_on=types.Revision(based_on),
        values={"weight": weight},
    )


async def ask(
    group: cluster.Cluster, cmd: commands.AnyCommand
) -> commands.Result:
    """Commit a command as an operator does, with retries until a result."""
    while True:
        for item in list(group.up.values()):
            result = await item.node.commit(cmd)
            if result is not None:
                return result
        await asyncio.sleep(0.05)


def test_a_killed_leader_costs_less_than_two_seconds() -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        for seed in range(8):
            group = cluster.Cluster(names=THREE, seed=seed)
            old = await group.await_leader()
            await ask(group, write("a"))
            group.kill(old)
            began = loop.time()
            result = await ask(group, write("b", based_on=1))
            assert isinstance(result, commands.Accepted)
            assert loop.time() - began < 2.0
            group.close()

    virtual.run(main())


def test_two_replicas_lost_in_a_row_lose_no_accepted_change() -> None:
    async def main() -> None:
        group = cluster.Cluster(names=THREE, seed=3)
        for number in range(20):
            path = f"n{number}"
            await ask(group, write(f"op{number}", path=path))
            if number % 5 == 4:
                victim = await group.await_leader()
                group.kill(victim)
                await asyncio.sleep(0.4)
                group.start(victim)
                second = await group.await_leader()
                group.kill(second)
                await asyncio.sleep(0.3)
                group.start(second)
        for name in THREE:
            node = group.up[name].node
            assert await node.confirm_read()
            assert len(node.machine.tree.nodes) == 20
        group.close()

    virtual.run(main())


def test_of_two_operators_who_read_the_same_number_one_wins() -> None:
    async def main() -> None:
        group = cluster.Cluster(names=THREE, seed=1)
        await group.await_leader()
        first, second = await asyncio.gather(
            ask(group, write("a", who="ola")),
            ask(group, write("b", who="kari")),
        )
        kinds = {type(first), type(second)}
        assert kinds == {commands.Accepted, commands.Conflict}
        lost = first if isinstance(first, commands.Conflict) else second
        assert isinstance(lost, commands.Conflict)
        assert lost.theirs in ("ola changed nord", "kari changed nord")
        group.close()

    virtual.run(main())


def test_a_resent_operation_gets_its_first_result_even_after_failover() -> (
    None
):
    async def main() -> None:
        group = cluster.Cluster(names=THREE, seed=2)
        old = await group.await_leader()
        first = await ask(group, write("a"))
        await ask(group, write("b", based_on=1))
        group.kill(old)
        again = await ask(group, write("a"))
        assert again == first
        group.close()

    virtual.run(main())


def test_a_restarted_replica_catches_up_after_hundreds_of_changes() -> None:
    async def main() -> None:
        group = cluster.Cluster(names=THREE, seed=4, compact_at=100)
        leader = await group.await_leader()
        behind = next(name for name in THREE if name != leader)
        group.kill(behind)
        for number in range(350):
            await ask(group, write(f"op{number}", path=f"n{number}"))
        group.start(behind)
        node = group.up[behind].node
        assert await node.confirm_read()
        assert len(node.machine.tree.nodes) == 350
        # The snapshot holds the results of old operations.
        again = await ask(group, write("op7", path="n7"))
        assert isinstance(again, commands.Accepted)
        assert again.revision == 8
        group.close()

    virtual.run(main())


def test_a_leader_cut_off_in_silence_confirms_no_read_and_stops_feeding() -> (
    None
):
    async def main() -> None:
        group = cluster.Cluster(names=THREE, seed=5)
        old = await group.await_leader()
        client = group.client("agent-1")
        client._addresses = [old, *client._addresses]
        running = asyncio.create_task(client.run())
        await asyncio.sleep(0.5)
        assert client.ready.is_set()
        group.isolate(old)
        new = await group.await_leader(exclude=old)
        await asyncio.sleep(0.05)
        result = await group.up[new].node.commit(write("a"))
        assert isinstance(result, commands.Accepted)
        # The change is in force at the watcher within seven seconds.
        for _ in range(70):
            await asyncio.sleep(0.1)
            if client.in_force.revision >= result.revision:
                break
        assert client.in_force.revision >= result.revision
        assert not await group.up[old].node.confirm_read()
        assert not group.up[old].node.in_quorum_contact()
        group.reconnect(old)
        await asyncio.sleep(2.0)
        assert group.up[old].node.machine.revision >= result.revision
        running.cancel()
        group.close()

    virtual.run(main())


def test_a_lost_disk_comes_back_as_a_learner_under_a_new_id() -> None:
    async def main() -> None:
        group = cluster.Cluster(names=THREE, seed=6, compact_at=50)
        leader = await group.await_leader()
        for number in range(120):
            await ask(group, write(f"op{number}", path=f"n{number}"))
        lost = next(name for name in THREE if name != leader)
        group.kill(lost)
        del group.disks[lost]
        group.add_disk("c3", consensus.Config(voters=()))
        group.start("c3")
        ids = [consensus.ReplicaId(name) for name in (*THREE, "c3")]
        node = group.up[leader].node
        voters = tuple(ids[:3])
        node.change_config(consensus.Config(voters=voters, learners=(ids[3],)))
        await asyncio.sleep(1.0)
        kept = tuple(name for name in ids[:3] if name != lost)
        node.change_config(consensus.Config(voters=(*kept, ids[3])[:2]))
        await asyncio.sleep(0.5)
        node.change_config(consensus.Config(voters=kept, learners=(ids[3],)))
        await asyncio.sleep(1.0)
        node.change_config(consensus.Config(voters=(*kept, ids[3])))
        await asyncio.sleep(1.0)
        assert set(group.up["c3"].node.config.voters) == {*kept, "c3"}
        assert len(group.up["c3"].node.machine.tree.nodes) == 120
        group.kill(leader)
        result = await ask(group, write("after", path="after"))
        assert isinstance(result, commands.Accepted)
        group.close()

    virtual.run(main())


def member(name: str, incarnation: int = 1) -> commands.MemberInfo:
    return commands.MemberInfo(
        name=name,
        vm=types.VmId("vm1"),
        data_centre=types.DataCentre("hall-nord"),
        address="127.0.0.1:1",
        incarnation=types.Incarnation(incarnation),
        service=types.ServiceName("tolk"),
        role=types.Role.DECODE,
    )


def test_a_silent_member_is_removed_and_comes_back_with_a_new_fence() -> None:
    async def main() -> None:
        group = cluster.Cluster(names=THREE, seed=7)
        await group.await_leader()
        client = group.client("a1", member("a1"))
        running = asyncio.create_task(client.run())
        await asyncio.sleep(2.0)
        leader = group.up[await group.await_leader()].node
        first = leader.machine.fences["a1"]
        running.cancel()
        await asyncio.sleep(25.0)
        assert "a1" not in leader.machine.members
        again = asyncio.create_task(client.run())
        await asyncio.sleep(5.0)
        assert leader.machine.fences["a1"] > first
        again.cancel()
        group.close()

    virtual.run(main())


def test_a_process_that_hears_of_a_newer_revision_fetches_it() -> None:
    async def main() -> None:
        group = cluster.Cluster(names=THREE, seed=8)
        leader = await group.await_leader()
        client = group.client("e1")
        running = asyncio.create_task(client.run())
        await asyncio.sleep(0.5)
        # Without a feed, the client learns of the change from a peer only.
        group.up[leader].service._sessions.clear()
        for item in group.up.values():
            item.service._feed = lambda changes: None  # type: ignore
            for session in item.service._sessions:
                session.watching = False
        result = await ask(group, write("a"))
        assert isinstance(result, commands.Accepted)
        assert client.in_force.revision < result.revision
        assert client.fetch_if_behind(result.revision)
        await asyncio.sleep(0.2)
        assert client.in_force.revision == result.revision
        # An older state that arrives late is not applied.
        image = group.up[leader].node.machine.image()
        assert client.in_force.take_whole(image)
        await ask(group, write("b", based_on=1))
        assert client.fetch_if_behind(types.Revision(result.revision + 1))
        await asyncio.sleep(0.2)
        assert not client.in_force.take_whole(image)
        assert client.in_force.revision == result.revision + 1
        running.cancel()
        group.close()

    virtual.run(main())
