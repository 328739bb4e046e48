"""Model of a request that ends endpoints: how many ends a loss costs.

One such request, two gateways, three coordinators of which one disk may be
lost.  It comes again and again; each time it is sent on, an endpoint's life
ends.  Gateways and coordinators end at any moment, also between such an end
and its telling, and all power goes, with one disk.  What holds a request back
and what is told and kept is the product's own: `decide.quarantine`.

Told in one step: links take milliseconds, a request comes again in seconds.
"""

import functools

import minicheck

from rackpost.decide import quarantine
from rackpost import types

GATEWAYS = 2
COORDINATORS = 3
# Losses in one run of the model; more add states and nothing new.
MOST_LOSSES = 2
# Ends that are followed: a fault that bounds nothing is seen by then.
_MOST_ENDS = 12
# What a loss may cost, in endpoints.  A gateway that ends has told all but
# its last; with all power goes the last, too, and one that stood alone.
_COST_GATEWAY = 1
_COST_POWER = 2

_REQUEST = types.Fingerprint(b"\x01")

# Lives in each gateway's book, and which of them it has not told; lives in
# each coordinator's book, and on its disk; lives that ended; what losses may
# have cost; losses.
FIELDS = ("gateways", "untold", "books", "disks", "ended", "cost", "losses")
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
    "no-disk": "coordinators keep nothing on their disks",
    "one-told": "a gateway tells one coordinator",
    "not-told-again": "gateways that start are not told what is known",
    "by-endpoint": "an endpoint that ended twice counts once",
}


@functools.cache
def _is_held(lives: frozenset[int]) -> bool:
    """Whether a book with these lives holds the request back."""
    book = quarantine.Quarantine()
    book.add([_suspicion(life) for life in lives], 0.0)
    return book.is_quarantined(_REQUEST, 1.0)


def _suspicion(life: int) -> quarantine.Suspicion:
    return quarantine.Suspicion(
        request=_REQUEST, endpoint=types.EndpointId("e"), born=life + 1
    )


def _with(items: tuple, at: int, new: object) -> tuple:
    return (*items[:at], new, *items[at + 1 :])


class Steps:
    """The transitions; `fault` names the mutant, if any."""

    def __init__(self, *, fault: str = "") -> None:
        self.fault = fault

    def __call__(self, state: tuple) -> list[tuple[str, tuple]]:
        """All steps from a state."""
        found = self._come(state)
        found += self._tell(state)
        found += self._end_gateway(state)
        found += self._end_coordinator(state)
        found += self._lose_power(state)
        return found

    def _come(self, state: tuple) -> list[tuple[str, tuple]]:
        """It comes again, once all that was seen has been told."""
        gateways, untold, books, disks, ended, cost, losses = state
        if any(untold) or ended >= _MOST_ENDS:
            return []
        found = []
        for at, known in enumerate(gateways):
            if _is_held(known):
                continue
            life = 0 if self.fault == "by-endpoint" else ended
            new = (
                _with(gateways, at, known | {life}),
                _with(untold, at, frozenset([life])),
                books,
                disks,
                ended + 1,
                cost,
                losses,
            )
            found.append((f"an end at gateway {at}", new))
        return found

    def _tell(self, state: tuple) -> list[tuple[str, tuple]]:
        gateways, untold, books, disks, ended, cost, losses = state
        found = []
        for at, news in enumerate(untold):
            if not news:
                continue
            told = 1 if self.fault == "one-told" else COORDINATORS
            after = tuple(
                book | news if number < told else book
                for number, book in enumerate(books)
            )
            new = (
                self._pass_on(gateways, after),
                _with(untold, at, _NONE),
                after,
                self._keep(disks, after),
                ended,
                cost,
                losses,
            )
            found.append((f"gateway {at} tells", new))
        return found

    def _pass_on(self, gateways: tuple, books: tuple) -> tuple:
        """All gateways are told of a request with two lives or more."""
        known: frozenset[int] = frozenset().union(
            *(
                book
                for book in books
                if len(book) >= quarantine.MIN_ENDED_TO_REPORT
            )
        )
        return tuple(book | known for book in gateways)

    def _keep(self, disks: tuple, books: tuple) -> tuple:
        if self.fault == "no-disk":
            return disks
        return tuple(
            book if len(book) >= quarantine.MIN_ENDED_TO_REPORT else disk
            for disk, book in zip(disks, books, strict=True)
        )

    def _end_gateway(self, state: tuple) -> list[tuple[str, tuple]]:
        gateways, untold, books, disks, ended, cost, losses = state
        if losses >= MOST_LOSSES:
            return []
        found = []
        for at in range(GATEWAYS):
            fresh = _with(gateways, at, _NONE)
            if self.fault != "not-told-again":
                told = self._pass_on(fresh, books)
                fresh = _with(fresh, at, told[at])
            new = (
                fresh,
                _with(untold, at, _NONE),
                books,
                disks,
                ended,
                cost + (_COST_GATEWAY if untold[at] else 0),
                losses + 1,
            )
            found.append((f"gateway {at} ends", new))
        return found

    def _end_coordinator(self, state: tuple) -> list[tuple[str, tuple]]:
        """With its disk; gateways tell it all that they know."""
        gateways, untold, books, disks, ended, cost, losses = state
        if losses >= MOST_LOSSES:
            return []
        found = []
        told = frozenset().union(
            *(book - news for book, news in zip(gateways, untold, strict=True))
        )
        for at in range(COORDINATORS):
            after = _with(books, at, told)
            kept = self._keep(_with(disks, at, _NONE), after)
            new = (gateways, untold, after, kept, ended, cost, losses + 1)
            found.append((f"coordinator {at} and its disk end", new))
        return found

    def _lose_power(self, state: tuple) -> list[tuple[str, tuple]]:
        """Everything ends, and one disk is lost."""
        disks, ended, cost, losses = state[3:]
        if losses >= MOST_LOSSES:
            return []
        found = []
        for at in range(COORDINATORS):
            left = _with(disks, at, _NONE)
            nobody = (_NONE,) * GATEWAYS
            gateways = nobody
            if self.fault != "not-told-again":
                gateways = self._pass_on(nobody, left)
            new = (
                gateways,
                nobody,
                left,
                left,
                ended,
                cost + _COST_POWER,
                losses + 1,
            )
            found.append((f"all power and disk {at}", new))
        return found


def _is_bounded(now: dict) -> bool:
    """No more endpoints end than without losses, and what these cost."""
    return now["ended"] <= quarantine.MIN_ENDED_TO_QUARANTINE + now["cost"]


def _is_agreed(now: dict) -> bool:
    """Once all is told, gateways hold back alike."""
    if any(now["untold"]):
        return True
    held = {_is_held(book) for book in now["gateways"]}
    return len(held) == 1


def protocol(fault: str = "") -> minicheck.Protocol:
    """The model, or one of its mutants."""
    return minicheck.Protocol(
        name="quarantine",
        candidate=False,
        fields=FIELDS,
        initial=INITIAL,
        transitions=Steps(fault=fault),
        invariants={
            "a loss costs so many endpoints at most": _is_bounded,
            "gateways hold back alike": _is_agreed,
        },
    )


def variants() -> dict[str, minicheck.Protocol]:
    """The model as it is checked."""
    return {"two losses": protocol()}
