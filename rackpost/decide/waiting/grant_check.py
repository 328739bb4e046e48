"""Decide whether a gateway uses a grant of a scheduler.

The gateway's own knowledge may be newer, and a scheduler that other gateways
can't reach may not know what they hold.  Pure: no input or output.
"""

import enum

from rackpost.decide import eligibility
from rackpost.decide import endpoint_health
from rackpost.decide import endpoint_load
from rackpost.decide import kv_forecast
from rackpost.routing import endpoints


class Objection(enum.Enum):
    """Why a gateway returns a grant."""

    UNKNOWN = "endpoint is unknown"
    INELIGIBLE = "endpoint is ineligible"
    FAILED = "endpoint has just failed"
    FULL = "endpoint has just rejected"
    NO_MEMORY = "no memory by own knowledge"


def objection(
    endpoint: endpoints.Endpoint | None,
    *,
    memory_tokens: int,
    eligible: eligibility.Eligibility,
    health: endpoint_health.HealthTracker,
    loads: endpoint_load.LoadTable,
    now: float,
) -> Objection | None:
    """Return why a decode endpoint must not be used; None if it may be.

    Capacity is often granted again before other gateways' reports say that
    it is free.  So an endpoint is too full only if it has no memory or slots
    left even without this request.
    """
    if endpoint is None:
        return Objection.UNKNOWN
    found = sending_objection(endpoint, eligible, health, now)
    if found is not None:
        return found
    load = loads.total(endpoint.id)
    peak = kv_forecast.peak_tokens(load.runs)
    if load.requests > endpoint.slots or peak > memory_tokens:
        return Objection.NO_MEMORY
    return None


def sending_objection(
    endpoint: endpoints.Endpoint | None,
    eligible: eligibility.Eligibility,
    health: endpoint_health.HealthTracker,
    now: float,
) -> Objection | None:
    """Return why nothing may be sent to an endpoint, or None."""
    if endpoint is None:
        return Objection.UNKNOWN
    if not eligible.may_select(endpoint, now):
        return Objection.INELIGIBLE
    if health.is_avoided(endpoint.id, now):
        return Objection.FAILED
    if health.is_full(endpoint.id, now):
        return Objection.FULL
    return None
