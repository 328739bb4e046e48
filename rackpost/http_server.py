"""Serving of an ASGI application in an existing event loop."""

import asyncio
import contextlib
import socket
from typing import Any
from typing import AsyncIterator

import uvicorn

_STOP_TIMEOUT_S = 1
_BACKLOG = 1024


class _Server(uvicorn.Server):
    """A server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self):  # type: ignore[no-untyped-def]
        """Capture no signals."""
        yield


def _listening(host: str, port: int) -> socket.socket:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # Event loops set TCP_NODELAY only if the protocol is IPPROTO_TCP;
    # without it, the second chunk of an answer waits for the peer's delayed
    # acknowledgement.
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(_BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


@contextlib.asynccontextmanager
async def serving(
    app: Any, *, host: str, port: int, tls: tuple[str, str] | None = None
) -> AsyncIterator[int]:
    """Serve `app`; yields the port.  `tls` is a certificate and its key.

    Raises OSError if the address can't be bound.
    """
    sock = _listening(host, port)
    cfg = uvicorn.Config(
        app,
        log_level="warning",
        access_log=False,
        lifespan="off",
        timeout_graceful_shutdown=_STOP_TIMEOUT_S,
        timeout_keep_alive=30,
        ssl_certfile=tls[0] if tls else None,
        ssl_keyfile=tls[1] if tls else None,
        server_header=False,
        http="httptools",
    )
    server = _Server(cfg)
    task = asyncio.create_task(server.serve(sockets=[sock]))
    try:
        while not server.started and not task.done():
            await asyncio.sleep(0.005)
        yield sock.getsockname()[1]
    finally:
        server.should_exit = True
        await asyncio.wait([task])
        sock.close()
