"""What a pool of endpoints can do, and what a request costs of it.

Pure.
"""

from typing import NamedTuple
from typing import Sequence

from rackpost.decide import endpoint_view
from rackpost import types

_LEAST_COST_S = 1e-6


class PoolCapacity(NamedTuple):
    """A pool: its endpoints, and what they do together in a second."""

    prefill_endpoints: int
    decode_endpoints: int
    prefill_tokens_s: float
    prefill_base_s: float
    slot_tokens_s: float

    def prefill_s(self, tokens: int) -> float:
        """Seconds of one endpoint that a prefill of `tokens` takes."""
        if not self.prefill_endpoints:
            return 0.0
        each = self.prefill_tokens_s / self.prefill_endpoints
        return self.prefill_base_s + tokens / each

    def cost(self, prefill_s: float, max_tokens: int) -> float:
        """Seconds of the whole pool that a request takes.

        Of its two halves the one that takes the larger share counts.
        """
        pre = (
            prefill_s / self.prefill_endpoints
            if self.prefill_endpoints
            else 0.0
        )
        dec = max_tokens / self.slot_tokens_s if self.decode_endpoints else 0.0
        return max(pre, dec, _LEAST_COST_S)


def of_pool(pool: Sequence[endpoint_view.EndpointView]) -> PoolCapacity:
    """The capacity of all endpoints of a service that are not leaving."""
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
