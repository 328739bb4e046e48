"""Model of the replicated log: votes, syncs, crashes, lost disks, reads.

Three replicas are checked within the bounds `WIDE` (crashes and a lost disk)
and `LONG` (more terms).  A lost message is a step that is not taken.  A
delayed message is a later step with the sender's state at that time, as in a
retry.
"""

from typing import NamedTuple

import minicheck

N = 3


class Bounds(NamedTuple):
    """Limits of the state space: terms, records, crashes, lost disks."""

    terms: int
    records: int
    crashes: int
    losses: int


WIDE = Bounds(terms=2, records=2, crashes=1, losses=1)
LONG = Bounds(terms=4, records=1, crashes=0, losses=0)
# Sufficient to find the known faults.
SMALL = Bounds(terms=2, records=1, crashes=1, losses=1)

# A replica: term, voted for (-1: none), log of terms, length of its synced
# part, role, bit set of the votes received, known commit index, whether it
# is a voter (a replica that lost its disk is a learner).
FOLLOWER, CANDIDATE, LEADER = range(3)

FIELDS = ("replicas", "acked", "crashes", "losses", "broken")
_NEW = (0, -1, (), 0, FOLLOWER, 0, 0, 1)
INITIAL = ((_NEW,) * N, (), 0, 0, 0)

MUTANTS = {
    "no-sync-before-ack": "a record counts before it is synced",
    "vote-without-log-check": "a candidate with a shorter log gets a vote",
    "vote-not-remembered": "a crash forgets whom the replica voted for",
    "old-term-committed": "a record of an old term is committed by count",
    "lost-disk-keeps-its-id": "a replica without its disk remains a voter",
    "read-not-confirmed": "a leader answers reads without a quorum",
}


def _quorum(count: int) -> bool:
    return count > N // 2


class Steps:
    """The transitions; `fault` names the mutant, if any."""

    def __init__(self, *, bounds: Bounds, fault: str = "") -> None:
        self.fault = fault
        self.bounds = bounds

    def __call__(self, state: tuple) -> list[tuple[str, tuple]]:
        """Return all steps from a state."""
        found: list[tuple[str, tuple]] = []
        for who in range(N):
            found += self._own_steps(state, who)
            for other in range(N):
                if other != who:
                    found += self._pair_steps(state, who, other)
        return found

    def _with(self, state: tuple, who: int, **new: object) -> tuple:
        names = (
            "term",
            "voted",
            "log",
            "synced",
            "role",
            "votes",
            "commit",
            "voter",
        )
        old = dict(zip(names, state[0][who]))
        item = tuple({**old, **new}[name] for name in names)
        replicas = state[0][:who] + (item,) + state[0][who + 1 :]
        return (replicas, *state[1:])

    def _own_steps(self, state: tuple, who: int) -> list:
        term, voted, log, synced, role, votes, commit, voter = state[0][who]
        found = []
        if role != LEADER and term < self.bounds.terms and voter:
            found.append(
                (
                    f"{who} becomes a candidate",
                    self._with(
                        state,
                        who,
                        term=term + 1,
                        voted=who,
                        role=CANDIDATE,
                        votes=1 << who,
                    ),
                )
            )
        if role == CANDIDATE and _quorum(bin(votes).count("1")):
            found.append(
                (
                    f"{who} becomes the leader",
                    self._with(state, who, role=LEADER),
                )
            )
        if role == LEADER and len(log) < self.bounds.records:
            found.append(
                (
                    f"{who} appends",
                    self._with(state, who, log=log + (term,)),
                )
            )
        if synced < len(log):
            found.append(
                (f"{who} syncs", self._with(state, who, synced=len(log)))
            )
        if role == LEADER:
            found += self._commit_steps(state, who)
            found += self._read_steps(state, who)
        if state[2] < self.bounds.crashes:
            found.append((f"{who} crashes", self._crash(state, who)))
        if state[3] < self.bounds.losses:
            found.append((f"{who} loses its disk", self._lose(state, who)))
        return found

    def _crash(self, state: tuple, who: int) -> tuple:
        term, voted, log, synced, _, _, commit, _ = state[0][who]
        if self.fault == "vote-not-remembered":
            voted = -1
        after = self._with(
            state,
            who,
            voted=voted,
            log=log[:synced],
            role=FOLLOWER,
            votes=0,
            commit=min(commit, synced),
        )
        return (after[0], after[1], state[2] + 1, *after[3:])

    def _lose(self, state: tuple, who: int) -> tuple:
        keeps = self.fault == "lost-disk-keeps-its-id"
        after = self._with(
            state,
            who,
            term=0,
            voted=-1,
            log=(),
            synced=0,
            role=FOLLOWER,
            votes=0,
            commit=0,
            voter=1 if keeps else 0,
        )
        return (*after[:3], state[3] + 1, after[4])

    def _commit_steps(self, state: tuple, who: int) -> list:
        term, _, log, _, _, _, commit, _ = state[0][who]
        found = []
        for index in range(commit + 1, len(log) + 1):
            own = log[index - 1] == term
            if not own and self.fault != "old-term-committed":
                continue
            holders = 0
            for item in state[0]:
                held = item[3]
                if self.fault == "no-sync-before-ack":
                    held = len(item[2])
                if item[7] and held >= index:
                    if item[2][:index] == log[:index] and item[0] == term:
                        holders += 1
            if _quorum(holders):
                found.append(
                    (
                        f"{who} commits {index}",
                        self._ack(state, who, log[:index]),
                    )
                )
        return found

    def _ack(self, state: tuple, who: int, log: tuple) -> tuple:
        acked = state[1]
        broken = state[4]
        shorter = min(len(acked), len(log))
        if acked[:shorter] != log[:shorter]:
            broken = 1
        after = self._with(state, who, commit=len(log))
        longest = log if len(log) > len(acked) else acked
        return (after[0], longest, after[2], after[3], broken)

    def _read_steps(self, state: tuple, who: int) -> list:
        term, _, log, _, _, _, commit, _ = state[0][who]
        own = commit > 0 and log[commit - 1] == term
        in_contact = sum(1 for item in state[0] if item[7] and item[0] == term)
        confirmed = own and _quorum(in_contact)
        if not confirmed and self.fault != "read-not-confirmed":
            return []
        if commit >= len(state[1]):
            return []
        return [(f"{who} reads stale state", (*state[:4], 1))]

    def _pair_steps(self, state: tuple, who: int, other: int) -> list:
        mine, theirs = state[0][who], state[0][other]
        found = []
        if mine[4] == CANDIDATE and theirs[7]:
            found += self._vote_steps(state, who, other)
        if mine[4] == LEADER and theirs[0] <= mine[0]:
            found += self._append_steps(state, who, other)
        if mine[4] != FOLLOWER and theirs[0] > mine[0]:
            found.append(
                (
                    f"{who} observes a higher term",
                    self._with(
                        state,
                        who,
                        term=theirs[0],
                        voted=-1,
                        role=FOLLOWER,
                        votes=0,
                    ),
                )
            )
        return found

    def _vote_steps(self, state: tuple, who: int, other: int) -> list:
        mine, theirs = state[0][who], state[0][other]
        term = mine[0]
        free = theirs[0] < term or (
            theirs[0] == term and theirs[1] in (-1, who)
        )
        last = (mine[2][-1:], len(mine[2]))
        their_last = (theirs[2][-1:], len(theirs[2]))
        good = last >= their_last or self.fault == "vote-without-log-check"
        if not free or not good or mine[5] & (1 << other):
            return []
        if theirs[0] == term and theirs[4] == LEADER:
            return []
        voted = self._with(
            state,
            other,
            term=term,
            voted=who,
            role=FOLLOWER,
            votes=0,
        )
        won = self._with(voted, who, votes=mine[5] | (1 << other))
        return [(f"{other} votes for {who}", won)]

    def _append_steps(self, state: tuple, who: int, other: int) -> list:
        mine, theirs = state[0][who], state[0][other]
        log = mine[2]
        held = theirs[2]
        shorter = min(len(log), len(held))
        if held[:shorter] == log[:shorter] and len(held) >= len(log):
            log = held if theirs[0] == mine[0] else log
        same = 0
        while same < min(len(log), len(held)) and log[same] == held[same]:
            same += 1
        after = self._with(
            state,
            other,
            term=mine[0],
            voted=theirs[1] if theirs[0] == mine[0] else -1,
            log=log,
            synced=min(theirs[3], same),
            role=FOLLOWER,
            votes=0,
        )
        if after == state:
            return []
        return [(f"{who} replicates to {other}", after)]


def _safe(now: dict) -> bool:
    return not now["broken"]


def _one_leader_per_term(now: dict) -> bool:
    terms = [item[0] for item in now["replicas"] if item[4] == LEADER]
    return len(terms) == len(set(terms))


def _acked_survives(now: dict) -> bool:
    # Some voter has all acknowledged records and can be elected.
    acked = now["acked"]
    return not acked or any(
        item[7] and item[2][: len(acked)] == acked for item in now["replicas"]
    )


def protocol(
    fault: str = "", bounds: Bounds | None = None
) -> minicheck.Protocol:
    """Return the model, or one of its mutants."""
    if bounds is None:
        bounds = SMALL if fault else WIDE
        if fault == "old-term-committed":
            bounds = LONG
    return minicheck.Protocol(
        name="consensus",
        candidate=False,
        fields=FIELDS,
        initial=INITIAL,
        transitions=Steps(fault=fault, bounds=bounds),
        invariants={
            "no acknowledged record is replaced, no read is stale": _safe,
            "one leader per term": _one_leader_per_term,
            "an acknowledged record is kept": _acked_survives,
        },
    )


def variants() -> dict[str, minicheck.Protocol]:
    """Return the checked models by the name of their bounds."""
    return {str(bounds): protocol(bounds=bounds) for bounds in (WIDE, LONG)}
