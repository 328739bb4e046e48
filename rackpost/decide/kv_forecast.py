"""Forecast the peak KV memory use of a decode endpoint.

A generation's KV cache grows with each token and is freed at its end.  All
generations at an endpoint progress at the same pace, so future memory use
follows from the tokens that each holds and is still to generate.  The latter
are estimates, and a preemption for lack of memory pauses all generations, so
the forecast adds a margin for their error.
"""

import math
from typing import Iterable

import msgspec

# KV memory is allocated in blocks, of which each run leaves the last one
# partly unused.  At least as large as the block of any engine in use.
_BLOCK_TOKENS = 32
# Margin for estimation error, in standard deviations of the sum.  With 0.5,
# twice as many runs are preempted in a burst; with 1.5, a third more requests
# are refused while a quarter of the endpoints are gone
# (rackpost.testing.fleet).
_ERROR_MARGIN = 1.0


class Run(msgspec.Struct, array_like=True, kw_only=True):
    """A generation at a decode endpoint, in tokens.

    Attributes:
        held_tokens: tokens in its KV cache, including the prompt.
        remaining_tokens: tokens that it is expected to generate yet.
        error_tokens: the usual error of `remaining_tokens`.
    """

    held_tokens: int
    remaining_tokens: int
    error_tokens: int = 0


def peak_tokens(runs: Iterable[Run]) -> int:
    """Return the peak number of tokens that the runs are likely to hold."""
    by_end = sorted(runs, key=lambda run: run.remaining_tokens)
    held = sum(run.held_tokens + _BLOCK_TOKENS for run in by_end)
    peak = held
    for index, run in enumerate(by_end):
        active = len(by_end) - index
        peak = max(peak, held + active * run.remaining_tokens)
        held -= run.held_tokens + _BLOCK_TOKENS
    error = math.sqrt(
        sum(run.error_tokens * run.error_tokens for run in by_end)
    )
    return peak + int(_ERROR_MARGIN * error)


class Progress:
    """Updates a run as its events arrive."""

    # Share of the maximum remaining length that is expected of a run that
    # has exceeded its estimate.
    _OVERRUN_SHARE = 0.2

    def __init__(
        self,
        *,
        prompt: int,
        guess: int,
        max_tokens: int,
        event_tokens: int,
        spread: float = 0.0,
    ) -> None:
        """Start a run with a prompt of `prompt` tokens.

        `guess` is the estimated and `max_tokens` the maximum length of the
        answer; `spread` is the usual error of an estimate, as a share of it.
        """
        self._prompt = prompt
        self._guess = guess
        self._max_tokens = max_tokens
        self._event_tokens = event_tokens
        self._spread = spread
        self.generated_tokens = 0
        self.run = Run(
            held_tokens=prompt,
            remaining_tokens=guess,
            error_tokens=self._error_tokens(guess),
        )

    def record_event(self) -> None:
        """Record that an event of the stream has arrived."""
        self.generated_tokens += self._event_tokens
        max_remaining = max(0, self._max_tokens - self.generated_tokens)
        remaining = max(
            self._guess - self.generated_tokens,
            int(self._OVERRUN_SHARE * max_remaining),
        )
        self.run.held_tokens = self._prompt + self.generated_tokens
        self.run.remaining_tokens = remaining
        self.run.error_tokens = self._error_tokens(remaining)

    def _error_tokens(self, remaining: int) -> int:
        """Return the usual error, within the maximum answer length."""
        max_error = max(
            0, self._max_tokens - self.generated_tokens - remaining
        )
        return min(int(self._spread * remaining), max_error)
