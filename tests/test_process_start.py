"""The programs as real processes: they end only when they are asked to."""

import pathlib
import signal
import time

import pytest

from tests import programs

ROLES = ("gateway", "coordinator")
# Loaded by all programs, long before their event loop runs.
_LIBRARY = "msgspec"
_SIGHUP_INTERVAL_S = 0.005


@pytest.mark.parametrize("role", ROLES)
def test_sighup_is_handled_before_libraries_are_loaded(
    tmp_path: pathlib.Path, role: str
) -> None:
    """SIGHUP within the first second ended a program, without a line."""
    with programs.program(role, tmp_path) as one:
        one.start()
        while not one.handles(signal.SIGHUP):
            assert _LIBRARY not in one.proc("maps")
            assert one.exit_status() is None


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
