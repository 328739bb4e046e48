"""Which gateways tell news on to coordinators.  Pure.

Coordinators tell each other what they hear of endpoints; gateways tell it on
for those that do not reach each other.  If all did, one endpoint's news would
come to each coordinator from each gateway: with 103 gateways and a thousand
endpoints 400,000 messages as a site starts, by reckoning.
"""

import heapq
from typing import Iterable

from rackpost.decide import rendezvous
from rackpost import types

# So many gateways tell each endpoint's news on: one of them may be down, and
# another out of reach of a coordinator.
_RELAYS = 4


def is_relay(
    me: types.VmId, gateways: Iterable[types.VmId], subject: str
) -> bool:
    """Whether a gateway is among those that tell a subject's news on.

    Each finds out by itself, by rendezvous hashing; one that knows fewer
    of the others tells more on.
    """
    others = {vm for vm in gateways if vm != me}
    if len(others) < _RELAYS:
        return True
    first = heapq.nsmallest(
        _RELAYS, (rendezvous.rank(vm, subject) for vm in others)
    )
    return rendezvous.rank(me, subject) < first[-1]
