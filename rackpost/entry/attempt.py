"""One attempt at a request: reserve endpoints, prefill, decode."""

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

# How long an agent may take to answer a reservation.
REPLY_TIMEOUT_S = 0.25
# Refused reservations after which an attempt gives up.
MAX_REFUSALS = 2
# A prefill finishes at most this long before the decode slot is free, as
# engines keep its KV cache for less than a second.
MAX_PREFILL_LEAD_S = 0.4
# Longer than an agent takes to report a stalled engine.
_AGENT_TIMEOUT_S = 6.0
# Bounds the memory of an answer whose caller reads slowly.
MAX_QUEUED_MESSAGES = 20_000


class _LinkLost(msgspec.Struct, frozen=True, kw_only=True):
    """The link to an agent was lost."""

    agent: types.AgentId


class _TimedOut(msgspec.Struct, frozen=True):
    """No message arrived in time."""


_TIMED_OUT = _TimedOut()


class Attempt:
    """Runs one attempt: `run` yields the answer, and sets `result` at its end.

    `requirements` is what the placement policy sees of the request, with
    the time that is left for this attempt.
    """

    def __init__(
        self,
        *,
        req: request.Request,
        number: types.Attempt,
        requirements: endpoint_view.Requirements,
        offset: int,
        pool: pool_mod.Pool,
        policy: placement.Policy,
        metrics: metrics_mod.Metrics,
        traces: trace_mod.Traces,
        revision: types.Revision,
        priority: int,
        retained_kv: outcome.RetainedKvCache | None = None,
        software: types.SoftwareVersion | None = None,
    ) -> None:
        """`software` is the version at which the stream has to go on."""
        self._retained_kv = retained_kv
        self._software = software
        self.req = req
        self.number = number
        self.result: outcome.Result = outcome.RefusedAttempt(
            types.Refusal.NO_ENDPOINT
        )
        # Whether an endpoint may have received the request.
        self.handed_over = False
        self.refusals = 0
        self.excluded: set[types.AgentId] = set()
        self._requirements = requirements
        self._offset = offset
        self._pool = pool
        self._policy = policy
        self._metrics = metrics
        self._traces = traces
        self._revision = revision
        self._priority = priority
        self._inbox: asyncio.Queue[msgspec.Struct] = asyncio.Queue()
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()
        self._active_peers: dict[types.AgentId, pool_mod.Peer] = {}
        self._granted: dict[types.Role, messages.Granted] = {}
        self._agents: dict[types.Role, types.AgentId] = {}

    # Messages and link losses, passed in by the entry.

    def receive(self, agent: types.AgentId, msg: msgspec.Struct) -> bool:
        """Queue a message; False if the attempt does not use the agent."""
        if agent not in self._active_peers:
            return False
        self._inbox.put_nowait(msg)
        return True

    def handle_link_lost(self, agent: types.AgentId) -> None:
        """Record a lost link to an agent that this attempt uses."""
        if agent in self._active_peers:
            self._inbox.put_nowait(_LinkLost(agent=agent))

    def answering_peer(self) -> pool_mod.Peer | None:
        """Return the agent that gives the answer, once it is reserved."""
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
        return types.Role.PREFILL

    # Reservation.

    @property
    def software(self) -> types.SoftwareVersion | None:
        """The software version of the engine that decodes, if any."""
        granted = self._granted.get(types.Role.DECODE)
        return None if granted is None else granted.load.software

    def exclude_other_versions(self) -> None:
        """Exclude the decode engines where the stream can't go on."""
        for view in self._pool.views_of(self.req.service):
            if view.load.role is types.Role.DECODE and not self._has_version(
                view.load
            ):
                self.excluded.add(view.agent)

    def _has_version(self, load: messages.Load) -> bool:
        return self._software in (None, load.software)

    async def reserve(self) -> types.Refusal | None:
        """Reserve all endpoints; return None, or why it was refused."""
        while True:
            plan = self._policy.place(
                requirements=self._requirements,
                pool=self._pool.views_of(self.req.service),
                now=self._loop.time(),
                excluded=self.excluded,
            )
            if isinstance(plan, types.Refusal):
                return plan
            self._record_step(
                "placed",
                plan.decode,
                f"prefill at {plan.prefill}, first token expected in "
                f"{plan.ttft_s:.3f} s",
            )
            reason = await self._reserve_at_agents(plan)
            if reason is None:
                return None
            self.refusals += 1
            if self.refusals >= MAX_REFUSALS:
                return reason

    def _record_step(
        self, what: str, agent: str = "", detail: str = ""
    ) -> None:
        self._traces.record_step(
            self.req.req, what, agent=agent, detail=detail
        )

    async def _reserve_at_agents(
        self, plan: placement.Placement
    ) -> types.Refusal | None:
        pending: dict[types.AgentId, types.Role] = {}
        for role, agent in self._roles_to_reserve(plan):
            if role in self._granted:
                continue
            if not self._send_reserve(role, agent, plan):
                return types.Refusal.LINK_LOST
            pending[agent] = role
        reason: types.Refusal | None = None
        deadline = self._loop.time() + REPLY_TIMEOUT_S
        while pending:
            msg = await self._next_message(deadline - self._loop.time())
            if isinstance(msg, _TimedOut):
                for agent in pending:
                    self._exclude(agent)
                return types.Refusal.NO_REPLY
            refusal = self._handle_reply(msg, pending)
            reason = reason or refusal
        return reason

    def _roles_to_reserve(
        self, plan: placement.Placement
    ) -> list[tuple[types.Role, types.AgentId]]:
        if self.req.plain is not None:
            return [(types.Role.PLAIN, plan.decode)]
        parts = [(types.Role.DECODE, plan.decode)]
        if plan.prefill is not None and self._retained_kv is None:
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
        requirements = self._requirements
        load = peer.view.load
        # A retried reservation has the time that earlier ones left.
        remaining_s = requirements.ttft_s - (
            self._loop.time() - self._started_at
        )
        remaining_s -= 2 * peer.view.delay_s
        if role is not types.Role.PLAIN:
            remaining_s -= load.step_s
        if role is types.Role.PREFILL:
            remaining_s -= requirements.kv_bytes / load.link_bytes_s
        self._active_peers[agent] = peer
        self._agents[role] = agent
        self._record_reservation(role, peer)
        peer.conn.send(
            messages.Reserve(
                req=self.req.req,
                attempt=self.number,
                part=role,
                service=self.req.service,
                kind=self.req.kind,
                revision=self._revision,
                within_s=max(0.0, remaining_s),
                ready_in_s=max(0.0, plan.ready_in_s),
                prompt_tokens=requirements.prompt_tokens,
                max_tokens=requirements.max_tokens,
                kv_bytes=(
                    requirements.kv_bytes if role is types.Role.DECODE else 0
                ),
                blocks=(
                    requirements.blocks if role is types.Role.PREFILL else ()
                ),
                urgent_higher_density=(
                    requirements.higher_density.urgent_load
                    if role is types.Role.PREFILL
                    else requirements.higher_density.urgent_rate
                ),
                higher_density=(
                    requirements.higher_density.other_load
                    if role is types.Role.PREFILL
                    else requirements.higher_density.other_rate
                ),
                priority=self._priority,
                claim=self.req.claim,
            )
        )
        return True

    def _record_reservation(
        self, role: types.Role, peer: pool_mod.Peer
    ) -> None:
        view = peer.view
        now = self._loop.time()
        self._pool.circuit_breakers.of(view.agent).record_attempt(now)
        if role is types.Role.PREFILL:
            view.sent_work_s += view.prefill_s(
                self._requirements.prompt_tokens, self._requirements.blocks
            )
        else:
            view.sent_slots += 1

    def _handle_reply(
        self,
        msg: msgspec.Struct,
        pending: dict[types.AgentId, types.Role],
    ) -> types.Refusal | None:
        if isinstance(msg, messages.Granted):
            agent = self._agents[msg.part]
            pending.pop(agent, None)
            if msg.part is types.Role.DECODE and not self._has_version(
                msg.load
            ):
                # Its engine has been replaced since the last report.
                self._exclude(agent)
                return types.Refusal.NO_ENDPOINT
            self._granted[msg.part] = msg
            self._record_step("promised", agent, f"in {msg.ready_in_s:.3f} s")
            return None
        if isinstance(msg, messages.Refused):
            agent = self._agents[msg.part]
            pending.pop(agent, None)
            self._exclude(agent)
            self._record_step("refused", agent, msg.reason.value)
            return msg.reason
        if isinstance(msg, _LinkLost):
            if pending.pop(msg.agent, None) is not None:
                self._exclude(msg.agent)
                return types.Refusal.LINK_LOST
            for role, agent in self._agents.items():
                if agent == msg.agent:
                    self._granted.pop(role, None)
            self._exclude(msg.agent)
            return types.Refusal.LINK_LOST
        return None

    def _exclude(self, agent: types.AgentId) -> None:
        self.excluded.add(agent)
        peer = self._active_peers.pop(agent, None)
        if peer is not None:
            self._send_release(peer)

    # Running.

    async def run(self) -> AsyncGenerator[request.Event, None]:
        """Run the request at the reserved endpoints; yield its answer."""
        self.handed_over = True
        if self.req.plain is not None:
            self._send_call()
            role = types.Role.PLAIN
        else:
            if self._retained_kv is None:
                failure = await self._prefill()
                if failure is not None:
                    self.result = failure
                    return
            self._send_decode()
            role = types.Role.DECODE
        stream = self._stream(role)
        async with contextlib.aclosing(stream) as events:
            async for event in events:
                yield event

    async def _prefill(self) -> outcome.FailedAttempt | None:
        agent = self._agents[types.Role.PREFILL]
        await self._wait_for_slot()
        peer = self._active_peers[agent]
        sent_at = self._loop.time()
        peer.conn.send(
            messages.RunPrefill(
                req=self.req.req, attempt=self.number, body=self.req.body
            )
        )
        expected_s = self._granted[types.Role.PREFILL].ready_in_s
        deadline = sent_at + _AGENT_TIMEOUT_S
        while True:
            msg = await self._next_message(deadline - self._loop.time())
            if isinstance(msg, messages.PrefillDone):
                self._active_peers.pop(agent, None)
                elapsed_s = self._loop.time() - sent_at
                self._record_success(agent, elapsed_s, expected_s)
                self._record_step(
                    "prefilled", agent, f"{msg.cached_tokens} cached"
                )
                peer.view.prefix_hints.add(self.req.blocks)
                self._retained_kv = outcome.RetainedKvCache(
                    msg.kv, self._loop.time()
                )
                return None
            failure = self._failure_of(msg)
            if failure is not None:
                return failure

    async def _wait_for_slot(self) -> None:
        decode_ready_s = self._granted[types.Role.DECODE].ready_in_s
        prefill_ready_s = self._granted[types.Role.PREFILL].ready_in_s
        wait_s = decode_ready_s - prefill_ready_s - MAX_PREFILL_LEAD_S
        if wait_s > 0.0:
            await asyncio.sleep(wait_s)

    def _send_decode(self) -> None:
        peer = self._active_peers.get(self._agents[types.Role.DECODE])
        if peer is None or self._retained_kv is None:
            return
        peer.conn.send(
            messages.RunDecode(
                req=self.req.req,
                attempt=self.number,
                body=self.req.body,
                kv=self._retained_kv.kv,
                offset=self._offset,
            )
        )

    def _send_call(self) -> None:
        peer = self._active_peers.get(self._agents[types.Role.PLAIN])
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
        offset = self._offset
        first = True
        sent_at = self._loop.time()
        while True:
            msg = await self._next_message(_AGENT_TIMEOUT_S)
            if isinstance(msg, messages.Done):
                self._active_peers.pop(self._agents[role], None)
                self.result = self._check_length(msg, offset)
                return
            failure = self._failure_of(msg)
            if failure is not None:
                self.result = failure
                return
            if first:
                first = False
                self._record_step("first part", self._agents[role])
                self._record_first_event(role, sent_at)
            for event, size in self._events_of(msg, offset):
                yield event
                offset += size
            if isinstance(msg, messages.Body):
                self._send_credit(role, offset)

    def _check_length(self, msg: messages.Done, offset: int) -> outcome.Result:
        if msg.tokens == offset:
            return outcome.CompletedAttempt(offset)
        self._metrics.count("dropped", types.Drop.GAP)
        agent = self._agents[self._answering_role]
        return outcome.FailedAttempt(types.Failure.TRANSFER, True, agent)

    def _record_first_event(self, role: types.Role, sent_at: float) -> None:
        agent = self._agents[role]
        elapsed_s = self._loop.time() - sent_at
        if role is types.Role.DECODE:
            load = self._granted[role].load
            expected_s = self._requirements.kv_bytes / load.link_bytes_s
            expected_s += load.step_s + self._granted[role].ready_in_s
        else:
            expected_s = elapsed_s
        self._record_success(agent, elapsed_s, expected_s + 0.01)

    def _events_of(
        self, msg: msgspec.Struct, offset: int
    ) -> Iterator[tuple[request.Event, int]]:
        if isinstance(msg, messages.Tokens):
            if msg.offset != offset:
                self._metrics.count("dropped", types.Drop.DOUBLE)
                return
            for text in msg.pieces:
                yield request.TextChunk(text=text), 1
        elif isinstance(msg, messages.Head):
            yield request.PlainHead(status=msg.status, headers=msg.headers), 0
        elif isinstance(msg, messages.Body):
            if msg.offset != offset:
                self._metrics.count("dropped", types.Drop.DOUBLE)
                return
            yield request.PlainChunk(data=msg.data), len(msg.data)

    def _send_credit(self, role: types.Role, taken: int) -> None:
        peer = self._active_peers.get(self._agents[role])
        if peer is not None:
            peer.conn.send(
                messages.Credit(
                    req=self.req.req, attempt=self.number, taken=taken
                )
            )

    def _failure_of(self, msg: msgspec.Struct) -> outcome.FailedAttempt | None:
        if isinstance(msg, messages.Failed):
            agent = self._agents.get(msg.part)
            if agent is not None:
                self._active_peers.pop(agent, None)
            kept = None if msg.ran else self._retained_kv
            self._record_step("broke", agent or "", msg.reason.value)
            if not msg.ran and msg.part is self._first_role:
                # The agent sealed the attempt, so that it never runs.
                self.handed_over = False
            return outcome.FailedAttempt(msg.reason, msg.ran, agent, kept)
        if isinstance(msg, _LinkLost):
            self._active_peers.pop(msg.agent, None)
            return outcome.FailedAttempt(
                types.Failure.LINK_LOST, True, msg.agent
            )
        if isinstance(msg, _TimedOut):
            agent = next(iter(self._active_peers), None)
            return outcome.FailedAttempt(
                types.Failure.ENGINE_STALLED, True, agent
            )
        if self._inbox.qsize() > MAX_QUEUED_MESSAGES:
            return outcome.FailedAttempt(types.Failure.SLOW_READER, True, None)
        return None

    def _record_success(
        self, agent: types.AgentId, took_s: float, predicted_s: float
    ) -> None:
        self._pool.circuit_breakers.of(agent).record_success(
            took_s=took_s, predicted_s=predicted_s, now=self._loop.time()
        )

    async def _next_message(self, wait_s: float) -> msgspec.Struct:
        inbox = self._inbox
        if not inbox.empty():
            return inbox.get_nowait()
        # Cheaper than a task and a cancellation for each wait.
        timer = self._loop.call_later(
            max(0.0, wait_s), inbox.put_nowait, _TIMED_OUT
        )
        try:
            return await inbox.get()
        finally:
            timer.cancel()

    # Release.

    def release(self) -> None:
        """Release the endpoints that are still reserved for this attempt."""
        for peer in self._active_peers.values():
            self._send_release(peer)
        self._active_peers.clear()

    def _send_release(self, peer: pool_mod.Peer) -> None:
        peer.conn.send(messages.Release(req=self.req.req, attempt=self.number))
