"""Many gateways link to a coordinator at once, as after a loss of power."""

import asyncio
import pathlib

import msgspec

from rackpost.coordinator import messages
from rackpost.coordinator import process
from rackpost.decide import endpoint_load
from rackpost.decide import kv_forecast
from rackpost.gateway import load_exchange
from rackpost.link import channel
from rackpost.link import codec
from rackpost.testing import virtual
from rackpost import types
from tests import platform_site

COUNT = 70


class Gateway:
    """A gateway's end of a link, which notes what it is told."""

    def __init__(self, *, number: int) -> None:
        self.vm = types.VmId(f"edge-hall-nord-{number}")
        self.told: list[messages.Peers] = []
        self.bytes = 0
        self.here, self.there = channel.local_pair(delay_s=0.001)
        self.here.attach(receive=self._receive, closed=lambda: None)

    def link(self, coordinator: process.Coordinator) -> None:
        coordinator._introduce(
            self.there,
            messages.GatewayHello(vm=self.vm, load_address=f"{self.vm}:7661"),
        )

    def _receive(self, msg: msgspec.Struct) -> None:
        if isinstance(msg, messages.Peers):
            self.told.append(msg)
            self.bytes += len(codec.encode(msg))

    @property
    def knows(self) -> int:
        return len(self.told[-1].gateways) if self.told else 0


def test_gateways_that_come_together_are_told_of_each_other_a_few_times(
    tmp_path: pathlib.Path,
) -> None:
    """Each that came had all told of all: the square of their number.

    With five coordinators and 70 gateways that was 0.5 MB for each gateway,
    0.8 s of a link of 5 Mbit/s, just when it waits for its document.
    """

    async def main() -> None:
        plan = platform_site.Plan(root=tmp_path)
        host = plan.host(11, kind="core", seeds=())
        coordinator = process.Coordinator(host=host)
        gateways = [Gateway(number=number) for number in range(COUNT)]
        for gateway in gateways:
            gateway.link(coordinator)
            await asyncio.sleep(0.005)
            # Whom it needs first, the coordinators, it knows at once.
            assert gateway.told
        await asyncio.sleep(0.3)
        assert all(gateway.knows == COUNT for gateway in gateways)
        assert max(gateway.bytes for gateway in gateways) < 25_000
        gateways[3].here.close()
        await asyncio.sleep(0.3)
        assert gateways[0].knows == COUNT - 1
        coordinator._file_disk.close()

    virtual.run(main())


def test_many_gateways_do_not_tell_each_request_of_a_plain_service() -> None:
    """Of 95 a second each was told twice, to 67 others.

    That was a third of what crossed between data centres.  What is under way
    when a gateway tells of a generation, or each second, is a fair sample.
    """

    def told(gateways: int) -> int:
        count = 0

        def changed() -> None:
            nonlocal count
            count += 1

        loads = endpoint_load.LoadTable(on_change=changed)
        for number in range(gateways - 1):
            loads.receive(types.VmId(f"g{number}"), 1, 1, {}, 0.0)
        for _ in range(10):
            loads.add_request(types.EndpointId("p"))()
        return count

    assert told(68) == 0
    assert told(4) == 20


def test_some_gateways_tell_each_request_of_a_plain_service() -> None:
    """At twenty gateways that costs little, and samples are old figures."""
    told = []
    loads = endpoint_load.LoadTable(on_change=lambda: told.append(True))
    for number in range(19):
        loads.receive(types.VmId(f"g{number}"), 1, 1, {}, 0.0)
    loads.add_request(types.EndpointId("p"))()
    assert len(told) == 2


def test_many_gateways_tell_each_generation() -> None:
    """Its memory is given away by all of them."""
    told = []
    loads = endpoint_load.LoadTable(on_change=lambda: told.append(True))
    for number in range(67):
        loads.receive(types.VmId(f"g{number}"), 1, 1, {}, 0.0)
    run = kv_forecast.Run(held_tokens=10, remaining_tokens=10)
    loads.add_request(types.EndpointId("d"), run=run)()
    loads.add_request(types.EndpointId("p"), prompt=10)()
    assert len(told) == 4


def test_figures_are_told_while_they_matter() -> None:
    """Gathered for 54 ms at 68 gateways, and for 265 ms at 370.

    In a crowd of 30 generations a second two gateways then gave the same
    room away, and runs were preempted.
    """
    assert load_exchange.batching_delay_s(68) < 0.02
    assert load_exchange.batching_delay_s(370) < 0.05
