"""What a program does where it fails: it starts again, and tells so."""

import asyncio
import json
import os
import pathlib

import pytest

from rackpost import cmd_coordinator
from rackpost.decide import features
from rackpost import logs
from rackpost import process_figures
from rackpost import site_program
from tests import platform_site


@pytest.fixture
def settings_file(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> pathlib.Path:
    path = tmp_path / "node.json"
    raw = {"node": "a", "ip": "127.0.0.1", "zone": "z"}
    path.write_text(json.dumps(raw))
    monkeypatch.setenv("RACKPOST_BOOT", str(path))
    return path


def _run(main: site_program.Main, monkeypatch: pytest.MonkeyPatch) -> None:
    """Run a program in this process until it ends."""
    ended = []
    # Programs of a site exit without waiting for their threads.
    monkeypatch.setattr(os, "_exit", ended.append)
    output = logs.BoundedOutput(fd=os.open(os.devnull, os.O_WRONLY))
    monkeypatch.setattr(logs, "to_stdout", lambda **common: output)
    site_program.run(logs.Part.GATEWAY, main)
    assert ended == [0]


@pytest.mark.parametrize("exc", [OSError("x"), ValueError("x"), KeyError()])
def test_a_program_that_fails_starts_again(
    settings_file: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    exc: Exception,
) -> None:
    """An error that was not foreseen ended the process."""
    runs: list[str] = []

    async def main(host: object, signals: object) -> None:
        runs.append(host.vm)
        if len(runs) < 3:
            raise exc

    _run(main, monkeypatch)
    assert runs == ["a"] * 3


def test_a_program_that_starts_again_reads_its_settings(
    settings_file: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    runs: list[str] = []

    async def main(host: object, signals: object) -> None:
        runs.append(host.vm)
        if len(runs) < 2:
            text = settings_file.read_text().replace('"a"', '"b"')
            settings_file.write_text(text)
            raise ValueError

    _run(main, monkeypatch)
    assert runs == ["a", "b"]


def test_a_program_that_keeps_failing_ends_when_it_is_asked_to(
    settings_file: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main(host: object, signals: site_program.Signals) -> None:
        signals.stop.set()
        raise ValueError

    _run(main, monkeypatch)


def test_failures_in_a_row_are_further_and_further_apart() -> None:
    """A failure at each start must not use up the processor."""
    pause = site_program.RestartPause()
    pauses = [pause.next_s(0.0) for _ in range(10)]
    assert pauses[0] <= 0.1 and pauses == sorted(pauses)
    assert pauses[-1] == pauses[-2] == 5.0
    assert pause.next_s(60.0) == pauses[0]


class _Signals(site_program.Signals):
    """Signals of a coordinator that runs in this process."""

    def __init__(self) -> None:
        self.stop = asyncio.Event()

    async def watch(self, reload: site_program.Reload) -> None:
        await asyncio.Event().wait()


class _File(site_program.SettingsFile):
    """Settings that are always usable."""

    def __init__(self, *, host: object) -> None:
        self._host = host

    async def wait_until_usable(self, part: logs.Part) -> object:
        return self._host


def test_a_coordinator_whose_replica_fails_reads_its_disk_and_goes_on(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A decision that raised ended the process."""
    plan = platform_site.Plan(root=tmp_path)
    host = plan.host(11, kind="core", seeds=(11,), lost=0)
    real = cmd_coordinator.process.Coordinator
    made = []

    def make(**how: object) -> object:
        made.append(real(**how))
        return made[-1]

    monkeypatch.setattr(cmd_coordinator.process, "Coordinator", make)

    async def main() -> None:
        signals = _Signals()
        served = asyncio.create_task(
            site_program._serve(
                logs.Part.COORDINATOR,
                lambda host, signals: cmd_coordinator.serve(
                    features.NO_OVERRIDES, host, signals
                ),
                _File(host=host),
                signals,
            )
        )
        until = platform_site.until
        for number in range(1, 4):
            await until(lambda: len(made) == number)
            await until(lambda: made[-1].node.is_leader)
            made[-1].node._raft.tick = None
            made[-1].node._wake.set()
        await until(lambda: len(made) == 4 and made[-1].node.is_leader)
        assert len({one.node.me for one in made}) == 1
        signals.stop.set()
        await served

    asyncio.run(main())


def test_a_coordinator_that_can_not_be_made_leaves_no_file_open(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each new attempt took one more descriptor, until none was left."""
    plan = platform_site.Plan(root=tmp_path)
    host = plan.host(11, kind="core", seeds=(11,), lost=0)

    def fail(**how: object) -> None:
        raise ValueError

    monkeypatch.setattr(cmd_coordinator.process, "Coordinator", fail)

    async def main() -> None:
        counts = set()
        for _ in range(5):
            with pytest.raises(ValueError):
                await cmd_coordinator.serve(
                    features.NO_OVERRIDES, host, _Signals()
                )
            counts.add(process_figures.open_descriptors())
        assert len(counts) == 1

    asyncio.run(main())
