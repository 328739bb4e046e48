"""What operators and endpoints ask of a coordinator over HTTP."""

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
# Callers give a call up after a second; a later answer reaches nobody.
_ANSWER_S = 0.9
# A document of many routes may take longer; callers grant it.
_LONG_BODY = 64 << 10
_LONG_ANSWER_S = 3.0
# The same sender's heartbeat is logged as refused once in this, in seconds.
_REFUSAL_S = 10.0
# A request that is held back; `DELETE` lets it go.
_HELD = b"/quarantine/"
# Bytes of an unknown sender's name that are logged.
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
        """`services` are those of the document in force, if there is one."""
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
        """Answer one call."""
        if req.path == paths.DOCUMENT and req.method == b"PUT":
            await self._put(req, responder)
        elif req.path == paths.DOCUMENT and req.method == b"GET":
            await self._get(responder)
        elif req.path.startswith(_HELD) and req.method == b"DELETE":
            self._release(req.path[len(_HELD) :], responder)
        else:
            self._endpoint(req, responder)

    def _release(self, name: bytes, responder: server.Responder) -> None:
        """An operator lets a request go that was held back."""
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
        """An endpoint says that it lives, or that it ends."""
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
        """Raise CodecError where the document has no such service.

        It would take the address of an endpoint that serves.  One that is
        known already may go on and leave when its service has gone.
        """
        if item.state is endpoints.EndpointState.GONE:
            return
        services = self._services()
        if not services or item.service in services:
            return
        known = self._directory.table.alive.get(item.id)
        if known is None or known.address != item.address:
            raise exceptions.CodecError("heartbeat: a service not known")

    def _note_refused(self, name: str, why: str) -> None:
        """Log it; whoever sends one sends it again every second."""
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
            # Whether it is taken is not known: it may be sent again.
            pass
        if result is None:
            self._tell(doc, 503, "no quorum in time")
            _say(responder, 503, "not confirmed by a quorum in time")
            return
        self._tell(doc, 200, "accepted")
        _say(responder, 200)

    def _holds(self, doc: model.Document) -> bool:
        """Whether this version or a newer one is committed.

        Operators send again what had no clear answer, perhaps at once at
        several nodes; it need not pass through the log again.
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
            # Nobody confirmed it: answered as not confirmed below.
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
