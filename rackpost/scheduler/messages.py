"""Messages between gateways and the scheduler of a pool.

They pass over the links between gateways and coordinators.  A gateway sends
one `CapacityRequest` for each generation; it gets one `CapacityGrant` or one
`CapacityRefusal`, and until then one `CapacityQueued` at once.  What runs is
reported in batches by `CapacityProgress`, which also renews its leases.
"""

from typing import NewType

import msgspec

from rackpost.decide import kv_forecast
from rackpost.decide import queue_order
from rackpost import types

# Identifies a request for capacity within one incarnation of a gateway.
TicketId = NewType("TicketId", int)


class _Message(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A message between a gateway and a scheduler."""


class CapacityRequest(_Message, frozen=True, tag="want-capacity"):
    """Request for a decode endpoint and a prefill turn.

    Attributes:
        ticket: identifies the request at its gateway.
        service: the model service.
        memory_tokens: KV memory of each decode endpoint, in tokens.
        run: the KV memory that the generation will use over time.
        exclude: endpoints that must not be granted.
        waiting: its deadlines relative to the time of sending, in seconds.
        in_place: the prompt must be prefilled at the decode endpoint.
    """

    ticket: TicketId
    service: types.ServiceName
    memory_tokens: int
    run: kv_forecast.Run
    exclude: tuple[types.EndpointId, ...]
    waiting: queue_order.WaitingRequest
    event_interval_s: float = 0.0
    in_place: bool = False


class CapacityQueued(_Message, frozen=True, tag="capacity-queued"):
    """The scheduler has the request and answers it later."""

    ticket: TicketId


class CapacityGrant(_Message, frozen=True, tag="capacity"):
    """A lease on a decode endpoint, and a prefill turn.

    Attributes:
        ticket: the request.
        endpoint: the decode endpoint.
        prefill_endpoint: where to prefill; None is in place.
        lease_s: how long the lease lasts without `CapacityProgress`.
    """

    ticket: TicketId
    endpoint: types.EndpointId
    prefill_endpoint: types.EndpointId | None
    lease_s: float


class CapacityRefusal(_Message, frozen=True, tag="no-capacity"):
    """The request can't be served in time; it has not run.

    `retry_after_s` is when the caller should retry, in seconds.
    """

    ticket: TicketId
    retry_after_s: float
    expected_wait_s: float


class CapacityCancel(_Message, frozen=True, tag="cancel-capacity"):
    """The requests are no longer waiting, or their leases are released."""

    tickets: tuple[TicketId, ...]


class Holding(_Message, frozen=True):
    """A lease that a gateway holds, or capacity that it chose by itself.

    `run` is the KV memory in use now; `prefilling` is whether the prompt is
    still to be prefilled.
    """

    ticket: TicketId
    service: types.ServiceName
    endpoint: types.EndpointId
    prefill_endpoint: types.EndpointId | None
    run: kv_forecast.Run
    prefilling: bool


class CapacityProgress(_Message, frozen=True, tag="capacity-in-use"):
    """What a gateway holds.

    With `complete` it is all that the gateway holds; a new scheduler grants
    only beyond what is surely free until each linked gateway has sent one.
    """

    holdings: tuple[Holding, ...]
    complete: bool = False


ToScheduler = CapacityRequest | CapacityCancel | CapacityProgress
FromScheduler = CapacityQueued | CapacityGrant | CapacityRefusal
