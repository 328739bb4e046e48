"""How fast tokens are read and made, as observed.  Pure.

What is held up on its way, at its endpoint or here, looks slow, and nothing
makes it look faster than it is.  So one that is much faster than what is
known replaces that: a first figure that was held up by seconds would else be
the pace for tens of requests.
"""

# Weight of the newest figure in the running averages.
_ALPHA = 0.1
# A prefill shares its endpoint with those that come after it, which makes
# it look slow: faster ones count for more.
_FASTER = 0.3
_SLOWER = 0.03
# From so many times faster on a figure replaces what is known.
_REPLACES_X = 3.0
# A prefill that takes this many times longer than expected is given up;
# the prompt is then read elsewhere.
_PATIENCE_X = 4.0
# Patience never falls below this, and is this before any was seen, in
# seconds.
_MIN_S = 0.4
_UNKNOWN_S = 1.0
# What starts take beyond the reading of their prompts is followed so that
# this part of them take less, in steps of so many seconds, larger ones
# before many were seen: one start that fails and takes seconds moves it by
# no more than any other that is slow.  (A mean and its deviation, moved by
# some such starts, made all requests look late before they were begun.)
_START_SHARE = 0.8
_START_STEP_S = 0.005
_FIRST_STEP_S = 0.1


class TokenTiming:
    """Running averages of the time that a token takes."""

    def __init__(self) -> None:
        self._token_s: float | None = None
        self._made_s: float | None = None
        # How long a generation holds its place, in seconds; 0 if unseen.
        self.run_s = 0.0
        self._runs = 0
        # What a start takes beyond the reading of its prompt, in seconds.
        self._extra_s = 0.0
        self._starts = 0

    def record_decode(self, tokens: int, seconds: float) -> None:
        """A decode made so many tokens in so long."""
        if tokens <= 0:
            return
        self._runs += 1
        # At first the plain mean: none of the first few is the usual one.
        weight = max(_ALPHA, 1.0 / self._runs)
        self.run_s += weight * (seconds - self.run_s)
        pace = seconds / tokens
        if self._made_s is None or pace * _REPLACES_X < self._made_s:
            self._made_s = pace
        self._made_s += _ALPHA * (pace - self._made_s)

    @property
    def is_known(self) -> bool:
        """Whether prompts were read, and tokens made, since the start."""
        return self._token_s is not None and self._made_s is not None

    def record_partial_decode(self, tokens: int, seconds: float) -> None:
        """A stream under way made so many tokens in so long.

        It counts only until a whole one has ended, which takes seconds.
        """
        if self._made_s is None and tokens > 0:
            self._made_s = seconds / tokens

    def decode_s(self, tokens: float) -> float:
        """How long it should take to make so many tokens."""
        return (self._made_s or 0.0) * tokens

    def record_prefill(self, tokens: int, seconds: float) -> None:
        """A prefill, with what was ahead of it, took so long."""
        if tokens <= 0:
            return
        pace = seconds / tokens
        if self._token_s is None or pace * _REPLACES_X < self._token_s:
            self._token_s = pace
        weight = _FASTER if pace < self._token_s else _SLOWER
        self._token_s += weight * (pace - self._token_s)

    def prefill_s(self, tokens: int) -> float:
        """How long it should take to read so many tokens."""
        return (self._token_s or 0.0) * tokens

    def prefill_tokens_in(self, seconds: float) -> int:
        """How many tokens are read in so long; 0 if no pace is known."""
        return int(seconds / self._token_s) if self._token_s else 0

    def record_start(self, tokens: int, seconds: float) -> None:
        """From its place a prompt took so long to its first event."""
        self._starts += 1
        step = max(_START_STEP_S, _FIRST_STEP_S / self._starts)
        if seconds > self.prefill_s(tokens) + self._extra_s:
            self._extra_s += _START_SHARE * step
        else:
            self._extra_s -= (1.0 - _START_SHARE) * step
        self._extra_s = max(0.0, self._extra_s)

    def start_s(self, tokens: int) -> float:
        """From a place to the first event, in seconds; most take less."""
        return self.prefill_s(tokens) + self._extra_s

    def prefill_timeout_s(self, tokens: int) -> float:
        """How long to wait for it before it is read elsewhere."""
        if self._token_s is None:
            return _UNKNOWN_S
        return max(_MIN_S, _PATIENCE_X * self.prefill_s(tokens))
