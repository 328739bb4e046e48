"""Counts what generations demand of each role of endpoint."""

from rackpost.gateway import call as call_mod
from rackpost.routing import model

# Average share of an answer's tokens for which memory is held while it is
# generated: half would be used, and the rest is reserved.
_AVERAGE_HELD_SHARE = 0.75


def record(
    call: call_mod.Call, engine: model.Engine, *, prompt: int, out: int
) -> None:
    """Count a request with a prompt and an expected answer, in tokens."""
    # More memory is reserved than a run holds on average.
    held_tokens = prompt + _AVERAGE_HELD_SHARE * out
    share = max(
        held_tokens / max(1, engine.memory_tokens),
        1.0 / max(1, engine.slots),
    )
    call.site.demand_meter(call.service.name).add(
        call.began, prompt=prompt, out=out, share=share
    )
