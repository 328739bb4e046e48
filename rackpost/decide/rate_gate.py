"""Decide when a gateway may request a grant of an endpoint's rate.

An endpoint that announces a rate has few requests in flight and would look
like the best choice.  So it is not selected until the owner of its rate may
grant a request, nor while this gateway has a grant request pending.
"""

import msgspec

from rackpost.decide import endpoint_rates
from rackpost.decide import rate_grants
from rackpost.routing import endpoints

# A selected endpoint counts as having a grant request pending for this long;
# the request may have ended before it was sent.
_PENDING_S = 0.1
# Delay before a further grant request to an owner that did not answer.
_NO_ANSWER_DELAY_S = 0.25
# Shortest delay before a further grant request to an owner that denied one.
_MIN_DELAY_S = 0.02


class _Record(msgspec.Struct, kw_only=True):
    """Grant requests for one incarnation of an endpoint.

    Attributes:
        available_at: clock reading from which a grant may be requested.
        pending_until: clock reading until which a grant request may be
            pending.
        contenders: gateways that wait for a grant, this one included.
    """

    available_at: float = 0.0
    pending_until: float = 0.0
    contenders: int = 1


class RateGate:
    """When one gateway may request grants, by endpoint."""

    def __init__(self, *, rates: endpoint_rates.RateTable) -> None:
        self._rates = rates
        self._records: dict[endpoints.Incarnation, _Record] = {}

    def _record(self, endpoint: endpoints.Endpoint) -> _Record:
        return self._records.setdefault(endpoint.incarnation, _Record())

    def may_select(self, endpoint: endpoints.Endpoint, now: float) -> bool:
        """Whether the endpoint may be selected for a request now."""
        if self._rates.per_s(endpoint) is None:
            return True
        record = self._records.get(endpoint.incarnation)
        if record is None:
            return True
        return now >= record.available_at and now >= record.pending_until

    def available_at(self, endpoint: endpoints.Endpoint) -> float:
        """Return the clock reading from which a grant may be requested."""
        if self._rates.per_s(endpoint) is None:
            return 0.0
        record = self._records.get(endpoint.incarnation)
        return 0.0 if record is None else record.available_at

    def own_rate_per_s(self, endpoint: endpoints.Endpoint) -> float | None:
        """Return this gateway's estimated share of the endpoint's rate.

        In requests a second; None if the endpoint announces no rate.
        """
        per_s = self._rates.per_s(endpoint)
        if per_s is None:
            return None
        record = self._records.get(endpoint.incarnation)
        contenders = 1 if record is None else record.contenders
        return rate_grants.usable_per_s(per_s) / max(1, contenders)

    def record_selection(
        self, endpoint: endpoints.Endpoint, now: float
    ) -> None:
        """Record a selection, which a grant request follows."""
        if self._rates.per_s(endpoint) is not None:
            self._record(endpoint).pending_until = now + _PENDING_S

    def record_decision(
        self,
        endpoint: endpoints.Endpoint,
        decision: rate_grants.GrantDecision,
        now: float,
    ) -> None:
        """Record the owner's answer to a grant request."""
        record = self._record(endpoint)
        record.pending_until = 0.0
        record.contenders = decision.contenders
        if not decision.granted:
            record.available_at = now + max(
                decision.retry_after_s, _MIN_DELAY_S
            )

    def record_no_answer(
        self, endpoint: endpoints.Endpoint, now: float
    ) -> None:
        """Record that the owner did not answer a grant request."""
        record = self._record(endpoint)
        record.pending_until = 0.0
        record.available_at = now + _NO_ANSWER_DELAY_S

    def forget(self) -> None:
        """Drop incarnations that are not in the rate table any more."""
        known = self._rates.incarnations
        for key in list(self._records):
            if key not in known:
                del self._records[key]
