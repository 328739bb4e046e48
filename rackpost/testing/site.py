"""A site in one event loop: entries, agents and simulated endpoints.

Entries and agents are the production code.  The links, which run in process
with a delay, and the endpoints are simulated.
"""

import asyncio
import random
from typing import Callable
from typing import NamedTuple

from rackpost.agent import core as agent_core
from rackpost.agent import engine as engine_mod
from rackpost.decide import declared_events
from rackpost.decide import placement
from rackpost.decide import reservations as reservations_mod
from rackpost.entry import claims as claims_mod
from rackpost.entry import core as entry_core
from rackpost.entry import pool
from rackpost.link import channel
from rackpost.testing import engine
from rackpost.testing import plain
from rackpost import types


class Delays(NamedTuple):
    """One-way delays in seconds, within and between data centres."""

    inside_s: float = 0.0001
    between_s: float = 0.0005

    def between(self, one: str, two: str) -> float:
        """Return the delay between two data centres, in seconds."""
        return self.inside_s if one == two else self.between_s


class EndpointConfig(NamedTuple):
    """An endpoint's name, service, role and data centre."""

    name: str
    service: types.ServiceName
    role: types.Role
    data_centre: types.DataCentre


class Node:
    """An endpoint with its agent."""

    def __init__(
        self,
        *,
        config: EndpointConfig,
        engine: engine_mod.Engine,
        agent: agent_core.Agent,
    ) -> None:
        self.config = config
        self.engine = engine
        self.agent = agent
        self.task = asyncio.create_task(agent.run())
        self.links: list[channel.LocalChannel] = []

    def kill_agent(self) -> None:
        """Simulate the death of the agent's process."""
        self.task.cancel()
        self.agent.close()


LedgerFactory = Callable[
    [reservations_mod.EndpointSpec], reservations_mod.EndpointLedger
]


def make_reservation_ledger(
    spec: reservations_mod.EndpointSpec,
) -> reservations_mod.EndpointLedger:
    """Return the ledger that production agents use."""
    return reservations_mod.ReservationLedger(spec=spec)


class Site:
    """A site's entries, agents and endpoints."""

    def __init__(
        self,
        *,
        delays: Delays,
        seed: int,
        engine_spec: engine.EngineSpec,
        make_ledger: LedgerFactory = make_reservation_ledger,
        claims: claims_mod.Claims | None = None,
        lease_s: float = agent_core.LEASE_S,
    ) -> None:
        self.delays = delays
        self.engine_spec = engine_spec
        self.ledger = engine.Ledger()
        self.engines: dict[str, engine.StandInEngine] = {}
        self.nodes: dict[str, Node] = {}
        self.entries: list[entry_core.Entry] = []
        self.events: list[declared_events.DeclaredEvent] = []
        self._seed = seed
        self._make_ledger = make_ledger
        self._claims = claims
        self._lease_s = lease_s

    def rng(self, name: str) -> random.Random:
        """Return a random generator seeded for the named component."""
        return random.Random(f"{self._seed}/{name}")

    def add_endpoint(self, config: EndpointConfig) -> Node:
        """Add an endpoint and its agent, linked to every entry."""
        found = self._make_engine(config)
        agent = agent_core.Agent(
            cfg=agent_core.AgentConfig(
                agent=types.AgentId(config.name),
                service=config.service,
                data_centre=config.data_centre,
                lease_s=self._lease_s,
            ),
            engine=found,
            ledger=self._make_ledger(self.spec_of(config)),
        )
        node = Node(config=config, engine=found, agent=agent)
        self.nodes[config.name] = node
        for entry in self.entries:
            self._link(entry, node)
        return node

    def _make_engine(self, config: EndpointConfig) -> engine_mod.Engine:
        rng = self.rng(config.name)
        if config.role is types.Role.PLAIN:
            return plain.StandInPlain(ledger=self.ledger)
        return engine.StandInEngine(
            name=config.name,
            spec=self.engine_spec,
            peers=self.engines,
            rng=rng,
            ledger=self.ledger,
        )

    def spec_of(self, config: EndpointConfig) -> reservations_mod.EndpointSpec:
        """Return the operator's specification of an endpoint."""
        spec = self.engine_spec
        if config.role is types.Role.PLAIN:
            return reservations_mod.EndpointSpec(
                role=config.role, slots=plain.SLOTS, step_s=plain.CALL_S
            )
        return reservations_mod.EndpointSpec(
            role=config.role,
            slots=spec.slots,
            prefill_tokens_s=spec.prefill_tokens_s,
            prefill_base_s=spec.prefill_base_s,
            step_s=spec.step_s + spec.step_stream_s * spec.slots,
            link_bytes_s=spec.link_bytes_s,
            cache_blocks=spec.cache_blocks,
        )

    def add_entry(
        self,
        name: str,
        data_centre: types.DataCentre,
        policy: placement.Policy | None = None,
    ) -> entry_core.Entry:
        """Add an entry, linked to every agent."""
        rng = self.rng(name)
        entry = entry_core.Entry(
            cfg=entry_core.EntryConfig(
                entry=types.EntryId(name), data_centre=data_centre
            ),
            models=policy or placement.JointPolicy(rng=rng),
            plain=placement.PlainPolicy(rng=rng),
            claims=self._claims,
            rng=rng,
            entry_count=lambda: len(self.entries),
            events=lambda service: self.events,
            wall=asyncio.get_running_loop().time,
        )
        self.entries.append(entry)
        for node in self.nodes.values():
            self._link(entry, node)
        return entry

    def _link(self, entry: entry_core.Entry, node: Node) -> None:
        config = node.config
        delay = self.delays.between(entry.cfg.data_centre, config.data_centre)
        here, there = channel.local_pair(delay_s=delay)
        node.links.append(there)
        node.agent.connect(there)
        entry.add_agent(
            pool.Member(
                agent=types.AgentId(config.name),
                service=config.service,
                role=config.role,
                data_centre=config.data_centre,
                delay_s=delay,
            ),
            here,
        )

    def kill_entry(self, entry: entry_core.Entry) -> None:
        """Simulate the death of the entry's process: close its links."""
        self.entries.remove(entry)
        for peer in entry.pool.peers():
            peer.conn.close()

    def held(self) -> set[types.RequestId]:
        """Return the requests for which any engine holds memory."""
        found: set[types.RequestId] = set()
        for item in self.engines.values():
            found |= item.held()
        return found

    def close(self) -> None:
        """Cancel all tasks."""
        for node in self.nodes.values():
            node.kill_agent()
