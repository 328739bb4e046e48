"""Decodes endpoints' heartbeats into `routing.endpoints`."""

import ipaddress
import math

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
_MAX_PORT = 65535


class _Heartbeat(msgspec.Struct, kw_only=True, rename="camel"):
    """A heartbeat on the wire.

    Fields that endpoints always send have no default, so that a body without
    them is refused.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: str
    cold_remaining_ms: float
    sequence: int
    stage: str = ""
    born: int = 0


class _Gone(msgspec.Struct, kw_only=True):
    born: int = 0


_DECODER = msgspec.json.Decoder(_Heartbeat)
_GONE_DECODER = msgspec.json.Decoder(_Gone)


def decode(endpoint_id: str, text: bytes) -> endpoints.Endpoint:
    """Decode a heartbeat; raises CodecError if it is invalid."""
    try:
        wire = _DECODER.decode(text)
    except exceptions.DECODE_ERRORS as exc:
        raise exceptions.CodecError(f"heartbeat: {exc}") from exc
    why = _invalid_reason(wire)
    if why:
        raise exceptions.CodecError(f"heartbeat: {why}")
    return endpoints.Endpoint(
        id=types.EndpointId(endpoint_id),
        service=types.ServiceName(wire.service),
        address=wire.address,
        data_centre=types.DataCentre(wire.zone),
        role=stages.role_of(wire.stage),
        slots=wire.slots,
        state=_STATES[wire.state],
        sequence=wire.sequence,
        cold_s=wire.cold_remaining_ms / _MS,
        born=wire.born,
        software=types.SoftwareVersion(wire.version),
    )


def _invalid_reason(wire: _Heartbeat) -> str:
    """Return why a decoded heartbeat is invalid; "" if it is valid."""
    if wire.state not in _STATES:
        return "unknown state"
    if not stages.is_known(wire.stage):
        return "unknown role"
    if not wire.service:
        return "no service"
    if wire.slots < 1:
        return "no slots"
    if wire.sequence < 0 or wire.born < 0:
        return "negative sequence or start time"
    if not math.isfinite(wire.cold_remaining_ms):
        return "remaining cold time is not finite"
    return "" if _is_address(wire.address) else "invalid address"


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) <= _MAX_PORT


def gone(endpoint_id: str, text: bytes = b"") -> endpoints.Endpoint:
    """Decode the notice that an endpoint ends; raises CodecError.

    The incarnation is 0 if the body does not name it.
    """
    born = 0
    if text:
        try:
            born = _GONE_DECODER.decode(text).born
        except exceptions.DECODE_ERRORS as exc:
            raise exceptions.CodecError(f"end of endpoint: {exc}") from exc
    return endpoints.Endpoint(
        id=types.EndpointId(endpoint_id),
        born=born,
        state=endpoints.EndpointState.GONE,
    )
