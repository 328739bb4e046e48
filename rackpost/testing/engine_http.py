"""Serves the simulated engine and plain service over HTTP."""

import contextlib
import json
from typing import Any
from typing import AsyncIterator

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from rackpost.agent import engine as engine_mod
from rackpost.decide import slots
from rackpost import exceptions
from rackpost.testing import engine
from rackpost.testing import plain
from rackpost import types

# Kept for clients that poll rarely.
_MAX_KEPT_EVENTS = 4096


def _key_of(req: requests.Request) -> slots.AttemptKey:
    name = req.headers.get("x-request-id", "none.1")
    head, _, attempt = name.rpartition(".")
    number = int(attempt) if attempt.isdigit() else 1
    return slots.AttemptKey(
        types.RequestId(head or name), types.Attempt(number)
    )


def _error(exc: exceptions.EngineError) -> responses.Response:
    status = 500
    if isinstance(exc, engine_mod.KvExpired):
        status = 410
    elif isinstance(exc, engine_mod.TransferFailed):
        status = 502
    elif not exc.ran:
        status = 503
    return responses.PlainTextResponse(str(exc), status)


class _Stream(responses.StreamingResponse):
    """Server-sent events that close their source on a disconnect."""

    def __init__(self, source: AsyncIterator[str]) -> None:
        super().__init__(source, media_type="text/event-stream")

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        try:
            await super().__call__(scope, receive, send)
        finally:
            await self.body_iterator.aclose()  # type: ignore


class EngineApp:
    """The HTTP API of a simulated engine."""

    def __init__(self, *, standin: engine.StandInEngine) -> None:
        self._engine = standin
        self._events: list[tuple[int, tuple[int, ...]]] = []
        self._last = 0
        self.app = applications.Starlette(
            routes=[
                routing.Route("/v1/completions", self._run, methods=["POST"]),
                routing.Route(
                    "/v1/chat/completions", self._run, methods=["POST"]
                ),
                routing.Route(
                    "/abort_requests", self._abort, methods=["POST"]
                ),
                routing.Route("/kv_events", self._kv_events),
                routing.Route("/version", self._version),
                routing.Route("/orders", self._order, methods=["POST"]),
            ]
        )

    async def _run(self, req: requests.Request) -> responses.Response:
        body = await req.body()
        body_json = json.loads(body)
        params = body_json.get("kv_transfer_params") or {}
        key = _key_of(req)
        priority = int(body_json.get("priority", 0))
        try:
            if params.get("do_remote_decode"):
                return await self._prefill(key, body, priority)
            return await self._decode(req, key, body, body_json, params)
        except exceptions.EngineError as exc:
            return _error(exc)

    async def _prefill(
        self, key: slots.AttemptKey, body: bytes, priority: int
    ) -> responses.Response:
        done = await self._engine.prefill(
            key=key, body=body, priority=priority
        )
        return responses.JSONResponse(
            {
                "kv_transfer_params": done.kv,
                "cached_tokens": done.cached_tokens,
            }
        )

    async def _decode(
        self,
        req: requests.Request,
        key: slots.AttemptKey,
        body: bytes,
        body_json: dict[str, Any],
        params: dict[str, Any],
    ) -> responses.Response:
        offset = int(req.headers.get("last-event-id", 0))
        tokens = self._engine.decode(
            key=key,
            body=body,
            kv=params if params.get("do_remote_prefill") else None,
            offset=offset,
            priority=int(body_json.get("priority", 0)),
        )
        chat = "messages" in body_json
        if body_json.get("stream"):
            return _Stream(_events(tokens, offset, chat))
        async with contextlib.aclosing(tokens):
            text = "".join([token async for token in tokens])
        choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
        choice["message" if chat else "text"] = (
            {"role": "assistant", "content": text} if chat else text
        )
        return responses.JSONResponse({"choices": [choice]})

    async def _abort(self, req: requests.Request) -> responses.Response:
        for name in (await req.json())["request_ids"]:
            head, _, attempt = str(name).rpartition(".")
            await self._engine.abort(
                key=slots.AttemptKey(
                    types.RequestId(head), types.Attempt(int(attempt))
                )
            )
        return responses.Response(status_code=200)

    async def _kv_events(self, req: requests.Request) -> responses.Response:
        seen = await self._engine.events()
        if seen.stored:
            self._last += 1
            self._events.append((self._last, seen.stored))
            del self._events[:-_MAX_KEPT_EVENTS]
        after = int(req.query_params.get("after", 0))
        found = [
            {"type": "BlockStored", "block_hashes": list(blocks)}
            for number, blocks in self._events
            if number > after
        ]
        return responses.JSONResponse({"last": self._last, "events": found})

    async def _version(self, req: requests.Request) -> responses.Response:
        return responses.JSONResponse(
            {"version": await self._engine.software()}
        )

    async def _order(self, req: requests.Request) -> responses.Response:
        body_json = await req.json()
        taken = self._engine.order(
            fence=types.Fence(int(body_json["fence"])),
            what=str(body_json["what"]),
        )
        return responses.Response(status_code=200 if taken else 409)


async def _events(tokens: Any, offset: int, chat: bool) -> AsyncIterator[str]:
    number = offset
    async with contextlib.aclosing(tokens):
        try:
            async for token in tokens:
                number += 1
                choice: dict[str, Any] = {"index": 0}
                if chat:
                    choice["delta"] = {"content": token}
                else:
                    choice["text"] = token
                data = json.dumps({"choices": [choice]})
                yield f"id: {number}\ndata: {data}\n\n"
        except exceptions.EngineError as exc:
            yield f"data: {json.dumps({'error': str(exc)})}\n\n"
            return
    yield "data: [DONE]\n\n"


def plain_app(standin: plain.StandInPlain) -> applications.Starlette:
    """Return the app of a plain service: any method on any path."""

    async def run(req: requests.Request) -> responses.Response:
        source = standin.call(
            key=_key_of(req),
            method=req.method,
            path=req.url.path,
            query=req.url.query,
            headers=tuple(req.headers.items()),
            body=await req.body(),
        )
        try:
            chunks = [chunk async for chunk in source]
        except exceptions.EngineError as exc:
            return _error(exc)
        body = b"".join(chunk for chunk in chunks if isinstance(chunk, bytes))
        return responses.Response(body, 200, media_type="text/plain")

    methods = ["GET", "POST", "PUT", "PATCH", "DELETE"]
    return applications.Starlette(
        routes=[routing.Route("/{path:path}", run, methods=methods)]
    )
