"""Membership of the consensus group, and links to its hosts.

`rackpost.consensus.membership` decides which configuration comes next; this
module collects its inputs and applies the result on the leader.
"""

import asyncio
from typing import Callable
from typing import Iterable
from typing import NamedTuple

from rackpost.consensus import membership
from rackpost.consensus import messages as consensus
from rackpost.control import node as node_mod
from rackpost.coordinator import links
from rackpost.coordinator import messages
from rackpost import exceptions
from rackpost import logs

# How often membership and links are checked.
_CHECK_INTERVAL_S = 0.2
# Time without contact with a leader after which a replica asks to join.
_JOIN_AFTER_S = 0.8
# How long a request to join, or the notice of a stop, remains valid.
_JOIN_REQUEST_VALID_S = 2.0
# How long a replica that stops waits for another one to vote in its place.
# Covers an election, and is well below the grace time.
_HAND_OVER_S = 3.0


class _Leadership(NamedTuple):
    """The leader and the configuration, as far as this replica knows."""

    leader: consensus.ReplicaId | None
    config: consensus.Config


class MembershipManager:
    """Keeps one replica a member, and the members complete if it leads."""

    def __init__(
        self,
        *,
        node: node_mod.Node,
        dialler: links.Dialler,
        ip: str,
        seeds: Iterable[str],
        copies: int,
        on_change: Callable[[], None],
    ) -> None:
        """Create the manager of one replica.

        `on_change` is called when the leader or the configuration changes.
        `seeds` are `host:port` of some coordinators; `copies` is how many
        voters must have a record before it is committed.
        """
        self._loop = asyncio.get_running_loop()
        self._node = node
        self._dialler = dialler
        self._ip = ip
        self._copies = copies
        self._on_change = on_change
        self._seeds: set[str] = set()
        self.set_seeds(seeds)
        self._joining: dict[consensus.ReplicaId, float] = {}
        self._leaving: dict[consensus.ReplicaId, float] = {}
        self._dialling_hosts: set[str] = set()
        self._leader_contact_at = self._loop.time()
        self._leadership: _Leadership | None = None

    @property
    def hosts(self) -> set[str]:
        """Hosts of all known coordinators; may include this one."""
        known = {
            membership.host_of(peer) for peer in self._node.config.everyone
        }
        # Before it has joined, a replica knows only the seeds.
        return known | self._seeds | self._dialling_hosts

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the seed coordinators, given as `host:port`."""
        self._seeds = {links.host_of(item) for item in seeds}

    def record_dialling_host(self, replica: consensus.ReplicaId) -> None:
        """Record the host of a replica that has dialled this one."""
        self._dialling_hosts.add(membership.host_of(replica))

    def receive_join(self, msg: messages.Join) -> None:
        """Record a request to join, or forward it to the leader."""
        if self._node.is_leader:
            self._joining[msg.replica] = self._loop.time()
        elif self._node.leader is not None:
            self._node.send(self._node.leader, msg)

    def receive_leave(self, msg: messages.Leave) -> None:
        """Record that a replica stops, or forward it to the leader."""
        if self._node.is_leader:
            self._leaving[msg.replica] = self._loop.time()
        elif self._node.leader is not None:
            self._node.send(self._node.leader, msg)

    async def hand_over(self) -> None:
        """Wait until another replica votes in place of this one.

        Returns at once where there is none, as in an ordinary restart: this
        replica then keeps its vote.
        """
        me = self._node.me
        config = self._node.config
        if me not in config.voters or not config.learners:
            return
        target = membership.target_voters(self._copies)
        until = self._loop.time() + _HAND_OVER_S
        self._node.resign()
        while self._loop.time() < until:
            self._node.broadcast(messages.Leave(replica=me))
            await asyncio.sleep(_CHECK_INTERVAL_S)
            voters = self._node.config.voters
            if me not in voters and len(voters) >= target:
                break
        logs.say(
            logs.Part.COORDINATOR,
            "Vote handed over." if me not in voters else "Vote kept.",
            voters=list(voters),
        )

    async def run(self) -> None:
        """Maintain links and membership until cancelled."""
        while True:
            self._dialler.set_hosts(self.hosts - {self._ip})
            self._update_leadership()
            if self._node.is_leader:
                self._leader_contact_at = self._loop.time()
                self._change_config()
            elif self._node.in_quorum_contact():
                self._leader_contact_at = self._loop.time()
            elif self._loop.time() - self._leader_contact_at > _JOIN_AFTER_S:
                self._node.broadcast(messages.Join(replica=self._node.me))
            await asyncio.sleep(_CHECK_INTERVAL_S)

    def _update_leadership(self) -> None:
        config = self._node.config
        leadership = _Leadership(leader=self._node.leader, config=config)
        if leadership == self._leadership:
            return
        self._leadership = leadership
        logs.say(
            logs.Part.COORDINATOR,
            "Leader or replicas changed.",
            leader=leadership.leader or "none",
            term=self._node.term,
            voters=list(config.voters),
            learners=list(config.learners),
        )
        if config.voters:
            self._dialling_hosts &= {
                membership.host_of(peer) for peer in config.everyone
            }
        self._on_change()

    def _change_config(self) -> None:
        _forget_old(self._joining, self._loop.time())
        _forget_old(self._leaving, self._loop.time())
        new = membership.next_config(self._view())
        if new is None:
            return
        try:
            self._node.change_config(new)
        except exceptions.ControlError as exc:
            logs.say(
                logs.Part.COORDINATOR, "Replicas not changed.", why=str(exc)
            )

    def _view(self) -> membership.ClusterView:
        config = self._node.config
        return membership.ClusterView(
            me=self._node.me,
            config=config,
            silence_s={
                peer: self._node.silence(peer)
                for peer in config.everyone
                if peer != self._node.me
            },
            caught_up=frozenset(
                peer for peer in config.learners if self._node.caught_up(peer)
            ),
            joining=tuple(self._joining),
            leaving=frozenset(self._leaving),
            min_copies=self._copies,
            target=membership.target_voters(self._copies),
        )


def _forget_old(
    received: dict[consensus.ReplicaId, float], now: float
) -> None:
    """Drop requests and notices that were not repeated."""
    for peer, at in list(received.items()):
        if now - at > _JOIN_REQUEST_VALID_S:
            del received[peer]
