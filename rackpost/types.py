"""Ids, states and reasons that all components share."""

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
# Identifies a caller's key without containing it.
KeyDigest = NewType("KeyDigest", bytes)
# Identifies a request by its content, whatever its id, or a part of prompts.
Fingerprint = NewType("Fingerprint", bytes)
# Identifies a stream by the request that began it.
StreamKey = NewType("StreamKey", bytes)
ServiceName = NewType("ServiceName", str)
# Version of the software of an endpoint.
SoftwareVersion = NewType("SoftwareVersion", str)
KindName = NewType("KindName", str)
Revision = NewType("Revision", int)
Fence = NewType("Fence", int)
Incarnation = NewType("Incarnation", int)
OperationId = NewType("OperationId", str)
ClaimKey = NewType("ClaimKey", str)
BlockHash = NewType("BlockHash", int)


class Role(enum.Enum):
    """The work that an endpoint does."""

    PREFILL = "prefill"
    DECODE = "decode"
    PLAIN = "plain"


class Outcome(enum.Enum):
    """The outcome of a request, as reported to its caller."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RepeatClass(enum.Enum):
    """How often a request of a kind may run."""

    FREE = "free"
    SINGLE = "single"
    ONCE = "once"


class Refusal(enum.Enum):
    """Why a request or a reservation was refused.

    Decisions return it in place of a result.
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
    """Why an accepted attempt failed."""

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
