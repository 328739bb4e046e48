"""Divide a large fleet of gateways into groups with their own endpoints.

Gateways that choose among the same endpoints report their load to each other.
Groups of bounded size keep the number of reports for each gateway constant as
the fleet grows.

Each process assigns gateways and endpoints to groups by rendezvous hashing,
so that few are reassigned when the number of groups changes by one.
"""

import functools

from rackpost.decide import rendezvous
from rackpost.routing import endpoints
from rackpost import types

# A fleet of up to this many gateways is not divided: choices are best where
# the load of all endpoints is known.
_MAX_UNDIVIDED_GATEWAYS = 96
# Usual number of gateways in a group.
_GROUP_SIZE = 64
# A group with fewer endpoints of a kind chooses among all endpoints instead.
_MIN_GROUP_ENDPOINTS = 6


def group_count(gateways: int) -> int:
    """Return the number of groups for a number of gateways."""
    if gateways <= _MAX_UNDIVIDED_GATEWAYS:
        return 1
    return -(-gateways // _GROUP_SIZE)


@functools.lru_cache(maxsize=16384)
def group_of(name: str, groups: int) -> int:
    """Return the number of a gateway's or endpoint's group, from 0."""
    if groups <= 1:
        return 0
    return max(
        range(groups), key=lambda number: rendezvous.rank(name, str(number))
    )


class Group:
    """The group of one gateway."""

    def __init__(self, *, vm: types.VmId) -> None:
        self._vm = vm
        self._groups = 1

    def set_gateways(self, gateways: int) -> None:
        """Set the number of gateways in the fleet."""
        self._groups = group_count(gateways)

    @property
    def is_partial(self) -> bool:
        """Whether the fleet is divided into several groups."""
        return self._groups > 1

    def contains(self, name: str) -> bool:
        """Whether a gateway or an endpoint is in the group."""
        return group_of(name, self._groups) == group_of(self._vm, self._groups)

    def select(
        self, found: list[endpoints.Endpoint]
    ) -> list[endpoints.Endpoint]:
        """Return the group's endpoints, or all if the group has too few."""
        if not self.is_partial:
            return found
        own = [item for item in found if self.contains(item.id)]
        return own if len(own) >= _MIN_GROUP_ENDPOINTS else found
