"""Runs a site as separate processes on loopback."""

import asyncio
import contextlib
import hashlib
import json
import os
import pathlib
import secrets
import signal
import sys
from typing import Any
from typing import AsyncIterator

import aiohttp

from rackpost.testing import demo_site
from rackpost.testing import ports
from rackpost.testing import workload

_HOST = "127.0.0.1"
_BIN = pathlib.Path(sys.executable).parent
_START_S = 20.0
KEY = "drill-caller-key"


class Process:
    """A child process and the first line of its output."""

    def __init__(
        self, *, name: str, child: asyncio.subprocess.Process, line: str
    ) -> None:
        self.name = name
        self.child = child
        self.line = line

    def signal(self, number: int) -> None:
        """Send a signal if the process is running."""
        if self.child.returncode is None:
            os.kill(self.child.pid, number)

    def cpu_s(self) -> float:
        """Return the CPU time used so far, in seconds."""
        text = pathlib.Path(f"/proc/{self.child.pid}/stat").read_text()
        fields = text.rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_mb(self) -> float:
        """Return the resident memory in MiB."""
        path = pathlib.Path(f"/proc/{self.child.pid}/status")
        for line in path.read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0


class Site:
    """A site's control replicas, agents, entries and endpoints."""

    def __init__(self, *, folder: pathlib.Path) -> None:
        self.folder = folder
        self.processes: dict[str, Process] = {}
        self.args: dict[str, list[str]] = {}
        self.entry_urls: dict[str, str] = {}
        self.operator_urls: list[str] = []
        self.ledger_urls: list[str] = []
        self._key = folder / "site.key"
        self._operator_key = folder / "operator.key"
        self._control = ""

    async def start(self, name: str, *args: str) -> Process:
        """Start a process and wait for its first line."""
        self.args[name] = list(args)
        log = open(self.folder / f"{name}.log", "ab")
        child = await asyncio.create_subprocess_exec(
            *args, stdout=asyncio.subprocess.PIPE, stderr=log
        )
        log.close()
        assert child.stdout is not None
        async with asyncio.timeout(_START_S):
            line = (await child.stdout.readline()).decode().strip()
        found = Process(name=name, child=child, line=line)
        self.processes[name] = found
        return found

    async def restart(self, name: str) -> Process:
        """Start a process again with its previous arguments."""
        return await self.start(name, *self.args[name])

    async def start_control(self, count: int) -> None:
        """Create and start the control replicas."""
        self._key.write_text(secrets.token_hex(16))
        self._operator_key.write_text(secrets.token_hex(16))
        names = [f"c{idx}" for idx in range(count)]
        found = ports.free(2 * count)
        peers = ",".join(
            f"{name}={_HOST}:{port}" for name, port in zip(names, found)
        )
        self._control = ",".join(f"{_HOST}:{port}" for port in found[:count])
        for idx, name in enumerate(names):
            data = str(self.folder / name)
            made = await asyncio.create_subprocess_exec(
                str(_BIN / "rackpost-control"),
                "init",
                *("--data", data, "--replica", name),
                *("--first", ",".join(names)),
                stdout=asyncio.subprocess.DEVNULL,
            )
            assert await made.wait() == 0
            self.operator_urls.append(f"http://{_HOST}:{found[count + idx]}")
            await self.start(
                name,
                str(_BIN / "rackpost-control"),
                "run",
                *("--key-file", str(self._key), "--data", data),
                *("--listen", f"{_HOST}:{found[idx]}", "--peers", peers),
                *("--operators", f"{_HOST}:{found[count + idx]}"),
                *("--operator-key-file", str(self._operator_key)),
            )

    async def start_endpoints(self, deployment: workload.Deployment) -> None:
        """Start simulated endpoints and an agent for each."""
        roles = ["prefill"] * deployment.prefills
        roles += ["decode"] * deployment.decodes
        urls = await self._endpoints("model", len(roles))
        for idx, (role, url) in enumerate(zip(roles, urls)):
            name = f"{deployment.model}-{idx}"
            await self._agent(name, deployment.model, role, url)
        for idx, url in enumerate(
            await self._endpoints("plain", deployment.plains)
        ):
            name = f"{deployment.plain}-{idx}"
            await self._agent(name, deployment.plain, "plain", url)

    async def _endpoints(self, kind: str, count: int) -> list[str]:
        process = await self.start(
            f"endpoints-{kind}",
            sys.executable,
            *("-m", "lab.endpoint", kind, str(count)),
        )
        found = json.loads(process.line)
        self.ledger_urls.append(f"http://{_HOST}:{found[-1]}/held")
        return [f"http://{_HOST}:{port}" for port in found[:-1]]

    async def _agent(
        self, name: str, service: str, role: str, url: str
    ) -> None:
        await self.start(
            name,
            str(_BIN / "rackpost-agent"),
            *("--key-file", str(self._key), "--control", self._control),
            *("--name", name, "--service", service, "--role", role),
            *("--endpoint", url, "--link-rate", "4e9"),
            *("--slots", "16" if role == "plain" else "20"),
        )

    async def start_entry(self, name: str) -> None:
        """Start an entry."""
        process = await self.start(
            name,
            str(_BIN / "rackpost-entry"),
            *("--key-file", str(self._key), "--control", self._control),
            *("--name", name),
        )
        port = process.line.rsplit(" ", 1)[1]
        self.entry_urls[name] = f"http://{_HOST}:{port}"

    async def configure(
        self, deployment: workload.Deployment, **more: Any
    ) -> None:
        """Write the settings of a deployment and of its caller."""
        values = demo_site.service_settings(deployment)
        await self.write("", {**values, "max_open": 10_000, **more})
        hashed = hashlib.sha256(KEY.encode()).hexdigest()
        await self.write("caller", {"caller_key": hashed})

    async def write(
        self, path: str, values: dict[str, Any], based_on: int = 0
    ) -> dict[str, Any]:
        """Change a node, retrying until a replica answers."""
        body = {
            "op": secrets.token_hex(8),
            "who": "drill",
            "path": path,
            "based_on": based_on,
            "values": values,
        }
        while True:
            found = await self.operate("/v1/settings", body)
            if found is not None:
                return found
            await asyncio.sleep(0.1)

    async def operate(
        self, path: str, body: dict[str, Any] | None
    ) -> dict[str, Any] | None:
        """Return the first replica's answer, or None if none answers."""
        key = self._operator_key.read_text()
        headers = {"Authorization": f"Bearer {key}"}
        timeout = aiohttp.ClientTimeout(total=5.0)
        async with aiohttp.ClientSession(
            headers=headers, timeout=timeout
        ) as session:
            for url in self.operator_urls:
                method = "GET" if body is None else "POST"
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    async with session.request(
                        method, url + path, json=body
                    ) as resp:
                        if resp.status != 503:
                            return await resp.json(content_type=None)
        return None

    async def wait_until_up(self) -> None:
        """Wait until every entry answers a request."""
        async with aiohttp.ClientSession() as session:
            for url in self.entry_urls.values():
                await _answers(session, url)

    def close(self) -> None:
        """Kill all running processes."""
        for process in self.processes.values():
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)


async def _answers(session: aiohttp.ClientSession, url: str) -> None:
    body = {"model": "tolk", "prompt": "up?", "max_tokens": 1}
    headers = {
        "Authorization": f"Bearer {KEY}",
        "X-Rackpost-Kind": "sorting",
        "Idempotency-Key": secrets.token_hex(8),
    }
    async with asyncio.timeout(_START_S):
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                async with session.post(
                    f"{url}/v1/completions", json=body, headers=headers
                ) as resp:
                    if resp.status == 200:
                        return
            await asyncio.sleep(0.1)


@contextlib.asynccontextmanager
async def running(folder: pathlib.Path) -> AsyncIterator[Site]:
    """Provide an empty site and kill its processes at the end."""
    site = Site(folder=folder)
    try:
        yield site
    finally:
        site.close()
        for process in site.processes.values():
            await process.child.wait()
