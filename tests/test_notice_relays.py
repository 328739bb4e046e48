"""Relays of notices, and messages to many receivers."""

import pytest

from rackpost.coordinator import messages
from rackpost.decide import notice_relays
from rackpost.link import codec
from rackpost.routing import digests
from rackpost import types


def vms(count: int) -> list[types.VmId]:
    return [types.VmId(f"edge-hall-{at % 3}-{at}") for at in range(count)]


def count_relays(count: int, subject: str) -> int:
    """Return how many of some gateways relay a subject's notices."""
    known = vms(count)
    return sum(notice_relays.is_relay(vm, known, subject) for vm in known)


@pytest.mark.parametrize("count", [1, 2, 4])
def test_few_gateways_all_relay(count: int) -> None:
    assert count_relays(count, "i-1") == count


@pytest.mark.parametrize("count", [21, 103, 370])
def test_a_few_of_many_gateways_relay_whatever_their_number(
    count: int,
) -> None:
    for number in range(50):
        assert 4 <= count_relays(count, f"i-{number}") <= 5


def test_endpoints_are_spread_over_the_gateways() -> None:
    known = vms(103)
    relayed = [
        sum(notice_relays.is_relay(vm, known, f"i-{at}") for at in range(1000))
        for vm in known
    ]
    assert max(relayed) < 90


def test_a_gateway_that_knows_no_other_relays() -> None:
    assert notice_relays.is_relay(types.VmId("a"), [], "i-1")
    assert notice_relays.is_relay(types.VmId("a"), [types.VmId("b")], "i-1")


def test_a_message_to_many_is_encoded_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    made = []
    dumps = codec.cbor2.dumps
    monkeypatch.setattr(
        codec.cbor2, "dumps", lambda raw: made.append(1) or dumps(raw)
    )
    ids = [types.EndpointId(f"i-{at}") for at in range(100)]
    msg = messages.HeartbeatNotice(digests=digests.pack(ids))
    sent = {codec.encode(msg) for _ in range(103)}
    assert len(sent) == 1 and len(made) == 1
    other = messages.HeartbeatNotice(digests=digests.pack(ids[:3]))
    found = codec.Decoder(kinds=messages.ToGateway)
    assert found.decode(codec.encode(other)) == other
    assert found.decode(codec.encode(msg)) == msg
