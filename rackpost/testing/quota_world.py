"""Gateways under one quota, in virtual time: words late, lost, forgotten.

The load is that of a small organisation: 29,000 tokens a second, of which a
generation counts some 15,000, so that a few at once are a second of it.
"""

import random
from typing import Callable
from typing import Iterator
from typing import NamedTuple

from rackpost.decide import quota
from rackpost.link import codec
from rackpost.routing import model
from rackpost import types

ORGANISATION = types.OrganisationName("nord")
TERMS = quota.QuotaSettings(window_s=8.0, overshoot=0.1, slack=120_000)
QUOTA = model.Quota(
    rate_per_s=29_000, burst=29_000, by_tokens=True, plain_units=200
)
# The most that may be spent in any window: the site's promise.
MOST = TERMS.limit(QUOTA) * (1.0 + TERMS.overshoot) + TERMS.slack
_ITEM = model.Organisation(name=ORGANISATION, keys=(), quota=QUOTA)
# Tokens of a generation: prompt and the most that it may answer.
_SMALLEST = 13_000
_LARGEST = 17_000
# From a change to its arrival at the others, and between two tellings of
# everything, in seconds.
TOLD_S = 0.01
_AGAIN_S = 1.0

# Makes the decisions of a gateway that starts at a clock reading.
Make = Callable[[float, int], quota.Quotas]


class _Word(NamedTuple):
    """A message on its way."""

    at: float
    sender: int
    life: int
    to: int
    told: quota.QuotaReport


class World:
    """Gateways that tell each other late, lose words, restart and are cut."""

    def __init__(
        self, *, make: Make, rng: random.Random, gateways: int
    ) -> None:
        self.rng = rng
        self.now = 0.0
        self.passed: list[tuple[float, int]] = []
        self.asked = 0
        self.messages = 0
        self.bytes = 0
        self.lives = [1] * gateways
        self._make = make
        # All have run for long when the world begins.
        self.all = [self._new(at, -100.0) for at in range(gateways)]
        self.cut = False
        self._due: list[_Word] = []
        for at in range(gateways):
            self.tell(at)
        self.step(TOLD_S)

    def _new(self, at: int, began: float) -> quota.Quotas:
        found = self._make(began, at)
        found.gateways = len(self.lives)
        return found

    def are_apart(self, one: int, other: int) -> bool:
        """Whether a cut lies between two gateways."""
        return self.cut and one % 2 != other % 2

    def tell(self, sender: int, loss: float = 0.0) -> None:
        """A gateway tells all others what has changed."""
        told = self.all[sender].next_report(self.now)
        size = len(codec.encode(told))
        for other in range(len(self.all)):
            if other == sender:
                continue
            self.messages += 1
            self.bytes += size
            if self.are_apart(sender, other) or self.rng.random() < loss:
                continue
            life = self.lives[sender]
            word = _Word(self.now + TOLD_S, sender, life, other, told)
            self._due.append(word)

    def step(self, seconds: float) -> None:
        """Time passes; words arrive."""
        self.now += seconds
        due = [item for item in self._due if item.at <= self.now]
        self._due = [item for item in self._due if item.at > self.now]
        for word in due:
            name = types.VmId(str(word.sender))
            self.all[word.to].receive(name, word.life, word.told, word.at)

    def ask(self, at: int, wanted: int) -> bool:
        """A request comes to a gateway; whether it passes."""
        self.asked += wanted
        one = self.all[at]
        if one.check(_ITEM, wanted, self.now) is not None:
            return False
        one.admit(ORGANISATION, wanted, self.now)
        one.record_sent(ORGANISATION, wanted, self.now)
        self.passed.append((self.now, wanted))
        return True

    def restart(self, *group: int) -> None:
        """They know nothing; all tell newcomers what they know."""
        for at in group:
            self.lives[at] += 1
            self.all[at] = self._new(at, self.now)
        for at in group:
            self.tell(at)
        self.step(TOLD_S)
        for at in range(len(self.all)):
            self.tell(at)

    def most_in_a_window(self) -> int:
        """The most that has passed in any window."""
        window_s = TERMS.window_s
        return max(
            (
                sum(n for t, n in self.passed if at - window_s < t <= at)
                for at, _ in self.passed
            ),
            default=0,
        )

    def play(
        self, *, ask_per_s: float, seconds: float, loss: float = 0.01
    ) -> Iterator[int]:
        """A crowd of the organisation, at all gateways; yields seconds."""
        until = self.now + seconds
        next_ask = self.now
        next_all = self.now + _AGAIN_S
        second = 0
        while self.now < until:
            if next_ask < next_all:
                self.step(max(0.0, next_ask - self.now))
                at = self.rng.randrange(len(self.all))
                if self.ask(at, self.rng.randrange(_SMALLEST, _LARGEST)):
                    self.tell(at, loss)
                next_ask += self.rng.expovariate(ask_per_s)
                continue
            self.step(max(0.0, next_all - self.now))
            next_all += _AGAIN_S
            for one in range(len(self.all)):
                self.tell(one, loss)
            yield second
            second += 1
