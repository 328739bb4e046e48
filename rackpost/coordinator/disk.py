"""A coordinator's disk: created at the first start, retried on faults."""

import asyncio
import pathlib
import secrets
import shutil
from typing import Awaitable
from typing import Callable
from typing import NamedTuple

from rackpost.consensus import log as log_mod
from rackpost.consensus import messages as consensus
from rackpost.consensus import output
from rackpost.consensus import storage
from rackpost import exceptions
from rackpost import logs
from rackpost import waiting

# Pause between attempts to write to a full or faulty disk.
_RETRY_PAUSE_S = 0.2
# Random bytes in a new replica's id; make it unique.
_ID_RANDOM_BYTES = 6


class RetryingDisk(storage.Disk):
    """A disk that retries each write until it succeeds.

    The replica sends nothing meanwhile, so that a leader with a faulty disk
    loses its leadership.
    """

    def __init__(self, *, disk: storage.FileDisk) -> None:
        self._disk = disk
        self._is_healthy = True

    async def save(self, out: output.Output) -> None:
        """Make an output durable; retries until it is."""
        await self._retry(
            lambda: self._disk.save(out), exceptions.StorageError
        )

    async def compact(
        self,
        snapshot: consensus.Snapshot,
        hard: consensus.HardState,
        log: log_mod.Log,
    ) -> None:
        """Replace the log by a snapshot; retries until it is durable."""
        await self._retry(
            lambda: self._disk.compact(snapshot, hard, log),
            exceptions.StorageError,
            OSError,
        )

    async def _retry(
        self,
        write: Callable[[], Awaitable[None]],
        *faults: type[Exception],
    ) -> None:
        """Retry a write while it raises one of these exceptions."""
        while True:
            try:
                await write()
            except faults as exc:
                self._record_failure(exc)
                await asyncio.sleep(_RETRY_PAUSE_S)
            else:
                self._record_success()
                return

    def _record_failure(self, exc: Exception) -> None:
        if self._is_healthy:
            logs.say(logs.Part.COORDINATOR, "Disk fails.", why=str(exc))
        self._is_healthy = False

    def _record_success(self) -> None:
        if not self._is_healthy:
            logs.say(logs.Part.COORDINATOR, "Disk is well again.")
        self._is_healthy = True


class OpenDisk(NamedTuple):
    """A disk that is open for writing, and what it holds."""

    disk: storage.FileDisk
    loaded: storage.StoredState


async def wait_until_open(
    folder: pathlib.Path, open_now: Callable[[], OpenDisk]
) -> OpenDisk:
    """Open a disk by `open_now` once it can be read and written."""
    wait = waiting.Wait(part=logs.Part.COORDINATOR, what=f"disk {folder}")
    while True:
        try:
            opened = await asyncio.to_thread(open_now)
        except (OSError, exceptions.StorageError) as exc:
            wait.record(str(exc))
            await asyncio.sleep(_RETRY_PAUSE_S)
        else:
            wait.end()
            return opened


def open_disk(
    folder: pathlib.Path, *, host: str, first_hosts: tuple[str, ...]
) -> OpenDisk:
    """Open the disk of this host's replica, creating it if there is none.

    `first_hosts` are the voters of a site that starts for the first time;
    it is empty for a site that already runs.  If the log is damaged, its
    files are set aside and a new replica with a new id is created.  Raises
    OSError if the disk can't be read or written now.
    """
    if not (folder / "identity").exists():
        _create(folder, host=host, first_hosts=first_hosts)
    disk = storage.FileDisk(folder=folder)
    try:
        return OpenDisk(disk, disk.load())
    except (exceptions.StorageError, IsADirectoryError) as exc:
        logs.say(
            logs.Part.COORDINATOR,
            "Disk is damaged; this replica begins anew.",
            why=str(exc),
        )
        disk.close()
    except OSError:
        disk.close()
        raise
    _set_aside(folder)
    _create(folder, host=host, first_hosts=())
    disk = storage.FileDisk(folder=folder)
    return OpenDisk(disk, disk.load())


def _create(
    folder: pathlib.Path, *, host: str, first_hosts: tuple[str, ...]
) -> None:
    if host in first_hosts:
        replica = host
        voters = tuple(
            consensus.ReplicaId(item) for item in sorted(first_hosts)
        )
    else:
        replica = f"{host}#{secrets.token_hex(_ID_RANDOM_BYTES)}"
        voters = ()
    _remove_leftovers(folder)
    storage.create(
        folder,
        replica=consensus.ReplicaId(replica),
        config=consensus.Config(voters=voters),
    )


def _remove_leftovers(folder: pathlib.Path) -> None:
    # A log without an identity can't be used.
    for name in ("log", "snapshot", "committed"):
        path = folder / name
        if path.is_dir():
            _move_aside(path)
        else:
            path.unlink(missing_ok=True)


def _set_aside(folder: pathlib.Path) -> None:
    for name in ("identity", "log", "snapshot", "committed"):
        path = folder / name
        if path.exists():
            _move_aside(path)


def _move_aside(path: pathlib.Path) -> None:
    """Rename a file or folder; the one that had the name is removed."""
    target = path.with_name(f"{path.name}.damaged")
    if target.is_dir():
        shutil.rmtree(target)
    else:
        target.unlink(missing_ok=True)
    path.replace(target)
