"""Sets capacity aside at a decode endpoint before a prompt is prefilled."""

import asyncio
import enum

import msgspec

from rackpost.decide import features
from rackpost.decide import holds
from rackpost.decide import kv_forecast
from rackpost import exceptions
from rackpost.gateway import attempt
from rackpost.gateway import call as call_mod
from rackpost.gateway import endpoint_calls
from rackpost.http1 import message
from rackpost.platform import headers
from rackpost.platform import holds as wire
from rackpost.routing import endpoints
from rackpost.routing import model

_MAX_ANSWER_BYTES = 4 << 10
# How long a rejection counts against the forecast, in seconds.
_REJECTED_LATELY_S = 3.0
# How long a call that frees capacity may take, in seconds; the lease lapses
# soon anyway.
_FREE_TIMEOUT_S = 0.2


def applies(call: call_mod.Call, engine: model.Engine) -> bool:
    """Whether capacity is set aside for prompts of the request's service."""
    return engine.hold_s > 0.0 and call.site.has_feature(
        call.service.name, features.Feature.DECODE_HOLDS
    )


class _Unused(enum.Enum):
    """What became of capacity that was set aside and not used."""

    FREED = "freed"
    # The endpoint did not run the request that named it.
    REJECTED = "rejected"


class _Lease(msgspec.Struct, frozen=True, kw_only=True):
    """Capacity that an endpoint has set aside; `taken_at` in loop time."""

    ident: str
    terms: holds.HoldTerms
    taken_at: float


class DecodeHold:
    """Capacity set aside for one request, at one endpoint at a time."""

    def __init__(
        self,
        *,
        call: call_mod.Call,
        engine: model.Engine,
        endpoint: endpoints.Endpoint,
        run: kv_forecast.Run,
        met_slow: bool,
    ) -> None:
        """`met_slow` says that another endpoint was slow to answer."""
        self._call = call
        self._engine = engine
        self._endpoint = endpoint
        self._run = run
        self._lease: _Lease | None = None
        self._sent = False
        self.met_slow = met_slow

    async def take(self) -> bool:
        """Set capacity aside where this is due.

        Returns whether the request may go on at the endpoint.  Not without
        room, nor at the first endpoint that is slow to answer: it may have
        set the capacity aside, and the request would not fit beside it.  In
        other cases the request goes on without a lease.  Raises ExchangeError
        if there is no connection.
        """
        now = self._call.site.loop_time()
        if (
            not applies(self._call, self._engine)
            or not self._may_ask(now)
            or not self._is_due(now)
        ):
            return True
        end = await self._take()
        if end is holds.HoldEnd.SLOW and not self.met_slow:
            self.met_slow = True
            return False
        return end not in (holds.HoldEnd.NO_ROOM, holds.HoldEnd.REPLACED)

    async def renew(self) -> None:
        """Set capacity aside once more if the lease may lapse too early."""
        lease = self._lease
        now = self._call.site.loop_time()
        if lease is None or not holds.is_lapsing(
            lease.terms, lease.taken_at, now
        ):
            return
        # Both would not fit.
        self._lease = None
        await self._free(lease)
        if self._may_ask(now):
            await self._take()

    def _may_ask(self, now: float) -> bool:
        site = self._call.site
        # Where an endpoint names a rate, each call would cost a grant; where
        # it asks for a back-off, the request is not sent either.
        return not site.rate_grants.requires_grant(
            self._endpoint
        ) and site.hold_pauses.may_ask(
            self._call.service.name, self._endpoint.id, now
        )

    def _is_due(self, now: float) -> bool:
        site = self._call.site
        key = self._endpoint.id
        return holds.is_due(
            site.loads.total(key).runs,
            self._engine.memory_tokens,
            rejected_lately=site.health.rejected_since(
                key, now - _REJECTED_LATELY_S
            ),
        )

    async def _take(self) -> holds.HoldEnd:
        call = self._call
        site = call.site
        began = site.loop_time()
        timing = site.token_timing
        terms = holds.terms(
            self._run,
            memory_tokens=self._engine.memory_tokens,
            prefill_timeout_s=timing.prefill_timeout_s(self._run.held_tokens),
            max_ttl_s=self._engine.hold_s,
        )
        try:
            async with asyncio.timeout(holds.max_wait_s(call.route.target_s)):
                end = await self._request(terms, began)
        except TimeoutError:
            end = holds.HoldEnd.SLOW
        except exceptions.CodecError:
            end = holds.HoldEnd.FAILED
        except exceptions.ExchangeError as exc:
            if not exc.sent:
                raise
            end = holds.HoldEnd.FAILED
        self._record(end, terms, began)
        return end

    async def _request(
        self, terms: holds.HoldTerms, began: float
    ) -> holds.HoldEnd:
        body = wire.take_body(terms.tokens, terms.ttl_s)
        lines = [
            (b"host", self._endpoint.address.encode()),
            (headers.ENDPOINT_ID, self._endpoint.id.encode()),
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(body)),
        ]
        call = self._call
        # The request that follows takes the same connection from the pool.
        async with attempt.connected(call, self._endpoint) as conn:
            head = await endpoint_calls.request(
                call.site,
                self._endpoint,
                conn,
                grant=None,
                head=message.request_head(b"POST", wire.TAKE_PATH, lines),
                body=body,
            )
            answer = await conn.read_whole(_MAX_ANSWER_BYTES)
        if head.status == 200:
            ident = wire.decode(answer)
            self._lease = _Lease(ident=ident, terms=terms, taken_at=began)
            return holds.HoldEnd.TAKEN
        if head.status == 421:
            attempt.record_replaced(call, self._endpoint, head)
            return holds.HoldEnd.REPLACED
        if head.status in wire.UNKNOWN_CALL:
            return holds.HoldEnd.UNKNOWN
        if headers.is_rejection(head):
            return holds.HoldEnd.NO_ROOM
        return holds.HoldEnd.FAILED

    def _record(
        self, end: holds.HoldEnd, terms: holds.HoldTerms, began: float
    ) -> None:
        call = self._call
        site = call.site
        now = site.loop_time()
        key = self._endpoint.id
        site.metrics.count("decode_holds", end, call.route.name)
        site.metrics.time("decode_hold", call.route.name, now - began)
        site.hold_pauses.record(call.service.name, key, end, now)
        if end in (holds.HoldEnd.NO_ROOM, holds.HoldEnd.SLOW):
            site.health.record_no_room(key, now)
        if end is not holds.HoldEnd.TAKEN or call.sampled:
            call.log(
                "Asked to set capacity aside.",
                endpoint=key,
                outcome=end.value,
                tokens=terms.tokens,
                ttl_s=round(terms.ttl_s, 3),
                took_s=round(now - began, 4),
                forecast_tokens=kv_forecast.peak_tokens(
                    site.loads.total(key).runs
                ),
            )

    def headers(self) -> list[message.Header]:
        """Return the header that names the lease to the endpoint."""
        if self._lease is None:
            return []
        return [(headers.KV_HOLD, self._lease.ident.encode())]

    def record_sent(self) -> None:
        """Record that the request is sent with the lease, which it uses."""
        self._sent = True

    def record_not_run(self) -> None:
        """Record that the endpoint did not run the request."""
        self._sent = False
        if self._lease is None:
            return
        now = self._call.site.loop_time()
        self._call.site.metrics.count(
            "decode_holds", _Unused.REJECTED, self._call.route.name
        )
        self._call.log(
            "Not run with capacity set aside.",
            endpoint=self._endpoint.id,
            age_s=round(now - self._lease.taken_at, 3),
            ttl_s=round(self._lease.terms.ttl_s, 3),
        )

    def free(self) -> None:
        """Free the lease, unless the request has used it."""
        lease, self._lease = self._lease, None
        if lease is None or self._sent:
            return
        site = self._call.site
        if holds.is_lapsing(lease.terms, lease.taken_at, site.loop_time()):
            return
        site.metrics.count(
            "decode_holds", _Unused.FREED, self._call.route.name
        )
        site.spawn(self._free(lease))

    async def _free(self, lease: _Lease) -> None:
        call = self._call
        if call.site.rate_grants.requires_grant(self._endpoint):
            return
        head = message.request_head(
            b"DELETE",
            wire.release_path(lease.ident),
            [
                (b"host", self._endpoint.address.encode()),
                (headers.ENDPOINT_ID, self._endpoint.id.encode()),
            ],
        )
        try:
            async with (
                asyncio.timeout(_FREE_TIMEOUT_S),
                attempt.connected(
                    call, self._endpoint, sends_id=False
                ) as conn,
            ):
                await endpoint_calls.request(
                    call.site, self._endpoint, conn, grant=None, head=head
                )
                await conn.read_whole(_MAX_ANSWER_BYTES)
        except (exceptions.ExchangeError, TimeoutError) as exc:
            # It lapses soon.
            call.log("Capacity not freed.", why=str(exc) or "slow")
