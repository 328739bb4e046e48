"""A site whose model endpoints have several software versions."""

import asyncio
import contextlib
import functools
import pathlib
import re
from typing import AsyncIterator

from rackpost.http1 import message
from rackpost.http1 import server
from tests import crashing_site
from tests import platform_site

OLD = "v1"
NEW = "v2"
EVENTS = 4


class Endpoint(crashing_site.Endpoint):
    """Streams events that name its software version.

    A new stream stops after its first event until `go_on` is set; where
    `breaks` is set, its connection breaks then.
    """

    def __init__(
        self, *, ident: str, stage: str = "decode", software: str = OLD
    ) -> None:
        super().__init__(ident=ident, service="model", stage=stage)
        self.software = software
        self.go_on = asyncio.Event()
        self.breaks = False
        if stage == "decode":
            self.answer = self._stream

    async def _stream(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        after = int(message.find(req.headers, b"last-event-id") or 0)
        kind = [(b"content-type", b"text/event-stream")]
        responder.start(200, platform_site.vouching_headers(req) + kind)
        for number in range(after + 1, EVENTS + 1):
            await responder.send_chunk(
                b"id: %d\ndata: %s\n\n" % (number, self.software.encode())
            )
            if after == 0 and number == 1:
                await self.go_on.wait()
                if self.breaks:
                    responder.abort()
                    return
        responder.finish()

    @property
    def streams(self) -> int:
        """How many requests for a stream reached it."""
        return len(self.requests)


class Stream:
    """What a client has of a stream."""

    def __init__(self, *, status: int, text: bytes) -> None:
        self.status = status
        found = re.findall(rb"id: (\d+)\ndata: (\w+)\n\n", text)
        self.ids = [int(number) for number, _ in found]
        self.versions = {version.decode() for _, version in found}


class Client:
    """A client with an open connection to a gateway."""

    def __init__(
        self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._text = b""

    async def first_event(self) -> Stream:
        """Read until the first event has arrived."""
        async with asyncio.timeout(platform_site.TIMEOUT_S):
            while b"\n\n" not in self._text.partition(b"id: ")[2]:
                received = await self._reader.read(4096)
                assert received, self._text
                self._text += received
        return self._stream()

    async def rest(self) -> Stream:
        """Read until the gateway closes."""
        async with asyncio.timeout(platform_site.TIMEOUT_S):
            with contextlib.suppress(ConnectionError):
                while received := await self._reader.read(4096):
                    self._text += received
        return self._stream()

    def _stream(self) -> Stream:
        status = int(self._text.split(b" ", 2)[1]) if self._text else 0
        return Stream(status=status, text=self._text)

    def close(self) -> None:
        self._writer.close()


class Site(crashing_site.Site):
    """Prefill and decode endpoints of two software versions."""

    def __init__(
        self,
        *,
        plan: platform_site.Plan,
        core: tuple[int, ...],
        lost: int,
        endpoint: type[Endpoint] = Endpoint,
    ) -> None:
        super().__init__(plan=plan, core=core, lost=lost)
        self.old = [endpoint(ident=f"old{n}") for n in range(2)]
        self.new = [endpoint(ident=f"new{n}", software=NEW) for n in range(2)]
        self.decode = [*self.old, *self.new]
        self._away: set[str] = set()
        self.prefill = [
            Endpoint(ident="pre0", stage="prefill"),
            Endpoint(ident="pre1", stage="prefill", software=NEW),
        ]

    @property
    def endpoints(self) -> list[crashing_site.Endpoint]:
        found = super().endpoints
        return [one for one in found if one.ident not in self._away]

    async def open(
        self, number: int, ident: str, more: str = "", path: str = "/res/x"
    ) -> Client:
        """Send a generation to a gateway."""
        reader, writer = await asyncio.open_connection(
            *self.plan.front(number)
        )
        head = (
            f"POST {path} HTTP/1.1\r\nHost: site.example\r\n"
            f"X-Request-Id: {ident}\r\nX-Deadline-Ms: 8000\r\n"
            "X-Token-Usage: 100,50\r\nConnection: close\r\n"
            f"{more}Content-Length: 6\r\n\r\nprompt"
        )
        writer.write(head.encode())
        return Client(reader=reader, writer=writer)

    async def resume(
        self, number: int, ident: str, first: str | None
    ) -> Stream:
        """Resume a stream after its first event, at a gateway.

        `first` is the request that began it, None if it is not named.
        """
        more = "Last-Event-Id: 1\r\n"
        if first is not None:
            more += f"Resumes: {first}\r\n"
        client = await self.open(number, ident, more)
        try:
            return await client.rest()
        finally:
            client.close()

    async def begin(self, number: int, ident: str) -> Stream:
        """Begin a stream at a gateway, and leave after its first event."""
        client = await self.open(number, ident)
        try:
            begun = await client.first_event()
        finally:
            client.close()
        # What a stopped gateway last reported counts for a while.
        for running in self.gateways.values():
            loads = running.site.loads
            await platform_site.until(
                lambda: not any(
                    loads.total(one.ident).requests for one in self.prefill
                )
            )
        return begun

    async def take_away(self, *gone: crashing_site.Endpoint) -> None:
        """Let endpoints leave, and wait until the gateways know it."""
        for one in gone:
            assert await self.operator.leave(self.core[-1], one) == 200
            self._away.add(one.ident)
        for running in self.gateways.values():
            await platform_site.until(
                lambda: not self._away & set(running.site.table.alive)
            )

    async def bring_back(self, *back: crashing_site.Endpoint) -> None:
        """Start endpoints again, under new ids."""
        for one in back:
            one.ident += "-again"
        await self.wait_until_known()

    async def restart_gateway(self, number: int) -> None:
        """Restart a gateway; return once it knows the endpoints' load."""
        await self.stop(number)
        await self.start(number)
        await self.wait_until_known()
        loads = self.gateways[number].site.loads
        await platform_site.until(
            lambda: all(loads.total(one.ident).requests for one in self.old)
        )

    @contextlib.asynccontextmanager
    async def old_endpoints_busy(self, gateway: int) -> AsyncIterator[None]:
        """Keep streams running at all endpoints of the old version.

        Those of the new version, which are away, come back idle: a choice
        without regard to the version takes them.
        """
        clients = [await self.open(gateway, f"busy{n}") for n in range(4)]
        for client in clients:
            await client.first_event()
        assert all(one.streams for one in self.old)
        await self.bring_back(*self.new)
        try:
            yield
        finally:
            for client in clients:
                client.close()


def unpowered(
    root: pathlib.Path, endpoint: type[Endpoint] = Endpoint
) -> contextlib.AbstractAsyncContextManager[Site]:
    """A site whose endpoints run; no coordinator or gateway does yet."""
    return crashing_site.site(
        root, make_site=functools.partial(Site, endpoint=endpoint)
    )


@contextlib.asynccontextmanager
async def site(
    root: pathlib.Path, endpoint: type[Endpoint] = Endpoint
) -> AsyncIterator[Site]:
    """A running site with two gateways, which know each other."""
    async with unpowered(root, endpoint) as found, found.powered(first=True):
        for running in found.gateways.values():
            await platform_site.until(
                lambda: running.site.gateway_count == len(found.gateways)
            )
        yield found
