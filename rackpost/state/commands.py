"""The commands of the replicated log, and what they result in.

Times are seconds since the epoch by the clock of the leader that took
the command in; the state machine reads no clock.
"""

from typing import Union

import msgspec

from rackpost.state import schema
from rackpost import types


class Command(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The base of all commands."""


class Write(Command, frozen=True, tag="write"):
    """Change one node of the settings tree.

    `based_on` is the revision of the node that the operator had read, 0
    for a node that did not exist; `unset` names keys to inherit again.
    """

    op: types.OperationId
    who: str
    at: float
    path: str
    based_on: types.Revision
    values: dict[str, schema.Value]
    unset: tuple[str, ...] = ()


class Event(msgspec.Struct, frozen=True, kw_only=True):
    """A declared event, at a node of the tree.

    Attributes:
        path: the node whose callers it concerns, and all below it.
        start: seconds since the epoch.
        length_s: how long it is expected to last.
        rate: requests a second that are expected of `kinds`.
        values: settings that hold while it lasts.
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
    """A process of the site, as it has introduced itself."""

    name: str
    vm: types.VmId
    data_centre: types.DataCentre
    address: str
    incarnation: types.Incarnation
    service: types.ServiceName = types.ServiceName("")
    role: types.Role = types.Role.PLAIN


class Join(Command, frozen=True, tag="join"):
    """A process has come, or come back in a new incarnation."""

    member: MemberInfo


class Remove(Command, frozen=True, tag="remove"):
    """A process is gone; a newer incarnation of it is left alone."""

    name: str
    incarnation: types.Incarnation


class Order(Command, frozen=True, tag="order"):
    """Order an agent to do something with its endpoint."""

    op: types.OperationId
    who: str
    at: float
    agent: types.AgentId
    what: str


class ClaimOne(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Claim a key for an attempt at an agent."""

    key: types.ClaimKey
    agent: types.AgentId
    incarnation: types.Incarnation
    req: types.RequestId
    attempt: types.Attempt


class SettleOne(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Say how a claimed attempt ended: a `ClaimState` value."""

    key: types.ClaimKey
    req: types.RequestId
    attempt: types.Attempt
    state: str


class ClaimBatch(Command, frozen=True, tag="claims"):
    """Many claims and ends of claims in one append."""

    at: float
    keep_s: float
    claims: tuple[ClaimOne, ...] = ()
    settled: tuple[SettleOne, ...] = ()


class SetRouting(Command, frozen=True, tag="routing"):
    """Put a routing document in force, if its version is the highest.

    It has been checked; `source` is its text as the operator sent it.
    """

    version: int
    source: bytes


class TakeFence(Command, frozen=True, tag="take-fence"):
    """A leader takes the right to give endpoints orders."""

    holder: types.VmId


class Nothing(Command, frozen=True, tag="nothing"):
    """A new leader's first record."""


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
    """The change is made, as this revision; `fence` for an order."""

    revision: types.Revision
    fence: types.Fence = types.Fence(0)


class Conflict(msgspec.Struct, frozen=True, kw_only=True, tag="conflict"):
    """Another change came first; `theirs` tells which."""

    revision: types.Revision
    theirs: str


class Rejected(msgspec.Struct, frozen=True, kw_only=True, tag="rejected"):
    """The change is not valid."""

    why: str


class ClaimResults(msgspec.Struct, frozen=True, kw_only=True, tag="claimed"):
    """For each claim of a batch its state and who holds it."""

    states: tuple[str, ...]
    holders: tuple[ClaimOne | None, ...]


Result = Union[Accepted, Conflict, Rejected, ClaimResults]
