"""Messages between coordinators and gateways, and among coordinators."""

from typing import Union

import msgspec

from rackpost.consensus import messages as consensus
from rackpost.control import messages as control
from rackpost.decide import endpoint_load
from rackpost.decide import endpoint_rates
from rackpost.decide import quarantine
from rackpost.decide import queue_order as queue_order_mod
from rackpost.decide import quota
from rackpost.decide import quota_use
from rackpost.decide import rate_grants
from rackpost.decide import role_balance
from rackpost.routing import endpoints
from rackpost import types


class _Message(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The base of all messages of coordinators."""


class GatewayHello(_Message, frozen=True, tag="gateway"):
    """First message of a gateway, with its address for `GatewayLoad`."""

    vm: types.VmId
    load_address: str


class FetchRouting(_Message, frozen=True, tag="fetch"):
    """Ask for a part of what leads to the newest routing document.

    `held_version` is the version that the gateway has, 0 if none.  In a
    transfer `digest` says of what, and `offset` how many bytes have come.
    """

    held_version: int
    digest: int = 0
    offset: int = 0


class RoutingVersion(_Message, frozen=True, tag="at"):
    """The version of the routing document that this replica holds."""

    version: int


class RoutingChunk(_Message, frozen=True, tag="part"):
    """Bytes of an encoded change from `base` to `version`.

    `size` is how many there are in all, `digest` their CRC-32.
    """

    base: int
    version: int
    digest: int
    offset: int
    size: int
    data: bytes


class EndpointUpdate(_Message, frozen=True, tag="endpoints"):
    """News of endpoints, and lives of endpoints that have ended."""

    alive: tuple[endpoints.Endpoint, ...] = ()
    ended: tuple[endpoints.Incarnation, ...] = ()


class HeartbeatNotice(_Message, frozen=True, tag="heard-endpoints"):
    """Endpoints whose heartbeats came here since the last `HeartbeatNotice`.

    Of a gateway: those of which some coordinator has told it lately.  They
    are told by the digests of their ids (`routing/digests.py`).
    """

    digests: bytes


class SilenceQuery(_Message, frozen=True, tag="silent-endpoints"):
    """Endpoints that a coordinator hears nothing of: has a gateway?

    A gateway may reach coordinators that do not reach each other.
    """

    ids: tuple[types.EndpointId, ...]


class ChangingEndpoints(_Message, frozen=True, tag="changing"):
    """Endpoints that change their role and take nothing meanwhile."""

    ids: tuple[types.EndpointId, ...]


class Demands(_Message, frozen=True, tag="demands"):
    """What a gateway's clients ask of the model services.

    `quotas` is what organisations have used of theirs there, for operators.
    """

    items: tuple[role_balance.Demand, ...]
    quotas: tuple[quota_use.QuotaUse, ...] = ()


class Suspicions(_Message, frozen=True, tag="suspicions"):
    """What counts against requests under which endpoints ended.

    A gateway tells what it saw; a coordinator, all that it knows of requests
    that are or were held back.
    """

    items: tuple[quarantine.Suspicion, ...]


class GatewayAddress(_Message, frozen=True):
    """Where a gateway takes `GatewayLoad`, as host:port."""

    vm: types.VmId
    load_address: str


class Peers(_Message, frozen=True, tag="peers"):
    """Hosts of the coordinators, and the gateways that are linked."""

    coordinators: tuple[str, ...]
    gateways: tuple[GatewayAddress, ...]


class Join(_Message, frozen=True, tag="join-site"):
    """A replica that no leader speaks to asks to take part."""

    replica: consensus.ReplicaId


class GatewayLoad(_Message, frozen=True, tag="loads"):
    """What a gateway has under way; `sequence` grows within one `incarnation`.

    `load_address` is where the gateway takes such messages, as host:port.
    `failed` and `rejecting` are endpoints that it has just seen fail or turn a
    request away, `waiting` the generations that wait for room and go first,
    `refused_keys` are keys of `RefusedBook`, `quotas` what organisations have
    spent there, `backoffs` how long it is to send nothing to some endpoints,
    in seconds, `named_rates` what endpoints' answers named there.
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


class GrantRequest(_Message, frozen=True, tag="ask-grant"):
    """Ask the owner of an endpoint's rate for one request.

    `sequence` is the asker's own, `rate` what it knows of the rate.
    """

    number: int
    applicant: rate_grants.GrantApplicant
    rate: endpoint_rates.RateUpdate


class GrantAnswer(_Message, frozen=True, tag="grant"):
    """The owner's answer; `rate` is what it knows of the rate."""

    number: int
    decision: rate_grants.GrantDecision
    rate: endpoint_rates.RateUpdate


class ReturnGrant(_Message, frozen=True, tag="give-back"):
    """A request that was granted has not been sent."""

    endpoint: types.EndpointId
    born: int


BetweenGateways = Union[GatewayLoad, GrantRequest, GrantAnswer, ReturnGrant]

FromGateway = Union[
    GatewayHello,
    FetchRouting,
    Demands,
    EndpointUpdate,
    HeartbeatNotice,
    Suspicions,
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
]
FromReplica = Union[
    control.FromReplica, Join, EndpointUpdate, HeartbeatNotice, Suspicions
]
FromAny = Union[FromGateway, FromReplica]
