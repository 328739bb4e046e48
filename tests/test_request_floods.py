"""Callers that send bytes without end: memory stays within the VM's."""

import asyncio
import pathlib
from typing import cast

import pytest

from rackpost.http1 import server
from rackpost.routing import model
from tests import floods
from tests import programs

_MEMORY_MB = 150.0
_CALLERS = 20
_SECONDS = 0.8
_LIMITS = model.Limits(header_bytes=16 << 10, body_bytes=1 << 20)
# A read of an event loop on top of the limits.
_MAX_READ_BYTES = _LIMITS.body_bytes + (256 << 10)
_PORTS = (
    ("gateway", "clients"),
    ("gateway", "ready"),
    ("gateway", "metrics"),
    ("coordinator", "control"),
    ("coordinator", "links"),
    ("coordinator", "metrics"),
)


@pytest.mark.parametrize("role, port", _PORTS)
def test_callers_that_send_without_end_stay_within_the_memory(
    tmp_path: pathlib.Path, role: str, port: str
) -> None:
    """20 callers with one header value took a gateway to 589 MB of 150."""
    with programs.program(role, tmp_path, memory_mb=_MEMORY_MB) as one:
        one.start()
        programs.wait_until(lambda: one.is_up)
        for form in floods.FORMS:
            floods.flood(
                (one.ip, one.port(port)),
                form,
                callers=_CALLERS,
                seconds=_SECONDS,
            )
            assert one.exit_status() is None
            assert one.peak_mb < _MEMORY_MB, form
        programs.wait_until(lambda: one.is_up)


class _Transport(asyncio.Transport):
    """Records what is written, and whether the connection stands."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.is_open = True

    def write(self, data: bytes) -> None:
        self.written += data

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        pass

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        self.is_open = False

    def is_closing(self) -> bool:
        return False

    def abort(self) -> None:
        self.is_open = False


class _Caller:
    """A connection of a server that does not listen."""

    def __init__(self, *, listening: server.Server) -> None:
        self.conn = server.ServerConnection(server=listening)
        self.transport = _Transport()
        self.conn.connection_made(cast(asyncio.BaseTransport, self.transport))

    def send(self, data: bytes) -> None:
        self.conn.data_received(data)

    @property
    def status(self) -> bytes:
        """The status of the answer; empty before one is written."""
        return self.transport.written[9:12]


async def _answer(req: object, responder: server.Responder) -> None:
    await asyncio.Event().wait()


def _server(**more: int) -> server.Server:
    return server.Server(
        handler=_answer,
        failed=lambda req, exc: None,
        limits=_LIMITS,
        **more,
    )


@pytest.mark.parametrize("form", floods.FORMS)
def test_a_request_without_end_is_refused_in_bounds(form: str) -> None:
    """A parser keeps a header value until its end has arrived."""

    async def main() -> None:
        listening = _server()
        caller = _Caller(listening=listening)
        first, block = floods.FORMS[form]
        caller.send(first)
        sent = 0
        while caller.transport.is_open:
            caller.send(block)
            sent += len(block)
            # Six bytes are sent for each of a one-byte chunk.
            assert sent <= 6 * _MAX_READ_BYTES
            assert listening.requests.held_bytes <= _MAX_READ_BYTES
        assert caller.status in (b"400", b"413", b"431")
        assert listening.requests.held_bytes == 0

    asyncio.run(main())


def test_the_largest_of_many_requests_is_refused_as_not_run() -> None:
    """Each is within its limits, and all together are not."""

    async def main() -> None:
        listening = _server(max_request_bytes=1 << 20)
        callers = [_Caller(listening=listening) for _ in range(20)]
        head, _ = floods.FORMS["body with a length"]
        for number, caller in enumerate(callers):
            caller.send(head + b"x" * (10_000 * number))
            assert listening.requests.held_bytes <= 1 << 20
        refused = [one for one in callers if not one.transport.is_open]
        assert 0 < len(refused) < 10
        assert all(one.status == b"503" for one in refused)
        assert all(b"retry-after" in one.transport.written for one in refused)
        assert callers[0].transport.is_open
        assert listening.requests.shed == len(refused)

    asyncio.run(main())


def test_the_memory_of_a_lost_connection_is_free_at_once() -> None:
    """Connection and parser refer to each other: it was left to the GC."""

    async def main() -> None:
        listening = _server()
        caller = _Caller(listening=listening)
        head, block = floods.FORMS["body with a length"]
        caller.send(head + block)
        assert listening.requests.held_bytes > 0
        caller.conn.connection_lost(None)
        assert listening.requests.held_bytes == 0
        assert caller.conn._parser is None

    asyncio.run(main())
