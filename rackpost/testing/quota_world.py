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
MAX_UNITS_PER_WINDOW = (
    TERMS.limit(QUOTA) * (1.0 + TERMS.overshoot) + TERMS.slack
)
_ITEM = model.Organisation(name=ORGANISATION, keys=(), quota=QUOTA)
# Tokens of a generation: prompt and the most that it may answer.
_MIN_TOKENS = 13_000
_MAX_TOKENS = 17_000
# From a change to its arrival at the others, and between two tellings of
# everything, in seconds.
REPORT_DELAY_S = 0.01
_REPORT_INTERVAL_S = 1.0

# Makes the decisions of a gateway that starts at a clock reading.
Make = Callable[[float, int], quota.Quotas]


class _Message(NamedTuple):
    """A message on its way."""

    at: float
    sender: int
    incarnation: int
    receiver: int
    report: quota.QuotaReport


class World:
    """Gateways that tell each other late, lose words, restart and are cut."""

    def __init__(
        self, *, make: Make, rng: random.Random, gateways: int
    ) -> None:
        self.rng = rng
        self.now = 0.0
        self.admitted: list[tuple[float, int]] = []
        self.requested = 0
        self.messages = 0
        self.bytes = 0
        self.incarnations = [1] * gateways
        self._make = make
        # All have run for long when the world begins.
        self.gateways = [self._new(at, -100.0) for at in range(gateways)]
        self.cut = False
        self._due: list[_Message] = []
        for at in range(gateways):
            self.publish(at)
        self.step(REPORT_DELAY_S)

    def _new(self, at: int, began: float) -> quota.Quotas:
        found = self._make(began, at)
        found.gateways = len(self.incarnations)
        return found

    def are_apart(self, one: int, other: int) -> bool:
        """Whether a cut lies between two gateways."""
        return self.cut and one % 2 != other % 2

    def publish(self, sender: int, loss: float = 0.0) -> None:
        """A gateway tells all others what has changed."""
        told = self.gateways[sender].next_report(self.now)
        size = len(codec.encode(told))
        for other in range(len(self.gateways)):
            if other == sender:
                continue
            self.messages += 1
            self.bytes += size
            if self.are_apart(sender, other) or self.rng.random() < loss:
                continue
            life = self.incarnations[sender]
            word = _Message(
                self.now + REPORT_DELAY_S, sender, life, other, told
            )
            self._due.append(word)

    def step(self, seconds: float) -> None:
        """Time passes; words arrive."""
        self.now += seconds
        due = [item for item in self._due if item.at <= self.now]
        self._due = [item for item in self._due if item.at > self.now]
        for word in due:
            name = types.VmId(str(word.sender))
            self.gateways[word.receiver].receive(
                name, word.incarnation, word.report, word.at
            )

    def submit(self, at: int, wanted: int) -> bool:
        """A request comes to a gateway; whether it passes."""
        self.requested += wanted
        one = self.gateways[at]
        if one.check(_ITEM, wanted, self.now) is not None:
            return False
        one.admit(ORGANISATION, wanted, self.now)
        one.record_sent(ORGANISATION, wanted, self.now)
        self.admitted.append((self.now, wanted))
        return True

    def restart(self, *group: int) -> None:
        """They know nothing; all tell newcomers what they know."""
        for at in group:
            self.incarnations[at] += 1
            self.gateways[at] = self._new(at, self.now)
        for at in group:
            self.publish(at)
        self.step(REPORT_DELAY_S)
        for at in range(len(self.gateways)):
            self.publish(at)

    def max_units_in_window(self) -> int:
        """The most that has passed in any window."""
        window_s = TERMS.window_s
        return max(
            (
                sum(n for t, n in self.admitted if at - window_s < t <= at)
                for at, _ in self.admitted
            ),
            default=0,
        )

    def play(
        self, *, requests_per_s: float, seconds: float, loss: float = 0.01
    ) -> Iterator[int]:
        """A crowd of the organisation, at all gateways; yields seconds."""
        until = self.now + seconds
        next_ask = self.now
        next_all = self.now + _REPORT_INTERVAL_S
        second = 0
        while self.now < until:
            if next_ask < next_all:
                self.step(max(0.0, next_ask - self.now))
                at = self.rng.randrange(len(self.gateways))
                if self.submit(
                    at, self.rng.randrange(_MIN_TOKENS, _MAX_TOKENS)
                ):
                    self.publish(at, loss)
                next_ask += self.rng.expovariate(requests_per_s)
                continue
            self.step(max(0.0, next_all - self.now))
            next_all += _REPORT_INTERVAL_S
            for one in range(len(self.gateways)):
                self.publish(one, loss)
            yield second
            second += 1
