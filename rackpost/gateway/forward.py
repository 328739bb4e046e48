"""Requests to plain services: choose an endpoint, send, retry."""

import asyncio

from rackpost.decide import admission
from rackpost.decide import plain_queue
from rackpost.decide import retry_decision
from rackpost.gateway import answer_relay
from rackpost.gateway import attempt
from rackpost.gateway import call as call_mod
from rackpost.gateway import second_read
from rackpost.routing import endpoints
from rackpost import types

# Retry-After of refused requests, in seconds: a minimum and a random part that
# spreads their retries.
_MIN_RETRY_AFTER_S = 0.25
_RETRY_AFTER_SPREAD_S = 0.5
# After its start a gateway learns of the endpoints within two of their
# heartbeats; requests wait for them this long, in seconds.
_STARTUP_WAIT_S = 2.5
# Interval at which waiting requests look for an endpoint, in seconds.
_CHECK_INTERVAL_S = 0.03
# Upper bound of the interval while no endpoint is available, in seconds.
_MAX_CHECK_INTERVAL_S = 0.25


def retry_after_s(call: call_mod.Call) -> float:
    """Return when a refused client should retry, in seconds.

    Not before an endpoint is available; where all endpoints name a rate,
    retries are spaced at that rate.
    """
    site = call.site
    available_in_s = _available_in_s(call) or 0.0
    rate_per_s = _own_rate_per_s(call)
    if rate_per_s is not None:
        queue = site.plain_queue(call.service.name)
        available_in_s = queue.retry_after_s(
            available_in_s, rate_per_s, site.loop_time()
        )
    spread_s = _RETRY_AFTER_SPREAD_S * site.rng.random()
    return max(_MIN_RETRY_AFTER_S, available_in_s) + spread_s


async def forward(call: call_mod.Call) -> None:
    """Answer a request for a plain service."""
    while True:
        endpoint = _choose_in_turn(call) or await _wait_for_endpoint(call)
        if call.end_if_blocked():
            return
        if endpoint is None:
            give_up(call, call_mod.Reason.NO_ENDPOINT)
            return
        if not call.tried and _refuse_if_late(call, endpoint):
            return
        if await _send(call, endpoint):
            return


async def _send(call: call_mod.Call, endpoint: endpoints.Endpoint) -> bool:
    """Send the request; return whether the client has been answered."""
    site = call.site
    began = site.loop_time()
    site.chooser.candidates.record_selection(endpoint, began)
    if second_read.applies(call):
        ahead = site.loads.total(endpoint.id).requests + 1
        ended = await second_read.run(call, endpoint)
    else:
        with site.loads.request_added(endpoint.id):
            ahead = site.loads.total(endpoint.id).requests
            ended = await attempt.run(call, endpoint)
    if ended is not None:
        return not retry_or_answer(call, ended)
    took = site.endpoint_time_s(site.loop_time() - began)
    if took is not None:
        rounds = ahead / max(1, endpoint.slots)
        site.health.record_work(endpoint.id, took, rounds)
    return True


def _refuse_if_late(call: call_mod.Call, endpoint: endpoints.Endpoint) -> bool:
    """Refuse a request that would be late or delay others too much.

    Returns whether it was refused.  Not while this gateway itself is delayed:
    what is in flight does not show then that the endpoints are busy.
    """
    site = call.site
    if site.overload.is_delayed:
        return False
    now = site.loop_time()
    key = site.refusals.key(call.route.name, call.req.target, call.req.body)
    arrival = admission.Arrival(
        ahead=site.loads.total(endpoint.id).requests,
        slots=endpoint.slots,
        work_s=site.health.work_s(endpoint.id),
        target_s=call.route.target_s,
        remaining_s=call.deadline - now,
        refused_before=site.refusals.was_refused(key, now),
    )
    if not admission.should_refuse(arrival):
        return False
    call.log(
        "Would be late.",
        endpoint=endpoint.id,
        ahead=arrival.ahead,
        slots=arrival.slots,
        came_back=arrival.refused_before,
        expected_s=round(admission.expected_s(arrival), 3),
    )
    site.refusals.add(key, now)
    retry_after = admission.retry_after_s(arrival, site.rng.random())
    call.refuse(call_mod.Reason.WOULD_BE_LATE, retry_after)
    return True


def _choose(call: call_mod.Call) -> endpoints.Endpoint | None:
    site = call.site
    now = site.loop_time()
    name = call.service.name
    return site.chooser.choose_plain(
        name, exclude=call.excluded_endpoints, now=now
    )


def _role(call: call_mod.Call) -> types.Role:
    """Return the role of the endpoints that answer the request."""
    if call.service.engine is None:
        return types.Role.PLAIN
    return types.Role.DECODE


def _available_in_s(call: call_mod.Call) -> float | None:
    """Return the time until an endpoint is available, in seconds.

    None where there is no endpoint, or the time is not known.
    """
    site = call.site
    return site.chooser.candidates.available_in_s(
        call.service.name,
        _role(call),
        exclude=call.excluded_endpoints,
        now=site.loop_time(),
    )


def _rank(call: call_mod.Call) -> plain_queue.Rank:
    return plain_queue.Rank(priority=call.priority, deadline=call.deadline)


def _choose_in_turn(call: call_mod.Call) -> endpoints.Endpoint | None:
    """Do as `_choose`, unless other waiting requests are ahead."""
    queue = call.site.plain_queue(call.service.name)
    if not queue.may_check(_rank(call), call.site.loop_time()):
        return None
    return _choose(call)


def _own_rate_per_s(call: call_mod.Call) -> float | None:
    """Return the requests a second that endpoints accept from here.

    None unless all endpoints name a rate.
    """
    site = call.site
    return site.chooser.candidates.own_rate_per_s(
        call.service.name,
        _role(call),
        exclude=call.excluded_endpoints,
        now=site.loop_time(),
    )


async def _wait_for_endpoint(call: call_mod.Call) -> endpoints.Endpoint | None:
    """Wait for an endpoint; None if none will be available in time."""
    return await _wait_for_first_endpoint(call) or await _wait_until_available(
        call
    )


async def _wait_until_available(
    call: call_mod.Call,
) -> endpoints.Endpoint | None:
    """Wait until a back-off ends or a rate allows the next request.

    A refused caller would retry the same endpoints with less time left, so
    that requests wait while they can still be answered in time.  Returns None
    for those that can't.
    """
    site = call.site
    queue = site.plain_queue(call.service.name)
    with queue.join(_rank(call)) as waiter:
        while True:
            available_in_s = _available_in_s(call)
            if available_in_s is None or _is_too_late(call, available_in_s):
                return None
            # Bounds the CPU time of many waiting requests; an endpoint that
            # appears meanwhile is used a little later.
            pause_s = min(
                max(available_in_s, _CHECK_INTERVAL_S), _MAX_CHECK_INTERVAL_S
            )
            waiter.next_check_at = site.loop_time() + pause_s
            await asyncio.sleep(pause_s)
            endpoint = _choose_in_turn(call)
            if endpoint is not None:
                return endpoint


def _is_too_late(call: call_mod.Call, available_in_s: float) -> bool:
    """Whether the request would miss its deadline in the queue."""
    site = call.site
    name = call.service.name
    answer_s = site.chooser.median_answer_s(name, _role(call))
    wait_s = plain_queue.expected_wait_s(
        ahead=site.plain_queue(name).ahead(_rank(call)),
        count=len(site.chooser.candidates.members(name, _role(call))),
        answer_s=answer_s,
        available_in_s=available_in_s,
        rate_per_s=_own_rate_per_s(call),
    )
    return site.loop_time() + wait_s + answer_s > call.deadline


async def _wait_for_first_endpoint(
    call: call_mod.Call,
) -> endpoints.Endpoint | None:
    """Wait for the first endpoint known after the gateway's start."""
    site = call.site
    if call.tried:
        return None
    endpoint = None
    while (
        endpoint is None
        and site.loop_time() < site.started_at + _STARTUP_WAIT_S
    ):
        await asyncio.sleep(_CHECK_INTERVAL_S)
        endpoint = _choose(call)
    return endpoint


def retry_or_answer(
    call: call_mod.Call, ended: retry_decision.AttemptEnd
) -> bool:
    """Return whether to retry; if not, the client has been answered."""
    now = call.site.loop_time()
    step = retry_decision.next_step(ended, call.situation(now))
    if step is retry_decision.NextStep.RETRY:
        if ended is not retry_decision.AttemptEnd.NOT_SENT:
            call.retry_budget.record_retry(now)
            call.site.metrics.count("repeats", ended, call.route.name)
            second_read.record_retry(call, now)
            call.log(
                "Tried again.",
                after=ended.value,
                budget_left=round(
                    call.retry_budget.remaining(now, call.site.gateway_count),
                    1,
                ),
            )
        return True
    if step is retry_decision.NextStep.PASS_ON and call.failure is not None:
        answer_relay.relay_whole(call, call.failure.head, call.failure.body)
    elif step is retry_decision.NextStep.REFUSE:
        call.refuse(call_mod.Reason.REJECTED, retry_after_s(call))
    else:
        call.fail(call_mod.Reason.BROKEN, 502)
    return False


def end_if_version_gone(call: call_mod.Call) -> bool:
    """End a begun stream if its version was replaced by another.

    Returns whether it was ended.  While no other version is there, or the
    gateway has just started, an endpoint may still come back.
    """
    site = call.site
    if (
        call.origin is None
        or not call.other_versions
        or site.loop_time() < site.started_at + _STARTUP_WAIT_S
    ):
        return False
    available_in_s = site.chooser.candidates.available_in_s(
        call.service.name,
        _role(call),
        exclude=call.other_versions,
        now=site.loop_time(),
    )
    if available_in_s is not None:
        return False
    call.log(
        "No endpoint has the stream's version.",
        software=call.origin.software,
        after_event=call.last_event_id,
    )
    give_up(call, call_mod.Reason.VERSION_GONE)
    return True


def give_up(call: call_mod.Call, reason: call_mod.Reason) -> None:
    """Answer the client after the last attempt."""
    if call.failure is not None and not call.responder.started:
        answer_relay.relay_whole(call, call.failure.head, call.failure.body)
    elif call.may_have_run:
        call.fail(reason, 502)
    else:
        call.refuse(reason, retry_after_s(call))
