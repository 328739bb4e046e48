"""Claims over the link to control, many in one command."""

import asyncio
import contextlib
from typing import Callable

from rackpost.control import client as client_mod
from rackpost.entry import claims
from rackpost import exceptions
from rackpost.state import commands
from rackpost import types

_MAX_BATCH = 256
_SETTLE_ATTEMPTS = 5
_RETRY_INTERVAL_S = 0.2


class _PendingClaim:
    """A claim that waits for the next batch."""

    def __init__(self, *, item: commands.ClaimOne) -> None:
        loop = asyncio.get_running_loop()
        self.item = item
        self.fut: asyncio.Future[claims.ClaimReply] = loop.create_future()


class ControlClaims(claims.Claims):
    """Collects claims while a batch is under way, then sends the next.

    `now` gives seconds since the epoch.
    """

    def __init__(
        self,
        *,
        client: client_mod.ControlClient,
        now: Callable[[], float],
    ) -> None:
        self._client = client
        self._now = now
        self._pending_claims: list[_PendingClaim] = []
        self._pending_settlements: list[commands.SettleOne] = []
        self._has_pending = asyncio.Event()

    async def claim(
        self, *, key: types.ClaimKey, holder: claims.Holder
    ) -> claims.ClaimReply:
        """Claim a key in the next batch."""
        item = commands.ClaimOne(
            key=key,
            agent=holder.agent,
            incarnation=holder.incarnation,
            req=holder.req,
            attempt=holder.attempt,
        )
        waiting = _PendingClaim(item=item)
        self._pending_claims.append(waiting)
        self._has_pending.set()
        return await waiting.fut

    async def settle(
        self,
        *,
        key: types.ClaimKey,
        holder: claims.Holder,
        state: claims.ClaimState | None,
    ) -> None:
        """Say in the next batch how an attempt ended."""
        word = "sealed" if state is None else state.value
        self._pending_settlements.append(
            commands.SettleOne(
                key=key, req=holder.req, attempt=holder.attempt, state=word
            )
        )
        self._has_pending.set()

    async def run(self) -> None:
        """Send batches until cancelled."""
        while True:
            await self._has_pending.wait()
            self._has_pending.clear()
            while self._pending_claims or self._pending_settlements:
                await self._send_batch()

    async def _send_batch(self) -> None:
        batch = self._pending_claims[:_MAX_BATCH]
        settled = self._pending_settlements[:_MAX_BATCH]
        del self._pending_claims[:_MAX_BATCH]
        del self._pending_settlements[:_MAX_BATCH]
        now = self._now()
        keep = self._client.in_force.tree.value(
            "", "", "", "claim_keep_s", now
        )
        cmd = commands.ClaimBatch(
            at=now,
            keep_s=float(keep),
            claims=tuple(item.item for item in batch),
            settled=tuple(settled),
        )
        try:
            result = await self._submit(cmd, retry=not batch)
        except exceptions.ControlError as exc:
            for item in batch:
                if not item.fut.done():
                    item.fut.set_exception(exc)
            # How an attempt ended must not be lost: it goes again.
            self._pending_settlements = settled + self._pending_settlements
            await asyncio.sleep(_RETRY_INTERVAL_S)
            return
        assert isinstance(result, commands.ClaimResults)
        for item, state, held in zip(batch, result.states, result.holders):
            if not item.fut.done():
                item.fut.set_result(_reply(state, held))

    async def _submit(
        self, cmd: commands.ClaimBatch, *, retry: bool
    ) -> commands.Result:
        for _ in range(_SETTLE_ATTEMPTS if retry else 1):
            with contextlib.suppress(exceptions.ControlError):
                return await self._client.ask(cmd)
            await asyncio.sleep(_RETRY_INTERVAL_S)
        # The same batch again gives the same holder the same grant.
        return await self._client.ask(cmd)


def _reply(state: str, held: commands.ClaimOne | None) -> claims.ClaimReply:
    holder = None
    if held is not None:
        holder = claims.Holder(
            held.agent, held.incarnation, held.req, held.attempt
        )
    return claims.ClaimReply(claims.ClaimState(state), holder)
