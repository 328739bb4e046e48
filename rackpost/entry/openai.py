"""Parsing of OpenAI API requests, and formatting of their responses.

Covers chat completions and completions.  Fields that rackpost does not use
are forwarded to the engine unchanged.
"""

from typing import Annotated
from typing import Any
from typing import Callable
from typing import Union

import msgspec

from rackpost.decide import fingerprint
from rackpost.decide import prefix
from rackpost.entry import request
from rackpost import exceptions
from rackpost import types

MAX_BODY_BYTES = 4 << 20
# Protects the JSON parser, which recurses.
MAX_DEPTH = 64
# Bounds the evidence for one request if an engine crashes.
_MAX_SHARED_PARTS = 64
_MAX_MESSAGES = 2048

_TokenCount = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class _ContentPart(msgspec.Struct):
    """One part of a chat message's content."""

    type: str
    text: str = ""


class _ChatMessage(msgspec.Struct):
    """One chat message."""

    role: str
    content: Union[str, list[_ContentPart], None] = None


class _StreamOptions(msgspec.Struct):
    """Options of a streamed answer."""

    include_usage: bool = False


class _RequestFields(msgspec.Struct):
    """The request fields that rackpost uses."""

    model: str
    messages: list[_ChatMessage] | None = None
    prompt: str | None = None
    max_tokens: _TokenCount | None = None
    max_completion_tokens: _TokenCount | None = None
    stream: bool = False
    stream_options: _StreamOptions | None = None
    n: int = 1


class Parsed(msgspec.Struct, frozen=True, kw_only=True):
    """A validated request; `body` is what the engine receives.

    `parts` are digests of the messages but the last, which other requests may
    share.
    """

    model: str
    chat: bool
    stream: bool
    usage: bool
    prompt: bytes
    max_tokens: int
    body: bytes
    parts: tuple[types.Fingerprint, ...] = ()


def _check_depth(data: bytes) -> None:
    depth = 0
    in_string = False
    escaped = False
    for byte in data:
        if escaped:
            escaped = False
        elif in_string:
            if byte == 0x5C:
                escaped = True
            elif byte == 0x22:
                in_string = False
        elif byte == 0x22:
            in_string = True
        elif byte in b"[{":
            depth += 1
            if depth > MAX_DEPTH:
                raise exceptions.BadRequest(
                    "too-deep", f"JSON is nested over {MAX_DEPTH} deep"
                )
        elif byte in b"]}":
            depth -= 1


def parse(
    data: bytes, *, chat: bool, default_tokens: Callable[[str], int]
) -> Parsed:
    """Parse and validate a request's body; raise BadRequest if invalid.

    `default_tokens` returns a model's limit on output tokens, for requests
    without one.
    """
    # Skips the slow check for bodies with too few brackets to fail it.
    if data.count(b"[") + data.count(b"{") > MAX_DEPTH:
        _check_depth(data)
    try:
        raw: Any = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise exceptions.BadRequest("not-json", str(exc)) from exc
    try:
        fields = msgspec.convert(raw, _RequestFields)
    except (msgspec.ValidationError, RecursionError) as exc:
        raise exceptions.BadRequest("wrong-types", str(exc)) from exc
    if fields.n != 1:
        raise exceptions.BadRequest("n-not-one", "only n=1 is served")
    prompt = _prompt(fields, chat)
    limit = fields.max_completion_tokens or fields.max_tokens
    if limit is None:
        limit = default_tokens(fields.model)
    raw.pop("stream", None)
    raw.pop("stream_options", None)
    raw.pop("max_completion_tokens", None)
    for name in ("kv_transfer_params", "priority"):
        # Callers may not control the engine's scheduling and transfers.
        raw.pop(name, None)
    raw["max_tokens"] = limit
    options = fields.stream_options or _StreamOptions()
    return Parsed(
        model=fields.model,
        chat=chat,
        stream=fields.stream,
        usage=options.include_usage,
        prompt=prompt,
        max_tokens=limit,
        body=msgspec.json.encode(raw),
        parts=_shared_parts(fields) if chat else (),
    )


def _prompt(fields: _RequestFields, chat: bool) -> bytes:
    if not chat:
        if fields.prompt is None:
            raise exceptions.BadRequest("no-prompt", "'prompt' is missing")
        return fields.prompt.encode()
    if not fields.messages:
        raise exceptions.BadRequest("no-messages", "'messages' is empty")
    if len(fields.messages) > _MAX_MESSAGES:
        raise exceptions.BadRequest("too-many-messages", "too many messages")
    texts = [_text(msg) for msg in fields.messages]
    return "\n".join(texts).encode()


def _shared_parts(fields: _RequestFields) -> tuple[types.Fingerprint, ...]:
    """Return digests of all messages but the last, of a bounded number."""
    service = types.ServiceName(fields.model)
    shared = (fields.messages or [])[:-1][:_MAX_SHARED_PARTS]
    texts = dict.fromkeys(_text(msg) for msg in shared)
    return tuple(
        fingerprint.part_fingerprint(service, text.encode())
        for text in texts
        if text
    )


def _text(msg: _ChatMessage) -> str:
    if msg.content is None:
        return ""
    if isinstance(msg.content, str):
        return msg.content
    return "".join(part.text for part in msg.content)


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """Token counts of the prompt, which is estimated, and the answer."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


def usage_of(prompt: bytes, tokens: int) -> Usage:
    """Return the usage of an answer of `tokens` tokens."""
    prompt_tokens = prefix.count_tokens(prompt)
    return Usage(
        prompt_tokens=prompt_tokens,
        completion_tokens=tokens,
        total_tokens=prompt_tokens + tokens,
    )


class Writer:
    """Formats the answer to one request as the API specifies."""

    def __init__(
        self, *, parsed: Parsed, req: types.RequestId, created: int
    ) -> None:
        self._parsed = parsed
        self._req = req
        self._created = created
        self._first = True

    def _base(self, kind: str) -> dict[str, Any]:
        return {
            "id": self._req,
            "object": kind,
            "created": self._created,
            "model": self._parsed.model,
        }

    def chunk(self, text: str | None, finish: str | None) -> bytes:
        """Return a server-sent event with text, a finish reason or both."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish}
        if self._parsed.chat:
            delta: dict[str, str] = {}
            if self._first:
                delta["role"] = "assistant"
            if text is not None:
                delta["content"] = text
            choice["delta"] = delta
            kind = "chat.completion.chunk"
        else:
            choice["text"] = text or ""
            kind = "text_completion"
        self._first = False
        event = self._base(kind)
        event["choices"] = [choice]
        return _sse_event(event)

    def final_events(self, tokens: int) -> bytes:
        """Return the last events of a complete streamed answer."""
        data = self.chunk(None, "stop")
        if self._parsed.usage:
            kind = "text_completion"
            if self._parsed.chat:
                kind = "chat.completion.chunk"
            event = self._base(kind)
            event["choices"] = []
            event["usage"] = usage_of(self._parsed.prompt, tokens)
            data += _sse_event(event)
        return data + b"data: [DONE]\n\n"

    def error_event(self, end: request.End) -> bytes:
        """Return the last event of a streamed answer that failed."""
        return _sse_event({"error": problem(end, self._req)})

    def complete_body(self, text: str, tokens: int) -> bytes:
        """Return the body of an answer that is not streamed."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
        if self._parsed.chat:
            kind = "chat.completion"
            choice["message"] = {"role": "assistant", "content": text}
        else:
            kind = "text_completion"
            choice["text"] = text
        answer = self._base(kind)
        answer["choices"] = [choice]
        answer["usage"] = usage_of(self._parsed.prompt, tokens)
        return msgspec.json.encode(answer)


def _sse_event(event: Any) -> bytes:
    return b"data: " + msgspec.json.encode(event) + b"\n\n"


class Problem(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An error in the format application/problem+json (RFC 9457)."""

    type: str
    title: str
    status: int
    outcome: str
    reason: str
    request_id: str
    detail: str = ""
    retry_after_s: float | None = None


_STATUS = {
    types.Refusal.CALLER_OPEN_LIMIT: 429,
    types.Refusal.CLAIM_RUNNING: 409,
    types.Refusal.CLAIM_UNKNOWN: 409,
    types.Refusal.CLAIM_ANSWERED: 409,
}


def status_of(end: request.End) -> int:
    """Return the HTTP status for the end of a failed request."""
    if end.outcome is types.Outcome.UNKNOWN:
        if isinstance(end.reason, types.Refusal):
            return _STATUS.get(end.reason, 502)
        return 502
    if isinstance(end.reason, types.Refusal):
        return _STATUS.get(end.reason, 503)
    return 503


def problem(end: request.End, req: types.RequestId) -> Problem:
    """Return the problem for a request that was refused or failed."""
    reason = end.reason.value if end.reason is not None else "none"
    title = "The request did not run"
    if end.outcome is types.Outcome.UNKNOWN:
        title = "It is not known whether the request ran"
    return Problem(
        type=f"urn:rackpost:{reason}",
        title=title,
        status=status_of(end),
        outcome=end.outcome.value,
        reason=reason,
        request_id=req,
        retry_after_s=end.retry_in_s,
    )


def bad_request(exc: exceptions.BadRequest, req: types.RequestId) -> Problem:
    """Return the problem for an invalid request."""
    return Problem(
        type=f"urn:rackpost:{exc.reason}",
        title="The request can't be served as it is",
        status=exc.status,
        outcome=types.Outcome.NOT_RUN.value,
        reason=exc.reason,
        request_id=req,
        detail=str(exc),
    )
