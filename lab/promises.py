"""Checks that each promise's test detects a fault: python -m lab.promises.

Each promise has a test and a line of code that it depends on.  The line is
changed in a temporary copy of the tree, and the test must then fail.
"""

import pathlib
import shutil
import subprocess
import sys
import tempfile
from typing import NamedTuple

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_TIMEOUT_S = 120


class Mechanism(NamedTuple):
    """A promise, its test, and the code that it depends on."""

    promise: str
    test: str
    file: str
    line: str
    instead: str


MECHANISMS = (
    Mechanism(
        "No engine memory stays held by a request whose caller is gone",
        "test_path.py::test_engine_memory_is_free_after_the_caller_left",
        "rackpost/entry/core.py",
        "                item.attempt.release()\n            del",
        "                pass\n            del",
    ),
    Mechanism(
        "No engine memory stays held after its entry died",
        "test_path.py::test_engine_memory_is_free_after_the_entry_died",
        "rackpost/agent/core.py",
        "        for key in list(session.keys):\n"
        "            self._give_up(key)\n\n",
        "\n",
    ),
    Mechanism(
        "Nothing is answered twice",
        "test_claims.py::test_a_resend_of_an_answered_request_runs_nothing",
        "rackpost/entry/claiming.py",
        "            state = claims_mod.ClaimState.ANSWERED\n",
        "            state = None\n",
    ),
    Mechanism(
        "Each caller receives the whole answer to its own request",
        "test_frames.py::test_frames_of_an_old_attempt_are_dropped",
        "rackpost/entry/core.py",
        "        elif item.attempt.number != number:\n",
        "        elif False:\n",
    ),
    Mechanism(
        "Each caller receives its answer once, though frames are doubled",
        "test_frames.py::test_doubled_and_missing_frames_are_noticed",
        "rackpost/entry/attempt.py",
        "DOUBLE)\n                return\n            for text",
        "DOUBLE)\n            for text",
    ),
    Mechanism(
        "When a caller is told 'not run', the request did not run",
        "test_frames.py::test_a_run_that_arrives_after_the_seal_is_dropped",
        "rackpost/agent/core.py",
        "            self._sealed.add(key, never, self._loop.time())\n",
        "            pass\n",
    ),
    Mechanism(
        "What may not be repeated runs at most once",
        "test_claims.py::test_after_the_entry_died_a_once_request_is_never"
        "_run_again",
        "rackpost/entry/claiming.py",
        "        if not sealed.ran or (may_retry and not sealed.whole):\n",
        "        if True:\n",
    ),
    Mechanism(
        "An endpoint that is leaving receives no new work",
        "test_frames.py::test_a_leaving_agent_refuses_an_entry_that_does"
        "_not_know",
        "rackpost/decide/reservations.py",
        "        if self.leaving:\n            return types.Refusal.LEAVING\n"
        "        if msg.part",
        "        if msg.part",
    ),
    Mechanism(
        "A planned stop cuts off no request in flight",
        "test_path.py::test_a_planned_stop_cuts_nothing_and_takes_nothing"
        "_new",
        "rackpost/agent/core.py",
        "        self.ledger.leaving = True\n",
        "        self.ledger.leaving = True\n        self.close()\n",
    ),
    Mechanism(
        "A configuration that has been accepted never reverts",
        "test_control.py::test_a_process_that_hears_of_a_newer_revision"
        "_fetches_it",
        "rackpost/control/client.py",
        "        if image.revision < self.revision:\n",
        "        if False:\n",
    ),
    Mechanism(
        "A configuration that has been accepted is in force in seconds",
        "test_control.py::test_a_leader_cut_off_in_silence_confirms_no_read"
        "_and_stops_feeding",
        "rackpost/control/client.py",
        "                if self._loop.time() - last > _SILENT_S:\n",
        "                if False:\n",
    ),
    Mechanism(
        "An accepted configuration survives the loss of replicas",
        "test_history.py::test_runs_with_crashes_and_partitions_leave_a_valid"
        "_history",
        "rackpost/control/node.py",
        "        if self._applied >= index:\n",
        "        if self._raft.applied >= index:\n",
    ),
    Mechanism(
        "Orders with an old fence are given to no endpoint",
        "test_frames.py::test_only_growing_fences_pass",
        "rackpost/agent/orders.py",
        "        if fence <= self.highest:\n",
        "        if fence < self.highest:\n",
    ),
)


def fails(root: pathlib.Path, test: str) -> bool:
    """Whether a test fails in the tree at `root`."""
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-x", f"tests/{test}"],
        cwd=root,
        env={"PYTHONPATH": str(root), "PATH": "/usr/bin:/bin"},
        capture_output=True,
        timeout=_TIMEOUT_S,
        check=False,
    )
    if done.returncode not in (0, 1):
        raise RuntimeError(done.stdout.decode() + done.stderr.decode())
    return done.returncode == 1


def detects_removal(mechanism: Mechanism, root: pathlib.Path) -> bool:
    """Whether the test fails without the mechanism in the copy at `root`."""
    path = root / mechanism.file
    text = path.read_text()
    if text.count(mechanism.line) != 1:
        raise RuntimeError(f"{mechanism.file}: {mechanism.line!r} is not one")
    path.write_text(text.replace(mechanism.line, mechanism.instead))
    try:
        return fails(root, mechanism.test)
    finally:
        path.write_text(text)


def main() -> None:
    """Check each mechanism."""
    good = True
    with tempfile.TemporaryDirectory() as folder:
        root = pathlib.Path(folder)
        for name in ("rackpost", "tests", "lab"):
            shutil.copytree(_ROOT / name, root / name)
        shutil.copy(_ROOT / "pyproject.toml", root)
        for mechanism in MECHANISMS:
            detected = detects_removal(mechanism, root)
            good = good and detected
            word = "its test fails" if detected else "ITS TEST PASSES"
            print(f"{mechanism.promise}: without it {word}", flush=True)
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
