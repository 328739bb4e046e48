"""A suspended VM must count the time of its suspension.

Guards against leases, quorum contacts and other state that seem fresh after a
suspension because the monotonic clock stood still.
"""

import asyncio
import os
import pathlib
import random
import time

import pytest

from rackpost import clock
from rackpost.coordinator import role_orders
from rackpost.decide import eligibility
from rackpost import logs
from rackpost.platform import settings
from rackpost import program
from rackpost.routing import endpoints
from rackpost import site_program
from rackpost import types
from tests import platform_site

_SUSPENDED_S = 7.0
# The constant reading of the monotonic clock.
_MONOTONIC_S = 1000.0


class _Clocks:
    """Fake clocks of a host; only the boot clock counts suspended time."""

    def __init__(self) -> None:
        self._suspended_s = 0.0
        # Time on the event loop's clock across each suspension.
        self.passed_s: list[float] = []

    def clock_gettime(self, clock: int) -> float:
        if clock == time.CLOCK_BOOTTIME:
            return _MONOTONIC_S + self._suspended_s
        return _MONOTONIC_S

    def suspend(self) -> None:
        self._suspended_s += _SUSPENDED_S

    async def main(self, *args: object) -> None:
        """Run a program that is suspended once."""
        loop = asyncio.get_running_loop()
        before = loop.time()
        self.suspend()
        self.passed_s.append(loop.time() - before)


def test_the_clock_of_every_program_counts_the_time_of_a_suspended_vm(
    monkeypatch: pytest.MonkeyPatch, tmp_path: pathlib.Path
) -> None:
    clocks = _Clocks()
    plan = platform_site.Plan(root=tmp_path)
    host = plan.host(31, kind="edge")
    output = logs.BoundedOutput(fd=os.open(os.devnull, os.O_WRONLY))
    monkeypatch.setattr(time, "clock_gettime", clocks.clock_gettime)
    monkeypatch.setattr(logs, "to_stream", lambda: None)
    monkeypatch.setattr(logs, "to_stdout", lambda **common: output)
    monkeypatch.setattr(settings, "load", lambda: host)
    monkeypatch.setenv(settings.PATH_VARIABLE, str(tmp_path / "node.json"))
    # Programs of a site exit without waiting for their threads.
    monkeypatch.setattr(os, "_exit", lambda code: None)
    program.run(clocks.main)
    site_program.run(logs.Part.GATEWAY, clocks.main)
    assert clocks.passed_s == [_SUSPENDED_S, _SUSPENDED_S]


class _SlowOrders(role_orders.OrderSender):
    """Suspends the VM just after an endpoint's report."""

    def __init__(self, *, clocks: _Clocks) -> None:
        table = endpoints.EndpointTable()
        super().__init__(
            holder=types.VmId("core-1"),
            eligible=eligibility.Eligibility(
                table=table, rng=random.Random(1)
            ),
        )
        self._clocks = clocks
        self.methods: list[bytes] = []

    async def _call(
        self,
        endpoint: endpoints.Endpoint,
        method: bytes,
        path: bytes,
        body: bytes,
    ) -> role_orders.Answer:
        self.methods.append(method)
        self._clocks.suspend()
        report = b'{"stage":"decode","busy":false,"sequence":0}'
        return role_orders.Answer(status=200, body=report)


def test_no_order_is_sent_after_a_suspension(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Another coordinator may lead by then."""
    clocks = _Clocks()
    monkeypatch.setattr(time, "clock_gettime", clocks.clock_gettime)
    endpoint = endpoints.Endpoint(
        id=types.EndpointId("e1"), address="127.0.0.1:9"
    )

    async def main() -> None:
        sender = _SlowOrders(clocks=clocks)
        until = asyncio.get_running_loop().time() + 3.0
        outcome = await sender.send_order(
            endpoint, types.Role.PREFILL, types.Fence(1), until=until
        )
        assert outcome is role_orders.OrderOutcome.REFUSED
        assert sender.methods == [b"GET"]

    clock.run(main())


def test_that_it_was_suspended_is_told_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clocks = _Clocks()
    monkeypatch.setattr(time, "clock_gettime", clocks.clock_gettime)
    watch = clock.SuspendWatch(part=logs.Part.GATEWAY)
    assert watch.look() == 0.0
    clocks.suspend()
    assert watch.look() == _SUSPENDED_S
    assert watch.look() == 0.0
