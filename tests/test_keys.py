"""Callers' keys in routing documents and in changes of documents."""

import json

import hypothesis
from hypothesis import strategies
import pytest

from rackpost import exceptions
from rackpost.http1 import message
from rackpost.platform import documents
from rackpost.platform import headers
from rackpost.platform import keys
from rackpost.routing import changes
from rackpost.routing import match
from rackpost.routing import model
from tests import platform_site


def organisation(name: str, *shown: str, **more: object) -> dict:
    """Return an organisation as in an operator's document."""
    found = {
        "name": name,
        "apiKeys": list(shown),
        "unit": "token_stream",
        "plainTokens": 200,
        "ratePerS": 1000,
        "burst": 500,
    }
    return {**found, **more}


def document(version: int, organisations: list[dict] | None) -> model.Document:
    """Return a document with these organisations."""
    doc = platform_site.document(version)
    if organisations is not None:
        doc["tenants"] = organisations
    return documents.decode(json.dumps(doc).encode())


def table(*steps: changes.Change) -> match.RouteTable:
    found = match.RouteTable()
    for step in steps:
        found.apply(changes.decode(changes.encode(step)))
    return found


def organisation_of(found: match.RouteTable, key: str) -> str:
    """Return the name of a key's organisation; "" if there is none."""
    item = found.organisations.find(keys.digest(key.encode()))
    return "" if item is None else item.name


def test_an_organisation_is_found_by_each_of_its_keys() -> None:
    doc = document(1, [organisation("nord", "a", "b", priority=3)])
    found = table(changes.from_empty(doc))
    assert found.organisations.keys_required
    assert [organisation_of(found, key) for key in ("a", "b", "c")] == [
        "nord",
        "nord",
        "",
    ]
    item = doc.organisations[0]
    assert item.priority == 3
    assert item.quota == model.Quota(
        rate_per_s=1000, burst=500, by_tokens=True, plain_units=200
    )


def test_no_limit_and_no_keys_are_told_apart_from_none() -> None:
    free = document(1, [organisation("nord", "a", ratePerS=0)])
    assert free.organisations[0].quota is None
    assert not document(1, None).keys_required
    assert document(1, []).keys_required


@pytest.mark.parametrize(
    "organisations",
    [
        [organisation("a", "secret-1"), organisation("b", "secret-1")],
        [organisation("a", "secret-1"), organisation("a", "secret-2")],
        [organisation("a", "secret-1", "secret-1")],
        [organisation("a", "secret-1", "")],
        [organisation("", "secret-1")],
        [organisation("a", "secret-1", ratePerS=-1)],
        [organisation("a", "secret-1", ratePerS="secret-1")],
        [organisation("a", "secret-1", burst=-1)],
        [organisation("a", "secret-1", plainTokens=-1)],
        [organisation("a", "secret-1", apiKeys="secret-1")],
        [organisation("a", "secret-1", apiKeys=[3, "secret-1"])],
        [{"name": "a"}],
    ],
)
def test_bad_organisations_are_refused_without_naming_a_key(
    organisations: list[dict],
) -> None:
    with pytest.raises(exceptions.RoutingError) as caught:
        document(1, organisations)
    assert str(caught.value)
    assert "secret" not in str(caught.value)


@pytest.mark.parametrize("rate", ["1e999", "NaN", "-Infinity"])
def test_a_limit_that_is_no_number_is_refused(rate: str) -> None:
    doc = platform_site.document()
    doc["tenants"] = [organisation("a", "k", ratePerS=12345)]
    text = json.dumps(doc).replace("12345", rate).encode()
    with pytest.raises(exceptions.RoutingError):
        documents.decode(text)


HOLDERS = strategies.dictionaries(
    strategies.sampled_from("abcd"), strategies.integers(0, 2)
)


@hypothesis.given(
    strategies.lists(strategies.none() | HOLDERS, min_size=2, max_size=6)
)
def test_changes_lead_from_any_keys_to_any_later_ones(
    versions: list[dict[str, int] | None],
) -> None:
    """Also where organisations, or all keys, are added and removed."""
    docs = [
        document(
            at + 1,
            (
                None
                if held is None
                else [
                    organisation(name, f"{name}{key}")
                    for name, key in held.items()
                ]
            ),
        )
        for at, held in enumerate(versions)
    ]
    steps = [changes.diff(a, b) for a, b in zip(docs, docs[1:])]
    last = docs[-1]
    for at, doc in enumerate(docs[:-1]):
        found = table(changes.from_empty(doc), changes.merge(steps[at:]))
        assert found.organisations.keys_required == last.keys_required
        assert found.organisations.count == len(last.organisations)
        for name in "abcd":
            for key in range(3):
                held = (versions[-1] or {}).get(name) == key
                assert organisation_of(found, f"{name}{key}") == (
                    name if held else ""
                )


def test_a_change_that_makes_other_organisations_changes_nothing() -> None:
    first = document(1, [organisation("a", "1")])
    other = document(2, [organisation("b", "2"), organisation("c", "3")])
    change = changes.diff(
        document(1, [organisation("d", "4")]),
        document(2, [organisation("d", "4"), organisation("e", "5")]),
    )
    found = table(changes.from_empty(first), changes.diff(first, other))
    with pytest.raises(exceptions.RoutingError):
        found.apply(change)
    assert (found.version, found.organisations.count) == (2, 2)


def test_one_key_more_costs_what_it_is() -> None:
    """One of 630 organisations with two keys each gets a third key."""
    held = [
        organisation(f"organisation-{at}", f"{at}-1", f"{at}-2")
        for at in range(630)
    ]
    before = document(1, held)
    held[99]["apiKeys"].append("99-3")
    change = changes.diff(before, document(2, held))
    assert change.size == 1
    assert len(changes.encode(change)) < 600


@pytest.mark.parametrize(
    ("shown", "known"),
    [
        ([b"Bearer secret"], True),
        ([b"bearer  secret "], True),
        ([b"Bearer"], False),
        ([b"Bearer "], False),
        ([b"Basic secret"], False),
        ([b"secret"], False),
        ([b"Bearer other"], False),
        ([b"Bearer secret", b"Bearer other"], False),
        ([], False),
    ],
)
def test_one_key_is_read_from_a_request(
    shown: list[bytes], known: bool
) -> None:
    lines: list[message.Header] = [(b"authorization", item) for item in shown]
    found = headers.key_digest(lines)
    assert (found == keys.digest(b"secret")) is known
