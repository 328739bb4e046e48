"""Claims on idempotency keys, so that a request runs at most once."""

import abc
import enum
from typing import NamedTuple

from rackpost import types


class ClaimState(enum.Enum):
    """The state of a claim key at control."""

    GRANTED = "granted"
    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class Holder(NamedTuple):
    """The attempt that holds a claim."""

    agent: types.AgentId
    incarnation: types.Incarnation
    req: types.RequestId
    attempt: types.Attempt


class ClaimReply(NamedTuple):
    """The state of a claim key; `holder` is another attempt that has it."""

    state: ClaimState
    holder: Holder | None = None


class Claims(abc.ABC):
    """Claims that are stored at control.

    Both methods raise ControlError if control does not answer in time.
    """

    @abc.abstractmethod
    async def claim(
        self, *, key: types.ClaimKey, holder: Holder
    ) -> ClaimReply:
        """Claim a key; called before an endpoint receives the request."""

    @abc.abstractmethod
    async def settle(
        self,
        *,
        key: types.ClaimKey,
        holder: Holder,
        state: ClaimState | None,
    ) -> None:
        """Store how the holder ended; None if it can never run (sealed)."""
