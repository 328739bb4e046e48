"""Messages between control replicas and the other processes."""

from typing import Union

import msgspec

from rackpost.consensus import messages as consensus
from rackpost.state import commands
from rackpost.state import machine
from rackpost import types


class _Message(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The base of all messages of control."""


class Watch(_Message, frozen=True, tag="watch"):
    """Ask for all changes after `revision`, from a confirmed index on."""

    name: str
    revision: types.Revision


class Status(_Message, frozen=True, tag="status"):
    """A process lives, and runs on this revision."""

    name: str
    incarnation: types.Incarnation
    revision: types.Revision


class CommandRequest(_Message, frozen=True, tag="ask"):
    """Have a command appended; the answer carries the same `number`."""

    number: int
    command: commands.AnyCommand


class Feed(_Message, frozen=True, tag="feed"):
    """Changes in order; the first follows what the watcher has."""

    changes: tuple[machine.Change, ...]


class Whole(_Message, frozen=True, tag="whole"):
    """The state as a whole, for a watcher that is far behind."""

    image: machine.Image


class Alive(_Message, frozen=True, tag="alive"):
    """The replica is in touch with a quorum, at this revision."""

    revision: types.Revision


class Answer(_Message, frozen=True, tag="answer"):
    """The result of a command; None if it is not known and may be resent."""

    number: int
    result: commands.Result | None


class Forward(_Message, frozen=True, tag="forward"):
    """A follower hands a command to the leader."""

    number: int
    command: bytes


class Forwarded(_Message, frozen=True, tag="forwarded"):
    """The leader's answer; None if it could not have it committed."""

    number: int
    result: commands.Result | None


class ReadRequest(_Message, frozen=True, tag="read"):
    """A follower asks the leader for a confirmed index."""

    number: int


class ReadIndex(_Message, frozen=True, tag="read-at"):
    """The confirmed index, None if there is none at present."""

    number: int
    index: consensus.Index | None


class StatusReport(_Message, frozen=True, tag="heard"):
    """Which processes a replica has heard of since its last `StatusReport`."""

    seen: tuple[Status, ...]


class ReplicaHello(_Message, frozen=True, tag="replica"):
    """First message between two replicas."""

    replica: consensus.ReplicaId


FromClient = Union[Watch, Status, CommandRequest]
FromControl = Union[Feed, Whole, Alive, Answer]
FromReplica = Union[
    ReplicaHello,
    Forward,
    Forwarded,
    ReadRequest,
    ReadIndex,
    StatusReport,
    consensus.VoteRequest,
    consensus.VoteReply,
    consensus.Append,
    consensus.AppendReply,
    consensus.Install,
]
