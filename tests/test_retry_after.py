"""Retry-After of refusals, and orders to agents on leaving VMs."""

import asyncio

from rackpost.control import platform
from rackpost.decide import retry_after
from rackpost.testing import cluster
from rackpost.testing import virtual
from rackpost import types
from tests import test_control

FULL = types.Refusal.QUEUE_KEPT


def test_a_longer_backlog_and_denser_demand_lengthen_the_delay() -> None:
    idle = retry_after.delay_s(FULL, backlog_s=0.0, higher_density_load=0.0)
    busy = retry_after.delay_s(FULL, backlog_s=2.0, higher_density_load=0.0)
    crowded = retry_after.delay_s(FULL, backlog_s=2.0, higher_density_load=0.9)
    limited = retry_after.delay_s(
        FULL, backlog_s=99.0, higher_density_load=5.0
    )
    assert idle == 0.5 < busy < crowded < limited == 30.0
    away = types.Refusal.CONTROL_AWAY
    assert (
        retry_after.delay_s(away, backlog_s=9.0, higher_density_load=0.9)
        == 2.0
    )


class _LaggingList(platform.PlatformList):
    """A platform list that reports a leaving VM late."""

    async def read(self) -> list[platform.Vm]:
        now = asyncio.get_running_loop().time()
        state = platform.VmState.LEAVING
        if now < 8.0:
            state = platform.VmState.LIVE
        return [platform.Vm(name=types.VmId("vm1"), state=state)]


def test_an_agent_on_a_leaving_vm_is_ordered_to_leave_once() -> None:
    async def main() -> None:
        group = cluster.Cluster(names=test_control.THREE, seed=9)
        await group.await_leader()
        orders = []
        client = group.client("a1", test_control.member("a1"))
        client._ordered = lambda change: orders.append(change.order)
        tasks = [asyncio.create_task(client.run())]
        for item in group.up.values():
            hints = platform.LeavingVmOrders(
                node=item.node, platform=_LaggingList()
            )
            tasks.append(asyncio.create_task(hints.run()))
        await asyncio.sleep(7.0)
        assert not orders
        await asyncio.sleep(8.0)
        group.kill(await group.await_leader())
        await asyncio.sleep(15.0)
        assert orders == ["leave"]
        for task in tasks:
            task.cancel()
        group.close()

    virtual.run(main())
