"""The settings tree, whose nodes inherit from their parents."""

from typing import Iterable
from typing import Iterator
from typing import NamedTuple

import msgspec

from rackpost import exceptions
from rackpost.state import commands
from rackpost.state import schema
from rackpost.state import terms
from rackpost import types


class Node(msgspec.Struct, frozen=True, kw_only=True):
    """The settings of one node; it inherits all others."""

    revision: types.Revision
    values: dict[str, schema.Value]


class Source(NamedTuple):
    """An effective value, with the node and key that set it.

    `node` is None for a default; `event` names the event that set the value.
    """

    value: schema.Value
    node: str | None
    key: str
    event: str = ""


def ancestors(path: str) -> Iterator[str]:
    """Yield the paths of the nodes from the root to `path`."""
    yield ""
    if path:
        words = path.split("/")
        for count in range(1, len(words) + 1):
            yield "/".join(words[:count])


class Tree:
    """The nodes and declared events; times are seconds since the epoch."""

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}
        self.events: dict[str, commands.Event] = {}
        self._by_key: dict[str, str] = {}

    def put(self, path: str, node: Node) -> None:
        """Set a node; an empty one is kept for its revision."""
        old = self.nodes.get(path)
        if old is not None and "caller_key" in old.values:
            self._by_key.pop(str(old.values["caller_key"]), None)
        self.nodes[path] = node
        if "caller_key" in node.values:
            self._by_key[str(node.values["caller_key"])] = path

    def caller_of(self, key_hash: str) -> types.CallerId | None:
        """Return the caller whose bearer key has this SHA-256, in hex."""
        path = self._by_key.get(key_hash)
        return None if path is None else types.CallerId(path)

    def source(
        self, path: str, service: str, kind: str, name: str, now: float
    ) -> Source:
        """Return the effective value of a setting and its source.

        The node nearest to `path` has precedence.  At one node, an event in
        force precedes the node's values, and a more specific key a general
        one.
        """
        keys = (f"{service}/{kind}.{name}", f"{service}.{name}", name)
        if not schema.SETTINGS[name].inherited:
            return self._own_value(path, name)
        for node in reversed(list(ancestors(path))):
            for event in self._events_in_force(node, now):
                for key in keys:
                    if key in event.values:
                        value = event.values[key]
                        return Source(value, node, key, event.name)
            own = self.nodes.get(node)
            if own is None:
                continue
            for key in keys:
                if key in own.values:
                    return Source(own.values[key], node, key)
        return Source(schema.SETTINGS[name].default, None, name)

    def _own_value(self, path: str, name: str) -> Source:
        node = self.nodes.get(path)
        if node is not None and name in node.values:
            return Source(node.values[name], path, name)
        return Source(schema.SETTINGS[name].default, None, name)

    def _events_in_force(
        self, node: str, now: float
    ) -> Iterable[commands.Event]:
        for event in self.events.values():
            if event.path == node:
                if event.start <= now < event.start + event.length_s:
                    yield event

    def value(
        self, path: str, service: str, kind: str, name: str, now: float
    ) -> schema.Value:
        """Return the effective value of a setting."""
        return self.source(path, service, kind, name, now).value

    def terms(
        self, path: str, service: str, kind: str, now: float
    ) -> terms.Terms:
        """Return the service level and limits of a kind of request."""

        def get(name: str) -> schema.Value:
            return self.value(path, service, kind, name, now)

        return terms.Terms(
            ttft_s=float(get("ttft_s")),
            tbt_s=float(get("tbt_s")),
            weight=float(get("weight")),
            repeat=types.RepeatClass(get("repeat")),
            max_open=int(get("max_open")),
            whole_s=float(get("whole_s")),
            retry_share=float(get("retry_share")),
        )

    def services(self) -> set[str]:
        """Return the services with a setting at some node."""
        found = set()
        for node in self.nodes.values():
            for key in node.values:
                found.add(schema.parse_key(key).service)
        return found - {""}

    def kinds(self, service: str) -> set[str]:
        """Return the kinds of a service with a setting at some node."""
        found = set()
        for node in self.nodes.values():
            for key in node.values:
                scope = schema.parse_key(key)
                if scope.service == service:
                    found.add(scope.kind)
        return found - {""}


def check_event(event: commands.Event, tree: Tree, at: float) -> None:
    """Raise SettingsError if an event is not valid."""
    if not event.name or len(event.name) > 128:
        raise exceptions.SettingsError("an event needs a short name")
    schema.check_path(event.path)
    if event.start + event.length_s <= at:
        raise exceptions.SettingsError("the event would be over already")
    if not 1.0 <= event.length_s <= 7 * 86_400:
        raise exceptions.SettingsError("length must be 1 s to 7 days")
    if not 0.0 <= event.rate <= 1e6:
        raise exceptions.SettingsError("rate must be 0 to a million a second")
    known = tree.services()
    for service in event.services:
        if service not in known:
            raise exceptions.SettingsError(
                f"no service {service!r}; known: {', '.join(sorted(known))}"
            )
    kinds = set().union(*(tree.kinds(name) for name in event.services))
    for kind in event.kinds:
        if kind not in kinds:
            raise exceptions.SettingsError(
                f"no kind {kind!r}; known: {', '.join(sorted(kinds))}"
            )
    for key, value in event.values.items():
        schema.check_value(key, value)
    _check_overlap(event, tree)


def _check_overlap(event: commands.Event, tree: Tree) -> None:
    for other in tree.events.values():
        if other.name == event.name or other.path != event.path:
            continue
        is_disjoint = (
            other.start + other.length_s <= event.start
            or event.start + event.length_s <= other.start
        )
        common = set(other.values) & set(event.values)
        if not is_disjoint and common:
            raise exceptions.SettingsError(
                f"overlaps {other.name!r} in {', '.join(sorted(common))}"
            )
