"""Claims the keys of an entry's requests, and settles their claims."""

import asyncio
import enum
from typing import NamedTuple

from rackpost.entry import attempt as attempt_mod
from rackpost.entry import claims as claims_mod
from rackpost.entry import outcome
from rackpost.entry import pool as pool_mod
from rackpost.entry import request
from rackpost import exceptions
from rackpost.link import messages
from rackpost import types


class _HolderStatus(enum.Enum):
    """What is known of the attempt that holds a key."""

    FREE = "free"
    RUNNING = "running"
    UNKNOWN = "unknown"


_REFUSAL_BY_STATE = {
    claims_mod.ClaimState.RUNNING: types.Refusal.CLAIM_RUNNING,
    claims_mod.ClaimState.ANSWERED: types.Refusal.CLAIM_ANSWERED,
    claims_mod.ClaimState.UNKNOWN: types.Refusal.CLAIM_UNKNOWN,
}


class AlreadyAnswered(NamedTuple):
    """An earlier attempt answered the request with this key."""

    holder: claims_mod.Holder


class ClaimResolver:
    """Claims keys at control, and asks agents about other holders.

    An agent seals an attempt on request: if the attempt has not run by
    then, it never will.
    """

    def __init__(
        self, *, claims: claims_mod.Claims, pool: pool_mod.Pool
    ) -> None:
        self._claims = claims
        self._pool = pool
        self._loop = asyncio.get_running_loop()
        self._pending_fetches: dict[
            tuple[types.RequestId, types.Attempt],
            asyncio.Future[messages.StoredAnswer],
        ] = {}
        self._pending_seals: dict[
            tuple[types.RequestId, types.Attempt],
            asyncio.Future[messages.Sealed],
        ] = {}

    async def claim(
        self, req: request.Request, attempt: attempt_mod.Attempt
    ) -> claims_mod.Holder | AlreadyAnswered | types.Refusal:
        """Claim a request's key for a reserved attempt.

        Return the attempt as the new holder, or why it is not.
        """
        assert req.claim is not None
        peer = attempt.answering_peer()
        if peer is None:
            return types.Refusal.LINK_LOST
        claimant = claims_mod.Holder(
            peer.member.agent, peer.incarnation, req.req, attempt.number
        )
        try:
            reply = await self._claims.claim(key=req.claim, holder=claimant)
            if reply.state is claims_mod.ClaimState.RUNNING and reply.holder:
                reply = await self._resolve_holder(req, claimant, reply.holder)
        except exceptions.ControlError:
            return types.Refusal.CONTROL_AWAY
        if reply.state is claims_mod.ClaimState.ANSWERED and reply.holder:
            return AlreadyAnswered(reply.holder)
        return _REFUSAL_BY_STATE.get(reply.state, claimant)

    async def fetch_answer(
        self, answered: AlreadyAnswered
    ) -> list[request.Event]:
        """Fetch a stored answer from its agent; empty if not available."""
        holder = answered.holder
        peer = self._pool.peer(holder.agent)
        if peer is None or peer.incarnation != holder.incarnation:
            return []
        key = (holder.req, holder.attempt)
        fut: asyncio.Future[messages.StoredAnswer] = self._loop.create_future()
        self._pending_fetches[key] = fut
        peer.conn.send(messages.Fetch(req=key[0], attempt=key[1]))
        try:
            async with asyncio.timeout(attempt_mod.REPLY_TIMEOUT_S):
                return _events_of(await fut)
        except TimeoutError:
            return []
        finally:
            self._pending_fetches.pop(key, None)

    def handle_held(self, msg: messages.StoredAnswer) -> None:
        """Handle an agent's reply to a fetch."""
        fut = self._pending_fetches.get((msg.req, msg.attempt))
        if fut is not None and not fut.done():
            fut.set_result(msg)

    async def _resolve_holder(
        self,
        req: request.Request,
        claimant: claims_mod.Holder,
        holder: claims_mod.Holder,
    ) -> claims_mod.ClaimReply:
        """Settle the claim of a holder that has ended, and claim its key.

        While the holder may be running, the key is left to it.
        """
        assert req.claim is not None
        status = await self._holder_status(holder, req.terms.repeat)
        if status is _HolderStatus.RUNNING:
            return claims_mod.ClaimReply(claims_mod.ClaimState.RUNNING)
        state = None
        if status is _HolderStatus.UNKNOWN:
            state = claims_mod.ClaimState.UNKNOWN
        await self._claims.settle(key=req.claim, holder=holder, state=state)
        return await self._claims.claim(key=req.claim, holder=claimant)

    async def _holder_status(
        self, holder: claims_mod.Holder, repeat: types.RepeatClass
    ) -> _HolderStatus:
        """Have the holder's attempt sealed, and return its status.

        The key is free if the attempt never ran, or if it ended without
        its whole answer and the kind allows the entry to retry.
        """
        peer = self._pool.peer(holder.agent)
        if peer is None:
            # Without a link the attempt may still be running.
            return _HolderStatus.RUNNING
        if peer.incarnation != holder.incarnation:
            return _HolderStatus.UNKNOWN
        sealed = await self._seal(peer, holder)
        if sealed is None or sealed.running:
            return _HolderStatus.RUNNING
        may_retry = repeat is types.RepeatClass.SINGLE
        if not sealed.ran or (may_retry and not sealed.whole):
            return _HolderStatus.FREE
        return _HolderStatus.UNKNOWN

    async def _seal(
        self, peer: pool_mod.Peer, holder: claims_mod.Holder
    ) -> messages.Sealed | None:
        fut: asyncio.Future[messages.Sealed] = self._loop.create_future()
        key = (holder.req, holder.attempt)
        self._pending_seals[key] = fut
        peer.conn.send(messages.Seal(req=holder.req, attempt=holder.attempt))
        try:
            async with asyncio.timeout(attempt_mod.REPLY_TIMEOUT_S):
                return await fut
        except TimeoutError:
            return None
        finally:
            self._pending_seals.pop(key, None)

    def handle_sealed(self, msg: messages.Sealed) -> None:
        """Handle an agent's reply to a seal."""
        fut = self._pending_seals.get((msg.req, msg.attempt))
        if fut is not None and not fut.done():
            fut.set_result(msg)

    async def settle(
        self,
        req: request.Request,
        holder: claims_mod.Holder,
        result: outcome.Result,
    ) -> None:
        """Settle the claim of an attempt that ended."""
        assert req.claim is not None
        state: claims_mod.ClaimState | None = claims_mod.ClaimState.UNKNOWN
        if isinstance(result, outcome.CompletedAttempt):
            state = claims_mod.ClaimState.ANSWERED
        elif isinstance(result, outcome.FailedAttempt):
            # The key is freed if the attempt never ran, or if the kind
            # allows retries, as only this entry starts its next attempt.
            may_retry = req.terms.repeat is types.RepeatClass.SINGLE
            if not result.ran or may_retry:
                state = None
        await self._claims.settle(key=req.claim, holder=holder, state=state)


def _events_of(reply: messages.StoredAnswer) -> list[request.Event]:
    if not reply.found:
        return []
    end = request.End(outcome=types.Outcome.ANSWERED, tokens=len(reply.pieces))
    if reply.status:
        head = request.PlainHead(status=reply.status, headers=reply.headers)
        return [head, request.PlainChunk(data=reply.body), end]
    return [*(request.TextChunk(text=text) for text in reply.pieces), end]
