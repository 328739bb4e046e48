"""When a refused caller may come back.  Pure; all in seconds."""

from rackpost import types

_SOONEST_S = 0.5
_LATEST_S = 30.0
# Where the load does not tell: a restart, a rest of an endpoint, an
# election of control's.
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
    """Seconds after which another try makes sense.

    `backlog_s` is the least prefill work that an endpoint has promised,
    `higher_density_load` the share of the engines' time that goes to what
    counts more; as long as that is nearly all there is no use in coming back
    soon.
    """
    fixed = _FIXED_S.get(reason)
    if fixed is not None:
        return fixed
    left = max(0.05, 1.0 - higher_density_load)
    return max(_SOONEST_S, min(_LATEST_S, (_SOONEST_S + backlog_s) / left))
