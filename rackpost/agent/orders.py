"""Fenced orders of control, which only the agent gives to its endpoint.

An endpoint that checks nobody is safe behind it: an order counts only
with a fence above all that this agent has seen, and only to the
incarnation that it was given to: a restarted agent is fed the changes of
the past, and must not carry out the orders among them.
"""

import asyncio
import enum

from rackpost.agent import core
from rackpost.agent import engine_http
from rackpost import exceptions
from rackpost import logs
from rackpost import metrics as metrics_mod
from rackpost.state import machine
from rackpost import types


class OrderResult(enum.Enum):
    """What became of an order."""

    GIVEN = "given"
    OLD_FENCE = "old-fence"
    OLD_INCARNATION = "old-incarnation"
    ENDPOINT_REFUSED = "endpoint-refused"
    ENDPOINT_FAILED = "endpoint-failed"


class FenceGate:
    """Lets only growing fences through.  Pure."""

    def __init__(self) -> None:
        self.highest = types.Fence(0)

    def passes(self, fence: types.Fence) -> bool:
        """Whether an order with this fence may be given."""
        if fence <= self.highest:
            return False
        self.highest = fence
        return True


class OrderExecutor:
    """Gives the orders for one agent to its endpoint, one at a time."""

    def __init__(
        self,
        *,
        name: str,
        incarnation: types.Incarnation,
        agent: core.Agent,
        engine: engine_http.HttpEngine,
        metrics: metrics_mod.Metrics,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._agent = agent
        self._engine = engine
        self._metrics = metrics
        self._gate = FenceGate()
        self._turn = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()

    def on_order(self, change: machine.Change) -> None:
        """Take a change that carries an order, perhaps for another."""
        if change.member_name != self._name or change.order is None:
            return
        member = change.member
        if member is None or member.incarnation != self._incarnation:
            self._metrics.count("orders", OrderResult.OLD_INCARNATION)
            return
        if not self._gate.passes(change.fence):
            self._metrics.count("orders", OrderResult.OLD_FENCE)
            return
        task = asyncio.create_task(self._give(change.fence, change.order))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _give(self, fence: types.Fence, what: str) -> None:
        async with self._turn:
            if what == "leave":
                self._agent.leave()
                verdict = OrderResult.GIVEN
            else:
                verdict = await self._to_endpoint(fence, what)
        self._metrics.count("orders", verdict)
        logs.say(
            logs.Part.AGENT,
            "Order ended.",
            what=what,
            fence=fence,
            verdict=verdict.value,
        )

    async def _to_endpoint(self, fence: types.Fence, what: str) -> OrderResult:
        try:
            taken = await self._engine.order(fence=fence, what=what)
        except exceptions.EngineError:
            return OrderResult.ENDPOINT_FAILED
        return OrderResult.GIVEN if taken else OrderResult.ENDPOINT_REFUSED
