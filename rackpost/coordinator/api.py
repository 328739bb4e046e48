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
_ANSWER_TIMEOUT_S = 0.9
# Clients wait longer for a large document.
_LARGE_BODY_BYTES = 64 << 10
_LARGE_BODY_TIMEOUT_S = 3.0
# Limits how often refused heartbeats of one endpoint are logged.
_REFUSAL_LOG_INTERVAL_S = 10.0
# DELETE of this prefix + fingerprint releases a quarantined request.
_QUARANTINE_PREFIX = b"/quarantine/"
# Longest prefix of an unknown endpoint's id that is logged, in characters.
_MAX_LOGGED_ID_CHARS = 64


class Api:
    """The HTTP interface of one coordinator."""

    def __init__(
        self,
        *,
        node: node_mod.Node,
        directory: directory_mod.Directory,
        metrics: metrics_mod.Metrics,
        send_to_replicas: Callable[[endpoints.Endpoint], None],
        decoder: documents.IncrementalDecoder,
        services: Callable[[], frozenset[types.ServiceName]],
        quarantine: quarantine_keeper.QuarantineKeeper,
    ) -> None:
        """Create the API.

        `services` returns the services of the routing document in force, an
        empty set if there is none.  `send_to_replicas` sends an update to
        the other coordinators.
        """
        self._loop = asyncio.get_running_loop()
        self._services = services
        self._quarantine = quarantine
        self._refusals = logs.SubjectRateLimiter(
            pause_s=_REFUSAL_LOG_INTERVAL_S
        )
        self._node = node
        self._directory = directory
        self._metrics = metrics
        self._send_to_replicas = send_to_replicas
        self._decoder = decoder

    async def handle(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        """Answer one HTTP request."""
        if req.path == paths.DOCUMENT and req.method == b"PUT":
            await self._put_document(req, responder)
        elif req.path == paths.DOCUMENT and req.method == b"GET":
            await self._get_document(responder)
        elif (
            req.path.startswith(_QUARANTINE_PREFIX) and req.method == b"DELETE"
        ):
            self._release(req.path[len(_QUARANTINE_PREFIX) :], responder)
        else:
            self._handle_endpoint(req, responder)

    def _release(self, name: bytes, responder: server.Responder) -> None:
        """Release a quarantined request."""
        request = quarantine_keeper.parse_fingerprint(name.decode("latin-1"))
        if request is None or not self._quarantine.release(request):
            _respond(responder, 404, "not held back")
            return
        logs.say(
            logs.Part.COORDINATOR,
            "Request released.",
            fingerprint=request.hex(),
        )
        _respond(responder, 200)

    def _handle_endpoint(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        name = paths.endpoint_id(req.path)
        if name is None:
            _respond(responder, 404, "no such path")
        elif req.method == b"PUT":
            self._receive_update(name, heartbeats.decode, req, responder)
        elif req.method == b"DELETE":
            self._receive_update(name, heartbeats.gone, req, responder)
        else:
            _respond(responder, 405, "PUT or DELETE only")

    def _receive_update(
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
            item = self._directory.with_incarnation(item)
        except exceptions.CodecError as exc:
            self._log_refused(name, str(exc))
            _respond(responder, 400, str(exc))
            return
        self._apply_update(item)
        _respond(responder, 200)

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

    def _log_refused(self, name: str, why: str) -> None:
        """Log a refused heartbeat, at a limited rate per endpoint."""
        if self._refusals.is_due(name, self._loop.time()):
            logs.say(
                logs.Part.COORDINATOR,
                "Heartbeat refused.",
                endpoint=name[:_MAX_LOGGED_ID_CHARS],
                why=why,
            )

    def _apply_update(self, item: endpoints.Endpoint) -> None:
        if self._directory.update(item):
            self._send_to_replicas(item)

    async def _put_document(
        self, req: message.Request, responder: server.Responder
    ) -> None:
        try:
            doc = self._decoder.decode(req.body)
        except exceptions.RoutingError as exc:
            self._log_answer(None, 400, str(exc))
            _respond(responder, 400, str(exc))
            return
        if self._is_committed(doc):
            self._log_answer(doc, 200, "held already")
            _respond(responder, 200)
            return
        cmd = commands.SetRouting(version=doc.version, source=req.body)
        timeout_s = _ANSWER_TIMEOUT_S
        if len(req.body) > _LARGE_BODY_BYTES:
            timeout_s = _LARGE_BODY_TIMEOUT_S
        result = None
        try:
            async with asyncio.timeout(timeout_s):
                result = await self._node.commit(cmd)
        except TimeoutError:
            # The outcome is unknown; the client may send the document again.
            pass
        except exceptions.TooLargeError as exc:
            self._log_answer(doc, 413, str(exc))
            _respond(responder, 413, str(exc))
            return
        if result is None:
            self._log_answer(doc, 503, "no quorum in time")
            _respond(responder, 503, "not confirmed by a quorum in time")
            return
        self._log_answer(doc, 200, "accepted")
        _respond(responder, 200)

    def _is_committed(self, doc: model.Document) -> bool:
        """Whether this version or a newer one is committed.

        Keeps documents that operators resend, perhaps to several
        coordinators at once, from being replicated again.
        """
        routing = self._node.machine.routing
        return routing is not None and doc.version <= routing.version

    def _log_answer(
        self, doc: model.Document | None, status: int, why: str
    ) -> None:
        logs.say(
            logs.Part.COORDINATOR,
            "Routing document answered.",
            version=doc.version if doc else "unreadable",
            status=status,
            why=why,
            leader=self._node.leader or "none",
            term=self._node.term,
        )

    async def _get_document(self, responder: server.Responder) -> None:
        confirmed = False
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
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
            _respond(responder, 503, "not confirmed by a quorum in time")
            return
        responder.send(200, _JSON, routing.source)


def _respond(responder: server.Responder, status: int, why: str = "") -> None:
    body = b"{}"
    if why:
        text = why.replace("\\", "/").replace('"', "'")
        body = b'{"error":"%b"}' % text.encode("ascii", "replace")
    responder.send(status, _JSON, body)
