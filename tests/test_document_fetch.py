"""A gateway requests chunks of a document, one at a time, with timeouts."""

import collections
import random
import zlib

import pytest

from rackpost.coordinator import messages
from rackpost.gateway import document_fetch
from rackpost.routing import changes

DATA = bytes(range(200))
CHUNK = 50


def new_fetch(*peers: str, seed: int = 1) -> document_fetch.DocumentFetch[str]:
    """Return a fetch whose peers all have version 5."""
    fetch: document_fetch.DocumentFetch[str]
    fetch = document_fetch.DocumentFetch(rng=random.Random(seed))
    for name in peers:
        fetch.record_version(name, 5)
    return fetch


def chunk(offset: int, data: bytes = DATA) -> messages.RoutingChunk:
    return messages.RoutingChunk(
        base=0,
        version=5,
        digest=zlib.crc32(data),
        offset=offset,
        size=len(data),
        data=data[offset : offset + CHUNK],
    )


def test_one_chunk_is_requested_at_a_time_whatever_is_announced() -> None:
    fetch = new_fetch("a", "b")
    request = fetch.next_request(held_version=0, now=0.0)
    assert request is not None and request.msg == messages.FetchRouting(
        held_version=0
    )
    fetch.record_version("b", 6)
    fetch.record_version("a", 7)
    assert fetch.next_request(held_version=0, now=0.1) is None


def test_a_newer_version_does_not_abort_a_transfer() -> None:
    fetch = new_fetch("a")
    now = 0.0
    for offset in range(0, len(DATA), CHUNK):
        request = fetch.next_request(held_version=0, now=now)
        assert request is not None and request.msg.offset == offset
        fetch.record_version("a", 6 + offset)
        now += 0.1
        transfer = fetch.receive("a", chunk(offset), now)
    assert transfer is not None
    assert transfer.data == DATA
    request = fetch.next_request(held_version=5, now=now)
    assert request is not None and request.msg == messages.FetchRouting(
        held_version=5
    )


def test_another_peer_continues_the_transfer_of_a_silent_one() -> None:
    fetch = new_fetch("a", "b")
    request = fetch.next_request(held_version=0, now=0.0)
    assert request is not None
    fetch.receive(request.peer, chunk(0), 0.1)
    next_one = fetch.next_request(held_version=0, now=0.1)
    assert next_one is not None and next_one.peer == request.peer
    assert fetch.wake_at is not None
    later = fetch.next_request(held_version=0, now=fetch.wake_at)
    assert later is not None and later.is_retry
    assert later.peer != request.peer
    assert later.msg == next_one.msg
    # A chunk that both send counts once.
    assert fetch.receive(request.peer, chunk(CHUNK), 1.0) is None
    assert fetch.receive(later.peer, chunk(CHUNK), 1.1) is None
    request = fetch.next_request(held_version=0, now=1.1)
    assert request is not None and request.msg.offset == 2 * CHUNK


def test_a_lost_link_costs_no_received_chunks() -> None:
    fetch = new_fetch("a", "b")
    request = fetch.next_request(held_version=0, now=0.0)
    assert request is not None
    fetch.receive(request.peer, chunk(0), 0.1)
    fetch.next_request(held_version=0, now=0.1)
    fetch.remove_peer(request.peer)
    other = fetch.next_request(held_version=0, now=0.1)
    assert other is not None and other.peer != request.peer
    assert other.msg.offset == CHUNK


def test_a_late_chunk_of_another_transfer_is_dropped() -> None:
    fetch = new_fetch("a", "b")
    request = fetch.next_request(held_version=0, now=0.0)
    assert request is not None and fetch.wake_at is not None
    other = fetch.next_request(held_version=0, now=fetch.wake_at)
    assert other is not None
    fetch.receive(other.peer, chunk(0), 1.0)
    fetch.next_request(held_version=0, now=1.0)
    fetch.receive(request.peer, chunk(0, DATA[1:]), 1.1)
    fetch.receive(other.peer, chunk(CHUNK), 1.2)
    request = fetch.next_request(held_version=0, now=1.2)
    assert request is not None and request.msg.offset == 2 * CHUNK


def test_the_timeout_follows_the_link_and_doubles_without_chunks() -> None:
    """With a fixed timeout a transfer over a slow link might never end."""
    fetch = new_fetch("a")
    now = 0.0
    waits = []
    for _ in range(6):
        assert fetch.next_request(held_version=0, now=now) is not None
        assert fetch.wake_at is not None
        waits.append(fetch.wake_at - now)
        now = fetch.wake_at
    assert waits == [0.5, 1.0, 2.0, 4.0, 4.0, 4.0]
    # It came late, so that the next chunk has more time.
    fetch.receive("a", chunk(0), now + 0.8)
    fetch.next_request(held_version=0, now=now + 0.8)
    assert fetch.wake_at is not None
    assert fetch.wake_at - (now + 0.8) > 3.0


def test_the_whole_document_is_requested_later_after_an_unusable_one() -> None:
    fetch = new_fetch("a")
    for offset in range(0, len(DATA), CHUNK):
        fetch.next_request(held_version=3, now=0.1)
        fetch.receive("a", chunk(offset), 0.1)
    fetch.reject_document(held_version=3, now=0.1)
    assert fetch.next_request(held_version=3, now=0.1) is None
    assert fetch.wake_at is not None and fetch.wake_at > 0.1
    request = fetch.next_request(held_version=3, now=fetch.wake_at)
    assert request is not None and request.msg == messages.FetchRouting(
        held_version=0
    )


def test_nothing_is_requested_that_no_peer_has() -> None:
    fetch = new_fetch("a")
    assert fetch.next_request(held_version=5, now=0.0) is None
    assert fetch.wake_at is None
    fetch.remove_peer("a")
    assert fetch.next_request(held_version=0, now=0.0) is None


@pytest.mark.parametrize("version", [0, -1, -(2**70)])
def test_a_first_version_below_1_is_requested(version: int) -> None:
    """It was taken for no document at all."""
    fetch = new_fetch()
    assert fetch.next_request(held_version=None, now=0.0) is None
    fetch.record_version("a", version)
    request = fetch.next_request(held_version=None, now=0.0)
    assert request is not None
    assert request.msg.held_version == changes.NO_BASE
    fetch = new_fetch()
    fetch.record_version("a", version)
    assert fetch.next_request(held_version=version, now=0.0) is None


def test_gateways_spread_over_the_coordinators() -> None:
    requests: collections.Counter[str] = collections.Counter()
    for seed in range(100):
        request = new_fetch("a", "b", "c", "d", "e", seed=seed).next_request(
            held_version=0, now=0.0
        )
        assert request is not None
        requests[request.peer] += 1
    assert min(requests.values()) > 10 and len(requests) == 5
