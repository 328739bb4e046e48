"""Messages between entries and agents.

Durations are in seconds from the moment the message is sent, so that
processes need no synchronised clocks.  Sizes are in bytes, lengths of
prompts and answers in tokens.
"""

from typing import Any
from typing import Union

import msgspec

from rackpost import types

# Slacks, in seconds, for which an agent reports its longest job.
SLACKS_S = (0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0)


class Message(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Base class of all messages."""


class Load(Message, frozen=True, tag="load", gc=False):
    """The current load of an agent's endpoint.

    Attributes:
        revision: settings revision that the agent uses.
        leaving: the agent permanently accepts no new requests.
        avoided: the endpoint failed recently; the agent temporarily accepts
            no requests.
        slots: decode slots of the endpoint.
        used: slots in use or reserved.
        free_in_s: time until the next slot can be reserved.
        backlog_s: reserved prefill work ahead of a new request.
        longest_job_s: for each slack in `SLACKS_S`, the longest prefill
            (for a decode endpoint, transfer) that could still be reserved
            to end within it.
        link_backlog_s: reserved transfers ahead of a new one.
        step_s: current time between tokens.
        prefill_tokens_s: tokens prefilled per second.
        prefill_base_s: fixed cost of one prefill.
        link_bytes_s: transfer rate of the endpoint's link.
        software: version of the endpoint's software; "" if it tells none.
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
    software: types.SoftwareVersion = types.SoftwareVersion("")


class Hello(Message, frozen=True, tag="hello"):
    """The first message on a link, in each direction."""

    peer: str
    incarnation: types.Incarnation
    data_centre: types.DataCentre
    revision: types.Revision


class Reserve(Message, frozen=True, tag="reserve"):
    """Request that an agent reserve capacity for one attempt.

    Attributes:
        part: the role in which the endpoint would serve the attempt.
        within_s: time limit for the end of a prefill, for the end of the
            transfer to a decode slot, or for the start of a call.
        ready_in_s: for decode, when the prefill is expected to end.
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
    """Release an attempt; running work is aborted at the endpoint."""

    req: types.RequestId
    attempt: types.Attempt


class Seal(Message, frozen=True, tag="seal"):
    """Request that the attempt never be sent to the endpoint from now on."""

    req: types.RequestId
    attempt: types.Attempt


class Fetch(Message, frozen=True, tag="fetch"):
    """Request the stored answer of a completed attempt."""

    req: types.RequestId
    attempt: types.Attempt


class RunPrefill(Message, frozen=True, tag="prefill"):
    """Start a reserved prefill."""

    req: types.RequestId
    attempt: types.Attempt
    body: bytes


class RunDecode(Message, frozen=True, tag="decode"):
    """Start a reserved decode; `kv` comes from `PrefillDone`.

    `offset` is the number of tokens that the caller has already received.
    """

    req: types.RequestId
    attempt: types.Attempt
    body: bytes
    kv: dict[str, Any] | None = None
    offset: int = 0


class RunCall(Message, frozen=True, tag="call"):
    """Start a reserved call of a plain service."""

    req: types.RequestId
    attempt: types.Attempt
    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Credit(Message, frozen=True, tag="credit"):
    """Report how many bytes of the stream the caller has consumed."""

    req: types.RequestId
    attempt: types.Attempt
    taken: int


class Granted(Message, frozen=True, tag="granted"):
    """The capacity is reserved, and available in `ready_in_s`."""

    req: types.RequestId
    attempt: types.Attempt
    part: types.Role
    ready_in_s: float
    reuse_blocks: int
    load: Load


class Refused(Message, frozen=True, tag="refused"):
    """The capacity is not reserved."""

    req: types.RequestId
    attempt: types.Attempt
    part: types.Role
    reason: types.Refusal
    load: Load


class PrefillDone(Message, frozen=True, tag="prefilled"):
    """The prefill is done; `kv` identifies the KV cache for its transfer."""

    req: types.RequestId
    attempt: types.Attempt
    kv: dict[str, Any]
    cached_tokens: int
    load: Load


class Tokens(Message, frozen=True, tag="tokens"):
    """Tokens of the answer; `offset` is the index of the first one."""

    req: types.RequestId
    attempt: types.Attempt
    offset: int
    pieces: tuple[str, ...]


class Done(Message, frozen=True, tag="done"):
    """The answer is complete and has `tokens` tokens."""

    req: types.RequestId
    attempt: types.Attempt
    tokens: int
    finish_reason: str
    load: Load


class Failed(Message, frozen=True, tag="failed"):
    """The attempt failed; `ran` is whether the endpoint received it."""

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
    """One chunk of the body of a plain service's answer."""

    req: types.RequestId
    attempt: types.Attempt
    offset: int
    data: bytes


class Sealed(Message, frozen=True, tag="sealed"):
    """Reply to `Seal`: the state of the attempt at this agent.

    `whole` is whether the complete answer was sent to the attempt's entry.
    """

    req: types.RequestId
    attempt: types.Attempt
    running: bool
    ran: bool
    whole: bool


class StoredAnswer(Message, frozen=True, tag="held"):
    """Reply to `Fetch`: the complete answer, if it is still stored."""

    req: types.RequestId
    attempt: types.Attempt
    found: bool
    pieces: tuple[str, ...] = ()
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class Summary(Message, frozen=True, tag="summary"):
    """The load of an idle agent."""

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
