"""The leader's decision which replicas vote.  Pure.

A replica's id lasts as long as its disk.  A replica that lost its disk
rejoins from the same host under a new id, as a learner, which proves that
the old id will not return.  A silent voter may have a sound disk: it becomes
a learner when another one takes its place, and votes again as soon as it is
needed.  The config changes by one replica at a time.
"""

from typing import Collection

import msgspec

from rackpost.consensus import messages as m

# A voter silent for this long may be replaced by a caught-up learner.  Longer
# than an election, shorter than the 4 s in which a new VM has to take part.
REPLACE_AFTER_S = 1.5
# A learner silent for this long is removed.
DROP_AFTER_S = 30.0
# One of three voters may be down.
_MIN_VOTERS = 3


class ClusterView(msgspec.Struct, frozen=True, kw_only=True):
    """What the leader knows of the replicas.

    Attributes:
        silence_s: seconds since the last reply of each replica.
        caught_up: replicas that hold all committed records.
        joining: ids outside the config that recently requested to join.
        leaving: replicas that have announced that they stop.
        target: how many voters there should be.
        min_copies: voters that must store a record before it is committed.
    """

    me: m.ReplicaId
    config: m.Config
    silence_s: dict[m.ReplicaId, float]
    caught_up: frozenset[m.ReplicaId]
    joining: tuple[m.ReplicaId, ...]
    target: int
    min_copies: int
    leaving: frozenset[m.ReplicaId] = frozenset()

    def is_silent(self, peer: m.ReplicaId) -> bool:
        """Whether a replica has not replied for a while."""
        return self.silence_s.get(peer, 0.0) >= REPLACE_AFTER_S


def host_of(replica: m.ReplicaId) -> str:
    """Return the host that a replica runs on, the first part of its id."""
    return replica.split("#", 1)[0]


def target_voters(min_copies: int) -> int:
    """Return how many voters there should be.

    Of 2 * `min_copies` - 1 voters, `min_copies` are a quorum.
    """
    return 2 * min_copies - 1 if min_copies > 1 else _MIN_VOTERS


def rejection_reason(
    old: m.Config, new: m.Config, caught_up: Collection[m.ReplicaId]
) -> str | None:
    """Return why a config may not follow another, or None if it may.

    `caught_up` are the replicas that hold all committed records.
    """
    if len(set(old.voters) ^ set(new.voters)) > 1:
        return "only one voter may come or go at a time"
    # One more than an even number of voters does not raise the quorum.
    raises_quorum = new.quorum > old.quorum
    for peer in set(new.voters) - set(old.voters):
        if peer not in old.learners:
            return f"{peer} must be a learner first"
        if peer not in caught_up and raises_quorum:
            return f"{peer} has not caught up"
    return None if new.voters else "there must be a voter"


def next_config(view: ClusterView) -> m.Config | None:
    """Return the next config, or None if no change is needed."""
    return _promote(view) or _remove_voter(view) or _change_learners(view)


def _ready_learner(view: ClusterView) -> m.ReplicaId | None:
    for learner in view.config.learners:
        if (
            not view.is_silent(learner)
            and learner in view.caught_up
            and learner not in view.leaving
        ):
            return learner
    return None


def _silent_learner(view: ClusterView) -> m.ReplicaId | None:
    """Return a silent learner that may vote without raising the quorum.

    Most likely it has voted before and its disk is sound.
    """
    if len(view.config.voters) % 2:
        return None
    for learner in view.config.learners:
        if view.is_silent(learner) and learner not in view.leaving:
            return learner
    return None


def _promote(view: ClusterView) -> m.Config | None:
    if len(view.config.voters) >= view.target:
        return None
    learner = _ready_learner(view) or _silent_learner(view)
    if learner is None:
        return None
    return m.Config(
        voters=view.config.voters + (learner,),
        learners=_without(view.config.learners, learner),
    )


def _remove_voter(view: ClusterView) -> m.Config | None:
    gone = _replaceable_voter(view)
    if gone is None:
        return None
    rest = _without(view.config.voters, gone)
    alive = [peer for peer in rest if not view.is_silent(peer)]
    learners = view.config.learners
    if not _has_lost_disk(view, gone):
        learners += (gone,)
    config = m.Config(voters=rest, learners=learners)
    if len(alive) < max(config.quorum, min(view.min_copies, len(rest))):
        return None
    return config


def _has_lost_disk(view: ClusterView, voter: m.ReplicaId) -> bool:
    """Whether another replica runs on a voter's host.

    The voter itself may have asked to join lately, before it became one.
    """
    candidates = view.config.learners + view.joining
    return any(
        item != voter and host_of(item) == host_of(voter)
        for item in candidates
    )


def _replaceable_voter(view: ClusterView) -> m.ReplicaId | None:
    has_spare = _ready_learner(view) is not None
    if has_spare or any(view.is_silent(peer) for peer in view.config.learners):
        for voter in view.config.voters:
            if voter in view.leaving:
                return voter
    for voter in view.config.voters:
        if voter == view.me or not view.is_silent(voter):
            continue
        if _has_lost_disk(view, voter) or has_spare:
            return voter
    return None


def _change_learners(view: ClusterView) -> m.Config | None:
    config = view.config
    for peer in view.joining:
        if peer not in config.everyone:
            kept = tuple(
                item
                for item in config.learners
                if host_of(item) != host_of(peer)
            )
            return m.Config(voters=config.voters, learners=kept + (peer,))
    for peer in config.learners:
        # One that has handed its vote over does not come back soon.
        has_left = peer in view.leaving and len(config.voters) >= view.target
        if has_left or view.silence_s.get(peer, 0.0) > DROP_AFTER_S:
            return m.Config(
                voters=config.voters, learners=_without(config.learners, peer)
            )
    return None


def _without(
    items: tuple[m.ReplicaId, ...], gone: m.ReplicaId
) -> tuple[m.ReplicaId, ...]:
    return tuple(item for item in items if item != gone)
