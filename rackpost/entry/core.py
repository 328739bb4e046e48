"""The entry: serves the requests of callers through agents."""

import asyncio
import contextlib
import random
import time
from typing import AsyncGenerator
from typing import Callable
from typing import Iterator
from typing import Mapping

import msgspec

from rackpost.decide import demand
from rackpost.decide import endpoint_view
from rackpost.decide import placement
from rackpost.entry import attempt as attempt_mod
from rackpost.entry import attempt_result
from rackpost.entry import claiming
from rackpost.entry import claims as claims_mod
from rackpost.entry import demand_tracker
from rackpost.entry import open_request
from rackpost.entry import outcome
from rackpost.entry import pool as pool_mod
from rackpost.entry import request
from rackpost.entry import trace as trace_mod
from rackpost.link import channel
from rackpost.link import messages
from rackpost import metrics as metrics_mod
from rackpost import types

# Bounds the memory of one entry.
MAX_OPEN_REQUESTS = 4096
# A retry uses the KV cache of a failed attempt up to this age; engines keep
# it for less than a second.
_MAX_KV_REUSE_AGE_S = 0.4


class SettingsSource:
    """Gives the settings revision and the membership of the site.

    This base class knows of neither.
    """

    def revision(self) -> types.Revision:
        """Return the settings revision in force at this entry."""
        return types.Revision(0)

    def catch_up_to(self, revision: types.Revision) -> None:
        """Fetch `revision`, which a peer runs on, if it is newer."""

    def member_count(
        self, service: types.ServiceName, role: types.Role
    ) -> int | None:
        """Return how many endpoints the site has; None if unknown.

        An entry is linked to a subset of them.
        """
        return None


class EntryConfig(msgspec.Struct, frozen=True, kw_only=True):
    """The identity and limits of an entry."""

    entry: types.EntryId
    data_centre: types.DataCentre
    max_open: int = MAX_OPEN_REQUESTS


class Entry:
    """Serves requests through the agents that it is linked to.

    `entry_count` returns how many entries the site has now, `events` the
    declared events of a service, and `wall` seconds since the epoch.
    """

    def __init__(
        self,
        *,
        cfg: EntryConfig,
        models: placement.Policy,
        plain: placement.Policy,
        claims: claims_mod.Claims | None = None,
        metrics: metrics_mod.Metrics | None = None,
        rng: random.Random,
        entry_count: Callable[[], int] = lambda: 1,
        events: demand_tracker.DeclaredEvents = lambda service: (),
        settings: SettingsSource | None = None,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.cfg = cfg
        self._settings = settings or SettingsSource()
        self.demand = demand_tracker.DemandTracker(
            entries=entry_count,
            events=events,
            members=self._settings.member_count,
            wall=wall,
        )
        self.metrics = metrics or metrics_mod.Metrics()
        self.traces = trace_mod.Traces()
        self.pool = pool_mod.Pool(rng=rng)
        self._policies: Mapping[bool, placement.Policy] = {
            False: models,
            True: plain,
        }
        self._claim_resolver: claiming.ClaimResolver | None = None
        if claims is not None:
            self._claim_resolver = claiming.ClaimResolver(
                claims=claims, pool=self.pool
            )
        self._loop = asyncio.get_running_loop()
        self._open: dict[types.RequestId, open_request.OpenRequest] = {}
        self._by_caller: dict[types.CallerId, int] = {}
        self._result_handler = attempt_result.AttemptResultHandler(
            pool=self.pool, demand=self.demand, metrics=self.metrics, rng=rng
        )
        self._stopping = False
        self._idle = asyncio.Event()
        self._idle.set()

    # Links.

    def add_agent(
        self, member: pool_mod.Member, conn: channel.Channel
    ) -> None:
        """Add an agent whose link is up."""
        peer = self.pool.add(member, conn)
        conn.attach(
            receive=lambda msg: self._on_message(peer, msg),
            closed=lambda: self._on_closed(peer),
        )
        conn.send(
            messages.Hello(
                peer=self.cfg.entry,
                incarnation=types.Incarnation(0),
                data_centre=self.cfg.data_centre,
                revision=self._settings.revision(),
            )
        )

    def _on_closed(self, peer: pool_mod.Peer) -> None:
        agent = peer.member.agent
        if self.pool.peer(agent) is peer:
            self.pool.remove(agent)
        for item in list(self._open.values()):
            if item.attempt is not None:
                item.attempt.handle_link_lost(agent)

    def _on_message(self, peer: pool_mod.Peer, msg: msgspec.Struct) -> None:
        agent = peer.member.agent
        load = getattr(msg, "load", None)
        if load is not None:
            self.pool.update_load(agent, load)
            self._settings.catch_up_to(load.revision)
        if isinstance(msg, messages.Hello):
            peer.incarnation = msg.incarnation
        elif isinstance(msg, messages.Sealed):
            if self._claim_resolver is not None:
                self._claim_resolver.handle_sealed(msg)
        elif isinstance(msg, messages.StoredAnswer):
            if self._claim_resolver is not None:
                self._claim_resolver.handle_held(msg)
        elif not isinstance(msg, messages.Summary):
            self._on_attempt_message(peer, msg)

    def _on_attempt_message(
        self, peer: pool_mod.Peer, msg: msgspec.Struct
    ) -> None:
        req = getattr(msg, "req")
        number = getattr(msg, "attempt")
        item = self._open.get(req)
        if item is None or item.attempt is None:
            why = types.Drop.UNKNOWN_REQUEST
        elif item.attempt.number != number:
            why = types.Drop.OLD_ATTEMPT
        elif item.attempt.receive(peer.member.agent, msg):
            return
        else:
            why = types.Drop.OLD_ATTEMPT
        self.metrics.count("dropped", why)
        final_kinds = (messages.Done, messages.Failed, messages.Refused)
        if not isinstance(msg, final_kinds):
            # The agent still works for a request that has ended here.
            peer.conn.send(messages.Release(req=req, attempt=number))

    # Requests.

    @property
    def open_requests(self) -> int:
        """The number of requests that are being served."""
        return len(self._open)

    def stop(self) -> None:
        """Refuse new requests; those in flight continue."""
        self._stopping = True

    async def drained(self) -> None:
        """Wait until no request is being served."""
        await self._idle.wait()

    async def serve(
        self, req: request.Request
    ) -> AsyncGenerator[request.Event, None]:
        """Serve one request; the last event is its `End`.

        Closing the generator early, for instance when the caller has
        disconnected, releases all that the request holds.
        """
        self.traces.start(
            req=req.req,
            caller=req.caller,
            service=req.service,
            kind=req.kind,
        )
        reason = self._admission_refusal(req)
        if reason is not None:
            yield self._result_handler.refuse(req, reason)
            return
        with self._track_open(req) as item:
            async with contextlib.aclosing(self._serve(item)) as events:
                async for event in events:
                    self._observe(item, event)
                    yield event

    def _admission_refusal(self, req: request.Request) -> types.Refusal | None:
        if self._stopping:
            return types.Refusal.ENTRY_STOPPING
        if len(self._open) >= self.cfg.max_open:
            return types.Refusal.ENTRY_FULL
        if self._by_caller.get(req.caller, 0) >= req.terms.max_open:
            return types.Refusal.CALLER_OPEN_LIMIT
        if self._result_handler.is_quarantined(req):
            return types.Refusal.ENDS_ENGINES
        return None

    @contextlib.contextmanager
    def _track_open(
        self, req: request.Request
    ) -> Iterator[open_request.OpenRequest]:
        item = open_request.OpenRequest(req=req, started_at=self._loop.time())
        self._open[req.req] = item
        self._by_caller[req.caller] = self._by_caller.get(req.caller, 0) + 1
        self._idle.clear()
        try:
            yield item
        finally:
            if item.attempt is not None:
                item.attempt.release()
            del self._open[req.req]
            self._by_caller[req.caller] -= 1
            if not self._by_caller[req.caller]:
                del self._by_caller[req.caller]
            if not self._open:
                self._idle.set()

    async def _serve(
        self, item: open_request.OpenRequest
    ) -> AsyncGenerator[request.Event, None]:
        req = item.req
        self._result_handler.record_request(req)
        higher_density = self.demand.record_request(
            req, self.pool.views_of(req.service)
        )
        while True:
            attempt = self._new_attempt(item, higher_density)
            reason = await attempt.reserve()
            if reason is None:
                reason = await self._claim(item, attempt)
            if reason is not None:
                attempt.release()
                for event in item.stored_answer:
                    yield event
                if not item.stored_answer:
                    yield self._result_handler.refuse_attempt(item, reason)
                return
            async with contextlib.aclosing(attempt.run()) as events:
                async for event in events:
                    if not isinstance(event, request.PlainHead):
                        if not item.delivered:
                            item.software = attempt.software
                        item.delivered += 1
                    yield event
            attempt.release()
            item.handed_over = item.handed_over or attempt.handed_over
            if (
                self._claim_resolver is not None
                and item.claim_holder is not None
            ):
                await self._claim_resolver.settle(
                    req, item.claim_holder, attempt.result
                )
                item.claim_holder = None
            end = await self._result_handler.handle_result(item, attempt)
            if end is not None:
                yield end
                return

    async def _claim(
        self, item: open_request.OpenRequest, attempt: attempt_mod.Attempt
    ) -> types.Refusal | None:
        if item.req.claim is None or self._claim_resolver is None:
            return None
        claim = await self._claim_resolver.claim(item.req, attempt)
        if isinstance(claim, types.Refusal):
            return claim
        if isinstance(claim, claiming.AlreadyAnswered):
            item.stored_answer = await self._claim_resolver.fetch_answer(claim)
            return types.Refusal.CLAIM_ANSWERED
        item.claim_holder = claim
        return None

    def _new_attempt(
        self,
        item: open_request.OpenRequest,
        higher_density: demand.HigherDensityDemand,
    ) -> attempt_mod.Attempt:
        req = item.req
        item.attempt_number += 1
        excluded: set[types.AgentId] = set()
        kept: outcome.RetainedKvCache | None = None
        if item.attempt is not None:
            excluded = item.attempt.excluded
            kept = self._reusable_kv(item.attempt.result)
        attempt = attempt_mod.Attempt(
            req=req,
            number=types.Attempt(item.attempt_number),
            requirements=self._requirements(item, higher_density),
            offset=item.delivered,
            pool=self.pool,
            policy=self._policies[req.plain is not None],
            metrics=self.metrics,
            traces=self.traces,
            revision=self._settings.revision(),
            priority=-int(req.terms.weight * 100),
            retained_kv=kept,
            software=item.software,
        )
        attempt.excluded |= excluded
        attempt.exclude_other_versions()
        item.attempt = attempt
        return attempt

    def _reusable_kv(
        self, result: outcome.Result
    ) -> outcome.RetainedKvCache | None:
        if not isinstance(result, outcome.FailedAttempt):
            return None
        kept = result.retained_kv
        if (
            kept is None
            or self._loop.time() - kept.since > _MAX_KV_REUSE_AGE_S
        ):
            return None
        return kept

    def _requirements(
        self,
        item: open_request.OpenRequest,
        higher_density: demand.HigherDensityDemand,
    ) -> endpoint_view.Requirements:
        req = item.req
        return endpoint_view.Requirements(
            service=req.service,
            kind=req.kind,
            prompt_tokens=req.prompt_tokens + item.delivered,
            max_tokens=req.max_tokens,
            blocks=req.blocks,
            kv_bytes=req.kv_bytes,
            ttft_s=item.remaining_s(self._loop.time()),
            tbt_s=req.terms.tbt_s,
            higher_density=higher_density,
        )

    def _observe(
        self, item: open_request.OpenRequest, event: request.Event
    ) -> None:
        now = self._loop.time()
        kind = item.req.kind
        if isinstance(event, request.End):
            why = event.reason.value if event.reason else ""
            self.traces.record_step(
                item.req.req, event.outcome.value, detail=why
            )
            if event.outcome is types.Outcome.ANSWERED:
                self.metrics.time("whole", kind, now - item.started_at)
                self._observe_gaps(item, event, now)
        elif item.first_event_at is None:
            item.first_event_at = now
            self.metrics.time("first_token", kind, now - item.started_at)

    def _observe_gaps(
        self, item: open_request.OpenRequest, end: request.End, now: float
    ) -> None:
        if item.first_event_at is not None and end.tokens > 1:
            gap = (now - item.first_event_at) / (end.tokens - 1)
            self.metrics.time("between_tokens", item.req.kind, gap)
