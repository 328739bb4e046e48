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


class FollowerProgress:
    """How far one replica is, as far as its leader knows.

    Attributes:
        next_index: the index of the record that it is sent next.
        match_index: up to where its log is known to be the leader's.
        number: the newest round of the leader that it has answered.
        last_contact_at: when it was heard last.
    """

    def __init__(self, *, next_index: int, now: float) -> None:
        self.next_index = next_index
        self.match_index = 0
        self.number = 0
        self.last_contact_at = now
        self._install_at = now
        self._install_wait_s = _FIRST_INSTALL_WAIT_S

    def record_reply(self, number: int, now: float) -> None:
        """It has answered a round."""
        self.last_contact_at = now
        self.number = max(self.number, number)

    def record_match(self, index: int) -> None:
        """Its log is the leader's up to `index`."""
        self._install_wait_s = _FIRST_INSTALL_WAIT_S
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)

    def record_mismatch(self, hint: int) -> bool:
        """Its log may match up to `hint`; whether that is news."""
        if hint + 1 >= self.next_index:
            return False
        self.next_index = max(hint, self.match_index) + 1
        return True

    def try_start_install(self, now: float) -> bool:
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


class ProgressTracker:
    """All other replicas, as one leader knows them in one term."""

    def __init__(self, *, me: m.ReplicaId) -> None:
        self._me = me
        self._known: dict[m.ReplicaId, FollowerProgress] = {}

    def find(self, peer: m.ReplicaId) -> FollowerProgress | None:
        """What is known of a replica."""
        return self._known.get(peer)

    def take(
        self, peer: m.ReplicaId, *, next_index: int, now: float
    ) -> FollowerProgress:
        """What is known of a replica, from now on at the latest."""
        found = self._known.get(peer)
        if found is None:
            found = FollowerProgress(next_index=next_index, now=now)
            self._known[peer] = found
        return found

    def quorum_value(
        self,
        voters: Iterable[m.ReplicaId],
        needed: int,
        *,
        mine: int,
        of: Callable[[FollowerProgress], int],
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
        of: Callable[[FollowerProgress], int],
    ) -> Iterable[int]:
        for peer in voters:
            known = self._known.get(peer)
            if peer == self._me:
                yield mine
            else:
                yield 0 if known is None else of(known)
