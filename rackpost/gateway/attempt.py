"""One attempt: a request to one endpoint, and what comes of it."""

import contextlib
from typing import NamedTuple

from rackpost.decide import retry_decision
from rackpost import exceptions
from rackpost.gateway import answer_check
from rackpost.gateway import answer_relay
from rackpost.gateway import call as call_mod
from rackpost.gateway import endpoint_calls
from rackpost.gateway import rate_grants
from rackpost.http1 import client
from rackpost.http1 import message
from rackpost.platform import headers
from rackpost.routing import endpoints
from rackpost.routing import model

# Answers that are not streams are held until they are whole, so that one
# that is cut can be told from one that is whole.
_MAX_ANSWER = 16 << 20


class Reply(NamedTuple):
    """An endpoint's answer has begun."""

    conn: client.ClientConnection
    head: message.Head


def run_headers(
    call: call_mod.Call, endpoint: endpoints.Endpoint, now: float
) -> list[message.Header]:
    """The headers of a request as this endpoint is sent it."""
    left_ms = max(1, int((call.until - now) * 1000))
    found = list(call.passed)
    if call.last_event is not None:
        found = [item for item in found if item[0] != headers.RESUME_AFTER]
        found.append((headers.RESUME_AFTER, b"%d" % call.last_event))
    found.append((headers.DEADLINE_MS, b"%d" % left_ms))
    found.append((headers.ENDPOINT_ID, endpoint.id.encode()))
    found.append((headers.PRIORITY, b"%d" % min(9, max(0, call.priority))))
    if call.req.has_body:
        found.append((b"content-length", b"%d" % len(call.req.body)))
    return found


def connected(
    call: call_mod.Call, endpoint: endpoints.Endpoint
) -> contextlib.AbstractAsyncContextManager[client.ClientConnection]:
    """A connection to an endpoint; ExchangeError if there is none."""
    return endpoint_calls.connected(call.site, call.service, endpoint)


def granted(
    call: call_mod.Call, endpoint: endpoints.Endpoint
) -> contextlib.AbstractAsyncContextManager[rate_grants.Grant | None]:
    """A grant to send it there, where the endpoint names a rate.

    Raises Barred where there is none now.
    """
    site = call.site
    per_s = site.chooser.candidates.own_rate_per_s(
        endpoint.service,
        endpoint.role,
        exclude=call.not_again,
        now=site.loop_time(),
    )
    # Where one takes what comes, it goes there rather than wait here.
    return site.grants.acquire(
        endpoint, priority=call.priority, waits=per_s is not None
    )


async def send(
    call: call_mod.Call,
    endpoint: endpoints.Endpoint,
    conn: client.ClientConnection,
    extra: list[message.Header],
    grant: rate_grants.Grant | None = None,
) -> Reply:
    """Send the request; returns once the answer's head is there.

    Without a `grant` that is still good it asks for one where one is needed.
    Raises ExchangeError where there is no such answer.
    """
    now = call.site.loop_time()
    if grant is None or not grant.is_for(endpoint, now):
        async with granted(call, endpoint) as found:
            return await _send(call, endpoint, conn, extra, found)
    return await _send(call, endpoint, conn, extra, grant)


async def _send(
    call: call_mod.Call,
    endpoint: endpoints.Endpoint,
    conn: client.ClientConnection,
    extra: list[message.Header],
    grant: rate_grants.Grant | None,
) -> Reply:
    lines = run_headers(call, endpoint, call.site.loop_time()) + extra
    head = await endpoint_calls.request(
        call.site,
        endpoint,
        conn,
        grant=grant,
        head=message.request_head(call.req.method, call.req.target, lines),
        body=call.req.body,
        request_id=call.request_id,
        is_head=call.is_head,
    )
    return Reply(conn, head)


def note_replaced(
    call: call_mod.Call, endpoint: endpoints.Endpoint, head: message.Head
) -> None:
    """Drop an endpoint at whose address another one has answered."""
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
    """Have an endpoint run a request and pass its answer on.

    None once the client has the whole answer.  An own failure of the
    endpoint is kept in `call.failure`.
    """
    try:
        async with connected(call, endpoint) as conn:
            return await run_on(call, endpoint, conn, [])
    except exceptions.ExchangeError as exc:
        return not_connected(call, endpoint, exc)


def not_connected(
    call: call_mod.Call,
    endpoint: endpoints.Endpoint,
    exc: exceptions.ExchangeError,
) -> retry_decision.AttemptEnd:
    """An endpoint takes no connection; the request was not sent."""
    if isinstance(exc, exceptions.EndpointIneligible):
        return _barred(call, endpoint, exc)
    call.tried.append(endpoint.id)
    return _broke(call, endpoint, exc, began=None)


def _barred(
    call: call_mod.Call,
    endpoint: endpoints.Endpoint,
    exc: exceptions.EndpointIneligible,
) -> retry_decision.AttemptEnd:
    """Nothing may be sent there any more since it was chosen.

    That says nothing against the endpoint and uses up no attempt.
    """
    call.log("Not sent.", endpoint=endpoint.id, why=str(exc))
    return retry_decision.AttemptEnd.NOT_SENT


async def run_on(
    call: call_mod.Call,
    endpoint: endpoints.Endpoint,
    conn: client.ClientConnection,
    extra: list[message.Header],
    grant: rate_grants.Grant | None = None,
) -> retry_decision.AttemptEnd | None:
    """As `run`, on a connection that is up, with further headers."""
    began = call.site.loop_time()
    if call.sampled or call.tried:
        _log_choice(call, endpoint, began)
    ran_before = call.may_have_run
    if call.charge is not None:
        call.charge.sent(began)
    call.tried.append(endpoint.id)
    call.may_have_run = True
    try:
        reply = await send(call, endpoint, conn, extra, grant)
        ended = await _take(call, endpoint, reply, began)
    except exceptions.EndpointIneligible as exc:
        call.tried.remove(endpoint.id)
        ended = _barred(call, endpoint, exc)
    except exceptions.ExchangeError as exc:
        ended = _broke(call, endpoint, exc, began=began)
    if ended is not retry_decision.AttemptEnd.NOT_SENT:
        call.sent += 1
    if ended in (
        retry_decision.AttemptEnd.NOT_SENT,
        retry_decision.AttemptEnd.NOT_RUN,
    ):
        call.may_have_run = ran_before
        if call.charge is not None:
            call.charge.not_run(call.site.loop_time())
    else:
        call.ran_at.add(endpoint.id)
    return ended


def _log_choice(
    call: call_mod.Call, endpoint: endpoints.Endpoint, now: float
) -> None:
    """Log where a request goes, and how old what that rests on is."""
    site = call.site
    use = site.loads.total(endpoint.id)
    heard_at = site.table.last_heartbeat_at.get(endpoint.id, now)
    call.log(
        "Sent.",
        endpoint=endpoint.id,
        sequence=endpoint.sequence,
        heard_s=round(now - heard_at, 2),
        under_way=use.requests,
        slots=endpoint.slots,
        rate_per_s=site.eligible.rates.per_s(endpoint),
        gateways=site.gateway_count,
        figures_s=round(site.loads.oldest_age_s(now), 2),
        time_left_s=round(call.until - now, 3),
    )


def _broke(
    call: call_mod.Call,
    endpoint: endpoints.Endpoint,
    exc: exceptions.ExchangeError,
    *,
    began: float | None,
) -> retry_decision.AttemptEnd:
    """Note that an attempt broke, sent at `began`; None if it was not."""
    site = call.site
    now = site.loop_time()
    if not isinstance(exc, exceptions.ConnectionLimitReached):
        site.health.record_failure(endpoint.id, now)
    call.log(
        "Attempt broke.",
        endpoint=endpoint.id,
        born=endpoint.born,
        why=str(exc),
        fingerprint=call.fingerprint.hex(),
        sent_s=None if began is None else round(now - began, 3),
        others=site.loads.total(endpoint.id).requests,
    )
    if not exc.sent:
        return retry_decision.AttemptEnd.NOT_SENT
    if began is not None:
        call.note_broken(endpoint, began=began)
    return retry_decision.AttemptEnd.BROKEN


async def _take(
    call: call_mod.Call,
    endpoint: endpoints.Endpoint,
    reply: Reply,
    began: float,
) -> retry_decision.AttemptEnd | None:
    head = reply.head
    if answer_check.is_not_run(head):
        await reply.conn.read_whole(_MAX_ANSWER)
        _note_not_run(call, endpoint, head)
        return retry_decision.AttemptEnd.NOT_RUN
    why = answer_check.why_unsound(head, call.request_id)
    if why:
        raise exceptions.ExchangeError(why)
    if answer_check.is_stream(head):
        call.site.health.record_answer(
            endpoint.id, call.site.loop_time() - began
        )
        await answer_relay.relay(call, head, reply.conn)
        call.delivered(endpoint, head)
        return None
    return await _take_whole(call, endpoint, reply, began)


def _note_not_run(
    call: call_mod.Call, endpoint: endpoints.Endpoint, head: message.Head
) -> None:
    call.log(
        "Endpoint did not run it.",
        endpoint=endpoint.id,
        status=head.status,
        backoff_s=headers.backoff_s(head),
        leaving=headers.announces_leaving(head),
    )
    note_replaced(call, endpoint, head)
    if head.status == 503:
        call.site.health.record_rejection(endpoint.id, call.site.loop_time())
    if headers.backoff_s(head) is not None:
        call.asked_to_wait.append(endpoint.id)


async def _take_whole(
    call: call_mod.Call,
    endpoint: endpoints.Endpoint,
    reply: Reply,
    began: float,
) -> retry_decision.AttemptEnd | None:
    body = await reply.conn.read_whole(_MAX_ANSWER)
    head = reply.head
    if call.responder.started:
        # A stream can't go on with an answer that is none.
        raise exceptions.ExchangeError("not a stream to go on with")
    if head.status >= 500:
        call.site.health.record_error(endpoint.id)
        call.failure = call_mod.Failure(head=head, body=body)
        call.log("Endpoint failed.", endpoint=endpoint.id, status=head.status)
        return retry_decision.AttemptEnd.FAILED
    took = call.site.loop_time() - began
    if call.route.kind is not model.RouteKind.STREAM:
        call.site.health.record_answer(endpoint.id, took)
    answer_relay.pass_whole(call, head, body)
    call.delivered(endpoint, head)
    return None
