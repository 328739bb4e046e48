"""How full an endpoint's KV memory will get.  Pure.

A request's memory grows with each token that it makes and is free at its
end.  All that run at one endpoint make their tokens in step, so that the
memory after some tokens is known from what each holds and has left.
"""

from typing import Iterable

import msgspec

# Memory is given in blocks of some tokens; each run fills its last one in
# part.  More than the blocks that are in use anywhere.
_BLOCK_TOKENS = 32


class Run(msgspec.Struct, array_like=True, kw_only=True):
    """One request at a decode endpoint.

    Attributes:
        size: tokens that it holds, its prompt included.
        left: tokens that it is expected to make yet.
    """

    size: int
    left: int


def peak(runs: Iterable[Run]) -> int:
    """The most tokens that these runs will hold at one time."""
    by_end = sorted(runs, key=lambda run: run.left)
    held = sum(run.size + _BLOCK_TOKENS for run in by_end)
    most = held
    for at, run in enumerate(by_end):
        going = len(by_end) - at
        most = max(most, held + going * run.left)
        held -= run.size + _BLOCK_TOKENS
    return most


class Progress:
    """One run as its events come in.

    Lengths are guesses: one that is passed is moved on by a part of what
    the request may make at most.
    """

    # Part of the rest that is expected of a run past its guess.
    _PAST_GUESS = 0.2

    def __init__(
        self, *, prompt: int, guess: int, most: int, event_tokens: int
    ) -> None:
        self._prompt = prompt
        self._guess = guess
        self._most = most
        self._event_tokens = event_tokens
        self.made = 0
        self.run = Run(size=prompt, left=guess)

    def event(self) -> None:
        """An event has come from the endpoint."""
        self.made += self._event_tokens
        rest = max(0, self._most - self.made)
        left = max(self._guess - self.made, int(self._PAST_GUESS * rest))
        self.run.size = self._prompt + self.made
        self.run.left = left
