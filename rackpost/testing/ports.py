"""Free TCP ports on loopback."""

import contextlib
import socket


def free(count: int) -> list[int]:
    """Return distinct ports that are currently unused."""
    with contextlib.ExitStack() as stack:
        socks = [
            stack.enter_context(socket.create_server(("127.0.0.1", 0)))
            for _ in range(count)
        ]
        return [sock.getsockname()[1] for sock in socks]
