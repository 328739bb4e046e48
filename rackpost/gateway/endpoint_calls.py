"""The one way from a gateway to an endpoint.

Whatever is sent there goes through here: it is not sent to an endpoint that
may get nothing now (`decide/eligibility.py`), and what the head of each
answer says of later requests is noted.
"""

import contextlib
from typing import AsyncIterator

from rackpost import endpoint_notices
from rackpost.gateway import rate_grants
from rackpost.gateway import site as site_mod
from rackpost.http1 import client
from rackpost.http1 import message
from rackpost import logs
from rackpost.routing import endpoints
from rackpost.routing import model


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
    async with site.pool.connection(endpoint.address, limit=most) as conn:
        # Others were answered while this one waited for a connection.
        check(site, endpoint)
        yield conn


def check(site: site_mod.Site, endpoint: endpoints.Endpoint) -> None:
    """Raise Barred if nothing may be sent to an endpoint now."""
    endpoint_notices.check_eligible(site.eligible, endpoint, site.loop_time())


async def request(
    site: site_mod.Site,
    endpoint: endpoints.Endpoint,
    conn: client.ClientConnection,
    *,
    grant: rate_grants.Grant | None,
    head: bytes,
    body: bytes = b"",
    request_id: bytes | None = None,
    is_head: bool = False,
) -> message.Head:
    """Send a request; returns once the head of its answer is there.

    Raises ExchangeError where there is none, Barred if it may not be sent,
    also where the endpoint names a rate and there is no `grant` for it.
    """
    check(site, endpoint)
    site.grants.spend(endpoint, grant)
    found = await conn.request(
        head=head, body=body, request_id=request_id, is_head=is_head
    )
    news = endpoint_notices.record_answer(
        site.eligible,
        endpoint,
        found,
        part=logs.Part.GATEWAY,
        now=site.loop_time(),
    )
    for bar in news:
        site.metrics.count("endpoints_ask", bar, endpoint.service)
        # Those that wait find room elsewhere, or are refused now.
        site.room_changed.set()
        # The others need not find it out by themselves.
        site.loads_changed.set()
    return found
