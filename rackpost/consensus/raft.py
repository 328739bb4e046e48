"""The Raft state machine of the control replicas, without I/O or clock.

Follows Ongaro and Ousterhout (USENIX ATC 2014) with pre-vote, check-quorum,
read-index, learners and single-server changes (Ongaro's dissertation, 2014).
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

HEARTBEAT_S = 0.1
# The election timeout is between this and twice as long.
ELECTION_S = 0.6
_FAST_ELECTION_S = 0.2
# A leader that has resigned asks for no votes for this long.
_RESIGNED_S = 4.0 * ELECTION_S


class Role(enum.Enum):
    """The Raft role of a replica."""

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
        """Start from the stored state, committed up to `committed`.

        `copies` is how many voters must store a record before it is
        committed, if more than a quorum: one more than may lose their disks
        at once.
        """
        self.me = me
        self._min_copies = copies
        self.term = hard.term
        self.log = log
        self.role = Role.FOLLOWER
        self.leader: m.ReplicaId | None = None
        self.commit = log.snapshot.index
        self.applied = log.snapshot.index
        self._voted_for = hard.voted_for
        self._rng = rng
        self._output = output.Output()
        self._votes: set[m.ReplicaId] = set()
        self._is_pre_vote = False
        self._progress = followers.ProgressTracker(me=me)
        self._round = 0
        self._reads = reads.PendingReads()
        self._leader_contact_at = now
        self._next_heartbeat_at = now
        self._election_at = now
        # No leader was seen and no election started since the start.
        self._may_elect_early = True
        self._reset_election_timer(now)
        if committed > self.commit:
            self._commit_to(committed)

    # Queries.

    @property
    def config(self) -> m.Config:
        """The latest config in the log, committed or not."""
        return self.log.config()[0]

    @property
    def hard(self) -> m.HardState:
        """The state besides the log that must survive a restart."""
        return m.HardState(term=self.term, voted_for=self._voted_for)

    def take_output(self) -> output.Output:
        """Return the work that is due since the last call."""
        out = self._output
        self._output = output.Output()
        return out

    def silence(self, peer: m.ReplicaId, now: float) -> float:
        """Return the seconds since a replica's last reply to this leader."""
        return now - self._progress_of(peer, now).last_contact_at

    def caught_up(self, peer: m.ReplicaId) -> bool:
        """Whether a replica holds all records committed by this leader."""
        progress = self._progress.find(peer)
        return progress is not None and progress.match_index >= self.commit

    def in_quorum_contact(self, now: float) -> bool:
        """Whether this replica was recently in contact with a quorum."""
        if self.role is Role.LEADER:
            return self._has_quorum_contact(now)
        # A leader without a quorum steps down.
        return (
            self.leader is not None
            and now - self._leader_contact_at < ELECTION_S
        )

    # Inputs.

    def tick(self, now: float) -> None:
        """Send heartbeats, step down or start an election when due."""
        if self.role is Role.LEADER:
            if not self._has_quorum_contact(now):
                self._become_follower(self.term, None, now)
            elif now >= self._next_heartbeat_at:
                self._send_heartbeats(now)
        elif now >= self._election_at:
            self._start_election(now, pre=True)

    def lost_link(self, peer: m.ReplicaId, now: float) -> None:
        """Start a pre-vote early if the link to the leader has closed."""
        if self.role is Role.FOLLOWER and peer == self.leader:
            self.leader = None
            soon = now + _FAST_ELECTION_S * (0.2 + self._rng.random())
            self._election_at = min(self._election_at, soon)

    def linked(self, peers: Collection[m.ReplicaId], now: float) -> None:
        """Start the first election early once links to a quorum are up.

        Shortens the outage after a restart of all replicas.  If there is a
        leader, the pre-vote fails.
        """
        if not self._may_elect_early or self.leader is not None:
            return
        linked = {self.me, *peers} & set(self.config.voters)
        if len(linked) < self.config.quorum:
            return
        self._may_elect_early = False
        soon = now + _FAST_ELECTION_S * (0.2 + self._rng.random())
        self._election_at = min(self._election_at, soon)

    def relinked(self, peer: m.ReplicaId) -> None:
        """Handle a new link to a replica; messages on the old one are lost."""
        progress = self._progress.find(peer)
        if progress is not None:
            progress.reset_install()

    def resign(self, now: float) -> None:
        """Stop to lead, and let another replica be elected first."""
        if self.role is Role.LEADER:
            self._become_follower(self.term, None, now)
            self._election_at = now + _RESIGNED_S

    def propose(self, data: bytes, now: float) -> m.Index | None:
        """Append a command; return its index, or None if not the leader."""
        if self.role is not Role.LEADER:
            return None
        return self._append_to_own_log(data, None, now)

    def read(self, token: int, now: float) -> bool:
        """Request a confirmed read, answered in `Output.reads`.

        Returns False if this replica can't confirm reads now.
        """
        if self.role is not Role.LEADER or not self._committed_own_term():
            return False
        self._send_heartbeats(now)
        self._reads.add(self._round, token)
        self._confirm_reads()
        return True

    def change_config(self, new: m.Config, now: float) -> str | None:
        """Propose a config; return None, or the reason for a refusal."""
        if self.role is not Role.LEADER:
            return "not the leader"
        old, index = self.log.config()
        if index > self.commit:
            return "another change of the replicas is in progress"
        if not self._committed_own_term():
            return "the leader is too new; try again"
        caught_up = {peer for peer in new.voters if self.caught_up(peer)}
        reason = membership.rejection_reason(old, new, caught_up)
        if reason is None:
            self._append_to_own_log(b"", new, now)
        return reason

    def compact(self, index: m.Index, data: bytes) -> m.Snapshot:
        """Compact the log to a snapshot `data` of the state at `index`."""
        assert index <= self.applied
        return self.log.compact_at(index, data)

    def receive(self, msg: m.AnyMessage, now: float) -> None:
        """Handle a message from another replica."""
        if isinstance(msg, m.VoteRequest):
            self._on_vote_request(msg, now)
            return
        if msg.term > self.term and not (
            isinstance(msg, m.VoteReply) and msg.pre and msg.granted
        ):
            self._become_follower(msg.term, None, now)
        if isinstance(msg, m.VoteReply):
            self._on_vote_reply(msg, now)
        elif isinstance(msg, m.Append):
            self._on_append(msg, now)
        elif isinstance(msg, m.Install):
            self._on_install(msg, now)
        else:
            self._on_append_reply(msg, now)

    # Elections.

    def _reset_election_timer(self, now: float) -> None:
        self._election_at = now + ELECTION_S * (1.0 + self._rng.random())

    def _become_follower(
        self, term: int, leader: m.ReplicaId | None, now: float
    ) -> None:
        if term > self.term:
            self.term = m.Term(term)
            self._voted_for = None
            self._save_hard_state()
        if self.role is Role.LEADER:
            self._output.lost_leadership = True
            dropped = self._reads.take_all()
            self._output.reads += [(token, False) for token in dropped]
        self.role = Role.FOLLOWER
        self.leader = leader
        self._votes = set()
        self._reset_election_timer(now)

    def _save_hard_state(self) -> None:
        self._output.hard = m.HardState(
            term=self.term, voted_for=self._voted_for
        )

    def _start_election(self, now: float, *, pre: bool) -> None:
        self._reset_election_timer(now)
        self._may_elect_early = False
        if self.me not in self.config.voters:
            return
        self.role = Role.CANDIDATE
        self.leader = None
        self._is_pre_vote = pre
        term = self.term + 1
        if not pre:
            self.term = m.Term(term)
            self._voted_for = self.me
            self._save_hard_state()
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
        if self._is_pre_vote:
            self._start_election(now, pre=False)
        else:
            self._become_leader(now)

    def _on_vote_request(self, msg: m.VoteRequest, now: float) -> None:
        # A replica in contact with a leader grants no votes.
        has_leader = (
            self.leader is not None
            and now - self._leader_contact_at < ELECTION_S
        )
        if self.role is Role.LEADER:
            has_leader = self._has_quorum_contact(now)
        if not msg.pre and msg.term > self.term and not has_leader:
            self._become_follower(msg.term, None, now)
        granted = not has_leader and self._may_vote(msg)
        if granted and not msg.pre:
            self._voted_for = msg.sender
            self._save_hard_state()
            self._reset_election_timer(now)
        self._send(
            msg.sender,
            m.VoteReply(
                sender=self.me,
                term=msg.term if granted else self.term,
                pre=msg.pre,
                granted=granted,
            ),
        )

    def _may_vote(self, msg: m.VoteRequest) -> bool:
        if not self.log.is_covered_by(msg.last_term, msg.last_index):
            return False
        if msg.pre:
            return msg.term > self.term
        free = self._voted_for is None or self._voted_for == msg.sender
        return msg.term == self.term and free

    def _on_vote_reply(self, msg: m.VoteReply, now: float) -> None:
        if self.role is not Role.CANDIDATE or msg.pre is not self._is_pre_vote:
            return
        term = self.term + 1 if msg.pre else self.term
        if msg.granted and msg.term == term:
            self._votes.add(msg.sender)
            self._count_votes(now)

    # Leader.

    def _become_leader(self, now: float) -> None:
        self.role = Role.LEADER
        self.leader = self.me
        self._progress = followers.ProgressTracker(me=self.me)
        self._append_to_own_log(b"", None, now)

    def _committed_own_term(self) -> bool:
        return self.log.term_at(self.commit) == self.term

    def _append_to_own_log(
        self, data: bytes, config: m.Config | None, now: float
    ) -> m.Index:
        entry = m.Entry(
            index=m.Index(self.log.last_index + 1),
            term=self.term,
            data=data,
            config=config,
        )
        self.log.append([entry])
        self._output.append.append(entry)
        self._send_heartbeats(now)
        self._advance_commit(now)
        return entry.index

    def _progress_of(
        self, peer: m.ReplicaId, now: float
    ) -> followers.FollowerProgress:
        return self._progress.get_or_add(
            peer, next_index=self.log.last_index, now=now
        )

    def _send_heartbeats(self, now: float) -> None:
        self._next_heartbeat_at = now + HEARTBEAT_S
        self._round += 1
        for peer in self.config.everyone:
            if peer != self.me:
                self._replicate(peer, now)
                if replication.needs_snapshot(
                    self._progress_of(peer, now), self.log
                ):
                    self._send(
                        peer,
                        replication.heartbeat(self.log, self._leader_state()),
                    )

    def _leader_state(self) -> replication.LeaderState:
        return replication.LeaderState(
            self.me, self.term, self.commit, self._round
        )

    def _replicate(self, peer: m.ReplicaId, now: float) -> None:
        msg = replication.next_message(
            self._progress_of(peer, now), self.log, self._leader_state(), now
        )
        if msg is not None:
            self._send(peer, msg)

    def _on_append_reply(self, msg: m.AppendReply, now: float) -> None:
        if self.role is not Role.LEADER or msg.term != self.term:
            return
        progress = self._progress_of(msg.sender, now)
        progress.record_reply(msg.number, now)
        if msg.ok:
            progress.record_match(msg.match)
            self._advance_commit(now)
            if progress.next_index <= self.log.last_index:
                self._replicate(msg.sender, now)
        elif progress.record_mismatch(msg.match):
            self._replicate(msg.sender, now)
        self._confirm_reads()

    def _advance_commit(self, now: float) -> None:
        voters = self.config.voters
        needed = max(self.config.quorum, self._min_copies)
        index = self._progress.quorum_value(
            voters,
            min(needed, len(voters)),
            own_value=self.log.last_index,
            value_of=lambda progress: progress.match_index,
        )
        # Only records of the current term are counted (Raft, section 5.4.2).
        if index > self.commit and self.log.term_at(index) == self.term:
            self._commit_to(index)
            if self.me not in self.config.voters:
                self._step_down_if_removed(now)

    def _step_down_if_removed(self, now: float) -> None:
        config_index = self.log.config()[1]
        if config_index <= self.commit:
            self._send_heartbeats(now)
            self._become_follower(self.term, None, now)

    def _commit_to(self, index: int) -> None:
        self.commit = m.Index(index)
        self._output.committed += self.log.entries_between(self.applied, index)
        self.applied = self.commit

    def _has_quorum_contact(self, now: float) -> bool:
        voters = self.config.voters
        reached = sum(
            1
            for peer in voters
            if peer == self.me
            or now - self._progress_of(peer, now).last_contact_at
            < 2 * ELECTION_S
        )
        return reached >= self.config.quorum

    def _confirm_reads(self) -> None:
        round_number = self._progress.quorum_value(
            self.config.voters,
            self.config.quorum,
            own_value=self._round,
            value_of=lambda progress: progress.answered_round,
        )
        confirmed = self._reads.take_confirmed(round_number)
        self._output.reads += [(token, True) for token in confirmed]

    # Follower.

    def _record_leader_contact(
        self, msg: m.Append | m.Install, now: float
    ) -> None:
        if self.role is not Role.FOLLOWER or self.leader != msg.sender:
            self._become_follower(msg.term, msg.sender, now)
        self._leader_contact_at = now
        self._reset_election_timer(now)

    def _on_append(self, msg: m.Append, now: float) -> None:
        if msg.term < self.term:
            self._reply(msg, ok=False, match=0)
            return
        self._record_leader_contact(msg, now)
        if self._reject_if_mismatch(msg):
            return
        follower_log.append_entries(
            self.log, self._output, msg.entries, self.commit
        )
        match = msg.prev_index + len(msg.entries)
        self._reply(msg, ok=True, match=match)
        if min(msg.commit, match) > self.commit:
            self._commit_to(min(msg.commit, match))

    def _reject_if_mismatch(self, msg: m.Append) -> bool:
        if msg.prev_index < self.commit:
            # Committed records can't conflict.
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
        self._record_leader_contact(msg, now)
        snapshot = msg.snapshot
        if snapshot.index > self.commit:
            follower_log.install_snapshot(self.log, self._output, snapshot)
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
        self._output.sends.append(output.Send(to, msg))
