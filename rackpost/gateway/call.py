"""One client's request on its way through a gateway."""

import enum
import functools
from typing import Callable
from typing import NamedTuple

from rackpost.decide import fingerprint
from rackpost.decide import retry_decision
from rackpost.gateway import callers
from rackpost.gateway import charge as charge_mod
from rackpost.gateway import site as site_mod
from rackpost.gateway import stream_times
from rackpost.http1 import message
from rackpost.http1 import server
from rackpost import logs
from rackpost.platform import headers
from rackpost.routing import endpoints
from rackpost.routing import model
from rackpost import types

# Of answers in time, one in this many is logged; all others are.
_SAMPLE = 16
# Endpoints that may ask for a back-off before one request is refused: two say
# little of a third, and more would be most of a service's repeats.
_MOST_WAITS = 3
# Other gateways take at once what one that stops does not begin; in seconds.
ELSEWHERE_S = 0.05


class Reason(enum.Enum):
    """Why a gateway gave an answer of its own."""

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
    TIME_UP = "time-up"
    BROKEN = "broken"
    BAD_REQUEST = "bad-request"


class Failure(NamedTuple):
    """An endpoint's own failure, kept in case that nothing else is tried."""

    head: message.Head
    body: bytes


class Call:
    """A request, what was tried for it, and what its client is told.

    `until` is a reading of the loop's clock: the end of the client's or
    the route's time, whichever comes first.
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
        until: float,
    ) -> None:
        self.site = site
        self.req = req
        self.responder = responder
        self.route = route
        self.service = service
        self.caller = caller
        self.priority = caller.priority(route)
        # What it counts against a quota, if its organisation has one.
        self.charge: charge_mod.Charge | None = None
        self.began = began
        self.until = until
        self.request_id = message.find(req.headers, headers.REQUEST_ID)
        self.budget = site.budget(service.name)
        self.tried: list[types.EndpointId] = []
        # Endpoints that turned it away and asked for a back-off.
        self.asked_to_wait: list[types.EndpointId] = []
        # Sends that arrived, and the endpoints that may have run one: those
        # are the route's attempts, of which a rejected one uses up none.
        self.sent = 0
        self.ran_at: set[types.EndpointId] = set()
        self.may_have_run = False
        self.failure: Failure | None = None
        # A connection broke on which an endpoint had it.
        self.broke = False
        # Called for each event that comes from an endpoint.
        self.on_event: Callable[[], None] = _nothing
        self.times = stream_times.StreamTimes(began=began)
        # The last event that the client was sent, to go on from.
        self.last_event: int | None = None
        self.passed = caller.passed_on(
            [
                item
                for item in message.end_to_end(req.headers)
                if item[0] not in headers.GATEWAY_ONLY
            ]
        )

    def note_broken(
        self, endpoint: endpoints.Endpoint, *, began: float
    ) -> None:
        """A connection broke on which an endpoint had it since `began`."""
        now = self.site.loop_time()
        self.broke = True
        self.site.suspects.record_broken(
            self.fingerprint, endpoint, ran_s=now - began, now=now
        )

    @property
    def not_again(self) -> list[types.EndpointId]:
        """Endpoints that it is not sent to again.

        One that asked for a back-off may be, once that is over; but not for
        ever, since each that turns it away is one more repeat.
        """
        if len(self.asked_to_wait) >= _MOST_WAITS:
            return self.tried
        return [key for key in self.tried if key not in self.asked_to_wait]

    @property
    def is_head(self) -> bool:
        """Whether the client asks for headers alone."""
        return self.req.method == b"HEAD"

    @functools.cached_property
    def fingerprint(self) -> types.Fingerprint:
        """What this request is known by, also when it comes again."""
        return fingerprint.fingerprint(
            organisation=types.OrganisationName(self.caller.name),
            method=self.req.method,
            target=self.req.target,
            body=self.req.body,
        )

    def situation(self, now: float) -> retry_decision.Situation:
        """What decides on a further attempt."""
        return retry_decision.Situation(
            repeatable=self.route.repeatable,
            may_have_run=self.may_have_run,
            attempts_left=self.route.max_attempts - len(self.ran_at),
            budget_allows=self.budget.allows(now, self.site.gateway_count),
            time_left_s=self.until - now,
        )

    def log(self, sentence: str, **fields: object) -> None:
        """Log a decision on this request."""
        ident = self.request_id or b""
        logs.say(
            logs.Part.GATEWAY,
            sentence,
            request=ident.decode("latin-1"),
            route=self.route.name,
            organisation=self.caller.name,
            version=self.site.version,
            attempts=self.sent,
            **fields,
        )

    @property
    def sampled(self) -> bool:
        """Whether the ordinary steps of this request are logged.

        Chosen by its id, so that all processes choose the same requests.
        """
        return sum(self.request_id or b"") % _SAMPLE == 0

    def refuse(
        self, reason: Reason, come_back_s: float, status: int = 503
    ) -> None:
        """Tell the client that its request has not run and won't."""
        self._count(reason)
        self.log(
            "Refused, not run.",
            reason=reason.value,
            status=status,
            come_back_s=round(come_back_s, 3),
        )
        refuse(self.responder, come_back_s, status)

    def end_if_barred(self) -> bool:
        """End it if it may not be sent to an endpoint; whether it may not.

        Asked again before each attempt: both may have come meanwhile.
        """
        return self._end_if_revoked() or self._end_if_held()

    def held_s(self) -> float:
        """How much longer it is held back, in seconds; 0 if it is not."""
        suspects = self.site.suspects
        if not suspects.book.may_hold_any():
            # As a rule: no request is digested before it is sent.
            return 0.0
        return suspects.quarantine_left_s(
            self.fingerprint, self.site.loop_time()
        )

    def _end_if_held(self) -> bool:
        """End it if it is held back, as endpoints ended under it.

        Its caller is told the truth, and when it will be tried again.
        """
        left_s = self.held_s()
        if left_s <= 0.0:
            return False
        self.log(
            "Held back.",
            fingerprint=self.fingerprint.hex(),
            endpoints=self.site.suspects.book.ended_endpoints(
                self.fingerprint
            ),
            left_s=round(left_s),
        )
        if self.may_have_run:
            self.fail(Reason.ENDS_ENDPOINTS, 502)
        else:
            self.refuse(Reason.ENDS_ENDPOINTS, left_s)
        return True

    def _end_if_revoked(self) -> bool:
        """End it if its key has been taken away; whether it has."""
        if not self.caller.is_revoked():
            return False
        if self.may_have_run:
            self.fail(Reason.KEY_REVOKED, 502)
        else:
            self._count(Reason.KEY_REVOKED)
            self.log("Key was revoked, not run.")
            ask_for_key(self.responder)
        return True

    def fail(self, reason: Reason, status: int) -> None:
        """Tell the client that it is not known whether its request ran."""
        self._count(reason)
        self.log("Failed, may have run.", reason=reason.value, status=status)
        if self.responder.started:
            self.responder.abort()
        else:
            self.responder.send(status, [], b"")

    def _count(self, reason: Reason) -> None:
        self.site.metrics.count("own_answers", reason, self.route.name)

    def delivered(
        self, endpoint: endpoints.Endpoint, head: message.Head
    ) -> None:
        """The client has the whole answer."""
        now = self.site.loop_time()
        took_s = now - self.began
        self._note_served(head, now)
        self._time(took_s)
        late = self._is_late(took_s)
        if self.sampled or late or head.status >= 400:
            self.log(
                "Answered.",
                endpoint=endpoint.id,
                status=head.status,
                late=late,
                took_s=round(took_s, 4),
                **self.times.facts(),
            )

    def _note_served(self, head: message.Head, now: float) -> None:
        """Note that it ends no endpoint, where its answer shows it.

        One that broke on its way may end those that read it and not those
        that run it; an answer without a length ends as its endpoint does.
        """
        if not self.broke and head.framing is not message.Framing.CLOSE:
            self.site.suspects.record_served(self.fingerprint, now)

    def _is_late(self, took_s: float) -> bool:
        """Whether an answer, or an event of it, came after its target."""
        if self.times.first_s is not None:
            return self.times.is_late(self.route)
        return 0.0 < self.route.target_s < took_s

    def _time(self, took_s: float) -> None:
        """Put an answer's times into the histograms."""
        metrics = self.site.metrics
        name = self.route.name
        metrics.time("answer", name, took_s)
        if self.times.first_s is not None:
            metrics.time("first_event", name, self.times.first_s)
            metrics.time("longest_pause", name, self.times.longest_pause_s)


def _nothing() -> None:
    """Nobody follows the events."""


def ask_for_key(responder: server.Responder) -> None:
    """Answer that a request shows no key that is anybody's."""
    responder.send(401, [headers.AUTH_CHALLENGE], b"")


def refuse(
    responder: server.Responder, come_back_s: float, status: int = 503
) -> None:
    """Answer that a request has not run, and when to come back."""
    after = b"%.2f" % come_back_s
    responder.send(status, [(b"retry-after", after)], b"")
