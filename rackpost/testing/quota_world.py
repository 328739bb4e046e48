"""Simulates gateways that share one organisation's quota in virtual time.

Reports between gateways are delayed, may be lost, and are forgotten in
restarts.  A generation uses about half a second's worth of the quota.
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
# The site's promise for any window.
MAX_UNITS_PER_WINDOW = (
    TERMS.limit(QUOTA) * (1.0 + TERMS.overshoot) + TERMS.slack
)
_ITEM = model.Organisation(name=ORGANISATION, keys=(), quota=QUOTA)
# Tokens of a generation: its prompt and its answer limit.
_MIN_TOKENS = 13_000
_MAX_TOKENS = 17_000
REPORT_DELAY_S = 0.01
_REPORT_INTERVAL_S = 1.0

# Makes the quotas of a gateway from its start time and its index.
Make = Callable[[float, int], quota.Quotas]


class _Message(NamedTuple):
    """A report in transit."""

    at: float
    sender: int
    incarnation: int
    receiver: int
    report: quota.QuotaReport


class World:
    """Simulated gateways that exchange quota reports."""

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
        # All gateways started long before the simulation does.
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
        """Whether a partition separates two gateways."""
        return self.cut and one % 2 != other % 2

    def publish(self, sender: int, loss: float = 0.0) -> None:
        """Send a gateway's changes to all others."""
        report = self.gateways[sender].next_report(self.now)
        size = len(codec.encode(report))
        for other in range(len(self.gateways)):
            if other == sender:
                continue
            self.messages += 1
            self.bytes += size
            if self.are_apart(sender, other) or self.rng.random() < loss:
                continue
            incarnation = self.incarnations[sender]
            message = _Message(
                self.now + REPORT_DELAY_S, sender, incarnation, other, report
            )
            self._due.append(message)

    def step(self, seconds: float) -> None:
        """Advance the time and deliver the reports that are due."""
        self.now += seconds
        due = [item for item in self._due if item.at <= self.now]
        self._due = [item for item in self._due if item.at > self.now]
        for message in due:
            name = types.VmId(str(message.sender))
            self.gateways[message.receiver].receive(
                name, message.incarnation, message.report, message.at
            )

    def submit(self, at: int, wanted: int) -> bool:
        """Submit a request to a gateway; return whether it is admitted."""
        self.requested += wanted
        one = self.gateways[at]
        if one.check(_ITEM, wanted, self.now) is not None:
            return False
        one.admit(ORGANISATION, wanted, self.now)
        one.record_sent(ORGANISATION, wanted, self.now)
        self.admitted.append((self.now, wanted))
        return True

    def restart(self, *group: int) -> None:
        """Restart gateways without their state; the others report theirs."""
        for at in group:
            self.incarnations[at] += 1
            self.gateways[at] = self._new(at, self.now)
        for at in group:
            self.publish(at)
        self.step(REPORT_DELAY_S)
        for at in range(len(self.gateways)):
            self.publish(at)

    def max_units_in_window(self) -> int:
        """Return the most units that were admitted in any window."""
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
        """Generate load at all gateways; yield the number of each second."""
        until = self.now + seconds
        next_request_at = self.now
        next_report_at = self.now + _REPORT_INTERVAL_S
        second = 0
        while self.now < until:
            if next_request_at < next_report_at:
                self.step(max(0.0, next_request_at - self.now))
                at = self.rng.randrange(len(self.gateways))
                if self.submit(
                    at, self.rng.randrange(_MIN_TOKENS, _MAX_TOKENS)
                ):
                    self.publish(at, loss)
                next_request_at += self.rng.expovariate(requests_per_s)
                continue
            self.step(max(0.0, next_report_at - self.now))
            next_report_at += _REPORT_INTERVAL_S
            for one in range(len(self.gateways)):
                self.publish(one, loss)
            yield second
            second += 1
