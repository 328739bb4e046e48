"""How long a refused caller should wait before it retries."""

from rackpost import types

_MIN_S = 0.5
_MAX_S = 30.0
# Delays for refusals that do not depend on the load, such as a restart or
# an election of control.
_FIXED_S = {
    types.Refusal.ENTRY_STOPPING: 0.5,
    types.Refusal.CLAIM_RUNNING: 1.0,
    types.Refusal.CONTROL_AWAY: 2.0,
    types.Refusal.ENDPOINT_AVOIDED: 2.0,
    types.Refusal.NO_ENDPOINT: 5.0,
}


def delay_s(
    reason: types.Refusal, *, backlog_s: float, higher_density_load: float
) -> float:
    """Return the seconds after which a retry is worthwhile.

    `backlog_s` is the prefill backlog of the endpoint with the shortest
    one, `higher_density_load` the share of prefill time that requests of
    higher value density are expected to take: the retry competes for what
    is left of it.
    """
    fixed = _FIXED_S.get(reason)
    if fixed is not None:
        return fixed
    left = max(0.05, 1.0 - higher_density_load)
    return max(_MIN_S, min(_MAX_S, (_MIN_S + backlog_s) / left))
