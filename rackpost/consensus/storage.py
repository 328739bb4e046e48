"""The log and snapshots of a replica on its disk.

A data folder holds `identity`, `snapshot`, `log` and, as a hint for the
next start, `committed`.  The log is a row of
frames; each frame is what was synced at once: a header of magic, length,
checksum of the payload and checksum of the header, then the payload.  A
frame is only written when the one before it was synced, so a bad frame
with a good one behind it is damage and not a torn write.
"""

import abc
import asyncio
import os
import pathlib
import struct
import zlib

import msgspec

from rackpost.consensus import log as log_mod
from rackpost.consensus import messages as m
from rackpost.consensus import output
from rackpost import exceptions
from rackpost.link import codec

_MAGIC = b"RPL1"
_HEADER = struct.Struct("<4sII")
_CHECK = struct.Struct("<I")
_HEADER_SIZE = _HEADER.size + _CHECK.size


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """Whose disk this is; a lost disk loses it, and with it the id."""

    replica: m.ReplicaId
    config: m.Config


class Batch(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """What one sync made durable.

    The entries take the place of any with the same or a higher index.
    """

    hard: m.HardState | None = None
    entries: tuple[m.Entry, ...] = ()
    cut_from: m.Index | None = None


class CommitMark(msgspec.Struct, frozen=True, kw_only=True):
    """A record that is known to be committed, and so all before it."""

    index: m.Index
    term: m.Term


class StoredState(msgspec.Struct, kw_only=True):
    """What a replica restarts from.

    Records up to `committed` were committed when the replica ended.
    """

    identity: Identity
    hard: m.HardState
    log: log_mod.Log
    committed: m.Index = m.Index(0)
    torn_bytes: int = 0


class Disk(abc.ABC):
    """Where a replica keeps what it must not forget."""

    @abc.abstractmethod
    async def save(self, out: output.Output) -> None:
        """Make an output durable; returns once it is synced."""

    @abc.abstractmethod
    async def compact(
        self, snapshot: m.Snapshot, hard: m.HardState, log: log_mod.Log
    ) -> None:
        """Put a snapshot, and the records after it, in place of all."""


def batch_of(out: output.Output) -> Batch | None:
    """What of an output goes into the log; None if nothing does."""
    if out.hard is None and not out.append and out.cut_from is None:
        return None
    return Batch(
        hard=out.hard, entries=tuple(out.append), cut_from=out.cut_from
    )


def replay(log: log_mod.Log, batch: Batch) -> None:
    """Bring a log in memory to where it was after a batch."""
    if batch.cut_from is not None:
        if log.snapshot.index < batch.cut_from <= log.last_index:
            log.cut(batch.cut_from)
    for entry in batch.entries:
        if entry.index <= log.snapshot.index:
            continue
        if entry.index <= log.last_index:
            log.cut(entry.index)
        if entry.index != log.last_index + 1:
            raise exceptions.StorageError(
                f"record {entry.index} follows {log.last_index}"
            )
        log.append([entry])


def frame(payload: bytes) -> bytes:
    """A payload with its header."""
    head = _HEADER.pack(_MAGIC, len(payload), zlib.crc32(payload))
    return head + _CHECK.pack(zlib.crc32(head)) + payload


def _frame_at(data: bytes, at: int) -> bytes | None:
    """The payload of a good frame that begins at `at`, else None."""
    head = data[at : at + _HEADER.size]
    check = data[at + _HEADER.size : at + _HEADER_SIZE]
    if len(check) < _CHECK.size:
        return None
    magic, size, crc = _HEADER.unpack(head)
    if magic != _MAGIC or _CHECK.unpack(check)[0] != zlib.crc32(head):
        return None
    payload = data[at + _HEADER_SIZE : at + _HEADER_SIZE + size]
    if len(payload) < size or zlib.crc32(payload) != crc:
        return None
    return payload


def read_frames(data: bytes) -> tuple[list[bytes], int]:
    """All payloads, and how many good bytes there are.

    Raises StorageError where a bad frame has a good one behind it.
    """
    found = []
    at = 0
    while at < len(data):
        payload = _frame_at(data, at)
        if payload is None:
            break
        found.append(payload)
        at += _HEADER_SIZE + len(payload)
    later = data.find(_MAGIC, at + 1)
    while later != -1:
        if _frame_at(data, later) is not None:
            raise exceptions.StorageError(
                f"the log is damaged at byte {at}, with good records "
                f"behind it from byte {later}: replace this replica"
            )
        later = data.find(_MAGIC, later + 1)
    return found, at


def _sync_dir(path: pathlib.Path) -> None:
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def write_atomically(path: pathlib.Path, data: bytes) -> None:
    """Put a file in place, whole and synced, or leave the old one."""
    part = path.with_suffix(".part")
    try:
        with open(part, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
    except OSError:
        # On a full disk the half would keep its place.
        part.unlink(missing_ok=True)
        raise
    os.replace(part, path)
    _sync_dir(path.parent)


def write_one(path: pathlib.Path, msg: msgspec.Struct) -> None:
    """Put a file that holds one message in place; OSError if that fails."""
    write_atomically(path, frame(codec.encode(msg)))


def read_one(path: pathlib.Path, kind: type) -> msgspec.Struct:
    """The one message that a file holds.

    Raises OSError, or StorageError or CodecError where it is damaged.
    """
    frames, good = read_frames(path.read_bytes())
    if len(frames) != 1 or good != path.stat().st_size:
        raise exceptions.StorageError(f"{path.name} is damaged")
    return codec.Decoder(kinds=kind).decode(frames[0])


def create(
    folder: pathlib.Path, *, replica: m.ReplicaId, config: m.Config
) -> None:
    """Make a new replica's data folder; StorageError if there is one.

    `config` holds the first voters of a new site, or is empty for a
    replica that will be added to a site.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / "identity"
    if path.exists():
        raise exceptions.StorageError(f"{folder} has a replica already")
    identity = Identity(replica=replica, config=config)
    write_atomically(path, frame(codec.encode(identity)))


class FileDisk(Disk):
    """A data folder, open for one replica."""

    def __init__(self, *, folder: pathlib.Path) -> None:
        self._folder = folder
        self._log = folder / "log"
        self._handle = -1
        # Bytes of the log that are good, and whether others may follow.
        self._size = 0
        self._dirty = False

    def load(self) -> StoredState:
        """Read all, cut a torn end, and open the log for writing.

        Raises StorageError where there is no replica or it is damaged.
        """
        identity = self._load_identity()
        snapshot = self._load_snapshot(identity)
        log = log_mod.Log(snapshot)
        hard = m.HardState(term=snapshot.term)
        data = self._log.read_bytes() if self._log.exists() else b""
        frames, good = read_frames(data)
        decoder = codec.Decoder(kinds=Batch)
        for payload in frames:
            batch: Batch = decoder.decode(payload)
            hard = batch.hard or hard
            replay(log, batch)
        self._open(good)
        return StoredState(
            identity=identity,
            hard=hard,
            log=log,
            committed=self._load_committed(log),
            torn_bytes=len(data) - good,
        )

    def _load_committed(self, log: log_mod.Log) -> m.Index:
        """Up to where the log is known to be committed.

        A mark that is damaged, or whose record the log does not hold,
        tells nothing: a quorum says it again.
        """
        path = self._folder / "committed"
        try:
            mark = read_one(path, CommitMark)
        except (OSError, exceptions.RackpostError):
            return log.snapshot.index
        assert isinstance(mark, CommitMark)
        if log.term_at(mark.index) != mark.term:
            return log.snapshot.index
        return mark.index

    async def record_committed(self, mark: CommitMark) -> None:
        """Keep a mark for the next start; StorageError if that fails."""
        path = self._folder / "committed"
        try:
            await asyncio.to_thread(write_one, path, mark)
        except OSError as exc:
            raise exceptions.StorageError(f"committed: {exc}") from exc

    def _load_identity(self) -> Identity:
        path = self._folder / "identity"
        if not path.exists():
            raise exceptions.StorageError(
                f"no replica in {self._folder}; make one with "
                "'rackpost-control init', or, for one that lost its disk, "
                "with 'rackpost-control init --join' under a new id"
            )
        found = read_one(path, Identity)
        assert isinstance(found, Identity)
        return found

    def _load_snapshot(self, identity: Identity) -> m.Snapshot:
        path = self._folder / "snapshot"
        if not path.exists():
            return m.Snapshot(
                index=m.Index(0), term=m.Term(0), config=identity.config
            )
        found = read_one(path, m.Snapshot)
        assert isinstance(found, m.Snapshot)
        return found

    def _open(self, good: int) -> None:
        flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
        self._handle = os.open(self._log, flags, 0o600)
        os.ftruncate(self._handle, good)
        os.fsync(self._handle)
        self._size = good
        _sync_dir(self._folder)

    async def save(self, out: output.Output) -> None:
        """Write and sync an output, off the event loop."""
        batch = batch_of(out)
        if batch is not None:
            await asyncio.to_thread(self._append, codec.encode(batch))

    def _append(self, payload: bytes) -> None:
        data = frame(payload)
        try:
            if self._dirty:
                # A part of a frame, with good ones behind, is damage.
                os.ftruncate(self._handle, self._size)
            self._dirty = True
            view = memoryview(data)
            while view:
                view = view[os.write(self._handle, view) :]
            os.fdatasync(self._handle)
        except OSError as exc:
            # What reached the disk is not known; it is cut off before the
            # next frame is written, or at a restart.
            raise exceptions.StorageError(f"log: {exc}") from exc
        self._dirty = False
        self._size += len(data)

    async def compact(
        self, snapshot: m.Snapshot, hard: m.HardState, log: log_mod.Log
    ) -> None:
        """Write the snapshot, then a log of what follows it."""
        rest = Batch(hard=hard, entries=log.upto(snapshot.index, 1 << 60))
        await asyncio.to_thread(self._replace, snapshot, rest)

    def _replace(self, snapshot: m.Snapshot, rest: Batch) -> None:
        # A crash between the two leaves old records, which are skipped
        # as they lie below the snapshot.
        whole = frame(codec.encode(snapshot))
        write_atomically(self._folder / "snapshot", whole)
        data = frame(codec.encode(rest))
        write_atomically(self._log, data)
        # The old log stays open until the new one is, so that this can be
        # done again where the disk fails.
        old = self._handle
        self._handle = os.open(self._log, os.O_RDWR | os.O_APPEND)
        os.close(old)
        self._size = len(data)
        self._dirty = False

    def close(self) -> None:
        """Let go of the log."""
        if self._handle >= 0:
            os.close(self._handle)
            self._handle = -1
