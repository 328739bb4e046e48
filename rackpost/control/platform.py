"""The platform's list of VMs: a lagging hint that a VM is leaving.

Only a hint: leases and an agent's own word decide who is a member.  An
agent on a VM that is listed as leaving is ordered to leave, once for each
of its incarnations, whichever replica leads.
"""

import abc
import asyncio
import enum

import aiohttp
import msgspec

from rackpost.control import node as node_mod
from rackpost import exceptions
from rackpost import logs
from rackpost.state import commands
from rackpost import types

POLL_S = 5.0
_TIMEOUT_S = 3.0
_MAX_BYTES = 1 << 20


class VmState(enum.Enum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True, kw_only=True):
    """One VM of the list."""

    name: types.VmId
    state: VmState


class PlatformList(abc.ABC):
    """Where the list comes from."""

    @abc.abstractmethod
    async def read(self) -> list[Vm]:
        """The list as it is now; ControlError if it can't be had."""


class HttpList(PlatformList):
    """The list as JSON at a URL: `[{"name": …, "state": …}, …]`."""

    def __init__(self, *, url: str) -> None:
        self._url = url

    async def read(self) -> list[Vm]:
        """Fetch the list."""
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                async with session.get(self._url) as resp:
                    data = await resp.content.read(_MAX_BYTES)
            return msgspec.json.decode(data, type=list[Vm])
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            msgspec.MsgspecError,
        ) as exc:
            raise exceptions.ControlError(f"platform list: {exc}") from exc


class LeavingVmOrders:
    """Has agents on leaving VMs leave."""

    def __init__(self, *, node: node_mod.Node, platform: PlatformList) -> None:
        self._node = node
        self._platform = platform
        self._ordered: set[str] = set()

    async def run(self) -> None:
        """Follow the list while this replica leads, until cancelled."""
        while True:
            await asyncio.sleep(POLL_S)
            if not self._node.is_leader:
                continue
            try:
                await self._order_leaving(await self._platform.read())
            except exceptions.ControlError as exc:
                logs.say(logs.Part.CONTROL, "No list.", why=str(exc))

    async def _order_leaving(self, listed: list[Vm]) -> None:
        leaving = {vm.name for vm in listed if vm.state is VmState.LEAVING}
        for member in list(self._node.machine.members.values()):
            if member.vm not in leaving or not member.service:
                continue
            # The id is the same at every replica: one order is made.
            op = f"leave/{member.name}/{member.incarnation}"
            if op in self._ordered:
                continue
            result = await self._node.commit(
                commands.Order(
                    op=types.OperationId(op),
                    who="platform",
                    at=0.0,
                    agent=types.AgentId(member.name),
                    what="leave",
                )
            )
            if result is not None:
                self._ordered.add(op)
