"""The consensus of the control replicas: messages in, output out.

Follows Raft (Ongaro and Ousterhout, USENIX ATC 2014) with the pre-vote,
check-quorum, read-index, learner and one-at-a-time membership parts of
Ongaro's dissertation (2014).  Pure: it reads no clock, and what it wants
written or sent is in its `Output`.
"""

import enum
import random
from typing import Collection

from rackpost.consensus import follower_log
from rackpost.consensus import followers
from rackpost.consensus import log as log_mod
from rackpost.consensus import membership
from rackpost.consensus import messages as m
from rackpost.consensus import output
from rackpost.consensus import reads
from rackpost.consensus import replication

# In seconds by the replica's own clock.
HEARTBEAT_S = 0.1
ELECTION_S = 0.6
_SOON_S = 0.2


class Role(enum.Enum):
    """What a replica is at present."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Replica:
    """One replica.  `now` is a reading of its own clock, in seconds."""

    def __init__(
        self,
        *,
        me: m.ReplicaId,
        hard: m.HardState,
        log: log_mod.Log,
        rng: random.Random,
        now: float,
        copies: int = 1,
        committed: m.Index = m.Index(0),
    ) -> None:
        """Start from what the disk holds.

        `copies` is how many voters must have a record on their disks
        before it is committed, where that is more than a quorum: one more
        than may lose their disks at once.  Records up to `committed` are
        known to be committed; they are applied at once.
        """
        self.me = me
        self._copies = copies
        self.term = hard.term
        self.log = log
        self.role = Role.FOLLOWER
        self.leader: m.ReplicaId | None = None
        self.commit = log.snapshot.index
        self.applied = log.snapshot.index
        self._voted_for = hard.voted_for
        self._rng = rng
        self._out = output.Output()
        self._votes: set[m.ReplicaId] = set()
        self._pre = False
        self._followers = followers.ProgressTracker(me=me)
        self._number = 0
        self._reads = reads.PendingReads()
        self._heard_at = now
        self._next_beat = now
        self._deadline = now
        # No leader was heard of, and none sought, since the start.
        self._is_new = True
        self._reset_deadline(now)
        if committed > self.commit:
            self._commit_to(committed)

    # Queries.

    @property
    def config(self) -> m.Config:
        """The config that this replica acts on."""
        return self.log.config()[0]

    @property
    def hard(self) -> m.HardState:
        """What must never be forgotten besides the log."""
        return m.HardState(term=self.term, voted_for=self._voted_for)

    def take_output(self) -> output.Output:
        """What has to be done since the last call."""
        out = self._out
        self._out = output.Output()
        return out

    def silence(self, peer: m.ReplicaId, now: float) -> float:
        """Seconds since this leader last heard a replica."""
        return now - self._peer(peer, now).last_contact_at

    def caught_up(self, peer: m.ReplicaId) -> bool:
        """Whether a replica has all that this leader has committed."""
        known = self._followers.find(peer)
        return known is not None and known.match_index >= self.commit

    def in_quorum_contact(self, now: float) -> bool:
        """Whether this replica was in touch with a quorum lately.

        A follower is if it heard of a leader, which steps down when it
        has no quorum.
        """
        if self.role is Role.LEADER:
            return self._quorum_heard(now)
        return self.leader is not None and now - self._heard_at < ELECTION_S

    # Inputs.

    def tick(self, now: float) -> None:
        """Time has passed."""
        if self.role is Role.LEADER:
            if not self._quorum_heard(now):
                self._follow(self.term, None, now)
            elif now >= self._next_beat:
                self._beat(now)
        elif now >= self._deadline:
            self._campaign(now, pre=True)

    def lost_link(self, peer: m.ReplicaId, now: float) -> None:
        """The link to a replica broke: a hint that it may be gone.

        If it led, this replica asks the others soon; a leader that is
        well is heard by a quorum, which then gives no pre-vote.
        """
        if self.role is Role.FOLLOWER and peer == self.leader:
            self.leader = None
            soon = now + _SOON_S * (0.2 + self._rng.random())
            self._deadline = min(self._deadline, soon)

    def linked(self, peers: Collection[m.ReplicaId], now: float) -> None:
        """Links to these replicas are up.

        After a start, one that has heard of no leader asks for votes soon
        once they make a quorum.  Where all have restarted that saves the
        rest of an election time, 0.6 s at the median; where a leader is,
        those that hear it give no vote.
        """
        if not self._is_new or self.leader is not None:
            return
        reached = {self.me, *peers} & set(self.config.voters)
        if len(reached) < self.config.quorum:
            return
        self._is_new = False
        soon = now + _SOON_S * (0.2 + self._rng.random())
        self._deadline = min(self._deadline, soon)

    def relinked(self, peer: m.ReplicaId) -> None:
        """A new link to a replica is up; what was on the old one is lost."""
        known = self._followers.find(peer)
        if known is not None:
            known.relinked()

    def propose(self, data: bytes, now: float) -> m.Index | None:
        """Append a command; its index, or None if this is no leader."""
        if self.role is not Role.LEADER:
            return None
        return self._append_own(data, None, now)

    def read(self, token: int, now: float) -> bool:
        """Ask for a confirmed read, answered in `Output.reads`.

        False if this replica can't confirm any at present.
        """
        if self.role is not Role.LEADER or not self._committed_own_term():
            return False
        self._beat(now)
        self._reads.add(self._number, token)
        self._confirm_reads()
        return True

    def change_config(self, new: m.Config, now: float) -> str | None:
        """Propose a config; None, or why it can't be at present."""
        if self.role is not Role.LEADER:
            return "not the leader"
        old, index = self.log.config()
        if index > self.commit:
            return "another change of the replicas is under way"
        if not self._committed_own_term():
            return "the leader is too new; try again"
        caught_up = {peer for peer in new.voters if self.caught_up(peer)}
        why = membership.rejection_reason(old, new, caught_up)
        if why is None:
            self._append_own(b"", new, now)
        return why

    def compact(self, index: m.Index, data: bytes) -> m.Snapshot:
        """Put a snapshot of the state at `index` in place of the log."""
        assert index <= self.applied
        return self.log.compact_at(index, data)

    def receive(self, msg: m.AnyMessage, now: float) -> None:
        """Take a message of another replica."""
        if isinstance(msg, m.VoteRequest):
            self._on_vote_request(msg, now)
            return
        if msg.term > self.term and not (
            isinstance(msg, m.VoteReply) and msg.pre and msg.granted
        ):
            self._follow(msg.term, None, now)
        if isinstance(msg, m.VoteReply):
            self._on_vote_reply(msg, now)
        elif isinstance(msg, m.Append):
            self._on_append(msg, now)
        elif isinstance(msg, m.Install):
            self._on_install(msg, now)
        else:
            self._on_append_reply(msg, now)

    # Elections.

    def _reset_deadline(self, now: float) -> None:
        self._deadline = now + ELECTION_S * (1.0 + self._rng.random())

    def _follow(
        self, term: int, leader: m.ReplicaId | None, now: float
    ) -> None:
        if term > self.term:
            self.term = m.Term(term)
            self._voted_for = None
            self._save()
        if self.role is Role.LEADER:
            self._out.lost = True
            dropped = self._reads.drop()
            self._out.reads += [(token, False) for token in dropped]
        self.role = Role.FOLLOWER
        self.leader = leader
        self._votes = set()
        self._reset_deadline(now)

    def _save(self) -> None:
        self._out.hard = m.HardState(term=self.term, voted_for=self._voted_for)

    def _campaign(self, now: float, *, pre: bool) -> None:
        self._reset_deadline(now)
        self._is_new = False
        if self.me not in self.config.voters:
            return
        self.role = Role.CANDIDATE
        self.leader = None
        self._pre = pre
        term = self.term + 1
        if not pre:
            self.term = m.Term(term)
            self._voted_for = self.me
            self._save()
        self._votes = {self.me}
        for peer in self.config.voters:
            if peer != self.me:
                self._send(
                    peer,
                    m.VoteRequest(
                        sender=self.me,
                        term=m.Term(term),
                        pre=pre,
                        last_index=self.log.last_index,
                        last_term=self.log.last_term,
                    ),
                )
        self._count_votes(now)

    def _count_votes(self, now: float) -> None:
        voters = self.config.voters
        if len(self._votes & set(voters)) < self.config.quorum:
            return
        if self._pre:
            self._campaign(now, pre=False)
        else:
            self._lead(now)

    def _on_vote_request(self, msg: m.VoteRequest, now: float) -> None:
        # A replica that hears its leader does not help to unseat it.
        settled = self.leader is not None and now - self._heard_at < ELECTION_S
        if self.role is Role.LEADER:
            settled = self._quorum_heard(now)
        if not msg.pre and msg.term > self.term and not settled:
            self._follow(msg.term, None, now)
        granted = not settled and self._would_vote(msg)
        if granted and not msg.pre:
            self._voted_for = msg.sender
            self._save()
            self._reset_deadline(now)
        self._send(
            msg.sender,
            m.VoteReply(
                sender=self.me,
                term=msg.term if granted else self.term,
                pre=msg.pre,
                granted=granted,
            ),
        )

    def _would_vote(self, msg: m.VoteRequest) -> bool:
        if not self.log.is_covered_by(msg.last_term, msg.last_index):
            return False
        if msg.pre:
            return msg.term > self.term
        free = self._voted_for is None or self._voted_for == msg.sender
        return msg.term == self.term and free

    def _on_vote_reply(self, msg: m.VoteReply, now: float) -> None:
        if self.role is not Role.CANDIDATE or msg.pre is not self._pre:
            return
        term = self.term + 1 if msg.pre else self.term
        if msg.granted and msg.term == term:
            self._votes.add(msg.sender)
            self._count_votes(now)

    # Leading.

    def _lead(self, now: float) -> None:
        self.role = Role.LEADER
        self.leader = self.me
        self._followers = followers.ProgressTracker(me=self.me)
        self._append_own(b"", None, now)

    def _committed_own_term(self) -> bool:
        return self.log.term_at(self.commit) == self.term

    def _append_own(
        self, data: bytes, config: m.Config | None, now: float
    ) -> m.Index:
        entry = m.Entry(
            index=m.Index(self.log.last_index + 1),
            term=self.term,
            data=data,
            config=config,
        )
        self.log.append([entry])
        self._out.append.append(entry)
        self._beat(now)
        self._advance(now)
        return entry.index

    def _peer(
        self, peer: m.ReplicaId, now: float
    ) -> followers.FollowerProgress:
        return self._followers.take(
            peer, next_index=self.log.last_index, now=now
        )

    def _beat(self, now: float) -> None:
        self._next_beat = now + HEARTBEAT_S
        self._number += 1
        for peer in self.config.everyone:
            if peer != self.me:
                self._replicate(peer, now)
                if replication.needs_snapshot(self._peer(peer, now), self.log):
                    self._send(
                        peer, replication.heartbeat(self.log, self._leading())
                    )

    def _leading(self) -> replication.Leading:
        return replication.Leading(
            self.me, self.term, self.commit, self._number
        )

    def _replicate(self, peer: m.ReplicaId, now: float) -> None:
        msg = replication.next_message(
            self._peer(peer, now), self.log, self._leading(), now
        )
        if msg is not None:
            self._send(peer, msg)

    def _on_append_reply(self, msg: m.AppendReply, now: float) -> None:
        if self.role is not Role.LEADER or msg.term != self.term:
            return
        known = self._peer(msg.sender, now)
        known.record_reply(msg.number, now)
        if msg.ok:
            known.record_match(msg.match)
            self._advance(now)
            if known.next_index <= self.log.last_index:
                self._replicate(msg.sender, now)
        elif known.record_mismatch(msg.match):
            self._replicate(msg.sender, now)
        self._confirm_reads()

    def _advance(self, now: float) -> None:
        voters = self.config.voters
        needed = max(self.config.quorum, self._copies)
        index = self._followers.quorum_value(
            voters,
            min(needed, len(voters)),
            mine=self.log.last_index,
            of=lambda known: known.match_index,
        )
        # Only records of the own term are counted (Raft, section 5.4.2).
        if index > self.commit and self.log.term_at(index) == self.term:
            self._commit_to(index)
            if self.me not in self.config.voters:
                self._leave(now)

    def _leave(self, now: float) -> None:
        config_index = self.log.config()[1]
        if config_index <= self.commit:
            self._beat(now)
            self._follow(self.term, None, now)

    def _commit_to(self, index: int) -> None:
        self.commit = m.Index(index)
        self._out.committed += self.log.upto(self.applied, index)
        self.applied = self.commit

    def _quorum_heard(self, now: float) -> bool:
        voters = self.config.voters
        heard = sum(
            1
            for peer in voters
            if peer == self.me
            or now - self._peer(peer, now).last_contact_at < 2 * ELECTION_S
        )
        return heard >= self.config.quorum

    def _confirm_reads(self) -> None:
        number = self._followers.quorum_value(
            self.config.voters,
            self.config.quorum,
            mine=self._number,
            of=lambda known: known.number,
        )
        done = self._reads.confirmed(number)
        self._out.reads += [(token, True) for token in done]

    # Following.

    def _heard_leader(self, msg: m.Append | m.Install, now: float) -> None:
        if self.role is not Role.FOLLOWER or self.leader != msg.sender:
            self._follow(msg.term, msg.sender, now)
        self._heard_at = now
        self._reset_deadline(now)

    def _on_append(self, msg: m.Append, now: float) -> None:
        if msg.term < self.term:
            self._reply(msg, ok=False, match=0)
            return
        self._heard_leader(msg, now)
        if self._missing_before(msg):
            return
        follower_log.append_entries(
            self.log, self._out, msg.entries, self.commit
        )
        match = msg.prev_index + len(msg.entries)
        self._reply(msg, ok=True, match=match)
        if min(msg.commit, match) > self.commit:
            self._commit_to(min(msg.commit, match))

    def _missing_before(self, msg: m.Append) -> bool:
        if msg.prev_index < self.commit:
            # What is committed here can't differ.
            return False
        term = self.log.term_at(msg.prev_index)
        if term == msg.prev_term:
            return False
        hint = self.log.conflict_hint(msg.prev_index, down_to=self.commit)
        self._reply(msg, ok=False, match=hint)
        return True

    def _on_install(self, msg: m.Install, now: float) -> None:
        if msg.term < self.term:
            self._reply(msg, ok=False, match=0)
            return
        self._heard_leader(msg, now)
        snapshot = msg.snapshot
        if snapshot.index > self.commit:
            follower_log.install_snapshot(self.log, self._out, snapshot)
            self.commit = snapshot.index
            self.applied = snapshot.index
        self._reply(msg, ok=True, match=snapshot.index)

    def _reply(
        self, msg: m.Append | m.Install, *, ok: bool, match: int
    ) -> None:
        self._send(
            msg.sender,
            m.AppendReply(
                sender=self.me,
                term=self.term,
                ok=ok,
                match=m.Index(match),
                number=msg.number,
            ),
        )

    def _send(self, to: m.ReplicaId, msg: m.AnyMessage) -> None:
        self._out.sends.append(output.Send(to, msg))
