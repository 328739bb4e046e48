"""What a coordinator knows of endpoints and gateways, and tells on.

This is soft state: endpoints repeat it, gateways keep it, and nothing of
it goes through the log.
"""

import asyncio
import random

import msgspec

from rackpost.coordinator import messages
from rackpost.decide import quota_use
from rackpost.link import channel
from rackpost import logs
from rackpost.routing import digests
from rackpost.routing import endpoints
from rackpost import types

# An endpoint that has been silent for this many heartbeats is forgotten
# here; gateways judge for themselves by what it answers.
_SILENT_BEATS = 12
# Gateways are asked of those that have missed this many heartbeats, a few of
# them at a time.  Each told each coordinator all endpoints that it had heard
# of, each second: 1.2 MB a second at 95 gateways and 1,002 endpoints, by
# their encoded size.
_ASK_BEATS = 3
_ASKED = 3
# So many endpoints are asked of in one message.
_MOST_ASKED_OF = 500


class Directory:
    """Endpoints by their heartbeats, gateways by their links."""

    def __init__(self, *, heartbeat_s: float, rng: random.Random) -> None:
        self._loop = asyncio.get_running_loop()
        self._rng = rng
        self._ask_s = heartbeat_s * _ASK_BEATS
        self._silent_s = heartbeat_s * _SILENT_BEATS
        self.table = endpoints.EndpointTable()
        self._fresh: set[types.EndpointId] = set()
        self.gateways: dict[channel.Channel, messages.GatewayHello] = {}
        # What organisations use of their quotas, by gateway.
        self.quotas: dict[types.VmId, tuple[quota_use.QuotaUse, ...]] = {}

    def update(self, item: endpoints.Endpoint) -> bool:
        """Take news of an endpoint and pass them on if they are any."""
        changed = self.table.update(item, self._loop.time())
        self._fresh.add(item.id)
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
            )
            self.tell_gateways(update_for(item))
        return changed

    def tell_gateways(self, msg: msgspec.Struct) -> None:
        """Send a message to all gateways that are linked."""
        for conn in list(self.gateways):
            conn.send(msg)

    def take_fresh(self) -> messages.HeartbeatNotice | None:
        """Whose heartbeats have come here since the last call, if any."""
        if not self._fresh:
            return None
        msg = messages.HeartbeatNotice(digests=digests.pack(self._fresh))
        self._fresh.clear()
        return msg

    def query_silent(self) -> None:
        """Ask a few gateways of endpoints that nothing is heard of here."""
        before = self._loop.time() - self._ask_s
        ids = self.table.silent(before)[:_MOST_ASKED_OF]
        if not ids or not self.gateways:
            return
        count = min(_ASKED, len(self.gateways))
        for conn in self._rng.sample(list(self.gateways), count):
            conn.send(messages.SilenceQuery(ids=tuple(ids)))

    def with_incarnation(self, item: endpoints.Endpoint) -> endpoints.Endpoint:
        """What an endpoint said, with its life as it is known here.

        Who ends without telling its life ends the one that it was heard
        in: others may know already that it has started again.
        """
        known = self.table.alive.get(item.id)
        if item.born or known is None:
            return item
        return msgspec.structs.replace(item, born=known.born)

    def full_update(self) -> messages.EndpointUpdate:
        """All that is known, for a process that has just linked."""
        return messages.EndpointUpdate(
            alive=tuple(self.table.alive.values()),
            ended=tuple(self.table.ended()),
        )

    def forget_silent(self) -> None:
        """Forget endpoints that have been silent for long."""
        for item in self.table.forget_silent(
            self._loop.time() - self._silent_s
        ):
            logs.say(
                logs.Part.COORDINATOR,
                "Endpoint is silent and forgotten.",
                endpoint=item.id,
                silent_s=self._silent_s,
            )


def update_for(item: endpoints.Endpoint) -> messages.EndpointUpdate:
    """The message that tells of one endpoint."""
    if item.state is endpoints.EndpointState.GONE:
        return messages.EndpointUpdate(ended=(item.incarnation,))
    return messages.EndpointUpdate(alive=(item,))


def apply_update(
    table: endpoints.EndpointTable, msg: messages.EndpointUpdate, now: float
) -> list[endpoints.Endpoint]:
    """Put told news into a table; those that changed it."""
    told = list(msg.alive)
    told += [
        endpoints.Endpoint(
            id=life.id, born=life.born, state=endpoints.EndpointState.GONE
        )
        for life in msg.ended
    ]
    return [item for item in told if table.update(item, now)]
