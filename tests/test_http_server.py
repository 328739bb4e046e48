"""The socket that HTTP is served on."""

import socket

from rackpost import http_server


def test_the_listening_socket_says_that_it_is_tcp() -> None:
    # Bug: event loops turn Nagle's algorithm off only on sockets with the
    # protocol set; one in a hundred first tokens came 40 ms late.
    sock = http_server._listening("127.0.0.1", 0)
    try:
        assert sock.proto == socket.IPPROTO_TCP
    finally:
        sock.close()
