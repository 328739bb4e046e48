"""Many gateways link to a coordinator at once, as after a loss of power."""

import asyncio
import pathlib

import msgspec

from rackpost.coordinator import messages
from rackpost.coordinator import process
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
            messages.GatewayHello(vm=self.vm, loads=f"{self.vm}:7661"),
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
