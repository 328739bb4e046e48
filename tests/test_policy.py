"""Parts of the routing decisions that can be switched off."""

import asyncio
import os
import pathlib
import subprocess
import sys

import pytest

from rackpost.coordinator import messages
from rackpost import exceptions
from rackpost.gateway import load_exchange
from rackpost.gateway import policy
from rackpost.gateway import site as site_mod
from rackpost import types
from tests import platform_site
from tests import test_gateway


def test_all_parts_are_on_by_default() -> None:
    assert policy.from_environment({}) == policy.Policy()
    found = policy.from_environment(
        {policy.SPLIT_VARIABLE: "no", policy.SHARE_VARIABLE: "yes"}
    )
    assert not found.split and found.share


def test_the_error_for_a_bad_value_names_the_variable() -> None:
    with pytest.raises(exceptions.ConfigError) as caught:
        policy.from_environment({policy.SHARE_VARIABLE: "off"})
    assert policy.SHARE_VARIABLE in str(caught.value)


def test_without_the_split_prompts_are_prefilled_in_place(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        without_split = policy.Policy(split=False)
        async with platform_site.small_site(
            tmp_path, policy=without_split
        ) as site:
            got = await site.raw(test_gateway.generation())
            assert test_gateway.status(got) == 200
            assert not site.prefill.requests
            assert sum(len(one.requests) for one in site.decode) == 1

    asyncio.run(main())


def test_without_sharing_no_load_reports_are_sent(
    tmp_path: pathlib.Path,
) -> None:
    class DatagramCounter:
        """Counts datagrams."""

        def __init__(self) -> None:
            self.count = 0

        def sendto(self, data: bytes, address: object) -> None:
            self.count += 1

    async def sent(share: bool) -> int:
        plan = platform_site.Plan(root=tmp_path)
        site = site_mod.Site(
            host=plan.host(31, kind="edge"), policy=policy.Policy(share=share)
        )
        other = messages.GatewayAddress(
            vm=types.VmId("g2"), load_address="h:1"
        )
        site.set_gateways([other])
        exchange = load_exchange.LoadExchange(site=site)
        found = DatagramCounter()
        exchange._transport = found  # type: ignore[assignment]
        exchange._send()
        return found.count

    assert asyncio.run(sent(True)) == 1
    assert asyncio.run(sent(False)) == 0


def test_a_bad_value_ends_the_program_with_one_line() -> None:
    env = {**os.environ, policy.SPLIT_VARIABLE: "maybe"}
    done = subprocess.run(
        [sys.executable, "-m", "rackpost.cmd_gateway"],
        env=env,
        capture_output=True,
        text=True,
        timeout=platform_site.TIMEOUT_S,
    )
    assert done.returncode == 2
    assert done.stderr.count("\n") == 1
    assert policy.SPLIT_VARIABLE in done.stderr
