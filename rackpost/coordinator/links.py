"""Links within a site: their ports, their patience, and dialling."""

import asyncio
from typing import Any
from typing import Awaitable
from typing import Callable
from typing import Iterable

import msgspec

from rackpost import exceptions
from rackpost.link import websocket
from rackpost import logs

# The platform gives processes no secret, so that the key proves no more
# than that a peer speaks this protocol.
SECURITY = websocket.Security(key=b"rackpost-site-link")
# A cut says nothing: a silent peer is given up after 1.5 s, and dialled
# again every 0.15 s, so that a healed link is back within a second.
TIMEOUTS = websocket.Patience(
    ping_s=0.7, ping_timeout_s=0.8, open_s=1.0, close_s=0.2
)
_REDIAL_S = 0.15
# A host that is down answers nothing, and one that has just come up does
# not see what was sent before: a first dial is given up after this, in
# seconds, each further one has twice the time up to `TIMEOUTS.open_s`.
# Some 20 times the usual time.  With a whole second, gateways that started
# just before their coordinators were linked 1.1 s later (all power lost).
_FIRST_OPEN_S = 0.2

# Offsets from the first of the internal ports.
LINKS_PORT = 0
LOADS_PORT = 1
METRICS_PORT = 2


def host_of(address: str) -> str:
    """The host of `host:port`."""
    return address.rpartition(":")[0]


Use = Callable[[str, websocket.WebSocketChannel], Awaitable[None]]


class Dialler:
    """Keeps a link to each of a set of hosts; `on_link` runs on each."""

    def __init__(
        self, *, part: logs.Part, port: int, kinds: Any, on_link: Use
    ) -> None:
        self._part = part
        self._port = port
        self._kinds = kinds
        self._use = on_link
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self.linked_hosts: set[str] = set()

    def set_hosts(self, hosts: Iterable[str]) -> None:
        """Link to these hosts, and to no others."""
        wanted = set(hosts)
        for host in wanted - set(self._tasks):
            self._tasks[host] = asyncio.create_task(self._keep(host))
        for host in set(self._tasks) - wanted:
            self._tasks.pop(host).cancel()

    async def _keep(self, host: str) -> None:
        open_s = _FIRST_OPEN_S
        while True:
            try:
                async with websocket.connected(
                    f"{host}:{self._port}",
                    security=SECURITY,
                    kinds=self._kinds,
                    patience=msgspec.structs.replace(TIMEOUTS, open_s=open_s),
                ) as conn:
                    open_s = _FIRST_OPEN_S
                    await self._while_up(host, conn)
            except exceptions.LinkError as exc:
                if open_s == _FIRST_OPEN_S:
                    # Once; it is dialled until it is there.
                    logs.say(
                        self._part, "Link not made.", peer=host, why=str(exc)
                    )
                open_s = min(2.0 * open_s, TIMEOUTS.open_s)
            await asyncio.sleep(_REDIAL_S)

    async def _while_up(
        self, host: str, conn: websocket.WebSocketChannel
    ) -> None:
        logs.say(self._part, "Link is up.", peer=host)
        self.linked_hosts.add(host)
        try:
            await self._use(host, conn)
            await conn.ended()
        finally:
            self.linked_hosts.discard(host)
            logs.say(self._part, "Link is lost.", peer=host, why=conn.why)

    def close(self) -> None:
        """End all links."""
        self.set_hosts(())
