"""Which grants of a scheduler a gateway returns."""

import random

from rackpost.decide import eligibility
from rackpost.decide import endpoint_health
from rackpost.decide import endpoint_load
from rackpost.decide import kv_forecast
from rackpost.decide.waiting import grant_check
from rackpost.routing import endpoints
from rackpost import types

_ENDPOINT = endpoints.Endpoint(
    id=types.EndpointId("d1"),
    service=types.ServiceName("llm"),
    role=types.Role.DECODE,
    state=endpoints.EndpointState.READY,
    slots=2,
)
_MEMORY_TOKENS = 1000


class _Knowledge:
    """What one gateway knows of the endpoint."""

    def __init__(self) -> None:
        table = endpoints.EndpointTable()
        table.update(_ENDPOINT, 0.0)
        self.eligible = eligibility.Eligibility(
            table=table, rng=random.Random(1)
        )
        self.health = endpoint_health.HealthTracker()
        self.loads = endpoint_load.LoadTable(on_change=lambda: None)

    def objection(
        self, endpoint: endpoints.Endpoint | None = _ENDPOINT
    ) -> grant_check.Objection | None:
        return grant_check.objection(
            endpoint,
            memory_tokens=_MEMORY_TOKENS,
            eligible=self.eligible,
            health=self.health,
            loads=self.loads,
            now=0.0,
        )


def test_a_grant_of_an_endpoint_in_service_is_used() -> None:
    """An unknown endpoint is returned."""
    known = _Knowledge()
    assert known.objection() is None
    assert known.objection(None) is grant_check.Objection.UNKNOWN


def test_an_endpoint_that_failed_or_rejected_here_is_returned() -> None:
    """The scheduler may not have been told yet."""
    failed = _Knowledge()
    failed.health.record_failure(_ENDPOINT.id, 0.0)
    assert failed.objection() is grant_check.Objection.FAILED
    full = _Knowledge()
    full.health.record_rejection(_ENDPOINT.id, 0.0)
    assert full.objection() is grant_check.Objection.FULL


def test_an_endpoint_about_to_change_its_role_is_returned() -> None:
    """A coordinator's order may be newer than the grant."""
    known = _Knowledge()
    known.eligible.set_changing_role([_ENDPOINT.id])
    assert known.objection() is grant_check.Objection.INELIGIBLE


def test_an_endpoint_is_too_full_only_beyond_its_capacity() -> None:
    """Reports of released capacity may be older than the grant."""
    known = _Knowledge()
    run = kv_forecast.Run(held_tokens=400, remaining_tokens=0)
    known.loads.add_request(_ENDPOINT.id, run=run)
    known.loads.add_request(_ENDPOINT.id, run=run)
    assert known.objection() is None
    known.loads.add_request(_ENDPOINT.id, run=run)
    assert known.objection() is grant_check.Objection.NO_MEMORY
