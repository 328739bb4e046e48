"""What other gateways reported of one model service.

Pure: times are readings of the owner's clock, in seconds.
"""

import math
from typing import Iterable
from typing import Iterator
from typing import Sequence

from rackpost.decide.waiting import arrival_rates
from rackpost.decide.waiting import contender
from rackpost import types

# Gateways report at least each half second.  Reports count a little longer:
# capacity must not stay free for a gateway that is gone.
LIFETIME_S = 1.3


class _Told:
    """The parts of one gateway's reports, each with when it arrived."""

    def __init__(self) -> None:
        self.rates: tuple[float, Sequence[arrival_rates.ArrivalRate]] = (
            -math.inf,
            (),
        )
        self.loads: tuple[float, Sequence[contender.OrganisationLoad]] = (
            -math.inf,
            (),
        )
        self.waiting: tuple[float, Sequence[contender.Contender]] = (
            -math.inf,
            (),
        )

    def take(self, report: contender.ContentionReport, now: float) -> None:
        if report.rates is not None:
            self.rates = now, report.rates
        if report.loads is not None:
            self.loads = now, report.loads
        if report.waiting is not None:
            self.waiting = now, report.waiting

    def newest(self) -> float:
        return max(self.rates[0], self.loads[0], self.waiting[0])


class PeerReports:
    """The latest reports of the other gateways."""

    def __init__(self) -> None:
        self._told: dict[types.VmId, _Told] = {}

    def receive(
        self,
        sender: types.VmId,
        report: contender.ContentionReport,
        now: float,
    ) -> None:
        """Take in the report of another gateway."""
        self._told.setdefault(sender, _Told()).take(report, now)
        for name, told in list(self._told.items()):
            if now - told.newest() > LIFETIME_S:
                del self._told[name]

    def count(self, now: float) -> int:
        """Return how many other gateways have reported lately."""
        return sum(
            now - told.newest() <= LIFETIME_S for told in self._told.values()
        )

    def loads(self, now: float) -> Iterator[contender.OrganisationLoad]:
        """Yield what organisations use and wait for at other gateways."""
        for told in self._told.values():
            at, loads = told.loads
            if now - at <= LIFETIME_S:
                yield from loads

    def waiting(
        self, now: float
    ) -> Iterator[tuple[types.VmId, float, contender.Contender]]:
        """Yield waiting requests: gateway, age in seconds, request."""
        for sender, told in self._told.items():
            at, waiting = told.waiting
            if now - at <= LIFETIME_S:
                for item in waiting:
                    yield sender, now - at, item

    def rates(
        self, own: Iterable[arrival_rates.ArrivalRate], now: float
    ) -> list[arrival_rates.ArrivalRate]:
        """Return the rates of arrivals at all gateways, by priority.

        `own` are those of this gateway.
        """
        sources = [own]
        sources += [
            told.rates[1]
            for told in self._told.values()
            if now - told.rates[0] <= LIFETIME_S
        ]
        found: dict[int, arrival_rates.ArrivalRate] = {}
        for rate in (item for rates in sources for item in rates):
            known = found.get(rate.priority)
            found[rate.priority] = arrival_rates.ArrivalRate(
                priority=rate.priority,
                per_s=rate.per_s + (known.per_s if known else 0.0),
                slack_s=min(
                    rate.slack_s, known.slack_s if known else math.inf
                ),
            )
        return list(found.values())
