"""An agent's calls to an endpoint whose answers are not as they should be."""

import asyncio

import pytest

from rackpost.agent import engine_http
from rackpost.decide import slots
from rackpost import exceptions
from rackpost.http1 import message
from rackpost.http1 import server

_CALLS = 4


async def _call(engine: engine_http.HttpEngine, number: int) -> bytes:
    items = engine.call(
        key=slots.AttemptKey(f"r{number}", 1),
        method="GET",
        path=f"/{number}",
        query="",
        headers=(),
        body=b"",
    )
    return b"".join([item async for item in items if isinstance(item, bytes)])


def test_a_late_answer_is_not_taken_for_that_of_the_next_call() -> None:
    """Each caller got the answer of the caller before."""
    sent_again = []

    async def answer(
        req: message.Request, responder: server.Responder
    ) -> None:
        responder.send(200, [], b"to " + req.path)
        # A second time, once the call is over.
        loop = asyncio.get_running_loop()
        loop.call_later(0.02, send_again, responder, req)

    def send_again(responder: server.Responder, req: message.Request) -> None:
        responder.send(200, [], b"to " + req.path)
        sent_again.append(req.path)

    async def main() -> None:
        listening = server.Server(handler=answer, failed=lambda req, exc: None)
        async with listening.serving("127.0.0.1", 0) as port:
            engine = engine_http.HttpEngine(url=f"http://127.0.0.1:{port}")
            try:
                for number in range(_CALLS):
                    assert await _call(engine, number) == b"to /%d" % number
                    while len(sent_again) <= number:
                        await asyncio.sleep(0.005)
            finally:
                await engine.close()

    asyncio.run(main())


@pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
def test_a_status_that_http_does_not_have_is_no_answer(status: bytes) -> None:
    """It was passed on to the caller."""

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 %b -\r\nContent-Length: 1\r\n\r\nx" % status)

    async def main() -> None:
        listener = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        async with listener:
            engine = engine_http.HttpEngine(url=f"http://127.0.0.1:{port}")
            try:
                with pytest.raises(exceptions.EngineError) as caught:
                    await _call(engine, 1)
                # It may have run.
                assert caught.value.ran
            finally:
                await engine.close()

    asyncio.run(main())
