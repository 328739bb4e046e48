"""Confirms that an endpoint has not restarted unseen.

A stream may go on only at the software version that began it.  A restart, with
other software under the same id, is known from heartbeats, which may be late,
or may not reach a gateway that is cut off.
"""

import asyncio

from rackpost import exceptions
from rackpost.gateway import call as call_mod
from rackpost.http1 import client
from rackpost.http1 import message
from rackpost.platform import headers
from rackpost.platform import orders
from rackpost.routing import endpoints

__all__ = ["confirm", "is_needed"]

# An endpoint answers a report without a slot, within milliseconds.
_REPORT_TIMEOUT_S = 0.5
_MAX_REPORT_BYTES = 64 << 10


def is_needed(call: call_mod.Call, endpoint: endpoints.Endpoint) -> bool:
    """Whether a request continues a stream, at an endpoint with known start.

    Endpoints that name no start time have another id after a restart.
    """
    return call.origin is not None and endpoint.born > 0


async def confirm(
    call: call_mod.Call,
    endpoint: endpoints.Endpoint,
    conn: client.ClientConnection,
) -> None:
    """Ask for the endpoint's start time, on the request's own connection.

    A restart after the answer breaks the connection, so that the request can
    reach no other incarnation.

    Raises EndpointIneligible if the endpoint has restarted, ExchangeError if
    there is no sound report.
    """
    try:
        async with asyncio.timeout(_REPORT_TIMEOUT_S):
            report = await _fetch_report(endpoint, conn)
    except TimeoutError as exc:
        raise exceptions.ExchangeError(
            "no report in time", sent=False
        ) from exc
    except exceptions.ExchangeError as exc:
        raise exceptions.ExchangeError(
            f"no report: {exc}", sent=False
        ) from exc
    except exceptions.CodecError as exc:
        raise exceptions.ExchangeError(str(exc), sent=False) from exc
    if report is None or report.born not in (0, endpoint.born):
        site = call.site
        site.crash_tracker.record_refused(endpoint, site.loop_time())
        raise exceptions.EndpointIneligible("has restarted")


async def _fetch_report(
    endpoint: endpoints.Endpoint, conn: client.ClientConnection
) -> orders.Report | None:
    """Return the report; None from another endpoint at the address."""
    lines = [
        (b"host", endpoint.address.encode()),
        (headers.ENDPOINT_ID, endpoint.id.encode()),
    ]
    answer = await conn.request(
        head=message.request_head(b"GET", orders.REPORT_PATH, lines),
        body=b"",
        request_id=None,
    )
    body = await conn.read_whole(_MAX_REPORT_BYTES)
    if not conn.release():
        raise exceptions.ExchangeError("the connection was closed")
    if answer.status == 421:
        return None
    if answer.status != 200:
        raise exceptions.ExchangeError(f"status {answer.status}")
    return orders.decode_report(body)
