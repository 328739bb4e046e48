"""Changes of the routing document, and the chunks they are sent in."""

import json
import zlib

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from rackpost.coordinator import messages
from rackpost.coordinator import routing_feed
from rackpost import exceptions
from rackpost.platform import documents
from rackpost.routing import changes
from rackpost.routing import match
from rackpost.routing import model
from tests import platform_site


def document(version: int, routes: dict[int, int]) -> model.Document:
    """Return a document with these routes, each with a timeout in ms."""
    doc = platform_site.document(version)
    first = doc["routes"][0]
    doc["routes"] = [
        {**first, "name": f"r{key}", "pathPrefix": f"/{key}/", "timeoutMs": ms}
        for key, ms in routes.items()
    ]
    return documents.decode(json.dumps(doc).encode())


def table(*steps: changes.Change) -> match.RouteTable:
    """Return a gateway's table after these changes."""
    found = match.RouteTable()
    for step in steps:
        found.apply(step)
    return found


def has_content_of(found: match.RouteTable, doc: model.Document) -> bool:
    """Whether a table has exactly the content of a document."""
    routes = [found.find(route.host, route.prefix) for route in doc.routes]
    return (
        found.version == doc.version
        and found.count == len(doc.routes)
        and routes == list(doc.routes)
        and list(found.services.values()) == list(doc.services)
        and found.limits == doc.limits
    )


ROUTES = strategies.dictionaries(
    strategies.integers(0, 5), strategies.integers(1, 3)
)


@hypothesis.given(strategies.lists(ROUTES, min_size=2, max_size=6))
def test_changes_lead_from_any_version_to_any_later_one(
    versions: list[dict[int, int]],
) -> None:
    docs = [document(at + 1, routes) for at, routes in enumerate(versions)]
    steps = [changes.diff(a, b) for a, b in zip(docs, docs[1:])]
    for at, doc in enumerate(docs[:-1]):
        change = changes.decode(changes.encode(changes.merge(steps[at:])))
        assert has_content_of(table(changes.from_empty(doc), change), docs[-1])
    change = changes.decode(changes.encode(changes.from_empty(docs[-1])))
    assert has_content_of(table(changes.from_empty(docs[0]), change), docs[-1])
    assert has_content_of(table(change), docs[-1])


# The last of 64 bits with and without a sign, and a time in microseconds.
LARGE_VERSIONS = (2**63 - 1, 2**63, 2**64 - 1, 2**64, 20261206213500000000)


@pytest.mark.parametrize(
    "version",
    [*LARGE_VERSIONS, 10**4000],
    ids=lambda version: f"{version.bit_length()} bits",
)
def test_a_version_beyond_64_bits_reaches_gateways(version: int) -> None:
    """Such a version was acknowledged, but no gateway could be sent it."""
    old, new = document(version, {1: 1}), document(version + 1, {1: 2})
    for change in (changes.from_empty(new), changes.diff(old, new)):
        assert changes.decode(changes.encode(change)) == change
    feed = routing_feed.RoutingFeed()
    feed.publish(old)
    feed.publish(new)
    for held in (0, 1, version):
        part = feed.chunk(messages.FetchRouting(held_version=held))
        assert part is not None and len(part.data) == part.size
        found = table(changes.from_empty(old), changes.decode(part.data))
        assert has_content_of(found, new)


def test_a_change_of_a_64_bit_version_is_encoded_as_before() -> None:
    """Gateways of the release before decode versions as integers only."""
    change = changes.from_empty(document(2**63 - 1, {1: 1}))
    raw = msgspec.msgpack.decode(zlib.decompress(changes.encode(change)))
    assert raw["version"] == 2**63 - 1
    assert raw["base"] == 0


def test_a_change_that_does_not_fit_is_refused() -> None:
    docs = [document(at, {at: 1}) for at in (1, 2, 3)]
    change = changes.diff(docs[1], docs[2])
    # The last one has the right version but other routes.
    other = [docs[0], document(2, {7: 1, 8: 1})]
    for doc in other:
        found = table(changes.from_empty(doc))
        with pytest.raises(exceptions.RoutingError):
            found.apply(change)
        assert has_content_of(found, doc), "nothing was changed"
    with pytest.raises(exceptions.RoutingError):
        table(change)


@pytest.mark.parametrize("data", [b"", b"x", b"\x78\x01", b"\x93\x01\x02"])
def test_bytes_that_are_no_change_are_refused(data: bytes) -> None:
    good = changes.encode(changes.from_empty(document(1, {1: 1})))
    for bad in (data, good[:-3], good[:9] + b"\0" + good[10:]):
        with pytest.raises(exceptions.RoutingError):
            changes.decode(bad)


def feed(*docs: model.Document) -> routing_feed.RoutingFeed:
    """Return a feed that has published these documents."""
    found = routing_feed.RoutingFeed()
    for doc in docs:
        found.publish(doc)
    return found


def many(version: int, count: int) -> model.Document:
    """Return a document whose change from another takes several chunks."""
    return document(
        version, {at: version * 7 + at % 991 for at in range(count)}
    )


def fetch_all(
    found: routing_feed.RoutingFeed, have: int
) -> tuple[list[messages.RoutingChunk], changes.Change]:
    """Return all chunks for a held version, and the decoded change."""
    parts: list[messages.RoutingChunk] = []
    request = messages.FetchRouting(held_version=have)
    while True:
        part = found.chunk(request)
        assert part is not None
        parts.append(part)
        offset = part.offset + len(part.data)
        if offset == part.size:
            data = b"".join(item.data for item in parts)
            return parts, changes.decode(data)
        request = messages.FetchRouting(
            held_version=have, digest=part.digest, offset=offset
        )


def test_a_gateway_some_versions_behind_receives_the_change() -> None:
    docs = [document(v, {at: 1 for at in range(40 + v)}) for v in (3, 5, 9)]
    found = feed(*docs)
    for doc in docs[:-1]:
        _, change = fetch_all(found, doc.version)
        assert change.base == doc.version
        assert change.size == 9 - doc.version
        assert has_content_of(table(changes.from_empty(doc), change), docs[-1])
    assert found.chunk(messages.FetchRouting(held_version=9)) is None


@pytest.mark.parametrize("have", [0, 4])
def test_who_has_none_or_an_unknown_one_is_sent_the_whole(have: int) -> None:
    docs = [document(v, {at: 1 for at in range(40 + v)}) for v in (3, 5, 9)]
    _, change = fetch_all(feed(*docs), have)
    assert change.base == 0
    assert has_content_of(table(change), docs[-1])


def test_parts_are_small_and_go_on_through_a_newer_document() -> None:
    found = feed(many(1, 3000))
    first = found.chunk(messages.FetchRouting(held_version=0))
    assert first is not None
    assert len(first.data) == routing_feed.CHUNK_BYTES < first.size
    found.publish(many(2, 3001))
    request = messages.FetchRouting(
        held_version=0, digest=first.digest, offset=len(first.data)
    )
    second = found.chunk(request)
    assert second is not None
    assert (second.digest, second.offset) == (first.digest, len(first.data))
    # A restarted coordinator does not know the transfer and starts another.
    other = feed(many(2, 3001)).chunk(request)
    assert other is not None
    assert (other.version, other.offset) == (2, 0)


def test_what_coordinators_send_of_one_change_is_the_same() -> None:
    """So that any other coordinator can continue a transfer."""
    docs = [many(1, 3000), many(2, 6001)]
    parts, _ = fetch_all(feed(*docs), 0)
    request = messages.FetchRouting(
        held_version=0, digest=parts[1].digest, offset=parts[1].offset
    )
    assert feed(*docs).chunk(request) == parts[1]


def test_memory_for_changes_is_bounded() -> None:
    found = feed(*[many(v, 900) for v in range(1, 40)])
    _, change = fetch_all(found, 1)
    assert change.base == 0
    _, change = fetch_all(found, 38)
    assert change.base == 0, "as many routes as the whole"
    found.publish(document(40, {at: 39 * 7 + at % 991 for at in range(901)}))
    _, change = fetch_all(found, 39)
    assert (change.base, change.size) == (39, 1)


def test_a_change_is_made_once_for_all_gateways_that_need_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against encoding the same change once for each gateway."""
    made = []
    encode = changes.encode
    joined = changes.merge
    monkeypatch.setattr(
        changes, "encode", lambda change: made.append("e") or encode(change)
    )
    monkeypatch.setattr(
        changes, "merge", lambda steps: made.append("j") or joined(steps)
    )
    docs = [document(v, {at: 1 for at in range(40 + v)}) for v in (3, 5, 9)]
    found = feed(*docs)
    for have in (3, 5, 0, 4) * 20:
        assert (
            found.chunk(messages.FetchRouting(held_version=have)) is not None
        )
    # From 3, from 5, and the whole for no version or an unknown one.
    assert sorted(made) == ["e", "e", "e", "j", "j"]
