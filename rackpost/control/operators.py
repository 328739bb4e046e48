"""The HTTP interface of a control replica for operators."""

import hmac
import time
from typing import Any
from typing import Awaitable
from typing import Callable

import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from rackpost.consensus import messages as consensus
from rackpost.control import node as node_mod
from rackpost import exceptions
from rackpost import metrics as metrics_mod
from rackpost.state import commands
from rackpost.state import machine as machine_mod
from rackpost.state import schema
from rackpost.state import tree as tree_mod
from rackpost import types

_MAX_BODY = 1 << 20


class WriteBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The body of a request to change one node."""

    op: str
    who: str
    path: str
    based_on: int
    values: dict[str, schema.Value] = {}
    unset: list[str] = []
    dry_run: bool = False


class EventBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The body of a request to declare an event."""

    op: str
    who: str
    based_on: int
    event: commands.Event


class WithdrawBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The body of a request to withdraw an event."""

    op: str
    who: str
    based_on: int
    name: str


class OrderBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The body of a request to give an agent an order."""

    op: str
    who: str
    agent: str
    what: str


class ReplicasBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The body of a request to change the voters and learners."""

    voters: list[str]
    learners: list[str] = []


class MemberView(msgspec.Struct, kw_only=True):
    """A member and the revision that it runs on."""

    member: commands.MemberInfo
    fence: int
    revision: int | None
    silent_s: float | None


class StatusView(msgspec.Struct, kw_only=True):
    """The state of the site as seen by one replica."""

    replica: str
    leader: str | None
    term: int
    revision: int
    voters: list[str]
    learners: list[str]
    claims: int
    members: list[MemberView]


class SourceView(msgspec.Struct, kw_only=True):
    """An effective value and its source."""

    name: str
    value: schema.Value
    unit: str
    node: str | None
    key: str
    event: str


class NodeView(msgspec.Struct, kw_only=True):
    """The values of one node and the effective ones there."""

    path: str
    revision: int
    values: dict[str, schema.Value]
    effective: list[SourceView]


class EventView(msgspec.Struct, kw_only=True):
    """A declared event and its revision."""

    revision: int
    event: commands.Event


Handler = Callable[[requests.Request], Awaitable[responses.Response]]


def _json(value: Any, status: int = 200) -> responses.Response:
    return responses.Response(
        msgspec.json.encode(value), status, media_type="application/json"
    )


def _error(reason: str, detail: str, status: int) -> responses.Response:
    body = {"type": f"urn:rackpost:{reason}", "detail": detail}
    return responses.Response(
        msgspec.json.encode({**body, "status": status}),
        status,
        media_type="application/problem+json",
    )


class OperatorApp:
    """The routes for operators; those under `/v1/` need the bearer key."""

    def __init__(
        self,
        *,
        node: node_mod.Node,
        metrics: metrics_mod.Metrics,
        key: str,
        now: Callable[[], float] = time.time,
    ) -> None:
        self._node = node
        self._metrics = metrics
        self._key = key
        self._now = now
        self.app = applications.Starlette(
            routes=[
                self._route("/v1/settings", self._show),
                self._route("/v1/settings", self._write, "POST"),
                self._route("/v1/history", self._history),
                self._route("/v1/events", self._events),
                self._route("/v1/events", self._declare, "POST"),
                self._route("/v1/events/withdraw", self._withdraw, "POST"),
                self._route("/v1/orders", self._order, "POST"),
                self._route("/v1/replicas", self._replicas, "POST"),
                self._route("/v1/status", self._status),
                routing.Route("/metrics", self._metrics_page),
                routing.Route("/healthz", self._healthz),
                routing.Route("/readyz", self._readyz),
            ]
        )

    def _route(
        self, path: str, handler: Handler, method: str = "GET"
    ) -> routing.Route:
        async def guarded(req: requests.Request) -> responses.Response:
            header = req.headers.get("authorization", "")
            if not hmac.compare_digest(
                header.encode(), f"Bearer {self._key}".encode()
            ):
                self._metrics.count(
                    "refused_peer", types.Refusal.NOT_OF_THE_SITE
                )
                return _error("bad-key", "the operators' key is needed", 401)
            try:
                return await handler(req)
            except exceptions.DECODE_ERRORS as exc:
                return _error("bad-request", str(exc), 400)
            except exceptions.SettingsError as exc:
                return _error("not-valid", str(exc), 422)
            except exceptions.ControlError as exc:
                return _error("control", str(exc), 503)

        return routing.Route(path, guarded, methods=[method])

    # Reads, all confirmed by a quorum.

    async def _confirm(self) -> None:
        if not await self._node.confirm_read():
            raise exceptions.ControlError(
                "no quorum confirms a read; try again or another replica"
            )

    async def _show(self, req: requests.Request) -> responses.Response:
        await self._confirm()
        path = req.query_params.get("path", "")
        schema.check_path(path)
        service = req.query_params.get("service", "")
        kind = req.query_params.get("kind", "")
        tree = self._node.machine.tree
        node = tree.nodes.get(path)
        now = self._now()
        effective = []
        for name, spec in schema.SETTINGS.items():
            found = tree.source(path, service, kind, name, now)
            effective.append(
                SourceView(
                    name=name,
                    value=found.value,
                    unit=spec.unit,
                    node=found.node,
                    key=found.key,
                    event=found.event,
                )
            )
        return _json(
            NodeView(
                path=path,
                revision=node.revision if node else 0,
                values=node.values if node else {},
                effective=effective,
            )
        )

    async def _history(self, req: requests.Request) -> responses.Response:
        await self._confirm()
        found = self._node.machine.history
        path = req.query_params.get("path")
        if path is not None:
            found = [item for item in found if item.path == path]
        return _json(found[-200:])

    async def _events(self, _: requests.Request) -> responses.Response:
        await self._confirm()
        machine = self._node.machine
        return _json(
            [
                EventView(revision=machine.event_revisions[name], event=event)
                for name, event in sorted(machine.tree.events.items())
            ]
        )

    async def _status(self, _: requests.Request) -> responses.Response:
        node = self._node
        now = node._loop.time()
        members = []
        for name, member in sorted(node.machine.members.items()):
            seen = node.last_statuses.get(name)
            members.append(
                MemberView(
                    member=member,
                    fence=node.machine.fences.get(name, 0),
                    revision=seen[0].revision if seen else None,
                    silent_s=round(now - seen[1], 1) if seen else None,
                )
            )
        return _json(
            StatusView(
                replica=node.me,
                leader=node.leader,
                term=node.term,
                revision=node.machine.revision,
                voters=list(node.config.voters),
                learners=list(node.config.learners),
                claims=len(node.machine.claims.claims),
                members=members,
            )
        )

    # Changes.

    async def _write(self, req: requests.Request) -> responses.Response:
        body = await _read(req, WriteBody)
        cmd = commands.Write(
            op=types.OperationId(body.op),
            who=body.who,
            at=self._now(),
            path=body.path,
            based_on=types.Revision(body.based_on),
            values=body.values,
            unset=tuple(body.unset),
        )
        if body.dry_run:
            return await self._dry_run(cmd)
        return await self._commit(cmd)

    async def _dry_run(self, cmd: commands.Write) -> responses.Response:
        await self._confirm()
        tree = self._node.machine.tree
        machine_mod.check_write(cmd, tree)
        node = tree.nodes.get(cmd.path) or tree_mod.Node(
            revision=types.Revision(0), values={}
        )
        changed = {
            key: [node.values.get(key), value]
            for key, value in cmd.values.items()
            if node.values.get(key) != value
        }
        for key in cmd.unset:
            if key in node.values:
                changed[key] = [node.values[key], None]
        return _json({"revision": node.revision, "changes": changed})

    async def _declare(self, req: requests.Request) -> responses.Response:
        body = await _read(req, EventBody)
        return await self._commit(
            commands.Declare(
                op=types.OperationId(body.op),
                who=body.who,
                at=self._now(),
                based_on=types.Revision(body.based_on),
                event=body.event,
            )
        )

    async def _withdraw(self, req: requests.Request) -> responses.Response:
        body = await _read(req, WithdrawBody)
        return await self._commit(
            commands.Withdraw(
                op=types.OperationId(body.op),
                who=body.who,
                at=self._now(),
                based_on=types.Revision(body.based_on),
                name=body.name,
            )
        )

    async def _order(self, req: requests.Request) -> responses.Response:
        body = await _read(req, OrderBody)
        return await self._commit(
            commands.Order(
                op=types.OperationId(body.op),
                who=body.who,
                at=self._now(),
                agent=types.AgentId(body.agent),
                what=body.what,
            )
        )

    async def _replicas(self, req: requests.Request) -> responses.Response:
        body = await _read(req, ReplicasBody)
        new = consensus.Config(
            voters=tuple(consensus.ReplicaId(item) for item in body.voters),
            learners=tuple(
                consensus.ReplicaId(item) for item in body.learners
            ),
        )
        self._node.change_config(new)
        return _json({"accepted": True})

    async def _commit(self, cmd: commands.AnyCommand) -> responses.Response:
        result = await self._node.commit(cmd)
        if result is None:
            raise exceptions.ControlError(
                "unknown whether it was accepted; "
                "send the same operation again"
            )
        if isinstance(result, commands.Conflict):
            return _json(result, 409)
        if isinstance(result, commands.Rejected):
            return _error("not-valid", result.why, 422)
        return _json(result)

    # Pages.

    async def _metrics_page(self, _: requests.Request) -> responses.Response:
        node = self._node
        self._metrics.gauge("term", node.term)
        self._metrics.gauge("revision", node.machine.revision)
        self._metrics.gauge("leader", 1.0 if node.is_leader else 0.0)
        self._metrics.gauge("claims", len(node.machine.claims.claims))
        return responses.PlainTextResponse(self._metrics.text())

    async def _healthz(self, _: requests.Request) -> responses.Response:
        return responses.PlainTextResponse("ok\n")

    async def _readyz(self, _: requests.Request) -> responses.Response:
        if self._node.in_quorum_contact():
            return responses.PlainTextResponse("ready\n")
        return responses.PlainTextResponse("no quorum\n", 503)


async def _read(req: requests.Request, kind: type) -> Any:
    body = bytearray()
    async for part in req.stream():
        body += part
        if len(body) > _MAX_BODY:
            raise exceptions.SettingsError(f"over {_MAX_BODY} bytes")
    return msgspec.json.decode(bytes(body), type=kind)
