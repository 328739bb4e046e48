"""Model of lost disks: a replica with all committed records can be elected.

There is one record, and a site grows from three voters to five.  Up to two
disks may be lost at once; a replica that has lost its disk rejoins as a
learner under a new id, which replaces the old one.  Membership changes are
planned by the production code in `consensus.membership`.
"""

import itertools

import minicheck

from rackpost.consensus import membership
from rackpost.consensus import messages as m

LOST_AT_ONCE = 2
COPIES = LOST_AT_ONCE + 1
TARGET = 5
HOSTS = ("a", "b", "c", "d", "e")

# Bounds the state space.
MAX_LOSSES = 4

# Ids of the voters, ids with the record on disk, ids whose disks are lost,
# hosts that are not voters yet, whether the record is committed, losses.
FIELDS = ("voters", "holding", "gone", "joining", "committed", "losses")
INITIAL = (("a", "b", "c"), frozenset(), frozenset(), ("d", "e"), False, 0)

MUTANTS = {
    "quorum-only": "a quorum commits, with no copies beyond it",
    "old-id": "a replica that lost its disk still votes under its old id",
    "no-catch-up": "a learner becomes a voter before it has caught up",
}


class Steps:
    """The transitions; `fault` names the mutant, if any."""

    def __init__(self, *, fault: str = "") -> None:
        self.fault = fault

    def __call__(self, state: tuple) -> list[tuple[str, tuple]]:
        """Return all steps from a state."""
        found = self._copy(state)
        found += self._commit(state)
        found += self._lose(state)
        found += self._change(state)
        return found

    def _alive(self, state: tuple) -> list[str]:
        return [peer for peer in state[0] if peer not in state[2]]

    def _copy(self, state: tuple) -> list[tuple[str, tuple]]:
        voters, holding, gone, joining, committed, losses = state
        if committed and not holding - gone:
            return []
        return [
            (
                f"copy to {peer}",
                (voters, holding | {peer}, gone, joining, committed, losses),
            )
            for peer in self._alive(state)
            if peer not in holding
        ]

    def _required_copies(self, voters: tuple) -> int:
        quorum = len(voters) // 2 + 1
        if self.fault == "quorum-only":
            return quorum
        return min(max(quorum, COPIES), len(voters))

    def _commit(self, state: tuple) -> list[tuple[str, tuple]]:
        voters, holding, gone, joining, committed, losses = state
        if committed or len(holding & set(voters)) < self._required_copies(
            voters
        ):
            return []
        return [("commit", (voters, holding, gone, joining, True, losses))]

    def _lose(self, state: tuple) -> list[tuple[str, tuple]]:
        voters, holding, gone, joining, committed, losses = state
        if not committed or losses >= MAX_LOSSES:
            return []
        # A disk counts as lost until its successor is a voter.  Hosts that
        # join for the first time succeed no lost replica.
        if len({*joining} - self._never_voted(voters, gone)) >= LOST_AT_ONCE:
            return []
        found = []
        for peer in self._alive(state):
            left = holding - {peer}
            after = (gone | {peer}, tuple(sorted({*joining, peer[0]})))
            if self.fault == "old-id":
                after = (gone, joining)
            new = (voters, left, *after, committed, losses + 1)
            found.append((f"lose {peer}", new))
        return found

    def _never_voted(self, voters: tuple, gone: frozenset) -> set[str]:
        """Return the hosts that have never been voters."""
        seen = {peer[0] for peer in (*voters, *gone)}
        return {"d", "e"} - seen

    def _change(self, state: tuple) -> list[tuple[str, tuple]]:
        voters, holding, gone, joining, committed, losses = state
        alive = self._alive(state)
        if len(alive) < self._required_copies(voters):
            return []
        leaders = [p for p in alive if p in holding or not committed]
        if not leaders:
            return []
        found = []
        for host in joining:
            found += self._change_for(state, leaders[0], host)
        return found

    def _change_for(
        self, state: tuple, leader: str, host: str
    ) -> list[tuple[str, tuple]]:
        voters, holding, gone, joining, committed, losses = state
        learner = self._new_id(voters, host)
        ready = learner in holding or not committed
        new = self._plan(state, leader, learner, ready)
        found = []
        if committed and learner not in holding:
            copied = holding | {learner}
            rest = (gone, joining, committed, losses)
            found.append((f"{learner} catches up", (voters, copied, *rest)))
        if new is None or not self._can_commit(new, holding, committed):
            return found
        joined = learner in new
        after = (
            new,
            holding & set(new) | (holding & {learner}),
            frozenset(peer for peer in gone if peer in new),
            tuple(item for item in joining if item != host or not joined),
            committed,
            losses,
        )
        found.append((f"voters {' '.join(new)}", after))
        return found

    def _plan(
        self, state: tuple, leader: str, learner: str, ready: bool
    ) -> tuple[str, ...] | None:
        voters, _, gone = state[:3]
        new = membership.next_config(
            membership.ClusterView(
                me=m.ReplicaId(leader),
                config=m.Config(
                    voters=tuple(m.ReplicaId(peer) for peer in voters),
                    learners=(m.ReplicaId(learner),),
                ),
                silence_s={m.ReplicaId(peer): 9.0 for peer in gone},
                caught_up=frozenset(
                    [m.ReplicaId(learner)]
                    if ready or self.fault == "no-catch-up"
                    else []
                ),
                joining=(),
                target=TARGET,
                min_copies=COPIES,
            )
        )
        return None if new is None else tuple(sorted(new.voters))

    def _can_commit(
        self, new: tuple[str, ...], holding: frozenset, committed: bool
    ) -> bool:
        """Whether the new voters can commit the change and the record."""
        if not committed or self.fault == "no-catch-up":
            return True
        return len(holding & set(new)) >= self._required_copies(new)

    def _new_id(self, voters: tuple, host: str) -> str:
        for number in itertools.count(1):
            name = f"{host}#{number}"
            if name not in voters:
                return name
        raise AssertionError("unreachable")


def _electable(now: dict) -> bool:
    """Whether no quorum of live voters lacks the committed record."""
    if not now["committed"]:
        return True
    alive = [peer for peer in now["voters"] if peer not in now["gone"]]
    quorum = len(now["voters"]) // 2 + 1
    lacking = [peer for peer in alive if peer not in now["holding"]]
    return len(lacking) < quorum


def _kept(now: dict) -> bool:
    """Whether the committed record is on a disk that still exists."""
    return not now["committed"] or bool(now["holding"] - now["gone"])


def protocol(fault: str = "") -> minicheck.Protocol:
    """Return the model, or one of its mutants."""
    return minicheck.Protocol(
        name="durable",
        candidate=False,
        fields=FIELDS,
        initial=INITIAL,
        transitions=Steps(fault=fault),
        invariants={
            "no leader lacks a committed record": _electable,
            "a committed record is kept": _kept,
        },
    )


def variants() -> dict[str, minicheck.Protocol]:
    """Return the checked models by name."""
    return {"two lost": protocol()}
