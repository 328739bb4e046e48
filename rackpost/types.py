"""The ids, states and reasons that every part of rackpost shares."""

import enum
from typing import NewType

RequestId = NewType("RequestId", str)
Attempt = NewType("Attempt", int)
AgentId = NewType("AgentId", str)
EntryId = NewType("EntryId", str)
EndpointId = NewType("EndpointId", str)
VmId = NewType("VmId", str)
DataCentre = NewType("DataCentre", str)
CallerId = NewType("CallerId", str)
OrganisationName = NewType("OrganisationName", str)
# What a caller's key is known by; the key itself stays in the adapter.
KeyDigest = NewType("KeyDigest", bytes)
# What a request is known by under whatever id it comes.
Fingerprint = NewType("Fingerprint", bytes)
ServiceName = NewType("ServiceName", str)
KindName = NewType("KindName", str)
Revision = NewType("Revision", int)
Fence = NewType("Fence", int)
Incarnation = NewType("Incarnation", int)
OperationId = NewType("OperationId", str)
ClaimKey = NewType("ClaimKey", str)
BlockHash = NewType("BlockHash", int)


class Role(enum.Enum):
    """What an endpoint is used for."""

    PREFILL = "prefill"
    DECODE = "decode"
    PLAIN = "plain"


class Outcome(enum.Enum):
    """What a caller is told about its request."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RepeatClass(enum.Enum):
    """How often a request of a kind may run."""

    FREE = "free"
    SINGLE = "single"
    ONCE = "once"


class Refusal(enum.Enum):
    """Why a request, or a reservation, was refused.

    Used as a sentinel with a reason where a decision has no result.
    """

    NO_ENDPOINT = "no-endpoint"
    LATE_FIRST_TOKEN = "late-first-token"
    SLOW_TOKENS = "slow-tokens"
    SLOTS_KEPT = "slots-kept"
    SLOTS_FULL = "slots-full"
    QUEUE_KEPT = "queue-kept"
    QUEUE_FULL = "queue-full"
    MEMORY_FULL = "memory-full"
    LINK_FULL = "link-full"
    LEAVING = "leaving"
    ENDPOINT_AVOIDED = "endpoint-avoided"
    WRONG_ROLE = "wrong-role"
    CALLER_OPEN_LIMIT = "caller-open-limit"
    ENTRY_STOPPING = "entry-stopping"
    ENTRY_FULL = "entry-full"
    ENDS_ENGINES = "ends-engines"
    RETRY_BUDGET = "retry-budget"
    DEADLINE = "deadline"
    NO_REPLY = "no-reply"
    CLAIM_RUNNING = "claim-running"
    CLAIM_ANSWERED = "claim-answered"
    CLAIM_UNKNOWN = "claim-unknown"
    CONTROL_AWAY = "control-away"
    LINK_LOST = "link-lost"
    NOT_OF_THE_SITE = "not-of-the-site"


class Failure(enum.Enum):
    """Why an attempt that had been accepted broke off."""

    AGENT = "agent"
    ENGINE = "engine"
    ENGINE_STALLED = "engine-stalled"
    KV_EXPIRED = "kv-expired"
    TRANSFER = "transfer"
    LINK_LOST = "link-lost"
    SLOW_READER = "slow-reader"
    LEASE_EXPIRED = "lease-expired"
    DEADLINE = "deadline"


class Drop(enum.Enum):
    """Why a frame was dropped."""

    OLD_ATTEMPT = "old-attempt"
    UNKNOWN_REQUEST = "unknown-request"
    DOUBLE = "double"
    GAP = "gap"
    BAD_FRAME = "bad-frame"
