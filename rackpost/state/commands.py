"""The commands of the replicated log and their results.

Times are seconds since the epoch by the clock of the leader that accepted
the command; the state machine reads no clock.
"""

from typing import Union

import msgspec

from rackpost.state import schema
from rackpost import types


class Command(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The base of all commands."""


class Write(Command, frozen=True, tag="write"):
    """Change one node of the settings tree.

    `based_on` is the revision of the node that the operator had read, or 0
    for a new node; `unset` names keys to inherit again.
    """

    op: types.OperationId
    who: str
    at: float
    path: str
    based_on: types.Revision
    values: dict[str, schema.Value]
    unset: tuple[str, ...] = ()


class Event(msgspec.Struct, frozen=True, kw_only=True):
    """An event that an operator expects, at a node of the settings tree.

    Attributes:
        path: the node whose callers, and those below it, are affected.
        start: seconds since the epoch.
        length_s: expected length.
        rate: expected requests a second of `kinds`.
        values: settings in force during the event.
    """

    name: str
    path: str
    start: float
    length_s: float
    services: tuple[types.ServiceName, ...]
    kinds: tuple[types.KindName, ...]
    rate: float
    values: dict[str, schema.Value] = {}


class Declare(Command, frozen=True, tag="declare"):
    """Declare or change an event; `based_on` as in `Write`."""

    op: types.OperationId
    who: str
    at: float
    based_on: types.Revision
    event: Event


class Withdraw(Command, frozen=True, tag="withdraw"):
    """Withdraw a declared event."""

    op: types.OperationId
    who: str
    at: float
    based_on: types.Revision
    name: str


class MemberInfo(msgspec.Struct, frozen=True, kw_only=True):
    """A process of the site, as it describes itself."""

    name: str
    vm: types.VmId
    data_centre: types.DataCentre
    address: str
    incarnation: types.Incarnation
    service: types.ServiceName = types.ServiceName("")
    role: types.Role = types.Role.PLAIN


class Join(Command, frozen=True, tag="join"):
    """Add a process, or a new incarnation of it, to the members."""

    member: MemberInfo


class Remove(Command, frozen=True, tag="remove"):
    """Remove a process, unless a newer incarnation of it has joined."""

    name: str
    incarnation: types.Incarnation


class Order(Command, frozen=True, tag="order"):
    """Give an agent an order for its endpoint."""

    op: types.OperationId
    who: str
    at: float
    agent: types.AgentId
    what: str


class ClaimRequest(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Claim a key for an attempt at an agent."""

    key: types.ClaimKey
    agent: types.AgentId
    incarnation: types.Incarnation
    req: types.RequestId
    attempt: types.Attempt


class ClaimOutcome(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Report how a claimed attempt ended, as a `ClaimState` value."""

    key: types.ClaimKey
    req: types.RequestId
    attempt: types.Attempt
    state: str


class ClaimBatch(Command, frozen=True, tag="claims"):
    """A batch of claims and ends of claims."""

    at: float
    keep_s: float
    claims: tuple[ClaimRequest, ...] = ()
    settled: tuple[ClaimOutcome, ...] = ()


class SetRouting(Command, frozen=True, tag="routing"):
    """Put a valid routing document in force if its version is the highest.

    `source` is its text as the operator sent it.
    """

    version: int
    source: bytes


class TakeFence(Command, frozen=True, tag="take-fence"):
    """Give `holder` a new fence for orders, which invalidates older ones."""

    holder: types.VmId


class Nothing(Command, frozen=True, tag="nothing"):
    """The first record of a new leader; changes nothing."""


AnyCommand = Union[
    Write,
    Declare,
    Withdraw,
    Join,
    Remove,
    Order,
    ClaimBatch,
    SetRouting,
    TakeFence,
    Nothing,
]


class Accepted(msgspec.Struct, frozen=True, kw_only=True, tag="accepted"):
    """The change is accepted as `revision`, with the `fence` of an order."""

    revision: types.Revision
    fence: types.Fence = types.Fence(0)


class Conflict(msgspec.Struct, frozen=True, kw_only=True, tag="conflict"):
    """Another change, described by `theirs`, was committed first."""

    revision: types.Revision
    theirs: str


class Rejected(msgspec.Struct, frozen=True, kw_only=True, tag="rejected"):
    """The change is not valid, for the reason `why`."""

    why: str


class ClaimResults(msgspec.Struct, frozen=True, kw_only=True, tag="claimed"):
    """The state and the holder of each claim of a batch."""

    states: tuple[str, ...]
    holders: tuple[ClaimRequest | None, ...]


Result = Union[Accepted, Conflict, Rejected, ClaimResults]
