"""What lies on the disk: torn ends are cut, damage is refused."""

import asyncio
import pathlib

import pytest

from rackpost.consensus import log as log_mod
from rackpost.consensus import messages as m
from rackpost.consensus import raft
from rackpost.consensus import storage
from rackpost import exceptions

CONFIG = m.Config(voters=(m.ReplicaId("c0"),))


def output(index: int, term: int = 1, data: bytes = b"x") -> raft.Output:
    out = raft.Output()
    out.hard = m.HardState(term=m.Term(term))
    out.append = [m.Entry(index=m.Index(index), term=m.Term(term), data=data)]
    return out


def fill(folder: pathlib.Path, count: int) -> None:
    storage.create(folder, replica=m.ReplicaId("c0"), config=CONFIG)
    disk = storage.FileDisk(folder=folder)
    disk.load()

    async def main() -> None:
        for index in range(1, count + 1):
            await disk.save(output(index))

    asyncio.run(main())
    disk.close()


def load(folder: pathlib.Path) -> storage.Loaded:
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
    out = output(3, term=2, data=b"new")
    out.cut_from = m.Index(3)

    async def main() -> None:
        await disk.save(out)

    asyncio.run(main())
    disk.close()
    log = load(tmp_path).log
    assert log.last_index == 3
    assert log.after(2, 9)[0].data == b"new"


def test_a_log_with_a_hole_is_refused() -> None:
    log = log_mod.Log()
    batch = storage.Batch(entries=tuple(output(2).append))
    with pytest.raises(exceptions.StorageError):
        storage.replay(log, batch)
