"""The entry: owner of the callers' requests and of what they are told."""

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
from rackpost.entry import claiming
from rackpost.entry import claims as claims_mod
from rackpost.entry import ends as ends_mod
from rackpost.entry import offers
from rackpost.entry import open_request
from rackpost.entry import outcome
from rackpost.entry import pool as pool_mod
from rackpost.entry import request
from rackpost.entry import trace as trace_mod
from rackpost.link import channel
from rackpost.link import messages
from rackpost import metrics as metrics_mod
from rackpost import types

# Requests of all callers that one entry holds at once.
MAX_OPEN = 4096
# A KV cache that was not fetched is used by another decode endpoint if it
# is not older than this; engines keep it for less than a second.
_REUSE_S = 0.4


class InForce:
    """The settings that the entry runs on, as far as agents matter.

    The base knows of none; a process's own knows its link to control.
    """

    def revision(self) -> types.Revision:
        """The revision that is in force here."""
        return types.Revision(0)

    def behind(self, revision: types.Revision) -> None:
        """A peer runs on `revision`; fetch it if it is newer."""

    def members(
        self, service: types.ServiceName, role: types.Role
    ) -> int | None:
        """How many endpoints the site has; None where that is not known.

        An entry is linked to a few of many.
        """
        return None


class EntryConfig(msgspec.Struct, frozen=True, kw_only=True):
    """Who the entry is."""

    entry: types.EntryId
    data_centre: types.DataCentre
    max_open: int = MAX_OPEN


class Entry:
    """Serves requests over the agents that it is linked to.

    `entries` tells how many entries the site has at present, `events`
    what is declared for a service, `wall` seconds since the epoch.
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
        entries: Callable[[], int] = lambda: 1,
        events: offers.Events = lambda service: (),
        in_force: InForce | None = None,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.cfg = cfg
        self._in_force = in_force or InForce()
        self.offers = offers.Offers(
            entries=entries,
            events=events,
            members=self._in_force.members,
            wall=wall,
        )
        self.metrics = metrics or metrics_mod.Metrics()
        self.traces = trace_mod.Traces()
        self.pool = pool_mod.Pool(rng=rng)
        self._policies: Mapping[bool, placement.Policy] = {
            False: models,
            True: plain,
        }
        self._claiming: claiming.Claiming | None = None
        if claims is not None:
            self._claiming = claiming.Claiming(claims=claims, pool=self.pool)
        self._loop = asyncio.get_running_loop()
        self._open: dict[types.RequestId, open_request.OpenRequest] = {}
        self._by_caller: dict[types.CallerId, int] = {}
        self._ends = ends_mod.Ends(
            pool=self.pool, offers=self.offers, metrics=self.metrics, rng=rng
        )
        self._stopping = False
        self._idle = asyncio.Event()
        self._idle.set()

    # Links.

    def add_agent(
        self, member: pool_mod.Member, conn: channel.Channel
    ) -> None:
        """A link to an agent is up."""
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
                revision=self._in_force.revision(),
            )
        )

    def _on_closed(self, peer: pool_mod.Peer) -> None:
        agent = peer.member.agent
        if self.pool.peer(agent) is peer:
            self.pool.remove(agent)
        for item in list(self._open.values()):
            if item.attempt is not None:
                item.attempt.lost(agent)

    def _on_message(self, peer: pool_mod.Peer, msg: msgspec.Struct) -> None:
        agent = peer.member.agent
        load = getattr(msg, "load", None)
        if load is not None:
            self.pool.learn(agent, load)
            self._in_force.behind(load.revision)
        if isinstance(msg, messages.Hello):
            peer.incarnation = msg.incarnation
        elif isinstance(msg, messages.Sealed):
            if self._claiming is not None:
                self._claiming.on_sealed(msg)
        elif isinstance(msg, messages.StoredAnswer):
            if self._claiming is not None:
                self._claiming.on_held(msg)
        elif not isinstance(msg, messages.Summary):
            self._on_answer(peer, msg)

    def _on_answer(self, peer: pool_mod.Peer, msg: msgspec.Struct) -> None:
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
        ended = (messages.Done, messages.Failed, messages.Refused)
        if not isinstance(msg, ended):
            # Whoever still works on it is told that nobody waits.
            peer.conn.send(messages.Release(req=req, attempt=number))

    # Requests.

    @property
    def open_requests(self) -> int:
        """Requests that are being served."""
        return len(self._open)

    def stop(self) -> None:
        """Refuse new requests; those in flight go on."""
        self._stopping = True

    async def drained(self) -> None:
        """Wait until no request is being served."""
        await self._idle.wait()

    async def serve(
        self, req: request.Request
    ) -> AsyncGenerator[request.Event, None]:
        """Serve one request; the last event is its `End`.

        Closing the generator early, as when the caller is gone, releases
        all that is held for the request.
        """
        self.traces.begin(
            req=req.req,
            caller=req.caller,
            service=req.service,
            kind=req.kind,
        )
        reason = self._turn_away(req)
        if reason is not None:
            yield self._ends.refuse(req, reason)
            return
        with self._opened(req) as item:
            async with contextlib.aclosing(self._serve(item)) as events:
                async for event in events:
                    self._observe(item, event)
                    yield event

    def _turn_away(self, req: request.Request) -> types.Refusal | None:
        if self._stopping:
            return types.Refusal.ENTRY_STOPPING
        if len(self._open) >= self.cfg.max_open:
            return types.Refusal.ENTRY_FULL
        if self._by_caller.get(req.caller, 0) >= req.terms.max_open:
            return types.Refusal.CALLER_OPEN_LIMIT
        if self._ends.is_held(req):
            return types.Refusal.ENDS_ENGINES
        return None

    @contextlib.contextmanager
    def _opened(
        self, req: request.Request
    ) -> Iterator[open_request.OpenRequest]:
        item = open_request.OpenRequest(req=req, began=self._loop.time())
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
        self._ends.admitted(req)
        denser = self.offers.denser(req, self.pool.views_of(req.service))
        while True:
            att = self._new_attempt(item, denser)
            reason = await att.reserve()
            if reason is None:
                reason = await self._claim(item, att)
            if reason is not None:
                att.release()
                for event in item.held:
                    yield event
                if not item.held:
                    yield self._ends.refuse_reserved(item, reason)
                return
            async with contextlib.aclosing(att.run()) as events:
                async for event in events:
                    if not isinstance(event, request.PlainHead):
                        item.delivered += 1
                    yield event
            att.release()
            item.handed_over = item.handed_over or att.touched
            if self._claiming is not None and item.claimed is not None:
                await self._claiming.settle(req, item.claimed, att.result)
                item.claimed = None
            end = await self._ends.after(item, att)
            if end is not None:
                yield end
                return

    async def _claim(
        self, item: open_request.OpenRequest, att: attempt_mod.Attempt
    ) -> types.Refusal | None:
        if item.req.claim is None or self._claiming is None:
            return None
        found = await self._claiming.claim(item.req, att)
        if isinstance(found, types.Refusal):
            return found
        if isinstance(found, claiming.Answered):
            item.held = await self._claiming.held(found)
            return types.Refusal.CLAIM_ANSWERED
        item.claimed = found
        return None

    def _new_attempt(
        self,
        item: open_request.OpenRequest,
        denser: demand.HigherDensityDemand,
    ) -> attempt_mod.Attempt:
        req = item.req
        item.number += 1
        excluded: set[types.AgentId] = set()
        kept: outcome.Kept | None = None
        if item.attempt is not None:
            excluded = item.attempt.excluded
            kept = self._still_kept(item.attempt.result)
        att = attempt_mod.Attempt(
            req=req,
            number=types.Attempt(item.number),
            ask=self._ask(item, denser),
            offset=item.delivered,
            pool=self.pool,
            policy=self._policies[req.plain is not None],
            metrics=self.metrics,
            traces=self.traces,
            revision=self._in_force.revision(),
            priority=-int(req.terms.weight * 100),
            kept=kept,
        )
        att.excluded |= excluded
        item.attempt = att
        return att

    def _still_kept(self, result: outcome.Result) -> outcome.Kept | None:
        if not isinstance(result, outcome.Broken):
            return None
        kept = result.kept
        if kept is None or self._loop.time() - kept.since > _REUSE_S:
            return None
        return kept

    def _ask(
        self,
        item: open_request.OpenRequest,
        denser: demand.HigherDensityDemand,
    ) -> endpoint_view.Requirements:
        req = item.req
        return endpoint_view.Requirements(
            service=req.service,
            kind=req.kind,
            prompt_tokens=req.prompt_tokens + item.delivered,
            max_tokens=req.max_tokens,
            blocks=req.blocks,
            kv_bytes=req.kv_bytes,
            ttft_s=item.left_s(self._loop.time()),
            tbt_s=req.terms.tbt_s,
            higher_density=denser,
        )

    def _observe(
        self, item: open_request.OpenRequest, event: request.Event
    ) -> None:
        now = self._loop.time()
        kind = item.req.kind
        if isinstance(event, request.End):
            why = event.reason.value if event.reason else ""
            self.traces.note(item.req.req, event.outcome.value, detail=why)
            if event.outcome is types.Outcome.ANSWERED:
                self.metrics.time("whole", kind, now - item.began)
                self._observe_gaps(item, event, now)
        elif item.first_at is None:
            item.first_at = now
            self.metrics.time("first_token", kind, now - item.began)

    def _observe_gaps(
        self, item: open_request.OpenRequest, end: request.End, now: float
    ) -> None:
        if item.first_at is not None and end.tokens > 1:
            gap = (now - item.first_at) / (end.tokens - 1)
            self.metrics.time("between_tokens", item.req.kind, gap)
