"""Keeps a gateway's routing document up to date from the coordinators."""

import asyncio
import enum

from rackpost.coordinator import messages
from rackpost import exceptions
from rackpost.gateway import document_fetch
from rackpost.gateway import site as site_mod
from rackpost.link import channel
from rackpost import logs
from rackpost.routing import changes


class _Asks(enum.Enum):
    """Whether a request for a chunk was the first or a retry."""

    FIRST = "first"
    AGAIN = "again"

    @classmethod
    def of(cls, again: bool) -> "_Asks":
        return cls.AGAIN if again else cls.FIRST


class RoutingUpdates:
    """Requests newer routing documents and applies them.

    The highest version counts, whichever coordinator sent it.
    """

    def __init__(self, *, site: site_mod.Site) -> None:
        self._site = site
        self._loop = asyncio.get_running_loop()
        self._fetch: document_fetch.DocumentFetch[channel.Channel]
        self._fetch = document_fetch.DocumentFetch(rng=site.rng)
        self._timer: asyncio.TimerHandle | None = None
        self._hosts: dict[channel.Channel, str] = {}

    def told(self, conn: channel.Channel, host: str, version: int) -> None:
        """Record the version that a linked coordinator has."""
        self._hosts[conn] = host
        self._fetch.record_version(conn, version)
        self._ask()

    def lost(self, conn: channel.Channel) -> None:
        """Record that a link has ended."""
        self._hosts.pop(conn, None)
        self._fetch.remove_peer(conn)
        self._ask()

    def _ask(self) -> None:
        """Request the next chunk of a newer document, if one is due."""
        ask = self._fetch.next_request(
            have=self._site.version, now=self._loop.time()
        )
        if ask is not None:
            self._say_ask(ask)
            ask.peer.send(ask.msg)
        self._set_timer()

    def _say_ask(
        self, ask: document_fetch.FetchRequest[channel.Channel]
    ) -> None:
        self._site.metrics.count("document_asks", _Asks.of(ask.is_retry))
        if ask.msg.offset and not ask.is_retry:
            # One log line per transfer is enough without retries.
            return
        logs.say(
            logs.Part.GATEWAY,
            "Routing document asked for.",
            version=self._fetch.newest,
            have=ask.msg.held_version,
            offset=ask.msg.offset,
            peer=self._hosts[ask.peer],
            again=ask.is_retry,
        )

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._fetch.wake_at is not None:
            self._timer = self._loop.call_at(self._fetch.wake_at, self._ask)

    def take(self, conn: channel.Channel, part: messages.RoutingChunk) -> None:
        """Handle a chunk that came over a link."""
        arrived = self._fetch.receive(conn, part, self._loop.time())
        if arrived is not None:
            self._on_change(part, arrived)
        self._ask()

    def _on_change(
        self, part: messages.RoutingChunk, arrived: document_fetch.Transfer
    ) -> None:
        before = self._site.version
        try:
            change = changes.decode(arrived.data)
            is_new = self._site.apply_routing(change)
        except exceptions.RoutingError as exc:
            logs.say(
                logs.Part.GATEWAY,
                "Routing document can't be used.",
                version=part.version,
                base=part.base,
                before=before,
                why=str(exc),
            )
            self._fetch.reject_document(have=before, now=self._loop.time())
            return
        if is_new:
            logs.say(
                logs.Part.GATEWAY,
                "Routing document in force.",
                version=change.version,
                before=before,
                base=part.base,
                routes=change.routes,
                changed=change.size,
                bytes=part.size,
                took_s=round(arrived.took_s, 3),
            )

    def close(self) -> None:
        """Send no more requests."""
        if self._timer is not None:
            self._timer.cancel()
