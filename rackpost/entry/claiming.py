"""The claims of an entry's requests: taken, settled, and sealed."""

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


class _Past(enum.Enum):
    """What became of an attempt that holds a key."""

    FREE = "free"
    RUNNING = "running"
    UNKNOWN = "unknown"


_REFUSALS = {
    claims_mod.ClaimState.RUNNING: types.Refusal.CLAIM_RUNNING,
    claims_mod.ClaimState.ANSWERED: types.Refusal.CLAIM_ANSWERED,
    claims_mod.ClaimState.UNKNOWN: types.Refusal.CLAIM_UNKNOWN,
}


class Answered(NamedTuple):
    """The key was answered by this attempt."""

    holder: claims_mod.Holder


class Claiming:
    """Claims keys at control, and asks agents about their holders."""

    def __init__(
        self, *, claims: claims_mod.Claims, pool: pool_mod.Pool
    ) -> None:
        self._claims = claims
        self._pool = pool
        self._loop = asyncio.get_running_loop()
        self._fetching: dict[
            tuple[types.RequestId, types.Attempt],
            asyncio.Future[messages.StoredAnswer],
        ] = {}
        self._sealing: dict[
            tuple[types.RequestId, types.Attempt],
            asyncio.Future[messages.Sealed],
        ] = {}

    async def claim(
        self, req: request.Request, att: attempt_mod.Attempt
    ) -> claims_mod.Holder | Answered | types.Refusal:
        """Claim a request's key for a reserved attempt, or say why not."""
        assert req.claim is not None
        peer = att.holder()
        if peer is None:
            return types.Refusal.LINK_LOST
        mine = claims_mod.Holder(
            peer.member.agent, peer.incarnation, req.req, att.number
        )
        try:
            reply = await self._claims.claim(key=req.claim, holder=mine)
            if reply.state is claims_mod.ClaimState.RUNNING and reply.holder:
                reply = await self._ask_holder(req, mine, reply.holder)
        except exceptions.ControlError:
            return types.Refusal.CONTROL_AWAY
        if reply.state is claims_mod.ClaimState.ANSWERED and reply.holder:
            return Answered(reply.holder)
        return _REFUSALS.get(reply.state, mine)

    async def held(self, answered: Answered) -> list[request.Event]:
        """What an answered attempt gave; nothing if it is not held."""
        holder = answered.holder
        peer = self._pool.peer(holder.agent)
        if peer is None or peer.incarnation != holder.incarnation:
            return []
        key = (holder.req, holder.attempt)
        fut: asyncio.Future[messages.StoredAnswer] = self._loop.create_future()
        self._fetching[key] = fut
        peer.conn.send(messages.Fetch(req=key[0], attempt=key[1]))
        try:
            async with asyncio.timeout(attempt_mod.REPLY_S):
                return _events_of(await fut)
        except TimeoutError:
            return []
        finally:
            self._fetching.pop(key, None)

    def on_held(self, msg: messages.StoredAnswer) -> None:
        """An agent answers a fetch."""
        fut = self._fetching.get((msg.req, msg.attempt))
        if fut is not None and not fut.done():
            fut.set_result(msg)

    async def _ask_holder(
        self,
        req: request.Request,
        mine: claims_mod.Holder,
        theirs: claims_mod.Holder,
    ) -> claims_mod.ClaimReply:
        """Free the key if its holder never ran, and claim it again."""
        assert req.claim is not None
        past = await self._past(theirs, req.terms.repeat)
        if past is _Past.RUNNING:
            return claims_mod.ClaimReply(claims_mod.ClaimState.RUNNING)
        state = None
        if past is _Past.UNKNOWN:
            state = claims_mod.ClaimState.UNKNOWN
        await self._claims.settle(key=req.claim, holder=theirs, state=state)
        return await self._claims.claim(key=req.claim, holder=mine)

    async def _past(
        self, holder: claims_mod.Holder, repeat: types.RepeatClass
    ) -> _Past:
        """Have an attempt sealed, and learn what became of it.

        Its key is free if it never ran; and for a kind that may be tried
        again inside, if it is over without its whole answer being sent.
        """
        peer = self._pool.peer(holder.agent)
        if peer is None:
            # Not linked at present: nothing is known, and it may run.
            return _Past.RUNNING
        if peer.incarnation != holder.incarnation:
            return _Past.UNKNOWN
        sealed = await self._seal(peer, holder)
        if sealed is None or sealed.running:
            return _Past.RUNNING
        single = repeat is types.RepeatClass.SINGLE
        if not sealed.ran or (single and not sealed.whole):
            return _Past.FREE
        return _Past.UNKNOWN

    async def _seal(
        self, peer: pool_mod.Peer, holder: claims_mod.Holder
    ) -> messages.Sealed | None:
        fut: asyncio.Future[messages.Sealed] = self._loop.create_future()
        key = (holder.req, holder.attempt)
        self._sealing[key] = fut
        peer.conn.send(messages.Seal(req=holder.req, attempt=holder.attempt))
        try:
            async with asyncio.timeout(attempt_mod.REPLY_S):
                return await fut
        except TimeoutError:
            return None
        finally:
            self._sealing.pop(key, None)

    def on_sealed(self, msg: messages.Sealed) -> None:
        """An agent answers a seal."""
        fut = self._sealing.get((msg.req, msg.attempt))
        if fut is not None and not fut.done():
            fut.set_result(msg)

    async def settle(
        self,
        req: request.Request,
        holder: claims_mod.Holder,
        result: outcome.Result,
    ) -> None:
        """Tell control how a claimed attempt ended."""
        assert req.claim is not None
        state: claims_mod.ClaimState | None = claims_mod.ClaimState.UNKNOWN
        if isinstance(result, outcome.Whole):
            state = claims_mod.ClaimState.ANSWERED
        elif isinstance(result, outcome.Broken):
            # Of what broke, only what an agent has sealed may run again
            # under this key; a kind that may repeat inside is freed too,
            # as this entry alone decides on its next attempt.
            single = req.terms.repeat is types.RepeatClass.SINGLE
            if not result.ran or single:
                state = None
        await self._claims.settle(key=req.claim, holder=holder, state=state)


def _events_of(held: messages.StoredAnswer) -> list[request.Event]:
    if not held.found:
        return []
    end = request.End(outcome=types.Outcome.ANSWERED, tokens=len(held.pieces))
    if held.status:
        head = request.PlainHead(status=held.status, headers=held.headers)
        return [head, request.PlainPart(data=held.body), end]
    return [*(request.Piece(text=text) for text in held.pieces), end]
