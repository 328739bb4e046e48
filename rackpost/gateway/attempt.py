"""One attempt: a request to one endpoint, and its outcome."""

import contextlib
from typing import NamedTuple

from rackpost.decide import part_soundness
from rackpost.decide import retry_decision
from rackpost import exceptions
from rackpost.gateway import answer_check
from rackpost.gateway import answer_relay
from rackpost.gateway import call as call_mod
from rackpost.gateway import endpoint_calls
from rackpost.gateway import in_flight
from rackpost.gateway import incarnation_check
from rackpost.gateway import rate_grants
from rackpost.http1 import client
from rackpost.http1 import message
from rackpost.platform import headers
from rackpost.routing import endpoints
from rackpost.routing import model

# Bytes; answers other than streams are buffered, so that a truncated one is
# never passed on as complete.
_MAX_ANSWER_BYTES = 16 << 20


class Reply(NamedTuple):
    """The head of an endpoint's answer, and the connection of its body."""

    conn: client.ClientConnection
    head: message.Head


def request_headers(
    call: call_mod.Call, endpoint: endpoints.Endpoint, now: float
) -> list[message.Header]:
    """Return the headers of the request to one endpoint."""
    remaining_ms = max(1, int((call.deadline - now) * 1000))
    lines = list(call.forwarded_headers)
    if call.last_event_id is not None:
        lines = [item for item in lines if item[0] != headers.RESUME_AFTER]
        lines.append((headers.RESUME_AFTER, b"%d" % call.last_event_id))
    lines.append((headers.DEADLINE_MS, b"%d" % remaining_ms))
    lines.append((headers.ENDPOINT_ID, endpoint.id.encode()))
    lines.append((headers.PRIORITY, b"%d" % min(9, max(0, call.priority))))
    if call.req.has_body:
        lines.append((b"content-length", b"%d" % len(call.req.body)))
    return lines


def connected(
    call: call_mod.Call,
    endpoint: endpoints.Endpoint,
    *,
    sends_id: bool = True,
) -> contextlib.AbstractAsyncContextManager[client.ClientConnection]:
    """Open a connection to an endpoint; raises ExchangeError.

    With `sends_id`, it is one that has not carried the request's id.
    """
    call.check_version(endpoint)
    return endpoint_calls.connected(
        call.site,
        call.service,
        endpoint,
        call.request_id if sends_id else None,
    )


def acquire_grant(
    call: call_mod.Call, endpoint: endpoints.Endpoint
) -> contextlib.AbstractAsyncContextManager[rate_grants.Grant | None]:
    """Acquire a grant for one request, where the endpoint names a rate.

    Raises Barred where there is none now.
    """
    site = call.site
    rate_per_s = site.chooser.candidates.own_rate_per_s(
        endpoint.service,
        endpoint.role,
        exclude=call.excluded_endpoints,
        now=site.loop_time(),
    )
    # While some endpoint names no rate, the request goes there instead of
    # waiting for a grant.
    return site.rate_grants.acquire(
        endpoint, priority=call.priority, waits=rate_per_s is not None
    )


async def send(
    call: call_mod.Call,
    endpoint: endpoints.Endpoint,
    conn: client.ClientConnection,
    extra_headers: list[message.Header],
    grant: rate_grants.Grant | None = None,
) -> Reply:
    """Send the request; return once the answer's head has arrived.

    Acquires a grant where one is needed and `grant` has expired or is None.
    Raises ExchangeError where there is no answer.
    """
    now = call.site.loop_time()
    if grant is None or not grant.is_valid_for(endpoint, now):
        async with acquire_grant(call, endpoint) as acquired:
            return await _send(call, endpoint, conn, extra_headers, acquired)
    return await _send(call, endpoint, conn, extra_headers, grant)


async def _send(
    call: call_mod.Call,
    endpoint: endpoints.Endpoint,
    conn: client.ClientConnection,
    extra_headers: list[message.Header],
    grant: rate_grants.Grant | None,
) -> Reply:
    # It may have restarted with other software meanwhile, and the request may
    # have been quarantined.
    call.check_version(endpoint)
    if incarnation_check.is_needed(call, endpoint):
        await incarnation_check.confirm(call, endpoint, conn)
    call.check_not_quarantined()
    request_lines = (
        request_headers(call, endpoint, call.site.loop_time()) + extra_headers
    )
    head = await endpoint_calls.request(
        call.site,
        endpoint,
        conn,
        grant=grant,
        head=message.request_head(
            call.req.method, call.req.target, request_lines
        ),
        body=call.req.body,
        request_id=call.request_id,
        is_head=call.is_head,
    )
    return Reply(conn, head)


def record_replaced(
    call: call_mod.Call, endpoint: endpoints.Endpoint, head: message.Head
) -> None:
    """Drop an endpoint whose address now belongs to another one."""
    if head.status != 421:
        return
    other = message.find(head.headers, headers.ANSWERED_BY)
    if other is None or other == endpoint.id.encode():
        call.site.health.record_failure(endpoint.id, call.site.loop_time())
    elif call.site.table.drop(endpoint.id):
        call.log(
            "Endpoint is replaced.",
            endpoint=endpoint.id,
            by=other.decode("latin-1"),
        )


async def run(
    call: call_mod.Call, endpoint: endpoints.Endpoint
) -> retry_decision.AttemptEnd | None:
    """Send a request to an endpoint and pass its answer on.

    Returns None once the client has the whole answer.  A 5xx answer of the
    endpoint is kept in `call.failure`.
    """
    try:
        async with connected(call, endpoint) as conn:
            return await run_on_connection(call, endpoint, conn, [])
    except exceptions.ExchangeError as exc:
        return record_not_connected(call, endpoint, exc)


def record_not_connected(
    call: call_mod.Call,
    endpoint: endpoints.Endpoint,
    exc: exceptions.ExchangeError,
) -> retry_decision.AttemptEnd:
    """Record that no connection was made and the request not sent."""
    if isinstance(exc, exceptions.EndpointIneligible):
        return _record_ineligible(call, endpoint, exc)
    call.tried.append(endpoint.id)
    return _record_broken(call, endpoint, exc, began=None)


def _record_ineligible(
    call: call_mod.Call,
    endpoint: endpoints.Endpoint,
    exc: exceptions.EndpointIneligible,
) -> retry_decision.AttemptEnd:
    """Record that the endpoint became ineligible after it was chosen.

    This neither counts against the endpoint nor uses up an attempt.
    """
    call.log("Not sent.", endpoint=endpoint.id, why=str(exc))
    return retry_decision.AttemptEnd.NOT_SENT


async def run_on_connection(
    call: call_mod.Call,
    endpoint: endpoints.Endpoint,
    conn: client.ClientConnection,
    extra_headers: list[message.Header],
    grant: rate_grants.Grant | None = None,
) -> retry_decision.AttemptEnd | None:
    """Do as `run` on an open connection, with additional headers."""
    began = call.site.loop_time()
    if call.sampled or call.tried or call.origin is not None:
        _log_choice(call, endpoint, conn, began)
    ran_before = call.may_have_run
    call.progress = part_soundness.AnswerProgress()
    call.exchange = call_mod.Exchange(endpoint, conn)
    if call.charge is not None:
        call.charge.record_sent(began)
    call.tried.append(endpoint.id)
    call.may_have_run = True
    try:
        with in_flight.recorded(call, endpoint):
            reply = await send(call, endpoint, conn, extra_headers, grant)
            call.record_life_sign()
            ended = await _receive_answer(call, endpoint, reply, began)
    except exceptions.EndpointIneligible as exc:
        call.tried.remove(endpoint.id)
        ended = _record_ineligible(call, endpoint, exc)
    except exceptions.ExchangeError as exc:
        ended = _record_broken(call, endpoint, exc, began=began)
    if ended is not retry_decision.AttemptEnd.NOT_SENT:
        call.send_count += 1
    if ended in (
        retry_decision.AttemptEnd.NOT_SENT,
        retry_decision.AttemptEnd.NOT_RUN,
    ):
        call.may_have_run = ran_before
        if call.charge is not None:
            call.charge.record_not_run(call.site.loop_time())
    else:
        call.possible_runners.add(endpoint.id)
    return ended


def _log_choice(
    call: call_mod.Call,
    endpoint: endpoints.Endpoint,
    conn: client.ClientConnection,
    now: float,
) -> None:
    """Log the chosen endpoint and the age of the data behind the choice."""
    site = call.site
    load = site.loads.total(endpoint.id)
    last_heartbeat_at = site.table.last_heartbeat_at.get(endpoint.id, now)
    call.log(
        "Sent.",
        endpoint=endpoint.id,
        connection=conn.local_port,
        software=endpoint.software,
        sequence=endpoint.sequence,
        heard_s=round(now - last_heartbeat_at, 2),
        under_way=load.requests,
        slots=endpoint.slots,
        rate_per_s=site.eligibility.rates.per_s(endpoint),
        gateways=site.gateway_count,
        figures_s=round(site.loads.oldest_age_s(now), 2),
        time_left_s=round(call.deadline - now, 3),
    )


def logged_parts(call: call_mod.Call) -> list[str]:
    """Return the ids of a prompt's parts for the log."""
    return [ident.decode("latin-1") for ident in call.prompt_parts]


def _record_broken(
    call: call_mod.Call,
    endpoint: endpoints.Endpoint,
    exc: exceptions.ExchangeError,
    *,
    began: float | None,
) -> retry_decision.AttemptEnd:
    """Record a broken attempt; `began` is None if it was not sent."""
    site = call.site
    now = site.loop_time()
    if not isinstance(exc, exceptions.ConnectionLimitReached):
        site.health.record_failure(endpoint.id, now)
    call.log(
        "Attempt broke.",
        endpoint=endpoint.id,
        born=endpoint.born,
        software=endpoint.software,
        after_event=call.last_event_id,
        why=str(exc),
        fingerprint=call.fingerprint.hex(),
        prompt_parts=logged_parts(call),
        sent_s=None if began is None else round(now - began, 3),
        writing_s=None if began is None else call.writing_s(now),
        others=site.loads.total(endpoint.id).requests,
    )
    if not exc.sent:
        return retry_decision.AttemptEnd.NOT_SENT
    if began is not None:
        call.record_broken(endpoint, began=began)
    return retry_decision.AttemptEnd.BROKEN


async def _receive_answer(
    call: call_mod.Call,
    endpoint: endpoints.Endpoint,
    reply: Reply,
    began: float,
) -> retry_decision.AttemptEnd | None:
    head = reply.head
    if answer_check.is_not_run(head):
        await reply.conn.read_whole(_MAX_ANSWER_BYTES)
        _record_not_run(call, endpoint, reply)
        return retry_decision.AttemptEnd.NOT_RUN
    why = answer_check.why_unsound(head)
    if why:
        raise exceptions.ExchangeError(why)
    if answer_check.is_stream(head):
        call.on_answer()
        now = call.site.loop_time()
        call.site.health.record_answer(
            endpoint.id, call.site.endpoint_time_s(now - began), now
        )
        await answer_relay.relay_stream(call, endpoint, head, reply.conn)
        call.record_delivered(endpoint, head)
        return None
    return await _receive_whole(call, endpoint, reply, began)


def _record_not_run(
    call: call_mod.Call, endpoint: endpoints.Endpoint, reply: Reply
) -> None:
    head = reply.head
    call.log(
        "Endpoint did not run it.",
        endpoint=endpoint.id,
        connection=reply.conn.local_port,
        status=head.status,
        backoff_s=headers.backoff_s(head),
        leaving=headers.announces_leaving(head),
    )
    record_replaced(call, endpoint, head)
    if head.status == 503:
        call.site.health.record_rejection(endpoint.id, call.site.loop_time())
    if headers.backoff_s(head) is not None:
        call.backoff_endpoints.append(endpoint.id)


async def _receive_whole(
    call: call_mod.Call,
    endpoint: endpoints.Endpoint,
    reply: Reply,
    began: float,
) -> retry_decision.AttemptEnd | None:
    body = await reply.conn.read_whole(_MAX_ANSWER_BYTES)
    head = reply.head
    if not body and answer_check.needs_body(head):
        raise exceptions.ExchangeError("ended before its body")
    if call.responder.started:
        # A stream that has begun can only be resumed by a stream.
        raise exceptions.ExchangeError(
            "resumed stream answered without a stream"
        )
    if head.status >= 500:
        call.site.health.record_error(endpoint.id)
        call.failure = call_mod.Failure(head=head, body=body)
        call.log("Endpoint failed.", endpoint=endpoint.id, status=head.status)
        return retry_decision.AttemptEnd.FAILED
    now = call.site.loop_time()
    if call.route.kind is not model.RouteKind.STREAM:
        call.site.health.record_answer(
            endpoint.id, call.site.endpoint_time_s(now - began), now
        )
    call.on_answer()
    answer_relay.relay_whole(call, head, body)
    call.record_delivered(endpoint, head)
    return None
