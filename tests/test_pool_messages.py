"""Messages to and from schedulers pass the links unchanged."""

import msgspec
import pytest

from rackpost.coordinator import messages as links
from rackpost.decide import kv_forecast
from rackpost.decide import queue_order
from rackpost.decide.waiting import leases
from rackpost.link import codec
from rackpost.scheduler import messages
from rackpost import types

_SERVICE = types.ServiceName("model")
_TICKET = leases.TicketId(7)
_ENDPOINT = types.EndpointId("d1")
_RUN = kv_forecast.Run(held_tokens=10, remaining_tokens=20, error_tokens=3)


@pytest.mark.parametrize(
    "msg",
    [
        messages.CapacityRequest(
            ticket=_TICKET,
            service=_SERVICE,
            memory_tokens=1000,
            run=_RUN,
            exclude=(_ENDPOINT,),
            waiting=queue_order.WaitingRequest(
                priority=0,
                target=0.5,
                start_by=2.0,
                deadline=float("inf"),
                start_s=0.1,
                generation_s=1.0,
                organisation=types.OrganisationName("o"),
            ),
        ),
        messages.CapacityCancel(service=_SERVICE, tickets=(_TICKET,)),
        messages.CapacityPrefilled(service=_SERVICE, tickets=(_TICKET,)),
        messages.SchedulerChoice(service=_SERVICE, use=leases.Use.THIS),
        messages.CapacityProgress(
            service=_SERVICE,
            holdings=(
                messages.Holding(
                    ticket=_TICKET,
                    endpoint=_ENDPOINT,
                    prefill_endpoint=None,
                    run=_RUN,
                    prefilling=True,
                ),
            ),
            signs=messages.EndpointSigns(
                failed=(_ENDPOINT,),
                backoffs={_ENDPOINT: 0.5},
                prefill_token_s=0.001,
            ),
            complete=True,
            use=leases.Use.THIS,
        ),
    ],
    ids=lambda msg: type(msg).__name__,
)
def test_messages_to_a_scheduler_are_decoded(msg: msgspec.Struct) -> None:
    """A coordinator accepts them from a gateway."""
    decoder = codec.Decoder(kinds=links.FromAny)
    assert decoder.decode(codec.encode(msg)) == msg


@pytest.mark.parametrize(
    "msg",
    [
        messages.CapacityQueued(tickets=(_TICKET,)),
        messages.CapacityGrant(
            ticket=_TICKET,
            endpoint=_ENDPOINT,
            prefill_endpoint=None,
            lease_s=3.5,
        ),
        messages.CapacityRefusal(
            ticket=_TICKET,
            retry_after_s=0.5,
            reason="hopeless",
            kept=("late",),
            expected_wait_s=2.5,
        ),
        messages.CapacityDeclined(tickets=(_TICKET,)),
        messages.HoldingsQuery(service=_SERVICE),
    ],
    ids=lambda msg: type(msg).__name__,
)
def test_messages_of_a_scheduler_are_decoded(msg: msgspec.Struct) -> None:
    """A gateway accepts them from a coordinator."""
    decoder = codec.Decoder(kinds=links.ToGateway)
    assert decoder.decode(codec.encode(msg)) == msg
