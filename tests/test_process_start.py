"""The programs as real processes: they end only when they are asked to."""

import os
import pathlib
import resource
import signal
import socket
import time
from typing import Callable

import pytest

from tests import programs

ROLES = ("gateway", "coordinator")
LISTENERS = {
    "gateway": ("clients", "ready", "metrics", "loads"),
    "coordinator": ("control", "links", "metrics"),
}
# Loaded by all programs, long before their event loop runs.
_LIBRARY = "msgspec"
_SIGHUP_INTERVAL_S = 0.005
_WAITING = "Waits."


def _listeners() -> list[tuple[str, str]]:
    return [(role, name) for role in ROLES for name in LISTENERS[role]]


def _wait_until_it_waits(one: programs.Program) -> None:
    """Wait until the program says so; it must not end."""
    programs.wait_until(
        lambda: one.lines(_WAITING) or one.exit_status() is not None
    )
    assert one.exit_status() is None


def _wait_until_up(one: programs.Program) -> None:
    """Wait until the program serves; it must not end."""
    programs.wait_until(lambda: one.is_up or one.exit_status() is not None)
    assert one.exit_status() is None


@pytest.mark.parametrize("words", [programs.command, programs.by_module])
@pytest.mark.parametrize("role", ROLES)
def test_sighup_is_handled_before_libraries_are_loaded(
    tmp_path: pathlib.Path, role: str, words: Callable[[str], list[str]]
) -> None:
    """SIGHUP within the first second ended a program, without a line."""
    with programs.program(role, tmp_path) as one:
        one.start(words(role))
        while not one.handles(signal.SIGHUP):
            assert _LIBRARY not in one.proc("maps")
            assert one.exit_status() is None


@pytest.mark.parametrize("words", [programs.command, programs.by_module])
@pytest.mark.parametrize("role", ROLES)
def test_a_program_finds_the_libraries_of_its_interpreter(
    tmp_path: pathlib.Path, role: str, words: Callable[[str], list[str]]
) -> None:
    """The deploy file starts it without `site`, which knows a venv's."""
    with programs.program(role, tmp_path) as one:
        one.start(words(role), has_path=False)
        _wait_until_up(one)


@pytest.mark.parametrize("role", ROLES)
def test_sighup_in_series_ends_no_starting_program(
    tmp_path: pathlib.Path, role: str
) -> None:
    """The list of seeds changes as the VMs of a site start."""
    with programs.program(role, tmp_path) as one:
        one.start()
        programs.wait_until(lambda: one.handles(signal.SIGHUP))
        while not one.lines("Settings reloaded."):
            one.signal(signal.SIGHUP)
            time.sleep(_SIGHUP_INTERVAL_S)
            assert one.exit_status() is None
        programs.wait_until(lambda: one.is_up)


@pytest.mark.parametrize("text", [None, b"", "cut", b"[]", b'{"node": 1}'])
@pytest.mark.parametrize("role", ROLES)
def test_settings_that_are_not_whole_at_the_start_are_waited_for(
    tmp_path: pathlib.Path, role: str, text: bytes | str | None
) -> None:
    """A file in the middle of its replacement ended a starting program."""
    with programs.program(role, tmp_path) as one:
        if text is None:
            one.settings.unlink()
        elif isinstance(text, bytes):
            one.write_settings(text)
        else:
            one.write_settings(one.text()[:200])
        one.start()
        _wait_until_it_waits(one)
        one.write_settings()
        programs.wait_until(lambda: one.is_up)


@pytest.mark.parametrize(
    "role, field, value",
    [
        ("gateway", "listen", {"front": "", "ready": "", "control": ""}),
        ("gateway", "listen", {"front": "127.0.0.31", "ready": "x:y"}),
        ("coordinator", "listen", {"front": "", "control": ":"}),
        ("coordinator", "dataDir", None),
    ],
)
def test_settings_that_a_program_can_not_use_are_waited_for(
    tmp_path: pathlib.Path, role: str, field: str, value: object
) -> None:
    """Settings that could be read and not be used ended the program."""
    with programs.program(role, tmp_path) as one:
        usable = one.raw[field]
        one.raw[field] = value
        one.write_settings()
        one.start()
        _wait_until_it_waits(one)
        one.raw[field] = usable
        one.write_settings()
        programs.wait_until(lambda: one.is_up)


@pytest.mark.parametrize("role, name", _listeners())
def test_an_address_in_use_at_the_start_is_waited_for(
    tmp_path: pathlib.Path, role: str, name: str
) -> None:
    """An address that another process still held ended the program."""
    with programs.program(role, tmp_path) as one:
        is_udp = name == "loads"
        kind = socket.SOCK_DGRAM if is_udp else socket.SOCK_STREAM
        with socket.socket(socket.AF_INET, kind) as holder:
            if not is_udp:
                # Connections of earlier tests may still be in TIME_WAIT.
                holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            holder.bind((one.ip, one.port(name)))
            if not is_udp:
                holder.listen()
            one.start()
            _wait_until_it_waits(one)
            # The others do not wait for it.
            for other in LISTENERS[role]:
                if other not in (name, "loads"):
                    programs.wait_until(lambda: one.listens(other))
        programs.wait_until(lambda: one.lines("Wait is over."))
        programs.wait_until(lambda: is_udp or one.listens(name))


@pytest.mark.parametrize("closed", [(1,), (2,), (0, 1, 2)])
@pytest.mark.parametrize("role", ROLES)
def test_a_program_without_standard_streams_serves(
    tmp_path: pathlib.Path, role: str, closed: tuple[int, ...]
) -> None:
    """A closed standard output ended the program with a traceback.

    What is opened next must not take the place of the closed descriptor: log
    lines would be written there.
    """

    def close() -> None:
        for number in closed:
            os.close(number)

    with programs.program(role, tmp_path) as one:
        one.start(preexec_fn=close)
        programs.wait_until(lambda: one.is_up or one.exit_status() is not None)
        assert one.exit_status() is None
        for number in closed:
            where = os.readlink(f"/proc/{one.pid}/fd/{number}")
            assert where == "/dev/null"


def test_a_disk_that_can_not_be_written_at_the_start_is_waited_for(
    tmp_path: pathlib.Path,
) -> None:
    """A full disk at the first start ended the coordinator."""
    infinite = resource.RLIM_INFINITY

    def limit() -> None:
        resource.setrlimit(resource.RLIMIT_FSIZE, (0, infinite))

    with programs.program("coordinator", tmp_path) as one:
        reader, writer = os.pipe()
        one.start(preexec_fn=limit, stdout=writer)
        os.close(writer)
        with open(reader, "rb") as output:
            while one.exit_status() is None:
                if _WAITING.encode() in output.readline():
                    break
            assert one.exit_status() is None
            resource.prlimit(
                one.pid, resource.RLIMIT_FSIZE, (infinite, infinite)
            )
            programs.wait_until(lambda: one.is_up)


@pytest.mark.parametrize("has_replica", [False, True])
@pytest.mark.parametrize("name", ["identity", "log", "snapshot", "committed"])
def test_a_folder_in_the_place_of_a_data_file_is_set_aside(
    tmp_path: pathlib.Path, name: str, has_replica: bool
) -> None:
    """It ended the coordinator at each start."""
    with programs.program("coordinator", tmp_path) as one:
        if has_replica:
            one.start()
            programs.wait_until(lambda: one.is_up)
            one.kill()
            (one.data / name).unlink(missing_ok=True)
        (one.data / name).mkdir(parents=True)
        (one.data / name / "file").touch()
        one.start()
        programs.wait_until(lambda: one.is_up or one.exit_status() is not None)
        assert one.exit_status() is None


def test_a_data_folder_that_is_not_there_yet_is_waited_for(
    tmp_path: pathlib.Path,
) -> None:
    """A file in its place, as before a mount, ended the coordinator."""
    with programs.program("coordinator", tmp_path) as one:
        one.data.write_bytes(b"")
        one.start()
        _wait_until_it_waits(one)
        one.data.unlink()
        programs.wait_until(lambda: one.is_up)


@pytest.mark.parametrize("role", ROLES)
def test_a_program_that_waits_ends_when_it_is_asked_to(
    tmp_path: pathlib.Path, role: str
) -> None:
    """What it waits for must not keep it from ending."""
    with programs.program(role, tmp_path) as one:
        one.settings.unlink()
        one.start()
        programs.wait_until(lambda: one.lines(_WAITING))
        assert one.stop() == 0
        # There is nothing to drain.
        assert not one.lines("Stopped.")
        assert one.lines("Ended.")


def test_a_coordinator_that_waits_for_its_disk_ends_when_asked_to(
    tmp_path: pathlib.Path,
) -> None:
    with programs.program("coordinator", tmp_path) as one:
        one.data.write_bytes(b"")
        one.start()
        programs.wait_until(lambda: one.lines(_WAITING))
        assert one.stop() == 0
