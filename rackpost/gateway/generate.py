"""Requests to model services: a decode place first, then the prefill.

A prefill's result lives for less than a second, so that a prompt is read
only when a decode endpoint has room for it.
"""

import asyncio
import contextlib

from rackpost.decide import forwarding
from rackpost import exceptions
from rackpost.gateway import attempt
from rackpost.gateway import call as call_mod
from rackpost.gateway import forward
from rackpost.http1 import message
from rackpost.platform import headers
from rackpost.platform import prefill as prefill_wire
from rackpost.routing import endpoints
from rackpost.routing import model
from rackpost import types

_MAX_RESULT = 64 << 10
# Prefill endpoints that are tried before the decode endpoint reads itself.
_PREFILL_TRIES = 2
# A request waits for room for this part of its target; a refusal that
# comes later than a quarter counts as late.
_WAIT_SHARE = 0.2
_WAIT_AGAIN_S = 0.05
# Part of an endpoint's memory that is given away: lengths are guesses.
_FILL = 1.0
# A refused client comes back when some of what runs has ended, in seconds.
_COME_BACK_S = 1.0
_COME_BACK_SPREAD_S = 2.0


class Need:
    """What a request needs of a decode endpoint, in tokens."""

    def __init__(self, *, sizes: headers.Tokens | None) -> None:
        self.prompt = sizes.prompt if sizes else 0
        out = min(sizes.guess_out, sizes.most_out) if sizes else 0
        self.tokens = self.prompt + out


class Prefilled:
    """Where a request's prompt has been read, if it has."""

    def __init__(self, *, call: call_mod.Call) -> None:
        self._call = call
        self._address = ""
        self._result: prefill_wire.PrefillResult | None = None

    def put(self, address: str, result: prefill_wire.PrefillResult) -> None:
        """A prefill endpoint has read the prompt."""
        self._address = address
        self._result = result

    def headers(self) -> list[message.Header]:
        """What tells a decode endpoint where the KV cache is."""
        if self._result is None:
            return []
        place = prefill_wire.source(self._address, self._result)
        return [(headers.KV_SOURCE, place)]

    def release(self) -> None:
        """Free the KV cache, which no decode endpoint has taken."""
        if self._result is not None:
            self._call.site.spawn(
                _delete(self._call, self._address, self._result)
            )
            self._result = None


async def _delete(
    call: call_mod.Call, address: str, result: prefill_wire.PrefillResult
) -> None:
    most = call.site.connections_to(call.service)
    line = message.request_head(
        b"DELETE",
        prefill_wire.release_path(result),
        [(b"host", address.encode())],
    )
    try:
        async with call.site.pool.connection(address, most=most) as conn:
            await conn.request(head=line, body=b"", request_id=None)
            await conn.read_whole(_MAX_RESULT)
    except exceptions.ExchangeError as exc:
        # It lapses by itself soon.
        call.log("KV cache not released.", why=str(exc))


async def generate(call: call_mod.Call, engine: model.Engine) -> None:
    """Answer a request for a model service."""
    need = Need(sizes=headers.tokens(call.req.headers))
    while True:
        decode = await _await_room(call, engine, need)
        if decode is None:
            _refuse_full(call)
            return
        with call.site.loads.held(decode.id, tokens=need.tokens):
            ended = await _generate_at(call, decode, need)
        call.site.room_changed.set()
        if ended is None or not forward.goes_on(call, ended):
            return


async def _generate_at(
    call: call_mod.Call, decode: endpoints.Endpoint, need: Need
) -> forwarding.Ended | None:
    read = Prefilled(call=call)
    if _is_split_worth(call, need):
        await _prefill(call, need, read)
    ended = await attempt.run(call, decode, read.headers())
    if ended is not None:
        read.release()
    return ended


def _is_split_worth(call: call_mod.Call, need: Need) -> bool:
    if need.prompt == 0:
        return False
    if call.last_event is None and not call.tried:
        return True
    # A second reading elsewhere is one more arrival than one in place.
    now = call.site.loop_time()
    return call.budget.left(now, call.site.gateway_count) >= 2.0


async def _prefill(call: call_mod.Call, need: Need, read: Prefilled) -> None:
    """Have the prompt read; where that fails, decode reads it itself."""
    site = call.site
    tried: list[types.EndpointId] = []
    while len(tried) < _PREFILL_TRIES:
        now = site.loop_time()
        if tried or call.tried:
            if not call.budget.allows(now, site.gateway_count):
                return
            call.budget.repeat(now)
        endpoint = site.chooser.prefill(
            call.service.name, need.prompt, but=tried, now=now
        )
        if endpoint is None:
            return
        tried.append(endpoint.id)
        if await _prefill_at(call, endpoint, need, read):
            return


async def _prefill_at(
    call: call_mod.Call,
    endpoint: endpoints.Endpoint,
    need: Need,
    read: Prefilled,
) -> bool:
    site = call.site
    began = site.loop_time()
    ahead = site.loads.total(endpoint.id, began).prompt
    patience = site.pace.patience_s(ahead + need.prompt)
    try:
        with site.loads.held(endpoint.id, prompt=need.prompt):
            async with asyncio.timeout(patience):
                result = await _ask_prefill(call, endpoint)
    except (
        exceptions.ExchangeError,
        exceptions.CodecError,
        TimeoutError,
    ) as exc:
        site.health.broke(endpoint.id, site.loop_time())
        call.log(
            "Prefill failed.",
            endpoint=endpoint.id,
            why=str(exc) or "slow",
            patience_s=round(patience, 3),
        )
        return False
    if result is None:
        return False
    took = site.loop_time() - began
    site.pace.took(ahead + need.prompt, took)
    site.health.answered(endpoint.id, took)
    read.put(endpoint.address, result)
    if call.sampled:
        call.log(
            "Prefilled.",
            endpoint=endpoint.id,
            prompt=need.prompt,
            ahead=ahead,
            took_s=round(took, 4),
        )
    return True


async def _ask_prefill(
    call: call_mod.Call, endpoint: endpoints.Endpoint
) -> prefill_wire.PrefillResult | None:
    extra = [(headers.STAGE, headers.PREFILL)]
    async with attempt.sent(call, endpoint, extra) as reply:
        body = await reply.conn.read_whole(_MAX_RESULT)
        if attempt.is_not_run(reply.head) or reply.head.status != 200:
            call.site.health.erred(endpoint.id)
            call.log(
                "Prefill refused.",
                endpoint=endpoint.id,
                status=reply.head.status,
            )
            return None
        return prefill_wire.decode(body)


def _refuse_full(call: call_mod.Call) -> None:
    if call.may_have_run:
        call.fail(call_mod.Reason.NO_ROOM, 502)
        return
    spread = _COME_BACK_SPREAD_S * call.site.rng.random()
    call.refuse(call_mod.Reason.NO_ROOM, _COME_BACK_S + spread)


async def _await_room(
    call: call_mod.Call, engine: model.Engine, need: Need
) -> endpoints.Endpoint | None:
    """A decode endpoint with room; None if none has it soon enough."""
    site = call.site
    capacity = int(engine.memory_tokens * _FILL)
    give_up = min(call.until, call.began + _WAIT_SHARE * call.route.target_s)
    while True:
        now = site.loop_time()
        found = site.chooser.decode(
            call.service.name,
            need.tokens,
            capacity,
            but=call.tried,
            now=now,
        )
        if found is not None or now >= give_up:
            return found
        site.room_changed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(_WAIT_AGAIN_S, give_up - now)):
                await site.room_changed.wait()
