"""Model engines and plain services over HTTP, see docs/ENDPOINTS.md.

Model engines serve the OpenAI API with extensions for separate prefill:
`kv_transfer_params`, `priority`, and server-sent events with ids.
"""

import asyncio
import contextlib
from typing import Any
from typing import AsyncGenerator
from typing import AsyncIterator

import aiohttp
import msgspec

from rackpost.agent import engine
from rackpost.decide import slots
from rackpost import exceptions
from rackpost.http1 import message
from rackpost.http1 import retry_after
from rackpost import logs
from rackpost import types

# A last resort; the limits of the agent's watchdog are shorter.
_TOTAL_S = 3600.0
_CONNECT_S = 1.0
_CHUNK_BYTES = 16 << 10
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
    }
)
# Statuses of a rejected request, which may carry Retry-After.
_REJECTED = (429, 503)
_NOT_STARTED = (aiohttp.ClientConnectorError, aiohttp.ServerTimeoutError)


class _Delta(msgspec.Struct):
    """The text of a streamed choice."""

    content: str | None = None


class _Choice(msgspec.Struct):
    """One choice of an answer."""

    delta: _Delta | None = None
    text: str | None = None


class _Chunk(msgspec.Struct):
    """An event of a streamed answer."""

    choices: list[_Choice] = []
    error: str | None = None


class _Version(msgspec.Struct):
    """The version of an engine's software."""

    version: str


class _PrefillAnswer(msgspec.Struct):
    """The answer to a prefill."""

    kv_transfer_params: dict[str, Any]
    cached_tokens: int = 0


class _CacheEvent(msgspec.Struct):
    """A cache event; `type` is BlockStored or BlockRemoved."""

    type: str
    block_hashes: list[int] = []


class _CacheEvents(msgspec.Struct):
    """Cache events, and the sequence number of the last one."""

    last: int
    events: list[_CacheEvent]


def end_to_end_headers(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    """Return the headers without the hop-by-hop ones."""
    named = {
        word.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for word in value.split(",")
    }
    drop = _HOP_BY_HOP | named
    return tuple(
        (str(name), str(value))
        for name, value in headers
        if name.lower() not in drop
    )


def _request_id(key: slots.AttemptKey) -> str:
    return f"{key.req}.{key.attempt}"


class HttpEngine(engine.Engine):
    """An endpoint at a base URL, usually on the agent's own VM."""

    def __init__(self, *, url: str) -> None:
        self._url = url.rstrip("/")
        self._events_after = 0
        self._loop = asyncio.get_running_loop()
        self._backoff_until = 0.0
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(
                total=_TOTAL_S, sock_connect=_CONNECT_S
            ),
            # Without an id that endpoints echo, a late answer can only be told
            # by its connection.
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            auto_decompress=False,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    @contextlib.asynccontextmanager
    async def _call(
        self, method: str, path: str, **more: Any
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        url = self._url + path
        self._check_backoff()
        try:
            async with self._session.request(method, url, **more) as resp:
                if not message.is_final_status(resp.status):
                    raise exceptions.EngineError(
                        f"not an answer: status {resp.status:03d}"
                    )
                self._record_backoff(resp)
                yield resp
        except _NOT_STARTED as exc:
            raise exceptions.EngineError(str(exc), ran=False) from exc
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise exceptions.EngineError(str(exc)) from exc

    def _check_backoff(self) -> None:
        """Raise EngineError while a requested back-off lasts."""
        left_s = self._backoff_until - self._loop.time()
        if left_s > 0.0:
            raise exceptions.EngineError(
                "asked for back-off", ran=False, backoff_s=left_s
            )

    def _record_backoff(self, resp: aiohttp.ClientResponse) -> None:
        requested_s = _backoff_s(resp)
        if requested_s <= 0.0:
            return
        until = self._loop.time() + requested_s
        self._backoff_until = max(self._backoff_until, until)
        logs.say(
            logs.Part.AGENT,
            "Endpoint asks for back-off.",
            status=resp.status,
            backoff_s=round(requested_s, 3),
        )

    async def prefill(
        self, *, key: slots.AttemptKey, body: bytes, priority: int
    ) -> engine.PrefillResult:
        """Run a prefill with the KV cache kept for a remote decode."""
        req = msgspec.json.decode(body)
        req["max_tokens"] = 1
        req["stream"] = False
        req["priority"] = priority
        req["kv_transfer_params"] = {"do_remote_decode": True}
        async with self._post(key, req) as resp:
            await _check(resp)
            try:
                found = msgspec.json.decode(
                    await resp.read(), type=_PrefillAnswer
                )
            except exceptions.DECODE_ERRORS as exc:
                raise exceptions.EngineError(f"bad answer: {exc}") from exc
        return engine.PrefillResult(
            kv=found.kv_transfer_params, cached_tokens=found.cached_tokens
        )

    async def warm(
        self, *, key: slots.AttemptKey, body: bytes, priority: int
    ) -> None:
        """Run a prompt for one token, which caches its prefix."""
        req = msgspec.json.decode(body)
        req["max_tokens"] = 1
        req["stream"] = False
        req["priority"] = priority
        async with self._post(key, req) as resp:
            await _check(resp)
            await resp.read()

    def _post(
        self, key: slots.AttemptKey, req: dict[str, Any], **headers: str
    ) -> contextlib.AbstractAsyncContextManager[aiohttp.ClientResponse]:
        chat = "messages" in req
        return self._call(
            "POST",
            "/v1/chat/completions" if chat else "/v1/completions",
            data=msgspec.json.encode(req),
            headers={
                "Content-Type": "application/json",
                "X-Request-Id": _request_id(key),
                **headers,
            },
        )

    async def decode(
        self,
        *,
        key: slots.AttemptKey,
        body: bytes,
        kv: dict[str, Any] | None,
        offset: int,
        priority: int,
    ) -> AsyncGenerator[str, None]:
        """Stream an answer; a resumed one from `offset` on."""
        req = msgspec.json.decode(body)
        req["stream"] = True
        req["priority"] = priority
        if kv is not None:
            req["kv_transfer_params"] = {**kv, "do_remote_prefill": True}
        resume = {"Last-Event-ID": str(offset)} if offset else {}
        async with self._post(key, req, **resume) as resp:
            await _check(resp)
            async for text in _text_chunks(resp):
                yield text

    async def abort(self, *, key: slots.AttemptKey) -> None:
        """Abort a request."""
        payload = msgspec.json.encode({"request_ids": [_request_id(key)]})
        async with self._call("POST", "/abort_requests", data=payload):
            pass

    async def call(
        self,
        *,
        key: slots.AttemptKey,
        method: str,
        path: str,
        query: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> AsyncGenerator[engine.CallHead | bytes, None]:
        """Forward a call and stream its answer."""
        target = f"{path}?{query}" if query else path
        async with self._call(
            method,
            target,
            data=body or None,
            headers=[
                *end_to_end_headers(headers),
                ("X-Request-Id", _request_id(key)),
            ],
            allow_redirects=False,
        ) as resp:
            yield engine.CallHead(
                status=resp.status,
                headers=end_to_end_headers(tuple(resp.headers.items())),
            )
            async for chunk in resp.content.iter_chunked(_CHUNK_BYTES):
                yield chunk

    async def events(self) -> engine.CacheEvents:
        """Return the cache events since the last call."""
        path = f"/kv_events?after={self._events_after}"
        async with self._call("GET", path) as resp:
            if resp.status != 200:
                return engine.CacheEvents()
            try:
                found = msgspec.json.decode(
                    await resp.read(), type=_CacheEvents
                )
            except exceptions.DECODE_ERRORS:
                return engine.CacheEvents()
        self._events_after = found.last
        return engine.CacheEvents(
            stored=_blocks(found, "BlockStored"),
            removed=_blocks(found, "BlockRemoved"),
        )

    async def software(self) -> types.SoftwareVersion:
        """Return the version that the engine's `/version` names."""
        async with self._call("GET", "/version") as resp:
            if resp.status != 200:
                return types.SoftwareVersion("")
            try:
                found = msgspec.json.decode(await resp.read(), type=_Version)
            except exceptions.DECODE_ERRORS:
                return types.SoftwareVersion("")
        return types.SoftwareVersion(found.version)

    async def order(self, *, fence: types.Fence, what: str) -> bool:
        """Send a fenced order; False if the endpoint refused it."""
        payload = msgspec.json.encode({"fence": fence, "what": what})
        async with self._call("POST", "/orders", data=payload) as resp:
            return resp.status == 200


def _blocks(found: _CacheEvents, kind: str) -> tuple[types.BlockHash, ...]:
    return tuple(
        types.BlockHash(block)
        for event in found.events
        if event.type == kind
        for block in event.block_hashes
    )


def _backoff_s(resp: aiohttp.ClientResponse) -> float:
    """Return the seconds of back-off that an endpoint requests."""
    if resp.status not in _REJECTED:
        return 0.0
    value = resp.headers.get("Retry-After", "").encode()
    date = resp.headers.get("Date", "").encode()
    return retry_after.seconds(value, date) or 0.0


async def _check(resp: aiohttp.ClientResponse) -> None:
    if resp.status == 200:
        return
    text = (await resp.content.read(500)).decode(errors="replace")
    if resp.status == 410:
        raise engine.KvExpired(text)
    if resp.status == 502:
        raise engine.TransferFailed(text)
    # With these statuses the engine has not started the request.
    ran = resp.status not in (400, 404, 422, 429, 503)
    raise exceptions.EngineError(
        f"{resp.status}: {text}", ran=ran, backoff_s=_backoff_s(resp)
    )


async def _text_chunks(
    resp: aiohttp.ClientResponse,
) -> AsyncGenerator[str, None]:
    async for line in resp.content:
        if not line.startswith(b"data:"):
            continue
        data = line[5:].strip()
        if data == b"[DONE]":
            return
        try:
            chunk = msgspec.json.decode(data, type=_Chunk)
        except exceptions.DECODE_ERRORS as exc:
            raise exceptions.EngineError(f"bad event: {exc}") from exc
        if chunk.error is not None:
            raise exceptions.EngineError(chunk.error)
        for choice in chunk.choices:
            text = choice.text
            if choice.delta is not None:
                text = choice.delta.content
            if text:
                yield text
    raise exceptions.EngineError("the stream ended without [DONE]")
