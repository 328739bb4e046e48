"""A gateway asks for parts of a document: one at a time, with patience."""

import collections
import random
import zlib

from rackpost.coordinator import messages
from rackpost.gateway import document_fetch

DATA = bytes(range(200))
PART = 50


def fetch(*holders: str, seed: int = 1) -> document_fetch.DocumentFetch[str]:
    """A gateway that knows who holds version 5."""
    found: document_fetch.DocumentFetch[str]
    found = document_fetch.DocumentFetch(rng=random.Random(seed))
    for name in holders:
        found.record_version(name, 5)
    return found


def part(offset: int, data: bytes = DATA) -> messages.RoutingChunk:
    return messages.RoutingChunk(
        base=0,
        version=5,
        digest=zlib.crc32(data),
        offset=offset,
        size=len(data),
        data=data[offset : offset + PART],
    )


def test_one_part_is_asked_for_at_a_time_whatever_is_announced() -> None:
    found = fetch("a", "b")
    ask = found.next_request(have=0, now=0.0)
    assert ask is not None and ask.msg == messages.FetchRouting(held_version=0)
    found.record_version("b", 6)
    found.record_version("a", 7)
    assert found.next_request(have=0, now=0.1) is None


def test_a_transfer_comes_whole_and_nothing_newer_ends_it() -> None:
    found = fetch("a")
    now = 0.0
    for offset in range(0, len(DATA), PART):
        ask = found.next_request(have=0, now=now)
        assert ask is not None and ask.msg.offset == offset
        found.record_version("a", 6 + offset)
        now += 0.1
        arrived = found.receive("a", part(offset), now)
    assert arrived is not None
    assert arrived.data == DATA
    ask = found.next_request(have=5, now=now)
    assert ask is not None and ask.msg == messages.FetchRouting(held_version=5)


def test_another_goes_on_where_a_silent_one_stopped() -> None:
    found = fetch("a", "b")
    ask = found.next_request(have=0, now=0.0)
    assert ask is not None
    found.receive(ask.peer, part(0), 0.1)
    again = found.next_request(have=0, now=0.1)
    assert again is not None and again.peer == ask.peer
    assert found.wake_at is not None
    later = found.next_request(have=0, now=found.wake_at)
    assert later is not None and later.is_retry
    assert later.peer != ask.peer
    assert later.msg == again.msg
    # What both send counts once.
    assert found.receive(ask.peer, part(PART), 1.0) is None
    assert found.receive(later.peer, part(PART), 1.1) is None
    ask = found.next_request(have=0, now=1.1)
    assert ask is not None and ask.msg.offset == 2 * PART


def test_a_lost_link_costs_no_bytes_that_have_come() -> None:
    found = fetch("a", "b")
    ask = found.next_request(have=0, now=0.0)
    assert ask is not None
    found.receive(ask.peer, part(0), 0.1)
    found.next_request(have=0, now=0.1)
    found.remove_peer(ask.peer)
    other = found.next_request(have=0, now=0.1)
    assert other is not None and other.peer != ask.peer
    assert other.msg.offset == PART


def test_what_is_late_of_another_transfer_undoes_nothing() -> None:
    found = fetch("a", "b")
    ask = found.next_request(have=0, now=0.0)
    assert ask is not None and found.wake_at is not None
    other = found.next_request(have=0, now=found.wake_at)
    assert other is not None
    found.receive(other.peer, part(0), 1.0)
    found.next_request(have=0, now=1.0)
    found.receive(ask.peer, part(0, DATA[1:]), 1.1)
    found.receive(other.peer, part(PART), 1.2)
    ask = found.next_request(have=0, now=1.2)
    assert ask is not None and ask.msg.offset == 2 * PART


def test_patience_follows_the_pace_and_doubles_without_any() -> None:
    """A fixed one, below the time that a slow link takes, ends nothing."""
    found = fetch("a")
    now = 0.0
    waits = []
    for _ in range(6):
        assert found.next_request(have=0, now=now) is not None
        assert found.wake_at is not None
        waits.append(found.wake_at - now)
        now = found.wake_at
    assert waits == [0.5, 1.0, 2.0, 4.0, 4.0, 4.0]
    # It came after all, and so slowly: the next one has more time.
    found.receive("a", part(0), now + 0.8)
    found.next_request(have=0, now=now + 0.8)
    assert found.wake_at is not None
    assert found.wake_at - (now + 0.8) > 3.0


def test_after_what_could_not_be_used_the_whole_is_asked_for_later() -> None:
    found = fetch("a")
    for offset in range(0, len(DATA), PART):
        found.next_request(have=3, now=0.1)
        found.receive("a", part(offset), 0.1)
    found.reject_document(have=3, now=0.1)
    assert found.next_request(have=3, now=0.1) is None
    assert found.wake_at is not None and found.wake_at > 0.1
    ask = found.next_request(have=3, now=found.wake_at)
    assert ask is not None and ask.msg == messages.FetchRouting(held_version=0)


def test_nothing_is_asked_that_nobody_has() -> None:
    found = fetch("a")
    assert found.next_request(have=5, now=0.0) is None
    assert found.wake_at is None
    found.remove_peer("a")
    assert found.next_request(have=0, now=0.0) is None


def test_gateways_spread_over_the_coordinators() -> None:
    asked: collections.Counter[str] = collections.Counter()
    for seed in range(100):
        ask = fetch("a", "b", "c", "d", "e", seed=seed).next_request(
            have=0, now=0.0
        )
        assert ask is not None
        asked[ask.peer] += 1
    assert min(asked.values()) > 10 and len(asked) == 5
