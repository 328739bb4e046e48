"""Orders agents to leave when the platform lists their VMs as leaving.

The list may lag and does not decide membership, which follows leases and the
agents' own messages.  Each incarnation of an agent gets one order, whichever
replica leads.
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
    """The state of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True, kw_only=True):
    """One VM of the list."""

    name: types.VmId
    state: VmState


class PlatformList(abc.ABC):
    """A source of the platform's list of VMs."""

    @abc.abstractmethod
    async def read(self) -> list[Vm]:
        """Return the current list; raises ControlError if that fails."""


class HttpList(PlatformList):
    """A list in JSON at a URL: `[{"name": …, "state": …}, …]`."""

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
            *exceptions.DECODE_ERRORS,
        ) as exc:
            raise exceptions.ControlError(f"platform list: {exc}") from exc


class LeavingVmOrders:
    """Orders agents on leaving VMs to leave."""

    def __init__(self, *, node: node_mod.Node, platform: PlatformList) -> None:
        self._node = node
        self._platform = platform
        self._ordered: set[str] = set()

    async def run(self) -> None:
        """Poll the list while this replica leads, until cancelled."""
        while True:
            await asyncio.sleep(POLL_S)
            if not self._node.is_leader:
                continue
            try:
                await self._order_leaving(await self._platform.read())
            except exceptions.ControlError as exc:
                logs.say(
                    logs.Part.CONTROL,
                    "Platform list unavailable.",
                    why=str(exc),
                )

    async def _order_leaving(self, listed: list[Vm]) -> None:
        leaving = {vm.name for vm in listed if vm.state is VmState.LEAVING}
        for member in list(self._node.machine.members.values()):
            if member.vm not in leaving or not member.service:
                continue
            # All replicas derive the same id, so one order is committed.
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
