"""Orders are executed once, by the incarnation that they are for."""

import asyncio

from rackpost.agent import orders
from rackpost import metrics
from rackpost.state import machine
from rackpost.testing import engine
from rackpost.testing import virtual
from rackpost import types
from tests import driver
from tests import test_control


class _Endpoint:
    """An endpoint that checks no fence."""

    def __init__(self) -> None:
        self.received: list[str] = []

    async def order(self, *, fence: types.Fence, what: str) -> bool:
        self.received.append(what)
        return True


def order(what: str, fence: int, incarnation: int) -> machine.Change:
    return machine.Change(
        revision=types.Revision(fence),
        member_name="a1",
        member=test_control.member("a1", incarnation),
        order=what,
        fence=types.Fence(fence),
    )


def test_a_restarted_agent_repeats_no_past_order() -> None:
    # Guards against executing an order to an earlier incarnation, which a
    # restarted agent receives again with the past changes.
    async def main() -> None:
        site = driver.small_site(spec=engine.EngineSpec(checks_fence=False))
        await asyncio.sleep(0.1)
        agent = site.nodes["t2"].agent
        endpoint = _Endpoint()
        executor = orders.OrderExecutor(
            name="a1",
            incarnation=types.Incarnation(2),
            agent=agent,
            engine=endpoint,  # type: ignore[arg-type]
            metrics=metrics.Metrics(),
        )
        for change in (
            order("load x", 3, 1),
            order("leave", 4, 1),
            order("load y", 6, 2),
            order("load y", 6, 2),
            order("load x", 5, 2),
        ):
            executor.on_order(change)
        await asyncio.sleep(0.1)
        assert endpoint.received == ["load y"]
        assert not agent.ledger.leaving
        site.close()

    virtual.run(main())
