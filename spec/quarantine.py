"""Model of a request that crashes endpoints: how many crashes it can cause.

There are two gateways and three coordinators.  The request is repeated, and
each time it is sent on, an endpoint's incarnation ends.  Gateways may restart
and a coordinator may lose its disk at any time, and all processes may lose
power together, with one disk.  `decide.quarantine` decides what is
quarantined, reported and stored.

A report takes one step: links take milliseconds, requests repeat in seconds.
"""

import functools

import minicheck

from rackpost.decide import quarantine
from rackpost import types

GATEWAYS = 2
COORDINATORS = 3
# Bounds the state space.
MAX_LOSSES = 2
# Enough crashes to violate the bound if a fault lifts it.
_MAX_ENDED = 12
# Additional endpoints that a loss may cost.  A gateway that ends loses its
# last unreported suspicion; a power loss also loses one that was reported
# but not stored.
_COST_GATEWAY = 1
_COST_POWER = 2

_REQUEST = types.Fingerprint(b"\x01")

# Ended incarnations known to each gateway, and those it has not reported;
# those known to each coordinator, and on its disk; number of incarnations
# that ended; allowed cost of the losses; number of losses.
FIELDS = (
    "gateways",
    "unreported",
    "tables",
    "disks",
    "ended",
    "cost",
    "losses",
)
_NONE: frozenset[int] = frozenset()
INITIAL = (
    (_NONE,) * GATEWAYS,
    (_NONE,) * GATEWAYS,
    (_NONE,) * COORDINATORS,
    (_NONE,) * COORDINATORS,
    0,
    0,
    0,
)

MUTANTS = {
    "no-disk": "coordinators store nothing on their disks",
    "one-told": "a gateway reports to only one coordinator",
    "not-told-again": "a restarted gateway receives no known suspicions",
    "by-endpoint": "an endpoint that crashed twice counts once",
}


@functools.cache
def _is_quarantined(incarnations: frozenset[int]) -> bool:
    """Whether these ended incarnations quarantine the request."""
    table = quarantine.Quarantine()
    table.add([_suspicion(item) for item in incarnations], 0.0)
    return table.is_quarantined(_REQUEST, 1.0)


def _suspicion(incarnation: int) -> quarantine.Suspicion:
    return quarantine.Suspicion(
        subject=_REQUEST, endpoint=types.EndpointId("e"), born=incarnation + 1
    )


def _with(items: tuple, at: int, new: object) -> tuple:
    return (*items[:at], new, *items[at + 1 :])


class Steps:
    """The transitions; `fault` names the mutant, if any."""

    def __init__(self, *, fault: str = "") -> None:
        self.fault = fault

    def __call__(self, state: tuple) -> list[tuple[str, tuple]]:
        """Return all steps from a state."""
        found = self._repeat_request(state)
        found += self._report(state)
        found += self._end_gateway(state)
        found += self._end_coordinator(state)
        found += self._lose_power(state)
        return found

    def _repeat_request(self, state: tuple) -> list[tuple[str, tuple]]:
        """Repeat the request once everything has been reported."""
        gateways, unreported, tables, disks, ended, cost, losses = state
        if any(unreported) or ended >= _MAX_ENDED:
            return []
        found = []
        for at, known in enumerate(gateways):
            if _is_quarantined(known):
                continue
            incarnation = 0 if self.fault == "by-endpoint" else ended
            new = (
                _with(gateways, at, known | {incarnation}),
                _with(unreported, at, frozenset([incarnation])),
                tables,
                disks,
                ended + 1,
                cost,
                losses,
            )
            found.append((f"an end at gateway {at}", new))
        return found

    def _report(self, state: tuple) -> list[tuple[str, tuple]]:
        gateways, unreported, tables, disks, ended, cost, losses = state
        found = []
        for at, new_items in enumerate(unreported):
            if not new_items:
                continue
            recipients = 1 if self.fault == "one-told" else COORDINATORS
            after = tuple(
                table | new_items if number < recipients else table
                for number, table in enumerate(tables)
            )
            new = (
                self._distribute(gateways, after),
                _with(unreported, at, _NONE),
                after,
                self._store(disks, after),
                ended,
                cost,
                losses,
            )
            found.append((f"gateway {at} reports", new))
        return found

    def _distribute(self, gateways: tuple, tables: tuple) -> tuple:
        """Send suspicions with enough ended incarnations to all gateways."""
        known: frozenset[int] = frozenset().union(
            *(
                table
                for table in tables
                if len(table) >= quarantine.MIN_ENDED_TO_REPORT
            )
        )
        return tuple(table | known for table in gateways)

    def _store(self, disks: tuple, tables: tuple) -> tuple:
        if self.fault == "no-disk":
            return disks
        return tuple(
            table if len(table) >= quarantine.MIN_ENDED_TO_REPORT else disk
            for disk, table in zip(disks, tables, strict=True)
        )

    def _end_gateway(self, state: tuple) -> list[tuple[str, tuple]]:
        gateways, unreported, tables, disks, ended, cost, losses = state
        if losses >= MAX_LOSSES:
            return []
        found = []
        for at in range(GATEWAYS):
            fresh = _with(gateways, at, _NONE)
            if self.fault != "not-told-again":
                received = self._distribute(fresh, tables)
                fresh = _with(fresh, at, received[at])
            new = (
                fresh,
                _with(unreported, at, _NONE),
                tables,
                disks,
                ended,
                cost + (_COST_GATEWAY if unreported[at] else 0),
                losses + 1,
            )
            found.append((f"gateway {at} ends", new))
        return found

    def _end_coordinator(self, state: tuple) -> list[tuple[str, tuple]]:
        """Lose a coordinator and its disk; gateways report to it again."""
        gateways, unreported, tables, disks, ended, cost, losses = state
        if losses >= MAX_LOSSES:
            return []
        found = []
        received = frozenset().union(
            *(
                table - new_items
                for table, new_items in zip(gateways, unreported, strict=True)
            )
        )
        for at in range(COORDINATORS):
            after = _with(tables, at, received)
            kept = self._store(_with(disks, at, _NONE), after)
            new = (gateways, unreported, after, kept, ended, cost, losses + 1)
            found.append((f"coordinator {at} and its disk end", new))
        return found

    def _lose_power(self, state: tuple) -> list[tuple[str, tuple]]:
        """Restart all processes and lose one disk."""
        disks, ended, cost, losses = state[3:]
        if losses >= MAX_LOSSES:
            return []
        found = []
        for at in range(COORDINATORS):
            left = _with(disks, at, _NONE)
            empty = (_NONE,) * GATEWAYS
            gateways = empty
            if self.fault != "not-told-again":
                gateways = self._distribute(empty, left)
            new = (
                gateways,
                empty,
                left,
                left,
                ended,
                cost + _COST_POWER,
                losses + 1,
            )
            found.append((f"all power and disk {at}", new))
        return found


def _is_bounded(now: dict) -> bool:
    """Whether losses cost no more endpoints than allowed."""
    return now["ended"] <= quarantine.MIN_ENDED_TO_QUARANTINE + now["cost"]


def _is_agreed(now: dict) -> bool:
    """Whether gateways agree once everything has been reported."""
    if any(now["unreported"]):
        return True
    held = {_is_quarantined(table) for table in now["gateways"]}
    return len(held) == 1


def protocol(fault: str = "") -> minicheck.Protocol:
    """Return the model, or one of its mutants."""
    return minicheck.Protocol(
        name="quarantine",
        candidate=False,
        fields=FIELDS,
        initial=INITIAL,
        transitions=Steps(fault=fault),
        invariants={
            "the cost of losses is bounded": _is_bounded,
            "gateways agree on the quarantine": _is_agreed,
        },
    )


def variants() -> dict[str, minicheck.Protocol]:
    """Return the checked models by name."""
    return {"two losses": protocol()}
