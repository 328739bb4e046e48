"""The table of claims: at most one run for each key.

free -> claimed -> answered | unknown, or claimed -> sealed -> free.
"""

from collections import OrderedDict
import enum

import msgspec

from rackpost.state import commands
from rackpost import types


class State(enum.Enum):
    """The state of a claim, or the reply to one that asks."""

    GRANTED = "granted"
    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    SEALED = "sealed"


class Claim(msgspec.Struct, kw_only=True):
    """A claimed key; `until` is when it may be forgotten."""

    holder: commands.ClaimOne
    state: str
    until: float


class ClaimTable:
    """All claims that are remembered, oldest first."""

    def __init__(self) -> None:
        self.claims: OrderedDict[types.ClaimKey, Claim] = OrderedDict()

    def claim(
        self, request: commands.ClaimOne, *, at: float, keep_s: float
    ) -> tuple[str, commands.ClaimOne | None]:
        """Claim a key; the state for the asker, and who holds it."""
        found = self.claims.get(request.key)
        if found is None:
            self.claims[request.key] = Claim(
                holder=request,
                state=State.RUNNING.value,
                until=at + keep_s,
            )
            return State.GRANTED.value, None
        if found.holder == request and found.state == State.RUNNING.value:
            # The same attempt asks again: its first reply was lost.
            return State.GRANTED.value, None
        return found.state, found.holder

    def settle(
        self, item: commands.SettleOne, *, at: float, keep_s: float
    ) -> None:
        """An attempt ended; only the holder's word counts.

        A sealed one never ran, so its key is free again.  What is
        answered, or unknown, stays so.
        """
        found = self.claims.get(item.key)
        if found is None or found.state != State.RUNNING.value:
            return
        holder = found.holder
        if (holder.req, holder.attempt) != (item.req, item.attempt):
            return
        if item.state == State.SEALED.value:
            del self.claims[item.key]
            return
        found.state = item.state
        found.until = at + keep_s
        self.claims.move_to_end(item.key)

    def trim(self, at: float) -> None:
        """Forget ended claims whose time is over.

        A running one is only forgotten when it is much older than any
        request may last, and then it counts as unknown first.
        """
        while self.claims:
            key, found = next(iter(self.claims.items()))
            if found.until > at:
                return
            if found.state != State.RUNNING.value:
                del self.claims[key]
                continue
            found.state = State.UNKNOWN.value
            found.until = at + 600.0
            self.claims.move_to_end(key)
