"""The status page of a coordinator, as operators' tools read it.

It shows the coordinator's local state without a quorum read, so that a
partitioned replica shows what it last knew.
"""

import msgspec

from rackpost.control import node as node_mod
from rackpost.coordinator import directory as directory_mod
from rackpost.decide import quarantine as quarantine_mod
from rackpost.decide import quota_use
from rackpost.decide.waiting import waiting_use
from rackpost import exceptions
from rackpost import logs
from rackpost.platform import documents
from rackpost.routing import endpoints
from rackpost.routing import model
from rackpost import types

# Gateways listed for each organisation, and for each waiting group.
_MAX_GATEWAYS = 3


class EndpointLine(msgspec.Struct, frozen=True, kw_only=True):
    """One endpoint.

    Attributes:
        silent_s: time since its last heartbeat, in seconds.
        changing: it is changing its role.
    """

    id: types.EndpointId
    service: types.ServiceName
    role: types.Role
    state: endpoints.EndpointState
    data_centre: types.DataCentre
    address: str
    slots: int
    silent_s: float
    changing: bool


class RouteLine(msgspec.Struct, frozen=True, kw_only=True):
    """One route; times are in seconds."""

    name: str
    host: str
    prefix: str
    kind: model.RouteKind
    targets: tuple[model.Target, ...]
    timeout_s: float
    target_s: float
    priority: int
    max_attempts: int


class QuotaLine(msgspec.Struct, frozen=True, kw_only=True):
    """An organisation's limit, and its use within the window.

    Attributes:
        rate_per_s: units a second; 0 is no limit.
        gateways: those with the largest use, each with its units.
    """

    organisation: types.OrganisationName
    rate_per_s: float
    burst: float
    units: int
    refused: int
    gateways: tuple[tuple[types.VmId, int], ...]


class WaitingLine(msgspec.Struct, frozen=True, kw_only=True):
    """Generations of one kind and organisation that wait for capacity.

    Attributes:
        late: how many of them can't be in time any more.
        oldest_s: how long the first of them has waited, in seconds.
        gateways: those where most wait, each with their number.
    """

    kind: str
    organisation: types.OrganisationName
    priority: int
    waiting: int
    late: int
    oldest_s: float
    gateways: tuple[tuple[types.VmId, int], ...]


class QuarantineLine(msgspec.Struct, frozen=True, kw_only=True):
    """A subject that stays quarantined for another `left_s` seconds.

    `endpoints` are those that ended under it; `part` is the number of the
    part in its prompt, None for a whole request.  Only requests that have all
    parts of `together_with` too are held back.
    """

    fingerprint: str
    endpoints: tuple[types.EndpointId, ...]
    left_s: float
    part: int | None = None
    together_with: tuple[str, ...] = ()


class Overview(msgspec.Struct, frozen=True, kw_only=True):
    """The site as one coordinator knows it.

    Attributes:
        version: version of the routing document that it holds, if any.
        hears_quorum: it leads, or was lately in contact with the leader.
        held: quarantined requests and parts of prompts.
        waiting: generations that wait for capacity.
    """

    vm: types.VmId
    replica: str
    leader: str
    term: int
    hears_quorum: bool
    voters: tuple[str, ...]
    learners: tuple[str, ...]
    version: int | None
    gateways: tuple[types.VmId, ...]
    routes: tuple[RouteLine, ...]
    endpoints: tuple[EndpointLine, ...]
    quotas: tuple[QuotaLine, ...] = ()
    held: tuple[QuarantineLine, ...] = ()
    waiting: tuple[WaitingLine, ...] = ()


def overview(
    *,
    vm: types.VmId,
    node: node_mod.Node,
    directory: directory_mod.Directory,
    changing: tuple[types.EndpointId, ...],
    quarantine: quarantine_mod.Quarantine,
    now: float,
) -> Overview:
    """Return the overview at `now`, a time of the event loop's clock."""
    routing = node.machine.routing
    doc = None if routing is None else _decode(routing.source)
    return Overview(
        vm=vm,
        replica=node.me,
        leader=node.leader or "",
        term=node.term,
        hears_quorum=node.is_leader or node.in_quorum_contact(),
        voters=tuple(node.config.voters),
        learners=tuple(node.config.learners),
        version=None if routing is None else routing.version,
        gateways=tuple(
            sorted({item.vm for item in directory.gateways.values()})
        ),
        routes=() if doc is None else _routes(doc),
        endpoints=_endpoints(directory.table, changing, now),
        quotas=() if doc is None else _quotas(doc, directory),
        held=tuple(
            _quarantine_line(item) for item in quarantine.quarantined(now)
        ),
        waiting=_waiting(directory),
    )


def _decode(source: bytes) -> model.Document | None:
    try:
        return documents.decode(source)
    except exceptions.RoutingError as exc:
        # Accepted by a newer release; its version is still shown.
        logs.say(
            logs.Part.COORDINATOR,
            "Document can't be read for the overview.",
            why=str(exc),
        )
        return None


def _quotas(
    doc: model.Document, directory: directory_mod.Directory
) -> tuple[QuotaLine, ...]:
    """Return the organisations that used quota, largest use first."""
    limits = {item.name: item.quota for item in doc.organisations}
    uses = [item for items in directory.quotas.values() for item in items]
    return tuple(
        _quota_line(use, limits.get(use.organisation), directory)
        for use in quota_use.largest(uses)
    )


def _waiting(directory: directory_mod.Directory) -> tuple[WaitingLine, ...]:
    """Return the generations that wait, the largest groups first."""
    groups = [item for items in directory.waiting.values() for item in items]
    return tuple(
        WaitingLine(
            kind=item.kind,
            organisation=item.organisation,
            priority=item.priority,
            waiting=item.waiting,
            late=item.late,
            oldest_s=item.oldest_s,
            gateways=_most_waiting(item, directory),
        )
        for item in waiting_use.largest(groups)
    )


def _most_waiting(
    group: waiting_use.WaitingGroup, directory: directory_mod.Directory
) -> tuple[tuple[types.VmId, int], ...]:
    by_gateway = [
        (vm, item.waiting)
        for vm, items in directory.waiting.items()
        for item in items
        if item[:3] == group[:3]
    ]
    by_gateway.sort(key=lambda pair: -pair[1])
    return tuple(by_gateway[:_MAX_GATEWAYS])


def _quota_line(
    use: quota_use.QuotaUse,
    limit: model.Quota | None,
    directory: directory_mod.Directory,
) -> QuotaLine:
    by_gateway = [
        (vm, item.units)
        for vm, items in directory.quotas.items()
        for item in items
        if item.organisation == use.organisation
    ]
    by_gateway.sort(key=lambda pair: -pair[1])
    return QuotaLine(
        organisation=use.organisation,
        rate_per_s=0.0 if limit is None else limit.rate_per_s,
        burst=0.0 if limit is None else limit.burst,
        units=use.units,
        refused=use.refused,
        gateways=tuple(by_gateway[:_MAX_GATEWAYS]),
    )


def _quarantine_line(
    item: quarantine_mod.QuarantinedSubject,
) -> QuarantineLine:
    return QuarantineLine(
        fingerprint=item.subject.hex(),
        endpoints=tuple(incarnation.id for incarnation in item.incarnations),
        left_s=round(item.remaining_s),
        part=None if item.place is None else item.place + 1,
        together_with=tuple(sorted(one.hex() for one in item.companions)),
    )


def _routes(doc: model.Document) -> tuple[RouteLine, ...]:
    return tuple(
        RouteLine(
            name=item.name,
            host=item.host,
            prefix=item.prefix,
            kind=item.kind,
            targets=item.targets,
            timeout_s=item.timeout_s,
            target_s=item.target_s,
            priority=item.priority,
            max_attempts=item.max_attempts,
        )
        for item in doc.routes
    )


def _endpoints(
    table: endpoints.EndpointTable,
    changing: tuple[types.EndpointId, ...],
    now: float,
) -> tuple[EndpointLine, ...]:
    found = sorted(
        table.alive.values(), key=lambda item: (item.service, item.id)
    )
    return tuple(
        EndpointLine(
            id=item.id,
            service=item.service,
            role=item.role,
            state=item.state,
            data_centre=item.data_centre,
            address=item.address,
            slots=item.slots,
            silent_s=round(now - table.last_heartbeat_at.get(item.id, now), 2),
            changing=item.id in changing,
        )
        for item in found
    )
