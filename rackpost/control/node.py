"""A control replica: consensus, its disk and the state machine."""

import asyncio
import contextlib
import random
from typing import Callable
from typing import Iterator
from typing import TypeVar

import msgspec

from rackpost.consensus import messages as consensus
from rackpost.consensus import output
from rackpost.consensus import raft
from rackpost.consensus import storage
from rackpost.control import messages
from rackpost import exceptions
from rackpost.link import channel
from rackpost.link import codec
from rackpost import logs
from rackpost.state import commands
from rackpost.state import machine

T = TypeVar("T")

_TICK_S = 0.05
# Records in the log at which it is compacted.
COMPACT_AT = 4096
# Bytes of commands in the log at which it is compacted.  Keeps the log, the
# snapshot and its copy well below the smallest disk (128 MB).
COMPACT_BYTES = 8 << 20
# Largest encoded command.  A link takes a frame of 8 MB, which has to hold a
# record, or a snapshot with the state of all commands.
MAX_COMMAND_BYTES = 7 << 20
# The time limit of a command or a confirmed read.
_TIMEOUT_S = 3.0
_REPORT_INTERVAL_S = 1.0

_COMMANDS = codec.Decoder(kinds=commands.AnyCommand)
_IMAGES = codec.Decoder(kinds=machine.Image)

_CONSENSUS = (
    consensus.VoteRequest,
    consensus.VoteReply,
    consensus.Append,
    consensus.AppendReply,
    consensus.Install,
)

Watcher = Callable[[list[machine.Change] | None], None]


class Node:
    """One replica.

    Only its event loop changes its state.  Changes are synced to the disk
    before any message that depends on them is sent.
    """

    def __init__(
        self,
        *,
        loaded: storage.StoredState,
        disk: storage.Disk,
        rng: random.Random,
        compact_at: int = COMPACT_AT,
        copies: int = 1,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self.me = loaded.identity.replica
        self.machine = machine.Machine()
        self.last_statuses: dict[str, tuple[messages.Status, float]] = {}
        self._disk = disk
        self._compact_at = compact_at
        self._unreported: dict[str, messages.Status] = {}
        self._report_sent_at = 0.0
        snapshot = loaded.log.snapshot
        if snapshot.data:
            self.machine.restore(_IMAGES.decode(snapshot.data))
        self._raft = raft.Replica(
            me=self.me,
            hard=loaded.hard,
            log=loaded.log,
            rng=rng,
            now=self._loop.time(),
            copies=copies,
            committed=loaded.committed,
        )
        # The last record that the state machine has applied; consensus is
        # ahead while an output is being synced.
        self._applied = loaded.log.snapshot.index
        self._peers: dict[consensus.ReplicaId, channel.Channel] = {}
        self._wake = asyncio.Event()
        # Records already known to be committed are applied at once.
        self._wake.set()
        self._number = 0
        self._forwarded: dict[int, asyncio.Future[commands.Result | None]] = {}
        self._proposed: dict[int, asyncio.Future[commands.Result | None]] = {}
        self._reads: dict[int, asyncio.Future[consensus.Index | None]] = {}
        self._applied_waiters: list[tuple[int, asyncio.Future[None]]] = []
        self._watchers: set[Watcher] = set()
        # Bytes of commands in the log since its last snapshot.
        self._log_bytes = 0
        # Called for other replicas' messages that are not about the log.
        self.on_other_message: Callable[
            [consensus.ReplicaId, msgspec.Struct], None
        ] = lambda peer, msg: None

    # Queries.

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader, as far as it knows."""
        return self._raft.role is raft.Role.LEADER

    @property
    def leader(self) -> consensus.ReplicaId | None:
        """The leader, as far as this replica knows."""
        return self._raft.leader

    @property
    def config(self) -> consensus.Config:
        """The voters and learners of the site."""
        return self._raft.config

    @property
    def term(self) -> int:
        """The current term."""
        return self._raft.term

    @property
    def mark(self) -> storage.CommitMark | None:
        """The last applied record, or None if there is none."""
        term = self._raft.log.term_at(self._applied)
        if term is None or self._applied == 0:
            return None
        return storage.CommitMark(index=self._applied, term=term)

    def in_quorum_contact(self) -> bool:
        """Whether this replica was recently in contact with a quorum."""
        return self._raft.in_quorum_contact(self._loop.time())

    def silence(self, peer: consensus.ReplicaId) -> float:
        """Return the seconds since a replica's last reply to this leader."""
        return self._raft.silence(peer, self._loop.time())

    def caught_up(self, peer: consensus.ReplicaId) -> bool:
        """Whether a replica holds all records committed by this leader."""
        return self._raft.caught_up(peer)

    # Links to other replicas.

    def connect(
        self, peer: consensus.ReplicaId, conn: channel.Channel
    ) -> None:
        """Use a new link to another replica in place of an older one."""
        self._peers[peer] = conn
        conn.attach(
            receive=lambda msg: self._on_message(peer, msg),
            closed=lambda: self._on_closed(peer, conn),
        )
        self._raft.linked(self._peers, self._loop.time())
        self._raft.relinked(peer)

    def accept(self, peer: consensus.ReplicaId, conn: channel.Channel) -> None:
        """Receive messages on a link that another replica opened."""
        conn.attach(
            receive=lambda msg: self._on_message(peer, msg),
            closed=lambda: None,
        )

    def _on_closed(
        self, peer: consensus.ReplicaId, conn: channel.Channel
    ) -> None:
        if self._peers.get(peer) is not conn:
            return
        del self._peers[peer]
        if peer == self.leader:
            self._raft.lost_link(peer, self._loop.time())
            self._abandon_forwarded()

    def _abandon_forwarded(self) -> None:
        # The leader may or may not have received them.
        forwarded, reads = self._forwarded, self._reads
        self._forwarded, self._reads = {}, {}
        for fut in forwarded.values():
            _settle(fut, None)
        for read in reads.values():
            _settle(read, None)

    def _on_message(
        self, peer: consensus.ReplicaId, msg: msgspec.Struct
    ) -> None:
        if isinstance(msg, messages.Forward):
            self._on_forward(peer, msg)
        elif isinstance(msg, messages.Forwarded):
            _settle(self._forwarded.pop(msg.number, None), msg.result)
        elif isinstance(msg, messages.ReadRequest):
            self._on_read_request(peer, msg)
        elif isinstance(msg, messages.ReadIndex):
            _settle(self._reads.pop(msg.number, None), msg.index)
        elif isinstance(msg, messages.StatusReport):
            for status in msg.seen:
                self.last_statuses[status.name] = (status, self._loop.time())
        elif isinstance(msg, _CONSENSUS):
            self._raft.receive(msg, self._loop.time())
            self._wake.set()
        elif not isinstance(msg, messages.ReplicaHello):
            self.on_other_message(peer, msg)

    def send(self, peer: consensus.ReplicaId, msg: msgspec.Struct) -> None:
        """Send a message that is not about the log; dropped without a link."""
        self._send(peer, msg)

    def broadcast(self, msg: msgspec.Struct) -> None:
        """Send a message that is not about the log to all linked replicas."""
        for peer in list(self._peers):
            self._send(peer, msg)

    def _send(self, peer: consensus.ReplicaId, msg: msgspec.Struct) -> None:
        conn = self._peers.get(peer)
        if conn is not None:
            conn.send(msg)

    # Commands and reads.

    async def commit(self, cmd: commands.AnyCommand) -> commands.Result | None:
        """Commit a command and return its result.

        None means that the result is unknown: the command may have been
        committed, and may be sent again with the same operation id.

        Raises TooLargeError for one that can't be sent to other replicas; it
        would keep all later ones from being committed.
        """
        fut: asyncio.Future[commands.Result | None]
        fut = self._loop.create_future()
        data = codec.encode(cmd)
        if len(data) > MAX_COMMAND_BYTES:
            raise exceptions.TooLargeError(
                f"a change has at most {MAX_COMMAND_BYTES} bytes"
            )
        await self._wait_for_leader()
        if self.is_leader:
            self._propose(data, fut)
        elif self.leader is not None:
            number = self._next_number()
            self._forwarded[number] = fut
            self._send(
                self.leader, messages.Forward(number=number, command=data)
            )
        else:
            return None
        return await _wait_for_result(fut)

    async def _wait_for_leader(self) -> None:
        until = self._loop.time() + _TIMEOUT_S
        while self.leader is None and self._loop.time() < until:
            await asyncio.sleep(_TICK_S)

    def _propose(
        self, data: bytes, fut: asyncio.Future[commands.Result | None]
    ) -> None:
        index = self._raft.propose(data, self._loop.time())
        if index is None:
            _settle(fut, None)
            return
        self._proposed[index] = fut
        self._wake.set()

    def _on_forward(
        self, peer: consensus.ReplicaId, msg: messages.Forward
    ) -> None:
        fut: asyncio.Future[commands.Result | None]
        fut = self._loop.create_future()

        def reply(done: asyncio.Future[commands.Result | None]) -> None:
            result = None if done.cancelled() else done.result()
            self._send(
                peer, messages.Forwarded(number=msg.number, result=result)
            )

        fut.add_done_callback(reply)
        self._propose(msg.command, fut)

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    async def confirm_read(self) -> bool:
        """Wait until the state includes all changes committed before the call.

        Returns False if no quorum confirms that in time.
        """
        until = self._loop.time() + _TIMEOUT_S
        while self._loop.time() < until:
            index = await self._read_index()
            if index is not None:
                return await self._wait_applied(index)
            # There is no leader, or it is too new to confirm a read.
            await asyncio.sleep(_TICK_S)
        return False

    async def _read_index(self) -> consensus.Index | None:
        fut: asyncio.Future[consensus.Index | None]
        fut = self._loop.create_future()
        number = self._next_number()
        self._reads[number] = fut
        if self.is_leader:
            self._read_as_leader(number, fut)
        elif self.leader is not None:
            self._send(self.leader, messages.ReadRequest(number=number))
        else:
            del self._reads[number]
            return None
        index = await _wait_for_result(fut)
        self._reads.pop(number, None)
        return index

    def _read_as_leader(
        self,
        number: int,
        fut: asyncio.Future[consensus.Index | None],
    ) -> None:
        self._reads[number] = fut
        if not self._raft.read(number, self._loop.time()):
            _settle(self._reads.pop(number, None), None)
        self._wake.set()

    def _on_read_request(
        self, peer: consensus.ReplicaId, msg: messages.ReadRequest
    ) -> None:
        fut: asyncio.Future[consensus.Index | None]
        fut = self._loop.create_future()

        def reply(done: asyncio.Future[consensus.Index | None]) -> None:
            index = None if done.cancelled() else done.result()
            self._send(
                peer, messages.ReadIndex(number=msg.number, index=index)
            )

        fut.add_done_callback(reply)
        self._read_as_leader(self._next_number(), fut)

    async def _wait_applied(self, index: int) -> bool:
        if self._applied >= index:
            return True
        fut: asyncio.Future[None] = self._loop.create_future()
        self._applied_waiters.append((index, fut))
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                await fut
        except TimeoutError:
            return False
        return True

    def change_config(self, new: consensus.Config) -> None:
        """Propose a new config; raises ControlError if it is refused."""
        reason = self._raft.change_config(new, self._loop.time())
        self._wake.set()
        if reason is not None:
            raise exceptions.ControlError(reason)

    def resign(self) -> None:
        """Stop to lead, if this replica does."""
        self._raft.resign(self._loop.time())
        self._wake.set()

    # Watchers and the status of processes.

    @contextlib.contextmanager
    def watched(self, watcher: Watcher) -> Iterator[None]:
        """Call `watcher` with changes, or with None after a new snapshot."""
        self._watchers.add(watcher)
        try:
            yield
        finally:
            self._watchers.discard(watcher)

    def record_status(self, status: messages.Status) -> None:
        """Record the status of a process linked to this replica."""
        self.last_statuses[status.name] = (status, self._loop.time())
        self._unreported[status.name] = status

    # The task.

    async def run(self) -> None:
        """Run the replica until cancelled.

        Raises StorageError if the disk fails; the replica must then be
        restarted, as the content of the disk is unknown.
        """
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_TICK_S):
                    await self._wake.wait()
            self._wake.clear()
            self._raft.tick(self._loop.time())
            await self._execute(self._raft.take_output())
            self._report_statuses()

    async def _execute(self, out: output.Output) -> None:
        if out.install is not None:
            await self._install(out)
        await self._disk.save(out)
        for send in out.sends:
            self._send(send.to, send.msg)
        if out.lost_leadership:
            self._abandon_proposed()
        self._apply(out.committed)
        for token, confirmed in out.reads:
            index = self._raft.commit if confirmed else None
            _settle(self._reads.pop(token, None), index)
        if self._is_log_long():
            await self._compact()

    def _is_log_long(self) -> bool:
        records = self._applied - self._raft.log.snapshot.index
        return records >= self._compact_at or (
            records > 0 and self._log_bytes >= COMPACT_BYTES
        )

    async def _install(self, out: output.Output) -> None:
        snapshot = out.install
        assert snapshot is not None
        await self._disk.compact(snapshot, self._raft.hard, self._raft.log)
        self.machine.restore(_IMAGES.decode(snapshot.data))
        self._applied = snapshot.index
        for watcher in list(self._watchers):
            watcher(None)

    async def _compact(self) -> None:
        image = codec.encode(self.machine.image())
        snapshot = self._raft.compact(self._applied, image)
        await self._disk.compact(snapshot, self._raft.hard, self._raft.log)
        self._log_bytes = 0

    def _apply(self, entries: list[consensus.Entry]) -> None:
        before = self.machine.revision
        for entry in entries:
            result: commands.Result | None = None
            self._log_bytes += len(entry.data)
            if entry.data:
                result = self._apply_entry(entry)
            _settle(self._proposed.pop(entry.index, None), result)
        if self.machine.revision != before:
            changes = self.machine.changes_after(before)
            for watcher in list(self._watchers):
                watcher(changes)
        if entries:
            self._applied = entries[-1].index
        applied = self._applied
        for index, fut in self._applied_waiters:
            if index <= applied:
                _settle(fut, None)
        self._applied_waiters = [
            item for item in self._applied_waiters if item[0] > applied
        ]

    def _apply_entry(self, entry: consensus.Entry) -> commands.Result:
        """Apply a record; reject it if that raises an exception.

        All replicas of the same version fail alike, also after a restart.
        Raises CodecError for a record that can't be decoded, as a newer
        version can apply it.
        """
        cmd = _COMMANDS.decode(entry.data)
        try:
            return self.machine.apply(cmd)
        except Exception as exc:
            logs.say(
                logs.Part.CONTROL,
                "Record left out.",
                index=entry.index,
                kind=type(cmd).__name__,
                why=repr(exc),
            )
            return commands.Rejected(why="it can't be applied")

    def _abandon_proposed(self) -> None:
        # Another leader may or may not commit them.
        proposed = self._proposed
        self._proposed = {}
        for fut in proposed.values():
            _settle(fut, None)

    def _report_statuses(self) -> None:
        now = self._loop.time()
        if (
            now - self._report_sent_at < _REPORT_INTERVAL_S
            or not self._unreported
        ):
            return
        if self.leader is not None and not self.is_leader:
            seen = tuple(self._unreported.values())
            self._send(self.leader, messages.StatusReport(seen=seen))
        self._report_sent_at = now
        self._unreported = {}


async def _wait_for_result(fut: asyncio.Future[T | None]) -> T | None:
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            return await fut
    except TimeoutError:
        return None


def _settle(fut: asyncio.Future[T] | None, value: T) -> None:
    if fut is not None and not fut.done():
        fut.set_result(value)
