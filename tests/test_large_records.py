"""Large records of the log reach replicas that are far behind.

Guards against one message with all missed records, which can exceed the
frame limit of a link and close it again and again.
"""

import random

from rackpost.consensus import log as log_mod
from rackpost.consensus import messages as m
from rackpost.consensus import raft
from rackpost.link import codec

ME, OTHER, THIRD = (m.ReplicaId(name) for name in "abc")
CONFIG = m.Config(voters=(ME, OTHER, THIRD))
RECORD = bytes(700_000)


def log(records: int) -> log_mod.Log:
    """Return a log of large records."""
    found = log_mod.Log(
        m.Snapshot(index=m.Index(0), term=m.Term(0), config=CONFIG)
    )
    found.append(
        [
            m.Entry(index=m.Index(at), term=m.Term(1), data=RECORD)
            for at in range(1, records + 1)
        ]
    )
    return found


def replica(me: m.ReplicaId, records: int) -> raft.Replica:
    return raft.Replica(
        me=me,
        hard=m.HardState(term=m.Term(1)),
        log=log(records),
        rng=random.Random(1),
        now=0.0,
    )


def test_a_replica_that_missed_many_large_records_catches_up() -> None:
    leader, follower = replica(ME, 40), replica(OTHER, 0)
    leader.tick(10.0)
    now = 10.0
    sizes = []
    for _ in range(400):
        sends = leader.take_output().sends + follower.take_output().sends
        if not sends:
            now += 0.01
            leader.tick(now)
        for send in sends:
            sizes.append(len(codec.encode(send.msg)))
            if send.to == ME:
                leader.receive(send.msg, now)
            elif send.to == OTHER:
                follower.receive(send.msg, now)
    assert leader.role is raft.Role.LEADER
    assert follower.log.last_index == leader.log.last_index
    assert max(sizes) <= codec.MAX_FRAME // 4


def test_small_records_are_still_sent_together() -> None:
    found = log_mod.Log()
    found.append(
        [
            m.Entry(index=m.Index(at), term=m.Term(1), data=b"x" * 100)
            for at in range(1, 101)
        ]
    )
    assert len(found.entries_after(0, 512, 1 << 20)) == 100


def compacted(records: int) -> raft.Replica:
    """Return a leader with a compacted log."""
    found = replica(ME, records)
    found.tick(10.0)
    for peer in (OTHER, THIRD):
        for pre in (True, False):
            found.receive(
                m.VoteReply(
                    sender=peer, term=m.Term(2), pre=pre, granted=True
                ),
                10.0,
            )
    reply = m.AppendReply(
        sender=THIRD,
        term=m.Term(2),
        ok=True,
        match=found.log.last_index,
        number=1,
    )
    found.receive(reply, 10.0)
    found.compact(found.applied, RECORD)
    found.take_output()
    return found


def test_a_snapshot_that_takes_long_is_not_sent_again_and_again() -> None:
    """Guards against copies of a snapshot that pile up on a slow link."""
    leader = compacted(40)
    assert leader.role is raft.Role.LEADER
    behind = m.AppendReply(
        sender=OTHER, term=m.Term(2), ok=False, match=m.Index(0), number=2
    )
    leader.receive(behind, 10.1)
    installs = 0
    heartbeats = 0
    for step in range(100):
        now = 10.1 + 0.1 * step
        leader.receive(
            m.AppendReply(
                sender=THIRD,
                term=m.Term(2),
                ok=True,
                match=leader.log.last_index,
                number=2,
            ),
            now,
        )
        leader.tick(now)
        sends = [s.msg for s in leader.take_output().sends if s.to == OTHER]
        installs += sum(isinstance(msg, m.Install) for msg in sends)
        heartbeats += any(isinstance(msg, m.Append) for msg in sends)
    assert 1 <= installs <= 5
    # Heartbeats go on meanwhile, so that the replica starts no election.
    assert heartbeats > 80


def test_a_replica_with_a_new_link_is_sent_the_snapshot_at_once() -> None:
    leader = compacted(40)
    behind = m.AppendReply(
        sender=OTHER, term=m.Term(2), ok=False, match=m.Index(0), number=2
    )
    leader.receive(behind, 10.1)
    assert any(
        isinstance(s.msg, m.Install) for s in leader.take_output().sends
    )
    leader.relinked(OTHER)
    leader.tick(10.3)
    assert any(
        isinstance(s.msg, m.Install) for s in leader.take_output().sends
    )


def test_a_replica_that_is_sent_a_snapshot_catches_up() -> None:
    leader, follower = compacted(40), replica(OTHER, 0)
    now = 10.2
    for _ in range(200):
        sends = leader.take_output().sends + follower.take_output().sends
        if not sends:
            now += 0.05
            leader.tick(now)
        for send in sends:
            if send.to == ME:
                leader.receive(send.msg, now)
            elif send.to == OTHER:
                follower.receive(send.msg, now)
    assert follower.log.last_index == leader.log.last_index
    assert follower.commit == leader.commit
