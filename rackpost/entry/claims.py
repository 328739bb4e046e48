"""Claims of requests that may not be answered twice."""

import abc
import enum
from typing import NamedTuple

from rackpost import types


class ClaimState(enum.Enum):
    """What control knows of a claim key."""

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
    """The state of a claim; `holder` is who has it, if not the asker."""

    state: ClaimState
    holder: Holder | None = None


class Claims(abc.ABC):
    """The claims as control keeps them.

    Both methods raise ControlError where control does not answer in time.
    """

    @abc.abstractmethod
    async def claim(
        self, *, key: types.ClaimKey, holder: Holder
    ) -> ClaimReply:
        """Claim the key before any endpoint sees the request."""

    @abc.abstractmethod
    async def settle(
        self,
        *,
        key: types.ClaimKey,
        holder: Holder,
        state: ClaimState | None,
    ) -> None:
        """Say how it ended; None means that it never ran (sealed)."""
