"""The entry's HTTP face: one ASGI application for callers."""

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

# A caller has this long to send its body, in seconds.
BODY_TIMEOUT_S = 10.0
_KIND_HEADER = "x-rackpost-kind"
_MAX_IDEMPOTENCY_KEY = 256

TreeNow = Callable[[], tree_mod.Tree]


class _CallerContext:
    """Who asks, for what, on which terms."""

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
        """An effective setting that is a number."""
        value = self._tree.value(
            self.caller, self.service, self.kind, name, time.time()
        )
        return int(value)


class CallerApp:
    """Routes of the callers' interface.

    `tree` gives the settings in force, `ready` tells whether there are
    any yet, and `metrics_text` what /metrics shows.
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

    # Pages for operators.

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
        """The steps of one of the caller's own latest requests."""
        name = types.RequestId(req.path_params["request_id"])
        try:
            _, caller = self._authenticate(req)
            found = self._entry.traces.get(name)
            if found is None or found.caller != caller:
                raise exceptions.BadRequest(
                    "unknown-request", "not one of your latest", status=404
                )
        except exceptions.BadRequest as exc:
            return _bad_request_response(exc, name)
        return responses.Response(
            msgspec.json.encode(found), media_type="application/json"
        )

    # Requests.

    async def _chat(self, req: requests.Request) -> responses.Response:
        return await self._model(req, chat=True)

    async def _text(self, req: requests.Request) -> responses.Response:
        return await self._model(req, chat=False)

    async def _model(
        self, req: requests.Request, *, chat: bool
    ) -> responses.Response:
        name = _new_id()
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
            who = self._context(req, tree, caller, parsed.model)
            asked = self._model_request(req, name, who, parsed)
        except exceptions.BadRequest as exc:
            return _bad_request_response(exc, name)
        writer = openai.Writer(
            parsed=parsed, req=name, created=int(time.time())
        )
        return answers.ModelAnswer(
            events=self._entry.serve(asked),
            req=name,
            writer=writer,
            stream=parsed.stream,
        )

    def _model_request(
        self,
        req: requests.Request,
        name: types.RequestId,
        who: _CallerContext,
        parsed: openai.Parsed,
    ) -> request.Request:
        if self._service_type(who) != "model":
            raise exceptions.BadRequest(
                "unknown-model", f"{who.service!r} is not a model", status=404
            )
        tokens = prefix.count_tokens(parsed.prompt)
        if tokens > who.number("max_prompt"):
            raise exceptions.BadRequest(
                "prompt-too-long", f"about {tokens} tokens", status=413
            )
        return request.Request(
            req=name,
            caller=who.caller,
            service=types.ServiceName(who.service),
            kind=types.KindName(who.kind),
            terms=who.terms,
            body=parsed.body,
            prompt_tokens=tokens,
            max_tokens=parsed.max_tokens,
            blocks=prefix.block_hashes(parsed.prompt),
            kv_bytes=tokens * who.number("kv_token_bytes"),
            claim=_claim_key(req, who),
        )

    async def _models(self, req: requests.Request) -> responses.Response:
        try:
            tree, caller = self._authenticate(req)
        except exceptions.BadRequest as exc:
            return _bad_request_response(exc, _new_id())
        now = time.time()
        found = [
            {"id": name, "object": "model", "owned_by": "rackpost"}
            for name in sorted(tree.services())
            if tree.value(caller, name, "", "type", now) == "model"
        ]
        return responses.JSONResponse({"object": "list", "data": found})

    async def _plain(self, req: requests.Request) -> responses.Response:
        name = _new_id()
        try:
            tree, caller = self._authenticate(req)
            who = self._context(req, tree, caller, req.path_params["service"])
            if self._service_type(who) != "plain":
                raise exceptions.BadRequest(
                    "unknown-service",
                    f"{who.service!r} is not a plain service",
                    status=404,
                )
            asked = request.Request(
                req=name,
                caller=who.caller,
                service=types.ServiceName(who.service),
                kind=types.KindName(who.kind),
                terms=who.terms,
                body=await _body(req),
                claim=_claim_key(req, who),
                plain=request.PlainCall(
                    method=req.method,
                    path="/" + req.path_params["path"],
                    query=req.url.query,
                    headers=_forwarded_headers(req),
                ),
            )
        except exceptions.BadRequest as exc:
            return _bad_request_response(exc, name)
        return answers.PlainAnswer(events=self._entry.serve(asked), req=name)

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
            found = tree.value(
                caller, service, "", "default_kind", time.time()
            )
            kind = str(found)
        elif kind not in tree.kinds(service):
            raise exceptions.BadRequest(
                "unknown-kind", f"{service} has no kind {kind!r}"
            )
        return _CallerContext(
            caller=caller, service=service, kind=kind, tree=tree
        )

    def _service_type(self, who: _CallerContext) -> str:
        return str(
            self._tree().value(
                who.caller, who.service, who.kind, "type", time.time()
            )
        )


def _new_id() -> types.RequestId:
    return types.RequestId("rp-" + secrets.token_hex(12))


def _forwarded_headers(req: requests.Request) -> tuple[tuple[str, str], ...]:
    ours = {"authorization", _KIND_HEADER}
    headers = engine_http.end_to_end_headers(tuple(req.headers.items()))
    return tuple(item for item in headers if item[0] not in ours)


def _claim_key(
    req: requests.Request, who: _CallerContext
) -> types.ClaimKey | None:
    if who.terms.repeat is types.RepeatClass.FREE:
        return None
    key = req.headers.get("idempotency-key", "")
    if not key:
        raise exceptions.BadRequest(
            "no-idempotency-key",
            f"requests of kind {who.kind!r} need an Idempotency-Key",
        )
    if len(key) > _MAX_IDEMPOTENCY_KEY:
        raise exceptions.BadRequest(
            "bad-idempotency-key", f"longer than {_MAX_IDEMPOTENCY_KEY}"
        )
    whole = f"{who.caller}\n{who.service}\n{key}".encode()
    return types.ClaimKey(hashlib.sha256(whole).hexdigest()[:32])


async def _body(req: requests.Request) -> bytes:
    parts: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            async for part in req.stream():
                size += len(part)
                if size > openai.MAX_BODY_BYTES:
                    raise exceptions.BadRequest(
                        "too-large",
                        f"over {openai.MAX_BODY_BYTES} bytes",
                        status=413,
                    )
                parts.append(part)
    except TimeoutError:
        raise exceptions.BadRequest(
            "slow-body", f"not all there in {BODY_TIMEOUT_S:g} s", status=408
        ) from None
    except requests.ClientDisconnect:
        raise exceptions.BadRequest(
            "caller-gone", "the caller left", status=400
        ) from None
    return b"".join(parts)


def _bad_request_response(
    exc: exceptions.BadRequest, name: types.RequestId
) -> responses.Response:
    return answers.problem_response(openai.bad_request(exc, name))
