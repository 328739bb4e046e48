"""Which agents an entry keeps links to, out of many.

Rendezvous hashing: each entry ranks the agents by a hash of both names,
so that entries spread evenly and little moves when an agent comes or
goes.  Agents of the entry's own data centre come first.  Pure.
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
    """The names of at most `size` agents of each service and role.

    Up to a quarter of them are taken from other data centres, so that
    one that is lost leaves the entry with links that work.
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
