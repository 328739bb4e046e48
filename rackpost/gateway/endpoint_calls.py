"""The one way from a gateway to an endpoint.

Whatever is sent there goes through here: it is not sent to an endpoint that
may get nothing now (`decide/eligibility.py`), and what the head of each
answer says of later requests is noted.
"""

import contextlib
import enum
from typing import AsyncIterator

from rackpost import exceptions
from rackpost.gateway import site as site_mod
from rackpost.http1 import client
from rackpost.http1 import message
from rackpost import logs
from rackpost.platform import headers
from rackpost.routing import endpoints
from rackpost.routing import model
from rackpost import types


class Asked(enum.Enum):
    """What endpoints ask for in their answers."""

    BACKOFF = "backoff"
    LEAVING = "leaving"


@contextlib.asynccontextmanager
async def connected(
    site: site_mod.Site,
    service: model.Service,
    endpoint: endpoints.Endpoint,
) -> AsyncIterator[client.ClientConnection]:
    """A connection to an endpoint.

    Raises ExchangeError if there is none, Barred if nothing may be sent.
    """
    check(site, endpoint)
    most = site.connections_to(service)
    async with site.pool.connection(endpoint.address, most=most) as conn:
        # Others were answered while this one waited for a connection.
        check(site, endpoint)
        yield conn


def check(site: site_mod.Site, endpoint: endpoints.Endpoint) -> None:
    """Raise Barred if nothing may be sent to an endpoint now."""
    bar = site.eligible.bar(endpoint, site.loop_time())
    if bar is not None:
        raise exceptions.Barred(bar.value)


async def request(
    site: site_mod.Site,
    endpoint: endpoints.Endpoint,
    conn: client.ClientConnection,
    *,
    head: bytes,
    body: bytes = b"",
    request_id: bytes | None = None,
    is_head: bool = False,
) -> message.Head:
    """Send a request; returns once the head of its answer is there.

    Raises ExchangeError where there is none, Barred if it may not be sent.
    """
    check(site, endpoint)
    found = await conn.request(
        head=head, body=body, request_id=request_id, is_head=is_head
    )
    _note(site, endpoint, found)
    return found


def _note(
    site: site_mod.Site, asked: endpoints.Endpoint, head: message.Head
) -> None:
    """Note what an answer says of later requests to who gave it."""
    endpoint = _answerer(site, asked, head)
    if endpoint is None:
        return
    if headers.says_leaving(head):
        _note_leaving(site, endpoint, head.status)
    now = site.loop_time()
    backoff_s = headers.backoff_s(head)
    if backoff_s is not None:
        _note_backoff(site, endpoint, head.status, backoff_s)
    elif not headers.is_turned_away(head):
        site.eligible.backoffs.taken(endpoint, now)


def _answerer(
    site: site_mod.Site, asked: endpoints.Endpoint, head: message.Head
) -> endpoints.Endpoint | None:
    """Who has answered: another one may have come to the address."""
    other = message.find(head.headers, headers.ANSWERED_BY)
    if other is None or other == asked.id.encode():
        return asked
    return site.table.alive.get(types.EndpointId(other.decode("latin-1")))


def _note_backoff(
    site: site_mod.Site,
    endpoint: endpoints.Endpoint,
    status: int,
    backoff_s: float,
) -> None:
    if not site.eligible.backoffs.asked(endpoint, backoff_s, site.loop_time()):
        return
    site.metrics.count("endpoints_ask", Asked.BACKOFF, endpoint.service)
    logs.say(
        logs.Part.GATEWAY,
        "Endpoint asks for back-off.",
        endpoint=endpoint.id,
        born=endpoint.born,
        status=status,
        backoff_s=round(backoff_s, 3),
    )
    # Those that wait may have to be refused now.
    site.room_changed.set()


def _note_leaving(
    site: site_mod.Site, endpoint: endpoints.Endpoint, status: int
) -> None:
    if not site.table.leaves(endpoint):
        return
    site.metrics.count("endpoints_ask", Asked.LEAVING, endpoint.service)
    logs.say(
        logs.Part.GATEWAY,
        "Endpoint answers that it leaves.",
        endpoint=endpoint.id,
        born=endpoint.born,
        status=status,
    )
    # Those that wait find room elsewhere, or none.
    site.room_changed.set()
