"""The HTTP API of a coordinator, for operators and endpoints."""

import asyncio
from typing import Callable

from rackpost.control import node as node_mod
from rackpost.coordinator import directory as directory_mod
from rackpost.coordinator import quarantine_keeper
from rackpost import exceptions
from rackpost.http1 import message
from rackpost.http1 import server
from rackpost import logs
from rackpost import metrics as metrics_mod
from rackpost.platform import documents
from rackpost.platform import heartbeats
from rackpost.platform import paths
from rackpost.routing import endpoints
from rackpost.routing import model
from rackpost.state import commands
from rackpost import types

_JSON = [(b"content-type", b"application/json")]
# Clients time out after one second.
_ANSWER_S = 0.9
# Clients wait longer for a large document.
_LONG_BODY = 64 << 10
_LONG_ANSWER_S = 3.0
# Limits how often refused heartbeats of one endpoint are logged.
_REFUSAL_S = 10.0
# DELETE of this prefix + fingerprint releases a quarantined request.
_HELD = b"/quarantine/"
# Longest prefix of an unknown endpoint's id that is logged, in characters.
_MAX_NAME = 64


class Api:
    """The HTTP interface of one coordinator."""

    def __init__(
        self,
        *,
        node: node_mod.Node,
        directory: directory_mod.Directory,
        metrics: metrics_mod.Metrics,
        spread: Callable[[endpoints.Endpoint], None],
        reader: documents.IncrementalDecoder,
        services: Callable[[], frozenset[types.ServiceName]],
        quarantine: quarantine_keeper.QuarantineKeeper,
    ) -> None:
        """Create the API.

        `services` returns the services of the routing document in force, an
        empty set if there is none.  `spread` sends an endpoint's update to
        the other coordinators.
        """
        self._loop = asyncio.get_running_loop()
        self._services = services
        self._quarantine = quarantine
        self._refusals = logs.Pauses(pause_s=_REFUSAL_S)
        self._node = node
        self._directory = directory
        self._metrics = metrics
        self._spread = spread
        self._reader = reader

    async def handle(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        """Answer one HTTP request."""
        if req.path == paths.DOCUMENT and req.method == b"PUT":
            await self._put(req, responder)
        elif req.path == paths.DOCUMENT and req.method == b"GET":
            await self._get(responder)
        elif req.path.startswith(_HELD) and req.method == b"DELETE":
            self._release(req.path[len(_HELD) :], responder)
        else:
            self._endpoint(req, responder)

    def _release(self, name: bytes, responder: server.Responder) -> None:
        """Release a quarantined request."""
        request = quarantine_keeper.of_hex(name.decode("latin-1"))
        if request is None or not self._quarantine.release(request):
            _say(responder, 404, "not held back")
            return
        logs.say(
            logs.Part.COORDINATOR,
            "Request released.",
            fingerprint=request.hex(),
        )
        _say(responder, 200)

    def _endpoint(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        name = paths.endpoint_id(req.path)
        if name is None:
            _say(responder, 404, "no such path")
        elif req.method == b"PUT":
            self._hear(name, heartbeats.decode, req, responder)
        elif req.method == b"DELETE":
            self._hear(name, heartbeats.gone, req, responder)
        else:
            _say(responder, 405, "PUT or DELETE only")

    def _hear(
        self,
        name: str,
        decode: Callable[[str, bytes], endpoints.Endpoint],
        req: message.Request,
        responder: server.Responder,
    ) -> None:
        """Process a heartbeat, or the notice that an endpoint ends."""
        try:
            item = decode(name, req.body)
            self._check_service(item)
        except exceptions.CodecError as exc:
            self._note_refused(name, str(exc))
            _say(responder, 400, str(exc))
            return
        self._take(item)
        _say(responder, 200)

    def _check_service(self, item: endpoints.Endpoint) -> None:
        """Raise CodecError if the routing document lacks the service.

        Such an endpoint could take over the address of one in service.  A
        known endpoint whose service was removed may still send heartbeats.
        """
        if item.state is endpoints.EndpointState.GONE:
            return
        services = self._services()
        if not services or item.service in services:
            return
        known = self._directory.table.alive.get(item.id)
        if known is None or known.address != item.address:
            raise exceptions.CodecError("heartbeat: unknown service")

    def _note_refused(self, name: str, why: str) -> None:
        """Log a refused heartbeat, at a limited rate per endpoint."""
        if self._refusals.is_due(name, self._loop.time()):
            logs.say(
                logs.Part.COORDINATOR,
                "Heartbeat refused.",
                endpoint=name[:_MAX_NAME],
                why=why,
            )

    def _take(self, said: endpoints.Endpoint) -> None:
        item = self._directory.with_incarnation(said)
        if self._directory.update(item):
            self._spread(item)

    async def _put(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        try:
            doc = self._reader.decode(req.body)
        except exceptions.RoutingError as exc:
            self._tell(None, 400, str(exc))
            _say(responder, 400, str(exc))
            return
        if self._holds(doc):
            self._tell(doc, 200, "held already")
            _say(responder, 200)
            return
        cmd = commands.SetRouting(version=doc.version, source=req.body)
        patience = _ANSWER_S
        if len(req.body) > _LONG_BODY:
            patience = _LONG_ANSWER_S
        result = None
        try:
            async with asyncio.timeout(patience):
                result = await self._node.commit(cmd)
        except TimeoutError:
            # The outcome is unknown; the client may send the document again.
            pass
        if result is None:
            self._tell(doc, 503, "no quorum in time")
            _say(responder, 503, "not confirmed by a quorum in time")
            return
        self._tell(doc, 200, "accepted")
        _say(responder, 200)

    def _holds(self, doc: model.Document) -> bool:
        """Whether this version or a newer one is committed.

        Keeps documents that operators resend, perhaps to several
        coordinators at once, from being replicated again.
        """
        routing = self._node.machine.routing
        return routing is not None and doc.version <= routing.version

    def _tell(self, doc: model.Document | None, status: int, why: str) -> None:
        logs.say(
            logs.Part.COORDINATOR,
            "Routing document answered.",
            version=doc.version if doc else "unreadable",
            status=status,
            why=why,
            leader=self._node.leader or "none",
            term=self._node.term,
        )

    async def _get(self, responder: server.Responder) -> None:
        confirmed = False
        try:
            async with asyncio.timeout(_ANSWER_S):
                confirmed = await self._node.confirm_read()
        except TimeoutError:
            # Answered as not confirmed below.
            pass
        routing = self._node.machine.routing
        if not confirmed or routing is None:
            self._metrics.count("refused_read", types.Refusal.CONTROL_AWAY)
            logs.say(
                logs.Part.COORDINATOR,
                "Read refused.",
                confirmed=confirmed,
                version=routing.version if routing else 0,
            )
            _say(responder, 503, "not confirmed by a quorum in time")
            return
        responder.whole(200, _JSON, routing.source)


def _say(responder: server.Responder, status: int, why: str = "") -> None:
    body = b"{}"
    if why:
        text = why.replace("\\", "/").replace('"', "'")
        body = b'{"error":"%b"}' % text.encode("ascii", "replace")
    responder.whole(status, _JSON, body)
