"""Convert between messages and what the decisions use."""

from typing import Iterable

import msgspec

from rackpost.decide import kv_forecast
from rackpost.decide import queue_order
from rackpost.decide.waiting import leases
from rackpost.gateway import reservation as reservation_mod
from rackpost.scheduler import messages
from rackpost import types

_TIMES = ("target", "start_by", "deadline", "arrived_at")


def _shift(
    request: queue_order.WaitingRequest, by: float
) -> queue_order.WaitingRequest:
    changed = {name: getattr(request, name) + by for name in _TIMES}
    return msgspec.structs.replace(request, **changed)


def copy_run(run: kv_forecast.Run) -> kv_forecast.Run:
    """Return a run that does not change with this one."""
    return msgspec.structs.replace(run)


def capacity_request(
    request: reservation_mod.ReservationRequest,
    *,
    ticket: leases.TicketId,
    exclude: Iterable[types.EndpointId],
    data_centre: types.DataCentre,
    now: float,
) -> messages.CapacityRequest:
    """Return the message that asks a scheduler for capacity."""
    return messages.CapacityRequest(
        ticket=ticket,
        service=request.service,
        memory_tokens=request.memory_tokens,
        run=copy_run(request.run),
        exclude=tuple(exclude),
        waiting=_shift(request.waiting_request, -now),
        event_interval_s=request.event_interval_s,
        in_place=request.in_place,
        large_reservations=request.large_reservations,
        request_id=request.request_id,
        data_centre=data_centre,
    )


def reservation_request(
    msg: messages.CapacityRequest, now: float
) -> reservation_mod.ReservationRequest:
    """Return a received request, in terms of this process's clock."""
    return reservation_mod.ReservationRequest(
        service=msg.service,
        memory_tokens=msg.memory_tokens,
        run=msg.run,
        exclude=msg.exclude,
        waiting_request=_shift(msg.waiting, now),
        event_interval_s=msg.event_interval_s,
        in_place=msg.in_place,
        large_reservations=msg.large_reservations,
        request_id=msg.request_id,
        data_centre=msg.data_centre,
    )


def leases_of(
    holdings: Iterable[messages.Holding],
) -> dict[leases.TicketId, leases.Lease]:
    """Return reported holdings as leases."""
    return {
        item.ticket: leases.Lease(
            endpoint=item.endpoint,
            prefill_endpoint=item.prefill_endpoint,
            run=copy_run(item.run),
            prefilling=item.prefilling,
        )
        for item in holdings
    }
