"""A coordinator's queries about silent endpoints, and their cost."""

import asyncio
import random

import msgspec
import pytest

from rackpost.coordinator import directory
from rackpost.coordinator import messages
from rackpost.link import channel
from rackpost.link import codec
from rackpost.routing import endpoints
from rackpost.testing import virtual
from rackpost import types

_HEARTBEAT_S = 1.2


class Gateway:
    """A gateway's end of a link, which records the messages it receives."""

    def __init__(self, *, number: int) -> None:
        self.vm = types.VmId(f"edge-{number}")
        self.received: list[msgspec.Struct] = []
        self.bytes = 0
        here, self.there = channel.local_pair(delay_s=0.001)
        here.attach(receive=self._receive, closed=lambda: None)

    def _receive(self, msg: msgspec.Struct) -> None:
        self.received.append(msg)
        self.bytes += len(codec.encode(msg))


def linked_directory(count: int) -> tuple[directory.Directory, list[Gateway]]:
    found = directory.Directory(heartbeat_s=_HEARTBEAT_S, rng=random.Random(1))
    gateways = [Gateway(number=at) for at in range(count)]
    for one in gateways:
        hello = messages.GatewayHello(vm=one.vm, load_address=f"{one.vm}:1")
        found.gateways[one.there] = hello
    return found, gateways


def endpoint(number: int) -> endpoints.Endpoint:
    return endpoints.Endpoint(
        id=types.EndpointId(f"i-{number:08x}"),
        service=types.ServiceName("plain"),
        address=f"10.0.{number >> 8}.{number & 255}:80",
        sequence=1,
    )


@pytest.mark.parametrize("count", [100, 370])
def test_no_query_about_endpoints_with_heartbeats(count: int) -> None:
    """With 1,000 endpoints and any number of gateways, no message is sent."""

    async def main() -> None:
        found, gateways = linked_directory(count)
        items = [endpoint(number) for number in range(1000)]
        for item in items:
            found.update(item)
        await asyncio.sleep(0.1)
        before = sum(one.bytes for one in gateways)
        for _ in range(10):
            await asyncio.sleep(_HEARTBEAT_S)
            found.table.record_heartbeats([item.id for item in items], _now())
            found.query_silent()
        await asyncio.sleep(0.1)
        assert sum(one.bytes for one in gateways) == before

    virtual.run(main())


def _now() -> float:
    return asyncio.get_running_loop().time()


def test_a_few_gateways_are_queried_about_silent_endpoints() -> None:
    """During a partition 400 of 1,000 endpoints are silent here."""

    async def main() -> None:
        found, gateways = linked_directory(100)
        items = [endpoint(number) for number in range(1000)]
        for item in items:
            found.update(item)
        await asyncio.sleep(4.0)
        alive_ids = [item.id for item in items[400:]]
        found.table.record_heartbeats(alive_ids, _now())
        for one in gateways:
            one.received.clear()
            one.bytes = 0
        found.query_silent()
        await asyncio.sleep(0.1)
        queried = [one for one in gateways if one.received]
        assert len(queried) == 3
        for one in queried:
            (msg,) = one.received
            assert isinstance(msg, messages.SilenceQuery)
            assert set(msg.ids) == {item.id for item in items[:400]}
            assert one.bytes < 8_000

    virtual.run(main())


def test_an_end_notice_ends_only_the_known_incarnation() -> None:
    """The endpoint has restarted, unknown to its old coordinator."""

    async def main() -> None:
        here, _ = linked_directory(1)
        there, _ = linked_directory(1)
        first = msgspec.structs.replace(endpoint(1), born=1000)
        here.update(first)
        there.update(first)
        there.update(msgspec.structs.replace(endpoint(1), born=2000))
        notice = endpoints.Endpoint(
            id=first.id, state=endpoints.EndpointState.GONE
        )
        received = directory.update_for(here.with_incarnation(notice))
        directory.apply_update(there.table, received, _now())
        assert there.table.alive[first.id].born == 2000
        directory.apply_update(here.table, received, _now())
        assert not here.table.alive

    virtual.run(main())
