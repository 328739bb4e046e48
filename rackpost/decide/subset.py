"""Which agents an entry keeps links to, out of a large fleet.

Each entry ranks the agents by rendezvous hashing, so that entries spread
evenly and few links change when an agent joins or leaves.
"""

from typing import Iterable

from rackpost.decide import rendezvous
from rackpost.state import commands


def choose(
    *,
    entry: str,
    data_centre: str,
    members: Iterable[commands.MemberInfo],
    size: int,
) -> set[str]:
    """Return the names of at most `size` agents of each service and role.

    Agents of the entry's own data centre are preferred.  Up to a quarter
    are from others, so that the entry keeps usable links when its own data
    centre fails.
    """
    pools: dict[tuple[str, str], list[commands.MemberInfo]] = {}
    for member in members:
        if member.service:
            key = (member.service, member.role.value)
            pools.setdefault(key, []).append(member)
    chosen: set[str] = set()
    for pool in pools.values():
        pool.sort(key=lambda item: rendezvous.rank(entry, item.name))
        near = [item for item in pool if item.data_centre == data_centre]
        far = [item for item in pool if item.data_centre != data_centre]
        own = size - min(len(far), size // 4)
        picked = near[:own]
        picked += far[: size - len(picked)]
        chosen |= {item.name for item in picked}
    return chosen
