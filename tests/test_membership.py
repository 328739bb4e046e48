"""The choice of voters, and the voters that must store a record."""

import random

from rackpost.consensus import log as log_mod
from rackpost.consensus import membership
from rackpost.consensus import messages as m
from rackpost.consensus import raft


def ids(*names: str) -> tuple[m.ReplicaId, ...]:
    return tuple(m.ReplicaId(name) for name in names)


def view(
    voters: str,
    *,
    learners: str = "",
    silent: str = "",
    behind: str = "",
    joining: str = "",
    leaving: str = "",
) -> membership.ClusterView:
    config = m.Config(
        voters=ids(*voters.split()), learners=ids(*learners.split())
    )
    silent_ids = ids(*silent.split())
    return membership.ClusterView(
        me=config.voters[0],
        config=config,
        silence_s={
            peer: 9.0 if peer in silent_ids else 0.1
            for peer in config.everyone
        },
        caught_up=frozenset(config.learners) - frozenset(ids(*behind.split())),
        joining=ids(*joining.split()),
        target=5,
        min_copies=3,
        leaving=frozenset(ids(*leaving.split())),
    )


def test_a_new_site_grows_to_its_target() -> None:
    new = membership.next_config(view("a b c", joining="d"))
    assert new == m.Config(voters=ids("a", "b", "c"), learners=ids("d"))
    new = membership.next_config(view("a b c", learners="d", behind="d"))
    assert new is None
    new = membership.next_config(view("a b c", learners="d"))
    assert new == m.Config(voters=ids("a", "b", "c", "d"))
    assert membership.next_config(view("a b c d e")) is None


def test_a_wiped_replica_takes_its_own_place_step_by_step() -> None:
    wiped = view("a b c d e", silent="e", joining="e#1")
    new = membership.next_config(wiped)
    assert new == m.Config(voters=ids("a", "b", "c", "d"))
    new = membership.next_config(view("a b c d", joining="e#1"))
    assert new is not None and new.learners == ids("e#1")
    new = membership.next_config(view("a b c d", learners="e#1"))
    assert new is not None and new.voters == ids("a", "b", "c", "d", "e#1")


def test_a_silent_voter_stays_without_a_replacement() -> None:
    assert membership.next_config(view("a b c d e", silent="d e")) is None


def test_a_silent_voter_gives_way_to_a_learner_that_has_caught_up() -> None:
    behind = view("a b c d e", learners="f", behind="f", silent="e")
    assert membership.next_config(behind) is None
    new = membership.next_config(view("a b c d e", learners="f", silent="e"))
    assert new is not None and new.voters == ids("a", "b", "c", "d")


# Guards against a vote that is lost with a sound disk.
def test_a_replaced_voter_stays_as_a_learner_unless_its_disk_is_lost() -> None:
    silent = view("a b c d e", learners="f", silent="e")
    new = membership.next_config(silent)
    assert new == m.Config(voters=ids(*"abcd"), learners=ids("f", "e"))
    lost = view("a b c d e", learners="f", silent="e", joining="e#1")
    new = membership.next_config(lost)
    assert new == m.Config(voters=ids(*"abcd"), learners=ids("f"))


# Guards against a voter that is dropped since it asked to join lately.
def test_a_new_voter_that_falls_silent_keeps_its_vote() -> None:
    found = view("a b c d e#1", silent="e#1", joining="e#1")
    assert membership.next_config(found) is None


# Guards against a vote that stays with a coordinator which is gone.
def test_a_voter_that_leaves_gives_way_to_a_spare() -> None:
    for gone in "ae":
        leaving = view("a b c d e", learners="f", leaving=gone)
        new = membership.next_config(leaving)
        assert new is not None and gone not in new.voters
        assert new.learners == ids("f", gone)
    gone = view("a b c d", learners="f e", leaving="e")
    new = membership.next_config(gone)
    assert new is not None and new.voters == ids("a", "b", "c", "d", "f")


# Guards against a vote for a coordinator that is gone.
def test_a_replica_that_has_handed_its_vote_over_is_dropped() -> None:
    found = view("a b c d f", learners="e", leaving="e")
    new = membership.next_config(found)
    assert new == m.Config(voters=ids("a", "b", "c", "d", "f"))


def test_a_voter_that_leaves_keeps_its_vote_without_a_spare() -> None:
    assert membership.next_config(view("a b c d e", leaving="e")) is None
    behind = view("a b c d e", learners="f", behind="f", leaving="e")
    assert membership.next_config(behind) is None


def test_a_silent_voter_votes_again_in_place_of_one_that_leaves() -> None:
    found = view("a b c d e", learners="f", silent="f", leaving="e")
    new = membership.next_config(found)
    assert new is not None and new.voters == ids("a", "b", "c", "d")
    found = view("a b c d", learners="f e", silent="f e", leaving="e")
    new = membership.next_config(found)
    assert new is not None and new.voters == ids("a", "b", "c", "d", "f")
    # Another one would raise the quorum.
    found = view("a b c", learners="d", silent="d")
    assert membership.next_config(found) is None


def test_a_voter_that_is_behind_may_not_raise_the_quorum() -> None:
    three = m.Config(voters=ids(*"abc"), learners=ids("d"))
    four = m.Config(voters=ids(*"abcd"), learners=ids("e"))
    five = m.Config(voters=ids(*"abcde"))
    assert membership.rejection_reason(three, four, ())
    assert membership.rejection_reason(four, five, ()) is None


def test_no_voter_is_removed_if_the_rest_would_have_no_quorum() -> None:
    two = view("a b c d", silent="c d", joining="d#1")
    new = membership.next_config(two)
    assert new is not None and new.voters == ids("a", "b", "c", "d")


def test_a_second_wipe_replaces_the_first_learner() -> None:
    twice = view("a b c d", learners="e#1", behind="e#1", joining="e#2")
    new = membership.next_config(twice)
    assert new is not None and new.learners == ids("e#2")


def _replica(
    copies: int,
    names: tuple[str, ...],
    records: int = 0,
    committed: int = 0,
) -> raft.Replica:
    config = m.Config(voters=ids(*names))
    snapshot = m.Snapshot(index=m.Index(0), term=m.Term(0), config=config)
    log = log_mod.Log(snapshot)
    for at in range(records):
        index = m.Index(at + 1)
        log.append([m.Entry(index=index, term=m.Term(0), data=b"x")])
    return raft.Replica(
        me=ids("a")[0],
        hard=m.HardState(term=m.Term(0)),
        log=log,
        rng=random.Random(1),
        now=0.0,
        copies=copies,
        committed=m.Index(committed),
    )


def test_what_was_committed_before_a_restart_is_applied_at_once() -> None:
    """Later records are not applied, as they may still be removed."""
    out = _replica(3, ("a", "b", "c"), records=3, committed=2).take_output()
    assert [entry.index for entry in out.committed] == [1, 2]


# Upper bound of the first election's delay after links to a quorum are up.
# The ordinary election timeout is up to 1.2 s.
_MAX_DELAY_S = 0.25


def test_after_a_start_votes_are_asked_for_once_a_quorum_is_linked() -> None:
    names = ("a", "b", "c", "d", "e")
    new = _replica(3, names)
    new.linked(ids("b"), 0.1)
    new.tick(0.1 + _MAX_DELAY_S)
    assert new.role is raft.Role.FOLLOWER
    new.linked(ids("b", "c"), 0.3)
    new.tick(0.3 + _MAX_DELAY_S)
    assert new.role is raft.Role.CANDIDATE


def test_a_replica_that_hears_a_leader_asks_for_no_votes() -> None:
    new = _replica(3, ("a", "b", "c"))
    append = m.Append(
        sender=ids("b")[0],
        term=m.Term(1),
        prev_index=m.Index(0),
        prev_term=m.Term(0),
        commit=m.Index(0),
        number=1,
        entries=(),
    )
    new.receive(append, 0.1)
    new.linked(ids("b", "c"), 0.1)
    new.tick(0.1 + _MAX_DELAY_S)
    assert new.role is raft.Role.FOLLOWER


def _leader(copies: int, names: tuple[str, ...]) -> raft.Replica:
    leader = _replica(copies, names)
    leader.tick(10.0)
    for pre in (True, False):
        for name in names[1:]:
            reply = m.VoteReply(
                sender=m.ReplicaId(name), term=m.Term(1), pre=pre, granted=True
            )
            leader.receive(reply, 10.0)
    assert leader.role is raft.Role.LEADER
    return leader


def _acknowledge(leader: raft.Replica, name: str) -> None:
    reply = m.AppendReply(
        sender=m.ReplicaId(name),
        term=leader.term,
        ok=True,
        match=leader.log.last_index,
        number=1,
    )
    leader.receive(reply, 10.0)


def test_a_record_is_committed_on_more_disks_than_may_be_lost() -> None:
    """Two of three voters are a quorum, but may lose both disks at once."""
    leader = _leader(3, ("a", "b", "c"))
    index = leader.propose(b"x", 10.0)
    _acknowledge(leader, "b")
    assert leader.commit < (index or 0)
    _acknowledge(leader, "c")
    assert leader.commit == index


def test_five_voters_commit_on_three() -> None:
    leader = _leader(3, ("a", "b", "c", "d", "e"))
    index = leader.propose(b"x", 10.0)
    _acknowledge(leader, "b")
    assert leader.commit < (index or 0)
    _acknowledge(leader, "c")
    assert leader.commit == index


def test_a_quorum_stands_while_as_many_are_down_as_disks_may_be_lost() -> None:
    for copies in range(2, 6):
        target = membership.target_voters(copies)
        voters = tuple(m.ReplicaId(f"h{n}") for n in range(target))
        assert m.Config(voters=voters).quorum == copies
    assert membership.target_voters(1) == 3


def test_a_leader_that_was_suspended_leads_no_more_at_its_first_look() -> None:
    """Its clock has advanced while replies are still unread."""
    leader = _leader(2, ("a", "b", "c"))
    assert leader.role is raft.Role.LEADER
    leader.tick(17.0)
    assert leader.role is raft.Role.FOLLOWER


def test_a_leader_that_resigns_lets_another_one_be_elected_first() -> None:
    leader = _leader(1, ("a", "b", "c"))
    assert leader.role is raft.Role.LEADER
    leader.resign(10.1)
    leader.tick(10.1 + 2.0 * raft.ELECTION_S)
    assert leader.role is raft.Role.FOLLOWER
    leader.tick(10.1 + 5.0 * raft.ELECTION_S)
    assert leader.role is raft.Role.CANDIDATE
