"""The entry process: links to control and agents, and the HTTP server."""

import asyncio
import contextlib
import random
import time
from typing import AsyncIterator

from rackpost import config
from rackpost.control import client as client_mod
from rackpost.control import messages as control_messages
from rackpost.decide import declared_events as declared_events_mod
from rackpost.decide import placement
from rackpost.decide import subset
from rackpost.entry import control_claims
from rackpost.entry import core
from rackpost.entry import http
from rackpost.entry import pool
from rackpost import exceptions
from rackpost import http_server
from rackpost.link import messages
from rackpost.link import websocket
from rackpost import logs
from rackpost.state import commands
from rackpost import types

_MIN_RECONNECT_S = 0.05
_MAX_RECONNECT_S = 2.0
_LOCAL_DELAY_S = 0.0002
_REMOTE_DELAY_S = 0.001


class _ControlSettings(core.SettingsSource):
    """The settings and members received over the link to control."""

    def __init__(self, *, client: client_mod.ControlClient) -> None:
        self._client = client

    def revision(self) -> types.Revision:
        """Return the settings revision in force at this entry."""
        return self._client.in_force.revision

    def catch_up_to(self, revision: types.Revision) -> None:
        """Fetch `revision`, which a peer runs on, if it is newer."""
        self._client.fetch_if_behind(revision)

    def member_count(
        self, service: types.ServiceName, role: types.Role
    ) -> int | None:
        """Return how many endpoints of a service and role have joined."""
        members = self._client.in_force.members.values()
        return sum(
            1
            for member in members
            if member.service == service and member.role is role
        )


class EntryProcess:
    """A running entry."""

    def __init__(self, *, opts: config.EntryOptions) -> None:
        self.opts = opts
        self._security = opts.security()
        self._rng = random.Random()
        self._incarnation = types.Incarnation(time.time_ns())
        self.client = client_mod.ControlClient(
            name=opts.name,
            incarnation=self._incarnation,
            addresses=opts.control_addresses(),
            connect=lambda address: websocket.connected(
                address,
                security=self._security,
                kinds=control_messages.FromControl,
            ),
            rng=self._rng,
            join=self._member(),
            changed=self._on_members_changed,
        )
        self.claims = control_claims.ControlClaims(
            client=self.client, now=time.time
        )
        self.entry = core.Entry(
            cfg=core.EntryConfig(
                entry=types.EntryId(opts.name),
                data_centre=types.DataCentre(opts.data_centre),
            ),
            models=placement.JointPolicy(rng=self._rng),
            plain=placement.PlainPolicy(rng=self._rng),
            claims=self.claims,
            rng=self._rng,
            entry_count=self._count_entries,
            events=self._events,
            settings=_ControlSettings(client=self.client),
        )
        self._known_agents: set[str] = set()
        self._links: dict[str, asyncio.Task[None]] = {}
        self._linked_members: dict[str, commands.MemberInfo] = {}

    def _member(self) -> commands.MemberInfo:
        opts = self.opts
        return commands.MemberInfo(
            name=opts.name,
            vm=types.VmId(opts.vm),
            data_centre=types.DataCentre(opts.data_centre),
            address=opts.advertise or opts.listen,
            incarnation=self._incarnation,
        )

    def _count_entries(self) -> int:
        members = self.client.in_force.members.values()
        return max(1, sum(1 for member in members if not member.service))

    def _events(
        self, service: types.ServiceName
    ) -> list[declared_events_mod.DeclaredEvent]:
        declared = self.client.in_force.tree.events.values()
        return [
            declared_events_mod.DeclaredEvent(
                event.start, event.length_s, event.kinds, event.rate
            )
            for event in declared
            if service in event.services
        ]

    def _on_members_changed(self) -> None:
        members = self.client.in_force.members
        wanted = subset.choose(
            entry=self.opts.name,
            data_centre=self.opts.data_centre,
            members=members.values(),
            size=self.opts.subset,
        )
        for name in list(self._links):
            if (
                name not in wanted
                or self._linked_members[name] != members[name]
            ):
                self._links.pop(name).cancel()
        self._forget_removed(members)
        for name in wanted:
            if name not in self._links:
                self._linked_members[name] = members[name]
                self._links[name] = asyncio.create_task(
                    self._keep_link(members[name])
                )

    def _forget_removed(self, members: dict[str, commands.MemberInfo]) -> None:
        for name in self._known_agents - members.keys():
            self.entry.pool.circuit_breakers.forget(types.AgentId(name))
        self._known_agents = set(members)

    async def _keep_link(self, member: commands.MemberInfo) -> None:
        pause = _MIN_RECONNECT_S
        while True:
            try:
                async with websocket.connected(
                    member.address,
                    security=self._security,
                    kinds=messages.FromAgent,
                ) as conn:
                    logs.say(
                        logs.Part.ENTRY, "Linked to agent.", agent=member.name
                    )
                    pause = _MIN_RECONNECT_S
                    self.entry.add_agent(self._pool_member(member), conn)
                    await conn.ended()
            except exceptions.LinkError as exc:
                logs.say(
                    logs.Part.ENTRY,
                    "No link to agent.",
                    agent=member.name,
                    why=str(exc),
                )
            await asyncio.sleep(pause * (0.5 + self._rng.random()))
            pause = min(_MAX_RECONNECT_S, pause * 2)

    def _pool_member(self, member: commands.MemberInfo) -> pool.Member:
        near = member.data_centre == self.opts.data_centre
        return pool.Member(
            agent=types.AgentId(member.name),
            service=member.service,
            role=member.role,
            data_centre=member.data_centre,
            delay_s=_LOCAL_DELAY_S if near else _REMOTE_DELAY_S,
        )

    def _ready(self) -> bool:
        return self.client.ready.is_set()

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncIterator[int]:
        """Serve callers and yield the port; on exit, close all links."""
        app = http.CallerApp(
            entry=self.entry,
            tree=lambda: self.client.in_force.tree,
            ready=self._ready,
        )
        host, port = self.opts.bind()
        tls = None
        if self.opts.caller_cert:
            tls = (self.opts.caller_cert, self.opts.caller_key)
        tasks = [
            asyncio.create_task(self.client.run()),
            asyncio.create_task(self.claims.run()),
        ]
        try:
            async with http_server.serving(
                app.app, host=host, port=port, tls=tls
            ) as bound_port:
                logs.say(logs.Part.ENTRY, "Serving callers.", port=bound_port)
                yield bound_port
        finally:
            for task in [*tasks, *self._links.values()]:
                task.cancel()

    async def stop(self) -> None:
        """Refuse new requests, and wait until those in flight have ended."""
        logs.say(logs.Part.ENTRY, "Stopping.", open=self.entry.open_requests)
        self.entry.stop()
        await self.entry.drained()
