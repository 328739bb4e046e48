"""Having a prompt read by a prefill endpoint, for a decode elsewhere."""

import asyncio
import contextlib
import enum

from rackpost import exceptions
from rackpost.gateway import answer_check
from rackpost.gateway import attempt
from rackpost.gateway import call as call_mod
from rackpost.gateway import endpoint_calls
from rackpost.http1 import message
from rackpost.platform import headers
from rackpost.platform import prefill as wire
from rackpost.routing import endpoints
from rackpost.routing import model
from rackpost import types

_MAX_RESULT = 64 << 10
# Prefill endpoints that are tried before the decode endpoint reads itself.
_TRIES = 2
# A first reading is no repeat unless the endpoint turns it away, which is
# known some milliseconds later.  While none does, so many more may be under
# way at a gateway than its part of the retry budget allows: of 68 gateways
# each has two repeats in ten seconds, and a prompt that is read where tokens
# are made holds up eight streams there for longer than they may pause.
_MOST_UNSETTLED = 3
# Part of a result's life in which it is still worth fetching.
_FRESH_SHARE = 0.7


class Prefilled:
    """Where a request's prompt has been read, if it has."""

    def __init__(self, *, call: call_mod.Call) -> None:
        self._call = call
        # Calls to read the prompt that an endpoint has, or may have, taken.
        self.arrivals = 0
        self._reader: endpoints.Endpoint | None = None
        self._read_at = 0.0
        self._result: wire.PrefillResult | None = None

    def put(
        self, reader: endpoints.Endpoint, result: wire.PrefillResult
    ) -> None:
        """A prefill endpoint has read the prompt."""
        self._reader = reader
        self._read_at = self._call.site.loop_time()
        self._result = result

    def is_fresh(self, engine: model.Engine) -> bool:
        """Whether the KV cache is there, and will be for a while."""
        if self._reader is None or self._result is None:
            return False
        age = self._call.site.loop_time() - self._read_at
        fresh = age < _FRESH_SHARE * engine.handle_ttl_s
        # A reader that has started again since holds nothing of it.
        return fresh and not self._call.site.table.has_restarted(self._reader)

    def headers(self) -> list[message.Header]:
        """What tells a decode endpoint where the KV cache is."""
        if self._reader is None or self._result is None:
            return []
        place = wire.source(self._reader.address, self._result)
        return [(headers.KV_SOURCE, place)]

    def taken(self) -> None:
        """A decode endpoint has fetched the KV cache."""
        self._result = None

    def release(self) -> None:
        """Free the KV cache, which no decode endpoint has taken."""
        if self._reader is not None and self._result is not None:
            self._call.site.spawn(
                _delete(self._call, self._reader, self._result)
            )
            self._result = None


async def _delete(
    call: call_mod.Call,
    reader: endpoints.Endpoint,
    result: wire.PrefillResult,
) -> None:
    line = message.request_head(
        b"DELETE",
        wire.release_path(result),
        [(b"host", reader.address.encode())],
    )
    if call.site.grants.requires_grant(reader):
        # What it takes is for prompts.
        call.log("KV cache not released.", why="names a rate")
        return
    try:
        async with attempt.connected(call, reader) as conn:
            await endpoint_calls.request(
                call.site, reader, conn, grant=None, head=line
            )
            await conn.read_whole(_MAX_RESULT)
    except exceptions.ExchangeError as exc:
        # It lapses by itself soon.
        call.log("KV cache not released.", why=str(exc))


class _Ended(enum.Enum):
    """How a call to read a prompt ended."""

    READ = "read"
    REJECTED = "rejected"
    BROKEN = "broken"
    NOT_SENT = "not-sent"


async def prefill(
    call: call_mod.Call,
    reader: endpoints.Endpoint | None,
    prompt: int,
    read: Prefilled,
) -> None:
    """Have the prompt read; where that fails, decode reads it itself.

    `reader` is tried first; its turn to read the prompt is held already.
    """
    site = call.site
    tried: list[types.EndpointId] = []
    while len(tried) < _TRIES:
        now = site.loop_time()
        if not _may_read(call, read, now):
            call.log("Read in place.", reason="retry budget")
            return
        if call.held_s() > 0.0:
            call.log("Not read.", reason="endpoints ended under it")
            return
        endpoint = reader
        if tried or endpoint is None:
            endpoint = site.chooser.choose_prefill(
                call.service.name, prompt, exclude=tried, now=now
            )
        if endpoint is None:
            return
        held = prompt if endpoint is reader else 0
        tried.append(endpoint.id)
        # Counted as a repeat until it is known to be none: of many that
        # are sent at once all may be rejected, and those count.
        call.budget.record_retry(now)
        ended = await _prefill_at(call, endpoint, prompt, held, read)
        if _is_free(ended, read):
            call.budget.refund(now)
        if ended is _Ended.READ:
            read.arrivals += 1
            return
        if ended is _Ended.BROKEN:
            read.arrivals += 1


def _may_read(call: call_mod.Call, read: Prefilled, now: float) -> bool:
    """Whether the retry budget allows one more reading elsewhere."""
    site = call.site
    if call.budget.allows(now, site.gateway_count):
        return True
    if read.arrivals or call.sent:
        return False
    left = call.budget.remaining(now, site.gateway_count)
    since = now - site.host.bounds.retry_window_s
    return left > -_MOST_UNSETTLED and site.chooser.accepts_all_prompts(
        call.service.name, since, now
    )


def _is_free(ended: _Ended, read: Prefilled) -> bool:
    """Whether a call was no repeat: the first that an endpoint took up."""
    if ended is _Ended.READ:
        return read.arrivals == 0
    return ended is _Ended.NOT_SENT


async def _prefill_at(
    call: call_mod.Call,
    endpoint: endpoints.Endpoint,
    prompt: int,
    held: int,
    read: Prefilled,
) -> _Ended:
    """Read a prompt there; `held` tokens of it are counted already."""
    site = call.site
    began = site.loop_time()
    ahead = site.loads.total(endpoint.id).prompt_tokens - held
    patience = site.pace.prefill_timeout_s(ahead + prompt)
    try:
        with _counted(call, endpoint, prompt - held):
            async with asyncio.timeout(patience):
                result = await _ask_prefill(call, endpoint)
    except (
        exceptions.ExchangeError,
        exceptions.CodecError,
        TimeoutError,
    ) as exc:
        return _broke(call, endpoint, exc, patience=patience, began=began)
    if result is None:
        return _Ended.REJECTED
    took = site.loop_time() - began
    site.pace.record_prefill(ahead + prompt, took)
    site.health.record_answer(endpoint.id, took)
    read.put(endpoint, result)
    if call.sampled:
        call.log(
            "Prefilled.",
            endpoint=endpoint.id,
            prompt=prompt,
            ahead=ahead,
            took_s=round(took, 4),
        )
    return _Ended.READ


def _counted(
    call: call_mod.Call, endpoint: endpoints.Endpoint, prompt: int
) -> contextlib.AbstractContextManager[None]:
    """Count a prompt at an endpoint, unless it is counted already."""
    if prompt == 0:
        return contextlib.nullcontext()
    return call.site.loads.request_added(endpoint.id, prompt=prompt)


def _broke(
    call: call_mod.Call,
    endpoint: endpoints.Endpoint,
    exc: Exception,
    *,
    patience: float,
    began: float,
) -> _Ended:
    if not isinstance(
        exc, (exceptions.ConnectionLimitReached, exceptions.EndpointIneligible)
    ):
        call.site.health.record_failure(endpoint.id, call.site.loop_time())
    call.log(
        "Prefill failed.",
        endpoint=endpoint.id,
        born=endpoint.born,
        why=str(exc) or "slow",
        fingerprint=call.fingerprint.hex(),
        patience_s=round(patience, 3),
    )
    if isinstance(exc, exceptions.ExchangeError):
        if not exc.sent:
            return _Ended.NOT_SENT
        call.note_broken(endpoint, began=began)
    return _Ended.BROKEN


async def _ask_prefill(
    call: call_mod.Call, endpoint: endpoints.Endpoint
) -> wire.PrefillResult | None:
    extra = [(headers.STAGE, headers.PREFILL)]
    async with attempt.connected(call, endpoint) as conn:
        reply = await attempt.send(call, endpoint, conn, extra)
        body = await conn.read_whole(_MAX_RESULT)
    if answer_check.is_not_run(reply.head) or reply.head.status != 200:
        attempt.note_replaced(call, endpoint, reply.head)
        if reply.head.status == 503:
            call.site.health.record_rejection(
                endpoint.id, call.site.loop_time()
            )
        else:
            call.site.health.record_error(endpoint.id)
        call.log(
            "Prefill refused.",
            endpoint=endpoint.id,
            status=reply.head.status,
            backoff_s=headers.backoff_s(reply.head),
            leaving=headers.announces_leaving(reply.head),
        )
        return None
    return wire.decode(body)
