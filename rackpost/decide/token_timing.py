"""Estimate prefill and decode time per token from observed requests.

Delays on the network, at the endpoint or at the gateway only ever make a
sample too slow.  So a sample that is much faster than the estimate replaces
it; otherwise a delayed first sample would distort the estimate for long.
"""

# Weight of the newest sample in the running averages of decodes.
_EWMA_WEIGHT = 0.1
# The same after a request was refused by the estimate: refused requests give
# no samples, so that the few that are left have to correct it.
_REFUSED_WEIGHT = 0.5
# Weights of a prefill that is faster or slower than the estimate.  Later
# prefills at the same endpoint slow down a prefill, so faster samples are
# more reliable.
_FASTER_WEIGHT = 0.3
_SLOWER_WEIGHT = 0.03
# A sample that is faster by this factor replaces the estimate.
_REPLACE_FACTOR = 3.0
# A prefill that takes this many times the expected time is abandoned and
# started elsewhere.
_TIMEOUT_FACTOR = 4.0
_MIN_TIMEOUT_S = 0.4
# Prefill timeout while no prefill was observed.
_INITIAL_TIMEOUT_S = 1.0
# The start overhead is estimated as this quantile, in fixed steps, so that
# a few very slow starts do not make all requests look late.  The first steps
# are larger.
_START_QUANTILE = 0.8
_START_STEP_S = 0.005
_FIRST_STEP_S = 0.1


class TokenTiming:
    """Running averages of prefill and decode time per token."""

    def __init__(self) -> None:
        self._prefill_token_s: float | None = None
        self._decode_token_s: float | None = None
        # Mean time that a generation holds its reservation; 0 if unknown.
        self.generation_s = 0.0
        self._runs = 0
        # Whether a request was refused since the last decode.
        self._has_refused = False
        # Time from reservation to first event beyond the prefill itself.
        self._start_overhead_s = 0.0
        self._starts = 0

    def record_refused(self) -> None:
        """Record that a request was refused by these estimates."""
        self._has_refused = True

    def record_decode(self, tokens: int, seconds: float) -> None:
        """Record the length and duration of a complete generation."""
        if tokens <= 0:
            return
        self._runs += 1
        base_weight = _REFUSED_WEIGHT if self._has_refused else _EWMA_WEIGHT
        self._has_refused = False
        # A plain mean at first, so that no early sample dominates.
        weight = max(base_weight, 1.0 / self._runs)
        self.generation_s += weight * (seconds - self.generation_s)
        token_s = seconds / tokens
        if (
            self._decode_token_s is None
            or token_s * _REPLACE_FACTOR < self._decode_token_s
        ):
            self._decode_token_s = token_s
        self._decode_token_s += base_weight * (token_s - self._decode_token_s)

    @property
    def is_known(self) -> bool:
        """Whether both a prefill and a decode were observed."""
        return (
            self._prefill_token_s is not None
            and self._decode_token_s is not None
        )

    def record_partial_decode(self, tokens: int, seconds: float) -> None:
        """Record the progress of a generation that is still running.

        Ignored once a complete generation was observed.
        """
        if self._decode_token_s is None and tokens > 0:
            self._decode_token_s = seconds / tokens

    def decode_s(self, tokens: float) -> float:
        """Return the expected time to generate tokens, in seconds."""
        return (self._decode_token_s or 0.0) * tokens

    def record_prefill(self, tokens: int, seconds: float) -> None:
        """Record a prefill; both figures include the prompts ahead of it."""
        if tokens <= 0:
            return
        token_s = seconds / tokens
        if (
            self._prefill_token_s is None
            or token_s * _REPLACE_FACTOR < self._prefill_token_s
        ):
            self._prefill_token_s = token_s
        weight = (
            _FASTER_WEIGHT
            if token_s < self._prefill_token_s
            else _SLOWER_WEIGHT
        )
        self._prefill_token_s += weight * (token_s - self._prefill_token_s)

    def prefill_s(self, tokens: int) -> float:
        """Return the expected time to prefill tokens, in seconds."""
        return (self._prefill_token_s or 0.0) * tokens

    def prefill_tokens_in(self, seconds: float) -> int:
        """Return the tokens prefilled in a time; 0 if the rate is unknown."""
        return (
            int(seconds / self._prefill_token_s)
            if self._prefill_token_s
            else 0
        )

    def record_start(self, tokens: int, seconds: float) -> None:
        """Record the time from a reservation to the first event."""
        self._starts += 1
        step = max(_START_STEP_S, _FIRST_STEP_S / self._starts)
        if seconds > self.prefill_s(tokens) + self._start_overhead_s:
            self._start_overhead_s += _START_QUANTILE * step
        else:
            self._start_overhead_s -= (1.0 - _START_QUANTILE) * step
        self._start_overhead_s = max(0.0, self._start_overhead_s)

    def start_s(self, tokens: int) -> float:
        """Return the time from a reservation to the first event, in seconds.

        Most starts take less.
        """
        return self.prefill_s(tokens) + self._start_overhead_s

    def prefill_timeout_s(self, tokens: int) -> float:
        """Return how long to wait for a prefill before trying elsewhere."""
        if self._prefill_token_s is None:
            return _INITIAL_TIMEOUT_S
        return max(_MIN_TIMEOUT_S, _TIMEOUT_FACTOR * self.prefill_s(tokens))
