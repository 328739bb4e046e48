"""The typed messages between entries and agents.

Durations are in seconds, relative to the moment the message is sent, so
that no two processes need to agree on the time.  Sizes are in bytes,
lengths of prompts and answers in tokens.
"""

from typing import Any
from typing import Union

import msgspec

from rackpost import types

# The slacks, in seconds, for which an agent tells its room.
SLACKS_S = (0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0)


class Message(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The base of every message."""


class Load(Message, frozen=True, tag="load", gc=False):
    """What an agent says of its endpoint's present load.

    Attributes:
        revision: settings revision the agent runs on.
        leaving: it takes nothing new, for good.
        avoided: its endpoint failed lately; it takes nothing for now.
        slots: decode slots of the endpoint.
        used: slots taken or promised.
        free_in_s: after how long the next slot can be promised.
        backlog_s: promised prefill work ahead of a new request.
        longest_job_s: for each slack in `SLACKS_S`, the longest prefill
            (or, of a decode endpoint, transfer) that could still be
            promised to end within it.
        link_backlog_s: promised transfers ahead of a new one.
        step_s: present time between tokens.
        prefill_tokens_s: tokens prefilled in a second.
        prefill_base_s: fixed cost of one prefill.
        link_bytes_s: transfer rate of the endpoint's link.
    """

    role: types.Role
    revision: types.Revision
    leaving: bool = False
    avoided: bool = False
    slots: int = 0
    used: int = 0
    free_in_s: float = 0.0
    backlog_s: float = 0.0
    link_backlog_s: float = 0.0
    step_s: float = 0.03
    prefill_tokens_s: float = 8000.0
    prefill_base_s: float = 0.01
    link_bytes_s: float = 1e9
    longest_job_s: tuple[float, ...] = ()


class Hello(Message, frozen=True, tag="hello"):
    """First message of a link, in each direction."""

    peer: str
    incarnation: types.Incarnation
    data_centre: types.DataCentre
    revision: types.Revision


class Reserve(Message, frozen=True, tag="reserve"):
    """Ask an agent to promise its part of one attempt.

    Attributes:
        part: the role in which the endpoint is asked.
        within_s: the prefill, or the transfer to a decode slot, must be
            done within this time, else it is of no use; a call must be
            able to start.
        ready_in_s: for decode, when the prefill is expected to be done.
        urgent_higher_density: load expected from requests of higher density
            that are also more urgent: of a prefill endpoint the share of
            its time, of a decode endpoint the requests per second.
        higher_density: the same for requests of higher density that are
            less urgent.
        kv_bytes: size of the KV cache that will be transferred.
    """

    req: types.RequestId
    attempt: types.Attempt
    part: types.Role
    service: types.ServiceName
    kind: types.KindName
    revision: types.Revision
    within_s: float
    ready_in_s: float = 0.0
    prompt_tokens: int = 0
    max_tokens: int = 0
    kv_bytes: int = 0
    blocks: tuple[types.BlockHash, ...] = ()
    urgent_higher_density: float = 0.0
    higher_density: float = 0.0
    priority: int = 0
    claim: types.ClaimKey | None = None


class Release(Message, frozen=True, tag="release"):
    """Give up an attempt; running work is aborted at the endpoint."""

    req: types.RequestId
    attempt: types.Attempt


class Seal(Message, frozen=True, tag="seal"):
    """Ask that the attempt be never handed to the endpoint from now on."""

    req: types.RequestId
    attempt: types.Attempt


class Fetch(Message, frozen=True, tag="fetch"):
    """Ask for the held answer of an attempt that was answered."""

    req: types.RequestId
    attempt: types.Attempt


class RunPrefill(Message, frozen=True, tag="prefill"):
    """Start a promised prefill."""

    req: types.RequestId
    attempt: types.Attempt
    body: bytes


class RunDecode(Message, frozen=True, tag="decode"):
    """Start a promised decode; `kv` comes from `PrefillDone`.

    `offset` is the number of tokens that the caller already holds.
    """

    req: types.RequestId
    attempt: types.Attempt
    body: bytes
    kv: dict[str, Any] | None = None
    offset: int = 0


class RunCall(Message, frozen=True, tag="call"):
    """Start a promised call of a plain service."""

    req: types.RequestId
    attempt: types.Attempt
    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Credit(Message, frozen=True, tag="credit"):
    """Tell how many bytes of the stream the caller has taken."""

    req: types.RequestId
    attempt: types.Attempt
    taken: int


class Granted(Message, frozen=True, tag="granted"):
    """The part is promised; it will be ready in `ready_in_s`."""

    req: types.RequestId
    attempt: types.Attempt
    part: types.Role
    ready_in_s: float
    reuse_blocks: int
    load: Load


class Refused(Message, frozen=True, tag="refused"):
    """The part is not promised."""

    req: types.RequestId
    attempt: types.Attempt
    part: types.Role
    reason: types.Refusal
    load: Load


class PrefillDone(Message, frozen=True, tag="prefilled"):
    """The KV cache is ready for export under `kv`."""

    req: types.RequestId
    attempt: types.Attempt
    kv: dict[str, Any]
    cached_tokens: int
    load: Load


class Tokens(Message, frozen=True, tag="tokens"):
    """Pieces of the answer; `offset` is the index of the first one."""

    req: types.RequestId
    attempt: types.Attempt
    offset: int
    pieces: tuple[str, ...]


class Done(Message, frozen=True, tag="done"):
    """The answer is whole after `tokens` pieces."""

    req: types.RequestId
    attempt: types.Attempt
    tokens: int
    finish_reason: str
    load: Load


class Failed(Message, frozen=True, tag="failed"):
    """The attempt broke off; `ran` tells if the endpoint had it."""

    req: types.RequestId
    attempt: types.Attempt
    part: types.Role
    reason: types.Failure
    ran: bool
    load: Load


class Head(Message, frozen=True, tag="head"):
    """Status and headers of a plain service's answer."""

    req: types.RequestId
    attempt: types.Attempt
    status: int
    headers: tuple[tuple[str, str], ...]


class Body(Message, frozen=True, tag="body"):
    """One part of the body of a plain service's answer."""

    req: types.RequestId
    attempt: types.Attempt
    offset: int
    data: bytes


class Sealed(Message, frozen=True, tag="sealed"):
    """Answer to `Seal`: what became of the attempt here before.

    `whole` says that its whole answer was sent to its entry.
    """

    req: types.RequestId
    attempt: types.Attempt
    running: bool
    ran: bool
    whole: bool


class StoredAnswer(Message, frozen=True, tag="held"):
    """Answer to `Fetch`: a whole answer, if it is still held."""

    req: types.RequestId
    attempt: types.Attempt
    found: bool
    pieces: tuple[str, ...] = ()
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class Summary(Message, frozen=True, tag="summary"):
    """An idle agent's load."""

    load: Load


FromEntry = Union[
    Hello,
    Reserve,
    Release,
    Seal,
    Fetch,
    RunPrefill,
    RunDecode,
    RunCall,
    Credit,
]
FromAgent = Union[
    Hello,
    Granted,
    Refused,
    PrefillDone,
    Tokens,
    Done,
    Failed,
    Head,
    Body,
    Sealed,
    StoredAnswer,
    Summary,
]
Answer = Union[
    Granted,
    Refused,
    PrefillDone,
    Tokens,
    Done,
    Failed,
    Head,
    Body,
    Sealed,
]
