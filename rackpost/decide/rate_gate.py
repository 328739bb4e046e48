"""When a gateway may ask for a grant of an endpoint's rate.  Pure.

An endpoint that names a rate has the least under way and looks the best to
every choice.  So it is not chosen while its owner has said that nothing may
be granted, nor while a grant for a request from here is being asked for.
"""

import msgspec

from rackpost.decide import endpoint_rates
from rackpost.decide import rate_grants
from rackpost.routing import endpoints

# A request for which an endpoint was chosen asks for its grant within this,
# in seconds; it may have ended before.
_ASKS_WITHIN_S = 0.1
# An owner that does not answer is asked again after this, in seconds.
_UNANSWERED_S = 0.25
# An owner that turns away is not asked again sooner than this, in seconds.
_SOONEST_S = 0.02


class _Record(msgspec.Struct, kw_only=True):
    """What is known of one life of an endpoint.

    Attributes:
        opens: clock reading at which a grant may be asked for again.
        asking_until: until when one that was chosen may be asking for it.
        contenders: gateways that wait for a grant, this one included.
    """

    opens: float = 0.0
    asking_until: float = 0.0
    contenders: int = 1


class RateGate:
    """What one gateway knows of others' grants."""

    def __init__(self, *, rates: endpoint_rates.RateTable) -> None:
        self._book = rates
        self._records: dict[endpoints.Incarnation, _Record] = {}

    def _record(self, endpoint: endpoints.Endpoint) -> _Record:
        return self._records.setdefault(endpoint.incarnation, _Record())

    def may_select(self, endpoint: endpoints.Endpoint, now: float) -> bool:
        """Whether a request may be meant for an endpoint now."""
        if self._book.per_s(endpoint) is None:
            return True
        record = self._records.get(endpoint.incarnation)
        if record is None:
            return True
        return now >= record.opens and now >= record.asking_until

    def available_at(self, endpoint: endpoints.Endpoint) -> float:
        """Clock reading at which a grant may be asked for again."""
        if self._book.per_s(endpoint) is None:
            return 0.0
        record = self._records.get(endpoint.incarnation)
        return 0.0 if record is None else record.opens

    def own_rate_per_s(self, endpoint: endpoints.Endpoint) -> float | None:
        """The part of its rate that is this gateway's, as far as is known.

        In requests a second; None where it names no rate.
        """
        per_s = self._book.per_s(endpoint)
        if per_s is None:
            return None
        record = self._records.get(endpoint.incarnation)
        contenders = 1 if record is None else record.contenders
        return rate_grants.usable_per_s(per_s) / max(1, contenders)

    def record_selection(
        self, endpoint: endpoints.Endpoint, now: float
    ) -> None:
        """A request is meant for it, and asks for a grant soon."""
        if self._book.per_s(endpoint) is not None:
            self._record(endpoint).asking_until = now + _ASKS_WITHIN_S

    def record_decision(
        self,
        endpoint: endpoints.Endpoint,
        verdict: rate_grants.GrantDecision,
        now: float,
    ) -> None:
        """Its owner has answered."""
        record = self._record(endpoint)
        record.asking_until = 0.0
        record.contenders = verdict.contenders
        if not verdict.granted:
            record.opens = now + max(verdict.wait_s, _SOONEST_S)

    def record_no_answer(
        self, endpoint: endpoints.Endpoint, now: float
    ) -> None:
        """Its owner does not answer."""
        record = self._record(endpoint)
        record.asking_until = 0.0
        record.opens = now + _UNANSWERED_S

    def forget(self) -> None:
        """Forget lives of endpoints that name no rate any more."""
        known = self._book.incarnations
        for key in list(self._records):
            if key not in known:
                del self._records[key]
