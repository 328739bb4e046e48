"""Control replicas in one event loop, with simulated disks and links."""

import asyncio
import contextlib
import random
from typing import AsyncIterator

from rackpost.consensus import log as log_mod
from rackpost.consensus import messages as consensus
from rackpost.consensus import output
from rackpost.consensus import storage
from rackpost.control import client as client_mod
from rackpost.control import node as node_mod
from rackpost.control import service as service_mod
from rackpost import exceptions
from rackpost.link import channel
from rackpost.link import codec
from rackpost import metrics
from rackpost.state import commands
from rackpost import types

SYNC_S = 0.002
_DELAY_S = 0.0005


class MemoryDisk(storage.Disk):
    """A disk that loses unsynced data in a crash."""

    def __init__(self, *, identity: storage.Identity) -> None:
        self._identity = identity
        self._snapshot: bytes | None = None
        self._batches: list[bytes] = []
        self.generation = 0

    def load(self) -> storage.StoredState:
        """Return the state that a restarted replica loads."""
        snapshot = consensus.Snapshot(
            index=consensus.Index(0),
            term=consensus.Term(0),
            config=self._identity.config,
        )
        if self._snapshot is not None:
            decoder = codec.Decoder(kinds=consensus.Snapshot)
            snapshot = decoder.decode(self._snapshot)
        log = log_mod.Log(snapshot)
        hard = consensus.HardState(term=snapshot.term)
        for data in self._batches:
            batch = codec.Decoder(kinds=storage.Batch).decode(data)
            hard = batch.hard or hard
            storage.replay(log, batch)
        return storage.StoredState(identity=self._identity, hard=hard, log=log)

    async def save(self, out: output.Output) -> None:
        """Sync an output; a crash before the end of the sync loses it."""
        batch = storage.batch_of(out)
        if batch is None:
            return
        data = codec.encode(batch)
        generation = self.generation
        await asyncio.sleep(SYNC_S)
        if generation == self.generation:
            self._batches.append(data)

    async def compact(
        self,
        snapshot: consensus.Snapshot,
        hard: consensus.HardState,
        log: log_mod.Log,
    ) -> None:
        """Replace the stored state by a snapshot and the log after it."""
        rest = storage.Batch(
            hard=hard, entries=log.entries_between(snapshot.index, 1 << 60)
        )
        whole = codec.encode(snapshot)
        data = codec.encode(rest)
        generation = self.generation
        await asyncio.sleep(SYNC_S)
        if generation == self.generation:
            self._snapshot = whole
            self._batches = [data]


class _Running:
    """A running replica."""

    def __init__(
        self, *, node: node_mod.Node, service: service_mod.Service
    ) -> None:
        self.node = node
        self.service = service
        self.tasks = [
            asyncio.create_task(node.run()),
            asyncio.create_task(service.run()),
        ]
        self.conns: list[channel.Channel] = []


class Cluster:
    """Control replicas by name, with their links and clients."""

    def __init__(
        self, *, names: tuple[str, ...], seed: int, compact_at: int = 4096
    ) -> None:
        self.rng = random.Random(seed)
        self.first = consensus.Config(
            voters=tuple(consensus.ReplicaId(name) for name in names)
        )
        self.disks: dict[str, MemoryDisk] = {}
        self.up: dict[str, _Running] = {}
        self.cut: set[frozenset[str]] = set()
        self._links: dict[frozenset[str], list[channel.LocalChannel]] = {}
        self._compact_at = compact_at
        for name in names:
            self.add_disk(name, self.first)
            self.start(name)

    def add_disk(self, name: str, config: consensus.Config) -> None:
        """Give a replica a new, empty disk."""
        identity = storage.Identity(
            replica=consensus.ReplicaId(name), config=config
        )
        self.disks[name] = MemoryDisk(identity=identity)

    def start(self, name: str) -> None:
        """Start a replica from its disk and link it to all running ones."""
        disk = self.disks[name]
        node = node_mod.Node(
            loaded=disk.load(),
            disk=disk,
            rng=random.Random(self.rng.random()),
            compact_at=self._compact_at,
        )
        service = service_mod.Service(node=node, metrics=metrics.Metrics())
        running = _Running(node=node, service=service)
        self.up[name] = running
        for other in list(self.up):
            if other != name:
                self._link(name, other)

    def _link(self, one: str, two: str) -> None:
        pair = frozenset((one, two))
        here, there = channel.local_pair(delay_s=_DELAY_S)
        here.cut = there.cut = pair in self.cut
        self._links[pair] = [here, there]
        self.up[one].node.connect(consensus.ReplicaId(two), here)
        self.up[two].node.connect(consensus.ReplicaId(one), there)

    def kill(self, name: str) -> None:
        """Simulate the death of a replica's process."""
        running = self.up.pop(name)
        self.disks[name].generation += 1
        for task in running.tasks:
            task.cancel()
        for conn in running.conns:
            conn.close()
        for pair, ends in list(self._links.items()):
            if name in pair:
                del self._links[pair]
                for end in ends:
                    end.close()

    def isolate(self, name: str) -> None:
        """Drop all messages from and to a replica."""
        self._set_cut(name, True)

    def reconnect(self, name: str) -> None:
        """Let messages from and to a replica through again."""
        self._set_cut(name, False)

    def _set_cut(self, name: str, cut: bool) -> None:
        for other in self.disks:
            if other == name:
                continue
            pair = frozenset((name, other))
            if cut:
                self.cut.add(pair)
            else:
                self.cut.discard(pair)
            for end in self._links.get(pair, []):
                end.cut = cut
        if name in self.up:
            for conn in self.up[name].conns:
                assert isinstance(conn, channel.LocalChannel)
                conn.cut = cut

    def leader(self) -> str | None:
        """Return the leader with the highest term, or None."""
        found = [
            (item.node.term, name)
            for name, item in self.up.items()
            if item.node.is_leader
        ]
        return max(found)[1] if found else None

    async def await_leader(self, exclude: str = "") -> str:
        """Wait until there is a leader other than `exclude`."""
        while True:
            name = self.leader()
            if name is not None and name != exclude:
                return name
            await asyncio.sleep(0.01)

    @contextlib.asynccontextmanager
    async def connect(self, name: str) -> AsyncIterator[channel.Channel]:
        """Provide a client's link to a replica."""
        running = self.up.get(name)
        if running is None:
            raise exceptions.LinkError(f"{name} is down")
        here, there = channel.local_pair(delay_s=_DELAY_S)
        silent = [pair for pair in self.cut if name in pair]
        here.cut = there.cut = len(silent) >= len(self.disks) - 1 > 0
        running.service.connect(there)
        running.conns += [here, there]
        try:
            yield here
        finally:
            here.close()

    def client(
        self, name: str, join: commands.MemberInfo | None = None
    ) -> client_mod.ControlClient:
        """Return a control client, which the caller must run."""
        return client_mod.ControlClient(
            name=name,
            incarnation=types.Incarnation(1),
            addresses=list(self.disks),
            connect=self.connect,
            rng=random.Random(self.rng.random()),
            join=join,
        )

    def close(self) -> None:
        """Stop all replicas."""
        for name in list(self.up):
            self.kill(name)
