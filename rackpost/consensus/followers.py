"""The replication progress of each replica, as its leader tracks it.

Pure.  Times are readings of the leader's own clock, in seconds.
"""

from typing import Callable
from typing import Iterable

from rackpost.consensus import messages as m

# Back-off before an unanswered snapshot is resent, so that copies of one in
# transit do not pile up.  A new link resets it.
_FIRST_INSTALL_WAIT_S = 0.6
_MAX_INSTALL_WAIT_S = 5.0


class FollowerProgress:
    """The replication progress of one replica.

    Attributes:
        next_index: index of the next record to send.
        match_index: highest index known to match the leader's log.
        answered_round: newest round of heartbeats that it has answered.
        last_contact_at: when its last reply arrived.
    """

    def __init__(self, *, next_index: int, now: float) -> None:
        self.next_index = next_index
        self.match_index = 0
        self.answered_round = 0
        self.last_contact_at = now
        self._install_at = now
        self._install_wait_s = _FIRST_INSTALL_WAIT_S

    def record_reply(self, round_number: int, now: float) -> None:
        """Record a reply to the round `round_number`."""
        self.last_contact_at = now
        self.answered_round = max(self.answered_round, round_number)

    def record_match(self, index: int) -> None:
        """Record that its log matches the leader's up to `index`."""
        self._install_wait_s = _FIRST_INSTALL_WAIT_S
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)

    def record_mismatch(self, hint: int) -> bool:
        """Move back to `hint`; whether `next_index` has changed."""
        if hint + 1 >= self.next_index:
            return False
        self.next_index = max(hint, self.match_index) + 1
        return True

    def try_start_install(self, now: float) -> bool:
        """Whether a snapshot may be sent now; if so, start its back-off."""
        if now < self._install_at:
            return False
        self._install_at = now + self._install_wait_s
        self._install_wait_s = min(
            2.0 * self._install_wait_s, _MAX_INSTALL_WAIT_S
        )
        return True

    def reset_install(self) -> None:
        """Allow a snapshot at once: the old link and its messages are lost."""
        self._install_at = 0.0
        self._install_wait_s = _FIRST_INSTALL_WAIT_S


class ProgressTracker:
    """The progress of the other replicas during one leader's term."""

    def __init__(self, *, me: m.ReplicaId) -> None:
        self._me = me
        self._by_replica: dict[m.ReplicaId, FollowerProgress] = {}

    def find(self, peer: m.ReplicaId) -> FollowerProgress | None:
        """Return the progress of a replica, or None if it is not tracked."""
        return self._by_replica.get(peer)

    def get_or_add(
        self, peer: m.ReplicaId, *, next_index: int, now: float
    ) -> FollowerProgress:
        """Return the progress of a replica; start to track it if needed."""
        found = self._by_replica.get(peer)
        if found is None:
            found = FollowerProgress(next_index=next_index, now=now)
            self._by_replica[peer] = found
        return found

    def quorum_value(
        self,
        voters: Iterable[m.ReplicaId],
        needed: int,
        *,
        own_value: int,
        value_of: Callable[[FollowerProgress], int],
    ) -> int:
        """Return the highest value that `needed` of the voters have reached.

        `own_value` is the leader's, `value_of` reads a follower's.
        """
        values = sorted(self._values(voters, own_value, value_of))
        return values[len(values) - needed]

    def _values(
        self,
        voters: Iterable[m.ReplicaId],
        own_value: int,
        value_of: Callable[[FollowerProgress], int],
    ) -> Iterable[int]:
        for peer in voters:
            known = self._by_replica.get(peer)
            if peer == self._me:
                yield own_value
            else:
                yield 0 if known is None else value_of(known)
