"""Streams without a length or chunks that break while endpoints live on.

Guards against prompt parts that are held back for an hour because the
process that saw the broken connections is gone.
"""

import asyncio
import contextlib
import pathlib
from typing import AsyncIterator

from rackpost.http1 import message
from rackpost.http1 import server
from tests import crashing_site
from tests import platform_site

_EVENT = b"id: %d\ndata: x%d\n\n"
_EVENTS = 4
# Enough for three endpoints to break under the parts of all prompts.
_BREAKS = 8
_HEARTBEAT_S = 0.3
_LONG = b"long"
_BREAKING = b"breaking"


class _Endpoint(crashing_site.Endpoint):
    """Answers with streams that end with their connection.

    Those of some requests break off within an event, and others go on until
    they are told to end.
    """

    def __init__(self, *, ident: str, service: str, stage: str = "") -> None:
        super().__init__(ident=ident, service=service, stage=stage)
        self.ended = asyncio.Event()

    async def stream(
        self,
        req: message.Request,
        responder: server.Responder,
        first: int,
        after: int,
    ) -> None:
        kind = [(b"content-type", b"text/event-stream")]
        responder._conn.closing = True
        responder.send_head(200, self._headers(req) + kind)
        if req.body.startswith(_BREAKING):
            responder._conn.write(b"id: 1\ndata")
            return
        number = 1
        while req.body.startswith(_LONG) and not self.ended.is_set():
            responder._conn.write(_EVENT % (number, number))
            number += 1
            await asyncio.sleep(0.02)
        for number in range(number, number + _EVENTS):
            responder._conn.write(_EVENT % (number, number))


class _Site(crashing_site.Site):
    """A site whose decode endpoints answer in that form."""

    def __init__(self, **more: object) -> None:
        super().__init__(**more)
        self.decode = [
            _Endpoint(ident=f"dec{n}", service="model", stage="decode")
            for n in range(4)
        ]
        self._number = 0

    async def generate(self, body: bytes) -> bytes:
        """Send a request that shares all parts of its prompt but the last."""
        self._number += 1
        # Long streams run well, and would speak for the parts of the others.
        shared = "b0:20" if body == _LONG else "a0:20,a1:20"
        parts = f"X-Prompt-Prefix: {shared},{self._number:x}f:9\r\n"
        return await self.send(
            31, "/gen/x", b"%b %d" % (body, self._number), parts
        )

    async def break_streams(self) -> None:
        for _ in range(_BREAKS):
            await self.generate(_BREAKING)
        assert b" 503 " in await self.generate(b"sound")

    async def serve_again(self) -> None:
        async with asyncio.timeout(platform_site.TIMEOUT_S):
            while b" 200 " not in await self.generate(b"sound"):
                await asyncio.sleep(0.1)

    @contextlib.asynccontextmanager
    async def heartbeats(self) -> AsyncIterator[None]:
        """Let endpoints send heartbeats while the block runs."""

        async def beat() -> None:
            while True:
                await asyncio.sleep(_HEARTBEAT_S)
                with contextlib.suppress(OSError):
                    for endpoint in self.endpoints:
                        await self.operator.send_heartbeat(
                            self.core[-1], endpoint
                        )

        task = asyncio.create_task(beat())
        try:
            yield
        finally:
            task.cancel()


def test_parts_are_released_after_the_gateway_that_saw_them_restarts(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with crashing_site.site(tmp_path, make_site=_Site) as site:
            async with site.powered(first=True), site.heartbeats():
                await site.break_streams()
                await site.stop(31)
                await site.start(31)
                await site.wait_until_known()
                await site.serve_again()

    asyncio.run(main())


def test_parts_are_released_after_all_processes_restart(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with crashing_site.site(tmp_path, make_site=_Site) as site:
            async with site.powered(first=True):
                await site.break_streams()
                await platform_site.until(
                    lambda: (tmp_path / "core-11" / "quarantine").exists()
                )
            async with site.powered(first=False), site.heartbeats():
                await site.serve_again()

    asyncio.run(main())


# Guards against parts that are held back for the seconds until endpoints have
# sent enough heartbeats, while other streams go on there.
def test_streams_that_go_on_show_that_their_endpoints_live(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with crashing_site.site(tmp_path, make_site=_Site) as site:
            async with site.powered(first=True):
                # Two at each endpoint.
                going_on = [
                    asyncio.create_task(site.generate(_LONG)) for _ in range(8)
                ]
                await site.wait_until_running(8)
                await site.break_streams()
                # No heartbeat is sent meanwhile.
                await site.serve_again()
                for endpoint in site.decode:
                    endpoint.ended.set()
                for one in await asyncio.gather(*going_on):
                    assert b" 200 " in one

    asyncio.run(main())
