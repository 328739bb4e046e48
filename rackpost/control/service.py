"""The service of a control replica to entries and agents."""

import asyncio
from typing import Coroutine

import msgspec

from rackpost.control import messages
from rackpost.control import node as node_mod
from rackpost.link import channel
from rackpost import metrics as metrics_mod
from rackpost.state import commands
from rackpost.state import machine

# The interval of `Alive` messages to watchers.
ALIVE_S = 1.0
# A member without a status at any replica for this long is removed.
MEMBER_LEASE_S = 10.0
_MAX_OPEN_REQUESTS = 256


class _ClientLink:
    """The link to one process, and its open requests."""

    def __init__(self, *, conn: channel.Channel) -> None:
        self.conn = conn
        self.watching = False
        self.open_requests = 0


class Service:
    """Sends changes to watchers, commits commands and removes lost members."""

    def __init__(
        self,
        *,
        node: node_mod.Node,
        metrics: metrics_mod.Metrics,
    ) -> None:
        self._node = node
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._sessions: set[_ClientLink] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._leader_since: float | None = None

    def connect(self, conn: channel.Channel) -> None:
        """Serve a process over a new link."""
        session = _ClientLink(conn=conn)
        self._sessions.add(session)
        conn.attach(
            receive=lambda msg: self._on_message(session, msg),
            closed=lambda: self._sessions.discard(session),
        )

    def _on_message(self, session: _ClientLink, msg: msgspec.Struct) -> None:
        if isinstance(msg, messages.Status):
            self._node.record_status(msg)
        elif isinstance(msg, messages.Watch):
            self._spawn(self._watch(session, msg))
        elif isinstance(msg, messages.CommandRequest):
            self._on_command_request(session, msg)

    def _on_command_request(
        self, session: _ClientLink, msg: messages.CommandRequest
    ) -> None:
        if session.open_requests >= _MAX_OPEN_REQUESTS:
            session.conn.send(messages.Answer(number=msg.number, result=None))
            return
        session.open_requests += 1
        self._spawn(self._commit(session, msg))

    async def _commit(
        self, session: _ClientLink, msg: messages.CommandRequest
    ) -> None:
        try:
            result = await self._node.commit(msg.command)
        finally:
            session.open_requests -= 1
        session.conn.send(messages.Answer(number=msg.number, result=result))

    async def _watch(self, session: _ClientLink, msg: messages.Watch) -> None:
        # The process may know a newer revision than a replica that is behind.
        if not await self._node.confirm_read():
            session.conn.close()
            return
        changes = self._node.machine.changes_after(msg.revision)
        if changes is None:
            session.conn.send(messages.FullState(image=self._public_image()))
        else:
            session.conn.send(messages.Feed(changes=tuple(changes)))
        session.watching = True

    def _public_image(self) -> machine.Image:
        # Watchers do not need claims, results or history.
        return msgspec.structs.replace(
            self._node.machine.image(), claims=[], results=[], history=[]
        )

    def _feed(self, changes: list[machine.Change] | None) -> None:
        if changes is None:
            msg: msgspec.Struct = messages.FullState(
                image=self._public_image()
            )
        else:
            msg = messages.Feed(changes=tuple(changes))
        self._send_to_watchers(msg)

    def _send_to_watchers(self, msg: msgspec.Struct) -> None:
        """Send to all watchers; a link with a full queue may close."""
        for session in list(self._sessions):
            if session.watching:
                session.conn.send(msg)

    def _spawn(self, coro: Coroutine[None, None, None]) -> None:
        task = self._loop.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def run(self) -> None:
        """Serve watchers and remove lost members until cancelled."""
        with self._node.watched(self._feed):
            while True:
                await asyncio.sleep(ALIVE_S)
                self._send_alive()
                await self._remove_silent()

    def _send_alive(self) -> None:
        if not self._node.in_quorum_contact():
            # Clients must find a replica that is in contact with a quorum.
            for session in list(self._sessions):
                session.conn.close()
            return
        msg = messages.Alive(revision=self._node.machine.revision)
        self._send_to_watchers(msg)

    async def _remove_silent(self) -> None:
        now = self._loop.time()
        if not self._node.is_leader:
            self._leader_since = None
            return
        if self._leader_since is None:
            self._leader_since = now
        if now - self._leader_since < MEMBER_LEASE_S:
            # Status reports reach a new leader only after some time.
            return
        for member in list(self._node.machine.members.values()):
            seen = self._node.last_statuses.get(member.name)
            if seen is None or now - seen[1] > MEMBER_LEASE_S:
                self._node.last_statuses.pop(member.name, None)
                await self._node.commit(
                    commands.Remove(
                        name=member.name, incarnation=member.incarnation
                    )
                )
