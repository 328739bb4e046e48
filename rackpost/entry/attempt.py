"""One attempt at a request: reserve both halves, prefill, decode."""

import asyncio
import contextlib
from typing import AsyncGenerator
from typing import Iterator

import msgspec

from rackpost.decide import endpoint_view
from rackpost.decide import placement
from rackpost.entry import outcome
from rackpost.entry import pool as pool_mod
from rackpost.entry import request
from rackpost.entry import trace as trace_mod
from rackpost.link import messages
from rackpost import metrics as metrics_mod
from rackpost import types

# An agent that has not answered a reservation by then is not waited for.
REPLY_S = 0.25
# A request is answered, one way or the other, after this many refusals.
MAX_REFUSALS = 2
# The KV cache is kept by the engine for under a second; a prefill is not
# started earlier than this before the decode slot is there, in seconds.
KEEP_S = 0.4
# Beyond what the agent itself allows before it reports a stall.
_AGENT_SILENT_S = 6.0
# A slow reader's answer waits here; more than this many pieces end it.
MAX_WAITING_PIECES = 20_000


class _Gone(msgspec.Struct, frozen=True, kw_only=True):
    """The link to an agent was lost."""

    agent: types.AgentId


class _Silent(msgspec.Struct, frozen=True):
    """Nothing came in time."""


_SILENT = _Silent()


class Attempt:
    """Runs one attempt; the pieces come from `run`, then `result` is set.

    `ask` is what the decisions see of the request, with the time that is
    left for this attempt.
    """

    def __init__(
        self,
        *,
        req: request.Request,
        number: types.Attempt,
        ask: endpoint_view.Requirements,
        offset: int,
        pool: pool_mod.Pool,
        policy: placement.Policy,
        metrics: metrics_mod.Metrics,
        traces: trace_mod.Traces,
        revision: types.Revision,
        priority: int,
        kept: outcome.Kept | None = None,
    ) -> None:
        self._kept = kept
        self.req = req
        self.number = number
        self.result: outcome.Result = outcome.Refused(
            types.Refusal.NO_ENDPOINT
        )
        # Whether an endpoint may have had any of it.
        self.touched = False
        self.refusals = 0
        self.excluded: set[types.AgentId] = set()
        self._ask = ask
        self._offset = offset
        self._pool = pool
        self._policy = policy
        self._metrics = metrics
        self._traces = traces
        self._revision = revision
        self._priority = priority
        self._inbox: asyncio.Queue[msgspec.Struct] = asyncio.Queue()
        self._loop = asyncio.get_running_loop()
        self._began = self._loop.time()
        self._used: dict[types.AgentId, pool_mod.Peer] = {}
        self._granted: dict[types.Role, messages.Granted] = {}
        self._agents: dict[types.Role, types.AgentId] = {}

    # What the entry hands in.

    def receive(self, agent: types.AgentId, msg: msgspec.Struct) -> bool:
        """Take a message of this attempt; False if it was not expected."""
        if agent not in self._used:
            return False
        self._inbox.put_nowait(msg)
        return True

    def lost(self, agent: types.AgentId) -> None:
        """The link to an agent of this attempt is gone."""
        if agent in self._used:
            self._inbox.put_nowait(_Gone(agent=agent))

    def holder(self) -> pool_mod.Peer | None:
        """The agent that will give the answer, once reserved."""
        agent = self._agents.get(self._answering_role)
        return self._pool.peer(agent) if agent is not None else None

    @property
    def _answering_role(self) -> types.Role:
        plain = self.req.plain is not None
        return types.Role.PLAIN if plain else types.Role.DECODE

    @property
    def _first_role(self) -> types.Role:
        if self.req.plain is not None:
            return types.Role.PLAIN
        # With a KV cache at hand a prefill was run before.
        return types.Role.PREFILL

    # Reservation.

    async def reserve(self) -> types.Refusal | None:
        """Get every part promised; None, or why it can't be."""
        while True:
            plan = self._policy.place(
                requirements=self._ask,
                pool=self._pool.views_of(self.req.service),
                now=self._loop.time(),
                excluded=self.excluded,
            )
            if isinstance(plan, types.Refusal):
                return plan
            self._note(
                "placed",
                plan.decode,
                f"prefill at {plan.prefill}, first token expected in "
                f"{plan.ttft_s:.3f} s",
            )
            reason = await self._ask_agents(plan)
            if reason is None:
                return None
            self.refusals += 1
            if self.refusals >= MAX_REFUSALS:
                return reason

    def _note(self, what: str, agent: str = "", detail: str = "") -> None:
        self._traces.note(self.req.req, what, agent=agent, detail=detail)

    async def _ask_agents(
        self, plan: placement.Placement
    ) -> types.Refusal | None:
        waiting: dict[types.AgentId, types.Role] = {}
        for role, agent in self._parts(plan):
            if role in self._granted:
                continue
            if not self._send_reserve(role, agent, plan):
                return types.Refusal.LINK_LOST
            waiting[agent] = role
        reason: types.Refusal | None = None
        until = self._loop.time() + REPLY_S
        while waiting:
            msg = await self._next(until - self._loop.time())
            if isinstance(msg, _Silent):
                for agent in waiting:
                    self._drop(agent)
                return types.Refusal.NO_REPLY
            why = self._take_reply(msg, waiting)
            reason = reason or why
        return reason

    def _parts(
        self, plan: placement.Placement
    ) -> list[tuple[types.Role, types.AgentId]]:
        if self.req.plain is not None:
            return [(types.Role.PLAIN, plan.decode)]
        parts = [(types.Role.DECODE, plan.decode)]
        if plan.prefill is not None and self._kept is None:
            parts.append((types.Role.PREFILL, plan.prefill))
        return parts

    def _send_reserve(
        self,
        role: types.Role,
        agent: types.AgentId,
        plan: placement.Placement,
    ) -> bool:
        peer = self._pool.peer(agent)
        if peer is None:
            self.excluded.add(agent)
            return False
        ask = self._ask
        load = peer.view.load
        # A second try has what the first one has left.
        left = ask.ttft_s - (self._loop.time() - self._began)
        left -= 2 * peer.view.delay_s
        if role is not types.Role.PLAIN:
            left -= load.step_s
        if role is types.Role.PREFILL:
            left -= ask.kv_bytes / load.link_bytes_s
        self._used[agent] = peer
        self._agents[role] = agent
        self._note_sent(role, peer)
        peer.conn.send(
            messages.Reserve(
                req=self.req.req,
                attempt=self.number,
                part=role,
                service=self.req.service,
                kind=self.req.kind,
                revision=self._revision,
                within_s=max(0.0, left),
                ready_in_s=max(0.0, plan.ready_in_s),
                prompt_tokens=ask.prompt_tokens,
                max_tokens=ask.max_tokens,
                kv_bytes=ask.kv_bytes if role is types.Role.DECODE else 0,
                blocks=ask.blocks if role is types.Role.PREFILL else (),
                urgent_higher_density=(
                    ask.higher_density.urgent_load
                    if role is types.Role.PREFILL
                    else ask.higher_density.urgent_rate
                ),
                higher_density=(
                    ask.higher_density.other_load
                    if role is types.Role.PREFILL
                    else ask.higher_density.other_rate
                ),
                priority=self._priority,
                claim=self.req.claim,
            )
        )
        return True

    def _note_sent(self, role: types.Role, peer: pool_mod.Peer) -> None:
        view = peer.view
        now = self._loop.time()
        self._pool.health.of(view.agent).record_attempt(now)
        if role is types.Role.PREFILL:
            view.sent_work_s += view.prefill_s(
                self._ask.prompt_tokens, self._ask.blocks
            )
        else:
            view.sent_slots += 1

    def _take_reply(
        self,
        msg: msgspec.Struct,
        waiting: dict[types.AgentId, types.Role],
    ) -> types.Refusal | None:
        if isinstance(msg, messages.Granted):
            agent = self._agents[msg.part]
            waiting.pop(agent, None)
            self._granted[msg.part] = msg
            self._note("promised", agent, f"in {msg.ready_in_s:.3f} s")
            return None
        if isinstance(msg, messages.Refused):
            agent = self._agents[msg.part]
            waiting.pop(agent, None)
            self._drop(agent)
            self._note("refused", agent, msg.reason.value)
            return msg.reason
        if isinstance(msg, _Gone):
            if waiting.pop(msg.agent, None) is not None:
                self._drop(msg.agent)
                return types.Refusal.LINK_LOST
            for role, agent in self._agents.items():
                if agent == msg.agent:
                    self._granted.pop(role, None)
            self._drop(msg.agent)
            return types.Refusal.LINK_LOST
        return None

    def _drop(self, agent: types.AgentId) -> None:
        self.excluded.add(agent)
        peer = self._used.pop(agent, None)
        if peer is not None:
            self._send_release(peer)

    # Running.

    async def run(self) -> AsyncGenerator[request.Event, None]:
        """Run what was reserved; yields the answer's pieces."""
        self.touched = True
        if self.req.plain is not None:
            self._send_call()
            role = types.Role.PLAIN
        else:
            if self._kept is None:
                broken = await self._prefill()
                if broken is not None:
                    self.result = broken
                    return
            self._send_decode()
            role = types.Role.DECODE
        stream = self._stream(role)
        async with contextlib.aclosing(stream) as events:
            async for event in events:
                yield event

    async def _prefill(self) -> outcome.Broken | None:
        agent = self._agents[types.Role.PREFILL]
        await self._wait_for_slot()
        peer = self._used[agent]
        sent_at = self._loop.time()
        peer.conn.send(
            messages.RunPrefill(
                req=self.req.req, attempt=self.number, body=self.req.body
            )
        )
        expected = self._granted[types.Role.PREFILL].ready_in_s
        until = sent_at + _AGENT_SILENT_S
        while True:
            msg = await self._next(until - self._loop.time())
            if isinstance(msg, messages.PrefillDone):
                self._used.pop(agent, None)
                took = self._loop.time() - sent_at
                self._went_well(agent, took, expected)
                self._note("prefilled", agent, f"{msg.cached_tokens} cached")
                peer.view.prefix_hints.add(self.req.blocks)
                self._kept = outcome.Kept(msg.kv, self._loop.time())
                return None
            broken = self._broken(msg)
            if broken is not None:
                return broken

    async def _wait_for_slot(self) -> None:
        slot = self._granted[types.Role.DECODE].ready_in_s
        done = self._granted[types.Role.PREFILL].ready_in_s
        early = slot - done - KEEP_S
        if early > 0.0:
            await asyncio.sleep(early)

    def _send_decode(self) -> None:
        peer = self._used.get(self._agents[types.Role.DECODE])
        if peer is None or self._kept is None:
            return
        peer.conn.send(
            messages.RunDecode(
                req=self.req.req,
                attempt=self.number,
                body=self.req.body,
                kv=self._kept.kv,
                offset=self._offset,
            )
        )

    def _send_call(self) -> None:
        peer = self._used.get(self._agents[types.Role.PLAIN])
        call = self.req.plain
        if peer is None or call is None:
            return
        peer.conn.send(
            messages.RunCall(
                req=self.req.req,
                attempt=self.number,
                method=call.method,
                path=call.path,
                query=call.query,
                headers=call.headers,
                body=self.req.body,
            )
        )

    async def _stream(
        self, role: types.Role
    ) -> AsyncGenerator[request.Event, None]:
        at = self._offset
        first = True
        sent_at = self._loop.time()
        while True:
            msg = await self._next(_AGENT_SILENT_S)
            if isinstance(msg, messages.Done):
                self._used.pop(self._agents[role], None)
                self.result = self._check_length(msg, at)
                return
            broken = self._broken(msg)
            if broken is not None:
                self.result = broken
                return
            if first:
                first = False
                self._note("first part", self._agents[role])
                self._first_came(role, sent_at)
            for event, size in self._events_of(msg, at):
                yield event
                at += size
            if isinstance(msg, messages.Body):
                self._send_credit(role, at)

    def _check_length(self, msg: messages.Done, at: int) -> outcome.Result:
        if msg.tokens == at:
            return outcome.Whole(at)
        self._metrics.count("dropped", types.Drop.GAP)
        agent = self._agents[self._answering_role]
        return outcome.Broken(types.Failure.TRANSFER, True, agent)

    def _first_came(self, role: types.Role, sent_at: float) -> None:
        agent = self._agents[role]
        took = self._loop.time() - sent_at
        if role is types.Role.DECODE:
            load = self._granted[role].load
            usual = self._ask.kv_bytes / load.link_bytes_s
            usual += load.step_s + self._granted[role].ready_in_s
        else:
            usual = took
        self._went_well(agent, took, usual + 0.01)

    def _events_of(
        self, msg: msgspec.Struct, at: int
    ) -> Iterator[tuple[request.Event, int]]:
        if isinstance(msg, messages.Tokens):
            if msg.offset != at:
                self._metrics.count("dropped", types.Drop.DOUBLE)
                return
            for text in msg.pieces:
                yield request.Piece(text=text), 1
        elif isinstance(msg, messages.Head):
            yield request.PlainHead(status=msg.status, headers=msg.headers), 0
        elif isinstance(msg, messages.Body):
            if msg.offset != at:
                self._metrics.count("dropped", types.Drop.DOUBLE)
                return
            yield request.PlainPart(data=msg.data), len(msg.data)

    def _send_credit(self, role: types.Role, taken: int) -> None:
        peer = self._used.get(self._agents[role])
        if peer is not None:
            peer.conn.send(
                messages.Credit(
                    req=self.req.req, attempt=self.number, taken=taken
                )
            )

    def _broken(self, msg: msgspec.Struct) -> outcome.Broken | None:
        if isinstance(msg, messages.Failed):
            agent = self._agents.get(msg.part)
            if agent is not None:
                self._used.pop(agent, None)
            kept = None if msg.ran else self._kept
            self._note("broke", agent or "", msg.reason.value)
            if not msg.ran and msg.part is self._first_role:
                # Sealed by its agent: nothing has begun anywhere.
                self.touched = False
            return outcome.Broken(msg.reason, msg.ran, agent, kept)
        if isinstance(msg, _Gone):
            self._used.pop(msg.agent, None)
            return outcome.Broken(types.Failure.LINK_LOST, True, msg.agent)
        if isinstance(msg, _Silent):
            agent = next(iter(self._used), None)
            return outcome.Broken(types.Failure.ENGINE_STALLED, True, agent)
        if self._inbox.qsize() > MAX_WAITING_PIECES:
            return outcome.Broken(types.Failure.SLOW_READER, True, None)
        return None

    def _went_well(
        self, agent: types.AgentId, took_s: float, predicted_s: float
    ) -> None:
        self._pool.health.of(agent).record_success(
            took_s=took_s, predicted_s=predicted_s, now=self._loop.time()
        )

    async def _next(self, wait_s: float) -> msgspec.Struct:
        inbox = self._inbox
        if not inbox.empty():
            return inbox.get_nowait()
        # One timer is cheaper than a task for each wait.
        timer = self._loop.call_later(
            max(0.0, wait_s), inbox.put_nowait, _SILENT
        )
        try:
            return await inbox.get()
        finally:
            timer.cancel()

    # The end.

    def release(self) -> None:
        """Give back all that is still held for this attempt."""
        for peer in self._used.values():
            self._send_release(peer)
        self._used.clear()

    def _send_release(self, peer: pool_mod.Peer) -> None:
        peer.conn.send(messages.Release(req=self.req.req, attempt=self.number))
