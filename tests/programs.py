"""Gateways and coordinators as real processes, started as deployed."""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import sysconfig
import time
import tomllib
from typing import Any
from typing import Callable
from typing import Iterator

import msgspec

from tests import platform_site

ROOT = pathlib.Path(__file__).parent.parent
TIMEOUT_S = 30.0
NUMBERS = {"gateway": 31, "coordinator": 11}
_POLL_S = 0.002


def by_module(role: str) -> list[str]:
    """The command that names a role's module, as by hand."""
    return [sys.executable, "-m", f"rackpost.cmd_{role}"]


def command(role: str) -> list[str]:
    """The command of a role in the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    words = deploy["roles"][role]["run"].split()
    assert words[0] == "python3"
    return [sys.executable, *words[1:]]


def wait_until(what: Callable[[], Any], timeout_s: float = TIMEOUT_S) -> None:
    """Wait for a condition; fail the test if it is not met in time."""
    until = time.monotonic() + timeout_s
    while not what():
        assert time.monotonic() < until, "not met in time"
        time.sleep(_POLL_S)


class Program:
    """One program, its settings file, its data folder and its log."""

    def __init__(
        self,
        *,
        role: str,
        plan: platform_site.Plan,
        number: int = 0,
        memory_mb: float = 150.0,
        **more: Any,
    ) -> None:
        """`more` are fields of the settings file."""
        self.role = role
        self.plan = plan
        self.number = number or NUMBERS[role]
        kind = "edge" if role == "gateway" else "core"
        self.folder = plan.root / f"{kind}-{self.number}-program"
        self.folder.mkdir(exist_ok=True)
        host = plan.host(self.number, kind=kind)
        self.raw = json.loads(msgspec.json.encode(host))
        self.raw["limits"]["memoryMb"] = memory_mb
        self.raw.update(more)
        self.settings = self.folder / "node.json"
        self.log = self.folder / "log.jsonl"
        self.process: subprocess.Popen | None = None
        self.write_settings()

    @property
    def data(self) -> pathlib.Path:
        return pathlib.Path(self.raw["dataDir"])

    @property
    def ip(self) -> str:
        return self.plan.ip(self.number)

    def text(self) -> bytes:
        return json.dumps(self.raw).encode()

    def write_settings(self, text: bytes | None = None) -> None:
        """Replace the settings file, whole by default."""
        part = self.settings.with_suffix(".part")
        part.write_bytes(self.text() if text is None else text)
        part.replace(self.settings)

    def start(
        self,
        words: list[str] | None = None,
        *,
        has_path: bool = True,
        **how: Any,
    ) -> None:
        """Start the program, by default as deployed; `how` goes to Popen.

        Without `has_path`, libraries are found by the interpreter alone.
        """
        env = {
            "PATH": os.environ["PATH"],
            "RACKPOST_BOOT": str(self.settings),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        if has_path:
            env["PYTHONPATH"] = sysconfig.get_path("purelib")
        prepare = how.pop("preexec_fn", None)

        def begin() -> None:
            # What this process ignores, as under nohup, the program would.
            signal.signal(signal.SIGHUP, signal.SIG_DFL)
            if prepare is not None:
                prepare()

        with open(self.log, "ab") as log:
            how.setdefault("stdout", log)
            self.process = subprocess.Popen(
                words or command(self.role),
                cwd=ROOT,
                env=env,
                preexec_fn=begin,
                stdin=subprocess.DEVNULL,
                stderr=subprocess.STDOUT,
                **how,
            )

    @property
    def pid(self) -> int:
        assert self.process is not None
        return self.process.pid

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    def exit_status(self) -> int | None:
        """The exit status; None while the program runs."""
        assert self.process is not None
        return self.process.poll()

    def proc(self, name: str) -> str:
        """A file that the kernel keeps of the process; "" once it ended."""
        try:
            return pathlib.Path(f"/proc/{self.pid}/{name}").read_text()
        except OSError:
            return ""

    def status(self, field: str) -> str:
        """A field of the process's status; "" once it has ended."""
        for line in self.proc("status").splitlines():
            if line.startswith(f"{field}:"):
                return line.split()[1]
        return ""

    def handles(self, number: int) -> bool:
        """Whether a signal is ignored or has a handler."""
        masks = [
            int(self.status(name) or "0", 16) for name in ("SigIgn", "SigCgt")
        ]
        return any(mask >> (number - 1) & 1 for mask in masks)

    @property
    def peak_mb(self) -> float:
        """The most memory that the process has used."""
        return int(self.status("VmHWM") or 0) / 1024

    def lines(self, text: str) -> list[dict]:
        """The lines of the log with a sentence."""
        found = []
        if not self.log.exists():
            return found
        for line in self.log.read_bytes().splitlines():
            with contextlib.suppress(ValueError):
                item = json.loads(line)
                if text in item.get("text", ""):
                    found.append(item)
        return found

    def port(self, name: str) -> int:
        """The port of one of the program's listeners."""
        base = self.plan.base
        return {
            "clients": base + 10,
            "ready": base + 11,
            "control": base + 12,
            "links": base,
            "loads": base + 1,
            "metrics": base + 2,
        }[name]

    def listens(self, name: str) -> bool:
        """Whether connections to a listener are taken."""
        with socket.socket() as sock:
            sock.settimeout(1.0)
            return sock.connect_ex((self.ip, self.port(name))) == 0

    @property
    def is_up(self) -> bool:
        """Whether callers can reach the program."""
        name = "clients" if self.role == "gateway" else "control"
        return self.listens(name)

    def stop(self) -> int:
        """End the program with SIGTERM; return its exit status."""
        assert self.process is not None
        self.signal(signal.SIGTERM)
        return self.process.wait(timeout=TIMEOUT_S)

    def kill(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait()


@contextlib.contextmanager
def program(role: str, root: pathlib.Path, **more: Any) -> Iterator[Program]:
    """Yield a program that is not started; killed at the end."""
    found = Program(role=role, plan=platform_site.Plan(root=root), **more)
    try:
        yield found
    finally:
        found.kill()
