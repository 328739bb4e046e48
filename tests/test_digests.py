"""Heartbeat notices by digests: which endpoints they mark, and their size."""

from rackpost.coordinator import messages
from rackpost.link import codec
from rackpost.routing import digests
from rackpost.routing import endpoints
from rackpost import types
from tests import test_eligibility

# Budget of a node for control traffic, in bytes a second.
_MAX_BYTES_PER_S = 5000
_HEARTBEAT_S = 1.2


def table_of(*keys: str) -> endpoints.EndpointTable:
    table = endpoints.EndpointTable()
    for key in keys:
        table.update(test_eligibility.endpoint(key), 0.0)
    return table


def alive_since(table: endpoints.EndpointTable, since: float) -> set[str]:
    return set(table.with_heartbeat_since(since))


def test_digests_mark_exactly_the_named_endpoints() -> None:
    table = table_of("a", "b", "c")
    keys = [types.EndpointId(key) for key in ("a", "c", "unknown")]
    table.record_heartbeat_digests(digests.pack(keys), 5.0)
    assert alive_since(table, 4.0) == {"a", "c"}


def test_one_that_is_gone_is_not_heard_of() -> None:
    table = table_of("a", "b")
    table.drop(types.EndpointId("a"))
    table.forget_silent(-1.0)
    gone = test_eligibility.endpoint("b", state=endpoints.EndpointState.GONE)
    table.update(gone, 1.0)
    both = [types.EndpointId("a"), types.EndpointId("b")]
    table.record_heartbeat_digests(digests.pack(both), 5.0)
    assert alive_since(table, 4.0) == set()


def test_one_that_comes_back_is_heard_again() -> None:
    table = table_of("a")
    table.drop(types.EndpointId("a"))
    table.update(test_eligibility.endpoint("a", sequence=2), 1.0)
    table.record_heartbeat_digests(digests.digest(types.EndpointId("a")), 5.0)
    assert alive_since(table, 4.0) == {"a"}


def test_two_with_one_digest_are_both_heard() -> None:
    one, other = types.EndpointId("plumless"), types.EndpointId("buckeroo")
    assert digests.digest(one) == digests.digest(other)
    table = table_of(one, other)
    table.record_heartbeat_digests(digests.digest(one), 5.0)
    assert alive_since(table, 4.0) == {one, other}
    table.drop(one)
    table.record_heartbeat_digests(digests.digest(one), 6.0)
    assert alive_since(table, 5.5) == {other}


def test_what_is_cut_off_is_left_out() -> None:
    table = table_of("a")
    data = digests.digest(types.EndpointId("a"))
    table.record_heartbeat_digests(data + data[:3], 5.0)
    assert alive_since(table, 4.0) == {"a"}
    assert list(digests.unpack(b"abc")) == []


def test_heartbeats_of_600_endpoints_fit_what_control_may_cost() -> None:
    """Guards against notices with whole ids, which exceed the budget."""
    keys = [types.EndpointId(f"i-{at:010x}") for at in range(600)]
    data = codec.encode(messages.HeartbeatNotice(digests=digests.pack(keys)))
    assert len(data) / _HEARTBEAT_S < _MAX_BYTES_PER_S / 2
