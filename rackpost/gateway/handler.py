"""From a client's request to its route, within its time."""

import asyncio
import math

from rackpost.decide import quota
from rackpost.gateway import call as call_mod
from rackpost.gateway import callers
from rackpost.gateway import charge
from rackpost.gateway import forward
from rackpost.gateway import generate
from rackpost.gateway import site as site_mod
from rackpost.http1 import message
from rackpost.http1 import server
from rackpost import logs
from rackpost.platform import headers
from rackpost.routing import match
from rackpost.routing import model

# A gateway that has just started gets its document this soon, in seconds:
# coordinators that started with it tell it within 0.6 s.  Who asks earlier
# waits for it; refused they come back once, mostly too early again.
_DOCUMENT_S = 2.0
# With no document after that, clients come back after this, in seconds.
_NO_DOCUMENT_S = 0.5
# So many may wait for the document; their bodies are in memory.
_MOST_WAITING = 256
# What an answer needs to reach its client, in seconds: several times the
# usual delay on the way (3 ms).
_WAY_BACK_S = 0.03
# Of requests without a known key one is logged in this long, in seconds.
_NO_KEY_S = 1.0
# Who was over a quota comes back when there is room, later by up to this
# part so that they do not meet, and not at once, in seconds.
_QUOTA_SPREAD = 0.5
_QUOTA_SOONEST_S = 0.4


class Handler:
    """Answers the clients of a gateway."""

    def __init__(self, *, site: site_mod.Site) -> None:
        self._site = site
        self._waiting = 0
        self._no_keys = logs.LineRateLimiter(pause_s=_NO_KEY_S)

    async def handle(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        """Answer one request."""
        began = self._site.loop_time()
        routes = self._site.routes or await self._first_routes(req, began)
        if routes is None:
            self._own(call_mod.Reason.NO_DOCUMENT, req)
            call_mod.refuse(responder, _NO_DOCUMENT_S)
            return
        host = message.find(req.headers, b"host") or b""
        route = routes.find(host.decode("latin-1"), req.path.decode("latin-1"))
        if route is None:
            self._own(call_mod.Reason.NO_ROUTE, req)
            responder.send(404, [], b"")
            return
        caller = callers.Caller(routes=routes, req=req)
        if not caller.may_use(route):
            self._note_no_key(req, route)
            call_mod.ask_for_key(responder)
            return
        name = match.choose_service(route, self._site.rng)
        service = routes.services[name]
        await self._route(req, responder, route, service, caller, began)

    async def _first_routes(
        self, req: message.Request, now: float
    ) -> match.RouteTable | None:
        """The routes of a gateway that has just started, when they come."""
        site = self._site
        until = min(site.began + _DOCUMENT_S, now + _client_s(req))
        if until <= now or self._waiting >= _MOST_WAITING:
            return None
        self._waiting += 1
        try:
            async with asyncio.timeout_at(until):
                await site.routed.wait()
        except TimeoutError:
            return None
        finally:
            self._waiting -= 1
        return site.routes

    def _note_no_key(self, req: message.Request, route: model.Route) -> None:
        """Count each; who tries keys does not fill the log."""
        reason = call_mod.Reason.NO_KEY
        self._site.metrics.count("own_answers", reason, route.name)
        more = self._no_keys.allow(self._site.loop_time())
        if more is not None:
            self._say_own(reason, req, route=route.name, more=more)

    def _own(self, reason: call_mod.Reason, req: message.Request) -> None:
        self._site.metrics.count("own_answers", reason)
        self._say_own(reason, req)

    def _say_own(
        self, reason: call_mod.Reason, req: message.Request, **fields: object
    ) -> None:
        ident = message.find(req.headers, headers.REQUEST_ID) or b""
        logs.say(
            logs.Part.GATEWAY,
            "Not routed.",
            request=ident.decode("latin-1"),
            reason=reason.value,
            version=self._site.version,
            **fields,
        )

    async def _route(
        self,
        req: message.Request,
        responder: server.Responder,
        route: model.Route,
        service: model.Service,
        caller: callers.Caller,
        began: float,
    ) -> None:
        until = began + min(route.timeout_s, _client_s(req))
        if not self._site.planned_stop.may_begin(until):
            # Begun now it might be cut off at the end of the grace time.
            self._own(call_mod.Reason.STOPPING, req)
            call_mod.refuse(responder, call_mod.ELSEWHERE_S)
            return
        call = call_mod.Call(
            site=self._site,
            req=req,
            responder=responder,
            route=route,
            service=service,
            caller=caller,
            began=began,
            until=until,
        )
        call.budget.record_request(self._site.loop_time())
        if call.end_if_barred() or self._is_over_quota(call):
            return
        try:
            await self._answer_in_time(call)
        finally:
            if call.charge is not None:
                call.charge.end(self._site.loop_time())

    def _is_over_quota(self, call: call_mod.Call) -> bool:
        """Refuse what is over its organisation's quota; else charge it."""
        item = call.caller.organisation
        if item is None or item.quota is None:
            return False
        site = self._site
        now = site.loop_time()
        wanted = charge.units(item.quota, call.req)
        refused = site.quotas.check(item, wanted, now)
        if refused is not None:
            site.quota_use.record_refused(item.name, now)
            self._refuse_over(call, wanted, refused)
            return True
        site.quota_use.record_admitted(item.name, wanted, now)
        call.charge = charge.Charge(
            quotas=site.quotas, organisation=item, units=wanted, now=now
        )
        return False

    def _refuse_over(
        self, call: call_mod.Call, wanted: int, refused: quota.OverQuota
    ) -> None:
        site = self._site
        call.log(
            "Over quota.",
            units=wanted,
            used=round(refused.used),
            bound=round(refused.bound),
            room_s=round(refused.retry_after_s, 2),
            gateways=site.gateway_count,
            heard=site.quotas.reachable_gateways(site.loop_time()),
            figures_s=round(site.loads.oldest_age_s(site.loop_time()), 2),
        )
        spread = 1.0 + _QUOTA_SPREAD * site.rng.random()
        after_s = max(_QUOTA_SOONEST_S, refused.retry_after_s) * spread
        call.refuse(call_mod.Reason.OVER_QUOTA, after_s, status=429)

    async def _answer_in_time(self, call: call_mod.Call) -> None:
        try:
            async with asyncio.timeout_at(call.until):
                await self._answer(call)
        except TimeoutError:
            self._time_up(call)
        except asyncio.CancelledError:
            self._note_left(call)
            raise

    def _note_left(self, call: call_mod.Call) -> None:
        self._site.metrics.count("left", call_mod.Reason.TIME_UP)
        if call.sampled:
            after_s = self._site.loop_time() - call.began
            call.log("Client left.", after_s=round(after_s, 3))

    async def _answer(self, call: call_mod.Call) -> None:
        engine = call.service.engine
        if engine is None:
            await forward.forward(call)
        else:
            await generate.generate(call, engine)

    def _time_up(self, call: call_mod.Call) -> None:
        if call.may_have_run:
            call.fail(call_mod.Reason.TIME_UP, 504)
        else:
            call.refuse(call_mod.Reason.TIME_UP, forward.come_back_s(call))


def _client_s(req: message.Request) -> float:
    """How long the client waits for its answer, in seconds."""
    told = headers.whole(message.find(req.headers, headers.DEADLINE_MS))
    if told is None:
        return math.inf
    # The answer should be there before the client gives up.
    return max(0.0, told / 1000.0 - _WAY_BACK_S)
