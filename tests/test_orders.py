"""Orders reach an endpoint once, and only the agent they were given to."""

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
        self.given: list[str] = []

    async def order(self, *, fence: types.Fence, what: str) -> bool:
        self.given.append(what)
        return True


def order(what: str, fence: int, incarnation: int) -> machine.Change:
    return machine.Change(
        revision=types.Revision(fence),
        member_name="a1",
        member=test_control.member("a1", incarnation),
        order=what,
        fence=types.Fence(fence),
    )


def test_a_restarted_agent_carries_out_no_order_of_the_past() -> None:
    # Bug: a restarted agent was fed the history from the first revision
    # on, and carried out the 'leave' that its forerunner had been given.
    async def main() -> None:
        site = driver.small_site(spec=engine.EngineSpec(checks_fence=False))
        await asyncio.sleep(0.1)
        agent = site.nodes["t2"].agent
        endpoint = _Endpoint()
        mine = orders.OrderExecutor(
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
            mine.on_order(change)
        await asyncio.sleep(0.1)
        assert endpoint.given == ["load y"]
        assert not agent.ledger.leaving
        site.close()

    virtual.run(main())
