"""Decide which endpoints may be sent anything at all.

An ineligible endpoint is sent nothing: no first attempt or retry, no
continuation of a stream, no prompt, and no release of a prefill result.  A
request without an eligible endpoint waits or is refused.

An endpoint that announces a rate stays eligible, but each request to it needs
a grant (`rate_grants.py`), which is requested just before it is sent.

Preferences are applied where an endpoint is chosen (`endpoint_choice.py`):
one that is silent, has just failed, is full or is slow is chosen only where
there is no better one.
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
    """What an endpoint's answer says about further requests.

    `backoff_s` is the back-off that it requests, or None; `leaving` means
    that it accepts no more requests; `rejected` means that it did not accept
    this request for lack of capacity.
    """

    backoff_s: float | None
    leaving: bool
    rejected: bool


class Eligibility:
    """The endpoints that one process may send requests to."""

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
        self._changing_role: frozenset[types.EndpointId] = frozenset()

    def set_changing_role(self, keys: Iterable[types.EndpointId]) -> None:
        """Set the endpoints that are changing their role."""
        self._changing_role = frozenset(keys)

    @property
    def changing_role(self) -> frozenset[types.EndpointId]:
        """The endpoints that are changing their role."""
        return self._changing_role

    def answering_endpoint(
        self,
        requested: endpoints.Endpoint,
        reported_id: types.EndpointId | None,
    ) -> endpoints.Endpoint | None:
        """Return the endpoint that sent an answer; None if it is unknown.

        It may differ from the requested one, whose address may have passed
        to another endpoint.
        """
        if reported_id is None or reported_id == requested.id:
            return requested
        return self._table.alive.get(reported_id)

    def record_feedback(
        self,
        endpoint: endpoints.Endpoint,
        feedback: EndpointFeedback,
        now: float,
    ) -> frozenset[IneligibleReason]:
        """Record what an answer says; return the reasons that are new."""
        new = set()
        if feedback.leaving and self._table.record_leaving(endpoint):
            new.add(IneligibleReason.LEAVING)
        if feedback.backoff_s is not None:
            if self.backoffs.record_backoff(endpoint, feedback.backoff_s, now):
                new.add(IneligibleReason.BACKOFF)
        elif not feedback.rejected:
            self.backoffs.record_accepted(endpoint, now)
        return frozenset(new)

    def ineligible_reason(
        self, endpoint: endpoints.Endpoint, now: float
    ) -> IneligibleReason | None:
        """Return why nothing may be sent there now; None if eligible.

        Checked when an endpoint is chosen, and again just before a request is
        written, since connecting takes time.
        """
        known = self._table.alive.get(endpoint.id)
        if known is None:
            return IneligibleReason.GONE
        if known.state is not endpoints.EndpointState.READY:
            return IneligibleReason.LEAVING
        if known.id in self._changing_role:
            return IneligibleReason.CHANGING_ROLE
        if self.backoffs.is_active(known, now):
            return IneligibleReason.BACKOFF
        return None

    def remaining_backoffs(self, now: float) -> dict[types.EndpointId, float]:
        """Return the rest of each active back-off here, in seconds."""
        if not self.backoffs.size:
            return {}
        found = {
            item.id: self.backoffs.remaining_s(item, now)
            for item in self._table.alive.values()
        }
        return {
            key: remaining_s
            for key, remaining_s in found.items()
            if remaining_s > 0.0
        }

    def may_select(self, endpoint: endpoints.Endpoint, now: float) -> bool:
        """Whether the endpoint may be selected for a request now."""
        return (
            self.ineligible_reason(endpoint, now) is None
            and self.backoffs.may_select(endpoint, now)
            and self.gate.may_select(endpoint, now)
        )

    def record_selection(
        self, endpoint: endpoints.Endpoint, now: float
    ) -> None:
        """Record that the endpoint was selected for a request."""
        self.backoffs.record_selection(endpoint, now)
        self.gate.record_selection(endpoint, now)

    def available_at(
        self, endpoint: endpoints.Endpoint, now: float
    ) -> float | None:
        """Return the clock reading from which the endpoint may be selected.

        None where it is ineligible for a reason that has no known end.
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
        """Drop the rates of incarnations that are gone."""
        self.rates.retain(
            {item.incarnation for item in self._table.alive.values()}
        )
        self.gate.forget()
