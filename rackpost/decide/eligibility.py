"""Which endpoints may be sent anything at all.  Pure.

Two kinds of rules leave an endpoint out.  What stands here is never given
up, for no request and on no way: not for a first attempt or a repeat, not for
a stream that goes on, not to read a prompt or to free what was read.  Whoever
finds no endpoint that is left waits or is refused.

An endpoint that names a rate is not barred; but each request there needs a
grant (`rate_grants.py`), which is asked for just before it is sent.

Everything else is a preference and stands where endpoints are chosen
(`endpoint_choice.py`): one that is silent, has just failed, has just been
full or is slow is used last, and is used where nothing better is left.
"""

import enum
import random
from typing import Iterable
from typing import NamedTuple

from rackpost.decide import backoff
from rackpost.decide import endpoint_rates
from rackpost.decide import rate_gate
from rackpost.routing import endpoints
from rackpost import types


class IneligibleReason(enum.Enum):
    """Why nothing may be sent to an endpoint."""

    GONE = "gone"
    LEAVING = "leaving"
    CHANGING_ROLE = "changing role"
    BACKOFF = "asked for back-off"
    RATE = "rate is used up"


class EndpointFeedback(NamedTuple):
    """What an endpoint's answer says of later requests.

    `backoff_s` is how long it wants none, None where it asks for no time;
    `rejected` tells that it did not take this one for want of room.
    """

    backoff_s: float | None
    leaving: bool
    rejected: bool


class Eligibility:
    """Tells for one process which endpoints may be sent anything."""

    def __init__(
        self,
        *,
        table: endpoints.EndpointTable,
        rng: random.Random,
    ) -> None:
        self._table = table
        self.backoffs = backoff.BackoffTable(rng=rng)
        self.rates = endpoint_rates.RateTable()
        self.gate = rate_gate.RateGate(rates=self.rates)
        self._changing: frozenset[types.EndpointId] = frozenset()

    def set_changing_role(self, keys: Iterable[types.EndpointId]) -> None:
        """These endpoints change their role and take nothing now."""
        self._changing = frozenset(keys)

    def answering_endpoint(
        self, asked: endpoints.Endpoint, told: types.EndpointId | None
    ) -> endpoints.Endpoint | None:
        """Whose answer it is: another one may have come to the address.

        None where it is of one that is not known.
        """
        if told is None or told == asked.id:
            return asked
        return self._table.alive.get(told)

    def record_feedback(
        self, endpoint: endpoints.Endpoint, said: EndpointFeedback, now: float
    ) -> frozenset[IneligibleReason]:
        """Note what an answer says of later requests; which is news."""
        news = set()
        if said.leaving and self._table.record_leaving(endpoint):
            news.add(IneligibleReason.LEAVING)
        if said.backoff_s is not None:
            if self.backoffs.record_backoff(endpoint, said.backoff_s, now):
                news.add(IneligibleReason.BACKOFF)
        elif not said.rejected:
            self.backoffs.record_accepted(endpoint, now)
        return frozenset(news)

    def ineligible_reason(
        self, endpoint: endpoints.Endpoint, now: float
    ) -> IneligibleReason | None:
        """Why nothing may be sent there now; None if it may.

        Asked when an endpoint is chosen, and again just before anything is
        written to it: it may have changed while a connection was made.
        """
        known = self._table.alive.get(endpoint.id)
        if known is None:
            return IneligibleReason.GONE
        if known.state is not endpoints.EndpointState.READY:
            return IneligibleReason.LEAVING
        if known.id in self._changing:
            return IneligibleReason.CHANGING_ROLE
        if self.backoffs.is_active(known, now):
            return IneligibleReason.BACKOFF
        return None

    def remaining_backoffs(self, now: float) -> dict[types.EndpointId, float]:
        """How long this process is still to send nothing, in seconds."""
        if not self.backoffs.size:
            return {}
        found = {
            item.id: self.backoffs.remaining_s(item, now)
            for item in self._table.alive.values()
        }
        return {key: left_s for key, left_s in found.items() if left_s > 0.0}

    def may_select(self, endpoint: endpoints.Endpoint, now: float) -> bool:
        """Whether a request may be meant for it now."""
        return (
            self.ineligible_reason(endpoint, now) is None
            and self.backoffs.may_select(endpoint, now)
            and self.gate.may_select(endpoint, now)
        )

    def record_selection(
        self, endpoint: endpoints.Endpoint, now: float
    ) -> None:
        """A request is meant for it."""
        self.backoffs.record_selection(endpoint, now)
        self.gate.record_selection(endpoint, now)

    def available_at(
        self, endpoint: endpoints.Endpoint, now: float
    ) -> float | None:
        """When a request may be meant for it, as far as that is known.

        None where it is not: only a back-off and a rate say when.
        """
        if self.ineligible_reason(endpoint, now) not in (
            None,
            IneligibleReason.BACKOFF,
        ):
            return None
        return max(
            self.backoffs.available_at(endpoint),
            self.gate.available_at(endpoint),
        )

    def forget_rates(self) -> None:
        """Forget what lives of endpoints that are gone have named."""
        self.rates.retain(
            {item.incarnation for item in self._table.alive.values()}
        )
        self.gate.forget()
