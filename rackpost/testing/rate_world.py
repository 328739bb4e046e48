"""Simulates many gateways and one rate-limited endpoint in virtual time.

Covers random arrivals, datagram delay and loss, gateway restarts, network
partitions and the list of gateways that coordinators publish.
"""

import abc
import asyncio
import random
from typing import Any
from typing import Callable
from typing import Iterator

import msgspec

from rackpost.coordinator import messages
from rackpost.decide import eligibility
from rackpost.decide import endpoint_load
from rackpost.decide import endpoint_rates
from rackpost.decide import gateway_groups
from rackpost.decide import rate_grants as rate_decisions
from rackpost import exceptions
from rackpost.gateway import rate_grants
from rackpost.http1 import address
from rackpost.link import codec
from rackpost import metrics
from rackpost.routing import endpoints
from rackpost.testing import virtual
from rackpost import types

# A window may contain this factor of the rate, plus a fixed burst.
WINDOW_S = 4.0
_ALLOWED_RATE_FACTOR = 1.5
_ALLOWED_BURST = 5
# Between two load reports of a gateway.
_PUBLISH_INTERVAL_S = 1.0
_DECODER = codec.Decoder(kinds=messages.BetweenGateways)

ENDPOINT = endpoints.Endpoint(
    id=types.EndpointId("e"), address="e:1", slots=64, sequence=1, born=1
)


class Spec(msgspec.Struct, frozen=True, kw_only=True):
    """A simulated site, its load and its faults; times in seconds.

    Attributes:
        rate: requests a second that the endpoint announces.
        offered: requests a second that arrive at all gateways together.
        waits: whether requests wait instead of using another endpoint.
        patience: how long a request waits at most.
        restart_each: interval between gateway restarts; 0 for none.
        cut: start and end of a partition into two halves.
    """

    gateways: int = 5
    rate: float = 3.3
    offered: float = 30.0
    waits: bool = False
    patience: float = 2.0
    seconds: float = 20.0
    delay: tuple[float, float] = (0.002, 0.02)
    loss: float = 0.01
    down: float = 1.0
    restart_each: float = 0.0
    cut: tuple[float, float] = (0.0, 0.0)


class RatePolicy(abc.ABC):
    """Decides whether one gateway may send a request."""

    @abc.abstractmethod
    async def may_send(self) -> bool:
        """Whether a request may be sent now."""

    @abc.abstractmethod
    def receive(self, data: bytes, sender: address.Address) -> None:
        """Handle a datagram from another gateway."""

    @abc.abstractmethod
    def publish(self) -> None:
        """Publish this gateway's state to the others."""


class World:
    """Simulated gateways, and the times at which they sent requests."""

    def __init__(
        self,
        *,
        spec: Spec,
        seed: int,
        make: Callable[["World", types.VmId], RatePolicy],
    ) -> None:
        self.spec = spec
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.names = [types.VmId(f"g{n}") for n in range(spec.gateways)]
        self._make = make
        self.policies: dict[types.VmId, RatePolicy] = {}
        self.sent_at: list[float] = []
        self.messages = 0
        self._tasks: set[asyncio.Task[Any]] = set()

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self.loop.time()

    def present(self) -> list[types.VmId]:
        """Return the gateways that coordinators list."""
        return list(self.names)

    def is_apart(self, one: types.VmId, other: types.VmId) -> bool:
        """Whether a partition separates two gateways."""
        begin, end = self.spec.cut
        half = len(self.names) // 2
        sides = [self.names.index(vm) < half for vm in (one, other)]
        return begin <= self.now() < end and sides[0] != sides[1]

    def send(self, me: types.VmId, other: types.VmId, data: bytes) -> None:
        """Send a datagram, which may be lost."""
        self.messages += 1
        lost = self.rng.random() < self.spec.loss
        if lost or self.is_apart(me, other):
            return
        delay = self.rng.uniform(*self.spec.delay)
        self.loop.call_later(delay, self._arrive, me, other, data)

    def _arrive(self, me: types.VmId, other: types.VmId, data: bytes) -> None:
        policy = self.policies.get(other)
        if policy is not None:
            policy.receive(data, address.Address(host=me, port=1))

    def _spawn(self, coro: Any) -> None:
        task = self.loop.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _request(self, vm: types.VmId) -> None:
        until = self.now() + self.spec.patience
        while vm in self.policies:
            if await self.policies[vm].may_send():
                self.sent_at.append(self.now())
                return
            if not self.spec.waits or self.now() >= until:
                return
            await asyncio.sleep(0.03)

    async def _requests(self) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(self.spec.offered))
            vm = self.rng.choice(self.names)
            if vm in self.policies:
                self._spawn(self._request(vm))

    async def _publish_loop(self, vm: types.VmId) -> None:
        await asyncio.sleep(self.rng.random() * _PUBLISH_INTERVAL_S)
        while True:
            if vm in self.policies:
                self.policies[vm].publish()
            await asyncio.sleep(_PUBLISH_INTERVAL_S)

    async def _restarts(self) -> None:
        while self.spec.restart_each:
            await asyncio.sleep(self.spec.restart_each)
            owner = rate_decisions.owner(ENDPOINT.id, self.names)
            # Half of the restarts hit the owner of the rate.
            vm = self.rng.choice([owner, self.rng.choice(self.names)])
            self._spawn(self._restart(vm))

    async def _restart(self, vm: types.VmId) -> None:
        self.policies.pop(vm, None)
        await asyncio.sleep(self.spec.down)
        self.policies[vm] = self._make(self, vm)

    async def play(self) -> None:
        """Run the simulation for the specified time."""
        for vm in self.names:
            self.policies[vm] = self._make(self, vm)
            self._spawn(self._publish_loop(vm))
        self._spawn(self._requests())
        self._spawn(self._restarts())
        await asyncio.sleep(self.spec.seconds)
        for task in list(self._tasks):
            task.cancel()

    def worst_excess(self) -> float:
        """Return by how many requests the worst window exceeds its limit.

        Negative if every window is within the limit.
        """
        allowed = (
            _ALLOWED_RATE_FACTOR * WINDOW_S * self.spec.rate + _ALLOWED_BURST
        )
        return max(self._window_counts(), default=0) - allowed

    def _window_counts(self) -> Iterator[int]:
        first = 0
        for last, at in enumerate(self.sent_at):
            while self.sent_at[first] <= at - WINDOW_S:
                first += 1
            yield last - first + 1

    @property
    def utilization(self) -> float:
        """The fraction of the rate that was used."""
        return len(self.sent_at) / (self.spec.rate * self.spec.seconds)


class GrantsPolicy(RatePolicy):
    """The production policy: one owner grants shares of the rate."""

    def __init__(self, *, world: World, vm: types.VmId) -> None:
        self._world = world
        self._vm = vm
        table = endpoints.EndpointTable()
        table.update(ENDPOINT, 0.0)
        self._eligible = eligibility.Eligibility(table=table, rng=world.rng)
        self._eligible.rates.record_answer(
            ENDPOINT,
            endpoint_rates.AnswerRate(per_s=world.spec.rate),
            world.now(),
        )
        self._loads = endpoint_load.LoadTable(on_change=lambda: None)
        self._sequence = 0
        self._incarnation = world.rng.getrandbits(32)
        self._grants = rate_grants.RateGrants(
            vm=vm,
            eligible=self._eligible,
            loads=self._loads,
            group=gateway_groups.Group(vm=vm),
            metrics=metrics.Metrics(),
            rng=world.rng,
        )
        self._grants.set_gateways(
            messages.GatewayAddress(vm=name, load_address=f"{name}:1")
            for name in world.present()
        )
        self._grants.send = self._send

    def _send(self, data: bytes, addr: address.Address) -> None:
        self._world.send(self._vm, types.VmId(addr.host), data)

    async def may_send(self) -> bool:
        """Whether a grant was had."""
        now = self._world.now()
        if not self._eligible.may_select(ENDPOINT, now):
            return False
        self._eligible.record_selection(ENDPOINT, now)
        try:
            async with self._grants.acquire(
                ENDPOINT, priority=2, waits=self._world.spec.waits
            ) as grant:
                self._grants.spend(ENDPOINT, grant)
        except exceptions.EndpointIneligible:
            return False
        return True

    def receive(self, data: bytes, sender: address.Address) -> None:
        """Handle another gateway's load report or a grant message."""
        msg = _DECODER.decode(data)
        if isinstance(msg, messages.GatewayLoad):
            now = self._world.now()
            self._loads.receive(msg.vm, msg.incarnation, msg.sequence, {}, now)
        else:
            self._grants.receive(msg, sender)

    def publish(self) -> None:
        """Publish a load report, which shows that this gateway is alive."""
        self._sequence += 1
        msg = messages.GatewayLoad(
            vm=self._vm,
            load_address=f"{self._vm}:1",
            incarnation=self._incarnation,
            sequence=self._sequence,
            loads={},
        )
        data = codec.encode(msg)
        for name in self._world.names:
            if name != self._vm:
                self._world.send(self._vm, name, data)
        # Load reports are not counted: all policies send the same number.
        self._world.messages -= len(self._world.names) - 1


def _grants(world: World, vm: types.VmId) -> RatePolicy:
    return GrantsPolicy(world=world, vm=vm)


def play(
    spec: Spec,
    seed: int,
    make: Callable[[World, types.VmId], RatePolicy] = _grants,
) -> World:
    """Run a simulation, with the production policy by default."""

    async def main() -> World:
        world = World(spec=spec, seed=seed, make=make)
        await world.play()
        return world

    return virtual.run(main())
