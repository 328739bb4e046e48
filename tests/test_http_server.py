"""The listening socket of the HTTP server."""

import socket

from rackpost import http_server


def test_the_listening_socket_has_the_tcp_protocol_set() -> None:
    """Without it, event loops leave Nagle's algorithm on: late tokens."""
    sock = http_server._listening("127.0.0.1", 0)
    try:
        assert sock.proto == socket.IPPROTO_TCP
    finally:
        sock.close()
