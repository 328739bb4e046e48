"""Requests to plain services: choose, send, repeat where that is right."""

from rackpost.decide import forwarding
from rackpost.gateway import attempt
from rackpost.gateway import call as call_mod
from rackpost.routing import endpoints

# Whoever was refused comes back after this long, in seconds, spread so
# that a crowd does not come back at once.
_COME_BACK_S = 0.25
_COME_BACK_SPREAD_S = 0.5


def come_back_s(call: call_mod.Call) -> float:
    """When a refused client should come back, in seconds."""
    return _COME_BACK_S + _COME_BACK_SPREAD_S * call.site.rng.random()


async def forward(call: call_mod.Call) -> None:
    """Answer a request for a plain service."""
    while True:
        endpoint = _choose(call)
        if endpoint is None:
            give_up(call, call_mod.Reason.NO_ENDPOINT)
            return
        with call.site.loads.held(endpoint.id):
            ended = await attempt.run(call, endpoint)
        if ended is None or not goes_on(call, ended):
            return


def _choose(call: call_mod.Call) -> endpoints.Endpoint | None:
    site = call.site
    now = site.loop_time()
    name = call.service.name
    return site.chooser.plain(name, but=call.tried, now=now)


def goes_on(call: call_mod.Call, ended: forwarding.Ended) -> bool:
    """Whether to try again; if not, the client has been told."""
    now = call.site.loop_time()
    step = forwarding.after(ended, call.situation(now))
    if step is forwarding.Next.AGAIN:
        if ended is not forwarding.Ended.NOT_SENT:
            call.budget.repeat(now)
            call.site.metrics.count("repeats", ended, call.route.name)
            call.log(
                "Tried again.",
                after=ended.value,
                budget_left=round(
                    call.budget.left(now, call.site.gateway_count), 1
                ),
            )
        return True
    if step is forwarding.Next.PASS and call.failure is not None:
        head, body = call.failure
        attempt.pass_whole(call, head, body)
    elif step is forwarding.Next.REFUSE:
        call.refuse(call_mod.Reason.REJECTED, come_back_s(call))
    else:
        call.fail(call_mod.Reason.BROKEN, 502)
    return False


def give_up(call: call_mod.Call, reason: call_mod.Reason) -> None:
    """Nothing is left to try."""
    if call.failure is not None and not call.responder.started:
        head, body = call.failure
        attempt.pass_whole(call, head, body)
    elif call.may_have_run:
        call.fail(reason, 502)
    else:
        call.refuse(reason, come_back_s(call))
