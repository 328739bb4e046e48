"""A site of real processes under the kernel's limits and random faults.

A program ends only when it is asked to, and requests are served soon after.
By hand: `python -m tests.test_process_soak FIRST LAST` for seeds.
"""

import asyncio
import collections
import contextlib
import os
import pathlib
import random
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time
from typing import AsyncIterator

import aiohttp
import pytest

from tests import floods
from tests import platform_site
from tests import programs

_CORE = (11, 12, 13)
_EDGES = (31, 16, 15)
_SECONDS = 40.0
_SECONDS_IN_CI = 12.0
# After the last fault.
_SERVED_WITHIN_S = 10.0
_MEMORY_MB = 150.0
_DESCRIPTORS = 256
# Of a thread; the kernel counts all of it.
_STACK_BYTES = 512 << 10
_FAULT_INTERVAL_S = 0.25
_HEARTBEAT_S = 0.5
_REQUEST_INTERVAL_S = 0.05
_GARBAGE_BYTES = 64 << 10


def _limit() -> None:
    """Set the kernel's limits of a program that starts."""
    memory = int(_MEMORY_MB * (1 << 20))
    resource.setrlimit(resource.RLIMIT_STACK, (_STACK_BYTES, _STACK_BYTES))
    resource.setrlimit(resource.RLIMIT_DATA, (memory, memory))
    resource.setrlimit(resource.RLIMIT_NOFILE, (_DESCRIPTORS, _DESCRIPTORS))


class _Program(programs.Program):
    """One program of the site, which is started again when it was ended."""

    def __init__(self, *, plan: platform_site.Plan, number: int) -> None:
        super().__init__(
            role="coordinator" if number in _CORE else "gateway",
            plan=plan,
            number=number,
            memory_mb=_MEMORY_MB,
            seeds=[f"{plan.ip(one)}:{plan.base + 12}" for one in _CORE],
            faultTolerance={"machines": 1},
        )
        self.raw["limits"]["maxFds"] = _DESCRIPTORS
        # Whether it was asked to end, or does not run.
        self.is_asked = True
        self.highest_mb = 0.0

    def begin(self) -> None:
        self.start(preexec_fn=_limit)
        self.is_asked = False

    def check(self) -> None:
        """Fail if the program has ended by itself or used its memory up."""
        if self.is_asked:
            return
        self.highest_mb = max(self.highest_mb, self.peak_mb)
        status = self.exit_status()
        assert status is None, f"{self.number} ended: {status}"
        assert self.highest_mb < _MEMORY_MB, f"{self.number} is too large"


class _Soak:
    """The site under one seed."""

    def __init__(self, *, root: pathlib.Path, seed: int) -> None:
        self.rng = random.Random(seed)
        self.plan = platform_site.Plan(root=root)
        self.programs = {
            number: _Program(plan=self.plan, number=number)
            for number in (*_CORE, *_EDGES)
        }
        self.endpoints = [
            platform_site.Endpoint(ident=f"p{number}", service="plain")
            for number in range(2)
        ]
        self.events: list[str] = []
        self.answers: collections.Counter[int] = collections.Counter()
        # Whether a disk was lost: the site may lose one.
        self._lost = False

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Start all programs and endpoints; end them afterwards."""
        async with contextlib.AsyncExitStack() as stack:
            self._http = await stack.enter_async_context(
                aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=3.0))
            )
            self._operator = platform_site.Operator(
                plan=self.plan, http=self._http
            )
            for one in self.endpoints:
                await stack.enter_async_context(one.running())
            for program in self.programs.values():
                stack.callback(program.kill)
                program.begin()
            yield

    async def _put_document(self) -> None:
        async with asyncio.timeout(platform_site.TIMEOUT_S):
            while True:
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    if (
                        await self._operator.put(
                            self.rng.choice(_CORE), platform_site.document()
                        )
                        == 200
                    ):
                        return
                await asyncio.sleep(0.1)

    async def _send_heartbeats(self) -> None:
        while True:
            for one in self.endpoints:
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    await self._operator.send_heartbeat(
                        self.rng.choice(_CORE), one
                    )
            await asyncio.sleep(_HEARTBEAT_S)

    async def _request(self, number: int) -> int:
        url = self.plan.front_url(number) + "/safe/x"
        head = {"Host": "site.example", "X-Request-Id": os.urandom(8).hex()}
        try:
            async with self._http.get(
                url, headers=head | {"X-Deadline-Ms": "2000"}
            ) as resp:
                await resp.read()
                return resp.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0

    async def _send_requests(self) -> None:
        while True:
            self.answers[await self._request(self.rng.choice(_EDGES))] += 1
            await asyncio.sleep(_REQUEST_INTERVAL_S)

    async def _check(self) -> None:
        while True:
            for one in self.programs.values():
                one.check()
            await asyncio.sleep(0.05)

    # Faults.

    def _hang_up(self, one: _Program) -> None:
        """Send SIGHUP at any moment from its first instruction on."""
        if one.handles(signal.SIGHUP):
            one.signal(signal.SIGHUP)

    async def _hang_up_in_series(self, one: _Program) -> None:
        for _ in range(20):
            if not one.is_asked:
                self._hang_up(one)
            await asyncio.sleep(0.05 * self.rng.random())

    async def _restart(self, one: _Program) -> None:
        """End it, and start it again with the next settings."""
        if one.is_asked:
            return
        one.is_asked = True
        one.signal(self.rng.choice((signal.SIGKILL, signal.SIGTERM)))
        await asyncio.sleep(self.rng.random())
        one.kill()
        if self.rng.random() < 0.5:
            text = one.text()
            one.write_settings(text[: self.rng.randrange(len(text))])
        one.begin()
        await self._hang_up_in_series(one)
        one.write_settings()

    async def _restart_several(self, one: _Program) -> None:
        count = self.rng.randrange(2, len(self.programs) + 1)
        found = self.rng.sample(list(self.programs.values()), count)
        await asyncio.gather(*(self._restart(item) for item in found))

    async def _pause(self, one: _Program) -> None:
        if one.is_asked:
            return
        one.signal(signal.SIGSTOP)
        await asyncio.sleep(2.0 * self.rng.random())
        one.signal(signal.SIGCONT)

    async def _tear_settings(self, one: _Program) -> None:
        text = one.text()
        one.write_settings(text[: self.rng.randrange(len(text))])
        await self._hang_up_in_series(one)
        one.write_settings()

    async def _flood(self, one: _Program) -> None:
        name = self.rng.choice(("clients", "ready", "metrics", "links"))
        if one.role == "coordinator" and name in ("clients", "ready"):
            name = "control"
        await asyncio.to_thread(
            floods.flood,
            (one.ip, one.port(name)),
            self.rng.choice(list(floods.FORMS)),
            callers=self.rng.randrange(1, 21),
            seconds=self.rng.random(),
        )

    async def _send_garbage(self, one: _Program) -> None:
        names = ("clients", "ready", "control", "metrics", "links")
        for name in names:
            with socket.socket() as sock:
                sock.settimeout(0.2)
                with contextlib.suppress(OSError):
                    sock.connect((one.ip, one.port(name)))
                    sock.send(self.rng.randbytes(_GARBAGE_BYTES))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for size in (1, 100, 1400):
                data = self.rng.randbytes(size)
                sock.sendto(data, (one.ip, one.port("loads")))

    async def _fill_descriptors(self, one: _Program) -> None:
        """Hold more connections open than it has descriptors."""
        name = "clients" if one.role == "gateway" else "control"
        with contextlib.ExitStack() as stack:
            for _ in range(_DESCRIPTORS + 50):
                sock = stack.enter_context(socket.socket())
                sock.setblocking(False)
                sock.connect_ex((one.ip, one.port(name)))
            await asyncio.sleep(self.rng.random())

    async def _lose_disk(self, one: _Program) -> None:
        if self._lost or one.role == "gateway" or one.is_asked:
            return
        self._lost = True
        one.is_asked = True
        one.kill()
        shutil.rmtree(one.data, ignore_errors=True)
        one.raw["bootstrap"] = False
        one.write_settings()
        one.begin()

    async def _play(self, group: asyncio.TaskGroup, seconds: float) -> None:
        faults = (
            self._hang_up_in_series,
            self._hang_up_in_series,
            self._restart,
            self._restart,
            self._restart_several,
            self._pause,
            self._tear_settings,
            self._flood,
            self._send_garbage,
            self._fill_descriptors,
            self._lose_disk,
        )
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            one = self.rng.choice(list(self.programs.values()))
            fault = self.rng.choice(faults)
            self.events.append(f"{fault.__name__} {one.number}")
            group.create_task(fault(one))
            await asyncio.sleep(self.rng.expovariate(1 / _FAULT_INTERVAL_S))

    async def run(self, seconds: float) -> None:
        """Play faults for some seconds; all is well again soon after."""
        async with self.running():
            background = [
                asyncio.create_task(self._send_heartbeats()),
                asyncio.create_task(self._send_requests()),
            ]
            check = asyncio.create_task(self._check())
            await self._put_document()
            play = asyncio.create_task(self._play_all(seconds))
            await asyncio.wait(
                (check, play), return_when=asyncio.FIRST_COMPLETED
            )
            if check.done():
                play.cancel()
                await check
            await play
            await self._all_served()
            for one in self.programs.values():
                one.check()
            for task in (check, *background):
                task.cancel()

    async def _play_all(self, seconds: float) -> None:
        async with asyncio.TaskGroup() as group:
            await self._play(group, seconds)

    async def _all_served(self) -> None:
        until = time.monotonic() + _SERVED_WITHIN_S
        waits = set(_EDGES)
        while waits:
            for number in list(waits):
                if await self._request(number) == 200:
                    waits.discard(number)
            assert time.monotonic() < until, f"not served: {waits}"

    def report(self) -> str:
        highest = max(one.highest_mb for one in self.programs.values())
        return (
            f"{len(self.events)} faults, answers {dict(self.answers)}, "
            f"{highest:.0f} MB at most"
        )


@pytest.mark.parametrize("seed", [1])
def test_programs_end_only_when_they_are_asked_to(
    tmp_path: pathlib.Path, seed: int
) -> None:
    soak = _Soak(root=tmp_path, seed=seed)
    asyncio.run(soak.run(_SECONDS_IN_CI))
    # Guards against a run in which nothing was served.
    assert soak.answers[200] > 0, soak.events


def main() -> None:
    """Play seeds by hand."""
    first, last = int(sys.argv[1]), int(sys.argv[2])
    for seed in range(first, last + 1):
        root = pathlib.Path(tempfile.mkdtemp())
        soak = _Soak(root=root, seed=seed)
        try:
            asyncio.run(soak.run(_SECONDS))
        except Exception as exc:
            print(f"seed {seed}: {exc!r}; logs in {root}", flush=True)
            print("  " + ", ".join(soak.events[-12:]), flush=True)
            continue
        shutil.rmtree(root)
        print(f"seed {seed}: well, {soak.report()}", flush=True)


if __name__ == "__main__":
    main()
