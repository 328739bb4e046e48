"""What runs at the endpoint for one attempt: prefill, decode or call."""

import abc
import asyncio
import contextlib
from typing import Any
from typing import Awaitable
from typing import TypeVar

import msgspec

from rackpost.agent import attempts
from rackpost.agent import engine as engine_mod
from rackpost.agent import prompt_chunks
from rackpost.agent import watchdog
from rackpost.decide import reservations as reservations_mod
from rackpost import exceptions
from rackpost.link import messages
from rackpost import types

T = TypeVar("T")

# Bytes of a plain answer that may be on the way to a caller at once, and
# how long the agent waits for a reader that takes none, in seconds.
WINDOW_BYTES = 256 << 10
SLOW_READER_S = 5.0


class Host(abc.ABC):
    """What a running attempt needs of its agent."""

    @abc.abstractmethod
    def start_ready(self) -> None:
        """Start what may be started now."""

    @abc.abstractmethod
    def finish(self, att: attempts.Attempt, *, whole: bool) -> None:
        """Let go of all that the attempt holds here."""

    @abc.abstractmethod
    def done(self, att: attempts.Attempt, tokens: int) -> None:
        """Tell the entry that the answer is whole."""

    @abc.abstractmethod
    def say(self, session: Any, msg: msgspec.Struct) -> None:
        """Send a message over the link of an attempt's session."""

    @abc.abstractmethod
    def load(self) -> messages.Load:
        """The endpoint's present load."""


class Runner:
    """Runs attempts; each in the task of its caller.

    Raises EngineError where the endpoint fails.
    """

    def __init__(
        self,
        *,
        engine: engine_mod.Engine,
        book: reservations_mod.EndpointLedger,
        host: Host,
    ) -> None:
        self._engine = engine
        self._book = book
        self._host = host
        self._loop = asyncio.get_running_loop()

    async def run(self, att: attempts.Attempt) -> None:
        """Run an attempt that has its turn, to its end."""
        if isinstance(att.run, messages.RunPrefill):
            await self._run_prefill(att, att.run)
        elif isinstance(att.run, messages.RunDecode):
            await self._run_decode(att, att.run)
        elif isinstance(att.run, messages.RunCall):
            await self._run_call(att, att.run)

    async def _run_prefill(
        self, att: attempts.Attempt, run: messages.RunPrefill
    ) -> None:
        done = att.reuse_tokens
        while (part := self._book.chunk_tokens(att.key)) is not None:
            done += part
            await self._run_part(
                att, prompt_chunks.truncate_prompt(run.body, done)
            )
        result = await self._timed(
            att,
            self._engine.prefill(
                key=att.key, body=run.body, priority=att.asked.priority
            ),
        )
        self._book.record_prefill(att.key, att.spent_s)
        self._went_well()
        self._host.finish(att, whole=True)
        self._host.say(
            att.session,
            messages.PrefillDone(
                req=run.req,
                attempt=run.attempt,
                kv=result.kv,
                cached_tokens=result.cached_tokens,
                load=self._host.load(),
            ),
        )

    async def _run_part(self, att: attempts.Attempt, body: bytes) -> None:
        await self._timed(
            att,
            self._engine.warm(
                key=att.key, body=body, priority=att.asked.priority
            ),
        )
        att.turn.clear()
        self._book.chunk_done(att.key)
        self._host.start_ready()
        await att.turn.wait()

    async def _timed(self, att: attempts.Attempt, work: Awaitable[T]) -> T:
        limit = watchdog.prefill_limit(
            att.asked,
            self._host.load(),
            self._book.engine_queue_s(self._loop.time()),
        )
        began = self._loop.time()
        result = await watchdog.within(limit, work)
        att.spent_s += self._loop.time() - began
        return result

    async def _run_decode(
        self, att: attempts.Attempt, run: messages.RunDecode
    ) -> None:
        stream = self._engine.decode(
            key=att.key,
            body=run.body,
            kv=run.kv,
            offset=run.offset,
            priority=att.asked.priority,
        )
        count = 0
        last = self._loop.time()
        limits = watchdog.stream_limits(
            att.asked,
            self._host.load(),
            self._book.engine_queue_s(self._loop.time()),
        )
        guarded = watchdog.guarded(stream, limits)
        async with contextlib.aclosing(guarded) as pieces:
            async for piece in pieces:
                now = self._loop.time()
                count += 1
                if count == 1:
                    self._went_well()
                self._book.record_progress(
                    att.key, run.offset + count, now - last, now
                )
                last = now
                att.collected.piece(piece)
                att.session.conn.send(
                    messages.Tokens(
                        req=run.req,
                        attempt=run.attempt,
                        offset=run.offset + count - 1,
                        pieces=(piece,),
                    )
                )
        self._host.finish(att, whole=True)
        self._host.done(att, run.offset + count)

    async def _run_call(
        self, att: attempts.Attempt, run: messages.RunCall
    ) -> None:
        stream = self._engine.call(
            key=att.key,
            method=run.method,
            path=run.path,
            query=run.query,
            headers=run.headers,
            body=run.body,
        )
        sent = 0
        guarded = watchdog.guarded(stream, watchdog.CALL_LIMITS)
        async with contextlib.aclosing(guarded) as parts:
            async for part in parts:
                if isinstance(part, engine_mod.CallHead):
                    self._send_head(att, part)
                    continue
                await self._wait_for_credit(att, sent)
                att.session.conn.send(
                    messages.Body(
                        req=run.req,
                        attempt=run.attempt,
                        offset=sent,
                        data=part,
                    )
                )
                att.collected.part(part)
                sent += len(part)
        self._host.finish(att, whole=True)
        self._host.done(att, sent)

    def _send_head(
        self, att: attempts.Attempt, head: engine_mod.CallHead
    ) -> None:
        msg = messages.Head(
            req=att.key.req,
            attempt=att.key.attempt,
            status=head.status,
            headers=head.headers,
        )
        att.collected.head(msg)
        att.session.conn.send(msg)

    async def _wait_for_credit(self, att: attempts.Attempt, sent: int) -> None:
        while sent - att.taken > WINDOW_BYTES:
            att.credited.clear()
            try:
                async with asyncio.timeout(SLOW_READER_S):
                    await att.credited.wait()
            except TimeoutError:
                raise _SlowReader() from None

    def _went_well(self) -> None:
        self._book.health.record_success(
            took_s=0.0, predicted_s=1.0, now=self._loop.time()
        )


class _SlowReader(exceptions.EngineError):
    """The caller takes nothing of its answer."""

    def __init__(self) -> None:
        super().__init__("slow reader")


def failure_of(exc: exceptions.EngineError) -> types.Failure:
    """The reason that goes with an endpoint's error."""
    if isinstance(exc, _SlowReader):
        return types.Failure.SLOW_READER
    if isinstance(exc, watchdog.Stalled):
        return types.Failure.ENGINE_STALLED
    if isinstance(exc, engine_mod.KvExpired):
        return types.Failure.KV_EXPIRED
    if isinstance(exc, engine_mod.TransferFailed):
        return types.Failure.TRANSFER
    return types.Failure.ENGINE
