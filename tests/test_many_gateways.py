"""Many gateways link to a coordinator at once, as after a power loss."""

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

GATEWAYS = 70


class Gateway:
    """A gateway's end of a link, which records the messages received."""

    def __init__(self, *, number: int) -> None:
        self.vm = types.VmId(f"edge-hall-nord-{number}")
        self.received: list[messages.Peers] = []
        self.bytes = 0
        self.here, self.there = channel.local_pair(delay_s=0.001)
        self.here.attach(receive=self._receive, closed=lambda: None)

    def link(self, coordinator: process.Coordinator) -> None:
        coordinator._on_hello(
            self.there,
            messages.GatewayHello(vm=self.vm, load_address=f"{self.vm}:7661"),
        )

    def _receive(self, msg: msgspec.Struct) -> None:
        if isinstance(msg, messages.Peers):
            self.received.append(msg)
            self.bytes += len(codec.encode(msg))

    @property
    def known_gateways(self) -> int:
        return len(self.received[-1].gateways) if self.received else 0


def test_gateways_that_link_together_learn_of_each_other_in_few_messages(
    tmp_path: pathlib.Path,
) -> None:
    """The list of gateways must not be sent to all for each new gateway.

    It would fill the gateways' links just when they wait for the document.
    """

    async def main() -> None:
        plan = platform_site.Plan(root=tmp_path)
        host = plan.host(11, kind="core", seeds=())
        opened = process.open_disk(host)
        coordinator = process.Coordinator(host=host, opened=opened)
        gateways = [Gateway(number=number) for number in range(GATEWAYS)]
        for gateway in gateways:
            gateway.link(coordinator)
            await asyncio.sleep(0.005)
            # It knows the coordinators, which it needs first, at once.
            assert gateway.received
        await asyncio.sleep(0.3)
        assert all(gateway.known_gateways == GATEWAYS for gateway in gateways)
        assert max(gateway.bytes for gateway in gateways) < 25_000
        gateways[3].here.close()
        await asyncio.sleep(0.3)
        assert gateways[0].known_gateways == GATEWAYS - 1
        coordinator._file_disk.close()

    virtual.run(main())


def test_many_gateways_do_not_report_each_plain_request() -> None:
    """In a large fleet a report per plain request would cost too much.

    The periodic reports are samples that suffice.
    """

    def reports(gateways: int) -> int:
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

    assert reports(68) == 0
    assert reports(4) == 20


def test_some_gateways_report_each_plain_request() -> None:
    """In a smaller fleet it costs little, and samples would be outdated."""
    reports = []
    loads = endpoint_load.LoadTable(on_change=lambda: reports.append(True))
    for number in range(19):
        loads.receive(types.VmId(f"g{number}"), 1, 1, {}, 0.0)
    loads.add_request(types.EndpointId("p"))()
    assert len(reports) == 2


def test_many_gateways_report_each_generation() -> None:
    """All gateways reserve the same memory."""
    reports = []
    loads = endpoint_load.LoadTable(on_change=lambda: reports.append(True))
    for number in range(67):
        loads.receive(types.VmId(f"g{number}"), 1, 1, {}, 0.0)
    run = kv_forecast.Run(held_tokens=10, remaining_tokens=10)
    loads.add_request(types.EndpointId("d"), run=run)()
    loads.add_request(types.EndpointId("p"), prompt=10)()
    assert len(reports) == 4


def test_load_reports_are_sent_without_much_delay() -> None:
    """Late load reports let two gateways reserve the same capacity."""
    assert load_exchange.batching_delay_s(68) < 0.02
    assert load_exchange.batching_delay_s(370) < 0.05
