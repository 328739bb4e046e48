"""One client's request on its way through a gateway."""

import enum
import functools
from typing import Callable
from typing import NamedTuple

from rackpost import crash_tracker
from rackpost.decide import fingerprint
from rackpost.decide import part_soundness
from rackpost.decide import retry_decision
from rackpost.decide import stream_origins
from rackpost import exceptions
from rackpost.gateway import callers
from rackpost.gateway import charge as charge_mod
from rackpost.gateway import site as site_mod
from rackpost.gateway import stream_times
from rackpost.http1 import client
from rackpost.http1 import message
from rackpost.http1 import server
from rackpost import logs
from rackpost.platform import headers
from rackpost.routing import endpoints
from rackpost.routing import model
from rackpost import types

# One in this many requests answered in time is logged; late and failed ones
# all are.
_LOG_EVERY = 16
# Refusals with a back-off after which a request no longer returns to the
# endpoints that sent them: each costs a retry.
_MAX_BACKOFFS = 3
# Bounds what a client may claim, in milliseconds.
_MAX_DEADLINE_MS = 3_600_000
# Retry-After of requests that a stopping gateway refuses, in seconds; other
# gateways can serve them at once.
STOPPING_RETRY_AFTER_S = 0.05


class Reason(enum.Enum):
    """Why a gateway answered a request itself."""

    NO_ROUTE = "no-route"
    NO_KEY = "no-key"
    KEY_REVOKED = "key-revoked"
    NO_DOCUMENT = "no-document"
    STOPPING = "stopping"
    NO_ENDPOINT = "no-endpoint"
    NO_ROOM = "no-room"
    WOULD_BE_LATE = "would-be-late"
    REJECTED = "rejected"
    OVER_QUOTA = "over-quota"
    ENDS_ENDPOINTS = "ends-endpoints"
    ORIGIN_UNKNOWN = "origin-unknown"
    VERSION_GONE = "version-gone"
    TIME_UP = "time-up"
    BROKEN = "broken"
    BAD_REQUEST = "bad-request"


class Exchange(NamedTuple):
    """An attempt's endpoint and connection."""

    endpoint: endpoints.Endpoint
    conn: client.ClientConnection


class Failure(NamedTuple):
    """An endpoint's 5xx answer, passed on if no attempt follows."""

    head: message.Head
    body: bytes


class Call:
    """A request, its attempts, and the answer to its client.

    `deadline` is a reading of the loop's clock: the client's or the route's,
    whichever is earlier.
    """

    def __init__(
        self,
        *,
        site: site_mod.Site,
        req: message.Request,
        responder: server.Responder,
        route: model.Route,
        service: model.Service,
        caller: callers.Caller,
        began: float,
        deadline: float,
        origin: stream_origins.StreamOrigin | None = None,
    ) -> None:
        """`origin` is where the stream began that the request resumes."""
        self.site = site
        self.req = req
        self.responder = responder
        self.route = route
        self.service = service
        self.caller = caller
        self.priority = caller.priority(route)
        # The request's units in its organisation's quota, if it has one.
        self.charge: charge_mod.Charge | None = None
        self.began = began
        self.deadline = deadline
        self.request_id = message.find(req.headers, headers.REQUEST_ID)
        self.retry_budget = site.retry_budget(service.name)
        self.tried: list[types.EndpointId] = []
        # Endpoints that refused it and asked for a back-off.
        self.backoff_endpoints: list[types.EndpointId] = []
        # Requests that reached an endpoint, and the endpoints that may have
        # run one.  Only the latter count as attempts of the route.
        self.send_count = 0
        self.possible_runners: set[types.EndpointId] = set()
        self.may_have_run = False
        self.failure: Failure | None = None
        # Whether a connection broke while an endpoint had the request.
        self.connection_broke = False
        # Called for each event of the endpoint's stream.
        self.on_event: Callable[[], None] = ignore
        # Called once an endpoint's answer is about to be passed on.
        self.on_answer: Callable[[], None] = ignore
        self.times = stream_times.StreamTimes(began=began)
        # Where the stream began, once it has an event.
        self.origin = origin
        # Id of the last event sent to the client, for resuming the stream.
        self.last_event_id: int | None = None
        # The present attempt.
        self.exchange: Exchange | None = None
        # The events of the present attempt's answer.
        self.progress = part_soundness.AnswerProgress()
        self.forwarded_headers = caller.passed_on(
            [
                item
                for item in message.end_to_end(req.headers)
                if item[0] not in headers.GATEWAY_ONLY
            ]
        )

    def record_broken(
        self, endpoint: endpoints.Endpoint, *, began: float
    ) -> None:
        """Record that the connection of an attempt sent at `began` broke."""
        now = self.site.loop_time()
        self.connection_broke = True
        self.site.crash_tracker.record_broken(
            self.subjects,
            endpoint,
            ran_s=now - began,
            now=now,
            progress=self.progress,
        )

    def record_life_sign(self) -> None:
        """Record that the endpoint of the present attempt sends something.

        Not while this gateway is delayed: it may have been sent long ago.
        """
        if self.exchange is None or self.site.overload.is_delayed:
            return
        endpoint, conn = self.exchange
        self.site.crash_tracker.record_received(
            crash_tracker.LifeSign(endpoint, conn.opened_at, conn.received_at),
            self.site.loop_time(),
        )

    def record_event(self) -> None:
        """Record an event of the present attempt's answer."""
        now = self.site.loop_time()
        self.record_life_sign()
        if self.progress.record_event(now):
            self.site.crash_tracker.record_running(
                self.subjects.parts, self.progress, now
            )
        self.on_event()

    @functools.cached_property
    def prompt_parts(self) -> tuple[bytes, ...]:
        """Ids of the parts of its prompt, of which the last is its own."""
        return headers.prompt_parts(self.req.headers)

    @functools.cached_property
    def subjects(self) -> crash_tracker.Subjects:
        """What it is recognised by if endpoints crash under it."""
        return crash_tracker.Subjects(
            request=self.fingerprint,
            parts=tuple(
                fingerprint.part_fingerprint(self.service.name, ident)
                for ident in dict.fromkeys(self.prompt_parts[:-1])
            ),
        )

    def writing_s(self, now: float) -> float | None:
        """Return how long the present answer has had events, in seconds.

        None before its first event.
        """
        if self.progress.first_at is None:
            return None
        return round(now - self.progress.first_at, 3)

    @property
    def excluded_endpoints(self) -> list[types.EndpointId]:
        """Endpoints that the request must not be sent to again.

        An endpoint that asked for a back-off may get it once more afterwards,
        but not after several refusals: each one costs a retry.
        """
        found = self.tried
        if len(self.backoff_endpoints) < _MAX_BACKOFFS:
            found = [key for key in found if key not in self.backoff_endpoints]
        if self.origin is None:
            return found
        return found + self.other_versions + self._maybe_restarted

    @property
    def other_versions(self) -> list[types.EndpointId]:
        """Endpoints at which a stream that has begun can't go on."""
        if self.origin is None:
            return []
        return self.site.table.other_versions(
            self.origin.service, self.origin.software
        )

    @property
    def _maybe_restarted(self) -> list[types.EndpointId]:
        """Endpoints whose software version is not known for sure."""
        tracker = self.site.crash_tracker
        return [
            item.id
            for item in self.site.table.alive.values()
            if tracker.may_have_restarted(item)
        ]

    def check_version(self, endpoint: endpoints.Endpoint) -> None:
        """Raise EndpointIneligible where a stream that began can't go on."""
        if self.origin is None:
            return
        known = self.site.table.alive.get(endpoint.id, endpoint)
        if not self.origin.matches(known):
            raise exceptions.EndpointIneligible("other software version")
        if self.site.crash_tracker.may_have_restarted(known):
            raise exceptions.EndpointIneligible("may have restarted")

    def record_first_event(self, endpoint: endpoints.Endpoint) -> bool:
        """Record where the stream began, before its first event is sent.

        Returns whether others are being told, so that any gateway can resume
        it.
        """
        if self.origin is not None:
            return False
        known = self.site.table.alive.get(endpoint.id, endpoint)
        software = known.software
        if self.site.crash_tracker.may_have_restarted(known):
            software = stream_origins.UNKNOWN_SOFTWARE
        self.origin = stream_origins.StreamOrigin(
            service=known.service, software=software
        )
        if not self.route.resumable or self.request_id is None:
            return False
        self.site.origins.record(
            stream_origins.stream_key(
                types.OrganisationName(self.caller.name), self.request_id
            ),
            self.origin,
            stream_lifetime_s(self.route, self.req),
        )
        return True

    @property
    def is_head(self) -> bool:
        """Whether the client asks for headers alone."""
        return self.req.method == b"HEAD"

    @functools.cached_property
    def fingerprint(self) -> types.Fingerprint:
        """The digest that identifies the request when it is sent again."""
        return fingerprint.fingerprint(
            organisation=types.OrganisationName(self.caller.name),
            method=self.req.method,
            target=self.req.target,
            body=self.req.body,
        )

    def situation(self, now: float) -> retry_decision.Situation:
        """Return the inputs of the decision on a further attempt."""
        return retry_decision.Situation(
            repeatable=self.route.repeatable,
            may_have_run=self.may_have_run,
            attempts_left=self.route.max_attempts - len(self.possible_runners),
            budget_allows=self.retry_budget.allows(
                now, self.site.gateway_count
            ),
            time_left_s=self.deadline - now,
        )

    def log(self, text: str, **fields: object) -> None:
        """Log a decision on this request."""
        ident = self.request_id or b""
        logs.say(
            logs.Part.GATEWAY,
            text,
            request=ident.decode("latin-1"),
            route=self.route.name,
            organisation=self.caller.name,
            version=self.site.version,
            attempts=self.send_count,
            **fields,
        )

    @property
    def sampled(self) -> bool:
        """Whether the ordinary steps of this request are logged.

        Derived from its id, so that all processes choose the same requests.
        """
        return sum(self.request_id or b"") % _LOG_EVERY == 0

    def refuse(
        self, reason: Reason, retry_after_s: float, status: int = 503
    ) -> None:
        """Answer that the request was not run."""
        self._count(reason)
        self.log(
            "Refused, not run.",
            reason=reason.value,
            status=status,
            come_back_s=round(retry_after_s, 3),
        )
        refuse(self.responder, retry_after_s, status)

    def end_if_blocked(self) -> bool:
        """End the request if its key is revoked or it is quarantined.

        Returns whether it was ended.  Checked before each attempt, as both can
        happen while it waits.
        """
        return self._end_if_revoked() or self._end_if_quarantined()

    def quarantined(self) -> crash_tracker.QuarantineReason | None:
        """Return why it is quarantined; None if it is not."""
        tracker = self.site.crash_tracker
        if not tracker.quarantine.may_hold_any():
            # Usually nothing is quarantined, which saves the fingerprint.
            return None
        return tracker.quarantined(self.subjects, self.site.loop_time())

    def check_not_quarantined(self) -> None:
        """Raise EndpointIneligible if it may be sent to no endpoint."""
        if self.quarantined() is not None:
            raise exceptions.EndpointIneligible("quarantined")

    def _end_if_quarantined(self) -> bool:
        """End the request if it is quarantined; return whether it is."""
        found = self.quarantined()
        if found is None:
            return False
        table = self.site.crash_tracker.quarantine
        self.log(
            "Held back.",
            fingerprint=found.subject.hex(),
            place=table.place(found.subject),
            endpoints=table.ended_endpoints(found.subject),
            left_s=round(found.remaining_s),
        )
        if self.may_have_run:
            self.fail(Reason.ENDS_ENDPOINTS, 502)
        else:
            self.refuse(Reason.ENDS_ENDPOINTS, found.remaining_s)
        return True

    def _end_if_revoked(self) -> bool:
        """End the request if its key was revoked; return whether it was."""
        if not self.caller.is_revoked():
            return False
        if self.may_have_run:
            self.fail(Reason.KEY_REVOKED, 502)
        else:
            self._count(Reason.KEY_REVOKED)
            self.log("Key was revoked, not run.")
            require_key(self.responder)
        return True

    def fail(self, reason: Reason, status: int) -> None:
        """Answer that the request may have run."""
        self._count(reason)
        self.log("Failed, may have run.", reason=reason.value, status=status)
        if self.responder.started:
            self.responder.abort()
        else:
            self.responder.send(status, [], b"")

    def _count(self, reason: Reason) -> None:
        self.site.metrics.count("own_answers", reason, self.route.name)

    def record_delivered(
        self, endpoint: endpoints.Endpoint, head: message.Head
    ) -> None:
        """Record and log that the client has the whole answer."""
        now = self.site.loop_time()
        took_s = now - self.began
        self._clear_suspicion(head, now)
        self._record_times(took_s)
        self.record_duration()
        late = self._is_late(took_s)
        if self.sampled or late or head.status >= 400:
            self.log(
                "Answered.",
                endpoint=endpoint.id,
                status=head.status,
                late=late,
                took_s=round(took_s, 4),
                **self.times.log_fields(),
            )

    def record_duration(self) -> None:
        """Record how long the request has taken until now."""
        now = self.site.loop_time()
        self.site.durations.record(self.service.name, now - self.began, now)

    def _clear_suspicion(self, head: message.Head, now: float) -> None:
        """Clear the request of suspicion if its answer was complete.

        An answer that ends with its connection may be truncated, and a request
        whose attempt broke may crash only the endpoint that prefills it.
        """
        if self.connection_broke or head.framing is message.Framing.CLOSE:
            return
        subjects = self.subjects
        if head.status >= 300:
            # An error says nothing of the parts of a prompt.
            subjects = subjects._replace(parts=())
        began_at = self.progress.first_at
        self.site.crash_tracker.record_served(
            subjects,
            began_at=self.began if began_at is None else began_at,
            now=now,
        )

    def _is_late(self, took_s: float) -> bool:
        """Whether the answer, or an event of it, missed its target."""
        if self.times.first_s is not None:
            return self.times.is_late(self.route)
        return 0.0 < self.route.target_s < took_s

    def _record_times(self, took_s: float) -> None:
        """Record the answer's times in the histograms."""
        metrics = self.site.metrics
        name = self.route.name
        metrics.time("answer", name, took_s)
        if self.times.first_s is not None:
            metrics.time("first_event", name, self.times.first_s)
            metrics.time("longest_pause", name, self.times.longest_pause_s)
            if self.times.pause_cause is not None:
                metrics.count("pauses", self.times.pause_cause, name)


def stream_lifetime_s(route: model.Route, req: message.Request) -> float:
    """Return for how long a client may resume a stream, in seconds."""
    left_ms = headers.parse_int(message.find(req.headers, headers.DEADLINE_MS))
    client_s = min(left_ms or 0, _MAX_DEADLINE_MS) / 1000.0
    return max(route.timeout_s, client_s)


def ignore() -> None:
    """Ignore an event or an answer."""


def require_key(responder: server.Responder) -> None:
    """Answer that the request has no known key."""
    responder.send(401, [headers.AUTH_CHALLENGE], b"")


def refuse(
    responder: server.Responder, retry_after_s: float, status: int = 503
) -> None:
    """Answer that the request was not run, with a Retry-After header."""
    value = b"%.2f" % retry_after_s
    responder.send(status, [(b"retry-after", value)], b"")
