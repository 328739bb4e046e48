"""A site on loopback in one event loop, with simulated endpoints.

Unlike `testing.site`, all of its parts communicate over real sockets.
"""

import contextlib
import pathlib
import random
import secrets
from typing import AsyncIterator

import aiohttp
import msgspec

from rackpost.agent import process as agent_process
from rackpost import config
from rackpost.control import process as control_process
from rackpost.entry import process as entry_process
from rackpost import http_server
from rackpost.testing import engine
from rackpost.testing import engine_http
from rackpost.testing import plain
from rackpost.testing import ports
from rackpost.testing import workload
from rackpost import types

_HOST = "127.0.0.1"
CALLER_KEY = "demo-caller-key"


class DemoSite:
    """A running site: its processes and their addresses."""

    def __init__(self, *, folder: pathlib.Path) -> None:
        self.folder = folder
        self.ledger = engine.Ledger()
        self.engines: dict[str, engine.StandInEngine] = {}
        self.controls: list[control_process.ControlProcess] = []
        self.agents: dict[str, agent_process.AgentProcess] = {}
        self.entries: list[entry_process.EntryProcess] = []
        self.entry_urls: list[str] = []
        self.operator_urls: list[str] = []
        self.operator_key = secrets.token_hex(16)
        self.key_file = folder / "site.key"
        self.operator_key_file = folder / "operator.key"
        self._control = ""
        self._stack = contextlib.AsyncExitStack()

    def _write_keys(self) -> None:
        self.key_file.write_text(secrets.token_hex(16))
        self.operator_key_file.write_text(self.operator_key)

    async def start_control(self, replicas: int) -> None:
        """Start the control replicas of a new site."""
        self._write_keys()
        names = [f"c{idx}" for idx in range(replicas)]
        found = ports.free(replicas)
        peers = ",".join(
            f"{name}={_HOST}:{port}" for name, port in zip(names, found)
        )
        self._control = ",".join(f"{_HOST}:{port}" for port in found)
        for name, port in zip(names, found):
            opts = config.ControlOptions(
                key_file=str(self.key_file),
                listen=f"{_HOST}:{port}",
                peers=peers,
                data=str(self.folder / name),
                operators=f"{_HOST}:0",
                operator_key_file=str(self.operator_key_file),
            )
            control_process.create(opts, replica=name, first=names)
            running = control_process.ControlProcess(opts=opts)
            where = await self._stack.enter_async_context(running.serving())
            self.controls.append(running)
            self.operator_urls.append(f"http://{_HOST}:{where.operators}")

    async def add_endpoint(
        self,
        name: str,
        service: str,
        role: types.Role,
        spec: engine.EngineSpec,
        data_centre: str = "here",
    ) -> None:
        """Start a simulated endpoint and its agent."""
        if role is types.Role.PLAIN:
            app = engine_http.plain_app(plain.StandInPlain(ledger=self.ledger))
            slots = plain.SLOTS
        else:
            standin = engine.StandInEngine(
                name=name,
                spec=spec,
                peers=self.engines,
                rng=random.Random(name),
                ledger=self.ledger,
            )
            app = engine_http.EngineApp(standin=standin).app
            slots = spec.slots
        port = await self._stack.enter_async_context(
            http_server.serving(app, host=_HOST, port=0)
        )
        opts = config.AgentOptions(
            key_file=str(self.key_file),
            control=self._control,
            data_centre=data_centre,
            name=name,
            service=service,
            role=role.value,
            endpoint=f"http://{_HOST}:{port}",
            slots=slots,
            prefill_rate=spec.prefill_tokens_s,
            step=spec.step_s + spec.step_stream_s * spec.slots,
            link_rate=spec.link_bytes_s,
        )
        opts.check()
        running = agent_process.AgentProcess(opts=opts)
        await self._stack.enter_async_context(running.serving())
        self.agents[name] = running

    async def add_entry(self, name: str, data_centre: str = "here") -> None:
        """Start an entry."""
        opts = config.EntryOptions(
            key_file=str(self.key_file),
            control=self._control,
            data_centre=data_centre,
            name=name,
        )
        opts.check()
        running = entry_process.EntryProcess(opts=opts)
        port = await self._stack.enter_async_context(running.serving())
        self.entries.append(running)
        self.entry_urls.append(f"http://{_HOST}:{port}")

    async def write(
        self,
        path: str,
        values: dict,
        *,
        op: str | None = None,
        based_on: int = 0,
        unset: tuple[str, ...] = (),
    ) -> dict:
        """Change a settings node through any available replica."""
        body = {
            "op": op or secrets.token_hex(8),
            "who": "demo",
            "path": path,
            "based_on": based_on,
            "values": values,
            "unset": list(unset),
        }
        return await self.operate("/v1/settings", body)

    async def operate(self, path: str, body: dict | None) -> dict:
        """Request an operators' page: POST `body`, or GET if it is None."""
        headers = {"Authorization": f"Bearer {self.operator_key}"}
        last = {}
        async with aiohttp.ClientSession(headers=headers) as session:
            for url in self.operator_urls * 10:
                method = "GET" if body is None else "POST"
                data = None if body is None else msgspec.json.encode(body)
                with contextlib.suppress(aiohttp.ClientError):
                    async with session.request(
                        method, url + path, data=data
                    ) as resp:
                        last = msgspec.json.decode(await resp.read())
                        if resp.status != 503:
                            return last
        return last

    async def close(self) -> None:
        """Stop all processes."""
        await self._stack.aclose()


def service_settings(deployment: workload.Deployment) -> dict:
    """Return the root settings for a deployment's services and kinds."""
    values: dict = {
        f"{deployment.model}.type": "model",
        f"{deployment.plain}.type": "plain",
        f"{deployment.model}.default_kind": deployment.burst_kind,
    }
    for kind in deployment.kinds:
        scope = f"{kind.service}/{kind.name}"
        values[f"{scope}.ttft_s"] = kind.ttft_s
        values[f"{scope}.weight"] = kind.weight
        values[f"{scope}.repeat"] = kind.repeat.value
        if kind.plain:
            values.setdefault(f"{kind.service}.default_kind", kind.name)
    return values


@contextlib.asynccontextmanager
async def running(folder: pathlib.Path) -> AsyncIterator[DemoSite]:
    """Provide an empty site in `folder` and stop it at the end."""
    site = DemoSite(folder=folder)
    try:
        yield site
    finally:
        await site.close()
