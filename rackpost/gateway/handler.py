"""Finds the route of a client's request and answers it in time."""

import asyncio
import math
from typing import NamedTuple

from rackpost.decide import quota
from rackpost.decide import stream_origins
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
from rackpost import types

# A gateway receives its routing document within this time after its start, in
# seconds; earlier requests wait for it.  Refused clients return once, mostly
# too early.
_DOCUMENT_WAIT_S = 2.0
# Retry-After where there is still no document, in seconds.
_NO_DOCUMENT_RETRY_AFTER_S = 0.5
# Retry-After of a resumed stream that can go on at no endpoint, in seconds:
# what is known of it does not change soon.
_NOT_RESUMED_RETRY_AFTER_S = 1.0
# Bounds the requests whose bodies are in memory meanwhile.
_MAX_WAITING = 256
# Time for an answer to reach its client, in seconds.
_RETURN_DELAY_S = 0.03
# Interval between log lines on requests without a known key, in seconds.
_NO_KEY_LOG_INTERVAL_S = 1.0
# Retry-After of requests over quota: spread by up to this share, and at least
# this many seconds.
_QUOTA_RETRY_SPREAD = 0.5
_MIN_QUOTA_RETRY_AFTER_S = 0.4


class _Routed(NamedTuple):
    """The route of a request, and who sent it."""

    route: model.Route
    caller: callers.Caller


class _Target(NamedTuple):
    """The service of a request, and where the stream began that it resumes."""

    service: types.ServiceName
    origin: stream_origins.StreamOrigin | None


class Handler:
    """Answers the clients of a gateway."""

    def __init__(self, *, site: site_mod.Site) -> None:
        self._site = site
        self._waiting = 0
        self._no_key_log = logs.LineRateLimiter(pause_s=_NO_KEY_LOG_INTERVAL_S)

    async def handle(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        """Answer one request."""
        began = self._site.loop_time()
        routes = self._site.routes or await self._wait_for_routes(req, began)
        if routes is None:
            self._count_own_answer(call_mod.Reason.NO_DOCUMENT, req)
            call_mod.refuse(responder, _NO_DOCUMENT_RETRY_AFTER_S)
            return
        routed = self._route(routes, req, responder)
        if routed is None:
            return
        origin = None
        if _resumes_stream(routed.route, req):
            origin = await self._find_origin(routed, req)
            if origin is None:
                reason = call_mod.Reason.ORIGIN_UNKNOWN
                self._refuse_resumed(reason, req, responder)
                return
            # The routes may have changed meanwhile.
            routed = self._route(routes, req, responder)
            if routed is None:
                return
        target = self._target(routed.route, origin)
        if isinstance(target, call_mod.Reason):
            self._refuse_resumed(target, req, responder)
            return
        service = routes.services[target.service]
        await self._handle_routed(
            req, responder, routed, service, target.origin, began
        )

    def _target(
        self,
        route: model.Route,
        origin: stream_origins.StreamOrigin | None,
    ) -> _Target | call_mod.Reason:
        """Return where a request goes, or why its stream can't be resumed.

        `origin` is where the stream began that the request resumes.
        """
        if origin is None:
            name = match.choose_service(route, self._site.rng)
            return _Target(name, None)
        if origin.service in route.services:
            return _Target(origin.service, origin)
        return call_mod.Reason.VERSION_GONE

    def _route(
        self,
        routes: match.RouteTable,
        req: message.Request,
        responder: server.Responder,
    ) -> _Routed | None:
        """Return a request's route and caller; None if it was answered."""
        host = message.find(req.headers, b"host") or b""
        route = routes.find(host.decode("latin-1"), req.path.decode("latin-1"))
        if route is None:
            self._count_own_answer(call_mod.Reason.NO_ROUTE, req)
            responder.send(404, [], b"")
            return None
        caller = callers.Caller(routes=routes, req=req)
        if not caller.may_use(route):
            self._record_no_key(req, route)
            call_mod.require_key(responder)
            return None
        return _Routed(route, caller)

    def _refuse_resumed(
        self,
        reason: call_mod.Reason,
        req: message.Request,
        responder: server.Responder,
    ) -> None:
        """Refuse a request whose stream can't be resumed."""
        self._site.metrics.count("own_answers", reason)
        self._log_own_answer(
            reason, req, first_request=_header(req, headers.RESUMES)
        )
        call_mod.refuse(responder, _NOT_RESUMED_RETRY_AFTER_S)

    async def _find_origin(
        self, routed: _Routed, req: message.Request
    ) -> stream_origins.StreamOrigin | None:
        """Return where the stream began that a request resumes.

        A client that does not name the request that began it may have kept
        that request's id.
        """
        first = message.find(req.headers, headers.RESUMES)
        if first is None:
            sole = self._sole_origin(routed.route, req)
            if sole is not None:
                return sole
            first = message.find(req.headers, headers.REQUEST_ID)
        return await self._site.origins.find(
            stream_origins.stream_key(
                types.OrganisationName(routed.caller.name), first or b""
            )
        )

    def _sole_origin(
        self, route: model.Route, req: message.Request
    ) -> stream_origins.StreamOrigin | None:
        """Return where all streams of a route began that may be resumed."""
        if len(route.services) != 1:
            return None
        return self._site.versions.sole_origin(
            next(iter(route.services)),
            call_mod.stream_lifetime_s(route, req),
            self._site.loop_time(),
        )

    async def _wait_for_routes(
        self, req: message.Request, now: float
    ) -> match.RouteTable | None:
        """Wait for the routing document after the gateway's start."""
        site = self._site
        deadline = min(
            site.started_at + _DOCUMENT_WAIT_S, now + _client_timeout_s(req)
        )
        if deadline <= now or self._waiting >= _MAX_WAITING:
            return None
        self._waiting += 1
        try:
            async with asyncio.timeout_at(deadline):
                await site.routes_loaded.wait()
        except TimeoutError:
            return None
        finally:
            self._waiting -= 1
        return site.routes

    def _record_no_key(self, req: message.Request, route: model.Route) -> None:
        """Count a request without a known key; log only some of them."""
        reason = call_mod.Reason.NO_KEY
        self._site.metrics.count("own_answers", reason, route.name)
        more = self._no_key_log.allow(self._site.loop_time())
        if more is not None:
            self._log_own_answer(reason, req, route=route.name, more=more)

    def _count_own_answer(
        self, reason: call_mod.Reason, req: message.Request
    ) -> None:
        self._site.metrics.count("own_answers", reason)
        self._log_own_answer(reason, req)

    def _log_own_answer(
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

    async def _handle_routed(
        self,
        req: message.Request,
        responder: server.Responder,
        routed: _Routed,
        service: model.Service,
        origin: stream_origins.StreamOrigin | None,
        began: float,
    ) -> None:
        route = routed.route
        deadline = began + min(route.timeout_s, _client_timeout_s(req))
        if not self._may_start(route, service, deadline):
            # It might be interrupted at the end of the grace time.
            self._count_own_answer(call_mod.Reason.STOPPING, req)
            call_mod.refuse(responder, call_mod.STOPPING_RETRY_AFTER_S)
            return
        call = call_mod.Call(
            site=self._site,
            req=req,
            responder=responder,
            route=route,
            service=service,
            caller=routed.caller,
            began=began,
            deadline=deadline,
            origin=origin,
        )
        call.retry_budget.record_request(self._site.loop_time())
        if origin is not None:
            call.log(
                "Client resumes a stream.",
                service=origin.service,
                software=origin.software,
                first_request=_header(req, headers.RESUMES),
                after_event=_header(req, headers.RESUME_AFTER),
                found_after_s=round(self._site.loop_time() - began, 3),
            )
        if call.end_if_blocked() or self._is_over_quota(call):
            return
        try:
            await self._answer_in_time(call)
        finally:
            if call.charge is not None:
                call.charge.release(self._site.loop_time())

    def _may_start(
        self, route: model.Route, service: model.Service, deadline: float
    ) -> bool:
        """Whether a planned stop leaves time for a request."""
        stop = self._site.planned_stop
        if not stop.has_begun:
            return True
        now = self._site.loop_time()
        expected_s = self._site.durations.longest_s(service.name, now)
        return stop.may_start(
            deadline=deadline,
            now=now,
            # Generations are estimated by their sizes where they wait.
            expected_s=expected_s if service.engine is None else 0.0,
            is_repeatable=route.repeatable,
        )

    def _is_over_quota(self, call: call_mod.Call) -> bool:
        """Refuse a request over its organisation's quota, else charge it."""
        organisation = call.caller.organisation
        if organisation is None or organisation.quota is None:
            return False
        site = self._site
        now = site.loop_time()
        units = charge.units(organisation.quota, call.req)
        over_quota = site.quotas.check(organisation, units, now)
        if over_quota is not None:
            site.quota_use.record_refused(organisation.name, now)
            self._refuse_over_quota(call, units, over_quota)
            return True
        site.quota_use.record_admitted(organisation.name, units, now)
        call.charge = charge.Charge(
            quotas=site.quotas, organisation=organisation, units=units, now=now
        )
        return False

    def _refuse_over_quota(
        self, call: call_mod.Call, units: int, over_quota: quota.OverQuota
    ) -> None:
        site = self._site
        call.log(
            "Over quota.",
            units=units,
            used=round(over_quota.used),
            bound=round(over_quota.bound),
            room_s=round(over_quota.retry_after_s, 2),
            gateways=site.gateway_count,
            heard=site.quotas.reachable_gateways(site.loop_time()),
            figures_s=round(site.loads.oldest_age_s(site.loop_time()), 2),
        )
        factor = 1.0 + _QUOTA_RETRY_SPREAD * site.rng.random()
        after_s = (
            max(_MIN_QUOTA_RETRY_AFTER_S, over_quota.retry_after_s) * factor
        )
        call.refuse(call_mod.Reason.OVER_QUOTA, after_s, status=429)

    async def _answer_in_time(self, call: call_mod.Call) -> None:
        try:
            async with asyncio.timeout_at(call.deadline):
                await self._answer(call)
        except TimeoutError:
            self._on_timeout(call)
        except asyncio.CancelledError:
            if self._site.planned_stop.has_ended(self._site.loop_time()):
                self._end_at_stop(call)
            else:
                self._record_left(call)
            raise

    def _end_at_stop(self, call: call_mod.Call) -> None:
        """Answer a request for which the planned stop left too little time."""
        if call.responder.ended:
            return
        if call.may_have_run or call.responder.started:
            call.fail(call_mod.Reason.STOPPING, 502)
        else:
            call.refuse(
                call_mod.Reason.STOPPING, call_mod.STOPPING_RETRY_AFTER_S
            )

    def _record_left(self, call: call_mod.Call) -> None:
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

    def _on_timeout(self, call: call_mod.Call) -> None:
        call.record_duration()
        if call.may_have_run:
            call.fail(call_mod.Reason.TIME_UP, 504)
        else:
            call.refuse(call_mod.Reason.TIME_UP, forward.retry_after_s(call))


def _resumes_stream(route: model.Route, req: message.Request) -> bool:
    """Whether the client has events of the stream from an earlier request."""
    return (
        route.kind is model.RouteKind.STREAM
        and message.find(req.headers, headers.RESUME_AFTER) is not None
    )


def _header(req: message.Request, name: bytes) -> str:
    """Return a header's value for the log."""
    return (message.find(req.headers, name) or b"").decode("latin-1")


def _client_timeout_s(req: message.Request) -> float:
    """Return how long the client waits for its answer, in seconds."""
    deadline_ms = headers.parse_int(
        message.find(req.headers, headers.DEADLINE_MS)
    )
    if deadline_ms is None:
        return math.inf
    # Leave time for the answer to arrive.
    return max(0.0, deadline_ms / 1000.0 - _RETURN_DELAY_S)
