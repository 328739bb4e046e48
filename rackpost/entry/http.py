"""The entry's HTTP API: an ASGI application for callers."""

import asyncio
import hashlib
import secrets
import time
from typing import Callable

import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from rackpost.agent import engine_http
from rackpost.decide import prefix
from rackpost.entry import answers
from rackpost.entry import core
from rackpost.entry import openai
from rackpost.entry import request
from rackpost import exceptions
from rackpost.state import tree as tree_mod
from rackpost import types

# How long a caller may take to send its body.
BODY_TIMEOUT_S = 10.0
_KIND_HEADER = "x-rackpost-kind"
_MAX_IDEMPOTENCY_KEY = 256

TreeNow = Callable[[], tree_mod.Tree]


class _CallerContext:
    """The caller, service and kind of a request, with their settings."""

    def __init__(
        self,
        *,
        caller: types.CallerId,
        service: str,
        kind: str,
        tree: tree_mod.Tree,
    ) -> None:
        self.caller = caller
        self.service = service
        self.kind = kind
        self._tree = tree
        self.terms = tree.terms(caller, service, kind, time.time())

    def number(self, name: str) -> int:
        """Return the value of an integer setting."""
        value = self._tree.value(
            self.caller, self.service, self.kind, name, time.time()
        )
        return int(value)


class CallerApp:
    """The routes of the callers' API.

    `tree` returns the settings in force, and `ready` whether the entry has
    received any yet.
    """

    def __init__(
        self,
        *,
        entry: core.Entry,
        tree: TreeNow,
        ready: Callable[[], bool],
    ) -> None:
        self._entry = entry
        self._tree = tree
        self._ready = ready
        plain_methods = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
        self.app = applications.Starlette(
            routes=[
                routing.Route(
                    "/v1/chat/completions", self._chat, methods=["POST"]
                ),
                routing.Route("/v1/completions", self._text, methods=["POST"]),
                routing.Route("/v1/models", self._models),
                routing.Route(
                    "/services/{service}/{path:path}",
                    self._plain,
                    methods=plain_methods,
                ),
                routing.Route("/v1/requests/{request_id}", self._trace),
                routing.Route("/metrics", self._metrics),
                routing.Route("/healthz", self._healthz),
                routing.Route("/readyz", self._readyz),
            ]
        )

    # Metrics, health checks and traces.

    async def _metrics(self, _: requests.Request) -> responses.Response:
        metrics = self._entry.metrics
        metrics.gauge("open_requests", self._entry.open_requests)
        return responses.PlainTextResponse(metrics.text())

    async def _healthz(self, _: requests.Request) -> responses.Response:
        return responses.PlainTextResponse("ok\n")

    async def _readyz(self, _: requests.Request) -> responses.Response:
        if self._ready():
            return responses.PlainTextResponse("ready\n")
        return responses.PlainTextResponse("no settings yet\n", 503)

    async def _trace(self, req: requests.Request) -> responses.Response:
        """Return the trace of one of the caller's latest requests."""
        request_id = types.RequestId(req.path_params["request_id"])
        try:
            _, caller = self._authenticate(req)
            trace = self._entry.traces.get(request_id)
            if trace is None or trace.caller != caller:
                raise exceptions.BadRequest(
                    "unknown-request", "not one of your latest", status=404
                )
        except exceptions.BadRequest as exc:
            return _bad_request_response(exc, request_id)
        return responses.Response(
            msgspec.json.encode(trace), media_type="application/json"
        )

    # Requests.

    async def _chat(self, req: requests.Request) -> responses.Response:
        return await self._model(req, chat=True)

    async def _text(self, req: requests.Request) -> responses.Response:
        return await self._model(req, chat=False)

    async def _model(
        self, req: requests.Request, *, chat: bool
    ) -> responses.Response:
        request_id = _new_id()
        try:
            tree, caller = self._authenticate(req)
            data = await _body(req)
            parsed = openai.parse(
                data,
                chat=chat,
                default_tokens=lambda model: int(
                    tree.value(
                        caller,
                        model,
                        req.headers.get(_KIND_HEADER, ""),
                        "max_tokens",
                        time.time(),
                    )
                ),
            )
            context = self._context(req, tree, caller, parsed.model)
            model_request = self._model_request(
                req, request_id, context, parsed
            )
        except exceptions.BadRequest as exc:
            return _bad_request_response(exc, request_id)
        writer = openai.Writer(
            parsed=parsed, req=request_id, created=int(time.time())
        )
        return answers.ModelAnswer(
            events=self._entry.serve(model_request),
            req=request_id,
            writer=writer,
            stream=parsed.stream,
        )

    def _model_request(
        self,
        req: requests.Request,
        request_id: types.RequestId,
        context: _CallerContext,
        parsed: openai.Parsed,
    ) -> request.Request:
        if self._service_type(context) != "model":
            raise exceptions.BadRequest(
                "unknown-model",
                f"{context.service!r} is not a model",
                status=404,
            )
        tokens = prefix.count_tokens(parsed.prompt)
        if tokens > context.number("max_prompt"):
            raise exceptions.BadRequest(
                "prompt-too-long", f"about {tokens} tokens", status=413
            )
        return request.Request(
            req=request_id,
            caller=context.caller,
            service=types.ServiceName(context.service),
            kind=types.KindName(context.kind),
            terms=context.terms,
            body=parsed.body,
            parts=parsed.parts,
            prompt_tokens=tokens,
            max_tokens=parsed.max_tokens,
            blocks=prefix.block_hashes(parsed.prompt),
            kv_bytes=tokens * context.number("kv_token_bytes"),
            claim=_claim_key(req, context),
        )

    async def _models(self, req: requests.Request) -> responses.Response:
        try:
            tree, caller = self._authenticate(req)
        except exceptions.BadRequest as exc:
            return _bad_request_response(exc, _new_id())
        now = time.time()
        models = [
            {"id": name, "object": "model", "owned_by": "rackpost"}
            for name in sorted(tree.services())
            if tree.value(caller, name, "", "type", now) == "model"
        ]
        return responses.JSONResponse({"object": "list", "data": models})

    async def _plain(self, req: requests.Request) -> responses.Response:
        request_id = _new_id()
        try:
            tree, caller = self._authenticate(req)
            context = self._context(
                req, tree, caller, req.path_params["service"]
            )
            if self._service_type(context) != "plain":
                raise exceptions.BadRequest(
                    "unknown-service",
                    f"{context.service!r} is not a plain service",
                    status=404,
                )
            plain_request = request.Request(
                req=request_id,
                caller=context.caller,
                service=types.ServiceName(context.service),
                kind=types.KindName(context.kind),
                terms=context.terms,
                body=await _body(req),
                claim=_claim_key(req, context),
                plain=request.PlainCall(
                    method=req.method,
                    path="/" + req.path_params["path"],
                    query=req.url.query,
                    headers=_forwarded_headers(req),
                ),
            )
        except exceptions.BadRequest as exc:
            return _bad_request_response(exc, request_id)
        return answers.PlainAnswer(
            events=self._entry.serve(plain_request), req=request_id
        )

    def _authenticate(
        self, req: requests.Request
    ) -> tuple[tree_mod.Tree, types.CallerId]:
        if not self._ready():
            raise exceptions.BadRequest(
                "not-ready", "no settings yet", status=503
            )
        tree = self._tree()
        scheme, _, key = req.headers.get("authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not key:
            raise exceptions.BadRequest(
                "no-key", "a bearer key is needed", status=401
            )
        hashed = hashlib.sha256(key.strip().encode()).hexdigest()
        caller = tree.caller_of(hashed)
        if caller is None:
            raise exceptions.BadRequest(
                "bad-key", "no caller has this key", status=401
            )
        return tree, caller

    def _context(
        self,
        req: requests.Request,
        tree: tree_mod.Tree,
        caller: types.CallerId,
        service: str,
    ) -> _CallerContext:
        if service not in tree.services():
            raise exceptions.BadRequest(
                "unknown-model", f"no service {service!r}", status=404
            )
        kind = req.headers.get(_KIND_HEADER)
        if kind is None:
            default_kind = tree.value(
                caller, service, "", "default_kind", time.time()
            )
            kind = str(default_kind)
        elif kind not in tree.kinds(service):
            raise exceptions.BadRequest(
                "unknown-kind", f"{service} has no kind {kind!r}"
            )
        return _CallerContext(
            caller=caller, service=service, kind=kind, tree=tree
        )

    def _service_type(self, context: _CallerContext) -> str:
        return str(
            self._tree().value(
                context.caller,
                context.service,
                context.kind,
                "type",
                time.time(),
            )
        )


def _new_id() -> types.RequestId:
    return types.RequestId("rp-" + secrets.token_hex(12))


def _forwarded_headers(req: requests.Request) -> tuple[tuple[str, str], ...]:
    dropped = {"authorization", _KIND_HEADER}
    headers = engine_http.end_to_end_headers(tuple(req.headers.items()))
    return tuple(item for item in headers if item[0] not in dropped)


def _claim_key(
    req: requests.Request, context: _CallerContext
) -> types.ClaimKey | None:
    if context.terms.repeat is types.RepeatClass.FREE:
        return None
    key = req.headers.get("idempotency-key", "")
    if not key:
        raise exceptions.BadRequest(
            "no-idempotency-key",
            f"requests of kind {context.kind!r} need an Idempotency-Key",
        )
    if len(key) > _MAX_IDEMPOTENCY_KEY:
        raise exceptions.BadRequest(
            "bad-idempotency-key", f"longer than {_MAX_IDEMPOTENCY_KEY}"
        )
    scoped_key = f"{context.caller}\n{context.service}\n{key}".encode()
    return types.ClaimKey(hashlib.sha256(scoped_key).hexdigest()[:32])


async def _body(req: requests.Request) -> bytes:
    chunks: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            async for chunk in req.stream():
                size += len(chunk)
                if size > openai.MAX_BODY_BYTES:
                    raise exceptions.BadRequest(
                        "too-large",
                        f"over {openai.MAX_BODY_BYTES} bytes",
                        status=413,
                    )
                chunks.append(chunk)
    except TimeoutError:
        raise exceptions.BadRequest(
            "slow-body", f"not all there in {BODY_TIMEOUT_S:g} s", status=408
        ) from None
    except requests.ClientDisconnect:
        raise exceptions.BadRequest(
            "caller-gone", "the caller left", status=400
        ) from None
    return b"".join(chunks)


def _bad_request_response(
    exc: exceptions.BadRequest, request_id: types.RequestId
) -> responses.Response:
    return answers.problem_response(openai.bad_request(exc, request_id))
