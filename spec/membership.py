"""Model of membership changes: the quorums of active configs intersect.

A leader uses the latest config in its log, committed or not, and may propose
a new one only when the last is committed.  Two leaders may use any of the
configs that are still pending.
"""

import itertools

import minicheck

REPLICAS = frozenset(range(4))

# The last committed config, and the proposed configs after it.
FIELDS = ("committed", "pending")
INITIAL = (frozenset({0, 1, 2}), ())

MUTANTS = {
    "two-changes-at-once": "a config is proposed while one is pending",
    "two-voters-at-once": "one change adds and removes several voters",
}


class Steps:
    """The transitions; `fault` names the mutant, if any."""

    def __init__(self, *, fault: str = "") -> None:
        self.fault = fault

    def __call__(self, state: tuple) -> list[tuple[str, tuple]]:
        """Return all steps from a state."""
        committed, pending = state
        found = []
        if pending:
            found.append(("commit", (pending[0], pending[1:])))
            found.append(("lose the proposal", (committed, pending[:-1])))
        max_pending = 2 if self.fault == "two-changes-at-once" else 1
        if len(pending) < max_pending:
            last = pending[-1] if pending else committed
            for new in self._next(last):
                found.append(("propose", (committed, pending + (new,))))
        return found

    def _next(self, last: frozenset) -> list[frozenset]:
        step = 2 if self.fault == "two-voters-at-once" else 1
        found = []
        for size in range(1, len(REPLICAS) + 1):
            for names in itertools.combinations(sorted(REPLICAS), size):
                new = frozenset(names)
                if 0 < len(new ^ last) <= step:
                    found.append(new)
        return found


def _quorums(config: frozenset) -> list[frozenset]:
    quorum = len(config) // 2 + 1
    return [
        frozenset(names)
        for names in itertools.combinations(sorted(config), quorum)
    ]


def _intersect(now: dict) -> bool:
    live = [now["committed"], *now["pending"]]
    return all(
        one & two
        for first, second in itertools.combinations(live, 2)
        for one in _quorums(first)
        for two in _quorums(second)
    )


def protocol(fault: str = "") -> minicheck.Protocol:
    """Return the model, or one of its mutants."""
    return minicheck.Protocol(
        name="membership",
        candidate=False,
        fields=FIELDS,
        initial=INITIAL,
        transitions=Steps(fault=fault),
        invariants={"quorums intersect": _intersect},
    )


def variants() -> dict[str, minicheck.Protocol]:
    """Return the checked models by name."""
    return {"all": protocol()}
