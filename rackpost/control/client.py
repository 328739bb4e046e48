"""A process's client of control: the state in force, and requests."""

import asyncio
import contextlib
import random
from typing import AsyncContextManager
from typing import Callable

import msgspec

from rackpost.control import messages
from rackpost import exceptions
from rackpost.link import channel
from rackpost.state import commands
from rackpost.state import machine
from rackpost.state import tree as tree_mod
from rackpost import types

STATUS_S = 2.0
# After this long without a message the client tries another replica.
_SILENT_S = 3.0
_ANSWER_TIMEOUT_S = 1.0
_FIRST_PAUSE_S = 0.05
_MAX_PAUSE_S = 1.0

Connect = Callable[[str], AsyncContextManager[channel.Channel]]
Changed = Callable[[], None]
Ordered = Callable[[machine.Change], None]


class InForce:
    """The state that a process runs on; its revision never decreases."""

    def __init__(self) -> None:
        self.revision = types.Revision(0)
        self.tree = tree_mod.Tree()
        self.members: dict[str, commands.MemberInfo] = {}
        self.fences: dict[str, types.Fence] = {}

    def take_whole(self, image: machine.Image) -> bool:
        """Replace the state by an image; return False if that is older."""
        if image.revision < self.revision:
            return False
        self.tree = tree_mod.Tree()
        for path, node in image.nodes.items():
            self.tree.put(path, node)
        self.tree.events.update(image.events)
        self.members = dict(image.members)
        self.fences = dict(image.fences)
        self.revision = image.revision
        return True

    def take(self, change: machine.Change) -> bool:
        """Apply a change; return False if an earlier one is missing."""
        if change.revision <= self.revision:
            return True
        if change.revision != self.revision + 1:
            return False
        if change.path is not None and change.node is not None:
            self.tree.put(change.path, change.node)
        if change.event_name is not None:
            self.tree.events.pop(change.event_name, None)
            if change.event is not None:
                self.tree.events[change.event_name] = change.event
        if change.member_name is not None:
            self._apply_member(change.member_name, change)
        self.revision = change.revision
        return True

    def _apply_member(self, name: str, change: machine.Change) -> None:
        if change.member is None:
            self.members.pop(name, None)
            self.fences.pop(name, None)
            return
        self.members[name] = change.member
        self.fences[name] = change.fence


class ControlClient:
    """Keeps one process linked to one of the control replicas.

    `changed` is called whenever a newer state is in force, and `ordered` for
    each order.  `ready` is set once the first state has arrived.
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: types.Incarnation,
        addresses: list[str],
        connect: Connect,
        rng: random.Random,
        join: commands.MemberInfo | None = None,
        changed: Changed = lambda: None,
        ordered: Ordered = lambda change: None,
    ) -> None:
        self.in_force = InForce()
        self.ready = asyncio.Event()
        self._name = name
        self._incarnation = incarnation
        self._addresses = list(addresses)
        self._connect = connect
        self._rng = rng
        self._join = join
        self._changed = changed
        self._ordered = ordered
        self._loop = asyncio.get_running_loop()
        self._conn: channel.Channel | None = None
        self._ended = asyncio.Event()
        self._last_message_at = 0.0
        # A `Watch` on this link is unanswered.
        self._watch_pending = False
        self._number = 0
        self._requested: dict[int, asyncio.Future[commands.Result | None]] = {}
        rng.shuffle(self._addresses)

    async def run(self) -> None:
        """Stay linked to some replica until cancelled."""
        pause = _FIRST_PAUSE_S
        while True:
            address = self._addresses[0]
            self._addresses.append(self._addresses.pop(0))
            with contextlib.suppress(exceptions.LinkError):
                async with self._connect(address) as conn:
                    before = self._last_message_at
                    await self._serve(conn)
                    if self._last_message_at > before:
                        pause = _FIRST_PAUSE_S
            await asyncio.sleep(pause * (0.5 + self._rng.random()))
            pause = min(_MAX_PAUSE_S, pause * 2)

    async def _serve(self, conn: channel.Channel) -> None:
        self._ended.clear()
        self._conn = conn
        conn.attach(receive=self._on_message, closed=self._on_closed)
        self._fetch()
        since = self._loop.time()
        joining = asyncio.create_task(self._stay_joined())
        try:
            while not self._ended.is_set():
                self._send_status(conn)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(STATUS_S):
                        await self._ended.wait()
                last = max(since, self._last_message_at)
                if self._loop.time() - last > _SILENT_S:
                    return
        finally:
            joining.cancel()
            self._forget_link()
            conn.close()

    def _send_status(self, conn: channel.Channel) -> None:
        conn.send(
            messages.Status(
                name=self._name,
                incarnation=self._incarnation,
                revision=self.in_force.revision,
            )
        )

    async def _stay_joined(self) -> None:
        # A process that was cut off may have been removed from the members.
        while self._join is not None:
            if self.in_force.members.get(self._name) != self._join:
                with contextlib.suppress(exceptions.ControlError):
                    await self.commit(commands.Join(member=self._join))
            await asyncio.sleep(STATUS_S)

    def _on_closed(self) -> None:
        self._forget_link()
        self._ended.set()

    def _forget_link(self) -> None:
        self._conn = None
        self._watch_pending = False
        pending = self._requested
        self._requested = {}
        for fut in pending.values():
            if not fut.done():
                fut.set_result(None)

    def _on_message(self, msg: msgspec.Struct) -> None:
        self._last_message_at = self._loop.time()
        if isinstance(msg, messages.Answer):
            fut = self._requested.pop(msg.number, None)
            if fut is not None and not fut.done():
                fut.set_result(msg.result)
        elif isinstance(msg, messages.FullState):
            self._watch_pending = False
            if self.in_force.take_whole(msg.image):
                self._notify_changed()
        elif isinstance(msg, messages.Feed):
            self._watch_pending = False
            self._on_feed(msg)
        elif isinstance(msg, messages.Alive):
            self._on_alive(msg)

    def _on_feed(self, msg: messages.Feed) -> None:
        for change in msg.changes:
            if not self.in_force.take(change):
                self._fetch()
                return
            if change.order is not None:
                self._ordered(change)
        self._notify_changed()

    def _on_alive(self, msg: messages.Alive) -> None:
        if msg.revision > self.in_force.revision:
            self._fetch()

    def fetch_if_behind(self, revision: types.Revision) -> bool:
        """Whether a peer runs on a newer state; if so, fetch it."""
        if revision <= self.in_force.revision:
            return False
        self._fetch()
        return True

    def _fetch(self) -> None:
        """Request newer state, unless a request is unanswered.

        Peers report newer revisions many times a second, and each answer may
        be large.
        """
        if self._conn is None or self._watch_pending:
            return
        self._watch_pending = True
        self._conn.send(
            messages.Watch(name=self._name, revision=self.in_force.revision)
        )

    def _notify_changed(self) -> None:
        self.ready.set()
        self._changed()

    async def commit(self, cmd: commands.AnyCommand) -> commands.Result:
        """Commit a command; raises ControlError if its result is unknown."""
        if self._conn is None:
            raise exceptions.ControlError("no control replica is linked")
        self._number += 1
        number = self._number
        fut: asyncio.Future[commands.Result | None]
        fut = self._loop.create_future()
        self._requested[number] = fut
        self._conn.send(messages.CommandRequest(number=number, command=cmd))
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                result = await fut
        except TimeoutError:
            result = None
        finally:
            self._requested.pop(number, None)
        if result is None:
            raise exceptions.ControlError("control gave no answer in time")
        return result
