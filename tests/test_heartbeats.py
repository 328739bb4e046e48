"""Endpoints that restart under the same id, and invalid heartbeats."""

import asyncio
import json
import pathlib

import hypothesis
from hypothesis import strategies
import pytest

from rackpost import exceptions
from rackpost.platform import heartbeats
from rackpost.routing import endpoints
from rackpost import types
from tests import platform_site

_ID = types.EndpointId("i-1")
_GOOD = platform_site.HEARTBEAT


def heartbeat(**more: object) -> endpoints.Endpoint:
    text = json.dumps({**_GOOD, **more}).encode()
    return heartbeats.decode(_ID, text)


def gone(born: int) -> endpoints.Endpoint:
    return heartbeats.gone(_ID, b'{"born": %d}' % born)


def test_a_later_incarnation_starts_without_state() -> None:
    """Its sequence starts anew, and it may be ready after a drain."""
    table = endpoints.EndpointTable()
    table.update(heartbeat(sequence=90, born=1000, state="draining"), 1.0)
    assert table.update(heartbeat(sequence=1, born=2000), 2.0)
    assert table.alive[_ID].state is endpoints.EndpointState.READY
    assert not table.update(heartbeat(sequence=2, born=2000), 3.0)


def test_updates_of_an_earlier_incarnation_are_ignored() -> None:
    table = endpoints.EndpointTable()
    table.update(heartbeat(sequence=1, born=2000), 1.0)
    late = heartbeat(sequence=90, born=1000, state="draining")
    assert not table.update(late, 2.0)
    assert not table.update(gone(1000), 3.0)
    assert table.alive[_ID].born == 2000
    assert table.alive[_ID].state is endpoints.EndpointState.READY


def test_an_ended_endpoint_returns_only_in_a_later_incarnation() -> None:
    table = endpoints.EndpointTable()
    table.update(heartbeat(sequence=5, born=1000), 1.0)
    # The notice does not name the incarnation that ends.
    assert table.update(heartbeats.gone(_ID), 2.0)
    assert table.ended() == [endpoints.Incarnation(_ID, 1000)]
    assert not table.update(heartbeat(sequence=9, born=1000), 3.0)
    assert not table.update(heartbeat(sequence=9), 3.0)
    assert table.update(heartbeat(sequence=1, born=1001), 4.0)
    assert table.ended() == []


def test_a_dropped_endpoint_returns_in_a_later_incarnation() -> None:
    table = endpoints.EndpointTable()
    table.update(heartbeat(sequence=50, born=1000), 1.0)
    table.drop(_ID)
    assert not table.update(heartbeat(sequence=50, born=1000), 2.0)
    assert table.update(heartbeat(sequence=1, born=2000), 2.0)


def test_a_restart_is_detected() -> None:
    table = endpoints.EndpointTable()
    old = heartbeat(born=1000)
    table.update(old, 1.0)
    assert table.is_current(old) and not table.has_restarted(old)
    table.update(heartbeat(born=2000), 2.0)
    assert not table.is_current(old) and table.has_restarted(old)


@pytest.mark.parametrize("foreign_first", [False, True])
def test_a_heartbeat_without_a_start_time_hides_no_later_ones(
    foreign_first: bool,
) -> None:
    """An endpoint's own heartbeats, `draining` too, had no effect."""
    table = endpoints.EndpointTable()
    foreign = heartbeat(sequence=1_000_000)
    own = heartbeat(sequence=5, born=1000)
    for item in (foreign, own) if foreign_first else (own, foreign):
        table.update(item, 1.0)
    assert table.alive[_ID].sequence == 5
    leaving = heartbeat(sequence=6, born=1000, state="draining")
    assert table.update(leaving, 2.0)
    assert table.alive[_ID].state is endpoints.EndpointState.DRAINING


UPDATES = strategies.tuples(
    strategies.integers(1, 3),
    strategies.integers(0, 3),
    strategies.sampled_from(["ready", "draining", "gone"]),
)


@hypothesis.given(strategies.permutations(range(6)), strategies.data())
def test_the_last_incarnation_counts_in_any_order_of_updates(
    order: list[int], data: strategies.DataObject
) -> None:
    updates = [data.draw(UPDATES) for _ in order]
    table = endpoints.EndpointTable()
    for at in order:
        born, sequence, state = updates[at]
        if state == "gone":
            table.update(gone(born), 1.0)
        else:
            item = heartbeat(born=born, sequence=sequence, state=state)
            table.update(item, 1.0)
    lives = [born for born, _, _ in updates]
    ended = {born for born, _, state in updates if state == "gone"}
    last = max(lives)
    found = table.alive.get(_ID)
    if last in ended:
        assert found is None
    else:
        assert found is not None and found.born == last


@pytest.mark.parametrize("name", list(_GOOD))
@pytest.mark.parametrize("bad", [None, [], {}, True, "missing"])
def test_malformed_heartbeats_are_refused(name: str, bad: object) -> None:
    text = dict(_GOOD)
    if bad == "missing":
        del text[name]
    else:
        text[name] = bad
    with pytest.raises(exceptions.CodecError):
        heartbeats.decode(_ID, json.dumps(text).encode())


@pytest.mark.parametrize(
    "more",
    [
        {"slots": -3},
        {"slots": 0},
        {"slots": 1.5},
        {"slots": "6"},
        {"state": "sleeping"},
        {"state": ""},
        {"service": ""},
        {"stage": "train"},
        {"stage": 3},
        {"sequence": -1},
        {"born": "1000"},
        {"born": 1.5},
        {"born": -1},
        {"born": True},
        {"address": ""},
        {"address": "10.0.0.1"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:80:80"},
        {"address": "10.0.0.999:80"},
        {"address": "10.0.0.1:x"},
        {"address": "10.0.0.1:99999"},
        {"address": "10.0.0.1:\u0663"},
        {"address": "some-name:80"},
    ],
)
def test_a_heartbeat_that_names_no_endpoint_to_use(more: dict) -> None:
    with pytest.raises(exceptions.CodecError):
        heartbeat(**more)


@hypothesis.given(
    strategies.binary() | strategies.text().map(lambda text: text.encode())
)
def test_bytes_are_a_heartbeat_or_an_error(text: bytes) -> None:
    for decode in (heartbeats.decode, heartbeats.gone):
        try:
            decode(_ID, text)
        except exceptions.CodecError:
            continue
        assert decode is heartbeats.gone


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.text(max_size=4), inner, max_size=3),
    max_leaves=5,
)


@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from([*_GOOD, "stage", "born"]), JSON, max_size=3
    )
)
def test_one_with_any_fields_is_usable_or_none(more: dict) -> None:
    try:
        item = heartbeat(**more)
    except exceptions.CodecError:
        return
    assert item.slots >= 1 and item.service and item.sequence >= 0
    assert item.state is not endpoints.EndpointState.GONE


def test_a_service_that_is_not_in_the_document_names_no_endpoint(
    tmp_path: pathlib.Path,
) -> None:
    """Nor does it replace the endpoint that serves at its address."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            other = platform_site.Endpoint(ident="other", service="nobody")
            other.address = site.plain[0].address
            assert await site.operator.send_heartbeat(11, other) == 400
            assert "p0" in site.coordinator.directory.table.alive
            # Its service is removed: it may still announce that it drains.
            doc = platform_site.document(2)
            doc["routes"] = doc["routes"][2:]
            doc["services"] = doc["services"][1:]
            await site.operator.put_until_accepted(11, doc)
            await platform_site.until(
                lambda: site.coordinator.feed.version == 2
            )
            beat = site.operator.send_heartbeat(11, site.plain[0], "draining")
            assert await beat == 200

    asyncio.run(main())


def test_a_foreign_heartbeat_does_not_keep_an_endpoint_from_draining(
    tmp_path: pathlib.Path,
) -> None:
    """Gateways sent requests to an endpoint that drained for seconds."""

    async def main() -> None:
        async with platform_site.small_site(tmp_path) as site:
            one = site.plain[0]
            url = site.plan.control_url(11)
            url = f"{url}/v1/instances/{one.ident}"

            async def put(body: dict) -> int:
                data = json.dumps(body)
                async with site.operator.http.put(url, data=data) as resp:
                    return resp.status

            assert await put(one.heartbeat(born=1000)) == 200
            foreign = {**one.heartbeat(slots=4), "sequence": 1_000_000}
            assert await put(foreign) == 400
            assert await put(one.heartbeat("draining", born=1000)) == 200
            table = site.gateway.site.table
            ident = types.EndpointId(one.ident)
            await platform_site.until(
                lambda: table.alive[ident].state
                is endpoints.EndpointState.DRAINING
            )
            # A notice of its end may lack the start time.
            assert await site.operator.leave(11, one) == 200
            await platform_site.until(lambda: ident not in table.alive)

    asyncio.run(main())
