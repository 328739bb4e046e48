"""Requests to plain services: choose, send, repeat where that is right."""

import asyncio

from rackpost.decide import admission
from rackpost.decide import plain_queue
from rackpost.decide import retry_decision
from rackpost.gateway import answer_relay
from rackpost.gateway import attempt
from rackpost.gateway import call as call_mod
from rackpost.routing import endpoints
from rackpost import types

# Whoever was refused comes back after this long, in seconds, spread so
# that a crowd does not come back at once.
_COME_BACK_S = 0.25
_COME_BACK_SPREAD_S = 0.5
# A gateway that has just started hears of the endpoints within two of
# their heartbeats (1.2 s each); who asks before then waits, in seconds.
_HEARD_S = 2.5
# How often those that wait look for an endpoint, in seconds.
_LOOK_S = 0.03
# The same where it is known that there is none before, in seconds.
_LOOK_AGAIN_S = 0.25


def come_back_s(call: call_mod.Call) -> float:
    """When a refused client should come back, in seconds.

    Not before an endpoint may be sent anything; where all name a rate, in
    the order in which they were refused.
    """
    site = call.site
    opens_s = _opens_s(call) or 0.0
    per_s = _own_per_s(call)
    if per_s is not None:
        line = site.line(call.service.name)
        opens_s = line.retry_after_s(opens_s, per_s, site.loop_time())
    spread_s = _COME_BACK_SPREAD_S * site.rng.random()
    return max(_COME_BACK_S, opens_s) + spread_s


async def forward(call: call_mod.Call) -> None:
    """Answer a request for a plain service."""
    while True:
        endpoint = _choose_in_turn(call) or await _wait_for_one(call)
        if call.end_if_barred():
            return
        if endpoint is None:
            give_up(call, call_mod.Reason.NO_ENDPOINT)
            return
        if not call.tried and _comes_back(call, endpoint):
            return
        if await _send(call, endpoint):
            return


async def _send(call: call_mod.Call, endpoint: endpoints.Endpoint) -> bool:
    """Send it there; whether the client has been answered."""
    site = call.site
    began = site.loop_time()
    site.chooser.candidates.record_selection(endpoint, began)
    with site.loads.request_added(endpoint.id):
        ahead = site.loads.total(endpoint.id).requests
        ended = await attempt.run(call, endpoint)
    if ended is not None:
        return not goes_on(call, ended)
    took = site.loop_time() - began
    site.health.record_work(endpoint.id, took, ahead / max(1, endpoint.slots))
    return True


def _comes_back(call: call_mod.Call, endpoint: endpoints.Endpoint) -> bool:
    """Refuse a request that would be late, or make others late."""
    site = call.site
    now = site.loop_time()
    key = site.refused.key(call.route.name, call.req.target, call.req.body)
    arrival = admission.Arrival(
        ahead=site.loads.total(endpoint.id).requests,
        slots=endpoint.slots,
        work_s=site.health.work_s(endpoint.id),
        target_s=call.route.target_s,
        remaining_s=call.until - now,
        refused_before=site.refused.was_refused(key, now),
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
    site.refused.add(key, now)
    after = admission.retry_after_s(arrival, site.rng.random())
    call.refuse(call_mod.Reason.WOULD_BE_LATE, after)
    return True


def _choose(call: call_mod.Call) -> endpoints.Endpoint | None:
    site = call.site
    now = site.loop_time()
    name = call.service.name
    return site.chooser.choose_plain(name, exclude=call.not_again, now=now)


def _role(call: call_mod.Call) -> types.Role:
    """The role of the endpoints that make its answer."""
    if call.service.engine is None:
        return types.Role.PLAIN
    return types.Role.DECODE


def _opens_s(call: call_mod.Call) -> float | None:
    """How long all endpoints still want nothing, in seconds.

    None where there is none, or they don't say.
    """
    site = call.site
    return site.chooser.candidates.available_in_s(
        call.service.name,
        _role(call),
        exclude=call.not_again,
        now=site.loop_time(),
    )


def _rank(call: call_mod.Call) -> plain_queue.Rank:
    return plain_queue.Rank(priority=call.priority, deadline=call.until)


def _choose_in_turn(call: call_mod.Call) -> endpoints.Endpoint | None:
    """As `_choose`, unless others that wait go first."""
    line = call.site.line(call.service.name)
    if not line.may_check(_rank(call), call.site.loop_time()):
        return None
    return _choose(call)


def _own_per_s(call: call_mod.Call) -> float | None:
    """Requests a second that endpoints take from here, if all name a rate."""
    site = call.site
    return site.chooser.candidates.own_rate_per_s(
        call.service.name,
        _role(call),
        exclude=call.not_again,
        now=site.loop_time(),
    )


async def _wait_for_one(call: call_mod.Call) -> endpoints.Endpoint | None:
    """An endpoint that can be had soon enough; None if there is none."""
    return await _first_endpoint(call) or await _when_one_opens(call)


async def _when_one_opens(call: call_mod.Call) -> endpoints.Endpoint | None:
    """The first endpoint that takes a request again, when it is its turn.

    After a back-off, or when its rate allows the next.  Who can still be
    answered by it waits: a refusal would bring its caller back to the same
    endpoints, with less time.  Who can't is told at once.
    """
    site = call.site
    line = site.line(call.service.name)
    with line.join(_rank(call)) as waiter:
        while True:
            opens_s = _opens_s(call)
            if opens_s is None or _is_too_late(call, opens_s):
                return None
            # A hundred that wait must not keep a small VM busy; one that
            # comes new meanwhile is found a little later.
            pause_s = min(max(opens_s, _LOOK_S), _LOOK_AGAIN_S)
            waiter.next_check_at = site.loop_time() + pause_s
            await asyncio.sleep(pause_s)
            endpoint = _choose_in_turn(call)
            if endpoint is not None:
                return endpoint


def _is_too_late(call: call_mod.Call, opens_s: float) -> bool:
    """Whether it can't be answered in time, of all that wait."""
    site = call.site
    name = call.service.name
    answer_s = site.chooser.median_answer_s(name, _role(call))
    wait_s = plain_queue.expected_wait_s(
        ahead=site.line(name).ahead(_rank(call)),
        count=len(site.chooser.candidates.members(name, _role(call))),
        answer_s=answer_s,
        available_in_s=opens_s,
        rate_per_s=_own_per_s(call),
    )
    return site.loop_time() + wait_s + answer_s > call.until


async def _first_endpoint(
    call: call_mod.Call,
) -> endpoints.Endpoint | None:
    """The first endpoint that a gateway hears of after its start."""
    site = call.site
    if call.tried:
        return None
    endpoint = None
    while endpoint is None and site.loop_time() < site.began + _HEARD_S:
        await asyncio.sleep(_LOOK_S)
        endpoint = _choose(call)
    return endpoint


def goes_on(call: call_mod.Call, ended: retry_decision.AttemptEnd) -> bool:
    """Whether to try again; if not, the client has been told."""
    now = call.site.loop_time()
    step = retry_decision.next_step(ended, call.situation(now))
    if step is retry_decision.NextStep.RETRY:
        if ended is not retry_decision.AttemptEnd.NOT_SENT:
            call.budget.record_retry(now)
            call.site.metrics.count("repeats", ended, call.route.name)
            call.log(
                "Tried again.",
                after=ended.value,
                budget_left=round(
                    call.budget.remaining(now, call.site.gateway_count), 1
                ),
            )
        return True
    if step is retry_decision.NextStep.PASS_ON and call.failure is not None:
        answer_relay.pass_whole(call, call.failure.head, call.failure.body)
    elif step is retry_decision.NextStep.REFUSE:
        call.refuse(call_mod.Reason.REJECTED, come_back_s(call))
    else:
        call.fail(call_mod.Reason.BROKEN, 502)
    return False


def give_up(call: call_mod.Call, reason: call_mod.Reason) -> None:
    """Nothing is left to try."""
    if call.failure is not None and not call.responder.started:
        answer_relay.pass_whole(call, call.failure.head, call.failure.body)
    elif call.may_have_run:
        call.fail(reason, 502)
    else:
        call.refuse(reason, come_back_s(call))
