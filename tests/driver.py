"""A small site in virtual time, and requests to it."""

import asyncio
import json
from typing import NamedTuple

from rackpost.decide import prefix
from rackpost.entry import core as entry_core
from rackpost.entry import request
from rackpost import exceptions
from rackpost.state import terms as terms_mod
from rackpost.testing import engine
from rackpost.testing import plain
from rackpost.testing import site as site_mod
from rackpost import types

SERVICE = types.ServiceName("tolk")
REGISTER = types.ServiceName("register")
HALL = types.DataCentre("hall-nord")
PREFILL = types.Role.PREFILL
DECODE = types.Role.DECODE
# From an engine's crash until it has restarted.
_DOWN_S = 0.5


class Got(NamedTuple):
    """What a caller received: text, end and whether the answer is right."""

    pieces: list[str]
    end: request.End
    whole: bool


def small_site(
    *,
    prefills: int = 2,
    decodes: int = 2,
    plains: int = 1,
    seed: int = 1,
    spec: engine.EngineSpec | None = None,
    **more: object,
) -> site_mod.Site:
    """Return a site with one entry."""
    site = site_mod.Site(
        delays=site_mod.Delays(),
        seed=seed,
        engine_spec=spec or engine.EngineSpec(),
        **more,  # type: ignore[arg-type]
    )
    roles = [PREFILL] * prefills + [DECODE] * decodes
    for idx, role in enumerate(roles):
        site.add_endpoint(
            site_mod.EndpointConfig(f"t{idx}", SERVICE, role, HALL)
        )
    for idx in range(plains):
        site.add_endpoint(
            site_mod.EndpointConfig(
                f"p{idx}", REGISTER, types.Role.PLAIN, HALL
            )
        )
    site.add_entry("e0", HALL)
    return site


def crash_on(engine: object, text: bytes, crashes: list[str]) -> None:
    """Let an engine crash under requests with a text, and restart soon.

    Each crash is added to `crashes`.
    """
    decode = engine.decode  # type: ignore[attr-defined]

    async def fatal(**call: object) -> object:
        if text in call["body"]:  # type: ignore[operator]
            crashes.append("one")
            engine.kill()  # type: ignore[attr-defined]
            loop = asyncio.get_running_loop()
            loop.call_later(_DOWN_S, setattr, engine, "dead", False)
            raise exceptions.EngineError("engine died", ran=True)
        async for event in decode(**call):
            yield event

    engine.decode = fatal  # type: ignore[attr-defined]


def ask(
    name: str,
    *,
    words: int = 400,
    max_tokens: int = 20,
    repeat: types.RepeatClass = types.RepeatClass.FREE,
    claim: str | None = None,
    **terms: float,
) -> request.Request:
    """Return a request to the model service."""
    text = f"{name} " + "word " * words
    body = json.dumps(
        {
            "messages": [{"role": "user", "content": text}],
            "max_tokens": max_tokens,
        }
    ).encode()
    prompt = engine.prompt_of(body)
    tokens = prefix.count_tokens(prompt)
    return request.Request(
        req=types.RequestId(name),
        caller=types.CallerId("dispatch"),
        service=SERVICE,
        kind=types.KindName("note"),
        terms=terms_mod.Terms(
            repeat=repeat, max_open=10_000, **terms  # type: ignore[arg-type]
        ),
        body=body,
        prompt_tokens=tokens,
        max_tokens=max_tokens,
        blocks=prefix.block_hashes(prompt),
        kv_bytes=tokens * 100_000,
        claim=types.ClaimKey(claim) if claim else None,
    )


def call(name: str, body: bytes = b"") -> request.Request:
    """Return a request to the plain service."""
    return request.Request(
        req=types.RequestId(name),
        caller=types.CallerId("postal"),
        service=REGISTER,
        kind=types.KindName("lookup"),
        terms=terms_mod.Terms(max_open=10_000),
        body=body,
        plain=request.PlainCall(
            method="GET", path="/a", query="q=1", headers=()
        ),
    )


async def take(entry: entry_core.Entry, req: request.Request) -> Got:
    """Send a request and collect its answer."""
    pieces: list[str] = []
    body = b""
    end: request.End | None = None
    async for event in entry.serve(req):
        assert end is None, "something came after the end"
        if isinstance(event, request.TextChunk):
            pieces.append(event.text)
        elif isinstance(event, request.PlainChunk):
            body += event.data
        elif isinstance(event, request.End):
            end = event
    assert end is not None
    if req.plain is not None:
        expected = plain.answer_to("GET", "/a", "q=1", req.body)
        return Got(pieces, end, body == expected)
    return Got(pieces, end, pieces == engine.answer_to(req.body))


async def leave_after(
    entry: entry_core.Entry, req: request.Request, seconds: float
) -> None:
    """Send a request and cancel it after `seconds`."""
    task = asyncio.create_task(take(entry, req))
    await asyncio.sleep(seconds)
    task.cancel()
    await asyncio.wait([task])
