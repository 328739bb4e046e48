"""How full an endpoint's KV memory will get.  Pure.

A request's memory grows with each token that it makes and is free at its
end.  All that run at one endpoint make their tokens in step, so that the
memory after some tokens is known from what each holds and has left.  What
each has left is a guess; where memory runs out one run is read anew and all
beside it pause, so that room is kept for guesses that are too short.
"""

import math
from typing import Iterable

import msgspec

# Memory is given in blocks of some tokens; each run fills its last one in
# part.  More than the blocks that are in use anywhere.
_BLOCK_TOKENS = 32
# Room is kept for so many times what the guesses of all that run are wrong
# by together, which grows with the root of their number.  With a half, twice
# as many runs are preempted in a crowd; with one and a half, a third more is
# refused where a quarter of the endpoints is gone (rackpost.testing.fleet).
_CERTAINTY = 1.0


class Run(msgspec.Struct, array_like=True, kw_only=True):
    """One request at a decode endpoint.

    Attributes:
        held_tokens: tokens that it holds, its prompt included.
        remaining_tokens: tokens that it is expected to make yet.
        error_tokens: tokens by which that is usually wrong.
    """

    held_tokens: int
    remaining_tokens: int
    error_tokens: int = 0


def peak_tokens(runs: Iterable[Run]) -> int:
    """The most tokens that these runs are likely to hold at one time."""
    by_end = sorted(runs, key=lambda run: run.remaining_tokens)
    held = sum(run.held_tokens + _BLOCK_TOKENS for run in by_end)
    most = held
    for at, run in enumerate(by_end):
        going = len(by_end) - at
        most = max(most, held + going * run.remaining_tokens)
        held -= run.held_tokens + _BLOCK_TOKENS
    off = math.sqrt(sum(run.error_tokens * run.error_tokens for run in by_end))
    return most + int(_CERTAINTY * off)


class Progress:
    """One run as its events come in.

    Lengths are guesses: one that is passed is moved on by a part of what
    the request may make at most.  `spread` is the part of an answer's rest
    by which guesses are usually wrong.
    """

    # Part of the rest that is expected of a run past its guess.
    _PAST_GUESS = 0.2

    def __init__(
        self,
        *,
        prompt: int,
        guess: int,
        max_tokens: int,
        event_tokens: int,
        spread: float = 0.0,
    ) -> None:
        self._prompt = prompt
        self._guess = guess
        self._most = max_tokens
        self._event_tokens = event_tokens
        self._spread = spread
        self.generated_tokens = 0
        self.run = Run(
            held_tokens=prompt,
            remaining_tokens=guess,
            error_tokens=self._off(guess),
        )

    def record_event(self) -> None:
        """An event has come from the endpoint."""
        self.generated_tokens += self._event_tokens
        rest = max(0, self._most - self.generated_tokens)
        left = max(
            self._guess - self.generated_tokens, int(self._PAST_GUESS * rest)
        )
        self.run.held_tokens = self._prompt + self.generated_tokens
        self.run.remaining_tokens = left
        self.run.error_tokens = self._off(left)

    def _off(self, left: int) -> int:
        """By how much a guess is usually wrong; never beyond the most."""
        longest = max(0, self._most - self.generated_tokens - left)
        return min(int(self._spread * left), longest)
