"""Endpoints' heartbeats: their wire form to `routing.endpoints`."""

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
    """Nothing that endpoints always send has a default.

    What lacks a field, or holds another type, was written by somebody
    else and tells of no endpoint.
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
    """The endpoint that a heartbeat tells of; CodecError if it is bad."""
    try:
        wire = _DECODER.decode(text)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise exceptions.CodecError(f"heartbeat: {exc}") from exc
    why = _why_unusable(wire)
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
    )


def _why_unusable(wire: _Heartbeat) -> str:
    """What is wrong with a heartbeat that can be read; "" if nothing is."""
    if wire.state not in _STATES:
        return "a state that is not known"
    if not stages.is_known(wire.stage):
        return "a role that is not known"
    if not wire.service:
        return "no service"
    if wire.slots < 1:
        return "no slots"
    if wire.sequence < 0 or wire.born < 0:
        return "a count below 0"
    if not math.isfinite(wire.cold_remaining_ms):
        return "a time that is none"
    return "" if _is_address(wire.address) else "an address that is none"


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) <= _MAX_PORT


def gone(endpoint_id: str, text: bytes = b"") -> endpoints.Endpoint:
    """An endpoint that has said that it ends, and of which life if told."""
    born = 0
    if text:
        try:
            born = _GONE_DECODER.decode(text).born
        except (msgspec.DecodeError, msgspec.ValidationError) as exc:
            raise exceptions.CodecError(f"end of endpoint: {exc}") from exc
    return endpoints.Endpoint(
        id=types.EndpointId(endpoint_id),
        born=born,
        state=endpoints.EndpointState.GONE,
    )
