"""The agent grants one endpoint's capacity and runs the attempts on it.

Messages are handled in the event loop's callbacks; each running attempt has
a task of its own, the only one that calls the endpoint for it.
"""

import asyncio
import contextlib
from typing import Any
from typing import AsyncIterator
from typing import Callable
from typing import Coroutine
from typing import Iterator

import msgspec

from rackpost.agent import answer_cache
from rackpost.agent import attempts
from rackpost.agent import engine as engine_mod
from rackpost.agent import runner
from rackpost.decide import prefix
from rackpost.decide import reservations
from rackpost.decide import slots
from rackpost import exceptions
from rackpost.link import channel
from rackpost.link import messages
from rackpost import logs
from rackpost import metrics as metrics_mod
from rackpost import types

# A reservation whose input does not arrive in this time after it is ready
# expires.
LEASE_S = 1.0
# How often the load is checked and, if it has changed, reported to entries
# with an idle link.
SUMMARY_S = 0.5
# A load that has hardly changed is reported this often, which bounds the
# traffic of hundreds of idle links.
_MAX_SUMMARY_S = 5.0
_MIN_SLOTS_CHANGE = 2
_MIN_BACKLOG_CHANGE_S = 0.05
# Added to timers, whose time may be rounded down.
_TIMER_ROUNDING_S = 1e-4
# How often reservations are checked for ones that can't be honoured.
_CHECK_S = 0.05


class AgentConfig(msgspec.Struct, frozen=True, kw_only=True):
    """Identity and timing of an agent."""

    agent: types.AgentId
    service: types.ServiceName
    data_centre: types.DataCentre
    incarnation: types.Incarnation = types.Incarnation(1)
    lease_s: float = LEASE_S
    summary_s: float = SUMMARY_S


class Session:
    """The link to one entry, and the attempts that belong to it."""

    def __init__(self, *, conn: channel.Channel) -> None:
        self.conn = conn
        self.peer = ""
        self.keys: set[slots.AttemptKey] = set()
        self.sent_at = 0.0
        self.reported: messages.Load | None = None


class Agent(runner.Host):
    """Serves reservations and attempts for one endpoint.

    `on_peer_revision` is called with each settings revision that an entry
    runs on, so that a newer one can be fetched.
    """

    def __init__(
        self,
        *,
        cfg: AgentConfig,
        engine: engine_mod.Engine,
        ledger: reservations.EndpointLedger,
        metrics: metrics_mod.Metrics | None = None,
        on_peer_revision: Callable[
            [types.Revision], object
        ] = lambda revision: None,
    ) -> None:
        self.cfg = cfg
        self._on_peer_revision = on_peer_revision
        self.ledger = ledger
        self.metrics = metrics or metrics_mod.Metrics()
        self._engine = engine
        self._runner = runner.Runner(engine=engine, ledger=ledger, host=self)
        self._sessions: set[Session] = set()
        self._attempts: dict[slots.AttemptKey, attempts.Attempt] = {}
        self._sealed = attempts.EndedAttempts()
        self._answers = answer_cache.AnswerCache()
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
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
        # The entry is gone, so no caller is left to receive the answers.
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

    # Reservations.

    def _on_reserve(self, session: Session, msg: messages.Reserve) -> None:
        self._on_peer_revision(msg.revision)
        key = slots.AttemptKey(msg.req, msg.attempt)
        if self._sealed.ending(key) is not None:
            result: reservations.ReservationTerms | types.Refusal = (
                types.Refusal.DEADLINE
            )
        else:
            result = self.ledger.reserve(msg, key, self._loop.time())
        if isinstance(result, types.Refusal):
            self.metrics.count("refused", result, msg.kind)
            reply: msgspec.Struct = messages.Refused(
                req=msg.req,
                attempt=msg.attempt,
                part=msg.part,
                reason=result,
                load=self.load(),
            )
            self.send(session, reply)
            return
        att = attempts.Attempt(key=key, reserve_msg=msg, session=session)
        att.collected = answer_cache.AnswerCollector()
        att.reuse_tokens = result.reuse_blocks * prefix.BLOCK_TOKENS
        lease = self.cfg.lease_s + max(result.ready_in_s, msg.within_s)
        att.lease = self._loop.call_later(lease, self._expire, key)
        self._attempts[key] = att
        session.keys.add(key)
        self._idle.clear()
        self.send(
            session,
            messages.Granted(
                req=msg.req,
                attempt=msg.attempt,
                part=msg.part,
                ready_in_s=result.ready_in_s,
                reuse_blocks=result.reuse_blocks,
                load=self.load(),
            ),
        )

    def _expire(self, key: slots.AttemptKey) -> None:
        att = self._attempts.get(key)
        if att is None or att.state is not attempts.State.RESERVED:
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
        if att is None or att.state is not attempts.State.RESERVED:
            self.metrics.count("dropped", types.Drop.UNKNOWN_REQUEST)
            return
        att.set_run(msg)
        self.ledger.mark_ready(att.key)
        self.start_ready()

    def start_ready(self) -> None:
        """Start all work that may start now."""
        now = self._loop.time()
        while True:
            key = self.ledger.next_start(now)
            if key is None:
                self._schedule_start(now)
                return
            att = self._attempts[key]
            if att.task is not None:
                att.turn.set()
                continue
            att.state = attempts.State.RUNNING
            att.task = self._spawn(self._run(att))

    def _schedule_start(self, now: float) -> None:
        wait = self.ledger.wake_in_s(now)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if wait is not None:
            self._timer = self._loop.call_later(
                wait + _TIMER_ROUNDING_S, self.start_ready
            )

    # Running attempts.

    async def _run(self, att: attempts.Attempt) -> None:
        try:
            with self._abort_on_error(att):
                await self._runner.run(att)
        except exceptions.EngineError as exc:
            # Earlier chunks of a prefill may have run before the endpoint
            # rejected this one.
            ran = exc.ran or att.spent_s > 0.0
            if exc.backoff_s > 0.0:
                # Reported in the load, so that entries avoid the endpoint.
                self.ledger.breaker.record_backoff(
                    exc.backoff_s, self._loop.time()
                )
            self._fail(att, runner.failure_of(exc), ran=ran)
        except Exception as exc:
            # A bug in the agent must not leave the attempt reserved.
            logs.say(logs.Part.AGENT, "Attempt failed.", why=repr(exc))
            self._fail(att, types.Failure.AGENT, ran=True)

    @contextlib.contextmanager
    def _abort_on_error(self, att: attempts.Attempt) -> Iterator[None]:
        completed = False
        try:
            yield
            completed = True
        finally:
            if not completed:
                # In a new task, as this one may be cancelled.
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

    def send_done(self, att: attempts.Attempt, tokens: int) -> None:
        """Send that the answer is complete, and keep it for a resend."""
        if att.reserve_msg.claim is not None:
            now = self._loop.time()
            self._answers.add(att.key, att.collected, now)
        self.send(
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
        if (
            reason in _ENDPOINT_FAILURES
            and not self.ledger.breaker.in_backoff(now)
        ):
            self.ledger.breaker.record_failure(now)
        self.finish(att, completed=False)
        self.metrics.count("failed", reason, att.reserve_msg.kind)
        self.send(
            att.session,
            messages.Failed(
                req=att.key.req,
                attempt=att.key.attempt,
                part=att.reserve_msg.part,
                reason=reason,
                ran=ran,
                load=self.load(),
            ),
        )

    def finish(self, att: attempts.Attempt, *, completed: bool) -> None:
        """Seal the attempt and release all that it holds."""
        if att.state is attempts.State.ENDED:
            return
        ending = attempts.Ending.NEVER_RAN
        if att.state is attempts.State.RUNNING:
            ending = attempts.Ending.RAN
            if completed and att.reserve_msg.part is not types.Role.PREFILL:
                ending = attempts.Ending.COMPLETED
        self._sealed.add(att.key, ending, self._loop.time())
        att.state = attempts.State.ENDED
        if att.lease is not None:
            att.lease.cancel()
        self._attempts.pop(att.key, None)
        att.session.keys.discard(att.key)
        self.ledger.release(att.key, self._loop.time(), completed=completed)
        self.start_ready()
        if not self._attempts:
            self._idle.set()

    def _give_up(self, key: slots.AttemptKey) -> None:
        att = self._attempts.get(key)
        if att is None:
            return
        task = att.task
        self.finish(att, completed=False)
        if task is not None:
            task.cancel()

    def _on_seal(self, session: Session, msg: messages.Seal) -> None:
        key = slots.AttemptKey(msg.req, msg.attempt)
        att = self._attempts.get(key)
        if att is not None and att.state is not attempts.State.RUNNING:
            self.finish(att, completed=False)
        running = att is not None and att.state is attempts.State.RUNNING
        if not running:
            # A Run message that is still in flight will be dropped.
            never = attempts.Ending.NEVER_RAN
            self._sealed.add(key, never, self._loop.time())
        ending = self._sealed.ending(key)
        self.send(
            session,
            messages.Sealed(
                req=msg.req,
                attempt=msg.attempt,
                running=running,
                ran=running or ending is not attempts.Ending.NEVER_RAN,
                whole=ending is attempts.Ending.COMPLETED,
            ),
        )

    # Load reports and shutdown.

    def load(self) -> messages.Load:
        """Return the endpoint's present load."""
        return self.ledger.load(self._loop.time())

    def send(self, session: Any, msg: msgspec.Struct) -> None:
        """Send a message over the link of a session."""
        session.sent_at = self._loop.time()
        session.conn.send(msg)

    def _spawn(self, coro: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = self._loop.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def run(self) -> None:
        """Report the load to entries until cancelled."""
        checking = self._spawn(self._check_reservations())
        try:
            while True:
                await asyncio.sleep(self.cfg.summary_s)
                await self._read_cache_events()
                await self._read_software()
                self._send_summaries()
        finally:
            checking.cancel()

    async def _check_reservations(self) -> None:
        """Fail reservations while another endpoint still has time."""
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
            events = await self._engine.events()
            if isinstance(self.ledger, reservations.ReservationLedger):
                self.ledger.record_cache_events(events.stored, events.removed)

    async def _read_software(self) -> None:
        """Read the engine's version: it may have been replaced."""
        if self.ledger.role is types.Role.PLAIN:
            return
        with contextlib.suppress(exceptions.EngineError):
            software = await self._engine.software()
            if software != self.ledger.software:
                self.ledger.software = software
                logs.say(
                    logs.Part.AGENT,
                    "Engine has another version.",
                    software=software,
                )

    def _send_summaries(self) -> None:
        now = self._loop.time()
        load = self.load()
        msg = messages.Summary(load=load)
        for session in list(self._sessions):
            idle_s = now - session.sent_at
            if idle_s < self.cfg.summary_s:
                continue
            if idle_s >= _MAX_SUMMARY_S or _differs(load, session.reported):
                self.send(session, msg)
                session.reported = load

    def leave(self) -> None:
        """Refuse new reservations and report so to every entry."""
        self.ledger.leaving = True
        msg = messages.Summary(load=self.load())
        for session in list(self._sessions):
            self.send(session, msg)

    async def drained(self) -> None:
        """Wait until no attempt is left."""
        await self._idle.wait()

    def close(self) -> None:
        """Give up all attempts and close all links."""
        for session in list(self._sessions):
            for key in list(session.keys):
                self._give_up(key)
            session.conn.close()
        for task in list(self._tasks):
            task.cancel()
        if self._timer is not None:
            self._timer.cancel()

    @property
    def open_attempts(self) -> int:
        """Number of reserved and running attempts."""
        return len(self._attempts)


def _differs(load: messages.Load, reported: messages.Load | None) -> bool:
    if reported is None:
        return True
    return (
        abs(load.used - reported.used) >= _MIN_SLOTS_CHANGE
        or abs(load.backlog_s - reported.backlog_s) >= _MIN_BACKLOG_CHANGE_S
        or (load.leaving, load.avoided) != (reported.leaving, reported.avoided)
        or load.revision != reported.revision
        or load.software != reported.software
    )


_ENDPOINT_FAILURES = frozenset(
    {types.Failure.ENGINE, types.Failure.ENGINE_STALLED}
)


@contextlib.asynccontextmanager
async def running(agent: Agent) -> AsyncIterator[Agent]:
    """Run an agent; on exit, give up all its attempts."""
    task = asyncio.create_task(agent.run())
    try:
        yield agent
    finally:
        task.cancel()
        agent.close()
