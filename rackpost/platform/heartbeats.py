"""Endpoints' heartbeats: their wire form to `routing.endpoints`."""

import msgspec

from rackpost import exceptions
from rackpost.platform import stages
from rackpost.routing import endpoints
from rackpost import types

_MS = 1000.0
_STATES = {
    "ready": endpoints.EndpointState.READY,
    "draining": endpoints.EndpointState.DRAINING,
}


class _Heartbeat(msgspec.Struct, kw_only=True, rename="camel"):
    service: str
    address: str
    zone: str = ""
    slots: int = 1
    state: str = "ready"
    cold_remaining_ms: float = 0.0
    stage: str = ""
    sequence: int = 0


_DECODER = msgspec.json.Decoder(_Heartbeat)


def decode(endpoint_id: str, text: bytes) -> endpoints.Endpoint:
    """The endpoint that a heartbeat tells of; CodecError if it is bad."""
    try:
        wire = _DECODER.decode(text)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise exceptions.CodecError(f"heartbeat: {exc}") from exc
    return endpoints.Endpoint(
        id=types.EndpointId(endpoint_id),
        service=types.ServiceName(wire.service),
        address=wire.address,
        data_centre=types.DataCentre(wire.zone),
        role=stages.role_of(wire.stage),
        slots=wire.slots,
        # An endpoint in a state unknown here gets nothing new.
        state=_STATES.get(wire.state, endpoints.EndpointState.DRAINING),
        sequence=wire.sequence,
        cold_s=wire.cold_remaining_ms / _MS,
    )


def gone(endpoint_id: str) -> endpoints.Endpoint:
    """An endpoint that has said that it ends."""
    return endpoints.Endpoint(
        id=types.EndpointId(endpoint_id),
        state=endpoints.EndpointState.GONE,
    )
