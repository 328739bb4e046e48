"""Runs the prefill, decode or call of an attempt at the endpoint."""

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
from rackpost.decide import reservations
from rackpost import exceptions
from rackpost.link import messages
from rackpost import types

T = TypeVar("T")

# Bytes of a plain answer that may be in flight to a caller.
WINDOW_BYTES = 256 << 10
# How long the agent waits for a caller that reads nothing.
SLOW_READER_S = 5.0


class Host(abc.ABC):
    """The part of the agent that a running attempt uses."""

    @abc.abstractmethod
    def start_ready(self) -> None:
        """Start all work that may start now."""

    @abc.abstractmethod
    def finish(self, att: attempts.Attempt, *, completed: bool) -> None:
        """Seal the attempt and release all that it holds."""

    @abc.abstractmethod
    def send_done(self, att: attempts.Attempt, tokens: int) -> None:
        """Send that the answer is complete, and keep it for a resend."""

    @abc.abstractmethod
    def send(self, session: Any, msg: msgspec.Struct) -> None:
        """Send a message over the link of a session."""

    @abc.abstractmethod
    def load(self) -> messages.Load:
        """Return the endpoint's present load."""


class Runner:
    """Runs attempts, each in the task that calls `run`."""

    def __init__(
        self,
        *,
        engine: engine_mod.Engine,
        ledger: reservations.EndpointLedger,
        host: Host,
    ) -> None:
        self._engine = engine
        self._ledger = ledger
        self._host = host
        self._loop = asyncio.get_running_loop()

    async def run(self, att: attempts.Attempt) -> None:
        """Run an attempt to its end; raises EngineError if it fails."""
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
        while (chunk := self._ledger.chunk_tokens(att.key)) is not None:
            done += chunk
            await self._run_chunk(
                att, prompt_chunks.truncate_prompt(run.body, done)
            )
        result = await self._timed(
            att,
            self._engine.prefill(
                key=att.key, body=run.body, priority=att.reserve_msg.priority
            ),
        )
        self._ledger.record_prefill(att.key, att.spent_s)
        self._record_success()
        self._host.finish(att, completed=True)
        self._host.send(
            att.session,
            messages.PrefillDone(
                req=run.req,
                attempt=run.attempt,
                kv=result.kv,
                cached_tokens=result.cached_tokens,
                load=self._host.load(),
            ),
        )

    async def _run_chunk(self, att: attempts.Attempt, body: bytes) -> None:
        await self._timed(
            att,
            self._engine.warm(
                key=att.key, body=body, priority=att.reserve_msg.priority
            ),
        )
        att.turn.clear()
        self._ledger.chunk_done(att.key)
        self._host.start_ready()
        await att.turn.wait()

    async def _timed(self, att: attempts.Attempt, work: Awaitable[T]) -> T:
        limit = watchdog.prefill_limit(
            att.reserve_msg,
            self._host.load(),
            self._ledger.engine_queue_s(self._loop.time()),
        )
        started = self._loop.time()
        result = await watchdog.with_timeout(limit, work)
        att.spent_s += self._loop.time() - started
        return result

    async def _run_decode(
        self, att: attempts.Attempt, run: messages.RunDecode
    ) -> None:
        stream = self._engine.decode(
            key=att.key,
            body=run.body,
            kv=run.kv,
            offset=run.offset,
            priority=att.reserve_msg.priority,
        )
        count = 0
        last = self._loop.time()
        limits = watchdog.stream_limits(
            att.reserve_msg,
            self._host.load(),
            self._ledger.engine_queue_s(self._loop.time()),
        )
        limited = watchdog.with_stall_limits(stream, limits)
        async with contextlib.aclosing(limited) as pieces:
            async for piece in pieces:
                now = self._loop.time()
                count += 1
                if count == 1:
                    self._record_success()
                self._ledger.record_progress(
                    att.key, run.offset + count, now - last, now
                )
                last = now
                att.collected.add_text(piece)
                att.session.conn.send(
                    messages.Tokens(
                        req=run.req,
                        attempt=run.attempt,
                        offset=run.offset + count - 1,
                        pieces=(piece,),
                    )
                )
        self._host.finish(att, completed=True)
        self._host.send_done(att, run.offset + count)

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
        limited = watchdog.with_stall_limits(stream, watchdog.CALL_LIMITS)
        async with contextlib.aclosing(limited) as chunks:
            async for chunk in chunks:
                if isinstance(chunk, engine_mod.CallHead):
                    self._send_head(att, chunk)
                    continue
                await self._wait_for_credit(att, sent)
                att.session.conn.send(
                    messages.Body(
                        req=run.req,
                        attempt=run.attempt,
                        offset=sent,
                        data=chunk,
                    )
                )
                att.collected.add_body(chunk)
                sent += len(chunk)
        self._host.finish(att, completed=True)
        self._host.send_done(att, sent)

    def _send_head(
        self, att: attempts.Attempt, head: engine_mod.CallHead
    ) -> None:
        msg = messages.Head(
            req=att.key.req,
            attempt=att.key.attempt,
            status=head.status,
            headers=head.headers,
        )
        att.collected.set_head(msg)
        att.session.conn.send(msg)

    async def _wait_for_credit(self, att: attempts.Attempt, sent: int) -> None:
        while sent - att.taken > WINDOW_BYTES:
            att.credited.clear()
            try:
                async with asyncio.timeout(SLOW_READER_S):
                    await att.credited.wait()
            except TimeoutError:
                raise _SlowReader() from None

    def _record_success(self) -> None:
        self._ledger.breaker.record_success(
            took_s=0.0, predicted_s=1.0, now=self._loop.time()
        )


class _SlowReader(exceptions.EngineError):
    """The caller reads nothing of its answer."""

    def __init__(self) -> None:
        super().__init__("slow reader")


def failure_of(exc: exceptions.EngineError) -> types.Failure:
    """Return the failure that is reported for an endpoint's error."""
    if isinstance(exc, _SlowReader):
        return types.Failure.SLOW_READER
    if isinstance(exc, watchdog.Stalled):
        return types.Failure.ENGINE_STALLED
    if isinstance(exc, engine_mod.KvExpired):
        return types.Failure.KV_EXPIRED
    if isinstance(exc, engine_mod.TransferFailed):
        return types.Failure.TRANSFER
    return types.Failure.ENGINE
