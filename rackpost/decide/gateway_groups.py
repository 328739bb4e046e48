"""Groups of gateways that share a part of the endpoints.  Pure.

Each gateway tells its figures to those that choose among the same
endpoints.  With many gateways all endpoints told to all would cost each of
them more the more there are: of 370 each would send and take 369 messages a
second at least.  In groups it costs the same whatever their number is.

Groups are found by rendezvous hashing, by each process alone: when their
number changes by one, little moves.
"""

import functools

from rackpost.decide import rendezvous
from rackpost.routing import endpoints
from rackpost import types

# Up to this many gateways share all endpoints: places are given away best
# where all are known, and 95 were served with 107 KB a second into and out of
# each, requests included.
_MOST_TOGETHER = 96
# Gateways of a group, where there are groups.
_SIZE = 64
# Endpoints of one kind that a group has at least; where its part holds fewer
# it chooses among all, by figures of its own gateways alone.
_FEWEST = 6


def group_count(gateways: int) -> int:
    """How many groups so many gateways form."""
    if gateways <= _MOST_TOGETHER:
        return 1
    return -(-gateways // _SIZE)


@functools.lru_cache(maxsize=16384)
def group_of(name: str, groups: int) -> int:
    """The group of a gateway or an endpoint, from 0 on."""
    if groups <= 1:
        return 0
    return max(
        range(groups), key=lambda number: rendezvous.rank(name, str(number))
    )


class Group:
    """The group that one gateway is in."""

    def __init__(self, *, vm: types.VmId) -> None:
        self._vm = vm
        self._groups = 1

    def set_gateways(self, gateways: int) -> None:
        """So many gateways there are."""
        self._groups = group_count(gateways)

    @property
    def is_partial(self) -> bool:
        """Whether there are others."""
        return self._groups > 1

    def contains(self, name: str) -> bool:
        """Whether a gateway or an endpoint is in it."""
        return group_of(name, self._groups) == group_of(self._vm, self._groups)

    def select(
        self, found: list[endpoints.Endpoint]
    ) -> list[endpoints.Endpoint]:
        """Its part of some endpoints; all where that would be too few."""
        if not self.is_partial:
            return found
        mine = [item for item in found if self.contains(item.id)]
        return mine if len(mine) >= _FEWEST else found
