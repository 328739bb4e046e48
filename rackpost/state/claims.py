"""The table of claims, which allows at most one run for each key.

A key goes free -> claimed -> answered | unknown, or claimed -> sealed -> free.
"""

from collections import OrderedDict
import enum

import msgspec

from rackpost.state import commands
from rackpost import types


class State(enum.Enum):
    """The state of a claim, or the reply to a request for one."""

    GRANTED = "granted"
    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    SEALED = "sealed"


class Claim(msgspec.Struct, kw_only=True):
    """A claimed key; `until` is when it may be removed."""

    holder: commands.ClaimRequest
    state: str
    until: float


class ClaimTable:
    """All kept claims, ordered by `until`."""

    def __init__(self) -> None:
        self.claims: OrderedDict[types.ClaimKey, Claim] = OrderedDict()

    def claim(
        self, request: commands.ClaimRequest, *, at: float, keep_s: float
    ) -> tuple[str, commands.ClaimRequest | None]:
        """Claim a key; return its state for the requester, and its holder."""
        found = self.claims.get(request.key)
        if found is None:
            self.claims[request.key] = Claim(
                holder=request,
                state=State.RUNNING.value,
                until=at + keep_s,
            )
            return State.GRANTED.value, None
        if found.holder == request and found.state == State.RUNNING.value:
            # The same attempt retries: its first reply was lost.
            return State.GRANTED.value, None
        return found.state, found.holder

    def settle(
        self, item: commands.ClaimOutcome, *, at: float, keep_s: float
    ) -> None:
        """Record how an attempt ended, if it holds a running claim.

        A sealed attempt never ran, so its key becomes free.  An answered or
        unknown claim does not change.
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
        """Remove ended claims that have expired at `at`.

        An expired running claim, older than any request may last, first
        becomes unknown for ten more minutes.
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
