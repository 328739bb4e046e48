"""HTTP responses to callers, written from the events of a request."""

import asyncio
import contextlib
import math
from typing import Any
from typing import AsyncGenerator
from typing import Awaitable
from typing import Callable

import msgspec
from starlette import responses

from rackpost.entry import openai
from rackpost.entry import request
from rackpost import exceptions
from rackpost import types

# How long one send to the caller may block.
SEND_TIMEOUT_S = 10.0

Send = Callable[[Any], Awaitable[None]]


def problem_response(problem: openai.Problem) -> responses.Response:
    """Return a problem as an HTTP response."""
    headers = {"x-request-id": problem.request_id}
    if problem.retry_after_s is not None:
        headers["retry-after"] = str(math.ceil(problem.retry_after_s))
    return responses.Response(
        msgspec.json.encode(problem),
        problem.status,
        headers=headers,
        media_type="application/problem+json",
    )


class _Answer(responses.Response):
    """A response that is written from a request's events.

    If the caller disconnects, or a send to it blocks for SEND_TIMEOUT_S,
    the events are closed, which releases all that the request holds.
    """

    def __init__(
        self,
        *,
        events: AsyncGenerator[request.Event, None],
        req: types.RequestId,
    ) -> None:
        super().__init__()
        self._events = events
        self._req = req

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        write_task = asyncio.create_task(self._write_closing(scope, send))
        disconnect_task = asyncio.create_task(_wait_for_disconnect(receive))
        try:
            await asyncio.wait(
                [write_task, disconnect_task],
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            disconnect_task.cancel()
            if not write_task.done():
                write_task.cancel()
            await asyncio.wait([write_task, disconnect_task])
        if not write_task.cancelled():
            write_task.result()

    async def _write_closing(self, scope: Any, send: Send) -> None:
        async with contextlib.aclosing(self._events):
            try:
                await self._write(scope, send)
            except _CallerStalled:
                return

    async def _write(self, scope: Any, send: Send) -> None:
        raise NotImplementedError

    async def _send_start(
        self, send: Send, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        all_headers = [(b"x-request-id", self._req.encode()), *headers]
        await _send(
            send,
            {
                "type": "http.response.start",
                "status": status,
                "headers": all_headers,
            },
        )

    async def _send_body(self, send: Send, data: bytes, more: bool) -> None:
        await _send(
            send,
            {"type": "http.response.body", "body": data, "more_body": more},
        )


class _CallerStalled(exceptions.RackpostError):
    """The caller does not read its answer."""


async def _send(send: Send, event: Any) -> None:
    try:
        async with asyncio.timeout(SEND_TIMEOUT_S):
            await send(event)
    except TimeoutError:
        raise _CallerStalled("the caller does not read its answer") from None


async def _wait_for_disconnect(receive: Any) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


class ModelAnswer(_Answer):
    """The answer to a model request, streamed or in one body."""

    def __init__(
        self,
        *,
        events: AsyncGenerator[request.Event, None],
        req: types.RequestId,
        writer: openai.Writer,
        stream: bool,
    ) -> None:
        super().__init__(events=events, req=req)
        self._writer = writer
        self._stream = stream

    async def _write(self, scope: Any, send: Send) -> None:
        if self._stream:
            await self._write_stream(scope, send)
        else:
            await self._write_whole(scope, send)

    async def _write_stream(self, scope: Any, send: Send) -> None:
        started = False
        async for event in self._events:
            if isinstance(event, request.End):
                if event.outcome is types.Outcome.ANSWERED:
                    if not started:
                        await self._start_stream(send)
                    last = self._writer.final_events(event.tokens)
                elif started:
                    last = self._writer.error_event(event)
                else:
                    await _refuse(event, self._req, scope, send)
                    return
                await self._send_body(send, last, False)
                return
            if isinstance(event, request.TextChunk):
                if not started:
                    await self._start_stream(send)
                    started = True
                data = self._writer.chunk(event.text, None)
                await self._send_body(send, data, True)

    async def _start_stream(self, send: Send) -> None:
        await self._send_start(
            send,
            200,
            [
                (b"content-type", b"text/event-stream; charset=utf-8"),
                (b"cache-control", b"no-store"),
            ],
        )

    async def _write_whole(self, scope: Any, send: Send) -> None:
        texts: list[str] = []
        async for event in self._events:
            if isinstance(event, request.TextChunk):
                texts.append(event.text)
            elif isinstance(event, request.End):
                if event.outcome is not types.Outcome.ANSWERED:
                    await _refuse(event, self._req, scope, send)
                    return
                data = self._writer.complete_body("".join(texts), event.tokens)
                content_type = (b"content-type", b"application/json")
                await self._send_start(send, 200, [content_type])
                await self._send_body(send, data, False)
                return


class PlainAnswer(_Answer):
    """The answer of a plain service, forwarded chunk by chunk."""

    async def _write(self, scope: Any, send: Send) -> None:
        started = False
        async for event in self._events:
            if isinstance(event, request.PlainHead):
                started = True
                headers = [
                    (name.lower().encode(), value.encode())
                    for name, value in event.headers
                ]
                await self._send_start(send, event.status, headers)
            elif isinstance(event, request.PlainChunk):
                await self._send_body(send, event.data, True)
            elif isinstance(event, request.End):
                if event.outcome is types.Outcome.ANSWERED:
                    await self._send_body(send, b"", False)
                elif not started:
                    await _refuse(event, self._req, scope, send)
                # An answer that failed after its start is not terminated,
                # so that the caller sees that it is incomplete.
                return


async def _refuse(
    end: request.End, request_id: types.RequestId, scope: Any, send: Send
) -> None:
    answer = problem_response(openai.problem(end, request_id))
    await answer(scope, _receive_nothing, send)


async def _receive_nothing() -> Any:
    raise RuntimeError("a problem response does not receive")
