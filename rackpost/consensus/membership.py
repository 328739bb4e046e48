"""Which replicas vote: the leader's next change of the config.  Pure.

A replica's id lasts as long as its disk.  One that lost its disk comes
back on the same host under a new id, as a learner; that shows that the
old id is gone for good.  One change is made at a time.
"""

from typing import Collection

import msgspec

from rackpost.consensus import messages as m

# A voter silent for this long gives way to a learner that has caught up.
# Longer than an election, shorter than the time that a site gives a new
# VM to take part (4 s), in seconds.
REPLACE_AFTER_S = 1.5
# A learner silent for this long is dropped, in seconds.
DROP_AFTER_S = 30.0
# Voters of a site that need not survive a lost disk: one may still be down.
_FEWEST_VOTERS = 3


class ClusterView(msgspec.Struct, frozen=True, kw_only=True):
    """What the leader knows.

    Attributes:
        silence_s: seconds since each replica was last heard.
        caught_up: replicas that have all that is committed.
        joining: ids, not in the config, that have asked to join lately.
        target: how many voters there should be.
        copies: how many voters must have a record before it is committed.
    """

    me: m.ReplicaId
    config: m.Config
    silence_s: dict[m.ReplicaId, float]
    caught_up: frozenset[m.ReplicaId]
    joining: tuple[m.ReplicaId, ...]
    target: int
    copies: int


def host_of(replica: m.ReplicaId) -> str:
    """The host that a replica runs on; its id begins with it."""
    return replica.split("#", 1)[0]


def target_voters(copies: int) -> int:
    """How many voters there should be.

    Of 2 x `copies` - 1 voters, `copies` are a quorum, so that it still
    stands when one fewer are down.
    """
    return 2 * copies - 1 if copies > 1 else _FEWEST_VOTERS


def rejection_reason(
    old: m.Config, new: m.Config, caught_up: Collection[m.ReplicaId]
) -> str | None:
    """Why a config may not follow another; None if it may.

    `caught_up` are replicas that hold all that is committed.
    """
    if len(set(old.voters) ^ set(new.voters)) > 1:
        return "only one voter may come or go at a time"
    for peer in set(new.voters) - set(old.voters):
        if peer not in old.learners:
            return f"{peer} must be a learner first"
        if peer not in caught_up:
            return f"{peer} has not caught up"
    return None if new.voters else "there must be a voter"


def next_config(view: ClusterView) -> m.Config | None:
    """The next config, or None if the present one is as it should be."""
    return _promote(view) or _remove_voter(view) or _learners(view)


def _ready_learner(view: ClusterView) -> m.ReplicaId | None:
    for learner in view.config.learners:
        heard = view.silence_s.get(learner, 0.0) < REPLACE_AFTER_S
        if heard and learner in view.caught_up:
            return learner
    return None


def _promote(view: ClusterView) -> m.Config | None:
    learner = _ready_learner(view)
    if learner is None or len(view.config.voters) >= view.target:
        return None
    return m.Config(
        voters=view.config.voters + (learner,),
        learners=_without(view.config.learners, learner),
    )


def _remove_voter(view: ClusterView) -> m.Config | None:
    gone = _gone_voter(view)
    if gone is None:
        return None
    rest = _without(view.config.voters, gone)
    alive = [
        peer
        for peer in rest
        if view.silence_s.get(peer, 0.0) < REPLACE_AFTER_S
    ]
    config = m.Config(voters=rest, learners=view.config.learners)
    if len(alive) < max(config.quorum, min(view.copies, len(rest))):
        return None
    return config


def _gone_voter(view: ClusterView) -> m.ReplicaId | None:
    newcomers = view.config.learners + view.joining
    spare = _ready_learner(view) is not None
    for voter in view.config.voters:
        if voter == view.me:
            continue
        if view.silence_s.get(voter, 0.0) < REPLACE_AFTER_S:
            continue
        wiped = any(host_of(item) == host_of(voter) for item in newcomers)
        if wiped or spare:
            return voter
    return None


def _learners(view: ClusterView) -> m.Config | None:
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
        if view.silence_s.get(peer, 0.0) > DROP_AFTER_S:
            return m.Config(
                voters=config.voters, learners=_without(config.learners, peer)
            )
    return None


def _without(
    items: tuple[m.ReplicaId, ...], gone: m.ReplicaId
) -> tuple[m.ReplicaId, ...]:
    return tuple(item for item in items if item != gone)
