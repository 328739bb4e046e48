"""Wire format of orders to endpoints and of endpoints' reports."""

from typing import NamedTuple

import msgspec

from rackpost import exceptions
from rackpost.platform import stages
from rackpost import types

REPORT_PATH = b"/v1/report"
ORDER_PATH = b"/v1/order"


class Report(NamedTuple):
    """State that an endpoint reports.

    `orders_taken` counts the orders accepted in this incarnation; `changing`
    is set while one of them is in progress.  `born` is the start time of the
    incarnation in milliseconds, 0 if the endpoint names none.
    """

    role: types.Role
    changing: bool
    orders_taken: int
    running: int
    born: int = 0


class _Report(msgspec.Struct, kw_only=True):
    stage: str = ""
    busy: bool = False
    # Counts orders, unlike the field of this name in heartbeats.
    sequence: int = 0
    running: int = 0
    born: int = 0


class _Order(msgspec.Struct, kw_only=True, rename="camel"):
    operation: str
    stage: str
    holder: str
    fence: int
    # The order is valid only at this count of orders.
    expected_revision: int


_DECODER = msgspec.json.Decoder(_Report)


def decode_report(body: bytes) -> Report:
    """Decode a report; raises CodecError if it is malformed."""
    try:
        wire = _DECODER.decode(body)
    except exceptions.DECODE_ERRORS as exc:
        raise exceptions.CodecError(f"report: {exc}") from exc
    return Report(
        role=stages.role_of(wire.stage),
        changing=wire.busy,
        orders_taken=wire.sequence,
        running=wire.running,
        born=wire.born,
    )


def change_role(
    role: types.Role, *, holder: str, fence: int, orders_taken: int
) -> bytes:
    """Encode an order to change an endpoint's role."""
    return msgspec.json.encode(
        _Order(
            operation="stage",
            stage=stages.name_of(role),
            holder=holder,
            fence=fence,
            expected_revision=orders_taken,
        )
    )
