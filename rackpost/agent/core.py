"""The agent: owner of one endpoint's capacity and of all given to it.

One task handles messages; each attempt that runs has a task of its own,
which alone talks to the endpoint about it.
"""

import asyncio
import contextlib
from typing import Any
from typing import AsyncIterator
from typing import Callable
from typing import Coroutine
from typing import Iterator

import msgspec

from rackpost.agent import answers
from rackpost.agent import attempts
from rackpost.agent import engine as engine_mod
from rackpost.agent import running as running_mod
from rackpost.decide import prefix
from rackpost.decide import reservations as reservations_mod
from rackpost.decide import slots
from rackpost import exceptions
from rackpost.link import channel
from rackpost.link import messages
from rackpost import logs
from rackpost import metrics as metrics_mod
from rackpost import types

# A promise that is not taken up in this time is given up, in seconds.
LEASE_S = 1.0
# Idle agents say their load this often, in seconds.
SUMMARY_S = 0.5
# One whose load has hardly changed says so this often, in seconds, which
# bounds what hundreds of idle links cost (docs/CAPACITY.md).
_SUMMARY_MOST_S = 5.0
_SLOTS_CHANGED = 2
_BACKLOG_CHANGED_S = 0.05
_ROUND_S = 1e-4
# Promises that can't be kept any more are looked for this often.
_CHECK_S = 0.05


class AgentConfig(msgspec.Struct, frozen=True, kw_only=True):
    """Who the agent is."""

    agent: types.AgentId
    service: types.ServiceName
    data_centre: types.DataCentre
    incarnation: types.Incarnation = types.Incarnation(1)
    lease_s: float = LEASE_S
    summary_s: float = SUMMARY_S


class Session:
    """The link to one entry, and the attempts it has here."""

    def __init__(self, *, conn: channel.Channel) -> None:
        self.conn = conn
        self.peer = ""
        self.keys: set[slots.AttemptKey] = set()
        self.spoke_at = 0.0
        self.told: messages.Load | None = None


class Agent(running_mod.Host):
    """Serves reservations and attempts for one endpoint.

    `on_peer_revision` is told of each revision that an entry runs on, so that
    a newer one is fetched.
    """

    def __init__(
        self,
        *,
        cfg: AgentConfig,
        engine: engine_mod.Engine,
        ledger: reservations_mod.EndpointLedger,
        metrics: metrics_mod.Metrics | None = None,
        on_peer_revision: Callable[
            [types.Revision], object
        ] = lambda revision: None,
    ) -> None:
        self.cfg = cfg
        self._behind = on_peer_revision
        self.ledger = ledger
        self.metrics = metrics or metrics_mod.Metrics()
        self._engine = engine
        self._runner = running_mod.Runner(
            engine=engine, book=ledger, host=self
        )
        self._sessions: set[Session] = set()
        self._attempts: dict[slots.AttemptKey, attempts.Attempt] = {}
        self._sealed = attempts.EndedAttempts()
        self._answers = answers.HeldAnswers()
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._waker: asyncio.TimerHandle | None = None
        self._idle = asyncio.Event()
        self._idle.set()

    # Links.

    def connect(self, conn: channel.Channel) -> None:
        """Serve an entry over a new link."""
        session = Session(conn=conn)
        self._sessions.add(session)
        conn.attach(
            receive=lambda msg: self._on_message(session, msg),
            closed=lambda: self._on_closed(session),
        )
        conn.send(
            messages.Hello(
                peer=self.cfg.agent,
                incarnation=self.cfg.incarnation,
                data_centre=self.cfg.data_centre,
                revision=self.ledger.revision,
            )
        )
        conn.send(messages.Summary(load=self.load()))

    def _on_closed(self, session: Session) -> None:
        # The entry is gone: so is everyone who would receive the work.
        self._sessions.discard(session)
        for key in list(session.keys):
            self._give_up(key)

    def _on_message(self, session: Session, msg: msgspec.Struct) -> None:
        if isinstance(msg, messages.Reserve):
            self._on_reserve(session, msg)
        elif isinstance(msg, messages.Hello):
            session.peer = msg.peer
        elif isinstance(msg, messages.Seal):
            self._on_seal(session, msg)
        elif isinstance(msg, messages.Fetch):
            key = slots.AttemptKey(msg.req, msg.attempt)
            session.conn.send(self._answers.get(key))
        elif isinstance(msg, messages.Release):
            self._give_up(slots.AttemptKey(msg.req, msg.attempt))
        elif isinstance(msg, messages.Credit):
            self._on_credit(msg)
        else:
            self._on_run(msg)

    # Promises.

    def _on_reserve(self, session: Session, msg: messages.Reserve) -> None:
        self._behind(msg.revision)
        key = slots.AttemptKey(msg.req, msg.attempt)
        if self._sealed.ending(key) is not None:
            made: reservations_mod.ReservationTerms | types.Refusal = (
                types.Refusal.DEADLINE
            )
        else:
            made = self.ledger.reserve(msg, key, self._loop.time())
        if isinstance(made, types.Refusal):
            self.metrics.count("refused", made, msg.kind)
            reply: msgspec.Struct = messages.Refused(
                req=msg.req,
                attempt=msg.attempt,
                part=msg.part,
                reason=made,
                load=self.load(),
            )
            self.say(session, reply)
            return
        att = attempts.Attempt(key=key, asked=msg, session=session)
        att.collected = answers.Collector()
        att.reuse_tokens = made.reuse_blocks * prefix.BLOCK_TOKENS
        lease = self.cfg.lease_s + max(made.ready_in_s, msg.within_s)
        att.lease = self._loop.call_later(lease, self._expire, key)
        self._attempts[key] = att
        session.keys.add(key)
        self._idle.clear()
        self.say(
            session,
            messages.Granted(
                req=msg.req,
                attempt=msg.attempt,
                part=msg.part,
                ready_in_s=made.ready_in_s,
                reuse_blocks=made.reuse_blocks,
                load=self.load(),
            ),
        )

    def _expire(self, key: slots.AttemptKey) -> None:
        att = self._attempts.get(key)
        if att is None or att.state is not attempts.State.PROMISED:
            return
        self.metrics.count("failed", types.Failure.LEASE_EXPIRED)
        self._fail(att, types.Failure.LEASE_EXPIRED, ran=False)

    def _on_run(self, msg: msgspec.Struct) -> None:
        if not isinstance(
            msg, (messages.RunPrefill, messages.RunDecode, messages.RunCall)
        ):
            self.metrics.count("dropped", types.Drop.BAD_FRAME)
            return
        att = self._attempts.get(slots.AttemptKey(msg.req, msg.attempt))
        if att is None or att.state is not attempts.State.PROMISED:
            self.metrics.count("dropped", types.Drop.UNKNOWN_REQUEST)
            return
        att.take(msg)
        self.ledger.mark_ready(att.key)
        self.start_ready()

    def start_ready(self) -> None:
        """Start what may be started now."""
        now = self._loop.time()
        while True:
            key = self.ledger.next_start(now)
            if key is None:
                self._wake_later(now)
                return
            att = self._attempts[key]
            if att.task is not None:
                att.turn.set()
                continue
            att.state = attempts.State.RUNNING
            att.task = self._spawn(self._run(att))

    def _wake_later(self, now: float) -> None:
        wait = self.ledger.wake_in_s(now)
        if self._waker is not None:
            self._waker.cancel()
            self._waker = None
        if wait is not None:
            # A little more, as the time of a timer may be rounded.
            self._waker = self._loop.call_later(
                wait + _ROUND_S, self.start_ready
            )

    # Running attempts.

    async def _run(self, att: attempts.Attempt) -> None:
        try:
            with self._aborted_if_cut(att):
                await self._runner.run(att)
        except exceptions.EngineError as exc:
            # Of a long prefill, parts may have run before the one that
            # was turned away.
            ran = exc.ran or att.spent_s > 0.0
            if exc.backoff_s > 0.0:
                # Entries choose others until then, for what was promised too.
                self.ledger.health.record_backoff(
                    exc.backoff_s, self._loop.time()
                )
            self._fail(att, running_mod.failure_of(exc), ran=ran)
        except Exception as exc:
            # A fault of ours must not leave the attempt held for ever.
            logs.say(logs.Part.AGENT, "Attempt failed.", why=repr(exc))
            self._fail(att, types.Failure.AGENT, ran=True)

    @contextlib.contextmanager
    def _aborted_if_cut(self, att: attempts.Attempt) -> Iterator[None]:
        whole = False
        try:
            yield
            whole = True
        finally:
            if not whole:
                # The engine is told even when this task is cancelled.
                self._spawn(self._abort(att.key))

    async def _abort(self, key: slots.AttemptKey) -> None:
        with contextlib.suppress(exceptions.EngineError):
            await self._engine.abort(key=key)

    def _on_credit(self, msg: messages.Credit) -> None:
        att = self._attempts.get(slots.AttemptKey(msg.req, msg.attempt))
        if att is not None:
            att.taken = max(att.taken, msg.taken)
            att.credited.set()

    # Ends.

    def done(self, att: attempts.Attempt, tokens: int) -> None:
        """Tell the entry that the answer is whole."""
        if att.asked.claim is not None:
            now = self._loop.time()
            self._answers.hold(att.key, att.collected, now)
        self.say(
            att.session,
            messages.Done(
                req=att.key.req,
                attempt=att.key.attempt,
                tokens=tokens,
                finish_reason="stop",
                load=self.load(),
            ),
        )

    def _fail(
        self, att: attempts.Attempt, reason: types.Failure, *, ran: bool
    ) -> None:
        now = self._loop.time()
        if reason in _ENDPOINTS_FAULT and not self.ledger.health.in_backoff(
            now
        ):
            self.ledger.health.record_failure(now)
        self.finish(att, whole=False)
        self.metrics.count("failed", reason, att.asked.kind)
        self.say(
            att.session,
            messages.Failed(
                req=att.key.req,
                attempt=att.key.attempt,
                part=att.asked.part,
                reason=reason,
                ran=ran,
                load=self.load(),
            ),
        )

    def finish(self, att: attempts.Attempt, *, whole: bool) -> None:
        """Let go of all that the attempt holds here."""
        if att.state is attempts.State.ENDED:
            return
        ending = attempts.Ending.NEVER_RAN
        if att.state is attempts.State.RUNNING:
            ending = attempts.Ending.RAN
            if whole and att.asked.part is not types.Role.PREFILL:
                ending = attempts.Ending.WHOLE
        self._sealed.add(att.key, ending, self._loop.time())
        att.state = attempts.State.ENDED
        if att.lease is not None:
            att.lease.cancel()
        self._attempts.pop(att.key, None)
        att.session.keys.discard(att.key)
        self.ledger.release(att.key, self._loop.time(), completed=whole)
        self.start_ready()
        if not self._attempts:
            self._idle.set()

    def _give_up(self, key: slots.AttemptKey) -> None:
        att = self._attempts.get(key)
        if att is None:
            return
        task = att.task
        self.finish(att, whole=False)
        if task is not None:
            task.cancel()

    def _on_seal(self, session: Session, msg: messages.Seal) -> None:
        key = slots.AttemptKey(msg.req, msg.attempt)
        att = self._attempts.get(key)
        if att is not None and att.state is not attempts.State.RUNNING:
            self.finish(att, whole=False)
        running = att is not None and att.state is attempts.State.RUNNING
        if not running:
            # From now on it can't begin here, whatever is on the way.
            never = attempts.Ending.NEVER_RAN
            self._sealed.add(key, never, self._loop.time())
        ending = self._sealed.ending(key)
        self.say(
            session,
            messages.Sealed(
                req=msg.req,
                attempt=msg.attempt,
                running=running,
                ran=running or ending is not attempts.Ending.NEVER_RAN,
                whole=ending is attempts.Ending.WHOLE,
            ),
        )

    # The agent's own life.

    def load(self) -> messages.Load:
        """The endpoint's present load."""
        return self.ledger.load(self._loop.time())

    def say(self, session: Any, msg: msgspec.Struct) -> None:
        """Send a message over a session's link."""
        session.spoke_at = self._loop.time()
        session.conn.send(msg)

    def _spawn(self, coro: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = self._loop.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def run(self) -> None:
        """Tell idle entries the load, until cancelled."""
        checking = self._spawn(self._check_promises())
        try:
            while True:
                await asyncio.sleep(self.cfg.summary_s)
                await self._read_cache_events()
                self._say_summaries()
        finally:
            checking.cancel()

    async def _check_promises(self) -> None:
        """Give promises back while another endpoint can still keep them."""
        while True:
            await asyncio.sleep(_CHECK_S)
            for key in self.ledger.infeasible(self._loop.time()):
                att = self._attempts.get(key)
                if att is not None:
                    self._fail(att, types.Failure.DEADLINE, ran=False)

    async def _read_cache_events(self) -> None:
        if self.ledger.role is types.Role.PLAIN:
            return
        with contextlib.suppress(exceptions.EngineError):
            seen = await self._engine.events()
            if isinstance(self.ledger, reservations_mod.ReservationLedger):
                self.ledger.record_cache_events(seen.stored, seen.removed)

    def _say_summaries(self) -> None:
        now = self._loop.time()
        load = self.load()
        msg = messages.Summary(load=load)
        for session in list(self._sessions):
            silent = now - session.spoke_at
            if silent < self.cfg.summary_s:
                continue
            if silent >= _SUMMARY_MOST_S or _differs(load, session.told):
                self.say(session, msg)
                session.told = load

    def leave(self) -> None:
        """Refuse new promises at once and tell every entry so."""
        self.ledger.leaving = True
        msg = messages.Summary(load=self.load())
        for session in list(self._sessions):
            self.say(session, msg)

    async def drained(self) -> None:
        """Wait until no attempt is left."""
        await self._idle.wait()

    def close(self) -> None:
        """Give up everything, as when the process dies."""
        for session in list(self._sessions):
            for key in list(session.keys):
                self._give_up(key)
            session.conn.close()
        for task in list(self._tasks):
            task.cancel()
        if self._waker is not None:
            self._waker.cancel()

    @property
    def open_attempts(self) -> int:
        """Promised and running attempts."""
        return len(self._attempts)


def _differs(load: messages.Load, told: messages.Load | None) -> bool:
    if told is None:
        return True
    return (
        abs(load.used - told.used) >= _SLOTS_CHANGED
        or abs(load.backlog_s - told.backlog_s) >= _BACKLOG_CHANGED_S
        or (load.leaving, load.avoided) != (told.leaving, told.avoided)
        or load.revision != told.revision
    )


_ENDPOINTS_FAULT = frozenset(
    {types.Failure.ENGINE, types.Failure.ENGINE_STALLED}
)


@contextlib.asynccontextmanager
async def running(agent: Agent) -> AsyncIterator[Agent]:
    """Run an agent; on leaving, everything it holds is given up."""
    task = asyncio.create_task(agent.run())
    try:
        yield agent
    finally:
        task.cancel()
        agent.close()
