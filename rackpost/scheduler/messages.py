"""Messages between gateways and the scheduler of a model service's pools.

They pass over the links between gateways and coordinators.  A gateway sends
one `CapacityRequest` for each generation and gets a `CapacityGrant`, a
`CapacityRefusal` or a `CapacityDeclined`; while it waits it is listed in each
`CapacityQueued`.  A scheduler that becomes active asks all linked gateways
for what they hold (`HoldingsQuery`).  What is released or prefilled is then
reported at once, the progress of generations at intervals by
`CapacityProgress`, which also renews the gateway's leases.

Times are relative and in seconds, as the processes' clocks differ.
"""

import msgspec

from rackpost.decide import kv_forecast
from rackpost.decide import queue_order
from rackpost.decide.waiting import leases
from rackpost import types


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
        large_reservations: it claims an endpoint if it is large, and respects
            the claims of others.
        request_id: the id of the generation, for logs.
        data_centre: where the gateway is; endpoints there are preferred.
    """

    ticket: leases.TicketId
    service: types.ServiceName
    memory_tokens: int
    run: kv_forecast.Run
    exclude: tuple[types.EndpointId, ...]
    waiting: queue_order.WaitingRequest
    event_interval_s: float = 0.0
    in_place: bool = False
    large_reservations: bool = False
    request_id: str = ""
    data_centre: types.DataCentre = types.DataCentre("")


class CapacityQueued(_Message, frozen=True, tag="capacity-queued"):
    """Requests of the gateway that wait; repeated while there are any."""

    tickets: tuple[leases.TicketId, ...]


class CapacityGrant(_Message, frozen=True, tag="capacity"):
    """A lease on a decode endpoint, and a prefill turn.

    Attributes:
        ticket: the request.
        endpoint: the decode endpoint.
        prefill_endpoint: where to prefill; None is in place.
        lease_s: how long the lease lasts without `CapacityProgress`.
    """

    ticket: leases.TicketId
    endpoint: types.EndpointId
    prefill_endpoint: types.EndpointId | None
    lease_s: float


class CapacityRefusal(_Message, frozen=True, tag="no-capacity"):
    """The request can't be served in time; it has not run.

    Attributes:
        retry_after_s: when the caller should retry, in seconds.
        expected_wait_s: how long it would have waited.
        reason: why it is refused, a value of `RefusalReason`.
        kept: why capacity was kept from it, for logs.
    """

    ticket: leases.TicketId
    retry_after_s: float
    expected_wait_s: float
    reason: str
    kept: tuple[str, ...] = ()


class CapacityDeclined(_Message, frozen=True, tag="not-scheduling"):
    """The scheduler can't decide now; the gateway has to choose itself."""

    tickets: tuple[leases.TicketId, ...]


class CapacityCancel(_Message, frozen=True, tag="cancel-capacity"):
    """The requests no longer wait, or their leases are released."""

    service: types.ServiceName
    tickets: tuple[leases.TicketId, ...]


class CapacityPrefilled(_Message, frozen=True, tag="capacity-prefilled"):
    """The prompts of these leases are prefilled."""

    service: types.ServiceName
    tickets: tuple[leases.TicketId, ...]


class HoldingsQuery(_Message, frozen=True, tag="report-holdings"):
    """The coordinator schedules a service and needs all holdings of it.

    With `active` False it has stopped, and needs no further reports.
    """

    service: types.ServiceName
    active: bool = True


class SchedulerChoice(_Message, frozen=True, tag="scheduler-choice"):
    """Which scheduler of a service the gateway uses from now on."""

    service: types.ServiceName
    use: leases.Use


class Holding(_Message, frozen=True):
    """A lease that a gateway holds, or capacity that it chose by itself.

    `run` is the KV memory in use now; `prefilling` is whether the prompt is
    still to be prefilled.
    """

    ticket: leases.TicketId
    endpoint: types.EndpointId
    prefill_endpoint: types.EndpointId | None
    run: kv_forecast.Run
    prefilling: bool


class EndpointSigns(_Message, frozen=True):
    """What a gateway has observed at endpoints.

    Attributes:
        failed: endpoints that have just failed.
        rejecting: endpoints that have just rejected a request.
        backoffs: remaining back-off of endpoints, in seconds.
        changing: endpoints that are changing their role.
        prefill_token_s: time to prefill a token; 0 if unknown.
        decode_token_s: time to generate a token; 0 if unknown.
        generation_s: mean time that a generation holds capacity.
    """

    failed: tuple[types.EndpointId, ...] = ()
    rejecting: tuple[types.EndpointId, ...] = ()
    backoffs: dict[types.EndpointId, float] = {}
    changing: tuple[types.EndpointId, ...] = ()
    prefill_token_s: float = 0.0
    decode_token_s: float = 0.0
    generation_s: float = 0.0


class CapacityProgress(_Message, frozen=True, tag="capacity-in-use"):
    """What has changed in what a gateway holds of a service.

    With `complete` it is all that the gateway holds, the answer to a
    `HoldingsQuery`; `use` is then the scheduler that it uses.
    """

    service: types.ServiceName
    holdings: tuple[Holding, ...] = ()
    signs: EndpointSigns = EndpointSigns()
    complete: bool = False
    use: leases.Use = leases.Use.NONE


ToScheduler = (
    CapacityRequest
    | CapacityCancel
    | CapacityPrefilled
    | CapacityProgress
    | SchedulerChoice
)
FromScheduler = (
    CapacityQueued
    | CapacityGrant
    | CapacityRefusal
    | CapacityDeclined
    | HoldingsQuery
)
