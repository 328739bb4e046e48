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


class _RequestKind(enum.Enum):
    """Whether a request for a chunk was the first or a retry."""

    FIRST = "first"
    RETRY = "again"

    @classmethod
    def of(cls, is_retry: bool) -> "_RequestKind":
        return cls.RETRY if is_retry else cls.FIRST


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

    @property
    def newest(self) -> int | None:
        """The newest version of linked coordinators; None without any."""
        return self._fetch.newest

    def record_version(
        self, conn: channel.Channel, host: str, msg: messages.RoutingVersion
    ) -> None:
        """Record the version that a linked coordinator has."""
        self._hosts[conn] = host
        if msg.has_document:
            self._fetch.record_version(conn, msg.version)
        self._request_next()

    def link_lost(self, conn: channel.Channel) -> None:
        """Record that a link has ended."""
        self._hosts.pop(conn, None)
        self._fetch.remove_peer(conn)
        self._request_next()

    def _request_next(self) -> None:
        """Request the next chunk of a newer document, if one is due."""
        request = self._fetch.next_request(
            held_version=self._site.version, now=self._loop.time()
        )
        if request is not None:
            self._log_request(request)
            request.peer.send(request.msg)
        self._set_timer()

    def _log_request(
        self, request: document_fetch.FetchRequest[channel.Channel]
    ) -> None:
        self._site.metrics.count(
            "document_asks", _RequestKind.of(request.is_retry)
        )
        if request.msg.offset and not request.is_retry:
            # One log line per transfer is enough without retries.
            return
        logs.say(
            logs.Part.GATEWAY,
            "Routing document asked for.",
            version=self._fetch.newest,
            have=request.msg.held_version,
            offset=request.msg.offset,
            peer=self._hosts[request.peer],
            again=request.is_retry,
        )

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._fetch.wake_at is not None:
            self._timer = self._loop.call_at(
                self._fetch.wake_at, self._request_next
            )

    def receive_chunk(
        self, conn: channel.Channel, chunk: messages.RoutingChunk
    ) -> None:
        """Handle a chunk that came over a link."""
        transfer = self._fetch.receive(conn, chunk, self._loop.time())
        if transfer is not None:
            self._apply(chunk, transfer)
        self._request_next()

    def _apply(
        self, chunk: messages.RoutingChunk, transfer: document_fetch.Transfer
    ) -> None:
        before = self._site.version
        try:
            change = changes.decode(transfer.data)
            is_new = self._site.apply_routing(change)
        except exceptions.RoutingError as exc:
            logs.say(
                logs.Part.GATEWAY,
                "Routing document can't be used.",
                version=chunk.version,
                base=chunk.base,
                before=before,
                why=str(exc),
            )
            self._fetch.reject_document(
                held_version=before, now=self._loop.time()
            )
            return
        if is_new:
            logs.say(
                logs.Part.GATEWAY,
                "Routing document in force.",
                version=change.version,
                before=before,
                base=chunk.base,
                routes=change.routes,
                changed=change.size,
                bytes=chunk.size,
                took_s=round(transfer.took_s, 3),
            )

    def close(self) -> None:
        """Send no more requests."""
        if self._timer is not None:
            self._timer.cancel()
