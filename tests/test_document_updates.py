"""Routing updates from coordinators that lag, fall silent and restart.

At each moment a gateway's routes are exactly those of one version, its
version never decreases, and in the end it has the newest one.
"""

import random

import pytest

from rackpost.coordinator import messages
from rackpost.coordinator import routing_feed
from rackpost import exceptions
from rackpost.gateway import document_fetch
from rackpost.routing import changes
from rackpost.routing import match
from rackpost.routing import model
from tests import test_routing_changes

# Small, so that each change takes several chunks.
PART_BYTES = 200
NAMES = ("a", "b", "c")
STEPS = 400


class Run:
    """Three coordinators and one gateway; each step is 50 ms."""

    def __init__(self, *, seed: int, before_first: int) -> None:
        """Versions start above `before_first`."""
        self.before_first = before_first
        self.rng = random.Random(seed)
        self.docs: dict[int, model.Document] = {}
        self.feeds = {name: routing_feed.RoutingFeed() for name in NAMES}
        self.silent: set[str] = set()
        self.fetch: document_fetch.DocumentFetch[str]
        self.fetch = document_fetch.DocumentFetch(rng=self.rng)
        self.table = match.RouteTable()
        self.now = 0.0
        # Answers in flight: arrival time, sender and chunk.
        self.in_flight: list[tuple[float, str, messages.RoutingChunk]] = []

    def new_document(self) -> None:
        """Add a version that follows the last, with some routes changed."""
        last = max(self.docs, default=self.before_first)
        version = last + self.rng.randint(1, 4)
        routes = {
            key: self.rng.randint(1, 2)
            for key in range(60)
            if self.rng.random() < 0.9
        }
        self.docs[version] = test_routing_changes.document(version, routes)

    def catch_up(self, name: str) -> None:
        """Let a coordinator skip to one of the versions that it lacks."""
        feed = self.feeds[name]
        held = feed.version
        missing = [v for v in self.docs if held is None or v > held]
        if missing:
            version = self.rng.choice(missing)
            feed.publish(self.docs[version])
        self.announce(name)

    def announce(self, name: str) -> None:
        """Let the gateway receive a coordinator's announcement."""
        msg = self.feeds[name].announcement()
        if msg.has_document:
            self.fetch.record_version(name, msg.version)

    def inject_fault(self) -> None:
        """Inject a fault at one coordinator."""
        name = self.rng.choice(NAMES)
        kind = self.rng.randrange(4)
        if kind == 0:
            self.silent ^= {name}
        elif kind == 1:
            self.fetch.remove_peer(name)
            self.in_flight = [
                item for item in self.in_flight if item[1] != name
            ]
        elif kind == 2:
            # A restart: it knows only its newest version.
            feed = routing_feed.RoutingFeed()
            held = self.feeds[name].version
            if held is not None:
                feed.publish(self.docs[held])
            self.feeds[name] = feed
            self.fetch.remove_peer(name)
            self.announce(name)
        else:
            self.catch_up(name)

    def step(self) -> None:
        """Advance the time: deliver answers and send the next request."""
        self.now += 0.05
        due = [item for item in self.in_flight if item[0] <= self.now]
        self.in_flight = [
            item for item in self.in_flight if item[0] > self.now
        ]
        for _, name, part in due:
            arrived = self.fetch.receive(name, part, self.now)
            if arrived is not None:
                self.apply(arrived.data)
        ask = self.fetch.next_request(
            held_version=self.table.version, now=self.now
        )
        if ask is None or ask.peer in self.silent:
            return
        answer = self.feeds[ask.peer].chunk(ask.msg)
        if answer is not None:
            delay_s = self.rng.choice([0.01, 0.05, 0.2, 0.7])
            self.in_flight.append((self.now + delay_s, ask.peer, answer))

    def apply(self, data: bytes) -> None:
        """Apply a complete transfer, as a gateway does."""
        before = self.table.version
        change = changes.decode(data)
        if before is not None and change.version <= before:
            return
        try:
            self.table.apply(change)
        except exceptions.RoutingError:
            self.fetch.reject_document(held_version=before, now=self.now)
            return
        assert self.table.version is not None
        assert before is None or self.table.version > before
        doc = self.docs[self.table.version]
        assert test_routing_changes.has_content_of(self.table, doc)


@pytest.mark.parametrize("before_first", [0, -8, -400, 2**64 - 9])
@pytest.mark.parametrize("seed", range(60))
def test_a_gateway_has_one_version_whole_and_ends_with_the_newest(
    seed: int, before_first: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(routing_feed, "CHUNK_BYTES", PART_BYTES)
    run = Run(seed=seed, before_first=before_first)
    for _ in range(STEPS):
        if run.rng.random() < 0.1:
            run.new_document()
        if run.rng.random() < 0.3:
            run.inject_fault()
        run.step()
    run.silent.clear()
    newest = max(run.docs)
    for name in NAMES:
        run.feeds[name].publish(run.docs[newest])
        run.fetch.record_version(name, newest)
    for _ in range(STEPS):
        run.step()
    assert run.table.version == newest
