"""Plain-text status pages of a process, such as metrics and readiness."""

import contextlib
from typing import AsyncIterator
from typing import Callable

from rackpost.http1 import message
from rackpost.http1 import server
from rackpost.routing import model

_TEXT_HEADERS = [(b"content-type", b"text/plain; version=0.0.4")]

# Calls of pages have no bodies to speak of.
_LIMITS = model.Limits(body_bytes=4 << 10)
_MAX_REQUEST_BYTES = 1 << 20

Page = Callable[[], tuple[int, str]]


@contextlib.asynccontextmanager
async def serving(
    pages: dict[bytes, Page],
    *,
    host: str,
    port: int,
    failed: Callable[[message.Request, Exception], None],
) -> AsyncIterator[server.Server]:
    """Serve pages by path; each returns a status and a text."""

    async def handle(
        req: message.Request, responder: server.Responder
    ) -> None:
        page = pages.get(req.path)
        if page is None:
            responder.send(404, _TEXT_HEADERS, b"")
            return
        status, text = page()
        responder.send(status, _TEXT_HEADERS, text.encode())

    page_server = server.Server(
        handler=handle,
        failed=failed,
        limits=_LIMITS,
        max_request_bytes=_MAX_REQUEST_BYTES,
    )
    async with page_server.serving(host, port):
        yield page_server
