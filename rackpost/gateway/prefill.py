"""Prefill of a prompt at a prefill endpoint, for a decode elsewhere."""

import asyncio
import contextlib
import enum
from typing import Sequence

from rackpost.decide import retry_decision
from rackpost import exceptions
from rackpost.gateway import answer_check
from rackpost.gateway import attempt
from rackpost.gateway import call as call_mod
from rackpost.gateway import endpoint_calls
from rackpost.gateway import in_flight
from rackpost.gateway import slow_prefill
from rackpost.http1 import message
from rackpost.platform import headers
from rackpost.platform import prefill as wire
from rackpost.routing import endpoints
from rackpost.routing import model
from rackpost import types

_MAX_RESULT_BYTES = 64 << 10
# Prefill endpoints tried before the decode endpoint prefills itself.
_MAX_ATTEMPTS = 2
# A first prefill costs no retry unless the endpoint refuses it, which shows
# within milliseconds.  While no prefill is refused, this many more may be in
# flight than the gateway's share of the retry budget allows: in a large fleet
# the share is small, and prefills in place stall running streams.
_MAX_UNCONFIRMED = 3
# Share of a result's lifetime in which a decode endpoint can fetch it.
_FETCHABLE_SHARE = 0.7


class VainReason(enum.Enum):
    """Why a prefilled prompt was of no use to a decode endpoint."""

    # It was not fetched within the share of its lifetime that is safe.
    HANDLE_LAPSED = "handle-lapsed"
    # The endpoint took too long; it may have gone on with the prompt.
    GIVEN_UP = "given-up"
    # The client left, or its time ran out.
    CLIENT_LEFT = "client-left"
    # The endpoint that had the KV cache, or the connection to it, was lost.
    ENDPOINT_LOST = "endpoint-lost"
    # The decode endpoint did not run the request.
    DECODE_REJECTED = "decode-rejected"
    # The decode endpoint answered with a failure.
    DECODE_FAILED = "decode-failed"
    # No decode endpoint was tried, or none took the request in time.
    NOT_DECODED = "not-decoded"


def record_vain(
    call: call_mod.Call,
    endpoint: endpoints.Endpoint,
    prompt: int,
    reason: VainReason,
) -> None:
    """Count and log `prompt` tokens that were prefilled in vain."""
    call.site.metrics.count("vain_prefills", reason, call.route.name)
    call.site.metrics.count(
        "vain_prefill_tokens", reason, call.route.name, prompt
    )
    call.log(
        "Prefilled in vain.",
        reason=reason.value,
        endpoint=endpoint.id,
        prompt=prompt,
        after_s=round(call.site.loop_time() - call.began, 3),
    )


class PrefillState:
    """The result of a request's prefill, if there is one."""

    def __init__(self, *, call: call_mod.Call, prompt: int) -> None:
        """`prompt` is the length of the prompt, in tokens."""
        self._call = call
        self._prompt = prompt
        # Prefill requests that an endpoint ran or may have run.
        self.arrivals = 0
        self._endpoint: endpoints.Endpoint | None = None
        self._prefilled_at = 0.0
        self._result: wire.PrefillResult | None = None
        # Whether a decode endpoint has rejected the request since then.
        self._was_rejected = False
        # Whether a decode endpoint has sent an event, and so has the KV cache.
        self._fetched = False

    def store(
        self, endpoint: endpoints.Endpoint, result: wire.PrefillResult
    ) -> None:
        """Store the result of a prefill endpoint."""
        self._endpoint = endpoint
        self._prefilled_at = self._call.site.loop_time()
        self._result = result
        self._was_rejected = False
        self._fetched = False

    def is_fresh(self, engine: model.Engine) -> bool:
        """Whether the KV cache is there, and will be for a while."""
        if self._endpoint is None or self._result is None:
            return False
        age = self._call.site.loop_time() - self._prefilled_at
        fresh = age < _FETCHABLE_SHARE * engine.handle_ttl_s
        # The KV cache is lost with the process.  Another one at the address
        # may know the handle as that of another request.
        return fresh and not self._call.site.table.is_replaced(self._endpoint)

    def is_usable_at(
        self, decode: endpoints.Endpoint, engine: model.Engine
    ) -> bool:
        """Whether a decode endpoint can fetch and read the KV cache."""
        return (
            self.is_fresh(engine)
            and self._endpoint is not None
            and self._endpoint.software == decode.software
        )

    @property
    def other_versions(self) -> list[types.EndpointId]:
        """Endpoints whose software can't read the KV cache."""
        if self._endpoint is None:
            return []
        return self._call.site.table.other_versions(
            self._call.service.name, self._endpoint.software
        )

    @property
    def has_decode_endpoint(self) -> bool:
        """Whether a decode endpoint can read the KV cache."""
        others = self.other_versions
        if not others:
            return True
        site = self._call.site
        available_in_s = site.chooser.candidates.available_in_s(
            self._call.service.name,
            types.Role.DECODE,
            exclude=others,
            now=site.loop_time(),
        )
        return available_in_s is not None

    @property
    def is_fetched(self) -> bool:
        """Whether a decode endpoint has fetched the KV cache."""
        return self._fetched

    def headers(self) -> list[message.Header]:
        """Return the header that tells a decode endpoint where to fetch it."""
        if self._endpoint is None or self._result is None:
            return []
        source = wire.source(self._endpoint.address, self._result)
        return [(headers.KV_SOURCE, source)]

    def record_rejected(self, *, keeps: bool) -> None:
        """Record that a decode endpoint did not run the request.

        It has usually not fetched the KV cache, so that another endpoint can.
        With `keeps` the result is kept for one more attempt; an endpoint also
        rejects a request whose KV cache is gone.
        """
        if keeps and not self._was_rejected:
            self._was_rejected = True
        else:
            self.release(VainReason.DECODE_REJECTED)

    def record_failed_attempt(
        self, ended: retry_decision.AttemptEnd, *, keeps: bool
    ) -> None:
        """Keep or free the KV cache after an attempt without an answer."""
        if ended is retry_decision.AttemptEnd.NOT_RUN:
            self.record_rejected(keeps=keeps)
        elif ended is retry_decision.AttemptEnd.BROKEN:
            # The endpoint may have fetched it, and go on with it.
            self.record_started()
            self.release(VainReason.ENDPOINT_LOST)
        elif ended is retry_decision.AttemptEnd.FAILED:
            self.release(VainReason.DECODE_FAILED)

    def record_started(self) -> None:
        """Record that a decode endpoint has fetched the KV cache."""
        self._fetched = True

    def record_fetched(self) -> None:
        """Record that the KV cache has served its purpose."""
        self._result = None

    def release(self, reason: VainReason) -> None:
        """Free a KV cache that no decode endpoint has used."""
        if self._endpoint is not None and self._result is not None:
            if self._was_rejected:
                reason = VainReason.DECODE_REJECTED
            if not self._fetched:
                record_vain(self._call, self._endpoint, self._prompt, reason)
            self._call.site.spawn(
                _delete(self._call, self._endpoint, self._result)
            )
            self._result = None

    def record_lost(self, endpoint: endpoints.Endpoint) -> None:
        """Record that `endpoint` was lost with the KV cache that it had."""
        if self._fetched:
            self._fetched = False
            record_vain(
                self._call, endpoint, self._prompt, VainReason.ENDPOINT_LOST
            )

    def record_unused(self, reason: VainReason, *, frees: bool) -> None:
        """Record that no decode endpoint will use the KV cache any more.

        It is freed if `frees`, and otherwise expires.
        """
        if self._endpoint is None or self._result is None or self._fetched:
            return
        if frees:
            self.release(reason)
        else:
            record_vain(self._call, self._endpoint, self._prompt, reason)
            self._result = None

    def release_stale(self) -> None:
        """Free a KV cache that is no longer fresh."""
        if self._endpoint is None:
            return
        replaced = self._call.site.table.is_replaced(self._endpoint)
        self.release(
            VainReason.ENDPOINT_LOST if replaced else VainReason.HANDLE_LAPSED
        )


async def _delete(
    call: call_mod.Call,
    endpoint: endpoints.Endpoint,
    result: wire.PrefillResult,
) -> None:
    head = message.request_head(
        b"DELETE",
        wire.release_path(result),
        [(b"host", endpoint.address.encode())],
    )
    if call.site.rate_grants.requires_grant(endpoint):
        # The named rate is left to prompts.
        call.log("KV cache not released.", why="names a rate")
        return
    try:
        async with attempt.connected(call, endpoint, sends_id=False) as conn:
            await endpoint_calls.request(
                call.site, endpoint, conn, grant=None, head=head
            )
            await conn.read_whole(_MAX_RESULT_BYTES)
    except exceptions.ExchangeError as exc:
        # It expires soon.
        call.log("KV cache not released.", why=str(exc))


class _PrefillEnd(enum.Enum):
    """How a prefill request ended."""

    PREFILLED = "read"
    REJECTED = "rejected"
    BROKEN = "broken"
    NOT_SENT = "not-sent"


async def prefill(
    call: call_mod.Call,
    preferred: endpoints.Endpoint | None,
    prompt: int,
    state: PrefillState,
    patience: slow_prefill.Patience | None = None,
    exclude: Sequence[types.EndpointId] = (),
) -> None:
    """Prefill the prompt; without a result the decode endpoint does it.

    `preferred` is tried first; its capacity is reserved already.  Without
    `patience`, slow prefills are given up after a fixed time.  `exclude` are
    endpoints whose KV cache the decode endpoint can't read.
    """
    site = call.site
    tried: list[types.EndpointId] = []
    while len(tried) < _MAX_ATTEMPTS:
        now = site.loop_time()
        if not _may_prefill(call, state, now):
            call.log("Read in place.", reason="retry budget")
            return
        if call.quarantined() is not None:
            call.log("Not prefilled.", reason="quarantined")
            return
        if patience is not None and not patience.may_begin():
            return
        endpoint = preferred
        if tried or endpoint is None:
            endpoint = site.chooser.choose_prefill(
                call.service.name, prompt, exclude=[*exclude, *tried], now=now
            )
        if endpoint is None:
            return
        counted = prompt if endpoint is preferred else 0
        tried.append(endpoint.id)
        # Counts as a retry until it is known not to be one: all of many
        # concurrent requests may be refused, and those count.
        call.retry_budget.record_retry(now)
        ended = await _prefill_at(
            call,
            endpoint,
            prompt,
            counted,
            state,
            patience,
            [*exclude, *tried],
        )
        if _costs_no_retry(ended, state):
            call.retry_budget.refund(now)
        if ended is _PrefillEnd.PREFILLED:
            state.arrivals += 1
            return
        if ended is _PrefillEnd.BROKEN:
            state.arrivals += 1


def _may_prefill(call: call_mod.Call, state: PrefillState, now: float) -> bool:
    """Whether the retry budget allows one more prefill elsewhere."""
    site = call.site
    if call.retry_budget.allows(now, site.gateway_count):
        return True
    if state.arrivals or call.send_count:
        return False
    left = call.retry_budget.remaining(now, site.gateway_count)
    since = now - site.host.bounds.retry_window_s
    return left > -_MAX_UNCONFIRMED and site.chooser.accepts_all_prompts(
        call.service.name, since, now
    )


def _costs_no_retry(ended: _PrefillEnd, state: PrefillState) -> bool:
    """Whether the request costs no retry: the first run, or not sent."""
    if ended is _PrefillEnd.PREFILLED:
        return state.arrivals == 0
    return ended is _PrefillEnd.NOT_SENT


async def _prefill_at(
    call: call_mod.Call,
    endpoint: endpoints.Endpoint,
    prompt: int,
    counted: int,
    state: PrefillState,
    patience: slow_prefill.Patience | None,
    tried: Sequence[types.EndpointId],
) -> _PrefillEnd:
    """Prefill at one endpoint; `counted` tokens are in its load already."""
    site = call.site
    began = site.loop_time()
    ahead = site.loads.total(endpoint.id).prompt_tokens - counted
    pace = site.pace_of(call.service.name)
    factor = max(1.0, pace.factor(endpoint.id, began))
    timeout_s = factor * site.token_timing.prefill_timeout_s(ahead + prompt)
    usual_s = site.token_timing.prefill_s(ahead + prompt)
    try:
        with (
            _counted_load(call, endpoint, prompt - counted),
            site.running_streams.watched(endpoint.id, usual_s, began),
        ):
            async with (
                asyncio.timeout(timeout_s)
                if patience is None
                else patience.limit(endpoint, timeout_s=timeout_s, tried=tried)
            ):
                result = await _request_prefill(call, endpoint)
    except (
        exceptions.ExchangeError,
        exceptions.CodecError,
        TimeoutError,
    ) as exc:
        ended = _record_broken(
            call, endpoint, exc, timeout_s=timeout_s, began=began
        )
        if ended is _PrefillEnd.BROKEN:
            slow = isinstance(exc, TimeoutError)
            reason = VainReason.GIVEN_UP if slow else VainReason.ENDPOINT_LOST
            record_vain(call, endpoint, prompt, reason)
        return ended
    except asyncio.CancelledError:
        record_vain(call, endpoint, prompt, VainReason.CLIENT_LEFT)
        raise
    if result is None:
        return _PrefillEnd.REJECTED
    now = site.loop_time()
    took = now - began
    endpoint_s = site.endpoint_time_s(took)
    if endpoint_s is not None:
        pace.record_prefill(
            endpoint.id, seconds=endpoint_s, usual_s=usual_s, now=now
        )
        site.token_timing.record_prefill(ahead + prompt, endpoint_s)
    site.health.record_answer(endpoint.id, endpoint_s, now)
    if patience is not None:
        # A sign that the endpoint works, for prefills that are slow there.
        site.loads.record_prefilled(endpoint.id, site.loop_time())
    state.store(endpoint, result)
    if call.sampled:
        call.log(
            "Prefilled.",
            endpoint=endpoint.id,
            prompt=prompt,
            ahead=ahead,
            took_s=round(took, 4),
        )
    return _PrefillEnd.PREFILLED


def _counted_load(
    call: call_mod.Call, endpoint: endpoints.Endpoint, prompt: int
) -> contextlib.AbstractContextManager[None]:
    """Count a prompt in an endpoint's load, unless it is counted."""
    if prompt == 0:
        return contextlib.nullcontext()
    return call.site.loads.request_added(endpoint.id, prompt=prompt)


def _record_broken(
    call: call_mod.Call,
    endpoint: endpoints.Endpoint,
    exc: Exception,
    *,
    timeout_s: float,
    began: float,
) -> _PrefillEnd:
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
        prompt_parts=attempt.logged_parts(call),
        patience_s=round(timeout_s, 3),
    )
    if isinstance(exc, exceptions.ExchangeError):
        if not exc.sent:
            return _PrefillEnd.NOT_SENT
        call.record_broken(endpoint, began=began)
    return _PrefillEnd.BROKEN


async def _request_prefill(
    call: call_mod.Call, endpoint: endpoints.Endpoint
) -> wire.PrefillResult | None:
    extra_headers = [(headers.STAGE, headers.PREFILL)]
    async with attempt.connected(call, endpoint) as conn:
        with in_flight.recorded(call, endpoint):
            reply = await attempt.send(call, endpoint, conn, extra_headers)
            body = await conn.read_whole(_MAX_RESULT_BYTES)
    if answer_check.is_not_run(reply.head) or reply.head.status != 200:
        attempt.record_replaced(call, endpoint, reply.head)
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
