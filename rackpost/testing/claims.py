"""Claims that are kept in this event loop, in the production claim table."""

import asyncio

from rackpost.entry import claims
from rackpost import exceptions
from rackpost.state import claims as table
from rackpost.state import commands
from rackpost import types

_KEEP_S = 600.0


class LocalClaims(claims.Claims):
    """A claim table behind a delay, in place of a control client."""

    def __init__(self, *, delay_s: float = 0.003) -> None:
        self.table = table.ClaimTable()
        self.unreachable = False
        self._delay_s = delay_s

    async def _round_trip(self) -> None:
        await asyncio.sleep(self._delay_s)
        if self.unreachable:
            raise exceptions.ControlError("control is away")

    async def claim(
        self, *, key: types.ClaimKey, holder: claims.Holder
    ) -> claims.ClaimReply:
        """Claim the key in the table."""
        await self._round_trip()
        command = commands.ClaimRequest(
            key=key,
            agent=holder.agent,
            incarnation=holder.incarnation,
            req=holder.req,
            attempt=holder.attempt,
        )
        now = asyncio.get_running_loop().time()
        state, held = self.table.claim(command, at=now, keep_s=_KEEP_S)
        found = None
        if held is not None:
            found = claims.Holder(
                held.agent, held.incarnation, held.req, held.attempt
            )
        return claims.ClaimReply(claims.ClaimState(state), found)

    async def settle(
        self,
        *,
        key: types.ClaimKey,
        holder: claims.Holder,
        state: claims.ClaimState | None,
    ) -> None:
        """Settle the claim in the table."""
        await self._round_trip()
        now = asyncio.get_running_loop().time()
        word = "sealed" if state is None else state.value
        item = commands.ClaimOutcome(
            key=key, req=holder.req, attempt=holder.attempt, state=word
        )
        self.table.settle(item, at=now, keep_s=_KEEP_S)
