"""The replicated state machine, which applies the commands of the log."""

from collections import OrderedDict

import msgspec

from rackpost import exceptions
from rackpost.state import claims
from rackpost.state import commands
from rackpost.state import schema
from rackpost.state import tree as tree_mod
from rackpost import types

# Results are kept to answer resent operations, history for operators.
_MAX_RESULTS = 4096
_MAX_HISTORY = 4096


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """The change that made one revision, for watchers and the history.

    A node, event or member holds its new state, or None if it was removed.
    """

    revision: types.Revision
    op: str = ""
    who: str = ""
    at: float = 0.0
    path: str | None = None
    before: tree_mod.Node | None = None
    node: tree_mod.Node | None = None
    event_name: str | None = None
    event_before: commands.Event | None = None
    event: commands.Event | None = None
    member_name: str | None = None
    member: commands.MemberInfo | None = None
    order: str | None = None
    fence: types.Fence = types.Fence(0)
    routing_version: int | None = None


class Routing(msgspec.Struct, frozen=True, kw_only=True):
    """The routing document in force, as the operator sent it."""

    version: int
    source: bytes


class Image(msgspec.Struct, frozen=True, kw_only=True):
    """The full state, for snapshots and new watchers."""

    revision: types.Revision
    fence: types.Fence
    nodes: dict[str, tree_mod.Node]
    events: dict[str, commands.Event]
    event_revisions: dict[str, types.Revision]
    members: dict[str, commands.MemberInfo]
    fences: dict[str, types.Fence]
    results: list[tuple[str, commands.Result]]
    history: list[Change]
    claims: list[tuple[types.ClaimKey, claims.Claim]]
    routing: Routing | None = None
    order_fence: types.Fence = types.Fence(0)


class Machine:
    """Applies commands in the order of the log."""

    def __init__(self) -> None:
        self.revision = types.Revision(0)
        self.fence = types.Fence(0)
        self.tree = tree_mod.Tree()
        self.event_revisions: dict[str, types.Revision] = {}
        self.members: dict[str, commands.MemberInfo] = {}
        self.fences: dict[str, types.Fence] = {}
        self.claims = claims.ClaimTable()
        self.routing: Routing | None = None
        # The newest fence for orders to endpoints; older ones are refused.
        self.order_fence = types.Fence(0)
        self.history: list[Change] = []
        self._results: OrderedDict[str, commands.Result] = OrderedDict()

    # Commands.

    def apply(self, cmd: commands.AnyCommand) -> commands.Result:
        """Apply a command; a resent operation returns its first result."""
        op = getattr(cmd, "op", "")
        if op and op in self._results:
            return self._results[op]
        try:
            result = self._apply(cmd)
        except exceptions.SettingsError as exc:
            result = commands.Rejected(why=str(exc))
        if op:
            self._results[op] = result
            while len(self._results) > _MAX_RESULTS:
                self._results.popitem(last=False)
        return result

    def _apply(self, cmd: commands.AnyCommand) -> commands.Result:
        if isinstance(cmd, commands.ClaimBatch):
            return self._claim(cmd)
        if isinstance(cmd, commands.Write):
            return self._write(cmd)
        if isinstance(cmd, commands.Declare):
            return self._declare(cmd)
        if isinstance(cmd, commands.Withdraw):
            return self._withdraw(cmd)
        if isinstance(cmd, commands.Join):
            return self._join(cmd)
        if isinstance(cmd, commands.Remove):
            return self._remove(cmd)
        if isinstance(cmd, commands.Order):
            return self._order(cmd)
        if isinstance(cmd, commands.SetRouting):
            return self._set_routing(cmd)
        if isinstance(cmd, commands.TakeFence):
            return self._take_fence()
        return commands.Accepted(revision=self.revision)

    def _next_revision(self) -> types.Revision:
        return types.Revision(self.revision + 1)

    def _record(self, change: Change) -> commands.Accepted:
        self.revision = change.revision
        self.history.append(change)
        del self.history[:-_MAX_HISTORY]
        return commands.Accepted(revision=change.revision, fence=change.fence)

    def _write(self, cmd: commands.Write) -> commands.Result:
        check_write(cmd, self.tree)
        old = self.tree.nodes.get(cmd.path)
        current = old.revision if old else types.Revision(0)
        if cmd.based_on != current:
            return self._conflict(current)
        values = dict(old.values) if old else {}
        values.update(cmd.values)
        for key in cmd.unset:
            values.pop(key, None)
        node = tree_mod.Node(revision=self._next_revision(), values=values)
        self.tree.put(cmd.path, node)
        return self._record(
            Change(
                revision=node.revision,
                op=cmd.op,
                who=cmd.who,
                at=cmd.at,
                path=cmd.path,
                before=old,
                node=node,
            )
        )

    def _conflict(self, current: types.Revision) -> commands.Conflict:
        for change in reversed(self.history):
            if change.revision == current:
                changed = change.path
                if changed is None:
                    changed = change.event_name
                theirs = f"{change.who} changed {changed or 'the root'}"
                return commands.Conflict(revision=current, theirs=theirs)
        return commands.Conflict(revision=current, theirs="an older change")

    def _declare(self, cmd: commands.Declare) -> commands.Result:
        tree_mod.check_event(cmd.event, self.tree, cmd.at)
        name = cmd.event.name
        current = self.event_revisions.get(name, types.Revision(0))
        if cmd.based_on != current:
            return self._conflict(current)
        before = self.tree.events.get(name)
        self.tree.events[name] = cmd.event
        self.event_revisions[name] = self._next_revision()
        return self._record(
            Change(
                revision=self._next_revision(),
                op=cmd.op,
                who=cmd.who,
                at=cmd.at,
                event_name=name,
                event_before=before,
                event=cmd.event,
            )
        )

    def _withdraw(self, cmd: commands.Withdraw) -> commands.Result:
        before = self.tree.events.get(cmd.name)
        if before is None:
            raise exceptions.SettingsError(f"no event {cmd.name!r}")
        current = self.event_revisions[cmd.name]
        if cmd.based_on != current:
            return self._conflict(current)
        del self.tree.events[cmd.name]
        del self.event_revisions[cmd.name]
        return self._record(
            Change(
                revision=self._next_revision(),
                op=cmd.op,
                who=cmd.who,
                at=cmd.at,
                event_name=cmd.name,
                event_before=before,
            )
        )

    def _join(self, cmd: commands.Join) -> commands.Result:
        new = cmd.member
        old = self.members.get(new.name)
        if old == new:
            return self._already_joined(new)
        if old is not None and new.incarnation < old.incarnation:
            return commands.Rejected(why="a newer incarnation has joined")
        self.members[new.name] = new
        # A new incarnation of an agent invalidates its older fences.
        self.fence = types.Fence(self.fence + 1)
        self.fences[new.name] = self.fence
        return self._record(
            Change(
                revision=self._next_revision(),
                member_name=new.name,
                member=new,
                fence=self.fence,
            )
        )

    def _already_joined(
        self, member: commands.MemberInfo
    ) -> commands.Accepted:
        return commands.Accepted(
            revision=self.revision, fence=self.fences[member.name]
        )

    def _remove(self, cmd: commands.Remove) -> commands.Result:
        old = self.members.get(cmd.name)
        if old is None or old.incarnation != cmd.incarnation:
            return commands.Accepted(revision=self.revision)
        del self.members[cmd.name]
        self.fences.pop(cmd.name, None)
        return self._record(
            Change(revision=self._next_revision(), member_name=cmd.name)
        )

    def _order(self, cmd: commands.Order) -> commands.Result:
        if cmd.agent not in self.members:
            raise exceptions.SettingsError(f"no agent {cmd.agent!r}")
        self.fence = types.Fence(self.fence + 1)
        self.fences[cmd.agent] = self.fence
        return self._record(
            Change(
                revision=self._next_revision(),
                op=cmd.op,
                who=cmd.who,
                at=cmd.at,
                member_name=cmd.agent,
                member=self.members[cmd.agent],
                order=cmd.what,
                fence=self.fence,
            )
        )

    def _set_routing(self, cmd: commands.SetRouting) -> commands.Result:
        # An older document may arrive late or twice.
        if self.routing is not None and cmd.version <= self.routing.version:
            return commands.Accepted(revision=self.revision)
        self.routing = Routing(version=cmd.version, source=cmd.source)
        return self._record(
            Change(revision=self._next_revision(), routing_version=cmd.version)
        )

    def _take_fence(self) -> commands.Result:
        self.fence = types.Fence(self.fence + 1)
        self.order_fence = self.fence
        return commands.Accepted(revision=self.revision, fence=self.fence)

    def _claim(self, cmd: commands.ClaimBatch) -> commands.Result:
        self.claims.trim(cmd.at)
        for item in cmd.settled:
            self.claims.settle(item, at=cmd.at, keep_s=cmd.keep_s)
        replies = [
            self.claims.claim(one, at=cmd.at, keep_s=cmd.keep_s)
            for one in cmd.claims
        ]
        return commands.ClaimResults(
            states=tuple(state for state, _ in replies),
            holders=tuple(holder for _, holder in replies),
        )

    # Queries.

    def changes_after(self, revision: types.Revision) -> list[Change] | None:
        """Return the changes since `revision`; None if not all are kept."""
        if revision > self.revision:
            return None
        missing = self.revision - revision
        if missing > len(self.history):
            return None
        return self.history[len(self.history) - missing :]

    def image(self) -> Image:
        """Return the full state."""
        return Image(
            revision=self.revision,
            fence=self.fence,
            nodes=dict(self.tree.nodes),
            events=dict(self.tree.events),
            event_revisions=dict(self.event_revisions),
            members=dict(self.members),
            fences=dict(self.fences),
            results=list(self._results.items()),
            history=list(self.history),
            claims=[
                (key, msgspec.structs.replace(claim))
                for key, claim in self.claims.claims.items()
            ],
            routing=self.routing,
            order_fence=self.order_fence,
        )

    def restore(self, image: Image) -> None:
        """Replace the state by an image."""
        self.__init__()  # type: ignore[misc]
        self.revision = image.revision
        self.fence = image.fence
        for path, node in image.nodes.items():
            self.tree.put(path, node)
        self.tree.events.update(image.events)
        self.event_revisions.update(image.event_revisions)
        self.members.update(image.members)
        self.fences.update(image.fences)
        self._results.update(image.results)
        self.history.extend(image.history)
        self.claims.claims.update(image.claims)
        self.routing = image.routing
        self.order_fence = image.order_fence


def check_write(cmd: commands.Write, tree: tree_mod.Tree) -> None:
    """Raise SettingsError if a write is not valid."""
    schema.check_path(cmd.path)
    if len(cmd.values) + len(cmd.unset) > 256:
        raise exceptions.SettingsError("too many keys in one change")
    for key, value in cmd.values.items():
        schema.check_value(key, value)
        if key == "caller_key":
            taken = tree.caller_of(str(value))
            if taken is not None and taken != cmd.path:
                raise exceptions.SettingsError(
                    f"another caller, {taken}, has this key"
                )
    for key in cmd.unset:
        schema.parse_key(key)
