"""Log lines on the demand that changes of role are based on."""

import math

from rackpost.decide import role_balance
from rackpost.decide import role_demand
from rackpost import logs
from rackpost import types

# Shortest time between two lines on the same service.
_INTERVAL_S = 10.0


class DemandLog:
    """Logs the demand for the roles of each service, now and then."""

    def __init__(self) -> None:
        self._logged_at: dict[types.ServiceName, float] = {}

    def record(
        self,
        now: float,
        service: types.ServiceName,
        history: role_demand.DemandHistory,
        pools: role_balance.Pools,
    ) -> None:
        """Log the demand once a mix is known, then once in an interval."""
        last = self._logged_at.get(service, -math.inf)
        if not history.current.requests or now - last < _INTERVAL_S:
            return
        self._logged_at[service] = now
        logs.say(
            logs.Part.COORDINATOR,
            "Demand for roles.",
            service=service,
            requests=history.current.requests,
            prefill_demand=round(history.current.prefill, 2),
            decode_demand=round(history.current.decode, 2),
            prefill_peak=round(history.peak.prefill, 2),
            decode_peak=round(history.peak.decode, 2),
            prefill_endpoints=pools.prefill,
            decode_endpoints=pools.decode,
        )
