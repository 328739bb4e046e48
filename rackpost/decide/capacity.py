"""Capacity of a pool of endpoints, and a request's share of it."""

from typing import NamedTuple
from typing import Sequence

from rackpost.decide import endpoint_view
from rackpost import types

# Keeps value densities finite.
_MIN_COST_S = 1e-6


class PoolCapacity(NamedTuple):
    """Number of endpoints in a pool, and their total rates a second.

    `prefill_base_s` is the mean fixed cost of one prefill.
    """

    prefill_endpoints: int
    decode_endpoints: int
    prefill_tokens_s: float
    prefill_base_s: float
    slot_tokens_s: float

    def prefill_s(self, tokens: int) -> float:
        """Return the seconds that a prefill takes at a mean endpoint."""
        if not self.prefill_endpoints:
            return 0.0
        per_endpoint = self.prefill_tokens_s / self.prefill_endpoints
        return self.prefill_base_s + tokens / per_endpoint

    def cost(self, prefill_s: float, max_tokens: int) -> float:
        """Return the seconds of the whole pool that a request takes.

        This is the larger of its prefill and its decode cost.
        """
        pre = (
            prefill_s / self.prefill_endpoints
            if self.prefill_endpoints
            else 0.0
        )
        dec = max_tokens / self.slot_tokens_s if self.decode_endpoints else 0.0
        return max(pre, dec, _MIN_COST_S)


def of_pool(pool: Sequence[endpoint_view.EndpointView]) -> PoolCapacity:
    """Return the capacity of the endpoints that are not leaving."""
    prefills = decodes = 0
    tokens_s = base_s = slot_tokens_s = 0.0
    for view in pool:
        load = view.load
        if load.leaving:
            continue
        if load.role is types.Role.PREFILL:
            prefills += 1
            tokens_s += load.prefill_tokens_s
            base_s += load.prefill_base_s
        elif load.role is types.Role.DECODE:
            decodes += 1
            slot_tokens_s += load.slots / load.step_s
    return PoolCapacity(
        prefill_endpoints=prefills,
        decode_endpoints=decodes,
        prefill_tokens_s=tokens_s,
        prefill_base_s=base_s / max(1, prefills),
        slot_tokens_s=slot_tokens_s,
    )
