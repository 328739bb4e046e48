"""What a leader knows of the other replicas.  Pure.

Times are readings of the leader's own clock, in seconds.
"""

from typing import Callable
from typing import Iterable

from rackpost.consensus import messages as m

# A snapshot that has no answer is sent again after the first time, then
# after twice the last, up to the second, in seconds: one on its way must not
# be joined by copies.  A new link, which lost it, has it at once.
_FIRST_INSTALL_WAIT_S = 0.6
_MAX_INSTALL_WAIT_S = 5.0


class Follower:
    """How far one replica is, as far as its leader knows.

    Attributes:
        next: the index of the record that it is sent next.
        match: up to where its log is known to be the leader's.
        number: the newest round of the leader that it has answered.
        heard_at: when it was heard last.
    """

    def __init__(self, *, next_index: int, now: float) -> None:
        self.next = next_index
        self.match = 0
        self.number = 0
        self.heard_at = now
        self._install_at = now
        self._install_wait_s = _FIRST_INSTALL_WAIT_S

    def heard(self, number: int, now: float) -> None:
        """It has answered a round."""
        self.heard_at = now
        self.number = max(self.number, number)

    def matches(self, index: int) -> None:
        """Its log is the leader's up to `index`."""
        self._install_wait_s = _FIRST_INSTALL_WAIT_S
        self.match = max(self.match, index)
        self.next = max(self.next, self.match + 1)

    def differs(self, hint: int) -> bool:
        """Its log may match up to `hint`; whether that is news."""
        if hint + 1 >= self.next:
            return False
        self.next = max(hint, self.match) + 1
        return True

    def take_install(self, now: float) -> bool:
        """Whether it may be sent a snapshot now; if so, it is."""
        if now < self._install_at:
            return False
        self._install_at = now + self._install_wait_s
        self._install_wait_s = min(
            2.0 * self._install_wait_s, _MAX_INSTALL_WAIT_S
        )
        return True

    def relinked(self) -> None:
        """What was sent over its old link is lost."""
        self._install_at = 0.0
        self._install_wait_s = _FIRST_INSTALL_WAIT_S


class Followers:
    """All other replicas, as one leader knows them in one term."""

    def __init__(self, *, me: m.ReplicaId) -> None:
        self._me = me
        self._known: dict[m.ReplicaId, Follower] = {}

    def find(self, peer: m.ReplicaId) -> Follower | None:
        """What is known of a replica."""
        return self._known.get(peer)

    def take(
        self, peer: m.ReplicaId, *, next_index: int, now: float
    ) -> Follower:
        """What is known of a replica, from now on at the latest."""
        found = self._known.get(peer)
        if found is None:
            found = Follower(next_index=next_index, now=now)
            self._known[peer] = found
        return found

    def reached_by(
        self,
        voters: Iterable[m.ReplicaId],
        needed: int,
        *,
        mine: int,
        of: Callable[[Follower], int],
    ) -> int:
        """The highest figure that `needed` of the voters have reached.

        `mine` is the leader's own, `of` takes it from a follower.
        """
        marks = sorted(self._marks(voters, mine, of))
        return marks[len(marks) - needed]

    def _marks(
        self,
        voters: Iterable[m.ReplicaId],
        mine: int,
        of: Callable[[Follower], int],
    ) -> Iterable[int]:
        for peer in voters:
            known = self._known.get(peer)
            if peer == self._me:
                yield mine
            else:
                yield 0 if known is None else of(known)
