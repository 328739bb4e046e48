"""Claims over the link to control, batched into commands."""

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
    """A claim that is not yet answered."""

    def __init__(self, *, item: commands.ClaimRequest) -> None:
        loop = asyncio.get_running_loop()
        self.item = item
        self.fut: asyncio.Future[claims.ClaimReply] = loop.create_future()


class ControlClaims(claims.Claims):
    """Collects claims while a batch is in flight, then sends the next.

    `now` returns seconds since the epoch.
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
        self._pending_settlements: list[commands.ClaimOutcome] = []
        self._has_pending = asyncio.Event()

    async def claim(
        self, *, key: types.ClaimKey, holder: claims.Holder
    ) -> claims.ClaimReply:
        """Claim a key with the next batch."""
        item = commands.ClaimRequest(
            key=key,
            agent=holder.agent,
            incarnation=holder.incarnation,
            req=holder.req,
            attempt=holder.attempt,
        )
        pending = _PendingClaim(item=item)
        self._pending_claims.append(pending)
        self._has_pending.set()
        return await pending.fut

    async def settle(
        self,
        *,
        key: types.ClaimKey,
        holder: claims.Holder,
        state: claims.ClaimState | None,
    ) -> None:
        """Report with the next batch how an attempt ended."""
        state_name = "sealed" if state is None else state.value
        self._pending_settlements.append(
            commands.ClaimOutcome(
                key=key,
                req=holder.req,
                attempt=holder.attempt,
                state=state_name,
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
        keep_s = self._client.in_force.tree.value(
            "", "", "", "claim_keep_s", now
        )
        cmd = commands.ClaimBatch(
            at=now,
            keep_s=float(keep_s),
            claims=tuple(item.item for item in batch),
            settled=tuple(settled),
        )
        try:
            result = await self._submit(cmd, retry=not batch)
        except exceptions.ControlError as exc:
            for item in batch:
                if not item.fut.done():
                    item.fut.set_exception(exc)
            # Settlements must not be lost: the next batch has them.
            self._pending_settlements = settled + self._pending_settlements
            await asyncio.sleep(_RETRY_INTERVAL_S)
            return
        assert isinstance(result, commands.ClaimResults)
        for item, state, holder_claim in zip(
            batch, result.states, result.holders
        ):
            if not item.fut.done():
                item.fut.set_result(_reply(state, holder_claim))

    async def _submit(
        self, cmd: commands.ClaimBatch, *, retry: bool
    ) -> commands.Result:
        for _ in range(_SETTLE_ATTEMPTS if retry else 1):
            with contextlib.suppress(exceptions.ControlError):
                return await self._client.commit(cmd)
            await asyncio.sleep(_RETRY_INTERVAL_S)
        # A batch may be sent twice: the same holder gets the same grant.
        return await self._client.commit(cmd)


def _reply(
    state: str, holder_claim: commands.ClaimRequest | None
) -> claims.ClaimReply:
    holder = None
    if holder_claim is not None:
        holder = claims.Holder(
            holder_claim.agent,
            holder_claim.incarnation,
            holder_claim.req,
            holder_claim.attempt,
        )
    return claims.ClaimReply(claims.ClaimState(state), holder)
