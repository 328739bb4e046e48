"""Validation and matching of routes, and the order of heartbeats."""

import functools
import json
import operator
import random

import pytest

from rackpost import exceptions
from rackpost.platform import documents
from rackpost.platform import heartbeats
from rackpost.routing import changes
from rackpost.routing import endpoints
from rackpost.routing import match
from rackpost.routing import model
from rackpost import types
from tests import platform_site


def decode(doc: dict) -> model.Document:
    return documents.decode(json.dumps(doc).encode())


def test_the_longest_prefix_of_the_host_is_found() -> None:
    doc = platform_site.document()
    deep = dict(doc["routes"][0], name="deep", pathPrefix="/safe/deep/")
    doc["routes"].append(deep)
    table = match.RouteTable()
    table.apply(changes.from_empty(decode(doc)))
    found = table.find("site.example", "/safe/deep/x")
    assert found is not None and found.name == "deep"
    found = table.find("SITE.example:80", "/safe/x")
    assert found is not None and found.name == "safe"
    assert table.find("site.example", "/safe") is None
    assert table.find("other.example", "/safe/x") is None


def test_services_are_chosen_by_weight() -> None:
    doc = platform_site.document()
    route = doc["routes"][0]
    del route["service"]
    route["trafficSplit"] = [
        {"service": "plain", "weight": 90},
        {"service": "model", "weight": 10},
    ]
    found = decode(doc).routes[0]
    rng = random.Random(1)
    chosen = [match.choose_service(found, rng) for _ in range(1000)]
    assert 50 < chosen.count(types.ServiceName("model")) < 150


def test_weights_whose_sum_is_infinite_are_used() -> None:
    """The document was acknowledged, and each request failed with 502."""
    doc = platform_site.document()
    route = doc["routes"][0]
    del route["service"]
    route["trafficSplit"] = [
        {"service": "plain", "weight": 1.5e308},
        {"service": "model", "weight": 0.5e308},
        {"service": "model", "weight": 5e-324},
    ]
    found = decode(doc).routes[0]
    rng = random.Random(1)
    chosen = [match.choose_service(found, rng) for _ in range(1000)]
    assert 200 < chosen.count(types.ServiceName("model")) < 300


def _bad(name: str) -> bytes:
    doc = platform_site.document()
    route = doc["routes"][0]
    if name == "cut short":
        return json.dumps(doc).encode()[:-20]
    if name == "unknown service":
        route["service"] = "nobody"
    elif name == "same place":
        doc["routes"].append(dict(route, name="again"))
    elif name == "no weight":
        del route["service"]
        route["trafficSplit"] = [{"service": "plain", "weight": 0}]
    elif name == "no timeout":
        route["timeoutMs"] = 0
    elif name == "no service":
        del route["service"]
    elif name == "open prefix":
        route["pathPrefix"] = "/safe"
    elif name.startswith("deep "):
        # In a field that is passed over.
        item = doc if name == "deep document" else route
        item["note"] = "@"
        deep = b"[" * 100_000 + b"]" * 100_000
        return json.dumps(doc).encode().replace(b'"@"', deep)
    elif name == "no version":
        del doc["version"]
    return json.dumps(doc).encode()


@pytest.mark.parametrize(
    "name",
    [
        "cut short",
        "unknown service",
        "same place",
        "no weight",
        "no timeout",
        "no service",
        "open prefix",
        "no version",
        # It was answered with 502, and operators sent it again and again.
        "deep document",
        "deep route",
    ],
)
def test_a_bad_document_is_refused_with_a_reason(name: str) -> None:
    with pytest.raises(exceptions.RoutingError) as caught:
        documents.decode(_bad(name))
    assert str(caught.value)


@pytest.mark.parametrize("place", [("more",), ("routes", 0, "more")])
@pytest.mark.parametrize(
    "text", [b"\xff\xfe", b"\xed\xa0\x80"], ids=["no UTF-8", "surrogate"]
)
def test_a_document_that_is_not_utf_8_is_refused(
    place: tuple[str | int, ...], text: bytes
) -> None:
    """In an unknown field it was acknowledged, and could not be read back."""
    marked = with_integer(1, place, 12345)
    doc = marked.replace(b"12345", b'"' + text + b'"')
    with pytest.raises(exceptions.RoutingError):
        documents.decode(doc)
    # A release before may have acknowledged it.
    known = documents.IncrementalDecoder().decode_committed(doc)
    assert known.version == 1


# Each integer of a document apart from its version, by its place.
INTEGERS = [
    ("routes", 0, "priority"),
    ("routes", 0, "maxAttempts"),
    ("services", 0, "maxConnections"),
    ("services", 1, "engine", "slots"),
    ("services", 1, "engine", "kvCapacityTokens"),
    ("services", 1, "engine", "stride"),
    ("limits", "maxHeaderBytes"),
    ("limits", "maxBodyBytes"),
    ("tenants", 0, "priority"),
    ("tenants", 0, "plainTokens"),
]


def with_integer(
    version: int, place: tuple[str | int, ...], value: int
) -> bytes:
    """Return a document with an integer at a place."""
    doc = platform_site.document(version)
    if place[0] == "tenants":
        doc["tenants"] = [{"name": "t", "apiKeys": ["key"], "ratePerS": 1}]
    item = functools.reduce(operator.getitem, place[:-1], doc)
    item[place[-1]] = value
    return json.dumps(doc).encode()


def bits(value: int) -> str:
    """Return the name of a test case with a large integer."""
    return f"{'-' if value < 0 else ''}{value.bit_length()} bits"


@pytest.mark.parametrize(
    "value", [2**63, 2**64, -(2**63) - 1, 10**400], ids=bits
)
@pytest.mark.parametrize("place", INTEGERS, ids=str)
def test_an_integer_that_gateways_cannot_be_sent_is_refused(
    place: tuple[str | int, ...], value: int
) -> None:
    """It was acknowledged, and no gateway ever applied the document."""
    with pytest.raises(exceptions.RoutingError) as caught:
        documents.decode(with_integer(1, place, value))
    assert str(place[-1]) in str(caught.value)


@pytest.mark.parametrize("place", INTEGERS, ids=str)
def test_the_largest_integers_reach_gateways(
    place: tuple[str | int, ...],
) -> None:
    for value in (model.MIN_INTEGER, model.MAX_INTEGER):
        if place[-1] == "plainTokens" and value < 0:
            continue
        doc = documents.decode(with_integer(1, place, value))
        change = changes.from_empty(doc)
        assert changes.decode(changes.encode(change)) == change


@pytest.mark.parametrize("value", [2**63, 2**64, 10**400], ids=bits)
@pytest.mark.parametrize("place", INTEGERS, ids=str)
def test_a_committed_integer_that_is_too_large_is_clamped(
    place: tuple[str | int, ...], value: int
) -> None:
    """Earlier releases acknowledged it; gateways have to get the document."""
    reader = documents.IncrementalDecoder()
    found = reader.decode_committed(with_integer(1, place, value))
    change = changes.from_empty(found)
    assert changes.decode(changes.encode(change)) == change
    # The largest integer in range stands in its place.
    largest = reader.decode(with_integer(1, place, model.MAX_INTEGER))
    assert found == largest
    # It does not make the same text valid in a new document.
    with pytest.raises(exceptions.RoutingError):
        reader.decode(with_integer(2, place, value))


def test_incremental_decoding_equals_full_decoding() -> None:
    """Unchanged routes are reused; a refused document changes nothing."""
    reader = documents.IncrementalDecoder()
    first = platform_site.document(1)
    text = json.dumps(first).encode()
    before = reader.decode(text)
    second = platform_site.document(2)
    second["routes"][1]["timeoutMs"] = 77
    del second["routes"][2]
    for name in ("same place", "cut short", "no timeout"):
        with pytest.raises(exceptions.RoutingError):
            reader.decode(_bad(name))
    # A route names a removed service.
    with pytest.raises(exceptions.RoutingError):
        reader.decode(json.dumps({**first, "services": []}).encode())
    text = json.dumps(second).encode()
    after = reader.decode(text)
    assert after == documents.decode(text)
    assert after.routes[0] is before.routes[0]
    assert after.routes[1] is not before.routes[1]
    change = changes.diff(before, after)
    assert [route.timeout_s for route in change.put] == [0.077]
    assert len(change.removed) == 1


def _endpoint(**more: object) -> endpoints.Endpoint:
    found = dict(platform_site.HEARTBEAT)
    ident = str(more.pop("ident", "i-1"))
    found.update(more)
    return heartbeats.decode(ident, json.dumps(found).encode())


def test_late_heartbeats_change_nothing() -> None:
    table = endpoints.EndpointTable()
    assert table.update(_endpoint(sequence=5), 1.0)
    assert not table.update(_endpoint(sequence=6), 2.0)
    assert table.update(_endpoint(sequence=7, state="draining"), 3.0)
    assert not table.update(_endpoint(sequence=6), 4.0)
    assert not table.update(_endpoint(sequence=9), 4.0)
    state = table.alive[types.EndpointId("i-1")].state
    assert state is endpoints.EndpointState.DRAINING


def test_an_ended_endpoint_stays_ended() -> None:
    table = endpoints.EndpointTable()
    table.update(_endpoint(), 1.0)
    assert table.update(heartbeats.gone("i-1"), 2.0)
    assert not table.update(_endpoint(sequence=9), 3.0)
    assert not table.alive


def test_a_restarted_endpoint_replaces_its_forerunner() -> None:
    """Guards against requests for the old id of a crashed endpoint."""
    table = endpoints.EndpointTable()
    table.update(_endpoint(ident="old", sequence=8), 1.0)
    assert table.update(_endpoint(ident="new"), 2.0)
    assert list(table.alive) == ["new"]
    assert not table.update(_endpoint(ident="old", sequence=8), 3.0)
    assert list(table.alive) == ["new"]


def test_an_endpoint_that_was_wrongly_dropped_comes_back() -> None:
    table = endpoints.EndpointTable()
    table.update(_endpoint(ident="new", sequence=3), 1.0)
    table.update(_endpoint(ident="ghost", sequence=1), 2.0)
    assert table.update(_endpoint(ident="new", sequence=4), 3.0)
    assert list(table.alive) == ["new"]


def test_a_heartbeat_that_is_none_is_refused() -> None:
    for text in (b"", b"{}", b"[1]", b'{"service": 3}'):
        with pytest.raises(exceptions.CodecError):
            heartbeats.decode("i-1", text)
