"""Links between the processes of a site: ports, timeouts and dialling."""

import asyncio
from typing import Any
from typing import Awaitable
from typing import Callable
from typing import Iterable

import msgspec

from rackpost import exceptions
from rackpost.link import websocket
from rackpost import logs

# Not a secret: it only proves that a peer speaks this protocol.
SECURITY = websocket.Security(key=b"rackpost-site-link")
# A silent peer is detected within 1.5 s; with redials every 0.15 s a link is
# up again within a second after a partition heals.
TIMEOUTS = websocket.Timeouts(
    ping_s=0.7, ping_timeout_s=0.8, open_s=1.0, close_s=0.2
)
_REDIAL_PAUSE_S = 0.15
# Timeout of the first dial of a host; it doubles with each failure.  A short
# timeout soon reaches a host that comes up just after the dial: with a whole
# second, gateways that started just before their coordinators were linked
# 1.1 s later.
_FIRST_DIAL_TIMEOUT_S = 0.2

# Offsets from the first of the internal ports.
LINKS_PORT = 0
LOADS_PORT = 1
METRICS_PORT = 2


def host_of(address: str) -> str:
    """Return the host of `host:port`."""
    return address.rpartition(":")[0]


LinkHandler = Callable[[str, websocket.WebSocketChannel], Awaitable[None]]


class Dialler:
    """Keeps a link to each of a set of hosts.

    `on_link` is awaited with the host and the channel of each new link.
    """

    def __init__(
        self, *, part: logs.Part, port: int, kinds: Any, on_link: LinkHandler
    ) -> None:
        self._part = part
        self._port = port
        self._kinds = kinds
        self._on_link = on_link
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self.linked_hosts: set[str] = set()

    def set_hosts(self, hosts: Iterable[str]) -> None:
        """Keep links to exactly these hosts."""
        wanted = set(hosts)
        for host in wanted - set(self._tasks):
            self._tasks[host] = asyncio.create_task(self._keep_link(host))
        for host in set(self._tasks) - wanted:
            self._tasks.pop(host).cancel()

    async def _keep_link(self, host: str) -> None:
        open_s = _FIRST_DIAL_TIMEOUT_S
        while True:
            try:
                async with websocket.connected(
                    f"{host}:{self._port}",
                    security=SECURITY,
                    kinds=self._kinds,
                    timeouts=msgspec.structs.replace(TIMEOUTS, open_s=open_s),
                ) as conn:
                    open_s = _FIRST_DIAL_TIMEOUT_S
                    await self._run_link(host, conn)
            except exceptions.LinkError as exc:
                if open_s == _FIRST_DIAL_TIMEOUT_S:
                    # Logged once; redials continue until the host is up.
                    logs.say(
                        self._part, "Link not made.", peer=host, why=str(exc)
                    )
                open_s = min(2.0 * open_s, TIMEOUTS.open_s)
            await asyncio.sleep(_REDIAL_PAUSE_S)

    async def _run_link(
        self, host: str, conn: websocket.WebSocketChannel
    ) -> None:
        logs.say(self._part, "Link is up.", peer=host)
        self.linked_hosts.add(host)
        try:
            await self._on_link(host, conn)
            await conn.ended()
        finally:
            self.linked_hosts.discard(host)
            logs.say(
                self._part, "Link is lost.", peer=host, why=conn.end_reason
            )

    def close(self) -> None:
        """Close all links."""
        self.set_hosts(())
