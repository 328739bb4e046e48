"""The usual times of a service as its gateways report them."""

import statistics

from rackpost.decide import token_timing
from rackpost import types


class ReportedTiming(token_timing.TokenTiming):
    """Medians of what the gateways have observed."""

    def __init__(self) -> None:
        super().__init__()
        self._prefills: dict[types.VmId, float] = {}
        self._generations: dict[types.VmId, float] = {}
        self._median_prefill_s = 0.0

    def take(
        self,
        gateway: types.VmId,
        prefill_token_s: float,
        generation_s: float,
    ) -> None:
        """Take in a gateway's times in seconds; 0 is unknown."""
        if prefill_token_s > 0.0:
            self._prefills[gateway] = prefill_token_s
            self._median_prefill_s = statistics.median(self._prefills.values())
        if generation_s > 0.0:
            self._generations[gateway] = generation_s
            self.generation_s = statistics.median(self._generations.values())

    def forget(self, gateway: types.VmId) -> None:
        """Drop the times of a gateway that is gone, unless it is the last."""
        if len(self._prefills) > 1:
            self._prefills.pop(gateway, None)
        if len(self._generations) > 1:
            self._generations.pop(gateway, None)

    def prefill_s(self, tokens: int) -> float:
        """Return the expected time to prefill tokens, in seconds."""
        return self._median_prefill_s * tokens

    def prefill_tokens_in(self, seconds: float) -> int:
        """Return the tokens prefilled in a time; 0 if the rate is unknown."""
        if not self._median_prefill_s:
            return 0
        return int(seconds / self._median_prefill_s)
