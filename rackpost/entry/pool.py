"""The agents that an entry is linked to, and views of their endpoints."""

import asyncio
import random
from typing import Iterable

import msgspec

from rackpost.decide import circuit_breaker
from rackpost.decide import endpoint_view
from rackpost.link import channel
from rackpost.link import messages
from rackpost import types


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """An agent as registered at control; `delay_s` is one way."""

    agent: types.AgentId
    service: types.ServiceName
    role: types.Role
    data_centre: types.DataCentre
    delay_s: float = 0.0005


class Peer:
    """An agent that the entry is linked to."""

    def __init__(
        self,
        *,
        member: Member,
        conn: channel.Channel,
        view: endpoint_view.EndpointView,
    ) -> None:
        self.member = member
        self.conn = conn
        self.view = view
        self.incarnation = types.Incarnation(0)


class Pool:
    """All linked agents, by id and by service."""

    def __init__(self, *, rng: random.Random) -> None:
        self._loop = asyncio.get_running_loop()
        self.circuit_breakers = circuit_breaker.CircuitBreakers(rng=rng)
        self._peers: dict[types.AgentId, Peer] = {}
        self._by_service: dict[
            types.ServiceName, list[endpoint_view.EndpointView]
        ] = {}

    def add(self, member: Member, conn: channel.Channel) -> Peer:
        """Add an agent whose link is up, in place of its earlier link."""
        view = endpoint_view.EndpointView(
            agent=member.agent,
            service=member.service,
            data_centre=member.data_centre,
            load=messages.Load(role=member.role, revision=types.Revision(0)),
            delay_s=member.delay_s,
            now=self._loop.time(),
        )
        peer = Peer(member=member, conn=conn, view=view)
        self.remove(member.agent)
        self._peers[member.agent] = peer
        self._by_service.setdefault(member.service, []).append(view)
        return peer

    def remove(self, agent: types.AgentId) -> None:
        """Remove an agent whose link is lost."""
        peer = self._peers.pop(agent, None)
        if peer is not None:
            self._by_service[peer.member.service].remove(peer.view)

    def peer(self, agent: types.AgentId) -> Peer | None:
        """Return the link to an agent, if it is up."""
        return self._peers.get(agent)

    def peers(self) -> Iterable[Peer]:
        """Return all linked agents."""
        return list(self._peers.values())

    def views_of(
        self, service: types.ServiceName
    ) -> list[endpoint_view.EndpointView]:
        """Return views of a service's endpoints.

        Those with an open circuit breaker are marked as avoided.
        """
        now = self._loop.time()
        views = self._by_service.get(service, [])
        for view in views:
            state = self.circuit_breakers.of(view.agent).state(now)
            view.avoided = state is circuit_breaker.State.OPEN
        return views

    def update_load(self, agent: types.AgentId, load: messages.Load) -> None:
        """Store the load that an agent reported."""
        peer = self._peers.get(agent)
        if peer is not None:
            peer.view.update(load, self._loop.time())
