"""The storage of a replica cuts off torn frames and refuses damage."""

import asyncio
import errno
import os
import pathlib

import pytest

from rackpost.consensus import log as log_mod
from rackpost.consensus import messages as m
from rackpost.consensus import output
from rackpost.consensus import storage
from rackpost.coordinator import disk as coordinator_disk
from rackpost import exceptions
from rackpost.link import codec

CONFIG = m.Config(voters=(m.ReplicaId("c0"),))


def one_record(index: int, term: int = 1, data: bytes = b"x") -> output.Output:
    out = output.Output()
    out.hard = m.HardState(term=m.Term(term))
    out.append = [m.Entry(index=m.Index(index), term=m.Term(term), data=data)]
    return out


def fill(folder: pathlib.Path, count: int) -> None:
    storage.create(folder, replica=m.ReplicaId("c0"), config=CONFIG)
    disk = storage.FileDisk(folder=folder)
    disk.load()

    async def main() -> None:
        for index in range(1, count + 1):
            await disk.save(one_record(index))

    asyncio.run(main())
    disk.close()


def load(folder: pathlib.Path) -> storage.StoredState:
    disk = storage.FileDisk(folder=folder)
    try:
        return disk.load()
    finally:
        disk.close()


def test_what_was_synced_is_there_after_a_restart(
    tmp_path: pathlib.Path,
) -> None:
    fill(tmp_path, 5)
    found = load(tmp_path)
    assert found.log.last_index == 5
    assert found.hard.term == 1
    assert found.torn_bytes == 0


def test_records_larger_than_a_frame_together_are_there_after_a_restart(
    tmp_path: pathlib.Path,
) -> None:
    """They are written at once; the replica could not start any more."""
    storage.create(tmp_path, replica=m.ReplicaId("c0"), config=CONFIG)
    disk = storage.FileDisk(folder=tmp_path)
    disk.load()
    size = codec.MAX_FRAME // 5
    out = one_record(1, data=bytes(size))
    for index in range(2, 7):
        out.append += one_record(index, data=bytes(size)).append
    snapshot = m.Snapshot(
        index=m.Index(3),
        term=m.Term(1),
        config=CONFIG,
        data=bytes(codec.MAX_FRAME),
    )

    async def main() -> None:
        await disk.save(out)
        assert load(tmp_path).log.last_index == 6
        log = log_mod.Log()
        log.append(out.append)
        log.compact(snapshot)
        await disk.compact(snapshot, m.HardState(term=m.Term(1)), log)

    asyncio.run(main())
    disk.close()
    assert load(tmp_path).log.last_index == 6
    assert load(tmp_path).log.snapshot == snapshot


@pytest.mark.parametrize(
    "voters, committed, last_index",
    [(("c0", "c1", "c2"), 0, 1), (("c0", "c1", "c2"), 2, 3), (("c0",), 0, 3)],
)
def test_a_record_that_no_link_can_carry_blocks_no_later_ones(
    voters: tuple[m.ReplicaId, ...],
    committed: int,
    last_index: int,
    tmp_path: pathlib.Path,
) -> None:
    """A leader that restarted with it could commit nothing any more."""
    storage.create(
        tmp_path, replica=m.ReplicaId("c0"), config=m.Config(voters=voters)
    )
    disk = storage.FileDisk(folder=tmp_path)
    disk.load()

    async def main() -> None:
        await disk.save(one_record(1))
        await disk.save(one_record(2, data=bytes(codec.MAX_FRAME + 1)))
        await disk.save(one_record(3))
        if committed:
            mark = storage.CommitMark(index=m.Index(committed), term=m.Term(1))
            await disk.record_committed(mark)

    asyncio.run(main())
    disk.close()
    assert load(tmp_path).log.last_index == last_index


def write_mark(folder: pathlib.Path, index: int, term: int) -> None:
    """Write a commit mark to a folder."""
    mark = storage.CommitMark(index=m.Index(index), term=m.Term(term))
    disk = storage.FileDisk(folder=folder)
    asyncio.run(disk.record_committed(mark))


def test_what_is_known_to_be_committed_is_there_after_a_restart(
    tmp_path: pathlib.Path,
) -> None:
    fill(tmp_path, 5)
    assert load(tmp_path).committed == 0
    write_mark(tmp_path, 3, 1)
    assert load(tmp_path).committed == 3


def test_a_commit_mark_that_the_log_does_not_hold_tells_nothing(
    tmp_path: pathlib.Path,
) -> None:
    fill(tmp_path, 2)
    for index, term in ((3, 1), (2, 2)):
        write_mark(tmp_path, index, term)
        assert load(tmp_path).committed == 0
    path = tmp_path / "committed"
    path.write_bytes(path.read_bytes()[:-1])
    assert load(tmp_path).committed == 0


def test_a_torn_end_is_cut_at_every_byte(tmp_path: pathlib.Path) -> None:
    fill(tmp_path, 3)
    whole = (tmp_path / "log").read_bytes()
    ends = [len(whole) - cut for cut in range(1, len(whole) // 3)]
    for end in ends:
        (tmp_path / "log").write_bytes(whole[:end])
        found = load(tmp_path)
        assert found.log.last_index == 2
        assert found.torn_bytes > 0


def test_damage_in_the_middle_is_refused_and_says_so(
    tmp_path: pathlib.Path,
) -> None:
    fill(tmp_path, 4)
    path = tmp_path / "log"
    whole = bytearray(path.read_bytes())
    for at in range(len(whole) // 2):
        bad = bytearray(whole)
        bad[at] ^= 0x40
        path.write_bytes(bad)
        with pytest.raises(exceptions.StorageError, match="damaged"):
            load(tmp_path)


def test_a_replica_without_its_disk_does_not_start(
    tmp_path: pathlib.Path,
) -> None:
    with pytest.raises(exceptions.StorageError, match="--join"):
        load(tmp_path)


def test_a_crash_between_snapshot_and_log_loses_nothing(
    tmp_path: pathlib.Path,
) -> None:
    fill(tmp_path, 6)
    before = (tmp_path / "log").read_bytes()
    disk = storage.FileDisk(folder=tmp_path)
    found = disk.load()
    snapshot = m.Snapshot(
        index=m.Index(4), term=m.Term(1), config=CONFIG, data=b"state"
    )
    found.log.compact(snapshot)

    async def main() -> None:
        await disk.compact(snapshot, found.hard, found.log)

    asyncio.run(main())
    disk.close()
    (tmp_path / "log").write_bytes(before)
    again = load(tmp_path)
    assert again.log.snapshot.index == 4
    assert again.log.last_index == 6


def test_a_new_term_replaces_what_it_overwrites(
    tmp_path: pathlib.Path,
) -> None:
    fill(tmp_path, 4)
    disk = storage.FileDisk(folder=tmp_path)
    disk.load()
    out = one_record(3, term=2, data=b"new")
    out.cut_from = m.Index(3)

    async def main() -> None:
        await disk.save(out)

    asyncio.run(main())
    disk.close()
    log = load(tmp_path).log
    assert log.last_index == 3
    assert log.entries_after(2, 9)[0].data == b"new"


def test_a_log_with_a_hole_is_refused() -> None:
    log = log_mod.Log()
    batch = storage.Batch(entries=tuple(one_record(2).append))
    with pytest.raises(exceptions.StorageError):
        storage.replay(log, batch)


def test_a_write_that_failed_in_part_is_cut_off_before_the_next(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """On a full disk, a partial frame must not remain before good ones."""
    storage.create(tmp_path, replica=m.ReplicaId("c0"), config=CONFIG)
    disk = storage.FileDisk(folder=tmp_path)
    disk.load()
    write = os.write

    def full(handle: int, data: memoryview) -> int:
        if len(data) > 10:
            return write(handle, data[:10])
        raise OSError(errno.ENOSPC, "no space left on device")

    async def main() -> None:
        await disk.save(one_record(1))
        monkeypatch.setattr(os, "write", full)
        for _ in range(2):
            with pytest.raises(exceptions.StorageError):
                await disk.save(one_record(2))
        monkeypatch.setattr(os, "write", write)
        await disk.save(one_record(2))
        await disk.save(one_record(3))

    asyncio.run(main())
    disk.close()
    found = load(tmp_path)
    assert found.log.last_index == 3
    assert found.torn_bytes == 0


def test_a_compaction_that_failed_can_be_done_again(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    storage.create(tmp_path, replica=m.ReplicaId("c0"), config=CONFIG)
    disk = storage.FileDisk(folder=tmp_path)
    log = disk.load().log
    for index in (1, 2, 3):
        log.append(one_record(index).append)
    snapshot = m.Snapshot(index=m.Index(2), term=m.Term(1), config=CONFIG)
    hard = m.HardState(term=m.Term(1))
    sync = os.fsync
    allowed_syncs = [1]

    def failing(handle: int) -> None:
        # Fails once `allowed_syncs` is used up.
        allowed_syncs[0] -= 1
        if allowed_syncs[0] < 0:
            raise OSError(errno.ENOSPC, "no space left on device")
        sync(handle)

    async def main() -> None:
        for index in (1, 2, 3):
            await disk.save(one_record(index))
        monkeypatch.setattr(os, "fsync", failing)
        for allowed in (0, 1, 2, 3):
            allowed_syncs[0] = allowed
            with pytest.raises(OSError):
                await disk.compact(snapshot, hard, log)
            assert not list(tmp_path.glob("*.part"))
        monkeypatch.setattr(os, "fsync", sync)
        await disk.compact(snapshot, hard, log)
        await disk.save(one_record(4))

    asyncio.run(main())
    disk.close()
    found = load(tmp_path)
    assert found.log.snapshot.index == 2
    assert found.log.last_index == 4


def test_a_coordinators_disk_is_tried_until_it_takes_what_it_must(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    disk, _ = coordinator_disk.open_disk(
        tmp_path, host="h", first_hosts=("h",)
    )
    retrying = coordinator_disk.RetryingDisk(disk=disk)
    sync = os.fdatasync
    failures = [3]

    def failing(handle: int) -> None:
        if failures[0]:
            failures[0] -= 1
            raise OSError(errno.EIO, "input/output error")
        sync(handle)

    async def main() -> None:
        monkeypatch.setattr(os, "fdatasync", failing)
        await retrying.save(one_record(1))

    asyncio.run(main())
    disk.close()
    assert failures == [0]
    assert load(tmp_path).log.last_index == 1


def test_a_damaged_log_is_set_aside_and_the_replica_is_new(
    tmp_path: pathlib.Path,
) -> None:
    fill(tmp_path, 3)
    path = tmp_path / "log"
    data = bytearray(path.read_bytes())
    data[20] ^= 0xFF
    path.write_bytes(bytes(data))
    disk, loaded = coordinator_disk.open_disk(
        tmp_path, host="h", first_hosts=("h",)
    )
    disk.close()
    assert loaded.identity.replica.startswith("h#")
    assert loaded.identity.config.voters == ()
    assert loaded.log.last_index == 0
    assert (tmp_path / "log.damaged").exists()
