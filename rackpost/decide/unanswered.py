"""Requests without an answer, at endpoints that may have crashed.

An endpoint whose machine loses power or is cut off closes no connection: a
request there times out, as at a slow endpoint.  The crash is known once a
later incarnation, or another endpoint at the same address, is heard.
"""

import dataclasses
from typing import Callable
from typing import Mapping
from typing import NamedTuple

from rackpost.decide import part_soundness
from rackpost.decide import suspicions
from rackpost.routing import endpoints

__all__ = ["Exchange", "Unanswered", "UnansweredRequests"]

# A request that is sent later than this many heartbeat intervals after the
# endpoint's last heartbeat was sent to an endpoint that had ended.
_MAX_MISSED_HEARTBEATS = 2
# Bounds the requests that are remembered after they were given up.
_MAX_GIVEN_UP = 1024


@dataclasses.dataclass(eq=False, frozen=True, kw_only=True)
class Exchange:
    """A request in flight at an endpoint.

    Attributes:
        began_at: when it was sent, in seconds of the loop's clock.
        subjects: returns what it is recognised by; digests its whole body.
        progress: the events of its answer.
    """

    endpoint: endpoints.Endpoint
    began_at: float
    subjects: Callable[[], suspicions.Subjects]
    progress: part_soundness.AnswerProgress

    def unanswered(self, until: float) -> "Unanswered":
        """Return what is remembered of it without an answer `until` then."""
        return Unanswered(
            subjects=self.subjects(),
            endpoint=self.endpoint,
            progress=self.progress,
            began_at=self.began_at,
            until=until,
        )


class Unanswered(NamedTuple):
    """A request that an endpoint had, without a whole answer, `until` then."""

    subjects: suspicions.Subjects
    endpoint: endpoints.Endpoint
    progress: part_soundness.AnswerProgress
    began_at: float
    until: float


class UnansweredRequests:
    """The requests in flight, and those that were given up lately."""

    def __init__(
        self, *, table: endpoints.EndpointTable, heartbeat_s: float
    ) -> None:
        """`heartbeat_s` is the interval of the endpoints' heartbeats."""
        self._table = table
        self._max_silence_s = _MAX_MISSED_HEARTBEATS * heartbeat_s
        self._in_flight: dict[endpoints.Incarnation, set[Exchange]] = {}
        # The oldest first.
        self._given_up: list[Unanswered] = []

    @property
    def has_given_up(self) -> bool:
        """Whether any request that was given up is remembered."""
        return bool(self._given_up)

    def begin(self, exchange: Exchange) -> None:
        """Record a request that is sent, unless its endpoint is silent.

        Nor is it recorded where the endpoint has announced that it leaves.
        """
        endpoint = exchange.endpoint
        before = exchange.began_at - self._max_silence_s
        if self._table.is_silent(endpoint.id, before):
            return
        if self._table.has_left(endpoint):
            return
        self._in_flight.setdefault(endpoint.incarnation, set()).add(exchange)

    def end(self, exchange: Exchange) -> bool:
        """Forget a request in flight; return whether it was recorded."""
        incarnation = exchange.endpoint.incarnation
        exchanges = self._in_flight.get(incarnation)
        if exchanges is None or exchange not in exchanges:
            return False
        exchanges.remove(exchange)
        if not exchanges:
            del self._in_flight[incarnation]
        return True

    def give_up(self, exchange: Exchange, now: float) -> None:
        """Record that a request in flight is no longer waited for."""
        if self.end(exchange):
            self._given_up.append(exchange.unanswered(now))
            del self._given_up[:-_MAX_GIVEN_UP]

    def take_ended(self, now: float) -> list[Unanswered]:
        """Return and forget the requests whose endpoints have crashed."""
        taken = self._take_in_flight(now)
        kept = []
        for item in self._given_up:
            if self._table.is_replaced(item.endpoint):
                taken.append(item)
            elif not self._table.has_left(item.endpoint):
                kept.append(item)
        self._given_up = kept
        return taken

    def _take_in_flight(self, now: float) -> list[Unanswered]:
        taken = []
        for incarnation, exchanges in list(self._in_flight.items()):
            endpoint = next(iter(exchanges)).endpoint
            is_replaced = self._table.is_replaced(endpoint)
            if is_replaced or self._table.has_left(endpoint):
                del self._in_flight[incarnation]
            if is_replaced:
                taken += [item.unanswered(now) for item in exchanges]
        return taken

    def forget(
        self, lived_until: Mapping[endpoints.Incarnation, float]
    ) -> None:
        """Forget the requests given up before the endpoint's last life sign.

        `lived_until` maps incarnations to the time of that sign.
        """
        self._given_up = [
            item
            for item in self._given_up
            if item.until
            >= lived_until.get(item.endpoint.incarnation, item.until)
        ]
