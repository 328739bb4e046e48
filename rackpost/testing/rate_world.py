"""Many gateways and one endpoint that names a rate, in virtual time.

What is worth following of the rest of a site: requests that come at random,
datagrams that take their time and may be lost, gateways that start again,
that are cut off from others, and what coordinators tell of who there is.
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

# What the users allow in a window, of that many seconds.
WINDOW_S = 4.0
_ALLOWED_X = 1.5
_ALLOWED_MORE = 5
# Gateways tell each other this often, in seconds.
_TELL_S = 1.0
_DECODER = codec.Decoder(kinds=messages.BetweenGateways)

ENDPOINT = endpoints.Endpoint(
    id=types.EndpointId("e"), address="e:1", slots=64, sequence=1, born=1
)


class Spec(msgspec.Struct, frozen=True, kw_only=True):
    """A site, its load and its faults; times in seconds.

    Attributes:
        rate: what the endpoint names, requests a second.
        asked: requests a second that could go there, of all gateways.
        waits: no other endpoint is left for them.
        patience: how long a request that waits does so.
        restart_each: a gateway starts again this often, its owner first.
        cut: gateways fall in two halves from here to there.
    """

    gateways: int = 5
    rate: float = 3.3
    asked: float = 30.0
    waits: bool = False
    patience: float = 2.0
    seconds: float = 20.0
    delay: tuple[float, float] = (0.002, 0.02)
    loss: float = 0.01
    down: float = 1.0
    restart_each: float = 0.0
    cut: tuple[float, float] = (0.0, 0.0)


class Way(abc.ABC):
    """How one gateway decides whether it may send a request."""

    @abc.abstractmethod
    async def may_send(self) -> bool:
        """Whether one request may be sent now."""

    @abc.abstractmethod
    def take(self, data: bytes, sender: address.Address) -> None:
        """A datagram has come."""

    @abc.abstractmethod
    def tell(self) -> None:
        """A second has passed: tell the others."""


class World:
    """Gateways, and when requests came to the endpoint."""

    def __init__(
        self,
        *,
        spec: Spec,
        seed: int,
        make: Callable[["World", types.VmId], Way],
    ) -> None:
        self.spec = spec
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.names = [types.VmId(f"g{n}") for n in range(spec.gateways)]
        self._make = make
        self.ways: dict[types.VmId, Way] = {}
        self.at: list[float] = []
        self.messages = 0
        self._tasks: set[asyncio.Task[Any]] = set()

    def now(self) -> float:
        """The clock of all, in seconds."""
        return self.loop.time()

    def present(self) -> list[types.VmId]:
        """The gateways that coordinators tell of."""
        return list(self.names)

    def is_apart(self, one: types.VmId, other: types.VmId) -> bool:
        """Whether datagrams between two do not arrive."""
        begin, end = self.spec.cut
        half = len(self.names) // 2
        sides = [self.names.index(vm) < half for vm in (one, other)]
        return begin <= self.now() < end and sides[0] != sides[1]

    def send(self, me: types.VmId, other: types.VmId, data: bytes) -> None:
        """A datagram on its way, which may be lost."""
        self.messages += 1
        lost = self.rng.random() < self.spec.loss
        if lost or self.is_apart(me, other):
            return
        delay = self.rng.uniform(*self.spec.delay)
        self.loop.call_later(delay, self._arrive, me, other, data)

    def _arrive(self, me: types.VmId, other: types.VmId, data: bytes) -> None:
        way = self.ways.get(other)
        if way is not None:
            way.take(data, address.Address(host=me, port=1))

    def _spawn(self, coro: Any) -> None:
        task = self.loop.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _request(self, vm: types.VmId) -> None:
        until = self.now() + self.spec.patience
        while vm in self.ways:
            if await self.ways[vm].may_send():
                self.at.append(self.now())
                return
            if not self.spec.waits or self.now() >= until:
                return
            await asyncio.sleep(0.03)

    async def _requests(self) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(self.spec.asked))
            vm = self.rng.choice(self.names)
            if vm in self.ways:
                self._spawn(self._request(vm))

    async def _tells(self, vm: types.VmId) -> None:
        await asyncio.sleep(self.rng.random() * _TELL_S)
        while True:
            if vm in self.ways:
                self.ways[vm].tell()
            await asyncio.sleep(_TELL_S)

    async def _restarts(self) -> None:
        while self.spec.restart_each:
            await asyncio.sleep(self.spec.restart_each)
            owner = rate_decisions.owner(ENDPOINT.id, self.names)
            # The owner each second time.
            vm = self.rng.choice([owner, self.rng.choice(self.names)])
            self._spawn(self._restart(vm))

    async def _restart(self, vm: types.VmId) -> None:
        self.ways.pop(vm, None)
        await asyncio.sleep(self.spec.down)
        self.ways[vm] = self._make(self, vm)

    async def play(self) -> None:
        """Play it to its end."""
        for vm in self.names:
            self.ways[vm] = self._make(self, vm)
            self._spawn(self._tells(vm))
        self._spawn(self._requests())
        self._spawn(self._restarts())
        await asyncio.sleep(self.spec.seconds)
        for task in list(self._tasks):
            task.cancel()

    def over(self) -> float:
        """By how many requests the worst window was over, or below 0."""
        allowed = _ALLOWED_X * WINDOW_S * self.spec.rate + _ALLOWED_MORE
        return max(self._windows(), default=0) - allowed

    def _windows(self) -> Iterator[int]:
        first = 0
        for last, at in enumerate(self.at):
            while self.at[first] <= at - WINDOW_S:
                first += 1
            yield last - first + 1

    @property
    def used(self) -> float:
        """The part of the rate that was used."""
        return len(self.at) / (self.spec.rate * self.spec.seconds)


class GrantsWay(Way):
    """The product's own: grants of one owner."""

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
        self._number = 0
        self._life = world.rng.getrandbits(32)
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

    def take(self, data: bytes, sender: address.Address) -> None:
        """A figure of another gateway, or a message on a grant."""
        msg = _DECODER.decode(data)
        if isinstance(msg, messages.GatewayLoad):
            now = self._world.now()
            self._loads.receive(msg.vm, msg.incarnation, msg.sequence, {}, now)
        else:
            self._grants.receive(msg, sender)

    def tell(self) -> None:
        """Tell the others that this one is there."""
        self._number += 1
        msg = messages.GatewayLoad(
            vm=self._vm,
            load_address=f"{self._vm}:1",
            incarnation=self._life,
            sequence=self._number,
            loads={},
        )
        data = codec.encode(msg)
        for name in self._world.names:
            if name != self._vm:
                self._world.send(self._vm, name, data)
        # It would be counted of all ways alike.
        self._world.messages -= len(self._world.names) - 1


def _grants(world: World, vm: types.VmId) -> Way:
    return GrantsWay(world=world, vm=vm)


def play(
    spec: Spec,
    seed: int,
    make: Callable[[World, types.VmId], Way] = _grants,
) -> World:
    """Play a site to its end; the product's own way unless told."""

    async def main() -> World:
        world = World(spec=spec, seed=seed, make=make)
        await world.play()
        return world

    return virtual.run(main())
