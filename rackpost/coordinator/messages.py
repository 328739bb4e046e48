"""Messages between coordinators and gateways, and among coordinators."""

from typing import Union

import msgspec

from rackpost.consensus import messages as consensus
from rackpost.control import messages as control
from rackpost.decide import endpoint_load
from rackpost.decide import endpoint_rates
from rackpost.decide import load_deltas
from rackpost.decide.pace import endpoint_pace
from rackpost.decide import quarantine
from rackpost.decide import queue_order as queue_order_mod
from rackpost.decide import quota
from rackpost.decide import quota_use
from rackpost.decide import rate_grants
from rackpost.decide import role_balance
from rackpost.decide import stream_origins
from rackpost.decide.waiting import backfill
from rackpost.decide.waiting import contender
from rackpost.decide.waiting import waiting_use
from rackpost.routing import endpoints
from rackpost.scheduler import messages as scheduler
from rackpost import types


class _Message(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The base of all messages of coordinators."""


class GatewayHello(_Message, frozen=True, tag="gateway"):
    """First message of a gateway on a link.

    `load_address` is the host:port at which it receives `GatewayLoad`.
    """

    vm: types.VmId
    load_address: str


class FetchRouting(_Message, frozen=True, tag="fetch"):
    """Request for a chunk of the change to the newest routing document.

    Attributes:
        held_version: version that the gateway holds; `changes.NO_BASE`
            requests the whole document.
        digest: digest of the transfer to continue; 0 starts a new one.
        offset: bytes of that transfer that were received.
    """

    held_version: int
    digest: int = 0
    offset: int = 0


class RoutingVersion(_Message, frozen=True, tag="at"):
    """Announces the version of the routing document that a replica holds.

    Without `has_document` it holds none, and `version` has no meaning.
    """

    version: int
    has_document: bool = True


class RoutingChunk(_Message, frozen=True, tag="part"):
    """A chunk of an encoded change from version `base` to `version`.

    `size` is the length of the whole change in bytes, `digest` its CRC-32.
    """

    base: int
    version: int
    digest: int
    offset: int
    size: int
    data: bytes


class EndpointUpdate(_Message, frozen=True, tag="endpoints"):
    """State of changed endpoints, and incarnations that have ended."""

    alive: tuple[endpoints.Endpoint, ...] = ()
    ended: tuple[endpoints.Incarnation, ...] = ()


class HeartbeatNotice(_Message, frozen=True, tag="heard-endpoints"):
    """Endpoints whose heartbeats were received since the last notice.

    Coordinators send those that they received themselves; gateways answer a
    `SilenceQuery` with those that any coordinator reported lately.
    `digests` is packed as in `routing/digests.py`.
    """

    digests: bytes


class SilenceQuery(_Message, frozen=True, tag="silent-endpoints"):
    """Asks a gateway about endpoints that are silent at a coordinator.

    A gateway may be linked to coordinators that can't reach each other.
    """

    ids: tuple[types.EndpointId, ...]


class ChangingEndpoints(_Message, frozen=True, tag="changing"):
    """Endpoints that are changing their role and accept no requests."""

    ids: tuple[types.EndpointId, ...]


class Demands(_Message, frozen=True, tag="demands"):
    """Demand for the model services at one gateway.

    `quotas` is the organisations' quota use there, and `waiting` are the
    generations that wait for capacity; both are shown to operators.
    """

    items: tuple[role_balance.Demand, ...]
    quotas: tuple[quota_use.QuotaUse, ...] = ()
    waiting: tuple[waiting_use.WaitingGroup, ...] = ()


class Suspicions(_Message, frozen=True, tag="suspicions"):
    """Evidence against requests under which endpoints ended.

    A gateway sends what it observed; a coordinator sends all evidence on
    requests that are or were quarantined.
    """

    items: tuple[quarantine.Suspicion, ...]


class OriginNotice(_Message, frozen=True, tag="origins"):
    """Origins of streams, from the gateway where they began."""

    items: tuple[stream_origins.OriginRecord, ...]


class OriginQuery(_Message, frozen=True, tag="find-origin"):
    """Asks for the origin of a stream that a client resumes."""

    stream: types.StreamKey


class OriginAnswer(_Message, frozen=True, tag="origin"):
    """The origin of a stream; `item` is None where it is not known.

    A gateway sends no answer where it does not know the stream.
    """

    stream: types.StreamKey
    item: stream_origins.OriginRecord | None = None


class GatewayAddress(_Message, frozen=True):
    """The host:port at which a gateway receives `GatewayLoad`."""

    vm: types.VmId
    load_address: str


class Peers(_Message, frozen=True, tag="peers"):
    """Hosts of the coordinators, and the linked gateways."""

    coordinators: tuple[str, ...]
    gateways: tuple[GatewayAddress, ...]


class Join(_Message, frozen=True, tag="join-site"):
    """Request to join, from a replica without contact with a leader."""

    replica: consensus.ReplicaId


class Leave(_Message, frozen=True, tag="leave-site"):
    """Announces that a replica stops, so that another one votes instead."""

    replica: consensus.ReplicaId


class GatewayLoad(_Message, frozen=True, tag="loads"):
    """What one gateway has in flight, sent to the other gateways.

    Attributes:
        load_address: where the sender receives such messages, as host:port.
        incarnation: incarnation of the sender.
        sequence: grows within one incarnation.
        loads: the sender's load on each endpoint.
        failed: endpoints that have just failed.
        rejecting: endpoints that have just rejected a request.
        waiting: waiting generations that have precedence.
        claims: endpoints that are reserved for large generations.
        refused_keys: keys of requests that were refused.
        quotas: what organisations have spent at the sender.
        backoffs: remaining back-off of endpoints, in seconds.
        named_rates: rates that endpoints named in their answers.
        contention: arrivals, use and waiting generations of services with a
            contention order.
        paces: endpoints that are slower or faster than their pool.
    """

    vm: types.VmId
    load_address: str
    incarnation: int
    sequence: int
    loads: dict[types.EndpointId, endpoint_load.EndpointLoad]
    failed: tuple[types.EndpointId, ...] = ()
    rejecting: tuple[types.EndpointId, ...] = ()
    waiting: tuple[queue_order_mod.WaitingSummary, ...] = ()
    refused_keys: tuple[int, ...] = ()
    quotas: quota.QuotaReport = quota.QuotaReport()
    backoffs: dict[types.EndpointId, float] = {}
    named_rates: tuple[endpoint_rates.RateUpdate, ...] = ()
    contention: dict[types.ServiceName, contender.ContentionReport] = {}
    claims: tuple[backfill.Claim, ...] = ()
    paces: tuple[endpoint_pace.PaceReport, ...] = ()


class LoadDelta(_Message, frozen=True, tag="load-changes"):
    """What has changed in a gateway's load since its last reports.

    `loads` has the endpoints whose load has changed, all other attributes
    are as in `GatewayLoad`, which is sent each second.  Endpoints are named
    by packed digests, see `routing/digests.py`, times are in milliseconds.

    Attributes:
        waiting: for each waiting generation its priority, its slack and the
            time in which it has to start.
        contention: only services whose report has changed.
        backoffs: empty if the same endpoints have a back-off as before.
    """

    incarnation: int
    sequence: int
    loads: tuple[load_deltas.EndpointChange, ...] = ()
    failed: bytes = b""
    rejecting: bytes = b""
    waiting: tuple[int, ...] = ()
    refused_keys: tuple[int, ...] = ()
    quotas: quota.QuotaReport = quota.QuotaReport()
    backoffs: dict[types.EndpointId, float] = {}
    named_rates: tuple[endpoint_rates.RateUpdate, ...] = ()
    contention: dict[types.ServiceName, contender.ContentionReport] = {}
    claims: tuple[backfill.Claim, ...] = ()


class GrantRequest(_Message, frozen=True, tag="ask-grant"):
    """Asks the owner of an endpoint's rate for a grant to send one request.

    `number` identifies the exchange at the sender; `rate` is the endpoint's
    rate as the sender knows it.
    """

    number: int
    applicant: rate_grants.GrantApplicant
    rate: endpoint_rates.RateUpdate


class GrantAnswer(_Message, frozen=True, tag="grant"):
    """The owner's answer; `rate` is the rate as the owner knows it."""

    number: int
    decision: rate_grants.GrantDecision
    rate: endpoint_rates.RateUpdate


class ReturnGrant(_Message, frozen=True, tag="give-back"):
    """Returns a grant whose request was not sent."""

    endpoint: types.EndpointId
    born: int


AboutOrigins = OriginNotice | OriginQuery | OriginAnswer

BetweenGateways = Union[
    GatewayLoad,
    LoadDelta,
    GrantRequest,
    GrantAnswer,
    ReturnGrant,
    AboutOrigins,
]

FromGateway = Union[
    GatewayHello,
    FetchRouting,
    Demands,
    EndpointUpdate,
    HeartbeatNotice,
    Suspicions,
    OriginNotice,
    OriginQuery,
    scheduler.ToScheduler,
]
ToGateway = Union[
    RoutingVersion,
    RoutingChunk,
    EndpointUpdate,
    HeartbeatNotice,
    SilenceQuery,
    ChangingEndpoints,
    Peers,
    Suspicions,
    OriginAnswer,
    scheduler.FromScheduler,
]
FromReplica = Union[
    control.FromReplica,
    Join,
    Leave,
    EndpointUpdate,
    HeartbeatNotice,
    Suspicions,
]
FromAny = Union[FromGateway, FromReplica]
