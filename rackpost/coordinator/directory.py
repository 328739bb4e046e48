"""A coordinator's soft state about endpoints and gateways.

Heartbeats rebuild it after a restart; none of it goes through the log.
Updates are forwarded to all linked gateways.
"""

import asyncio
import random

import msgspec

from rackpost.coordinator import messages
from rackpost.decide import quota_use
from rackpost.decide.waiting import waiting_use
from rackpost import exceptions
from rackpost.link import channel
from rackpost import logs
from rackpost.routing import digests
from rackpost.routing import endpoints
from rackpost import types

# Missed heartbeats after which a coordinator forgets an endpoint.
_FORGET_AFTER_HEARTBEATS = 12
# Missed heartbeats after which gateways are queried about an endpoint.
_QUERY_AFTER_HEARTBEATS = 3
# Gateways queried in each round; bounds the traffic of large sites.  Reports
# of all gateways to all coordinators each second were 1.2 MB a second at 95
# gateways and 1,002 endpoints.
_QUERIED_GATEWAYS = 3
# Endpoints in one query.
_MAX_QUERIED_ENDPOINTS = 500


class Directory:
    """The endpoints known by heartbeats, and the linked gateways."""

    def __init__(self, *, heartbeat_s: float, rng: random.Random) -> None:
        self._loop = asyncio.get_running_loop()
        self._rng = rng
        self._query_after_s = heartbeat_s * _QUERY_AFTER_HEARTBEATS
        self._forget_after_s = heartbeat_s * _FORGET_AFTER_HEARTBEATS
        self.table = endpoints.EndpointTable()
        self._heartbeats: set[types.EndpointId] = set()
        self.gateways: dict[channel.Channel, messages.GatewayHello] = {}
        # Recent quota use of organisations, by gateway.
        self.quotas: dict[types.VmId, tuple[quota_use.QuotaUse, ...]] = {}
        # Generations that wait for capacity, by gateway.
        self.waiting: dict[
            types.VmId, tuple[waiting_use.WaitingGroup, ...]
        ] = {}

    def update(self, item: endpoints.Endpoint) -> bool:
        """Apply an endpoint's update and forward it to gateways.

        Returns whether it changed the table; other updates only count as a
        heartbeat.
        """
        changed = self.table.update(item, self._loop.time())
        self._heartbeats.add(item.id)
        if changed:
            logs.say(
                logs.Part.COORDINATOR,
                "Endpoint changed.",
                endpoint=item.id,
                state=item.state.value,
                service=item.service,
                role=item.role.value,
                address=item.address,
                sequence=item.sequence,
                born=item.born,
                software=item.software,
            )
            self.send_to_gateways(update_for(item))
        return changed

    def send_to_gateways(self, msg: msgspec.Struct) -> None:
        """Send a message to all linked gateways."""
        for conn in list(self.gateways):
            conn.send(msg)

    def take_heartbeats(self) -> messages.HeartbeatNotice | None:
        """Return and clear the heartbeats received since the last call.

        None if there were none.
        """
        if not self._heartbeats:
            return None
        msg = messages.HeartbeatNotice(digests=digests.pack(self._heartbeats))
        self._heartbeats.clear()
        return msg

    def query_silent(self) -> None:
        """Ask a few gateways about endpoints whose heartbeats are missing."""
        before = self._loop.time() - self._query_after_s
        ids = self.table.silent(before)[:_MAX_QUERIED_ENDPOINTS]
        if not ids or not self.gateways:
            return
        count = min(_QUERIED_GATEWAYS, len(self.gateways))
        for conn in self._rng.sample(list(self.gateways), count):
            conn.send(messages.SilenceQuery(ids=tuple(ids)))

    def with_incarnation(self, item: endpoints.Endpoint) -> endpoints.Endpoint:
        """Return an endpoint's update with its incarnation filled in.

        A notice of an end that names no incarnation refers to the one known
        here; other coordinators may already know a later one.  Raises
        CodecError for a heartbeat without the start time that the endpoint
        names in its own.
        """
        known = self.table.alive.get(item.id)
        if item.born or known is None or not known.born:
            return item
        if item.state is not endpoints.EndpointState.GONE:
            raise exceptions.CodecError("heartbeat: no start time")
        return msgspec.structs.replace(item, born=known.born)

    def full_update(self) -> messages.EndpointUpdate:
        """Return all known endpoints, for a newly linked process."""
        return messages.EndpointUpdate(
            alive=tuple(self.table.alive.values()),
            ended=tuple(self.table.ended()),
        )

    def forget_silent(self) -> None:
        """Remove endpoints whose heartbeats have been missing for long."""
        for item in self.table.forget_silent(
            self._loop.time() - self._forget_after_s
        ):
            logs.say(
                logs.Part.COORDINATOR,
                "Endpoint is silent and forgotten.",
                endpoint=item.id,
                silent_s=self._forget_after_s,
            )


def update_for(item: endpoints.Endpoint) -> messages.EndpointUpdate:
    """Return the message that carries the state of one endpoint."""
    if item.state is endpoints.EndpointState.GONE:
        return messages.EndpointUpdate(ended=(item.incarnation,))
    return messages.EndpointUpdate(alive=(item,))


def apply_update(
    table: endpoints.EndpointTable, msg: messages.EndpointUpdate, now: float
) -> list[endpoints.Endpoint]:
    """Apply a received update to a table.

    Returns the endpoints whose entries changed.
    """
    updates = list(msg.alive)
    updates += [
        endpoints.Endpoint(
            id=life.id, born=life.born, state=endpoints.EndpointState.GONE
        )
        for life in msg.ended
    ]
    return [item for item in updates if table.update(item, now)]
