"""The log and snapshots of a replica on its disk.

A data folder holds `identity`, `snapshot`, `log` and, as a hint for the
next start, `committed`.  The log is a sequence of frames, each synced before
the next is written: a header of magic, length, checksum of the payload and
checksum of the header, then the payload.  A bad frame before a good one is
therefore damage, not a torn write.
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
_HEADER_CHECK = struct.Struct("<I")
_HEADER_SIZE = _HEADER.size + _HEADER_CHECK.size


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """The replica that owns a disk; its id is lost with the disk."""

    replica: m.ReplicaId
    config: m.Config


class Batch(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The changes that one frame makes durable.

    The entries replace all with the same or a higher index.
    """

    hard: m.HardState | None = None
    entries: tuple[m.Entry, ...] = ()
    cut_from: m.Index | None = None


class CommitMark(msgspec.Struct, frozen=True, kw_only=True):
    """The last record known to be committed."""

    index: m.Index
    term: m.Term


class StoredState(msgspec.Struct, kw_only=True):
    """The state that a replica restarts from.

    Records up to `committed` are known to be committed; `torn_bytes` were cut
    off the end of the log.
    """

    identity: Identity
    hard: m.HardState
    log: log_mod.Log
    committed: m.Index = m.Index(0)
    torn_bytes: int = 0


class Disk(abc.ABC):
    """The durable storage of a replica."""

    @abc.abstractmethod
    async def save(self, out: output.Output) -> None:
        """Make an output durable; returns once it is synced."""

    @abc.abstractmethod
    async def compact(
        self, snapshot: m.Snapshot, hard: m.HardState, log: log_mod.Log
    ) -> None:
        """Replace the whole log by a snapshot and the records after it."""


def batch_of(out: output.Output) -> Batch | None:
    """Return the part of an output for the log, or None if it is empty."""
    if out.hard is None and not out.append and out.cut_from is None:
        return None
    return Batch(
        hard=out.hard, entries=tuple(out.append), cut_from=out.cut_from
    )


def replay(log: log_mod.Log, batch: Batch) -> None:
    """Apply a batch to a log in memory."""
    if batch.cut_from is not None:
        if log.snapshot.index < batch.cut_from <= log.last_index:
            log.truncate_from(batch.cut_from)
    for entry in batch.entries:
        if entry.index <= log.snapshot.index:
            continue
        if entry.index <= log.last_index:
            log.truncate_from(entry.index)
        if entry.index != log.last_index + 1:
            raise exceptions.StorageError(
                f"record {entry.index} follows {log.last_index}"
            )
        log.append([entry])


def drop_unsendable(log: log_mod.Log, committed: m.Index) -> None:
    """Drop a record that no link can carry, and all after it.

    Earlier releases proposed such records, and nothing could be committed
    after one.  No other replica has received it, so that it can't be
    committed where a quorum has more than one replica.
    """
    for entry in log.entries_between(committed, log.last_index):
        is_alone = log.config_at(entry.index).quorum < 2
        if len(entry.data) > codec.MAX_FRAME and not is_alone:
            log.truncate_from(entry.index)
            return


def frame(payload: bytes) -> bytes:
    """Return a payload with its header."""
    head = _HEADER.pack(_MAGIC, len(payload), zlib.crc32(payload))
    return head + _HEADER_CHECK.pack(zlib.crc32(head)) + payload


def _frame_at(data: bytes, at: int) -> bytes | None:
    """Return the payload of the frame at `at`, or None if it is bad."""
    head = data[at : at + _HEADER.size]
    check = data[at + _HEADER.size : at + _HEADER_SIZE]
    if len(check) < _HEADER_CHECK.size:
        return None
    magic, size, crc = _HEADER.unpack(head)
    if magic != _MAGIC or _HEADER_CHECK.unpack(check)[0] != zlib.crc32(head):
        return None
    payload = data[at + _HEADER_SIZE : at + _HEADER_SIZE + size]
    if len(payload) < size or zlib.crc32(payload) != crc:
        return None
    return payload


def read_frames(data: bytes) -> tuple[list[bytes], int]:
    """Return all payloads and the number of good bytes.

    Raises StorageError if a good frame follows a bad one.
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
                f"from byte {later} on: replace this replica"
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
    """Replace a file by a synced one, or keep the old one on an error."""
    temporary = path.with_suffix(".part")
    try:
        with open(temporary, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
    except OSError:
        # Frees the space of the partial file on a full disk.
        temporary.unlink(missing_ok=True)
        raise
    os.replace(temporary, path)
    _sync_dir(path.parent)


def write_message(path: pathlib.Path, msg: msgspec.Struct) -> None:
    """Replace a file by one that holds one message; raises OSError."""
    write_atomically(path, frame(codec.encode(msg)))


def read_message(path: pathlib.Path, kind: type) -> msgspec.Struct:
    """Return the one message that a file holds.

    Raises OSError, or StorageError or CodecError if the file is damaged.
    """
    frames, good = read_frames(path.read_bytes())
    if len(frames) != 1 or good != path.stat().st_size:
        raise exceptions.StorageError(f"{path.name} is damaged")
    return codec.Decoder(kinds=kind, max_bytes=None).decode(frames[0])


def create(
    folder: pathlib.Path, *, replica: m.ReplicaId, config: m.Config
) -> None:
    """Create the data folder of a new replica.

    `config` holds the first voters of a new site, and is empty for a replica
    that joins a site.  Raises StorageError if the folder holds a replica.
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
        self._log_path = folder / "log"
        self._log_fd = -1
        # Length of the good part of the log, and whether a torn frame may
        # follow it.
        self._good_bytes = 0
        self._has_torn_frame = False

    def load(self) -> StoredState:
        """Read all files, cut off a torn frame and open the log for writing.

        Raises StorageError if there is no replica or it is damaged.
        """
        identity = self._load_identity()
        snapshot = self._load_snapshot(identity)
        log = log_mod.Log(snapshot)
        hard = m.HardState(term=snapshot.term)
        data = self._log_path.read_bytes() if self._log_path.exists() else b""
        frames, good = read_frames(data)
        decoder = codec.Decoder(kinds=Batch, max_bytes=None)
        for payload in frames:
            batch: Batch = decoder.decode(payload)
            hard = batch.hard or hard
            replay(log, batch)
        self._open_log(good)
        committed = self._load_committed(log)
        drop_unsendable(log, committed)
        return StoredState(
            identity=identity,
            hard=hard,
            log=log,
            committed=committed,
            torn_bytes=len(data) - good,
        )

    def _load_committed(self, log: log_mod.Log) -> m.Index:
        """Return the index up to which the log is known to be committed.

        A damaged mark, or one whose record the log does not hold, is
        ignored: the commit index is learned from a quorum again.
        """
        path = self._folder / "committed"
        try:
            mark = read_message(path, CommitMark)
        except (OSError, exceptions.RackpostError):
            return log.snapshot.index
        assert isinstance(mark, CommitMark)
        if log.term_at(mark.index) != mark.term:
            return log.snapshot.index
        return mark.index

    async def record_committed(self, mark: CommitMark) -> None:
        """Write a mark for the next start; raises StorageError."""
        path = self._folder / "committed"
        try:
            await asyncio.to_thread(write_message, path, mark)
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
        found = read_message(path, Identity)
        assert isinstance(found, Identity)
        return found

    def _load_snapshot(self, identity: Identity) -> m.Snapshot:
        path = self._folder / "snapshot"
        if not path.exists():
            return m.Snapshot(
                index=m.Index(0), term=m.Term(0), config=identity.config
            )
        found = read_message(path, m.Snapshot)
        assert isinstance(found, m.Snapshot)
        return found

    def _open_log(self, good: int) -> None:
        flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
        self._log_fd = os.open(self._log_path, flags, 0o600)
        os.ftruncate(self._log_fd, good)
        os.fsync(self._log_fd)
        self._good_bytes = good
        _sync_dir(self._folder)

    async def save(self, out: output.Output) -> None:
        """Write and sync an output, off the event loop."""
        batch = batch_of(out)
        if batch is not None:
            await asyncio.to_thread(self._append_frame, codec.encode(batch))

    def _append_frame(self, payload: bytes) -> None:
        data = frame(payload)
        try:
            if self._has_torn_frame:
                # A torn frame before a good one would count as damage.
                os.ftruncate(self._log_fd, self._good_bytes)
            self._has_torn_frame = True
            view = memoryview(data)
            while view:
                view = view[os.write(self._log_fd, view) :]
            os.fdatasync(self._log_fd)
        except OSError as exc:
            # The frame may be on the disk in part; it is cut off before the
            # next frame is written, or at a restart.
            raise exceptions.StorageError(f"log: {exc}") from exc
        self._has_torn_frame = False
        self._good_bytes += len(data)

    async def compact(
        self, snapshot: m.Snapshot, hard: m.HardState, log: log_mod.Log
    ) -> None:
        """Write the snapshot, then a log of the records after it."""
        rest = Batch(
            hard=hard, entries=log.entries_between(snapshot.index, 1 << 60)
        )
        await asyncio.to_thread(self._replace_files, snapshot, rest)

    def _replace_files(self, snapshot: m.Snapshot, rest: Batch) -> None:
        # A crash between the two writes leaves records that the snapshot
        # covers; `replay` skips them.
        whole = frame(codec.encode(snapshot))
        write_atomically(self._folder / "snapshot", whole)
        data = frame(codec.encode(rest))
        write_atomically(self._log_path, data)
        # The old log stays open until the new one is, so that a failure can
        # be retried.
        old = self._log_fd
        self._log_fd = os.open(self._log_path, os.O_RDWR | os.O_APPEND)
        os.close(old)
        self._good_bytes = len(data)
        self._has_torn_frame = False

    def close(self) -> None:
        """Close the log."""
        if self._log_fd >= 0:
            os.close(self._log_fd)
            self._log_fd = -1
