"""Choose the gateways that relay an endpoint's notices to coordinators.

Coordinators exchange notices of endpoints with each other; gateways relay
them to coordinators that cannot reach each other.  Only a few gateways relay
the notices of an endpoint, so that the number of messages does not grow with
the number of gateways.
"""

import heapq
from typing import Iterable

from rackpost.decide import rendezvous
from rackpost import types

# Allows for one relay that is down and one that cannot reach a coordinator.
_RELAYS = 4


def is_relay(
    me: types.VmId, gateways: Iterable[types.VmId], subject: str
) -> bool:
    """Whether a gateway relays a subject's notices.

    Each gateway decides by rendezvous hashing over the gateways that it
    knows; one that knows fewer of them relays more.
    """
    others = {vm for vm in gateways if vm != me}
    if len(others) < _RELAYS:
        return True
    first = heapq.nsmallest(
        _RELAYS, (rendezvous.rank(vm, subject) for vm in others)
    )
    return rendezvous.rank(me, subject) < first[-1]
