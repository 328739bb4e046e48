"""Sends requests from a gateway to endpoints.

All requests to endpoints go through this module.  It sends nothing to an
ineligible endpoint (`decide/eligibility.py`) and records what each answer's
head says about later requests.
"""

import contextlib
from typing import AsyncIterator

from rackpost import endpoint_notices
from rackpost import exceptions
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
    request_id: bytes | None = None,
) -> AsyncIterator[client.ClientConnection]:
    """Open a connection to an endpoint, for a request with an id.

    Raises ExchangeError if there is none, Barred if the endpoint is
    ineligible.
    """
    check_eligible(site, endpoint)
    async with contextlib.AsyncExitStack() as stack:
        try:
            conn = await stack.enter_async_context(
                site.pool.connection(
                    endpoint.address,
                    limit=site.max_connections_to(service),
                    request_id=request_id,
                )
            )
        except exceptions.NotListening:
            site.crash_tracker.record_refused(endpoint, site.loop_time())
            raise
        # Another request's answer may have made it ineligible meanwhile.
        check_eligible(site, endpoint)
        yield conn


def check_eligible(site: site_mod.Site, endpoint: endpoints.Endpoint) -> None:
    """Raise Barred if the endpoint is ineligible."""
    endpoint_notices.check_eligible(
        site.eligibility, endpoint, site.loop_time()
    )


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
    """Send a request; return once the head of its answer has arrived.

    Raises ExchangeError where there is no answer; Barred if the endpoint is
    ineligible, or names a rate and there is no valid `grant`.
    """
    check_eligible(site, endpoint)
    site.rate_grants.spend(endpoint, grant)
    try:
        answer = await conn.request(
            head=head, body=body, request_id=request_id, is_head=is_head
        )
    finally:
        if conn.skipped:
            _record_skipped(site, endpoint, conn, request_id)
    new_reasons = endpoint_notices.record_answer(
        site.eligibility,
        endpoint,
        answer,
        part=logs.Part.GATEWAY,
        now=site.loop_time(),
    )
    for reason in new_reasons:
        site.metrics.count("endpoints_ask", reason, endpoint.service)
        # Waiting requests choose another endpoint, or are refused now.
        site.capacity_changed.set()
        # Tell the other gateways at once.
        site.loads_changed.set()
    return answer


def _record_skipped(
    site: site_mod.Site,
    endpoint: endpoints.Endpoint,
    conn: client.ClientConnection,
    request_id: bytes | None,
) -> None:
    """Count and log the answers that arrived in place of the request's."""
    for reason, count in conn.skipped.items():
        site.metrics.count(
            "skipped_answers", reason, endpoint.service, by=count
        )
    logs.say(
        logs.Part.GATEWAY,
        "Skipped an answer.",
        request=(request_id or b"").decode("latin-1"),
        endpoint=endpoint.id,
        born=endpoint.born,
        connection=conn.local_port,
        number=conn.requests,
        counts={reason.value: n for reason, n in conn.skipped.items()},
        status=conn.skipped_status,
    )
