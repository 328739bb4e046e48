"""Executes the fenced orders of control at the agent's endpoint.

An order is executed only if its fence is higher than all that the agent has
seen and if it is for the agent's incarnation: a restarted agent receives
past changes again and must not repeat the orders among them.
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
    """Outcome of an order."""

    GIVEN = "given"
    OLD_FENCE = "old-fence"
    OLD_INCARNATION = "old-incarnation"
    ENDPOINT_REFUSED = "endpoint-refused"
    ENDPOINT_FAILED = "endpoint-failed"


class FenceGate:
    """Accepts only increasing fences."""

    def __init__(self) -> None:
        self.highest = types.Fence(0)

    def passes(self, fence: types.Fence) -> bool:
        """Whether the fence is higher than all before; records it."""
        if fence <= self.highest:
            return False
        self.highest = fence
        return True


class OrderExecutor:
    """Executes the orders for one agent, one at a time."""

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
        self._lock = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()

    def on_order(self, change: machine.Change) -> None:
        """Execute the order of a change if it is for this agent."""
        if change.member_name != self._name or change.order is None:
            return
        member = change.member
        if member is None or member.incarnation != self._incarnation:
            self._metrics.count("orders", OrderResult.OLD_INCARNATION)
            return
        if not self._gate.passes(change.fence):
            self._metrics.count("orders", OrderResult.OLD_FENCE)
            return
        task = asyncio.create_task(self._execute(change.fence, change.order))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _execute(self, fence: types.Fence, what: str) -> None:
        async with self._lock:
            if what == "leave":
                self._agent.leave()
                result = OrderResult.GIVEN
            else:
                result = await self._send(fence, what)
        self._metrics.count("orders", result)
        logs.say(
            logs.Part.AGENT,
            "Order ended.",
            what=what,
            fence=fence,
            result=result.value,
        )

    async def _send(self, fence: types.Fence, what: str) -> OrderResult:
        try:
            accepted = await self._engine.order(fence=fence, what=what)
        except exceptions.EngineError:
            return OrderResult.ENDPOINT_FAILED
        return OrderResult.GIVEN if accepted else OrderResult.ENDPOINT_REFUSED
