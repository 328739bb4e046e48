"""A gateway measures the pace of endpoints where its document calls for it."""

import asyncio
import pathlib

import pytest

from rackpost.coordinator import messages
from rackpost.decide import features
from rackpost.decide.pace import endpoint_pace
from rackpost.link import codec
from rackpost import types
from tests import platform_site
from tests import test_gateway


@pytest.fixture(autouse=True)
def _released(monkeypatch: pytest.MonkeyPatch) -> None:
    """Release all parts that the document calls for."""
    monkeypatch.setattr(features, "_HELD_BACK", frozenset())


MODEL = types.ServiceName("model")


def test_the_pace_is_measured_from_three_kinds_of_streams_on(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            gateway = site.gateway.site
            assert isinstance(gateway.pace_of(MODEL), endpoint_pace.EqualPace)
            found = await site.raw(test_gateway.generation())
            assert b"data: x3" in found
            # Nothing is observed, reported or kept of an ended stream.
            assert not gateway.measured_pace.reports(gateway.loop_time())
            assert not gateway.running_streams._streams
            assert not gateway.measured_pace._records
            doc = platform_site.document(2)
            third = dict(doc["routes"][-1], name="third", pathPrefix="/3/")
            doc["routes"].append(third)
            await site.operator.put_until_accepted(11, doc)
            await platform_site.until(lambda: gateway.version == 2)
            assert gateway.pace_of(MODEL) is gateway.measured_pace
            found = await site.raw(test_gateway.generation(ident="r2"))
            assert b"data: x3" in found
            assert gateway.measured_pace._records
            assert not gateway.running_streams._streams

    asyncio.run(main())


def test_a_report_of_load_carries_the_paces_and_may_lack_them() -> None:
    report = endpoint_pace.PaceReport(
        endpoint=types.EndpointId("slow"), factor=2.0, samples=0.5, age_s=0.1
    )
    decoder = codec.Decoder(kinds=messages.BetweenGateways)
    for paces in ((), (report,)):
        load = messages.GatewayLoad(
            vm=types.VmId("g1"),
            load_address="1:1",
            incarnation=1,
            sequence=1,
            loads={},
            paces=paces,
        )
        found = decoder.decode(codec.encode(load))
        assert isinstance(found, messages.GatewayLoad)
        assert found.paces == paces
