"""The usual times of a service as its gateways report them."""

import statistics

from rackpost.decide import token_timing
from rackpost.scheduler import messages
from rackpost import types


class ReportedTiming(token_timing.TokenTiming):
    """Medians of what the gateways have observed."""

    def __init__(self) -> None:
        super().__init__()
        self._prefills: dict[types.VmId, float] = {}
        self._decodes: dict[types.VmId, float] = {}
        self._generations: dict[types.VmId, float] = {}
        self._median_prefill_s = 0.0
        self._median_decode_s = 0.0

    def take(self, gateway: types.VmId, signs: messages.EndpointSigns) -> None:
        """Take in the times that a gateway has observed."""
        self._median_prefill_s = _median_with(
            self._prefills, gateway, signs.prefill_token_s
        )
        self._median_decode_s = _median_with(
            self._decodes, gateway, signs.decode_token_s
        )
        self.generation_s = _median_with(
            self._generations, gateway, signs.generation_s
        )

    def forget(self, gateway: types.VmId) -> None:
        """Drop the times of a gateway that is gone, unless it is the last."""
        for found in (self._prefills, self._decodes, self._generations):
            if len(found) > 1:
                found.pop(gateway, None)

    def prefill_s(self, tokens: int) -> float:
        """Return the expected time to prefill tokens, in seconds."""
        return self._median_prefill_s * tokens

    def decode_s(self, tokens: float) -> float:
        """Return the expected time to generate tokens, in seconds."""
        return self._median_decode_s * tokens

    def prefill_tokens_in(self, seconds: float) -> int:
        """Return the tokens prefilled in a time; 0 if the rate is unknown."""
        if not self._median_prefill_s:
            return 0
        return int(seconds / self._median_prefill_s)


def _median_with(
    known: dict[types.VmId, float], gateway: types.VmId, seconds: float
) -> float:
    """Return the median with a gateway's time; 0 is unknown."""
    if seconds > 0.0:
        known[gateway] = seconds
    return statistics.median(known.values()) if known else 0.0
